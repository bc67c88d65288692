#include "hot_restart/takeover.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace meadowgauge::hot_restart {

namespace {

// Each process scans its peers every 100 ms, so within this time all processes have seen a change.
constexpr double peer_visibility_delay_ms = 250;
// If discovery does not answer for this long, the configured endpoints are used.
constexpr double max_wait_for_endpoints_ms = 1500;
constexpr double snapshot_interval_ms = 1000;

// Indexed by TakeoverInvariant.
constexpr std::array<std::string_view, static_cast<std::size_t>(TakeoverInvariant::count)> invariant_texts{
    "number of processes is negative",
    "a newer process serves, but none is counted",
    "snapshot is dated before the start",
    "process serves before its first update",
};

}  // namespace

Takeover::Takeover(const PeerProcesses& peers, double now_ms)
    : peers_(peers), started_at_ms_(now_ms), saved_at_ms_(now_ms), replaces_another_(peers.total() > 0) {}

// Without peers there is nothing to wait for: a process that this one replaces has ended.
bool Takeover::is_due(bool endpoints_known, bool may_serve, double now_ms) const {
  if (peers_.total() == 0) return true;
  double waited_ms = now_ms - started_at_ms_;
  if (waited_ms < peer_visibility_delay_ms) return false;
  return endpoints_known || (may_serve && waited_ms >= max_wait_for_endpoints_ms);
}

TakeoverActions Takeover::update(const PeerProcesses& peers, bool endpoints_known, double now_ms,
                                 bool may_serve) {
  TakeoverActions actions;
  bool count_changed = peers.total() != peers_.total();
  bool older_changed = peers.older != peers_.older;
  peers_ = peers;
  // The initial share is 1, so the first update sets it only if there are other processes.
  actions.set_share = updated_ ? count_changed : peers.total() > 0;
  actions.share = 1.0 / (1 + peers.total());
  updated_ = true;
  if (state_ == State::waiting && is_due(endpoints_known, may_serve, now_ms)) {
    state_ = State::serving;
    actions.listen = true;
  }
  if (state_ == State::ending && peers.newer_serves) {
    state_ = State::handed_over;
    actions.handover = true;
  }
  if (state_ != State::serving || peers.newer > 0) return actions;
  actions.claim_connections = peers.older > 0 && (actions.listen || older_changed);
  if (now_ms - saved_at_ms_ >= snapshot_interval_ms) {
    saved_at_ms_ = now_ms;
    actions.save_snapshot = true;
  }
  return actions;
}

void Takeover::end() {
  if (state_ == State::waiting) state_ = State::cancelled;
  if (state_ == State::serving) state_ = State::ending;
}

double Takeover::drain_delay_ms() const { return peers_.total() > 0 ? peer_visibility_delay_ms : 0; }

std::optional<BrokenTakeoverInvariant> Takeover::broken_invariant() const {
  if (peers_.older < 0 || peers_.newer < 0)
    return BrokenTakeoverInvariant{.invariant = TakeoverInvariant::process_counts_not_negative,
                                   .value = static_cast<double>(std::min(peers_.older, peers_.newer))};
  if (peers_.newer_serves && peers_.newer == 0)
    return BrokenTakeoverInvariant{.invariant = TakeoverInvariant::serving_peer_is_counted, .bound = 1};
  if (saved_at_ms_ < started_at_ms_)
    return BrokenTakeoverInvariant{
        .invariant = TakeoverInvariant::snapshot_after_start, .value = saved_at_ms_, .bound = started_at_ms_};
  bool has_served = state_ == State::serving || state_ == State::ending || state_ == State::handed_over;
  if (has_served && !updated_)
    return BrokenTakeoverInvariant{.invariant = TakeoverInvariant::update_before_serving, .bound = 1};
  return {};
}

std::string describe(const std::optional<BrokenTakeoverInvariant>& broken) {
  if (!broken) return {};
  std::ostringstream text;
  text << invariant_texts[static_cast<std::size_t>(broken->invariant)] << ": value " << broken->value
       << ", bound " << broken->bound;
  return text.str();
}

}  // namespace meadowgauge::hot_restart
