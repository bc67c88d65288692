// Attempts whose deadline passes in the turn of the event loop in which they would succeed (the program is
// paused meanwhile), and responses that never end. Each test is a row of docs/design/endings.md; the test
// plays the client and the upstream over loopback.
#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

// A response received by the deadline counts, and the client gets exactly one.
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

// A request is not sent after its deadline.
TEST(AttemptDeadline, SendsNothingOverAConnectionEstablishedTooLate) {
  UnresponsiveHost back;
  ProxyProcess proxy(one_upstream(true),
                     endpoint_list(1, true, {endpoint_entry(0, back.listener.address())}));
  auto client = proxy.connect();
  auto start = Clock::now();
  client.send(http_request("/pay", 700));
  // Read before the first response, and acted upon before the second.
  for (int i = 0; i < 2; ++i) EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.pause();
  auto first = back.listener.accept();
  auto upstream = back.listener.accept();  // by the kernel, about a second after the first SYN
  sleep_until(start + ms(1200));
  proxy.resume();
  EXPECT_EQ(status_of(client.receive_message()), 503);  // it never executed
  auto request = http_request("/pay");
  client.send(request);
  expect_next_request(upstream, request, client);
}

// A response of unknown length is truncated at the client timeout so that its client can tell.
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
    auto all = client.receive_until_end();
    EXPECT_FALSE(all.ends_with("0\r\n\r\n")) << all;
    EXPECT_TRUE(upstream.wait_for_end());
    EXPECT_GT(Clock::now() - start, ms(1000));
    EXPECT_LT(Clock::now() - start, ms(8000));  // it was ten seconds more before
  }
}

}  // namespace
}  // namespace meadowgauge::test
