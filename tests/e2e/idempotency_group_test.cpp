// Groups of servers that share idempotency keys, over loopback: a retry must not reach a server that is
// outside the group of the first attempt at that time. The tests pause the program to force the order of
// events: it handles all events of a pause in one turn of its event loop. They check the record of the
// servers.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "fixtures/keyed_request.hpp"

namespace meadowgauge::test {
namespace {

// A group other than that of the first attempt, and the place of its servers in endpoint lists.
struct OtherGroup {
  std::string kind;  // the group setting of the request class
  Placement placement;
  std::string name;  // the name of the group in the record
};
std::ostream& operator<<(std::ostream& out, const OtherGroup& other) { return out << other.kind; }
const std::vector<OtherGroup> other_groups = {
    {.kind = "zone", .placement = {.zone = "b", .block = 0}, .name = "b0"},
    {.kind = "cell", .placement = {.zone = "a", .block = 1}, .name = "a1"}};

// Lists that put the process at `address` into another group: the same server moves, it leaves and comes
// back, it leaves and another server gets its address, or another server gets its address at once.
std::vector<std::vector<std::string>> moves(const Placement& placement, const std::string& address) {
  return {{endpoint_entry_at(placement, 0, address)},
          {endpoint_entry(0, address, "left"), endpoint_entry_at(placement, 0, address)},
          {endpoint_entry(0, address, "left"), endpoint_entry_at(placement, 9, address, "active", 1000)},
          {endpoint_entry_at(placement, 9, address, "active", 1000)}};
}
constexpr std::size_t move_count = 4;
constexpr std::size_t same_process_moves = 2;  // the first moves of the list, which keep open connections

// Expects the client to get 502 and no server to be dialled. If a server is dialled, it serves the request,
// so that the record shows the second execution.
void expect_no_retry(KeyedRequestRun& run, const std::string& group) {
  const auto until = Clock::now() + ms(wait_limit_ms);
  while (run.client.quiet() && !run.proxy.upstreams[0].has_pending_connection() && Clock::now() < until) {
  }
  if (run.proxy.upstreams[0].has_pending_connection()) {
    auto retry = run.proxy.upstreams[0].accept();
    EXPECT_EQ(run.serve_until_answered(retry, group), 502);
  } else {
    EXPECT_EQ(status_of(run.client.receive_message()), 502);
  }
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against a retry that is allowed by the present group of its server, although the first attempt may
// have executed in another group.
TEST(IdempotencyGroup, MovedServerGetsNoRetry) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < move_count; ++move) {
      KeyedRequestRun run({.group = other.kind});
      run.publish_and_wait(moves(other.placement, run.proxy.upstreams[0].address())[move]);
      run.first.reset();
      expect_no_retry(run, other.name);
    }
}

// Guards against the same if the list arrives in the turn in which the first attempt fails.
TEST(IdempotencyGroup, MoveInTheTurnOfTheFailure) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < move_count; ++move) {
      KeyedRequestRun run({.group = other.kind});
      run.proxy.pause();
      run.first.reset();
      run.publish_change(moves(other.placement, run.proxy.upstreams[0].address())[move]);
      run.proxy.resume();
      expect_no_retry(run, other.name);
    }
}

// The retry waits for a connection to a server. The server moves to another group before the connection is
// established, which happens with the second SYN.
void expect_not_sent_to_moved_server(const OtherGroup& other, std::size_t move, bool in_one_turn) {
  constexpr int shortly_before_second_syn_ms = 850;
  UnresponsiveHost unresponsive_host;
  KeyedRequestRun run({.group = other.kind});
  run.publish_and_wait({endpoint_entry(0, unresponsive_host.listener.address())});
  run.fail_first_attempt();
  const auto dialled = Clock::now();
  auto occupant = unresponsive_host.listener.accept();
  sleep_until(dialled + ms(shortly_before_second_syn_ms));
  const auto change = moves(other.placement, unresponsive_host.listener.address())[move];
  if (in_one_turn) {
    run.proxy.pause();
    ASSERT_FALSE(unresponsive_host.listener.has_pending_connection())
        << "established before the pause: the order of events is not forced";
    run.publish_change(change);
  } else {
    run.publish_and_wait(change);
  }
  auto late = unresponsive_host.listener.accept();
  if (in_one_turn) run.proxy.resume();
  EXPECT_EQ(run.serve_until_answered(late, other.name), 502) << other.kind << move;
  EXPECT_FALSE(run.record.take(late, other.name, 20)) << other.kind << move;
  run.expect_one_execution();
}

