// Bodies that are too large to be buffered as a whole: the parser on pieces of messages, and the running
// program, which streams bodies both ways. The test acts as its clients and upstreams over loopback.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/policy_harness.hpp"
#include "fixtures/proxy_process.hpp"
#include "protocol/http.hpp"

namespace meadowgauge::test {
namespace {

using protocol::Message;
using transport::Chain;
using transport::Pool;

std::string random_text(std::size_t n) {
  std::string text(n, 0);
  std::minstd_rand rng(7);
  for (auto& c : text) c = static_cast<char>('a' + rng() % 26);
  return text;
}

// Encodes the body in chunks of at most `chunk_size` bytes, with chunk extensions and a trailer.
std::string in_chunks(const std::string& body, std::size_t chunk_size) {
  std::string text;
  char size[32];
  for (std::size_t at = 0; at < body.size(); at += chunk_size) {
    std::snprintf(size, sizeof size, "%zX;ext=\"a;b\"\r\n", std::min(chunk_size, body.size() - at));
    text += size + body.substr(at, chunk_size) + "\r\n";
  }
  return text + "0\r\nTrailer: t\r\n\r\n";
}

// Feeds `text` to a message in pieces of `piece` bytes, moves the body out whenever the buffers are full, and
// returns the body. Stores the maximum number of buffered bytes in `max_buffered_bytes` if that is given.
std::string streamed_body(Message::Kind kind, const std::string& text, std::size_t piece,
                          std::size_t* max_buffered_bytes = nullptr) {
  Pool pool(64);
  Message message(pool, kind, Message::Body::streaming);
  Chain drained(pool);
  std::string body, input;
  auto drain = [&] {
    EXPECT_EQ(message.move_body(drained, false), Message::MoveResult::moved);
    drained.each(0, [&](std::string_view part) { body += part; });
    drained.clear();
  };
  for (std::size_t at = 0; at < text.size(); at += piece) {
    input += text.substr(at, piece);
    while (!input.empty()) {
      input.erase(0, message.feed(input));
      if (message.fault() != protocol::Fault::none) return "fault";
      if (max_buffered_bytes) *max_buffered_bytes = std::max(*max_buffered_bytes, message.body_size());
      if (message.complete()) break;
      if (message.buffer_full()) drain();
    }
  }
  if (message.close_delimited()) message.connection_closed();
  if (!message.complete()) return "incomplete";
  if (message.body_size() > 0) drain();
  return body;
}

// Guards against a body that depends on how the message is split, and against unbounded buffering.
TEST(BodyStreaming, GivesTheSameBodyHoweverItIsSplit) {
  auto body = random_text(100000);
  const std::string request_head = "POST /pay HTTP/1.1\r\nHost: b\r\n", ok_head = "HTTP/1.1 200 OK\r\n";
  for (std::size_t piece : {1, 7, 4096, 16384, 1000000}) {
    std::size_t max_buffered_bytes = 0;
    EXPECT_EQ(streamed_body(Message::Kind::request,
                            http_message(request_head.substr(0, request_head.size() - 2), body), piece,
                            &max_buffered_bytes),
              body);
    EXPECT_LE(max_buffered_bytes, protocol::max_buffered_body);
    EXPECT_EQ(
        streamed_body(Message::Kind::request,
                      request_head + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(body, 3000), piece),
        body);
    EXPECT_EQ(streamed_body(Message::Kind::response,
                            ok_head + "Transfer-Encoding: chunked\r\n\r\n" + in_chunks(body, 99999), piece),
              body);
    EXPECT_EQ(streamed_body(Message::Kind::response, ok_head + "Connection: close\r\n\r\n" + body, piece),
              body);
    EXPECT_EQ(streamed_body(Message::Kind::response, ok_head + "\r\n" + body, piece), "fault");
    EXPECT_EQ(streamed_body(Message::Kind::response, ok_head + "Content-Length: 3000000000\r\n\r\n", piece),
              "fault");
  }
  auto chunks = in_chunks(body, 3000);
  for (std::size_t at : {70000, 90000}) {
    auto bad = chunks;
    bad.insert(bad.find("\r\n", at) + 2, "x");
    EXPECT_NE(streamed_body(Message::Kind::request, request_head + "Transfer-Encoding: chunked\r\n\r\n" + bad,
                            4096),
              body);
  }
}

// Guards against a parser whose result depends on how the message is split, also for malformed messages.
TEST(BodyStreaming, RandomMessagesGiveSameResultHoweverSplit) {
  bool same = rc::check("random messages", [] {
    auto part = rc::gen::element<std::string>(
        "POST / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "Host: b\r\n", "\r\n",
        "Connection: close\r\n", "Content-Length: 70000\r\n", "Transfer-Encoding: chunked\r\n", "abc",
        "11170;x=y\r\n", "0\r\n", "T: t\r\n", "\n", std::string(1, '\0'), random_text(70000));
    std::string whole;
    for (const auto& p : *rc::gen::container<std::vector<std::string>>(part)) whole += p;
    auto kind = *rc::gen::element(Message::Kind::request, Message::Kind::response);
    auto piece = *rc::gen::inRange<std::size_t>(1, 9000);
    RC_ASSERT(streamed_body(kind, whole, piece) == streamed_body(kind, whole, whole.size() + 1));
  });
  EXPECT_TRUE(same);
}

// Guards against a fault or lost bytes when the buffer pool is exhausted within a body.
TEST(BodyStreaming, WaitsWhenThePoolIsExhausted) {
  Pool pool(3);
  Message message(pool, Message::Kind::request, Message::Body::streaming);
  auto text = http_message("POST /pay HTTP/1.1\r\nHost: b", random_text(100000));
  std::size_t n = 0;
  for (std::size_t more = 1; more > 0; n += more) more = message.feed(std::string_view(text).substr(n, 4096));
  EXPECT_EQ(message.fault(), protocol::Fault::none);
  EXPECT_TRUE(message.out_of_buffers());
  Chain out(pool);
  EXPECT_EQ(message.move_body(out, false), Message::MoveResult::out_of_buffers);
  EXPECT_LT(n, text.size());
}

constexpr std::size_t large_body_size = std::size_t{32} * 1024 * 1024;

// Guards against buffering a whole request body when its upstream reads slowly.
TEST(BodyStreaming, LargeRequestUsesBoundedMemoryAndBlocksNobody) {
  ProxyProcess proxy({.upstreams = 1});
  auto before = proxy.resident_bytes();
  auto body = random_text(large_body_size);
  auto client = proxy.connect();
  std::thread sender([&] { client.send(http_request("/pay", 9000, body)); });
  auto upstream = proxy.upstreams[0].accept();
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);  // other clients are served while this body is not read
  auto received = upstream.receive_message();
  sender.join();
  EXPECT_EQ(received.size() - received.find("\r\n\r\n") - 4, large_body_size);
  EXPECT_TRUE(received.ends_with(body.substr(large_body_size - 1000)));
  EXPECT_LT(proxy.resident_bytes() - before, 16 * 1024 * 1024);
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// Guards against buffering a whole response body when its client reads slowly.
TEST(BodyStreaming, LargeResponseUsesBoundedMemoryAndBlocksNobody) {
  ProxyProcess proxy({.upstreams = 1, .admin_server = true});
  auto before = proxy.resident_bytes();
  auto body = random_text(large_body_size);
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  std::thread sender([&] { upstream.send(http_message("HTTP/1.1 200 OK", body)); });
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  auto received = client.receive_message();
  sender.join();
  EXPECT_EQ(status_and_body(received).second, body);
  EXPECT_LT(proxy.resident_bytes() - before, 16 * 1024 * 1024);
  client.send(http_request("/pay"));  // both connections are reused
  upstream.receive_message();
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_EQ(proxy.metric("calls.pay.success"), 2);
}

// Guards against a truncated response that looks complete to its client, and against a retry after the
// response has begun.
TEST(BodyStreaming, BrokenResponseIsDetectablyTruncated) {
  for (std::string how : {"length", "chunks"}) {
    ProxyProcess proxy({.upstreams = 1, .admin_server = true});
    auto client = proxy.connect();
    client.send("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: g" + how + "\r\nX-Budget-Ms: 9000\r\n\r\n");
    auto upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    auto part = random_text(80000);
    upstream.send(how == "length" ? "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part
                                  : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" + part);
    upstream.close();
    auto received = client.receive_until_end();
    EXPECT_EQ(status_of(received), 200);
    EXPECT_FALSE(received.ends_with("0\r\n\r\n"));
    EXPECT_FALSE(proxy.upstreams[0].has_pending_connection()) << "retried though the response had begun";
    EXPECT_EQ(proxy.metric("calls.view.success"), 0);
    EXPECT_EQ(proxy.metric("inflight"), 0);
  }
}

// Guards against holding back a response of unknown length until it ends.
TEST(BodyStreaming, PassesAResponseOfUnknownLengthAsItArrives) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  EXPECT_TRUE(client.receive_message().find("chunked") != std::string::npos);  // the head was forwarded
  upstream.send("0\r\n\r\n");
  client.send(http_request("/pay"));
  upstream.receive_message();
  upstream.send(ok_response);
}

// Guards against a retry of a streamed request: the request has not executed, because its last byte was not
// sent, but the bytes that were already streamed cannot be sent again.
TEST(BodyStreaming, BrokenRequestIsRejectedAndNotRetried) {
  ProxyProcess proxy({.upstreams = 2});
  auto client = proxy.connect();
  auto text = http_request("/pay", 9000, random_text(4000000));
  std::thread sender([&] { client.send(text); });
  auto first = wait_for_dialled_upstream(proxy);
  auto upstream = proxy.upstreams[first].accept();
  upstream.receive_some();
  upstream.reset();
  EXPECT_EQ(status_of(client.receive_message()), 503);
  sender.join();
  EXPECT_FALSE(proxy.upstreams[1 - first].has_pending_connection());
}

// Guards against a hedged attempt for a streamed request: it would send only the rest of the body.
TEST(BodyStreaming, DoesNotHedgeARequestWithAStreamedBody) {
  for (bool large : {false, true}) {
    PolicyHarness harness({}, 4, 3);
    for (int i = 0; i < 60; ++i) harness.end(harness.submit(0, 5000), 0, Outcome::succeeded);
    Request tested_request{.request_class = 0,
                           .arrived_ms = harness.now_ms,
                           .deadline_ms = harness.now_ms + 5000,
                           .large_body = large};
    ASSERT_EQ(harness.policy.decide(tested_request, harness.now_ms).kind, Decision::attempt);
    EXPECT_EQ(harness.policy.attempt_timeout(tested_request, harness.now_ms).ask_again_ms == never, large);
    for (int i = 0; i < 20; ++i) {  // the first attempt gets no response while other requests succeed
      harness.pass(100);
      for (int n = 0; n < 4; ++n) harness.end(harness.submit(0, 5000), 0, Outcome::succeeded);
      harness.policy.decide(tested_request, harness.now_ms);
    }
    EXPECT_EQ(tested_request.attempt_count, large ? 1 : 2);
  }
}

// Guards against an upstream connection that stays open after the client has left within the request body or
// within the response.
TEST(BodyStreaming, CancelsTheAttemptWhenClientLeavesMidBody) {
  ProxyProcess proxy({.upstreams = 1, .cancelling = false});
  auto client = proxy.connect();
  auto text = http_request("/pay", 9000, random_text(200000));
  client.send(text.substr(0, text.size() - 10));
  auto upstream = proxy.upstreams[0].accept();
  client.close();
  EXPECT_TRUE(upstream.wait_for_end());
  auto reader = proxy.connect();
  reader.send(http_request("/pay"));
  auto other = proxy.upstreams[0].accept();
  other.receive_message();
  other.send("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + random_text(1000));
  reader.receive_some();
  reader.reset();
  EXPECT_TRUE(other.wait_for_end());
}

// Guards against a fixed timeout for bodies: a stalled body is rejected with 408, a slow one is accepted.
TEST(BodyStreaming, AllowsABodyTimeByItsSize) {
  ProxyProcess proxy({.upstreams = 1});
  auto stalled = proxy.connect();
  auto start = Clock::now();
  stalled.send(http_request("/pay", 9000, random_text(60000)).substr(0, 300));
  auto slow = proxy.connect();
  auto text = http_request("/pay", 9000, random_text(200000));
  std::thread sender([&] {  // 64 kB per second
    for (std::size_t at = 0; at < text.size(); at += 6400) {
      slow.send(text.substr(at, 6400));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  });
  EXPECT_EQ(status_of(stalled.receive_message()), 408);
  EXPECT_LT(Clock::now() - start, std::chrono::milliseconds(3500));
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  sender.join();
  EXPECT_EQ(status_of(slow.receive_message()), 200);
}

}  // namespace
}  // namespace meadowgauge::test
