// Attempts whose deadline passes in the turn of the event loop in which they would succeed (the test pauses
// the program to force this), and responses that never end. Each test is a row of docs/design/endings.md. The
// test acts as the client and the upstream over loopback.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

// Guards against dropping a response that arrived before the deadline, and against sending a second one: the
// program reads the response and handles the deadline in the same turn.
TEST(AttemptDeadline, UsesAResponseThatArrivedInTheSameTurn) {
  ProxyProcess proxy(one_upstream(true));
  auto client = proxy.connect();
  auto start = Clock::now();
  client.send(http_request("/pay", 2000));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  proxy.pause();
  sleep_until(start + ms(2300));
  upstream.send(ok_response);
  proxy.resume();
  EXPECT_EQ(status_of(client.receive_message()), 200);
  auto request = http_request("/pay");
  client.send(request);
  expect_next_request(upstream, request, client);
}

// Guards against sending a request after its deadline, when its connection is established in the same turn.
TEST(AttemptDeadline, SendsNothingOverAConnectionEstablishedTooLate) {
  UnresponsiveHost unresponsive_host;
  ProxyProcess proxy(one_upstream(true),
                     endpoint_list(1, true, {endpoint_entry(0, unresponsive_host.listener.address())}));
  auto client = proxy.connect();
  auto start = Clock::now();
  client.send(http_request("/pay", 700));
  // The program reads the request before the first response and dials before the second.
  for (int i = 0; i < 2; ++i) EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.pause();
  auto first = unresponsive_host.listener.accept();
  auto upstream = unresponsive_host.listener.accept();  // the SYN is retried after about 1 s
  sleep_until(start + ms(1200));
  proxy.resume();
  EXPECT_EQ(status_of(client.receive_message()), 503);  // the request was not executed
  auto request = http_request("/pay");
  client.send(request);
  expect_next_request(upstream, request, client);
}

// Guards against a response of unknown length that holds the connection beyond the client timeout, or ends
// there as if it were complete.
TEST(AttemptDeadline, TruncatesAResponseThatNeverEnds) {
  for (bool chunked : {true, false}) {
    ProxyProcess proxy(one_upstream(true));
    auto client = proxy.connect();
    auto start = Clock::now();
    client.send(http_request("/pay", 1200));
    auto upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    upstream.send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                          : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
    auto response = client.receive_until_end();
    EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << response;
    EXPECT_TRUE(upstream.wait_for_end());
    EXPECT_GT(Clock::now() - start, ms(1000));
    EXPECT_LT(Clock::now() - start, ms(8000));  // a former fault held the connection for 10 s more
  }
}

// Guards against cutting off a long response of unknown length whose first bytes came in time: its upstream
// pauses for half a second across the deadline.
TEST(AttemptDeadline, LongResponseMayPauseAcrossItsDeadline) {
  constexpr int budget_ms = 500;
  const std::string piece(16 * 1024, 'p');
  const std::string chunk = "4000\r\n" + piece + "\r\n";
  ProxyProcess proxy(one_upstream(true));
  auto client = proxy.connect();
  client.send(http_request("/pay", budget_ms));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  auto begin = Clock::now();
  sleep_until(begin + ms(150));
  upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk);
  sleep_until(begin + ms(700));
  for (int i = 2; i < 16; ++i) upstream.send(chunk);
  upstream.send("0\r\n\r\n");
  std::string received = client.receive_message();  // the head
  while (!received.ends_with("0\r\n\r\n") && client.receive_some()) received += client.take_received();
  EXPECT_EQ(std::ranges::count(received, 'p'), 16 * 16 * 1024);
}

// Guards against cutting off a long response whose upstream hangs for longer than 10 s in the middle of it,
// by the clock of the upstream or by that of a client that has received all there is.
TEST(AttemptDeadline, LongResponseMayHangForSeconds) {
  constexpr int hang_ms = 12000;
  const std::string body(200'000, 'p');
  ProxyProcess proxy(one_upstream(true));
  auto client = proxy.connect();
  client.send(http_request("/pay", 700));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  auto response = http_message("HTTP/1.1 200 OK", body);
  upstream.send(response.substr(0, 100'000));
  sleep_until(Clock::now() + ms(hang_ms));
  upstream.send(response.substr(100'000));
  EXPECT_TRUE(status_and_body(client.receive_message()) == std::pair(200, body));
}

}  // namespace
}  // namespace meadowgauge::test
