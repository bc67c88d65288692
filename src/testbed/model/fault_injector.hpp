// Injects the faults of a plan into the bytes of one connection: takes the received bytes, returns the bytes
// to forward and the faults to apply. No socket and no clock: times are milliseconds from the start of the
// plan.
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

// The fault injector of one connection. Tracks the HTTP messages of each direction to find the positions of
// faults, and injects each entry of the plan at most once.
class FaultInjector {
 public:
  // The relay forwards `pass`, in which bytes are already corrupted, then applies `fault`, if any.
  struct Step {
    std::string pass;
    std::optional<FaultInjection> fault;
  };
  // `connection`: the connection's number, from 0. The plan outlives the injector and counts its injections.
  FaultInjector(InjectionPlan& plan, std::uint64_t connection);

  // Returns the faults at position `connect`. Call it once, when the connection is accepted.
  std::vector<Step> connected(double now_ms);
  // Returns the bytes to forward and the faults for bytes received in that direction. Bytes after a close,
  // reset or black hole are dropped.
  std::vector<Step> feed(Direction direction, std::string_view bytes, double now_ms);
  // Returns the faults at position `time` that are due.
  std::vector<Step> tick(double now_ms);
  // Returns the faults injected since the last call.
  std::vector<InjectedFault> take_injected() { return std::exchange(injected_, {}); }

 private:
  // How far one direction has been read, updated byte by byte.
  struct StreamState {
    std::uint64_t bytes = 0, messages = 0;
    std::unique_ptr<protocol::Message> message;
    std::string header_line;       // the incomplete line of the message head
    std::string_view next_header;  // the header whose value begins at the next byte; empty: none
    bool is_unparsable = false;    // not HTTP: only byte positions match from here on
    std::uint64_t bytes_to_corrupt = 0;
  };
  StreamState& stream_state(Direction direction) {
    return stream_states_[static_cast<std::size_t>(direction)];
  }
  [[nodiscard]] const StreamState& stream_state(Direction direction) const {
    return stream_states_[static_cast<std::size_t>(direction)];
  }
  // Whether the entry is due before the next byte (`at_end` false) or after a complete message (`at_end`
  // true).
  [[nodiscard]] bool matches(const InjectionPlan::Entry& entry, Direction direction, bool at_end,
                             double now_ms) const;
  [[nodiscard]] static bool matches_message_position(const FaultInjection& injection,
                                                     const StreamState& state, bool at_end);
  [[nodiscard]] bool already_injected(const InjectionPlan::Entry& entry) const;
  // Records the fault and appends its step, with the bytes to forward before the fault.
  void inject(InjectionPlan::Entry& entry, std::string& pass, std::vector<Step>& steps);
  void inject_matching(Direction direction, bool at_end, double now_ms, std::string& pass,
                       std::vector<Step>& steps);
  static void advance(StreamState& stream_state, char c);
  static void advance_header_line(StreamState& stream_state, char c);
  char byte_to_forward(StreamState& stream_state, char c);

  InjectionPlan& plan_;
  std::uint64_t connection_;
  std::unique_ptr<transport::Pool> pool_;
  std::array<StreamState, 2> stream_states_;
  bool is_ended_ = false;                    // closed, reset or black-holed
  std::vector<std::uint64_t> injected_ids_;  // entries already injected into this connection
  std::vector<InjectedFault> injected_;
};

}  // namespace meadowgauge::testbed
