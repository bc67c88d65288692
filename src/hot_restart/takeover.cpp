#include "hot_restart/takeover.hpp"

namespace meadowgauge::hot_restart {

namespace {

// Each process looks at the others every 100 ms: after this, an older one has seen this one and given way,
// and each has read what one has written.
constexpr double peers_see_after_ms = 250;
// Discovery may be out of reach: the endpoints of the configuration are served from then.
constexpr double max_wait_for_endpoints_ms = 1500;
constexpr double snapshot_interval_ms = 1000;

}  // namespace

Takeover::Takeover(const PeerProcesses& peers, double now_ms)
    : peers_(peers), started_at_ms_(now_ms), saved_at_ms_(now_ms), replaces_another_(peers.total() > 0) {}

// Alone there is nobody to wait for: the process that was to be replaced has gone.
bool Takeover::is_due(bool endpoints_known, double now_ms) const {
  if (peers_.total() == 0) return true;
  double waited_ms = now_ms - started_at_ms_;
  return waited_ms >= peers_see_after_ms && (endpoints_known || waited_ms >= max_wait_for_endpoints_ms);
}

TakeoverActions Takeover::update(const PeerProcesses& peers, bool endpoints_known, double now_ms) {
  TakeoverActions actions;
  bool count_changed = peers.total() != peers_.total();
  bool older_changed = peers.older != peers_.older;
  peers_ = peers;
  // At the start the share is the whole: there is nothing to set unless there are others.
  actions.set_share = updated_ ? count_changed : peers.total() > 0;
  actions.share = 1.0 / (1 + peers.total());
  updated_ = true;
  if (state_ == State::waiting && is_due(endpoints_known, now_ms)) {
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

double Takeover::drain_delay_ms() const { return peers_.total() > 0 ? peers_see_after_ms : 0; }

std::string Takeover::broken_invariant() const {
  if (peers_.older < 0 || peers_.newer < 0) return "a negative number of processes";
  if (peers_.newer_serves && peers_.newer == 0) return "a newer process serves and there is none";
  if (saved_at_ms_ < started_at_ms_) return "a snapshot before the start";
  bool had_update = state_ == State::serving || state_ == State::ending || state_ == State::handed_over;
  if (had_update && !updated_) return "serves before it has seen the others";
  return {};
}

}  // namespace meadowgauge::hot_restart
