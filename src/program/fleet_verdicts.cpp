#include "program/fleet_verdicts.hpp"

#include <algorithm>

namespace meadowgauge::program {

namespace {

constexpr double verdict_interval_ms = 50;  // upper bound for the delay until a verdict affects picks

}  // namespace

bool FleetVerdicts::merge(const membership::MemberState& state, double made_at_ms) {
  return verdicts_.merge(state.name, state.observations, state.unhealthy_share, made_at_ms);
}

void FleetVerdicts::report(membership::MemberState& own, double now_ms) const {
  own.observations = verdicts_.observations(now_ms);
  own.unhealthy_share = verdicts_.unhealthy_share(now_ms);
}

bool FleetVerdicts::tick(double now_ms) {
  if (!balancer_ || now_ms < next_tick_at_ms_) return false;
  next_tick_at_ms_ = now_ms + verdict_interval_ms;
  const bool newly_failing = verdicts_.record_suspects(balancer_->ejected_servers(), now_ms);
  apply(now_ms);
  return newly_failing;
}

void FleetVerdicts::apply(double now_ms) {
  std::vector<std::string> alive;
  std::vector<std::string> known;
  for (auto peer : members_.members()) {
    known.push_back(members_.name(peer));
    if (members_.status(peer, now_ms) == membership::MemberStatus::alive)
      alive.push_back(members_.name(peer));
  }
  std::sort(alive.begin(), alive.end());
  std::sort(known.begin(), known.end());
  verdicts_.expire(known, now_ms);
  const auto listed = balancer_->listed_servers();
  publish(verdicts_.ejected(listed, alive, now_ms));
  request_trials(verdicts_.on_trial(listed, alive, now_ms));
}

// Reports an empty list only once, which ends the previous trials.
void FleetVerdicts::request_trials(std::vector<fleet::ServerId> servers) {
  if (servers.empty() && on_trial_.empty()) return;
  balancer_->request_trials(servers);
  on_trial_ = std::move(servers);
}

// Gossip expires in the policy, so an ejected server is reported on every tick. A server that is no longer
// ejected is reported once as healthy, which replaces its last report.
void FleetVerdicts::publish(std::vector<fleet::ServerId> ejected) {
  GossipContent gossip;
  for (auto server : ejected)
    gossip.endpoints.push_back({.id = server, .response_ms = 0, .failure_share = 1, .age_ms = 0});
  for (auto server : ejected_)
    if (std::find(ejected.begin(), ejected.end(), server) == ejected.end())
      gossip.endpoints.push_back({.id = server, .response_ms = 0, .failure_share = 0, .age_ms = 0});
  if (ejected != ejected_) log_.ejected_servers(ejected.size());
  ejected_ = std::move(ejected);
  if (!gossip.endpoints.empty()) balancer_->gossip_received(gossip);
}

}  // namespace meadowgauge::program
