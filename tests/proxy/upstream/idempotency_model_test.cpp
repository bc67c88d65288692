// No request has its effect twice, over random orders of events on a simulated clock: the policy, the request
// table and the upstream attempts between servers that the model plays. Seeds are fixed.
#include "proxy/upstream/idempotency_model.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace meadowgauge::test {
namespace {

constexpr std::uint64_t world_count = 200;  // each with some fifty requests
// From this window on the margin of the policy covers the longest hold and the way to a server.
constexpr double min_window_beyond_hold_ms = 1700;
constexpr double max_window_beyond_hold_ms = 2000;
constexpr double max_window_near_hold_ms = 1500;
constexpr double often_held_share = 0.4;  // of the places in a turn
constexpr double often_in_parts_share = 0.7;
constexpr double ratio_without_margin = 1 / 0.9;  // the policy keeps a tenth of the window that it is told

struct Found {
  int requests = 0;
  int repeated_runs = 0;
  int rejected_after_run = 0;
  int withdrawn = 0;
  int hedged = 0;
  int unsent_at_latest_write = 0;
  int lists_in_the_turn_of_a_connection = 0;
  int breaches = 0;
  std::string first_breach;
};

// Whether worlds are played after one with a breach, to count all.
enum class PlayUntil : std::uint8_t { first_breach, end };

// Plays the worlds of the seeds from 1 on.
Found play(ModelSettings settings, HoldAllowance allowance, PlayUntil until = PlayUntil::end) {
  Found found;
  for (std::uint64_t seed = 1; seed <= world_count; ++seed) {
    settings.seed = seed;
    IdempotencyModel model(settings);
    model.run();
    found.requests += model.request_count();
    found.repeated_runs += model.checker().repeated_runs();
    found.rejected_after_run += model.checker().rejected_after_run();
    found.withdrawn += model.withdrawn;
    found.hedged += model.hedged;
    found.unsent_at_latest_write += model.unsent_at_latest_write;
    found.lists_in_the_turn_of_a_connection += model.lists_in_the_turn_of_a_connection;
    auto breaches = model.checker().breaches(allowance);
    found.breaches += static_cast<int>(breaches.size());
    if (found.first_breach.empty() && !breaches.empty())
      found.first_breach = "seed " + std::to_string(seed) + ", " + breaches.front();
    if (until == PlayUntil::first_breach && !breaches.empty()) break;
  }
  return found;
}

// The history of the request that broke the rule first; for the message of a failed test.
std::string history_of_first_breach(ModelSettings settings, HoldAllowance allowance) {
  settings.keeps_history = true;
  for (std::uint64_t seed = 1; seed <= world_count; ++seed) {
    settings.seed = seed;
    IdempotencyModel model(settings);
    model.run();
    if (auto call = model.checker().first_in_breach(allowance)) return model.history(*call);
  }
  return "";
}

void expect_no_breach(const Found& found, const ModelSettings& settings, HoldAllowance allowance) {
  EXPECT_EQ(found.breaches, 0) << "of " << found.requests << " requests; first: " << found.first_breach
                               << "\n"
                               << history_of_first_breach(settings, allowance);
}

// Requests that are written at once, without hedged ones; lists come in other turns than connections.
constexpr ModelSettings whole_requests{.hedging = false, .parts_share = 0, .lists_in_write_turns = false};

// Guards against a further attempt that is sent outside the group or the window of its key.
TEST(IdempotencyModel, WholeRequestsRunAgainWithinGroupAndWindow) {
  auto found = play(whole_requests, HoldAllowance::granted);
  expect_no_breach(found, whole_requests, HoldAllowance::granted);
  // The orders contain every case that is judged.
  EXPECT_GT(found.repeated_runs, 500);
  EXPECT_GT(found.rejected_after_run, 100);
  EXPECT_GT(found.withdrawn, 30);
  EXPECT_GT(found.unsent_at_latest_write, 80);
}

// Guards against a hold that the margin of a long window does not cover.
TEST(IdempotencyModel, LongWindowsCoverAHoldByThemselves) {
  auto settings = whole_requests;
  settings.min_window_ms = min_window_beyond_hold_ms;
  settings.max_window_ms = max_window_beyond_hold_ms;
  settings.hold_share = often_held_share;
  auto found = play(settings, HoldAllowance::none);
  expect_no_breach(found, settings, HoldAllowance::none);
  EXPECT_GT(found.repeated_runs, 500);
}

// Guards against a hedged request that is sent outside the group or the window of its key.
TEST(IdempotencyModel, WholeHedgedRequestsRunAgainWithinGroupAndWindow) {
  auto settings = whole_requests;
  settings.hedging = true;
  auto found = play(settings, HoldAllowance::granted);
  expect_no_breach(found, settings, HoldAllowance::granted);
  EXPECT_GT(found.hedged, 300);
}

// Guards against a last byte that is written after the window, since the turn is late and only the first part
// of a request was written before.
TEST(IdempotencyModel, RequestsWrittenInPartsRunAgainWithinTheWindow) {
  auto settings = whole_requests;
  settings.parts_share = 0.3;
  settings.max_window_ms = max_window_near_hold_ms;
  auto found = play(settings, HoldAllowance::granted);
  expect_no_breach(found, settings, HoldAllowance::granted);
  EXPECT_GT(found.repeated_runs, 300);
}

// Guards against a first attempt whose last byte is written long after that of a hedged request.
TEST(IdempotencyModel, FirstAttemptKeepsTheHedgedWindow) {
  auto settings = whole_requests;
  settings.parts_share = often_in_parts_share;
  settings.hedging = true;
  auto found = play(settings, HoldAllowance::granted);
  expect_no_breach(found, settings, HoldAllowance::granted);
  EXPECT_GT(found.hedged, 300);
}

// Guards against a write to a server that a list of the same turn has moved to another group.
TEST(IdempotencyModel, AListInTheTurnOfAConnectionComesBeforeTheWrite) {
  auto settings = whole_requests;
  settings.lists_in_write_turns = true;
  auto found = play(settings, HoldAllowance::granted);
  expect_no_breach(found, settings, HoldAllowance::granted);
  EXPECT_GT(found.lists_in_the_turn_of_a_connection, 300);
}

struct LeftOut {
  ModelFault fault = ModelFault::none;
  double told_window_ratio = 1;
  double min_window_ms = 300;
  double max_window_ms = 30000;
  double hold_share = 0.05;
  HoldAllowance allowance = HoldAllowance::granted;
  const char* seen = "";
};

class RepeatCheckerTest : public testing::TestWithParam<LeftOut> {};

// Guards against a checker that sees nothing.
TEST_P(RepeatCheckerTest, SeesWhatIsLeftOut) {
  auto settings = whole_requests;
  settings.fault = GetParam().fault;
  settings.told_window_ratio = GetParam().told_window_ratio;
  settings.min_window_ms = GetParam().min_window_ms;
  settings.max_window_ms = GetParam().max_window_ms;
  settings.hold_share = GetParam().hold_share;
  auto found = play(settings, GetParam().allowance, PlayUntil::first_breach);
  EXPECT_NE(found.first_breach.find(GetParam().seen), std::string::npos) << found.first_breach;
}

INSTANTIATE_TEST_SUITE_P(
    IdempotencyModel, RepeatCheckerTest,
    testing::Values(LeftOut{.told_window_ratio = ratio_without_margin,
                            .min_window_ms = min_window_beyond_hold_ms,
                            .max_window_ms = max_window_beyond_hold_ms,
                            .hold_share = often_held_share,
                            .allowance = HoldAllowance::none,
                            .seen = "past its window"},
                    LeftOut{.fault = ModelFault::no_latest_write, .seen = "ran past its window"},
                    LeftOut{.fault = ModelFault::no_withdrawal, .seen = "ran in another"},
                    LeftOut{.fault = ModelFault::long_retry_after, .seen = "rejected past its window"},
                    LeftOut{.fault = ModelFault::last_byte_taken_behind, .seen = "ran past its window"}));

}  // namespace
}  // namespace meadowgauge::test