class MoveOfTheServer : public testing::TestWithParam<std::size_t> {};

// Guards against sending the retry on a connection that is established after its server has moved.
TEST_P(MoveOfTheServer, BeforeTheConnectionIsEstablishedEndsTheRetry) {
  expect_not_sent_to_moved_server(other_groups[GetParam() % 2], GetParam() / 2, false);
}

// Guards against a list that arrives in the turn in which the connection is established, and that is applied
// only after the request has been written.
TEST_P(MoveOfTheServer, InTheTurnOfTheConnectionEndsTheRetry) {
  expect_not_sent_to_moved_server(other_groups[GetParam() % 2], GetParam() / 2, true);
}

INSTANTIATE_TEST_SUITE_P(IdempotencyGroup, MoveOfTheServer, testing::Range<std::size_t>(0, 2 * move_count));

// The retry is partly written to a server that receives its bytes only after the server has moved.
void expect_not_completed_at_moved_server(const OtherGroup& other, std::size_t move, bool in_one_turn) {
  ListeningSocket server(1024, small_receive_buffer);
  KeyedRequestRun run({.group = other.kind}, std::string(60000, 'x'));
  run.publish_and_wait({endpoint_entry(0, server.address())});
  run.fail_first_attempt();
  auto connection = server.accept();
  run.wait_for_turn();  // the program has written what fits into the socket buffers
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

// Guards against writing the rest of a request after its server has moved.
TEST(IdempotencyGroup, PartlyWrittenAttemptEndsWithTheMoveOfItsServer) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < same_process_moves; ++move)
      expect_not_completed_at_moved_server(other, move, false);
}

// Guards against the same in the turn in which the connection becomes writable again.
TEST(IdempotencyGroup, MoveWhilePartlyWritten) {
  for (const auto& other : other_groups)
    for (std::size_t move = 0; move < same_process_moves; ++move)
      expect_not_completed_at_moved_server(other, move, true);
}

class GroupOfTheFirstAttempt : public testing::TestWithParam<OtherGroup> {};

// Guards against a retry in a group that does not know the key: the first attempt executes in the group to
// which its server has moved, but is counted for the group in which the server was picked.
TEST_P(GroupOfTheFirstAttempt, IsTheGroupAtItsLastByte) {
  const auto& other = GetParam();
  UnresponsiveHost unresponsive_host;
  ListeningSocket unmoved_server;
  ProxyProcess proxy({.settings = settings_of({.group = other.kind})},
                     endpoint_list(1, true, {endpoint_entry(0, unresponsive_host.listener.address())}));
  ExecutionRecord record(60000);
  auto watch = accept_watch(proxy.discovery);
  auto client = proxy.connect();
  client.send(keyed_request());
  for (int i = 0; i < 2; ++i) EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.pause();
  publish(watch, endpoint_list(2, false,
                               {endpoint_entry_at(other.placement, 0, unresponsive_host.listener.address()),
                                endpoint_entry(1, unmoved_server.address())}));
  auto occupant = unresponsive_host.listener.accept();
  auto moved = unresponsive_host.listener.accept();
  proxy.resume();
  if (record.take(moved, other.name, 100)) moved.reset();
  // Serves the retry, or the first attempt if the program has withdrawn it; there may be none.
  for (const auto until = Clock::now() + ms(wait_limit_ms); client.quiet() && Clock::now() < until;) {
    auto& server = unmoved_server.has_pending_connection() ? unmoved_server : unresponsive_host.listener;
    if (!server.has_pending_connection()) continue;
    auto connection = server.accept();
    if (!record.take(connection, &server == &unmoved_server ? "a0" : other.name)) continue;
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
