// Decides whether a new process may serve with the endpoint list of its configuration. Does no I/O and reads
// no clock; times are in ms of the caller's clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proxy/discovery/error.hpp"

namespace meadowgauge::proxy {

// The configured list may be arbitrarily old: its endpoints may have drained or left before the process
// started, and changes that discovery had published by then apply to the process at once. Where balancers
// poll one discovery, a list may take seconds, so a process serves no request before it receives its first
// list.
//
//   awaited -> received              discovery sent a list
//   awaited -> unreachable           discovery did not respond: changes apply only after its return
//   awaited -> overdue               discovery responds, but has sent no list for `max_wait_ms`
//   unreachable, overdue -> received
class InitialList {
 public:
  enum class State : std::uint8_t { awaited, received, unreachable, overdue };

  // `required`: false if the process may serve with the configured list from the start.
  InitialList(bool required, double now_ms);

  // Each event returns the previous state if the state changes.
  std::optional<State> list_received();
  std::optional<State> call_failed(DiscoveryError error);
  std::optional<State> time_passed(double now_ms);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool may_serve() const { return state_ != State::awaited; }
  // When time_passed() must be called next; infinity if no call is needed.
  [[nodiscard]] double next_due_ms() const;

  [[nodiscard]] static std::string_view name_of(State state);

 private:
  std::optional<State> set(State next);

  State state_;
  double overdue_at_ms_;
};

}  // namespace meadowgauge::proxy
