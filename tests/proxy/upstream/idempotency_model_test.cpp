// Guards against a request that has its effect twice. Runs random orders of events on a simulated clock: the
// policy, the request table and the upstream attempts with simulated servers. Seeds are fixed.
#include "proxy/upstream/idempotency_model.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace meadowgauge::test {
namespace {

constexpr std::uint64_t model_count = 200;  // each with about fifty requests
// From this window on the policy's margin covers the longest pause and the network delay to a server.
constexpr double min_window_beyond_pause_ms = 1700;
constexpr double max_window_beyond_pause_ms = 2000;
constexpr double max_window_near_pause_ms = 1500;
constexpr double high_pause_share = 0.4;  // probability at each point of a turn where a pause is possible
constexpr double high_parts_share = 0.7;
constexpr double ratio_without_margin = 1 / 0.9;  // the policy's margin is a tenth of its window setting

// Sums over all models of a test.
struct Totals {
  int requests = 0;
  int repeated_runs = 0;
  int rejected_after_run = 0;
  int withdrawn = 0;
  int hedged = 0;
  int unsent_at_send_deadline = 0;
  int lists_in_connection_turns = 0;
  int breaches = 0;
  std::string first_breach;
};

// Whether further models run after the first one with a breach.
enum class RunUntil : std::uint8_t { first_breach, end };

// Runs one model for each seed from 1 on.
Totals run_models(ModelSettings settings, PauseAllowance allowance, RunUntil until = RunUntil::end) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= model_count; ++seed) {
    settings.seed = seed;
    IdempotencyModel model(settings);
    model.run();
    totals.requests += model.request_count();
    totals.repeated_runs += model.checker().repeated_runs();
    totals.rejected_after_run += model.checker().rejected_after_run();
    totals.withdrawn += model.withdrawn;
    totals.hedged += model.hedged;
    totals.unsent_at_send_deadline += model.unsent_at_send_deadline;
    totals.lists_in_connection_turns += model.lists_in_connection_turns;
    auto breaches = model.checker().breaches(allowance);
    totals.breaches += static_cast<int>(breaches.size());
    if (totals.first_breach.empty() && !breaches.empty())
      totals.first_breach = "seed " + std::to_string(seed) + ", " + breaches.front();
    if (until == RunUntil::first_breach && !breaches.empty()) break;
  }
  return totals;
}

// The events of the first request that broke the rule, for the message of a failed test.
std::string history_of_first_breach(ModelSettings settings, PauseAllowance allowance) {
  settings.keeps_history = true;
  for (std::uint64_t seed = 1; seed <= model_count; ++seed) {
    settings.seed = seed;
    IdempotencyModel model(settings);
    model.run();
    if (auto call = model.checker().first_call_in_breach(allowance)) return model.history(*call);
  }
  return "";
}

void expect_no_breach(const Totals& totals, const ModelSettings& settings, PauseAllowance allowance) {
  EXPECT_EQ(totals.breaches, 0) << "of " << totals.requests << " requests; first: " << totals.first_breach
                                << "\n"
                                << history_of_first_breach(settings, allowance);
}

// Requests are written whole and not hedged; no list arrives in a turn in which a connection becomes ready.
constexpr ModelSettings whole_requests{.hedging = false, .parts_share = 0, .lists_in_write_turns = false};

// Guards against a retry that is sent outside the group or the window of its idempotency key.
TEST(IdempotencyModel, RetriesStayWithinGroupAndWindow) {
  auto totals = run_models(whole_requests, PauseAllowance::granted);
  expect_no_breach(totals, whole_requests, PauseAllowance::granted);
  // The runs contain every case that is checked.
  EXPECT_GT(totals.repeated_runs, 500);
  EXPECT_GT(totals.rejected_after_run, 100);
  EXPECT_GT(totals.withdrawn, 30);
  EXPECT_GT(totals.unsent_at_send_deadline, 80);
}

