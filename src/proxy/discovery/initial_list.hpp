// Whether a new process may use the endpoint list of its configuration. Does no I/O and reads no clock; times
// are in ms of one clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proxy/discovery/error.hpp"

namespace meadowgauge::proxy {

// The configured list may be of any age: endpoints that it names may have drained or left before the process
// started, and what discovery published then binds the process at once. Where balancers poll one discovery,
// a list may take seconds, so a process serves no request before its first.
//
//   awaited -> received              discovery sent a list
//   awaited -> unreachable           discovery gave no response at all: changes bind only after its return
//   awaited -> overdue               discovery responds, but sent no list for `max_wait_ms`
//   unreachable, overdue -> received
class InitialList {
 public:
  enum class State : std::uint8_t { awaited, received, unreachable, overdue };

  // `required`: false where the configured list may be used from the start.
  InitialList(bool required, double now_ms);

  // Each returns the former state if the state changes.
  std::optional<State> list_received();
  std::optional<State> call_failed(DiscoveryError error);
  std::optional<State> time_passed(double now_ms);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool may_serve() const { return state_ != State::awaited; }
  // The latest time of the next call of time_passed().
  [[nodiscard]] double next_due_ms() const;

  [[nodiscard]] static std::string_view name_of(State state);

 private:
  std::optional<State> set(State next);

  State state_;
  double overdue_at_ms_;
};

}  // namespace meadowgauge::proxy
