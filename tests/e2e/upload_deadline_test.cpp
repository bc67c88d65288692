// When the response to a request with a large body is due: its time counts from the client's last byte, also
// while the endpoint does not take the body and the balancer does not read it. The test acts as the clients
// and the upstreams.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr int budget_ms = 1000;
// A response that comes later than this after its time is lost.
constexpr int max_lateness_ms = 500;
// More than the systems between client and upstream hold if the upstream does not read.
constexpr std::size_t stuck_body_bytes = 600'000;

std::string upload(std::size_t body_bytes, bool chunked, int budget) {
  std::string body(body_bytes, 'u');
  if (!chunked) return http_request("/pay", budget, body);
  auto head = http_request("/pay", budget, "");
  head.replace(head.find("Content-Length: 0"), 17, "Transfer-Encoding: chunked");
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return head + size + body + "\r\n0\r\n\r\n";
}

// An upstream of which a client's system holds only a few bytes, and the program that forwards to it.
struct SlowUpstream {
  ListeningSocket listener{1024, small_receive_buffer};
  ProxyProcess proxy{{.upstreams = 0}, endpoint_list(1, true, {endpoint_entry(0, listener.address())})};
};

// Guards against an upload without any response: its upstream stops reading, and the balancer stops as well.
TEST(UploadDeadline, UploadAtAStuckUpstreamIsAnsweredInTime) {
  for (bool chunked : {false, true}) {
    SlowUpstream slow;
    auto client = slow.proxy.connect();
    auto text = upload(stuck_body_bytes, chunked, budget_ms);
    std::thread sender([&] { client.send(text); });
    auto upstream = slow.listener.accept();
    upstream.receive_some();
    sender.join();
    auto sent_at = Clock::now();
    EXPECT_EQ(status_of(client.receive_message()), 503) << "the upstream has no whole request";
    EXPECT_LT(Clock::now() - sent_at, ms(budget_ms + max_lateness_ms));
    upstream.receive_until_end();
    EXPECT_TRUE(upstream.was_reset() || !upstream.alive());
  }
}

// Guards against a time budget that begins when the balancer reads the last byte: the byte lay in the socket
// while the upstream took the body slowly.
TEST(UploadDeadline, TimeInTheSocketCounts) {
  SlowUpstream slow;
  auto client = slow.proxy.connect();
  auto text = upload(stuck_body_bytes, false, budget_ms);
  std::thread sender([&] { client.send(text); });
  auto upstream = slow.listener.accept();
  sender.join();
  auto sent_at = Clock::now();
  sleep_until(sent_at + ms(budget_ms / 2));
  std::thread reader([&] { upstream.receive_until_end(); });  // takes the rest, and does not respond
  EXPECT_GE(status_of(client.receive_message()), 500);
  EXPECT_LT(Clock::now() - sent_at, ms(budget_ms + max_lateness_ms / 2));
  reader.join();
}

// Guards against a time budget that begins before the client's last byte: a client may pause for longer.
TEST(UploadDeadline, ClientThatPausesWithinItsBodyKeepsItsWholeBudget) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  auto text = upload(stuck_body_bytes, false, budget_ms);
  client.send(text.substr(0, text.size() - 1));
  auto upstream = proxy.upstreams[0].accept();
  std::thread server([&] {
    upstream.receive_message();
    sleep_until(Clock::now() + ms(budget_ms * 3 / 4));
    upstream.send(ok_response);
  });
  sleep_until(Clock::now() + ms(budget_ms * 3 / 2));
  client.send(text.substr(text.size() - 1));
  EXPECT_EQ(status_of(client.receive_message()), 200);
  server.join();
}

// Guards against forwarding the rest of a body whose client has left while the balancer did not read: the
// request would run for nobody.
TEST(UploadDeadline, BodyIsNotForwardedOnceItsClientHasLeft) {
  for (bool reset : {false, true}) {
    SlowUpstream slow;
    auto client = slow.proxy.connect();
    auto text = upload(stuck_body_bytes, false, 9000);
    std::thread sender([&] { client.send(text); });
    auto upstream = slow.listener.accept();
    upstream.receive_some();
    sender.join();
    reset ? client.reset() : client.close();
    sleep_until(Clock::now() + ms(100));
    EXPECT_LT(upstream.receive_until_end().size(), text.size());
  }
}

// Guards against a request that reaches its upstream long after its client has left: the system goes on
// sending what it holds of a connection that is closed in an orderly way.
TEST(UploadDeadline, RequestOnItsWayEndsWithItsClient) {
  constexpr std::size_t body_bytes = 8000;  // the system takes it whole
  SlowUpstream slow;
  auto client = slow.proxy.connect();
  auto text = upload(body_bytes, false, 9000);
  client.send(text);
  auto upstream = slow.listener.accept();
  EXPECT_TRUE(upstream.receive_some(1));
  client.close();
  sleep_until(Clock::now() + ms(100));
  EXPECT_LT(upstream.receive_until_end().size(), text.size());
}

// Guards against holding a client that stops in the middle of its body for as long as its earlier bytes have
// earned: it is owed an error or a close within 3 s.
TEST(UploadDeadline, StoppedClientGetsItsErrorHoweverMuchItHasSent) {
  constexpr int max_wait_ms = 3000;
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  auto text = upload(2'000'000, false, 9000);
  std::thread server([&] { proxy.upstreams[0].accept().receive_until_end(); });
  client.send(text.substr(0, text.size() / 2));
  auto stopped_at = Clock::now();
  EXPECT_EQ(status_of(client.receive_message()), 408);
  EXPECT_LT(Clock::now() - stopped_at, ms(max_wait_ms));
  server.join();
}

// Guards against 408 for a client whose body was paused by its upstream: the pause is not the client's.
TEST(UploadDeadline, PauseOfTheUpstreamIsNotCountedAgainstTheClient) {
  SlowUpstream slow;
  auto client = slow.proxy.connect();
  auto text = upload(stuck_body_bytes, false, 3 * budget_ms);
  client.send(text.substr(0, stuck_body_bytes / 2));
  auto upstream = slow.listener.accept();
  sleep_until(Clock::now() + ms(2 * budget_ms));
  std::thread server([&] {
    upstream.receive_message();
    upstream.send(ok_response);
  });
  sleep_until(Clock::now() + ms(3 * budget_ms / 2));
  client.send(text.substr(stuck_body_bytes / 2));
  EXPECT_EQ(status_of(client.receive_message()), 200);
  server.join();
}

// Guards against ending an upload that its upstream takes steadily, for longer than the time budget: its last
// byte can't be written yet.
TEST(UploadDeadline, UploadTakenSteadilyIsServedHoweverLongItTakes) {
  constexpr std::size_t body_bytes = std::size_t{32} * 1024 * 1024;
  constexpr int parts = 16;
  constexpr int part_interval_ms = 250;  // 8 MiB per second
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  auto text = upload(body_bytes, false, 2 * budget_ms);
  std::thread sender([&] { client.send(text); });
  auto upstream = proxy.upstreams[0].accept();
  std::thread server([&] {
    std::size_t received = 0;
    auto begin = Clock::now();
    for (int part = 1; part <= parts; ++part) {
      while (received < text.size() * static_cast<std::size_t>(part) / parts - 1000 &&
             upstream.receive_some())
        received += upstream.take_received().size();
      sleep_until(begin + ms(part * part_interval_ms));
    }
    upstream.send(ok_response);
  });
  EXPECT_EQ(status_of(client.receive_message()), 200);
  sender.join();
  server.join();
}

}  // namespace
}  // namespace meadowgauge::test
