// The deduplication window of idempotency keys, over loopback: a retry that is allowed shortly before the
// window ends must not reach a server after the end. The tests pause the program to force the order of
// events: it handles all events of a pause in one turn of its event loop. They check the record of the
// servers.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "fixtures/keyed_request.hpp"
#include "fixtures/proxy_checks.hpp"

namespace meadowgauge::test {
namespace {

// A connection whose first SYN is dropped is established with the second SYN, after this time.
constexpr int syn_retry_ms = 1000;

// The dial timeout of the retry, and whether the program is paused until the connection is established.
struct Dial {
  int timeout_ms;
  bool paused;
};

std::ostream& operator<<(std::ostream& out, const Dial& dial) {
  return out << dial.timeout_ms << " ms" << (dial.paused ? ", paused" : "");
}

class ConnectionOfAFurtherAttempt : public testing::TestWithParam<Dial> {};

// Guards against a retry that waits for its connection for up to the dial timeout and is written after the
// window. The connection is established at 0.5, 1.0 and 1.5 times the dial timeout.
TEST_P(ConnectionOfAFurtherAttempt, IsNotUsedAfterTheWindow) {
  constexpr int window_ms = 600;
  constexpr int failed_at_ms = 430;
  UnresponsiveHost unresponsive_host;
  KeyedRequestRun run({.window_ms = window_ms, .dial_timeout_ms = GetParam().timeout_ms});
  run.publish_and_wait({endpoint_entry(0, unresponsive_host.listener.address())});
  run.sleep_until_ms(failed_at_ms);
  run.fail_first_attempt();
  if (GetParam().paused) run.proxy.pause();
  auto occupant = unresponsive_host.listener.accept();
  run.sleep_until_ms(failed_at_ms + syn_retry_ms + 60);
  if (GetParam().paused) run.proxy.resume();
  TcpConnection late;  // not open if the program has given up the dial before
  if (unresponsive_host.listener.has_pending_connection()) late = unresponsive_host.listener.accept();
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

// When the connection is established relative to the end of the window, and whether the program is paused
// around both.
struct ConnectionTiming {
  int window_ms;
  int failed_at_ms;  // when the first attempt fails
  bool paused;
  bool is_sent;
};

// Another request starts a dial. The connection is established about 1 s later and is used for the retry.
void expect_retry_by_window(const ConnectionTiming& timing) {
  UnresponsiveHost unresponsive_host;
  KeyedRequestRun run({.window_ms = timing.window_ms});
  run.publish_and_wait({endpoint_entry(0, unresponsive_host.listener.address())});
  auto other = run.proxy.connect();
  other.send(view_request);
  run.wait_for_turn();  // the program has started to dial
  other.close();
  auto occupant = unresponsive_host.listener.accept();
  run.sleep_until_ms(timing.failed_at_ms);
  run.fail_first_attempt();
  if (timing.paused) run.proxy.pause();
  auto late = unresponsive_host.listener.accept();
  if (timing.paused) {
    run.sleep_until_ms(timing.window_ms + 40);
    run.proxy.resume();
  }
  int status = run.serve_until_answered(late, "a0");
  EXPECT_EQ(status, timing.is_sent ? 200 : 502);
  run.expect_one_execution();
}

// Guards against sending the retry on a connection that is established shortly after the window.
TEST(IdempotencyWindow, ConnectionEstablishedShortlyAfterTheWindow) {
  expect_retry_by_window({.window_ms = 980, .failed_at_ms = 750, .paused = false, .is_sent = false});
}

// Guards against the same if the connection is established in the turn in which the time to send ends.
TEST(IdempotencyWindow, ConnectionEstablishedInTheTurnOfTheEnd) {
  expect_retry_by_window({.window_ms = 980, .failed_at_ms = 750, .paused = true, .is_sent = false});
}

// Guards against the same if the connection is established within the window but seen after it.
TEST(IdempotencyWindow, ConnectionSeenInTheTurnOfTheEnd) {
  expect_retry_by_window({.window_ms = 1080, .failed_at_ms = 850, .paused = true, .is_sent = false});
}

// Guards against a limit that is too strict: within the window the retry is sent.
TEST(IdempotencyWindow, ConnectionEstablishedWithinTheWindow) {
  expect_retry_by_window({.window_ms = 2000, .failed_at_ms = 850, .paused = false, .is_sent = true});
}

// Guards against a retry after the window, if the window has ended while the process was stopped.
TEST(IdempotencyWindow, PausedProcessDoesNotRetryAfterTheWindow) {
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

// The rules allow for a process that is blocked for this long between reading its clock and writing.
constexpr int block_ms = 150;
constexpr int blocked_window_ms = 300;  // ends while the process is blocked

// Resets the first attempt before the time to send ends, in a turn that is blocked until after the window.
void fail_in_blocked_turn(KeyedRequestRun& run) {
  constexpr int failed_at_ms = blocked_window_ms - block_ms + 10;
  run.sleep_until_ms(failed_at_ms);
  run.proxy.block_log();
  run.first.reset();  // the turn that reads the reset blocks at its log line
  run.sleep_until_ms(blocked_window_ms + 5);
  run.proxy.wait_for_log("request k1: attempt 1 to s0 allowed: key_window");
}

// Guards against a connection that is dialled in a blocked turn and used after the window.
TEST(IdempotencyWindow, RetryOfABlockedTurnIsNotDialledAfterWindow) {
  KeyedRequestRun run({.window_ms = blocked_window_ms});
  fail_in_blocked_turn(run);
  EXPECT_EQ(status_of(run.client.receive_message()), 502);
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against a retry that is written on an idle connection because a blocked turn uses an old clock
// value.
TEST(IdempotencyWindow, RetryOfABlockedTurnIsNotSentAfterWindow) {
  KeyedRequestRun run({.window_ms = blocked_window_ms});
  auto other = run.proxy.connect();
  other.send(view_request);
  auto idle = expect_served(run.proxy.upstreams[0], other);
  fail_in_blocked_turn(run);
  EXPECT_EQ(run.serve_until_answered(idle, "a0"), 502);
  run.expect_one_execution();
}

// --- Requests that are partly written ----------------------------------------------------------------------

const std::string large_body(60000, 'x');
constexpr int large_body_window_ms = 500;

// The retry is partly written to a server that does not receive yet.
struct PartlyWritten {
  ListeningSocket server{1024, small_receive_buffer};
  KeyedRequestRun run{{.window_ms = large_body_window_ms}, large_body};
  TcpConnection connection;

  PartlyWritten() {
    run.publish_and_wait({endpoint_entry(0, server.address())});
    run.sleep_until_ms(large_body_window_ms / 2);
    run.fail_first_attempt();
    connection = server.accept();
    run.wait_for_turn();  // the program has written what fits into the socket buffers
  }
};

// Guards against writing the rest of a request after the window.
TEST(IdempotencyWindow, PartlyWrittenAttemptEndsWithTheWindow) {
  PartlyWritten written;
  written.run.sleep_until_ms(large_body_window_ms + 20);
  EXPECT_EQ(written.run.serve_until_answered(written.connection, "a0"), 502);
  EXPECT_FALSE(written.run.record.take(written.connection, "a0"));
  written.run.expect_one_execution();
}

// Guards against the same in the turn in which the connection becomes writable again.
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

// Guards against treating the request as not executed because the retry was rejected: the first attempt may
// have executed, so its window still limits retries.
TEST(IdempotencyWindow, RejectedRetryKeepsTheFirstWindow) {
  constexpr int window_ms = 400;
  KeyedRequestRun run({.window_ms = window_ms});
  run.sleep_until_ms(window_ms / 4);
  run.fail_first_attempt();
  auto second = run.proxy.upstreams[0].accept();
  second.receive_message();  // rejected below, so not executed
  run.sleep_until_ms(window_ms + 40);
  second.send(rejected_response);
  EXPECT_EQ(status_of(run.client.receive_message()) / 100, 5);
  EXPECT_TRUE(second.quiet());
  EXPECT_FALSE(run.proxy.upstreams[0].has_pending_connection());
  run.expect_one_execution();
}

// Guards against completing a request on the connection that rejected it: the server has said that it does
// not execute the request, so the program sends the request again on another connection.
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
  EXPECT_FALSE(run.record.take(rejecting, "a0"));  // the connection ended within the request
  run.expect_one_execution();
}

// Guards against a retry that is sent after its client has disconnected and has repeated the request with the
// same key.
TEST(IdempotencyWindow, ClientRepeatsAfterLeaving) {
  UnresponsiveHost unresponsive_host;
  KeyedRequestRun run({});
  run.publish_and_wait({endpoint_entry(0, unresponsive_host.listener.address())});
  run.fail_first_attempt();
  run.client.close();
  run.client = run.proxy.connect();
  run.client.send(keyed_request("k2"));
  run.wait_for_turn();
  auto occupant = unresponsive_host.listener.accept();
  auto late = unresponsive_host.listener.accept();
  EXPECT_EQ(run.serve_until_answered(late, "a0"), 200);
  EXPECT_FALSE(run.record.take(late, "a0", 50));
  EXPECT_EQ(run.record.executions("k2"), 1) << run.record.text();
  run.expect_one_execution();
}

}  // namespace
}  // namespace meadowgauge::test
