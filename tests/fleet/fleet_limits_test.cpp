// Fleet-wide limits as values: all schedules of a small case (messages in any order, lost and duplicated,
// crashes, expiries) and long random schedules. The checks compare the admitted requests with the bound.
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
using test::one_differs;
using test::one_unseen;
using test::peer;
using test::terms;

struct Message {
  bool grant = false;
  int from = 0;
  int to = 0;
  std::uint64_t from_incarnation = 0;
  std::uint64_t to_incarnation = 0;
  double requested_at_ms = 0;  // by the requester's clock
  std::vector<Quota> quotas;
};

// Instances whose clocks differ in reading and in rate. The schedule decides when and how often each message
// is delivered.
struct World {
  static constexpr double rate_per_s = 30;
  static constexpr double burst_requests = 24;
  explicit World(int n) : instances(static_cast<std::size_t>(n)) {
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
  // The drift of two clocks together stays below what a lender allows for.
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
  // Keeps the message, so that a schedule can deliver it again and late.
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
  void pass(double ms) {
    now_ms += ms;
    for (int i = 0; i < count(); ++i) limits_of(i).update_agreement(all_agree, clock(i));
  }
  void take(int i) {
    while (limits_of(i).admit(0, 0, clock(i)) == 0) admit();
  }
  // Counts against one token bucket of the whole fleet, which states the bound over any window.
  void admit() {
    bucket = std::min(burst_requests, bucket + rate_per_s * 1.005 * (now_ms - bucket_at_ms) / 1000);
    bucket_at_ms = now_ms;
    bucket -= 1;
    ++admitted;
  }
  // Empty where the bound and all invariants hold.
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

// Takes the possible step number `k`. False: there are fewer steps.
bool step(World& w, std::size_t k) {
  auto n = w.instances.size();
  if (k < n) return w.request(static_cast<int>(k)), true;
  k -= n;
  if (k < n) return w.start(static_cast<int>(k)), true;
  k -= n;
  if (k < 2) return w.pass(k == 0 ? 480 : 1015), true;
  k -= 2;
  if (k >= w.sent.size()) return false;
  w.deliver(k);
  return true;
}

std::size_t explore(const World& w, int depth, const std::string& path, std::string& failure) {
  std::size_t seen = 0;
  for (std::size_t k = 0; failure.empty(); ++k) {
    World next = w;
    if (!step(next, k)) break;
    ++seen;
    auto here = path + " " + std::to_string(k);
    if (auto broken = next.failure(); !broken.empty()) {
      failure = broken.append(" after").append(here);
    } else if (depth > 1) {
      seen += explore(next, depth - 1, here, failure);
    } else {
      // At the end each instance uses all tokens that it holds.
      for (int i = 0; i < static_cast<int>(next.instances.size()); ++i) next.take(i);
      if (broken = next.failure(); !broken.empty()) failure = broken.append(" after").append(here);
    }
  }
  return seen;
}

TEST(FleetLimits, EveryOrderOfASmallCase) {
  std::string failure;
  std::size_t seen = 0;
  // Starts: quarantined; all own their shares; one has borrowed; half a lease later; buckets full.
  World w(3);
  seen += explore(w, 5, "start:", failure);
  w.pass(1020);
  seen += explore(w, 5, "own:", failure);
  w.request(0);
  for (std::size_t k = 0; k < 4; ++k) w.deliver(k);
  ASSERT_GT(w.limits_of(0).quota(0).borrowed(w.clock(0)), 5);
  seen += explore(w, 5, "borrowed:", failure);
  w.pass(480);
  seen += explore(w, 5, "half:", failure);
  World full(3);
  full.pass(1020);
  full.pass(5000);
  seen += explore(full, 5, "full:", failure);
  EXPECT_EQ(failure, "");
  EXPECT_GT(seen, 100000u);
}

TEST(FleetLimits, LongSchedulesAtRandom) {
  for (unsigned seed = 0; seed < 100000; ++seed) {
    std::minstd_rand rng(seed + 1);
    World w(3);
    w.pass(1100);
    for (int k = 0; k < 30; ++k) {
      auto what = rng() % 16;
      int i = static_cast<int>(rng() % 3);
      if (what < 4)
        w.request(i);
      else if (what < 9 && !w.sent.empty())
        w.deliver(rng() % w.sent.size());
      else if (what == 9)
        w.start(i);
      else if (what < 13)
        w.pass(static_cast<double>(rng() % 700));
      else
        w.take(i);
      auto failure = w.failure();
      ASSERT_EQ(failure, "") << "seed " << seed << ", step " << k;
    }
  }
}

RC_GTEST_PROP(FleetLimits, AnySchedule, (const std::vector<unsigned char>& steps)) {
  World w(3);
  w.pass(1100);
  for (auto s : steps) {
    if (!step(w, s % 16)) w.take(s % 3);
    RC_ASSERT(w.failure() == "");
  }
}

TEST(FleetLimits, GrantIsVoidAfterExpiryOrRestart) {
  World w(3);
  w.pass(1100);
  w.request(0);
  w.deliver(0);
  ASSERT_EQ(w.sent.size(), 3u);
  auto late = w;
  late.now_ms += 1010;  // all instances are paused
  late.deliver(2);
  EXPECT_EQ(late.limits_of(0).quota(0).borrowed(late.clock(0)), 0);
  w.start(0);
  w.deliver(2);
  EXPECT_EQ(w.limits_of(0).quota(0).borrowed(w.clock(0)), 0);
}

TEST(FleetLimits, BrokenInvariantNamesItsValues) {
  EXPECT_EQ(describe(std::nullopt), "");
  BrokenInvariant broken{
      .invariant = Invariant::bucket_within_capacity, .value = 12.5, .bound = 12, .subject = "a/*"};
  EXPECT_EQ(describe(broken), "token bucket exceeds its capacity: value 12.5, bound 12, subject a/*");
}

// A process that was declared dead may still run beside the process that took its name.
TEST(FleetLimits, TwoIncarnationsOfOneNameBorrowSeparately) {
  World w(3);
  w.pass(1100);
  double first = w.limits_of(1).quota(0).grant(peer(0), 1, 6, w.clock(1));
  double second = w.limits_of(1).quota(0).grant(peer(0), 2, 6, w.clock(1));
  EXPECT_DOUBLE_EQ(first, 6);
  EXPECT_LE(first + second + w.limits_of(1).quota(0).available_rate(w.clock(1)), 10.0 + 1e-9);
}

TEST(FleetLimits, QuarantinedInstanceOwnsNothingButMayBorrow) {
  World w(3);
  EXPECT_GT(w.limits_of(0).admit(0, 0, w.clock(0)), 0);
  w.pass(1100);
  w.start(0);
  w.request(0);
  for (std::size_t k = 0; k < w.sent.size(); ++k) w.deliver(k);
  w.pass(400);
  w.take(0);
  EXPECT_GE(w.admitted, 3);
  EXPECT_EQ(w.failure(), "");
}

TEST(FleetLimits, InstanceWithoutAddressOwnsNothing) {
  SharedLimits l(terms(2, 100, 20), 1, 1, 0);
  for (double t = 0; t < 10000; t += 100) {
    l.update_agreement(all_agree, t);
    EXPECT_GT(l.admit(0, 0, t), 0);
  }
}

TEST(FleetLimits, InstanceStartedWithAnotherFileWaits) {
  SharedLimits l(terms(2, 100, 20), 1, 1, 0);
  l.address_acquired(0);
  l.update_agreement(one_differs, 2000);
  EXPECT_GT(l.admit(0, 0, 3000), 0);
  EXPECT_TRUE(l.lendable(3000).empty());
  l.update_agreement(all_agree, 4000);
  EXPECT_EQ(l.admit(0, 0, 5000), 0);
}

TEST(FleetLimits, ReloadLowersAtOnceRaisesAfterAgreement) {
  SharedLimits l(terms(2, 100, 20), 1, 1, 0);
  l.address_acquired(0);
  l.update_agreement(all_agree, 1100);
  EXPECT_DOUBLE_EQ(l.quota(0).available_rate(1200), 50);
  l.reload(terms(4, 100, 20), 1200);
  EXPECT_DOUBLE_EQ(l.quota(0).available_rate(1200), 25);
  l.reload(terms(2, 100, 20), 1300);
  for (double t = 1300; t < 4000; t += 100) l.update_agreement(one_unseen, t);
  EXPECT_DOUBLE_EQ(l.quota(0).available_rate(4000), 25);
  l.update_agreement(all_agree, 4000);
  EXPECT_DOUBLE_EQ(l.quota(0).available_rate(4900), 25);
  l.update_agreement(all_agree, 5011);
  EXPECT_DOUBLE_EQ(l.quota(0).available_rate(5011), 50);
}

TEST(FleetLimits, RequestTakesTokensOfAllItsLimitsOrNone) {
  LimitTerms t{.limits = {{.name = "a/*", .tenant = 0, .rate = 100, .burst = 10},
                          {.name = "*/p", .request_class = 0, .rate = 100, .burst = 4},
                          {.name = "(others)/*", .tenant = match_others, .rate = 100, .burst = 2}}};
  SharedLimits l(t, 1, 2, 0);
  l.address_acquired(0);
  l.update_agreement(all_agree, 1100);
  auto admits = [&](int tenant, int request_class) {
    int n = 0;
    while (n < 100 && l.admit(tenant, request_class, 20000) == 0) ++n;
    return n;
  };
  EXPECT_EQ(admits(0, 0), 4);
  EXPECT_EQ(admits(0, 1), 6);  // rejections by the class took no tokens of the tenant
  EXPECT_EQ(admits(-1, 0), 0);
  EXPECT_EQ(admits(-1, 1), 2);
  l.undo_admission(-1, 1, 20000);
  EXPECT_EQ(admits(-1, 1), 1);
}

TEST(FleetLimits, RejectionStatesTheTimeOfTheNextToken) {
  SharedLimits l(terms(1, 100, 10), 1, 1, 0);
  l.address_acquired(0);
  l.update_agreement(all_agree, 1100);
  double now_ms = 5000;
  while (l.admit(0, 0, now_ms) == 0) {
  }
  std::vector<double> retry_times_ms;
  for (int k = 0; k < 20; ++k) retry_times_ms.push_back(now_ms + l.admit(0, 0, now_ms));
  for (double retry_at_ms : retry_times_ms) EXPECT_EQ(l.admit(0, 0, retry_at_ms + 1), 0) << retry_at_ms;
  for (int k = 0; k < 2000; ++k) EXPECT_LE(l.admit(0, 0, now_ms), LimitQuota::max_retry_after_ms);
}

}  // namespace
}  // namespace meadowgauge::fleet
