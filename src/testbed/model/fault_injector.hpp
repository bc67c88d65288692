// Injects the faults of a plan into the bytes of one connection: takes bytes, returns the bytes to forward
// and the faults to carry out. No socket and no clock: times are milliseconds from the begin of the plan.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/http.hpp"
#include "testbed/model/fault_injection.hpp"

namespace meadowgauge::testbed {

class FaultInjector {
 public:
  // First `pass` is forwarded, with corrupted bytes in it, then the fault, if any, is carried out.
  struct Step {
    std::string pass;
    std::optional<FaultInjection> fault;
  };
  // `connection`: its number, from 0. The plan outlives the injector and counts what is injected.
  FaultInjector(InjectionPlan& plan, std::uint64_t connection);

  // The connection is established: returns the faults at position `connect`.
  std::vector<Step> connected(double now_ms);
  // Handles bytes received in that direction.
  std::vector<Step> feed(Direction direction, std::string_view bytes, double now_ms);
  // Returns the faults at position `time` that are due.
  std::vector<Step> tick(double now_ms);
  // Returns the faults injected since the last call.
  std::vector<InjectedFault> take_injected() { return std::exchange(injected_, {}); }

 private:
  // The position of a direction in its messages, updated byte by byte.
  struct Track {
    std::uint64_t bytes = 0, messages = 0;
    std::unique_ptr<protocol::Message> message;
    std::string line;              // the incomplete line of the head
    std::string_view next_header;  // the header whose value begins at the next byte; empty: none
    bool unparsable = false;       // the stream is not HTTP: only byte positions match
    std::uint64_t corrupt_bytes = 0;
  };
  Track& track(Direction direction) { return tracks_[static_cast<std::size_t>(direction)]; }
  [[nodiscard]] const Track& track(Direction direction) const {
    return tracks_[static_cast<std::size_t>(direction)];
  }
  [[nodiscard]] bool matches(const InjectionPlan::Entry& entry, Direction direction, bool at_end,
                             double now_ms) const;
  [[nodiscard]] static bool matches_message(const FaultInjection& injection, const Track& at, bool at_end);
  [[nodiscard]] bool already_injected(const InjectionPlan::Entry& entry) const;
  // Records the fault and appends its step, with the bytes to forward before the fault.
  void inject(InjectionPlan::Entry& entry, std::string& pass, std::vector<Step>& steps);
  void inject_matching(Direction direction, bool at_end, double now_ms, std::string& pass,
                       std::vector<Step>& steps);
  static void follow(Track& track, char c);
  static void follow_header_line(Track& track, char c);
  char pass_byte(Track& track, char c);

  InjectionPlan& plan_;
  std::uint64_t connection_;
  std::unique_ptr<transport::Pool> pool_;
  std::array<Track, 2> tracks_;
  bool ended_ = false;                       // closed, reset or black-holed
  std::vector<std::uint64_t> injected_ids_;  // entries already injected into this connection
  std::vector<InjectedFault> injected_;
};

}  // namespace meadowgauge::testbed
