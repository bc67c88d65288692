// Bodies that are too large to be buffered whole: parsed in pieces as values, and passed on both ways by the
// running program, whose clients and upstreams the test plays over loopback.
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

// The body in chunks of that size, with extensions and a trailer.
std::string in_chunks(const std::string& body, std::size_t chunk_size) {
  std::string text;
  char size[32];
  for (std::size_t at = 0; at < body.size(); at += chunk_size) {
    std::snprintf(size, sizeof size, "%zX;ext=\"a;b\"\r\n", std::min(chunk_size, body.size() - at));
    text += size + body.substr(at, chunk_size) + "\r\n";
  }
  return text + "0\r\nTrailer: t\r\n\r\n";
}

// Feeds `text` in pieces to a message, drains it whenever its buffers are full, and returns its body;
// `largest` receives the maximum of buffered bytes.
std::string streamed_body(Message::Kind kind, const std::string& text, std::size_t piece,
                          std::size_t* largest = nullptr) {
  Pool pool(64);
  Message m(pool, kind, Message::Body::streaming);
  Chain drained(pool);
  std::string body, input;
  auto drain = [&] {
    EXPECT_EQ(m.move_body(drained, false), Message::MoveResult::moved);
    drained.each(0, [&](std::string_view part) { body += part; });
    drained.clear();
  };
  for (std::size_t at = 0; at < text.size(); at += piece) {
    input += text.substr(at, piece);
    while (!input.empty()) {
      input.erase(0, m.feed(input));
      if (m.fault() != protocol::Fault::none) return "fault";
      if (largest) *largest = std::max(*largest, m.body_size());
      if (m.complete()) break;
      if (m.buffer_full()) drain();
    }
  }
  if (m.close_delimited()) m.connection_closed();
  if (!m.complete()) return "not whole";
  if (m.body_size() > 0) drain();
  return body;
}

TEST(BodyStreaming, GivesTheSameBodyHoweverItIsSplit) {
  auto body = random_text(100000);
  const std::string request_head = "POST /pay HTTP/1.1\r\nHost: b\r\n", ok_head = "HTTP/1.1 200 OK\r\n";
  for (std::size_t piece : {1, 7, 4096, 16384, 1000000}) {
    std::size_t largest = 0;
    EXPECT_EQ(
        streamed_body(Message::Kind::request,
                      http_message(request_head.substr(0, request_head.size() - 2), body), piece, &largest),
        body);
    EXPECT_LE(largest, protocol::max_buffered_body);
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

// Random messages in random pieces give the same body or the same rejection.
TEST(BodyStreaming, RandomMessagesGiveSameResultHoweverSplit) {
  bool same = rc::check("flowing messages", [] {
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

TEST(BodyStreaming, WaitsWhenThePoolIsExhausted) {
  Pool pool(3);
  Message m(pool, Message::Kind::request, Message::Body::streaming);
  auto text = http_message("POST /pay HTTP/1.1\r\nHost: b", random_text(100000));
  std::size_t n = 0;
  for (std::size_t more = 1; more > 0; n += more) more = m.feed(std::string_view(text).substr(n, 4096));
  EXPECT_EQ(m.fault(), protocol::Fault::none);
  EXPECT_TRUE(m.out_of_buffers());
  Chain out(pool);
  EXPECT_EQ(m.move_body(out, false), Message::MoveResult::out_of_buffers);
  EXPECT_LT(n, text.size());
}

long resident_bytes(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  long size = 0;
  long resident = 0;
  statm >> size >> resident;
  return resident * 4096;
}

constexpr std::size_t large_body_size = std::size_t{32} * 1024 * 1024;

TEST(BodyStreaming, LargeRequestUsesBoundedMemoryAndBlocksNobody) {
  ProxyProcess proxy({.upstreams = 1});
  auto before = resident_bytes(proxy.pid());
  auto body = random_text(large_body_size);
  auto client = proxy.connect();
  std::thread sender([&] { client.send(http_request("/pay", 9000, body)); });
  auto upstream = proxy.upstreams[0].accept();
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);  // other clients are served while this one does not read
  auto received = upstream.receive_message();
  sender.join();
  EXPECT_EQ(received.size() - received.find("\r\n\r\n") - 4, large_body_size);
  EXPECT_TRUE(received.ends_with(body.substr(large_body_size - 1000)));
  EXPECT_LT(resident_bytes(proxy.pid()) - before, 16 * 1024 * 1024);
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

TEST(BodyStreaming, LargeResponseUsesBoundedMemoryAndBlocksNobody) {
  ProxyProcess proxy({.upstreams = 1, .admin_server = true});
  auto before = resident_bytes(proxy.pid());
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
  EXPECT_LT(resident_bytes(proxy.pid()) - before, 16 * 1024 * 1024);
  client.send(http_request("/pay"));  // both connections are reused
  upstream.receive_message();
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_EQ(proxy.metric("calls.pay.success"), 2);
}

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
    EXPECT_FALSE(proxy.upstreams[0].has_pending_connection()) << "the response has begun: no other attempt";
    EXPECT_EQ(proxy.metric("calls.view.success"), 0);
    EXPECT_EQ(proxy.metric("inflight"), 0);
  }
}

TEST(BodyStreaming, PassesAResponseOfUnknownLengthAsItComes) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  EXPECT_TRUE(client.receive_message().find("chunked") != std::string::npos);  // its head was received
  upstream.send("0\r\n\r\n");
  client.send(http_request("/pay"));
  upstream.receive_message();
  upstream.send(ok_response);
}

// A request whose last byte was not sent has not executed, but its streamed body cannot be sent again.
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

// A hedged attempt would carry only the rest of the body.
TEST(BodyStreaming, HedgesNoRequestWhoseBodyIsStreamed) {
  for (bool large : {false, true}) {
    PolicyHarness w({}, 4, 3);
    for (int i = 0; i < 60; ++i) w.end(w.submit(0, 5000), 0, Outcome::succeeded);
    Request v{
        .request_class = 0, .arrived_ms = w.now_ms, .deadline_ms = w.now_ms + 5000, .large_body = large};
    ASSERT_EQ(w.policy.decide(v, w.now_ms).kind, Decision::attempt);
    EXPECT_EQ(w.policy.attempt_timeout(v, w.now_ms).ask_again_ms == never, large);
    for (int i = 0; i < 20; ++i) {  // its server stops responding while others respond
      w.pass(100);
      for (int n = 0; n < 4; ++n) w.end(w.submit(0, 5000), 0, Outcome::succeeded);
      w.policy.decide(v, w.now_ms);
    }
    EXPECT_EQ(v.attempt_count, large ? 1 : 2);
  }
}

TEST(BodyStreaming, CancelsTheAttemptWhenTheClientDisconnectsMidBody) {
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
