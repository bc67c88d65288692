// Fleet-wide limits: the instances together must never admit more than the limit's rate and burst. Checks
// this bound over all short schedules of three instances (messages reordered, lost or duplicated, crashes,
// expiring leases) and over long random schedules.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "fixtures/fleet_terms.hpp"
#include "fleet/shared_limits.hpp"

namespace meadowgauge::fleet {
namespace {

using test::all_agree;
using test::index_of;
using test::one_config_differs;
using test::one_config_unknown;
using test::peer;
using test::terms;

// A lease request or, where `grant` is set, the answer to one.
struct Message {
  bool grant = false;
  int from = 0;
  int to = 0;
  std::uint64_t from_incarnation = 0;
  std::uint64_t to_incarnation = 0;
  double requested_at_ms = 0;  // by the requester's clock
  std::vector<Quota> quotas;
};

// Instances with one common limit, whose clocks differ in offset and rate. The schedule decides when and how
// often each message is delivered.
struct SimulatedFleet {
  static constexpr double rate_per_s = 30;
  static constexpr double burst_requests = 24;
  explicit SimulatedFleet(int n) : instances(static_cast<std::size_t>(n)) {
    for (int i = 0; i < n; ++i) {
      incarnations.push_back(0);
      start(i);
    }
  }
  [[nodiscard]] int count() const { return static_cast<int>(instances.size()); }
  void start(int i) {
    instances[static_cast<std::size_t>(i)] = {
        SharedLimits(terms(count(), rate_per_s, burst_requests), 1, 1, clock(i))};
    ++incarnations[static_cast<std::size_t>(i)];
    limits_of(i).address_acquired(clock(i));
    for (int p = 0; p < count(); ++p) offer(i, p);
  }
  void offer(int i, int p) {
    if (p != i)
      limits_of(i).set_offer(peer(p),
                             {{.limit = 0, .rate = rate_per_s / static_cast<double>(instances.size())}});
  }
  SharedLimits& limits_of(int i) { return instances[static_cast<std::size_t>(i)].front(); }
  // The relative drift of any two clocks stays below lease_drift_ratio.
  [[nodiscard]] double clock(int i) const { return 1e6 * (i + 1) + now_ms * (1 + 0.004 * (i - 1)); }
  void request(int i) {
    for (int k = 0; k < 8; ++k) limits_of(i).quota(0).record_demand(clock(i));
    for (const auto& request : limits_of(i).lease_requests(clock(i)))
      send({.grant = false,
            .from = i,
            .to = index_of(request.lender),
            .from_incarnation = incarnations[static_cast<std::size_t>(i)],
            .requested_at_ms = clock(i),
            .quotas = request.quotas});
  }
  void send(Message m) {
    if (sent.size() >= 5) sent.erase(sent.begin());
    sent.push_back(std::move(m));
  }
  // Keeps the message in `sent`, so that a schedule can deliver it again or late.
  void deliver(std::size_t k) {
    auto m = sent[k];
    auto& to = limits_of(m.to);
    if (!m.grant) {
      auto granted = to.grant(peer(m.from), m.from_incarnation, m.quotas, clock(m.to));
      if (!granted.empty())
        send({.grant = true,
              .from = m.to,
              .to = m.from,
              .to_incarnation = m.from_incarnation,
              .requested_at_ms = m.requested_at_ms,
              .quotas = granted});
    } else if (m.to_incarnation == incarnations[static_cast<std::size_t>(m.to)]) {
      to.accept_grant(peer(m.from), m.requested_at_ms, m.quotas, clock(m.to));
    }
  }
  void advance(double ms) {
    now_ms += ms;
    for (int i = 0; i < count(); ++i) limits_of(i).update_agreement(all_agree, clock(i));
  }
  void use_all_tokens(int i) {
    while (limits_of(i).admit(0, 0, clock(i)) == 0) admit();
  }
  // Takes a token from a bucket for the whole fleet. The bucket is overdrawn if the bound is violated over
  // any window.
  void admit() {
    bucket = std::min(burst_requests, bucket + rate_per_s * 1.005 * (now_ms - bucket_at_ms) / 1000);
    bucket_at_ms = now_ms;
    bucket -= 1;
    ++admitted;
  }
  // Describes the first violation of the bound or an invariant; empty if there is none.
  [[nodiscard]] std::string failure() {
    double rates = 0;
    double tokens = 0;
    for (int i = 0; i < count(); ++i) {
      rates += limits_of(i).quota(0).available_rate(clock(i));
      tokens += limits_of(i).quota(0).tokens(clock(i));
      if (auto broken = limits_of(i).broken_invariant(clock(i))) return describe(broken);
    }
    if (rates > rate_per_s * (1 + 1e-9)) return "rates add up to " + std::to_string(rates);
    if (tokens > burst_requests * (1 + 1e-9)) return "tokens add up to " + std::to_string(tokens);
    if (bucket < -1e-6) return "admitted beyond rate and burst by " + std::to_string(-bucket);
    return {};
  }

