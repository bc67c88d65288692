// How soon a fleet of balancers, each with its policy and its verdicts, uses a server again that was silent
// for a while. While all others avoid the server, the trial must not depend on a random choice of the picker.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fixtures/policy_harness.hpp"
#include "fleet/outlier_verdicts.hpp"

namespace meadowgauge::fleet {
namespace {

using test::PolicyHarness;
using test::RuleSettings;

constexpr int balancer_count = 8;
constexpr int server_count = 8;
constexpr int silent_server = 3;
constexpr double step_ms = 5;
constexpr double verdict_interval_ms = 50;  // as in program::FleetVerdicts
constexpr double request_interval_ms = 80;  // mean at each balancer
constexpr double client_timeout_ms = 1500;
constexpr double service_ms = 10;
constexpr double silent_from_ms = 3000;

std::string name_of(int balancer) { return "b" + std::to_string(balancer); }

class SimulatedFleet {
 public:
  SimulatedFleet(std::uint64_t seed, double silent_until_ms)
      : random_(seed), silent_until_ms_(silent_until_ms) {
    RuleSettings rules;
    rules.copies = false;
    for (int i = 0; i < balancer_count; ++i) {
      names_.push_back(name_of(i));
      balancers_.push_back(std::make_unique<Member>(rules, seed * balancer_count + i, name_of(i)));
      start_ms_ = balancers_.back()->harness.now_ms;
      balancers_.back()->next_request_ms = next_interval_ms();
    }
  }

  void run_until(double end_ms) {
    for (; now_ms_ < end_ms; now_ms_ += step_ms) {
      for (auto& member : balancers_) serve(*member);
      if (std::fmod(now_ms_, verdict_interval_ms) < step_ms) exchange_verdicts();
    }
  }

  // Number of requests sent to the silent server in (from_ms, until_ms] that the server served.
  [[nodiscard]] int served_between(double from_ms, double until_ms) const {
    return static_cast<int>(std::count_if(served_at_ms_.begin(), served_at_ms_.end(), [&](double at_ms) {
      return at_ms > from_ms && at_ms <= until_ms;
    }));
  }
  // Number of requests that the silent server received and did not answer.
  [[nodiscard]] int unanswered_requests() const {
    int sum = 0;
    for (const auto& member : balancers_) sum += member->harness.sends[silent_server];
    return sum - served_by_silent_server_;
  }
  [[nodiscard]] std::string breach() const {
    for (const auto& member : balancers_)
      if (!member->harness.check.breach.empty()) return member->harness.check.breach;
    return {};
  }

 private:
  struct Member {
    Member(const RuleSettings& rules, std::uint64_t seed, std::string name)
        : harness(rules, server_count, seed), verdicts(std::move(name)) {}
    PolicyHarness harness;
    OutlierVerdicts verdicts;
    std::vector<ServerId> ejected;
    double next_request_ms = 0;
  };

  double next_interval_ms() {
    return std::exponential_distribution<double>(1 / request_interval_ms)(random_);
  }

  void serve(Member& member) {
    auto& harness = member.harness;
    for (; member.next_request_ms <= now_ms_; member.next_request_ms += next_interval_ms())
      harness.submit(0, client_timeout_ms);
    std::vector<std::pair<int, int>> served;
    for (const auto& [id, open] : harness.requests)
      for (const auto& [number, limit] : open.limits) {
        const auto& attempt = open.v.attempts[static_cast<std::size_t>(number)];
        if (is_served(attempt)) served.emplace_back(id, number);
      }
    for (auto [id, number] : served) {
      const auto& attempt = harness.requests.at(id).v.attempts[static_cast<std::size_t>(number)];
      int server = test::number_of(attempt.endpoint);
      if (server == silent_server) served_at_ms_.push_back(attempt.sent_at_ms - start_ms_);
      if (server == silent_server) ++served_by_silent_server_;
      member.verdicts.record_success(harness.entries[static_cast<std::size_t>(server)].id, now_ms_);
      harness.end(id, number, Outcome::succeeded);
    }
    harness.pass(step_ms);
  }

  [[nodiscard]] bool is_served(const Attempt& attempt) const {
    double sent_ms = attempt.sent_at_ms - start_ms_;
    bool is_lost = test::number_of(attempt.endpoint) == silent_server && sent_ms >= silent_from_ms &&
                   sent_ms < silent_until_ms_;
    return !is_lost && now_ms_ - sent_ms >= service_ms;
  }

  // Does what program::FleetVerdicts does on its tick; datagrams arrive without delay.
  void exchange_verdicts() {
    for (auto& member : balancers_) {
      std::vector<EndpointIndex> unhealthy;
      static_cast<void>(member->harness.policy.unavailable_endpoints(member->harness.now_ms, &unhealthy));
      std::vector<ServerId> suspects;
      for (auto endpoint : unhealthy) suspects.push_back(id_of(endpoint));
      static_cast<void>(member->verdicts.record_suspects(suspects, now_ms_));
    }
    for (auto& from : balancers_)
      for (auto& to : balancers_)
        if (from != to)
          to->verdicts.merge(names_[static_cast<std::size_t>(&from - balancers_.data())],
                             from->verdicts.observations(now_ms_), from->verdicts.unhealthy_share(now_ms_),
                             now_ms_);
    for (auto& member : balancers_) apply(*member);
  }

  void apply(Member& member) {
    std::vector<ServerId> listed;
    for (const auto& entry : member.harness.entries) listed.push_back(entry.id);
    auto ejected = member.verdicts.ejected(listed, names_, now_ms_);
    GossipContent gossip;
    for (auto server : ejected) gossip.endpoints.push_back({.id = server, .failure_share = 1});
    for (auto server : member.ejected)
      if (std::find(ejected.begin(), ejected.end(), server) == ejected.end())
        gossip.endpoints.push_back({.id = server, .failure_share = 0});
    member.ejected = ejected;
    if (!gossip.endpoints.empty()) member.harness.policy.gossip_received(gossip, member.harness.now_ms);
    member.harness.policy.request_trials(member.verdicts.on_trial(listed, names_, now_ms_));
  }

  static ServerId id_of(EndpointIndex endpoint) {
    return 1000U + static_cast<ServerId>(test::number_of(endpoint));
  }

  std::mt19937_64 random_;
  double silent_until_ms_;
  double start_ms_ = 0;
  double now_ms_ = 0;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Member>> balancers_;
  std::vector<double> served_at_ms_;
  int served_by_silent_server_ = 0;
};

// The check of FleetRun.SharedVerdictsLimitBlackHoledRequests for silences that end at any phase of a trial.
// When the trial was left to the picker's random choice, a recovered server got no request within the checked
// time.
TEST(FleetRecovery, RecoveredServerIsUsedAtAnyTrialPhase) {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    double silent_until_ms = 6000 + 5.0 * static_cast<double>(seed);
    SimulatedFleet fleet(seed, silent_until_ms);
    fleet.run_until(silent_until_ms + 3000);
    EXPECT_EQ(fleet.breach(), "") << "seed " << seed;
    EXPECT_GT(fleet.served_between(silent_until_ms + 1500, silent_until_ms + 3000), 3) << "seed " << seed;
    EXPECT_LE(fleet.unanswered_requests(), 11) << "seed " << seed;
  }
}

}  // namespace
}  // namespace meadowgauge::fleet
