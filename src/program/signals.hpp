// SIGTERM, SIGINT and SIGHUP as events of the event loop.
#pragma once

#include <cstdint>
#include <functional>

#include "transport/fd.hpp"
#include "transport/loop.hpp"

namespace meadowgauge::program {

// Only one instance per process. Owns a signalfd; the signals stay blocked after its destruction.
class Signals final : transport::EventHandler {
 public:
  // Blocks the signals and ignores SIGPIPE. The loop calls `on_terminate` for SIGTERM and SIGINT, and
  // `on_reload` for SIGHUP. `loop` outlives this object. Throws std::system_error.
  Signals(transport::Loop& loop, std::function<void()> on_terminate, std::function<void()> on_reload);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

  // Blocks the signals, so that they do not end the process but stay pending until a Signals object exists.
  static void block();
  // Whether SIGTERM or SIGINT is pending.
  static bool termination_pending();

 private:
  void ready(std::uint32_t events) override;

  transport::Loop& loop_;
  std::function<void()> on_terminate_;
  std::function<void()> on_reload_;
  transport::Fd fd_;
  std::uint64_t token_ = 0;
};

}  // namespace meadowgauge::program
