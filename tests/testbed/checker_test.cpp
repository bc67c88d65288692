// Guards against a checker that misses a violation or reports one in a correct run: handwritten histories
// keep and violate each rule.
#include "testbed/checker.hpp"

#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "testbed/fixtures.hpp"

namespace meadowgauge::testbed {
namespace {

// A history under construction and the contract to check it against.
struct Records {
  History history;
  Contract contract{.request_classes = request_classes(),
                    .drain_grace_ms = 400,
                    .slack_ms = 50,
                    .servers = {{{0, -1}, {0, -1}, {1, -1}}}};
  // Adds an attempt that succeeded at 120 ms.
  Attempt& add_attempt(const std::string& id, int request_class = 1) {
    history.attempts.push_back({.id = id,
                                .request_class = request_class,
                                .balancer = 0,
                                .intended_ms = 100,
                                .written_ms = 101,
                                .deadline_ms = 3100,
                                .ended_ms = 120,
                                .outcome = Outcome::succeeded,
                                .status = 200});
    return history.attempts.back();
  }
  // Adds the record of a request received by a server at `at_ms`.
  ServerRecord& add_record(const std::string& id, int server, double at_ms,
                           ServerRecord::Result result = ServerRecord::Result::executed) {
    history.server_records.push_back(
        {.id = id,
         .key = {},
         .server = server,
         .balancer = 0,
         .first_byte_ms = at_ms,
         .last_byte_ms = at_ms,
         .result = result,
         .started_ms = at_ms,
         .answered_ms = result == ServerRecord::Result::executed ? at_ms + 5 : never});
    return history.server_records.back();
  }
  // Returns the index of the violated rule, -1 if all are kept, -2 if several are violated.
  int violated_rule() const {
    auto verdict = check_history(history, contract);
    int found_rule = -1;
    for (int i = 0; i < rule_count; ++i)
      if (verdict.count[i] > 0) found_rule = found_rule == -1 ? i : -2;
    return found_rule;
  }
};
constexpr int lost = 0, duplicate_effect = 1, drains = 2, slow_start = 3;

TEST(Checker, CompleteRequestsViolateNothing) {
  Records records;
  records.add_attempt("a");
  records.add_record("a", 0, 105, ServerRecord::Result::rejected).answered_ms = 106;
  records.add_record("a", 1, 107);
  records.add_attempt("b", 0);
  records.add_record("b", 0, 105, ServerRecord::Result::failed).answered_ms =
      106;  // safe: may be sent again after a failure
  records.add_record("b", 1, 107);
  EXPECT_EQ(records.violated_rule(), -1);
}

TEST(Checker, EachLostRequestIsReported) {
  for (auto [outcome, expected] : {std::pair{Outcome::timed_out, lost},
                                   {Outcome::connection_lost, lost},
                                   {Outcome::corrupted, lost},
                                   {Outcome::unreachable, -1},
                                   {Outcome::rejected, -1},
                                   {Outcome::failed, -1},
                                   {Outcome::keep_alive_race, -1}}) {
    Records records;
    records.add_attempt("a", 0).outcome = outcome;
    EXPECT_EQ(records.violated_rule(), expected) << static_cast<int>(outcome);
  }
  Records accepted_by_balancer, late, with_extra_bytes, without_record, unwritten;
  accepted_by_balancer.add_attempt("a", 0).outcome = Outcome::keep_alive_race;
  accepted_by_balancer.add_record("a", 0, 105);  // shows that the balancer had accepted the request
  EXPECT_EQ(accepted_by_balancer.violated_rule(), lost);
  late.add_attempt("a").ended_ms = 3200;
  late.add_record("a", 0, 105);
  EXPECT_EQ(late.violated_rule(), lost);
  with_extra_bytes.add_attempt("a").extra_bytes = true;
  with_extra_bytes.add_record("a", 0, 105);
  EXPECT_EQ(with_extra_bytes.violated_rule(), lost);
  without_record.add_attempt("a");
  EXPECT_EQ(without_record.violated_rule(), lost);
  auto& added_attempt = unwritten.add_attempt("a", 0);
  added_attempt.outcome = Outcome::timed_out;
  added_attempt.written_ms = never;
  EXPECT_EQ(unwritten.violated_rule(), -1);
}

// Guards against a response that counts although it was sent after it was received. The client's turn begins
// at 120 ms and reads the response at 150 ms: it may have been sent at 140 ms, but not at 160 ms.
TEST(Checker, ResponseMustBeSentBeforeItIsReceived) {
  for (auto [answered_ms, expected] : {std::pair{140.0, -1}, {160.0, lost}}) {
    Records records;
    records.add_attempt("a").received_by_ms = 150;
    records.add_record("a", 0, 105).answered_ms = answered_ms;
    EXPECT_EQ(records.violated_rule(), expected) << answered_ms;
  }
}

// Guards against a paused client that is reported as a late balancer, and the reverse. The deadline is 3100
// ms, the slack 50 ms. By the time at which the client handles it, each response is late.
TEST(Checker, LateResponseCountsFromItsArrivalAtTheClient) {
  struct Case {
    double ended_ms, arrived_ms, write_delay_ms;
    int expected;
    double turn_gap_ms = 600;
  };
  for (auto [ended_ms, arrived_ms, write_delay_ms, expected, turn_gap_ms] :
       {Case{3400, 3140, 0, -1},         // arrived in time, read 260 ms later
        Case{3400, 3140, 0, lost, 200},  // the client polled 200 ms before, so the arrival time is wrong
        Case{3400, 3160, 0, lost},       // arrived late and read late
        Case{3160, never, 0, lost},      // arrival not recorded
        Case{3160, 3159, 0, lost},       // arrived late, read at once
        Case{3160, 3159, 5, lost},       // the request was written 5 ms late
        Case{3160, 3159, 15, -1},        // the request was written 15 ms late
        Case{3400, 3160, 15, -1},        // both delays count
        Case{3645, 3140, 0, -1},         // a delay in reading counts for at most 500 ms
        Case{3655, 3140, 0, lost},       //
        Case{3640, 3639, 600, -1},       // a delay in writing counts for at most 500 ms
        Case{3655, 3654, 600, lost}}) {
    Records records;
    auto& attempt = records.add_attempt("a");
    attempt.ended_ms = ended_ms;
    attempt.arrived_ms = arrived_ms;
    attempt.write_delay_ms = write_delay_ms;
    attempt.turn_gap_ms = turn_gap_ms;
    records.add_record("a", 0, 105);
    EXPECT_EQ(records.violated_rule(), expected) << ended_ms << " " << arrived_ms << " " << write_delay_ms;
    EXPECT_EQ(check_history(records.history, records.contract).client_delays.size(),
              expected == lost ? 0U : 1U);
  }
  Records unanswered;  // a client's delay does not replace a missing response
  auto& attempt = unanswered.add_attempt("a", 0);
  attempt.outcome = Outcome::timed_out;
  attempt.ended_ms = 3400;
  attempt.turn_late_ms = attempt.write_delay_ms = 250;
  EXPECT_EQ(unanswered.violated_rule(), lost);
}

TEST(Checker, LossByAPlannedKillIsExcusedAndByACrashIsNot) {
  Records records;
  auto& added_attempt = records.add_attempt("a", 0);
  added_attempt.outcome = Outcome::connection_lost;
  records.history.balancer_exits.push_back(
      {.tier = 0, .balancer = 0, .at_ms = 115, .cause = BalancerExit::Cause::killed, .exited_ms = 116});
  EXPECT_EQ(records.violated_rule(), -1);
  EXPECT_EQ(check_history(records.history, records.contract).excused, 1U);
  records.history.balancer_exits[0].balancer = 1;  // the exit of another balancer is no excuse
  EXPECT_EQ(records.violated_rule(), lost);
  records.history.balancer_exits[0] = {
      .tier = 0, .balancer = 0, .at_ms = 115, .cause = BalancerExit::Cause::planned, .exited_ms = 116};
  EXPECT_EQ(records.violated_rule(), lost);  // a graceful shutdown answers all its requests
  records.history.balancer_exits[0].cause = BalancerExit::Cause::crashed;
  EXPECT_EQ(records.violated_rule(), -2);
}

TEST(Checker, RetryAfterPossibleExecutionIsReported) {
  using Result = ServerRecord::Result;
  for (auto [first, expected] : {std::pair{Result::executed, duplicate_effect},
                                 {Result::failed, duplicate_effect},
                                 {Result::queued, duplicate_effect},
                                 {Result::abandoned, duplicate_effect},
                                 {Result::rejected, -1}}) {
    Records records;
    records.add_attempt("a", 1);
    records.add_record("a", 0, 105, first);
    records.add_record("a", 1, 110);
    EXPECT_EQ(records.violated_rule(), expected) << static_cast<int>(first);
  }
  Records incomplete_request;
  incomplete_request.add_attempt("a", 1);
  incomplete_request.add_record("a", 0, 105, Result::incomplete).last_byte_ms =
      never;  // an incomplete request
  incomplete_request.add_record("a", 1, 110);
  EXPECT_EQ(incomplete_request.violated_rule(), -1);
}

TEST(Checker, DeduplicatedRetriesStayInScopeAndWindow) {
  for (auto [server, at_ms, expected] :
       {std::tuple{1, 800.0, -1}, {2, 800.0, duplicate_effect}, {1, 1200.0, duplicate_effect}}) {
    Records records;
    records.add_attempt("a", 2);
    records.add_record("a", 0, 105);
    records.add_record("a", server, at_ms, ServerRecord::Result::duplicate).answered_ms = at_ms;
    EXPECT_EQ(records.violated_rule(), expected) << server << " at " << at_ms;
  }
}

TEST(Checker, RejectionAfterPossibleExecutionIsReported) {
  Records records;
  records.add_attempt("a", 1).outcome = Outcome::rejected;
  records.add_record("a", 0, 105);
  EXPECT_EQ(records.violated_rule(), duplicate_effect);
  records.history.attempts[0].outcome = Outcome::failed;
  EXPECT_EQ(records.violated_rule(), -1);
  records.history.attempts[0].outcome = Outcome::rejected;
  records.history.server_records[0].result = ServerRecord::Result::rejected;
  EXPECT_EQ(records.violated_rule(), -1);
}

TEST(Checker, RequestsAfterTheDrainGraceAreReported) {
  for (auto [notified_ms, drains_then, at_ms, expected] : {std::tuple{0.0, true, 440.0, -1},
                                                           {0.0, true, 460.0, drains},
                                                           {0.0, false, 460.0, -1},
                                                           {500.0, true, 460.0, -1}}) {
    Records records;
    auto& added_attempt = records.add_attempt("a");
    added_attempt.ended_ms = at_ms + 20;
    records.add_record("a", 0, at_ms);
    records.history.notifications.push_back({0, 0, 0, drains_then, notified_ms});
    EXPECT_EQ(records.violated_rule(), expected) << notified_ms << " " << at_ms;
    records.history.notifications[0].balancer = 1;  // another balancer was notified
    EXPECT_EQ(records.violated_rule(), -1);
  }
  // The first of repeated notifications counts; a later active one ends the drain.
  Records repeated;
  repeated.add_attempt("a").ended_ms = 900;
  repeated.add_record("a", 0, 700);
  repeated.history.notifications = {{0, 0, 0, true, 0}, {0, 0, 0, true, 600}};
  EXPECT_EQ(repeated.violated_rule(), drains);
  repeated.history.notifications.push_back({0, 0, 0, false, 650});
  EXPECT_EQ(repeated.violated_rule(), -1);
  repeated.history.notifications.pop_back();
  repeated.history.balancer_exits.push_back(
      {.tier = 0, .balancer = 0, .at_ms = 610, .cause = BalancerExit::Cause::killed, .exited_ms = 620});
  EXPECT_EQ(repeated.violated_rule(), -1);  // the notified process exited before the request
}

TEST(Checker, ACrashedServerIsNamed) {
  Records records;
  records.history.server_crashes.push_back({0, 2, 500});
  EXPECT_EQ(records.violated_rule(), slow_start);
  EXPECT_NE(check_history(records.history, records.contract).violations[0].description.find("server 2"),
            std::string::npos);
}

TEST(Checker, FleetLimitHoldsOverEveryWindow) {
  History history;
  Contract contract{.request_classes = {RequestClassSpec{}}, .servers = {}, .tenants = {"acme", "other"}};
  FleetLimit limit{.tenant = "acme",
                   .request_class = {},
                   .rate = 10,
                   .burst = 3};  // the 100 ms allowed for transit admit one more
  auto arrive = [&](double at_ms, int tenant, int attempts = 1) {
    auto id = "v" + std::to_string(history.attempts.size());
    history.attempts.push_back({.id = id, .tenant = tenant});
    for (int k = 0; k < attempts; ++k)
      history.server_records.push_back({.id = id, .key = {}, .first_byte_ms = at_ms + k});
  };
  for (int k = 0; k < 4; ++k) arrive(1000, 0, 3);  // attempts of one request count once
  for (int k = 0; k < 50; ++k) arrive(1000, 1);
  EXPECT_LE(admission_history(history, contract, limit).max_excess, 0);
  arrive(1100, 0);
  EXPECT_LE(admission_history(history, contract, limit).max_excess, 1e-9);
  arrive(1150, 0);
  EXPECT_NEAR(admission_history(history, contract, limit).max_excess, 0.5, 1e-9);
  EXPECT_EQ(admission_history(history, contract, limit).excess_at_ms, 1150);
}

}  // namespace
}  // namespace meadowgauge::testbed
