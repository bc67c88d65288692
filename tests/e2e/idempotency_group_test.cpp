// The groups of servers that share idempotency keys, over loopback: a further attempt must not reach a server
// that is outside the first one's group by then. The order of events is forced by pausing the program: all
// that happens in between is handled in one turn of its event loop. The verdict is the servers' record.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "fixtures/keyed_request.hpp"

namespace meadowgauge::test {
namespace {

// A group of servers that the first attempt's group differs from, and what lists say of a server there.
struct OtherGroup {
  std::string kind;  // of the class
  Placement placement;
  std::string name;  // in the record
};
std::ostream& operator<<(std::ostream& out, const OtherGroup& other) { return out << other.kind; }
const std::vector<OtherGroup> other_groups = {
    {.kind = "zone", .placement = {.zone = "b", .block = 0}, .name = "b0"},
    {.kind = "cell", .placement = {.zone = "a", .block = 1}, .name = "a1"}};

// Lists after which the process at `address` stands in another group: the same server has moved, it has left
// and come back, or another server has its address.
std::vector<std::vector<std::string>> moves(const Placement& placement, const std::string& address) {
  return {{endpoint_entry_at(placement, 0, address)},
          {endpoint_entry(0, address, "left"), endpoint_entry_at(placement, 0, address)},
          {endpoint_entry(0, address, "left"), endpoint_entry_at(placement, 9, address, "active", 1000)},
          {endpoint_entry_at(placement, 9, address, "active", 1000)}};
}
constexpr std::size_t move_count = 4;
constexpr std::size_t same_process_moves = 2;  // the first ones: open connections stay

// The client gets its answer and no server is dialled. One that is dialled serves, so that the record shows
// it.
void expect_no_further_attempt(KeyedRequestRun& run, const std::string& group) {
  const auto until = Clock::now() + ms(wait_limit_ms);
  while (run.client.quiet() && !run.proxy.upstreams[0].has_pending_connection() && Clock::now() < until) {
  }
  if (run.proxy.upstreams[0].has_pending_connection()) {
    auto further = run.proxy.upstreams[0].accept();
    EXPECT_EQ(run.serve_until_answered(further, group), 502);
  } else {
    EXPECT_EQ(status_of(run.client.receive_message()), 502);
  }
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against a further attempt judged by where its server stands now, and not where the first may have
// run.
TEST(IdempotencyGroup, MovedServerGetsNoFurtherAttempt) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < move_count; ++move) {
      KeyedRequestRun run({.group = other.kind});
      run.publish_and_wait(moves(other.placement, run.proxy.upstreams[0].address())[move]);
      run.first.reset();
      expect_no_further_attempt(run, other.name);
    }
}

// Guards against the same where the list comes in the very turn in which the first attempt breaks.
TEST(IdempotencyGroup, MoveInTheTurnOfTheFailure) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < move_count; ++move) {
      KeyedRequestRun run({.group = other.kind});
      run.proxy.pause();
      run.first.reset();
      run.publish_change(moves(other.placement, run.proxy.upstreams[0].address())[move]);
      run.proxy.resume();
      expect_no_further_attempt(run, other.name);
    }
}

// The further attempt waits for its connection to a server that has moved to another group by the time that
// the connection comes up: with the second SYN.
void expect_not_sent_to_moved_server(const OtherGroup& other, std::size_t move, bool in_one_turn) {
  constexpr int shortly_before_second_syn_ms = 850;
  UnresponsiveHost slow;
  KeyedRequestRun run({.group = other.kind});
  run.publish_and_wait({endpoint_entry(0, slow.listener.address())});
  run.fail_first_attempt();
  const auto dialled = Clock::now();
  auto occupant = slow.listener.accept();
  sleep_until(dialled + ms(shortly_before_second_syn_ms));
  const auto change = moves(other.placement, slow.listener.address())[move];
  if (in_one_turn) {
    run.proxy.pause();
    ASSERT_FALSE(slow.listener.has_pending_connection()) << "up before the pause: the order isn't forced";
    run.publish_change(change);
  } else {
    run.publish_and_wait(change);
  }
  auto late = slow.listener.accept();
  if (in_one_turn) run.proxy.resume();
  EXPECT_EQ(run.serve_until_answered(late, other.name), 502) << other.kind << move;
  EXPECT_FALSE(run.record.take(late, other.name, 20)) << other.kind << move;
  run.expect_one_execution();
}