  std::vector<std::vector<SharedLimits>> instances;
  std::vector<std::uint64_t> incarnations;
  std::vector<Message> sent;
  double now_ms = 0;
  double bucket = burst_requests;  // tokens
  double bucket_at_ms = 0;
  int admitted = 0;
};

// Performs step number `k` of the possible ones: a lease request or a restart of each instance, the passing
// of 480 or 1015 ms, the delivery of each kept message. Returns false if `k` is beyond the last one.
bool step(SimulatedFleet& simulation, std::size_t k) {
  auto n = simulation.instances.size();
  if (k < n) return simulation.request(static_cast<int>(k)), true;
  k -= n;
  if (k < n) return simulation.start(static_cast<int>(k)), true;
  k -= n;
  if (k < 2) return simulation.advance(k == 0 ? 480 : 1015), true;
  k -= 2;
  if (k >= simulation.sent.size()) return false;
  simulation.deliver(k);
  return true;
}

// Checks all schedules of up to `depth` steps from `simulation` and returns their number. Stops at the first
// violation and describes it in `failure`, after `path` and the further steps.
std::size_t explore(const SimulatedFleet& simulation, int depth, const std::string& path,
                    std::string& failure) {
  std::size_t explored = 0;
  for (std::size_t k = 0; failure.empty(); ++k) {
    SimulatedFleet next = simulation;
    if (!step(next, k)) break;
    ++explored;
    auto here = path + " " + std::to_string(k);
    if (auto broken = next.failure(); !broken.empty()) {
      failure = broken.append(" after").append(here);
    } else if (depth > 1) {
      explored += explore(next, depth - 1, here, failure);
    } else {
      // Finally, each instance uses all the tokens that it holds.
      for (int i = 0; i < static_cast<int>(next.instances.size()); ++i) next.use_all_tokens(i);
      if (broken = next.failure(); !broken.empty()) failure = broken.append(" after").append(here);
    }
  }
  return explored;
}

TEST(FleetLimits, BoundHoldsInAllShortSchedules) {
  std::string failure;
  std::size_t explored = 0;
  // Initial states: all quarantined; all own their shares; one has borrowed; half a lease later; full
  // buckets.
  SimulatedFleet simulation(3);
  explored += explore(simulation, 5, "start:", failure);
  simulation.advance(1020);
  explored += explore(simulation, 5, "own:", failure);
  simulation.request(0);
  for (std::size_t k = 0; k < 4; ++k) simulation.deliver(k);
  ASSERT_GT(simulation.limits_of(0).quota(0).borrowed(simulation.clock(0)), 5);
  explored += explore(simulation, 5, "borrowed:", failure);
  simulation.advance(480);
  explored += explore(simulation, 5, "half:", failure);
  SimulatedFleet full(3);
  full.advance(1020);
  full.advance(5000);
  explored += explore(full, 5, "full:", failure);
  EXPECT_EQ(failure, "");
  EXPECT_GT(explored, 100000u);
}

TEST(FleetLimits, BoundHoldsInLongRandomSchedules) {
  for (unsigned seed = 0; seed < 100000; ++seed) {
    std::minstd_rand rng(seed + 1);
    SimulatedFleet simulation(3);
    simulation.advance(1100);
    for (int k = 0; k < 30; ++k) {
      auto what = rng() % 16;
      int i = static_cast<int>(rng() % 3);
      if (what < 4)
        simulation.request(i);
      else if (what < 9 && !simulation.sent.empty())
        simulation.deliver(rng() % simulation.sent.size());
      else if (what == 9)
        simulation.start(i);
      else if (what < 13)
        simulation.advance(static_cast<double>(rng() % 700));
      else
        simulation.use_all_tokens(i);
      auto failure = simulation.failure();
      ASSERT_EQ(failure, "") << "seed " << seed << ", step " << k;
    }
  }
}

RC_GTEST_PROP(FleetLimits, BoundHoldsInAnySchedule, (const std::vector<unsigned char>& steps)) {
  SimulatedFleet simulation(3);
  simulation.advance(1100);
  for (auto s : steps) {
    if (!step(simulation, s % 16)) simulation.use_all_tokens(s % 3);
    RC_ASSERT(simulation.failure() == "");
  }
}

TEST(FleetLimits, GrantIsIgnoredAfterExpiryOrRestart) {
  SimulatedFleet simulation(3);
  simulation.advance(1100);
  simulation.request(0);
  simulation.deliver(0);
  ASSERT_EQ(simulation.sent.size(), 3u);
  auto late = simulation;
  late.now_ms += 1010;  // all instances were paused
  late.deliver(2);
  EXPECT_EQ(late.limits_of(0).quota(0).borrowed(late.clock(0)), 0);
  simulation.start(0);
  simulation.deliver(2);
  EXPECT_EQ(simulation.limits_of(0).quota(0).borrowed(simulation.clock(0)), 0);
}

TEST(FleetLimits, BrokenInvariantNamesItsValues) {
  EXPECT_EQ(describe(std::nullopt), "");
  BrokenInvariant broken{
      .invariant = Invariant::bucket_within_capacity, .value = 12.5, .bound = 12, .subject = "a/*"};
  EXPECT_EQ(describe(broken), "token bucket exceeds its capacity: value 12.5, bound 12, subject a/*");
}

// A process that was declared gone may still run beside its successor of the same name. If the lender
// counted both as one borrower, it could lend more than its share.
TEST(FleetLimits, TwoIncarnationsOfOneNameBorrowSeparately) {
  SimulatedFleet simulation(3);
  simulation.advance(1100);
  double first = simulation.limits_of(1).quota(0).grant(peer(0), 1, 6, simulation.clock(1));
  double second = simulation.limits_of(1).quota(0).grant(peer(0), 2, 6, simulation.clock(1));
  EXPECT_DOUBLE_EQ(first, 6);
  EXPECT_LE(first + second + simulation.limits_of(1).quota(0).available_rate(simulation.clock(1)),
            10.0 + 1e-9);
}

TEST(FleetLimits, QuarantinedInstanceOwnsNothingButMayBorrow) {
  SimulatedFleet simulation(3);
  EXPECT_GT(simulation.limits_of(0).admit(0, 0, simulation.clock(0)), 0);
  simulation.advance(1100);
  simulation.start(0);
  simulation.request(0);
  for (std::size_t k = 0; k < simulation.sent.size(); ++k) simulation.deliver(k);
  simulation.advance(400);
  simulation.use_all_tokens(0);
  EXPECT_GE(simulation.admitted, 3);
  EXPECT_EQ(simulation.failure(), "");
}

TEST(FleetLimits, InstanceWithoutAddressOwnsNothing) {
  SharedLimits shared_limits(terms(2, 100, 20), 1, 1, 0);
  for (double t = 0; t < 10000; t += 100) {
    shared_limits.update_agreement(all_agree, t);
    EXPECT_GT(shared_limits.admit(0, 0, t), 0);
  }
}

TEST(FleetLimits, StartWithDifferingFileWaitsForAgreement) {
  SharedLimits shared_limits(terms(2, 100, 20), 1, 1, 0);
  shared_limits.address_acquired(0);
  shared_limits.update_agreement(one_config_differs, 2000);
  EXPECT_GT(shared_limits.admit(0, 0, 3000), 0);
  EXPECT_TRUE(shared_limits.lendable(3000).empty());
  shared_limits.update_agreement(all_agree, 4000);
  EXPECT_EQ(shared_limits.admit(0, 0, 5000), 0);
}

TEST(FleetLimits, ReloadLowersAtOnceRaisesAfterAgreement) {
  SharedLimits shared_limits(terms(2, 100, 20), 1, 1, 0);
  shared_limits.address_acquired(0);
  shared_limits.update_agreement(all_agree, 1100);
  EXPECT_DOUBLE_EQ(shared_limits.quota(0).available_rate(1200), 50);
  shared_limits.reload(terms(4, 100, 20), 1200);
  EXPECT_DOUBLE_EQ(shared_limits.quota(0).available_rate(1200), 25);
  shared_limits.reload(terms(2, 100, 20), 1300);
  for (double t = 1300; t < 4000; t += 100) shared_limits.update_agreement(one_config_unknown, t);
  EXPECT_DOUBLE_EQ(shared_limits.quota(0).available_rate(4000), 25);
  shared_limits.update_agreement(all_agree, 4000);
  EXPECT_DOUBLE_EQ(shared_limits.quota(0).available_rate(4900), 25);
  shared_limits.update_agreement(all_agree, 5011);
  EXPECT_DOUBLE_EQ(shared_limits.quota(0).available_rate(5011), 50);
}

TEST(FleetLimits, RequestTakesTokensOfAllItsLimitsOrNone) {
  LimitTerms t{.limits = {{.name = "a/*", .tenant = 0, .rate = 100, .burst = 10},
                          {.name = "*/p", .request_class = 0, .rate = 100, .burst = 4},
                          {.name = "(others)/*", .tenant = match_others, .rate = 100, .burst = 2}}};
  SharedLimits shared_limits(t, 1, 2, 0);
  shared_limits.address_acquired(0);
  shared_limits.update_agreement(all_agree, 1100);
  auto admits = [&](int tenant, int request_class) {
    int n = 0;
    while (n < 100 && shared_limits.admit(tenant, request_class, 20000) == 0) ++n;
    return n;
  };
  EXPECT_EQ(admits(0, 0), 4);
  EXPECT_EQ(admits(0, 1), 6);  // requests that the class limit rejected took no token of the tenant limit
  EXPECT_EQ(admits(-1, 0), 0);
  EXPECT_EQ(admits(-1, 1), 2);
  shared_limits.undo_admission(-1, 1, 20000);
  EXPECT_EQ(admits(-1, 1), 1);
}

TEST(FleetLimits, RetryAtTheReturnedTimeIsAdmitted) {
  SharedLimits shared_limits(terms(1, 100, 10), 1, 1, 0);
  shared_limits.address_acquired(0);
  shared_limits.update_agreement(all_agree, 1100);
  double now_ms = 5000;
  while (shared_limits.admit(0, 0, now_ms) == 0) {
  }
  std::vector<double> retry_times_ms;
  for (int k = 0; k < 20; ++k) retry_times_ms.push_back(now_ms + shared_limits.admit(0, 0, now_ms));
  for (double retry_at_ms : retry_times_ms)
    EXPECT_EQ(shared_limits.admit(0, 0, retry_at_ms + 1), 0) << retry_at_ms;
  for (int k = 0; k < 2000; ++k) EXPECT_LE(shared_limits.admit(0, 0, now_ms), LimitQuota::max_retry_after_ms);
}

}  // namespace
}  // namespace meadowgauge::fleet
