// Applies the fleet's verdicts on servers to the balancer and shares the balancer's observations with the
// fleet.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/outlier_verdicts.hpp"
#include "membership/member_table.hpp"
#include "program/fleet_log.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// Supplies the inputs of fleet::OutlierVerdicts, which decides on ejections, and applies its results.
class FleetVerdicts {
 public:
  // `members` and `log` outlive this object.
  FleetVerdicts(std::string own_name, const membership::MemberTable& members, const FleetLog& log)
      : verdicts_(std::move(own_name)), members_(members), log_(log) {}

  // The balancer outlives this object. Until it is set, tick() does nothing.
  void set_balancer(proxy::Balancer& balancer) { balancer_ = &balancer; }

  void record_success(std::uint32_t server, double now_ms) { verdicts_.record_success(server, now_ms); }
  // Merges the state of another instance, created at `made_at_ms`. Returns whether it reports a newly failing
  // server.
  bool merge(const membership::MemberState& state, double made_at_ms);
  // To be called on each tick. Returns whether the balancer has ejected a newly failing server.
  bool tick(double now_ms);
  // Writes this instance's observations into its own state.
  void report(membership::MemberState& own, double now_ms) const;
  [[nodiscard]] std::size_t ejected_count() const { return ejected_.size(); }

 private:
  void apply(double now_ms);
  void publish(std::vector<fleet::ServerId> ejected);
  void request_trials(std::vector<fleet::ServerId> servers);

  fleet::OutlierVerdicts verdicts_;
  const membership::MemberTable& members_;
  const FleetLog& log_;
  proxy::Balancer* balancer_ = nullptr;
  std::vector<fleet::ServerId> ejected_;  // as last passed to the balancer, like on_trial_
  std::vector<fleet::ServerId> on_trial_;
  double next_tick_at_ms_ = 0;
};

}  // namespace meadowgauge::program
