// The window of idempotency keys over loopback: a further attempt that is allowed shortly before the window
// ends must not reach a server behind it. The order of events is forced by pausing the program: all that
// happens in between is handled in one turn of its event loop. The verdict is the servers' record.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "fixtures/keyed_request.hpp"
#include "fixtures/proxy_checks.hpp"

namespace meadowgauge::test {
namespace {

// A connection that is refused by silence comes up with the second SYN.
constexpr int syn_retry_ms = 1000;

// Of the further attempt's dial, and whether the program is paused until the connection is up.
struct Dial {
  int timeout_ms;
  bool paused;
};

std::ostream& operator<<(std::ostream& out, const Dial& dial) {
  return out << dial.timeout_ms << " ms" << (dial.paused ? ", paused" : "");
}

class ConnectionOfAFurtherAttempt : public testing::TestWithParam<Dial> {};

// Guards against a further attempt that waits for its connection, as long as a dial may take, and is written
// behind the window. The connection comes up at 0.5, 1.0 and 1.5 times the dial timeout.
TEST_P(ConnectionOfAFurtherAttempt, IsNotUsedBehindTheWindow) {
  constexpr int window_ms = 600;
  constexpr int failed_at_ms = 430;
  UnresponsiveHost slow;
  KeyedRequestRun run({.window_ms = window_ms, .dial_timeout_ms = GetParam().timeout_ms});
  run.publish_and_wait({endpoint_entry(0, slow.listener.address())});
  run.sleep_until_ms(failed_at_ms);
  run.fail_first_attempt();
  if (GetParam().paused) run.proxy.pause();
  auto occupant = slow.listener.accept();
  run.sleep_until_ms(failed_at_ms + syn_retry_ms + 60);
  if (GetParam().paused) run.proxy.resume();
  TcpConnection late;  // none where the dial has been given up before
  if (slow.listener.has_pending_connection()) late = slow.listener.accept();
  EXPECT_EQ(run.serve_until_answered(late, "a0"), 502);
  run.expect_one_execution();
}

INSTANTIATE_TEST_SUITE_P(IdempotencyWindow, ConnectionOfAFurtherAttempt,
                         testing::Values(Dial{2 * syn_retry_ms, false}, Dial{2 * syn_retry_ms, true},
                                         Dial{syn_retry_ms, false}, Dial{syn_retry_ms, true},
                                         Dial{syn_retry_ms * 2 / 3, false},
                                         Dial{syn_retry_ms * 2 / 3, true}));

const std::string view_request =
    "GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: v1\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\n\r\n";

// When a connection comes up relative to the window, and whether the program is paused around both.
struct ComesUp {
  int window_ms;
  int failed_at_ms;  // the first attempt
  bool paused;
  bool is_sent;
};

// A dial that another request has begun comes up about a second later, and serves the further attempt.
void expect_by_window(const ComesUp& when) {
  UnresponsiveHost slow;
  KeyedRequestRun run({.window_ms = when.window_ms});
  run.publish_and_wait({endpoint_entry(0, slow.listener.address())});
  auto other = run.proxy.connect();
  other.send(view_request);
  run.wait_for_turn();  // the dial has begun
  other.close();
  auto occupant = slow.listener.accept();
  run.sleep_until_ms(when.failed_at_ms);
  run.fail_first_attempt();
  if (when.paused) run.proxy.pause();
  auto late = slow.listener.accept();
  if (when.paused) {
    run.sleep_until_ms(when.window_ms + 40);
    run.proxy.resume();
  }
  int status = run.serve_until_answered(late, "a0");
  EXPECT_EQ(status, when.is_sent ? 200 : 502);
  run.expect_one_execution();
}

// Guards against the same where the connection comes up shortly behind the window.
TEST(IdempotencyWindow, ConnectionUpShortlyAfterTheWindow) {
  expect_by_window({.window_ms = 980, .failed_at_ms = 750, .paused = false, .is_sent = false});
}

// Guards against the same in the very turn in which the time to send ends.
TEST(IdempotencyWindow, ConnectionUpInTheTurnOfTheEnd) {
  expect_by_window({.window_ms = 980, .failed_at_ms = 750, .paused = true, .is_sent = false});
}

// Guards against the same where the connection has come up within the window.
TEST(IdempotencyWindow, ConnectionSeenInTheTurnOfTheEnd) {
  expect_by_window({.window_ms = 1080, .failed_at_ms = 850, .paused = true, .is_sent = false});
}

// Guards against a limit that is too strict: within the window the further attempt is sent.
TEST(IdempotencyWindow, ConnectionUpWithinTheWindow) {
  expect_by_window({.window_ms = 2000, .failed_at_ms = 850, .paused = false, .is_sent = true});
}

// Guards against a further attempt after a window that has ended while the process was held.
TEST(IdempotencyWindow, HeldProcessMakesNoFurtherAttemptBehindTheWindow) {
  constexpr int window_ms = 400;
  KeyedRequestRun run({.window_ms = window_ms});
  run.sleep_until_ms(window_ms - 110);
  run.proxy.pause();
  run.first.reset();
  run.sleep_until_ms(window_ms + 40);
  run.proxy.resume();
  EXPECT_EQ(status_of(run.client.receive_message()), 502);
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// A process may be held for so long between its clock and what it writes: the rules allow for it.
constexpr int hold_ms = 150;
constexpr int held_window_ms = 300;  // ends within the hold

// Breaks the first attempt before the time to send ends, in a turn that is held until behind the window.
void fail_in_held_turn(KeyedRequestRun& run) {
  constexpr int failed_at_ms = held_window_ms - hold_ms + 10;
  run.sleep_until_ms(failed_at_ms);
  run.proxy.block_log();
  run.first.reset();  // the turn that reads it logs that, and waits
  run.sleep_until_ms(held_window_ms + 5);
  run.proxy.wait_for_log("request k1: attempt 1 to s0 allowed: key_window");
}

// Guards against a connection that is dialled in a held turn and used behind the window.
TEST(IdempotencyWindow, AttemptOfAHeldTurnIsNotDialledBehindTheWindow) {
  KeyedRequestRun run({.window_ms = held_window_ms});
  fail_in_held_turn(run);
  EXPECT_EQ(status_of(run.client.receive_message()), 502);
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against a further attempt that is written, on an idle connection, by the clock of a held turn.
TEST(IdempotencyWindow, AttemptOfAHeldTurnIsNotSentBehindTheWindow) {
  KeyedRequestRun run({.window_ms = held_window_ms});
  auto other = run.proxy.connect();
  other.send(view_request);
  auto idle = expect_served(run.proxy.upstreams[0], other);
  fail_in_held_turn(run);
  EXPECT_EQ(run.serve_until_answered(idle, "a0"), 502);
  run.expect_one_execution();
}

// --- Requests that are partly written ----------------------------------------------------------------------

const std::string large_body(60000, 'x');
constexpr int large_body_window_ms = 500;

// The further attempt is partly written to a server that takes no bytes yet.
struct PartlyWritten {
  ListeningSocket server{1024, small_receive_buffer};
  KeyedRequestRun run{{.window_ms = large_body_window_ms}, large_body};
  TcpConnection connection;

  PartlyWritten() {
    run.publish_and_wait({endpoint_entry(0, server.address())});
    run.sleep_until_ms(large_body_window_ms / 2);
    run.fail_first_attempt();
    connection = server.accept();
    run.wait_for_turn();  // what fits has been written
  }
};

// Guards against the rest of a request that is written behind the window.
TEST(IdempotencyWindow, PartlyWrittenAttemptEndsWithTheWindow) {
  PartlyWritten written;
  written.run.sleep_until_ms(large_body_window_ms + 20);
  EXPECT_EQ(written.run.serve_until_answered(written.connection, "a0"), 502);
  EXPECT_FALSE(written.run.record.take(written.connection, "a0"));
  written.run.expect_one_execution();
}

// Guards against the same in the very turn in which the connection becomes writable.
TEST(IdempotencyWindow, WindowEndsWhilePartlyWritten) {
  PartlyWritten written;
  written.run.sleep_until_ms(large_body_window_ms - 110);
  written.run.proxy.pause();
  drain(written.connection);
  ASSERT_FALSE(written.run.record.take(written.connection, "a0", 1));
  written.run.sleep_until_ms(large_body_window_ms + 20);
  written.run.proxy.resume();
  EXPECT_EQ(written.run.serve_until_answered(written.connection, "a0"), 502);
  EXPECT_FALSE(written.run.record.take(written.connection, "a0", 50));
  written.run.expect_one_execution();
}

// --- Rejections and clients that leave ---------------------------------------------------------------------

// Guards against a rejected further attempt that stands for the first one: that may still have run, and its
// window ends.
TEST(IdempotencyWindow, RejectedRetryKeepsTheFirstWindow) {
  constexpr int window_ms = 400;
  KeyedRequestRun run({.window_ms = window_ms});
  run.sleep_until_ms(window_ms / 4);
  run.fail_first_attempt();
  auto second = run.proxy.upstreams[0].accept();
  second.receive_message();  // rejected: not executed
  run.sleep_until_ms(window_ms + 40);
  second.send(rejected_response);
  EXPECT_EQ(status_of(run.client.receive_message()) / 100, 5);
  EXPECT_TRUE(second.quiet());
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against a request that is completed after its rejection: the server has said that it never runs, and
// the program sends it again.
TEST(IdempotencyWindow, RejectionBeforeTheLastByteEndsTheAttempt) {
  ListeningSocket server(1024, small_receive_buffer);
  KeyedRequestRun run({}, large_body);
  run.publish_and_wait({endpoint_entry(0, server.address())});
  run.fail_first_attempt();
  auto rejecting = server.accept();
  rejecting.receive_some();
  rejecting.send(rejected_response);
  auto other = server.accept();
  EXPECT_TRUE(run.record.take(other, "a0"));
  other.send(ok_response);
  EXPECT_EQ(status_of(run.client.receive_message()), 200);
  EXPECT_FALSE(run.record.take(rejecting, "a0"));  // ended within the request
  run.expect_one_execution();
}

// Guards against a further attempt that is sent after its client has left and has asked again with its key.
TEST(IdempotencyWindow, ClientRepeatsAfterLeaving) {
  UnresponsiveHost slow;
  KeyedRequestRun run({});
  run.publish_and_wait({endpoint_entry(0, slow.listener.address())});
  run.fail_first_attempt();
  run.client.close();
  run.client = run.proxy.connect();
  run.client.send(keyed_request("k2"));
  run.wait_for_turn();
  auto occupant = slow.listener.accept();
  auto late = slow.listener.accept();
  EXPECT_EQ(run.serve_until_answered(late, "a0"), 200);
  EXPECT_FALSE(run.record.take(late, "a0", 50));
  EXPECT_EQ(run.record.executions("k2"), 1) << run.record.text();
  run.expect_one_execution();
}

}  // namespace
}  // namespace meadowgauge::test