class MoveOfTheServer : public testing::TestWithParam<std::size_t> {};

// Guards against a connection that comes up after its server has moved.
TEST_P(MoveOfTheServer, BeforeTheConnectionComesUpEndsTheFurtherAttempt) {
  expect_not_sent_to_moved_server(other_groups[GetParam() % 2], GetParam() / 2, false);
}

// Guards against a list that comes in the very turn in which the connection comes up, and is applied after
// the request has been written.
TEST_P(MoveOfTheServer, InTheTurnOfTheConnectionEndsTheFurtherAttempt) {
  expect_not_sent_to_moved_server(other_groups[GetParam() % 2], GetParam() / 2, true);
}

INSTANTIATE_TEST_SUITE_P(IdempotencyGroup, MoveOfTheServer, testing::Range<std::size_t>(0, 2 * move_count));

// The further attempt is partly written to a server that takes its bytes only after it has moved.
void expect_not_completed_at_moved_server(const OtherGroup& other, std::size_t move, bool in_one_turn) {
  ListeningSocket server(1024, small_receive_buffer);
  KeyedRequestRun run({.group = other.kind}, std::string(60000, 'x'));
  run.publish_and_wait({endpoint_entry(0, server.address())});
  run.fail_first_attempt();
  auto connection = server.accept();
  run.wait_for_turn();  // what fits has been written
  const auto change = moves(other.placement, server.address())[move];
  if (in_one_turn) {
    run.proxy.pause();
    run.publish_change(change);
    drain(connection);
    ASSERT_FALSE(run.record.take(connection, other.name, 1));
    run.proxy.resume();
  } else {
    run.publish_and_wait(change);
  }
  EXPECT_EQ(run.serve_until_answered(connection, other.name), 502) << other.kind << move;
  EXPECT_FALSE(run.record.take(connection, other.name, 50)) << other.kind << move;
  run.expect_one_execution();
}

// Guards against the rest of a request that is written after its server has moved.
TEST(IdempotencyGroup, PartlyWrittenAttemptEndsWithTheMoveOfItsServer) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < same_process_moves; ++move)
      expect_not_completed_at_moved_server(other, move, false);
}

// Guards against the same in the very turn in which the connection becomes writable.
TEST(IdempotencyGroup, MoveWhilePartlyWritten) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < same_process_moves; ++move)
      expect_not_completed_at_moved_server(other, move, true);
}

class GroupOfTheFirstAttempt : public testing::TestWithParam<OtherGroup> {};

// Guards against a first attempt that runs in the group to which its server has moved, and counts for the
// group in which it was picked: the further attempt goes to a server there, where the key is unknown.
TEST_P(GroupOfTheFirstAttempt, IsThatOfItsLastByte) {
  const auto& other = GetParam();
  UnresponsiveHost slow;
  ListeningSocket stays;
  ProxyProcess proxy({.settings = settings_of({.group = other.kind})},
                     endpoint_list(1, true, {endpoint_entry(0, slow.listener.address())}));
  ExecutionRecord record(60000);
  auto watch = accept_watch(proxy.discovery);
  auto client = proxy.connect();
  client.send(keyed_request());
  for (int i = 0; i < 2; ++i) EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.pause();
  publish(watch, endpoint_list(2, false,
                               {endpoint_entry_at(other.placement, 0, slow.listener.address()),
                                endpoint_entry(1, stays.address())}));
  auto occupant = slow.listener.accept();
  auto moved = slow.listener.accept();
  proxy.resume();
  if (record.take(moved, other.name, 100)) moved.reset();
  // The further attempt, or the first one where it has been withdrawn, if there is any.
  for (const auto until = Clock::now() + ms(wait_limit_ms); client.quiet() && Clock::now() < until;) {
    auto& server = stays.has_pending_connection() ? stays : slow.listener;
    if (!server.has_pending_connection()) continue;
    auto connection = server.accept();
    if (!record.take(connection, &server == &stays ? "a0" : other.name)) continue;
    connection.send(ok_response);
    client.receive_message();
    break;
  }
  EXPECT_EQ(record.executions("k1"), 1) << record.text();
}

INSTANTIATE_TEST_SUITE_P(IdempotencyGroup, GroupOfTheFirstAttempt, testing::ValuesIn(other_groups),
                         [](const auto& test) { return test.param.kind; });

}  // namespace
}  // namespace meadowgauge::test