// Guards against a pause that the policy's margin of a long window does not cover.
TEST(IdempotencyModel, MarginOfLongWindowsCoversAPause) {
  auto settings = whole_requests;
  settings.min_window_ms = min_window_beyond_pause_ms;
  settings.max_window_ms = max_window_beyond_pause_ms;
  settings.pause_share = high_pause_share;
  auto totals = run_models(settings, PauseAllowance::none);
  expect_no_breach(totals, settings, PauseAllowance::none);
  EXPECT_GT(totals.repeated_runs, 500);
}

// Guards against a hedged request that is sent outside the group or the window of its idempotency key.
TEST(IdempotencyModel, HedgedRequestsStayWithinGroupAndWindow) {
  auto settings = whole_requests;
  settings.hedging = true;
  auto totals = run_models(settings, PauseAllowance::granted);
  expect_no_breach(totals, settings, PauseAllowance::granted);
  EXPECT_GT(totals.hedged, 300);
}

// Guards against a last byte that is written after the window: the first part of a request is written in
// time, and the turn that writes the rest is late.
TEST(IdempotencyModel, RequestsWrittenInPartsStayWithinTheWindow) {
  auto settings = whole_requests;
  settings.parts_share = 0.3;
  settings.max_window_ms = max_window_near_pause_ms;
  auto totals = run_models(settings, PauseAllowance::granted);
  expect_no_breach(totals, settings, PauseAllowance::granted);
  EXPECT_GT(totals.repeated_runs, 300);
}

// Guards against a first attempt whose last byte is written after the window that its hedged request began.
TEST(IdempotencyModel, FirstAttemptKeepsTheHedgedWindow) {
  auto settings = whole_requests;
  settings.parts_share = high_parts_share;
  settings.hedging = true;
  auto totals = run_models(settings, PauseAllowance::granted);
  expect_no_breach(totals, settings, PauseAllowance::granted);
  EXPECT_GT(totals.hedged, 300);
}

// Guards against a write to a server that a list in the same turn has moved to another group.
TEST(IdempotencyModel, ListOfTheSameTurnIsAppliedBeforeTheWrite) {
  auto settings = whole_requests;
  settings.lists_in_write_turns = true;
  auto totals = run_models(settings, PauseAllowance::granted);
  expect_no_breach(totals, settings, PauseAllowance::granted);
  EXPECT_GT(totals.lists_in_connection_turns, 300);
}

// A fault, and the breach that the checker must report.
struct FaultCase {
  ModelFault fault = ModelFault::none;
  double configured_window_ratio = 1;
  double min_window_ms = 300;
  double max_window_ms = 30000;
  double pause_share = 0.05;
  PauseAllowance allowance = PauseAllowance::granted;
  const char* expected_breach = "";
};

class RepeatCheckerTest : public testing::TestWithParam<FaultCase> {};

// Guards against a checker that misses breaches.
TEST_P(RepeatCheckerTest, ReportsTheFault) {
  auto settings = whole_requests;
  settings.fault = GetParam().fault;
  settings.configured_window_ratio = GetParam().configured_window_ratio;
  settings.min_window_ms = GetParam().min_window_ms;
  settings.max_window_ms = GetParam().max_window_ms;
  settings.pause_share = GetParam().pause_share;
  auto totals = run_models(settings, GetParam().allowance, RunUntil::first_breach);
  EXPECT_NE(totals.first_breach.find(GetParam().expected_breach), std::string::npos) << totals.first_breach;
}

INSTANTIATE_TEST_SUITE_P(
    IdempotencyModel, RepeatCheckerTest,
    testing::Values(
        FaultCase{.configured_window_ratio = ratio_without_margin,
                  .min_window_ms = min_window_beyond_pause_ms,
                  .max_window_ms = max_window_beyond_pause_ms,
                  .pause_share = high_pause_share,
                  .allowance = PauseAllowance::none,
                  .expected_breach = "past its window"},
        FaultCase{.fault = ModelFault::no_send_deadline, .expected_breach = "ran past its window"},
        FaultCase{.fault = ModelFault::no_withdrawal, .expected_breach = "ran in another"},
        FaultCase{.fault = ModelFault::long_retry_after, .expected_breach = "rejected past its window"},
        FaultCase{.fault = ModelFault::late_last_byte, .expected_breach = "ran past its window"}));

}  // namespace
}  // namespace meadowgauge::test
