// Fleet-wide limits under traffic that is uneven or moves between instances, in simulated time. If leases do
// not follow the demand, the fleet admits much less than the limit allows. The admitted requests must never
// exceed the limit's rate and burst.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

#include "fixtures/fleet_terms.hpp"
#include "fleet/shared_limits.hpp"

namespace meadowgauge::fleet {
namespace {

// One limit over several instances, with a demand that depends on the instance and the time.
struct Traffic {
  int instances = 6;
  std::function<double(int instance, double now_ms)> demand;  // requests a second
  double measured_from_ms = 2000;
  double measured_until_ms = 8000;
  double rate = 300;                 // requests a second, of the whole fleet
  double burst = 60;                 // requests
  std::vector<double> weights = {};  // of the instances; empty: equal weights
};

std::vector<SharedLimits> start_instances(const Traffic& traffic) {
  std::vector<SharedLimits> fleet;
  double weight_sum = 0;
  for (double weight : traffic.weights) weight_sum += weight;
  for (int i = 0; i < traffic.instances; ++i) {
    auto terms = test::terms(traffic.instances, traffic.rate, traffic.burst);
    if (!traffic.weights.empty()) terms.share = traffic.weights[static_cast<std::size_t>(i)] / weight_sum;
    fleet.emplace_back(terms, 1, 1, 0);
    fleet.back().address_acquired(0);
  }
  return fleet;
}

// Each instance offers its unused share every 200 ms.
void exchange_offers(std::vector<SharedLimits>& fleet, int i, double now_ms) {
  if (static_cast<int>(now_ms) % 200 != i % 200) return;
  auto& limits = fleet[static_cast<std::size_t>(i)];
  limits.update_agreement(test::all_agree, now_ms);
  for (std::size_t other = 0; other < fleet.size(); ++other)
    if (static_cast<int>(other) != i) fleet[other].set_offer(test::peer(i), limits.lendable(now_ms));
}

// Each instance requests leases every 250 ms, and every 50 ms while it rejects requests.
void exchange_leases(std::vector<SharedLimits>& fleet, int i, double now_ms) {
  auto& limits = fleet[static_cast<std::size_t>(i)];
  bool is_due = static_cast<int>(now_ms) % 250 == i % 250;
  bool is_urgent = limits.rejected_since_round() && static_cast<int>(now_ms) % 50 == i % 50;
  if (!is_due && !is_urgent) return;
  for (const auto& request : limits.lease_requests(now_ms)) {
    auto& lender = fleet[static_cast<std::size_t>(test::index_of(request.lender))];
    auto granted = lender.grant(test::peer(i), 1, request.quotas, now_ms);
    limits.accept_grant(request.lender, now_ms, granted, now_ms);
  }
  EXPECT_EQ(describe(limits.broken_invariant(now_ms)), "");
}

// Returns the admitted rate as a share of the limit's rate. Checks the bound of the fleet every ms.
double admitted_share(const Traffic& traffic) {
  auto fleet = start_instances(traffic);
  std::minstd_rand rng(7);
  double bucket = traffic.burst;
  double admitted = 0;
  for (double now_ms = 0; now_ms < traffic.measured_until_ms; now_ms += 1) {
    bucket = std::min(traffic.burst, bucket + traffic.rate / 1000);
    for (int i = 0; i < traffic.instances; ++i) {
      auto& limits = fleet[static_cast<std::size_t>(i)];
      double requests_per_ms = traffic.demand(i, now_ms) / 1000;
      std::poisson_distribution<int> arrivals(requests_per_ms);
      for (int k = requests_per_ms > 0 ? arrivals(rng) : 0; k > 0; --k)
        if (limits.admit(0, 0, now_ms) == 0) {
          admitted += now_ms >= traffic.measured_from_ms ? 1 : 0;
          bucket -= 1;
        }
      exchange_offers(fleet, i, now_ms);
      exchange_leases(fleet, i, now_ms);
    }
    EXPECT_GE(bucket, -1e-6) << "admitted beyond rate and burst at ms " << now_ms;
    if (bucket < -1e-6) break;
  }
  return admitted / (traffic.measured_until_ms - traffic.measured_from_ms) * 1000 / traffic.rate;
}

// The share of the demand at each of six instances: 35, 35, 10, 10, 5 and 5 percent.
double uneven_share(int instance) { return instance < 2 ? 0.35 : instance < 4 ? 0.1 : 0.05; }

TEST(FleetTraffic, QuotasFollowUnevenDemand) {
  EXPECT_GT(admitted_share({.demand = [](int i, double) { return 840 * uneven_share(i); }}), 0.95);
  EXPECT_GT(admitted_share({.demand = [](int i, double) { return i == 3 ? 840 : 0; }}), 0.95);
}

TEST(FleetTraffic, QuotasFollowDemandThatMovesToAnotherZone) {
  auto moving = [](int i, double now_ms) { return (now_ms < 4000 ? i < 2 : i > 3) ? 420 : 0; };
  EXPECT_GT(admitted_share({.demand = moving, .measured_from_ms = 6000, .measured_until_ms = 10000}), 0.95);
}

// Eight other instances own nearly the whole limit, so few lease requests must find the large lenders.
TEST(FleetTraffic, QuotasFollowDemandAtOneOfAHundred) {
  std::vector<double> weights(100, 1);
  std::fill(weights.begin(), weights.begin() + 8, 1000);
  EXPECT_GT(admitted_share({.instances = 100,
                            .demand = [](int i, double) { return i == 77 ? 500 : 0; },
                            .measured_until_ms = 4000,
                            .burst = 300,
                            .weights = weights}),
            0.95);
}

TEST(FleetTraffic, BelowTheLimitNothingIsRejected) {
  // The demand is 240 of 300 requests a second, so a share of 0.79 admits all but about 1% of it.
  EXPECT_GT(admitted_share(
                {.demand = [](int i, double) { return 240 * uneven_share(i); }, .measured_until_ms = 12000}),
            0.79);
}

}  // namespace
}  // namespace meadowgauge::fleet
