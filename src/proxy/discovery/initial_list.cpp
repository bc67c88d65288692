#include "proxy/discovery/initial_list.hpp"

#include <limits>
#include <utility>

namespace meadowgauge::proxy {
namespace {

// Maximum wait for the first list: an overloaded discovery must not prevent a restarted fleet from serving
// for longer than this.
constexpr double max_wait_ms = 8000;

}  // namespace

InitialList::InitialList(bool required, double now_ms)
    : state_(required ? State::awaited : State::received), overdue_at_ms_(now_ms + max_wait_ms) {}

std::optional<InitialList::State> InitialList::list_received() { return set(State::received); }

std::optional<InitialList::State> InitialList::call_failed(DiscoveryError error) {
  bool no_response = error == DiscoveryError::connect_failed || error == DiscoveryError::watch_timed_out;
  return state_ == State::awaited && no_response ? set(State::unreachable) : std::nullopt;
}

std::optional<InitialList::State> InitialList::time_passed(double now_ms) {
  return state_ == State::awaited && now_ms >= overdue_at_ms_ ? set(State::overdue) : std::nullopt;
}

double InitialList::next_due_ms() const {
  return state_ == State::awaited ? overdue_at_ms_ : std::numeric_limits<double>::infinity();
}

std::optional<InitialList::State> InitialList::set(State next) {
  if (state_ == next) return {};
  return std::exchange(state_, next);
}

std::string_view InitialList::name_of(State state) {
  switch (state) {
    case State::awaited:
      return "awaited";
    case State::received:
      return "received";
    case State::unreachable:
      return "unreachable";
    case State::overdue:
      return "overdue";
  }
  return "";
}

}  // namespace meadowgauge::proxy
