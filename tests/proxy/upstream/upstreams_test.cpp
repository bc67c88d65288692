// Upstreams without a balancer: endpoint indices, and attempts over connections to a server that the test
// plays.
#include "proxy/upstream/upstreams.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/http.hpp"
#include "transport/listener.hpp"
#include "transport/loop.hpp"

namespace meadowgauge::proxy {
namespace {

using protocol::Message;

// Guards against a table that grows with each new name, and against an index that is reused while state of
// its former endpoint is left.
TEST(Upstreams, ReuseAnIndexOnceItsEndpointHasNoState) {
  transport::Loop loop;
  transport::Pool pool(4);
  transport::DueTimes due;
  double now_ms = 0;
  Upstreams upstreams({.loop = loop, .buffers = pool, .due_times = due, .now_ms = now_ms}, {}, Logger(),
                      [] { return false; });
  for (int i = 0; i < 1000; ++i) {
    EndpointIndex endpoint = upstreams.index_of("s" + std::to_string(i));
    EXPECT_EQ(endpoint, EndpointIndex{i % 2});
    upstreams.update_address(endpoint, "127.0.0.1:" + std::to_string(1 + i), i, true);
    EXPECT_EQ(upstreams.endpoints().endpoint_at("127.0.0.1:" + std::to_string(1 + i)), endpoint);
    if (i == 0) continue;
    EndpointIndex last = upstreams.endpoints().find("s" + std::to_string(i - 1));
    upstreams.remove(last);
    EXPECT_EQ(upstreams.endpoints().endpoint_at("127.0.0.1:" + std::to_string(i)), no_endpoint);
    upstreams.reclaim_indices([](EndpointIndex) { return true; });
    EXPECT_EQ(upstreams.endpoints().find("s" + std::to_string(i - 1)), last);
    upstreams.reclaim_indices([](EndpointIndex) { return false; });
    EXPECT_EQ(upstreams.endpoints().find("s" + std::to_string(i - 1)), no_endpoint);
  }
  EXPECT_EQ(upstreams.endpoints().size(), 2u);
}

// Attempts of one request at one server that the test plays. The test sets the clock.
struct UpstreamsFixture : transport::EventHandler {
  transport::Loop loop;
  transport::Pool pool{64};
  transport::DueTimes due;
  double now_ms = 1000;
  transport::Listener listener{loop, *transport::Address::parse("127.0.0.1:0"), *this};
  double turn_age_ms = 0;  // how long ago the turn began
  Upstreams upstreams{{.loop = loop,
                       .buffers = pool,
                       .due_times = due,
                       .now_ms = now_ms,
                       .read_clock_ms = [this] { return now_ms + turn_age_ms; }},
                      {},
                      Logger(),
                      [] { return false; }};
  SharedMessage request = std::make_shared<Message>(pool, Message::Kind::request);

  UpstreamsFixture() {
    upstreams.update_address(upstreams.index_of("s"), listener.address().text(), 0, true);
    request->feed("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nContent-Length: 2\r\n\r\nhi");
  }
  void ready(std::uint32_t) override {}
  void run_loop() {
    for (int i = 0; i < 5; ++i) {
      loop.wait(1);
      loop.dispatch();
      upstreams.send_requests();
      upstreams.destroy_closed();
      EXPECT_EQ(upstreams.broken_invariant(), std::nullopt);
    }
  }
  std::vector<Outcome> take_outcomes() {
    std::vector<Outcome> outcomes;
    for (auto& e : std::exchange(upstreams.events(), {})) outcomes.push_back(e.outcome);
    return outcomes;
  }
  // The bytes that the server receives on its next connection; empty if there is none.
  std::string accept_and_receive() {
    run_loop();
    bool full = false;
    auto fd = listener.accept(full);
    run_loop();
    char bytes[4096];
    auto n = fd ? recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT) : -1;
    connections.push_back(std::move(fd));
    return n > 0 ? std::string(bytes, static_cast<std::size_t>(n)) : std::string();
  }
  std::vector<transport::Fd> connections;
};
using Outcomes = std::vector<Outcome>;

// Guards against sending a waiting request to another process than the one that was picked, after a new
// process has started at the same address. The connection is dialled before or after the list names the new
// process.
TEST(Upstreams, NewProcessGetsNoAttemptOfTheOneBefore) {
  for (bool dialled : {false, true}) {
    UpstreamsFixture fixture;
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .streaming_budget_ms = 500});
    if (dialled) {
      fixture.loop.wait(10);
      fixture.loop.dispatch();  // established; the request is sent later in the turn
    }
    fixture.upstreams.update_address(EndpointIndex{0}, fixture.listener.address().text(), 5000, true);
    EXPECT_EQ(fixture.accept_and_receive(), "");
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
    fixture.upstreams.start(2, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .streaming_budget_ms = 500});
    EXPECT_TRUE(fixture.accept_and_receive().starts_with("POST /pay ")) << "the next attempt is sent";
  }
}

// Guards against a second outcome of an attempt that is abandoned, cancelled or timed out in any order. An
// attempt that was not sent to its last byte ends as not executed.
TEST(Upstreams, AnAttemptEndsOnceWhenEndedTwice) {
  {
    UpstreamsFixture fixture;  // waits for a connection
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .streaming_budget_ms = 500});
    fixture.upstreams.abandon_unsent(1);
    fixture.upstreams.abandon_unsent(1);
    EXPECT_FALSE(fixture.upstreams.cancel(1));
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::superseded});
    EXPECT_EQ(fixture.accept_and_receive(), "");
    fixture.now_ms += 600;
    while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{});
  }
  {
    UpstreamsFixture fixture;  // sent to the last byte: only cancel() ends it
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .streaming_budget_ms = 500});
    EXPECT_NE(fixture.accept_and_receive(), "");
    fixture.upstreams.abandon_unsent(1);
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{});
    EXPECT_TRUE(fixture.upstreams.cancel(1));
    EXPECT_FALSE(fixture.upstreams.cancel(1));
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{});
  }
  {
    UpstreamsFixture fixture;  // times out, and is cancelled in the same turn
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .streaming_budget_ms = 500});
    EXPECT_NE(fixture.accept_and_receive(), "");
    fixture.now_ms += 600;
    while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
    EXPECT_FALSE(fixture.upstreams.cancel(1));
    fixture.upstreams.abandon_unsent(1);
    EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::timeout});
  }
}

// Guards against a request that is sent in the turn in which its attempt times out, over a connection
// established in that turn: after the last byte a non-idempotent request could not be retried.
TEST(Upstreams, SendNothingOverAConnectionEstablishedTooLate) {
  UpstreamsFixture fixture;
  fixture.upstreams.start(1, EndpointIndex{0}, fixture.request, {.limit_ms = 50, .streaming_budget_ms = 50});
  fixture.now_ms += 60;
  EXPECT_EQ(fixture.accept_and_receive(), "");
  while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
  EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
  fixture.upstreams.start(
      2, EndpointIndex{0}, fixture.request,
      {.limit_ms = 500, .streaming_budget_ms = 500});  // over the connection that was established
  fixture.run_loop();
  char bytes[4096];
  EXPECT_GT(recv(fixture.connections.back().get(), bytes, sizeof bytes, MSG_DONTWAIT), 0);
}

// Guards against a wait for the longer dial timeout when the body becomes complete during the dial: the
// attempt's time limit starts then and also bounds the dial.
TEST(Upstreams, TimeLimitAppliesToAWaitingAttempt) {
  UpstreamsFixture fixture;
  auto incoming_request =
      std::make_shared<Message>(fixture.pool, Message::Kind::request, Message::Body::streaming);
  incoming_request->feed("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nContent-Length: 2\r\n\r\nh");
  fixture.upstreams.start(1, EndpointIndex{0}, incoming_request,
                          {.limit_ms = 3600000, .streaming_budget_ms = 50});
  fixture.now_ms += 10;
  incoming_request->feed("i");
  fixture.upstreams.set_limit(1, 50);
  fixture.now_ms += 60;
  while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
  EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
}

// Guards against a second execution: the window of the idempotency key ends while the attempt waits for a
// connection, so the request must not be sent.
TEST(Upstreams, SendNoAttemptAfterItsSendDeadline) {
  for (bool at_once : {true, false}) {
    UpstreamsFixture fixture;
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                            {.limit_ms = 500, .send_by_ms = 50, .streaming_budget_ms = 500});
    fixture.now_ms += 60;
    if (at_once) {  // connected in the turn in which the window ends
      EXPECT_EQ(fixture.accept_and_receive(), "");
      EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
    } else {
      while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
      EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
      EXPECT_EQ(fixture.accept_and_receive(), "");
    }
  }
  UpstreamsFixture fixture;  // sent in time: the response may take until the limit
  fixture.upstreams.start(1, EndpointIndex{0}, fixture.request,
                          {.limit_ms = 500, .send_by_ms = 50, .streaming_budget_ms = 500});
  EXPECT_NE(fixture.accept_and_receive(), "");
  fixture.now_ms += 400;
  while (auto key = fixture.due.first(fixture.now_ms)) fixture.upstreams.deadline_reached(*key);
  EXPECT_EQ(fixture.take_outcomes(), Outcomes{});
}

// Guards against a second execution: in the turn in which the connection is established, a list moves the
// endpoint to another group, so the request must not be sent before the list is applied.
TEST(Upstreams, SendNoAttemptWithdrawnInTheSameTurn) {
  for (bool withdrawn : {true, false}) {
    UpstreamsFixture fixture;
    fixture.upstreams.start(1, EndpointIndex{0}, fixture.request, {.limit_ms = 500});
    fixture.loop.wait(100);
    fixture.loop.dispatch();
    if (withdrawn) fixture.upstreams.abandon_unsent(1);
    fixture.upstreams.send_requests();
    EXPECT_EQ(fixture.accept_and_receive().empty(), withdrawn);
    EXPECT_EQ(fixture.take_outcomes(), withdrawn ? Outcomes{Outcome::superseded} : Outcomes{});
  }
}

// Guards against a second execution: a turn takes so long that the window of the idempotency key ends between
// the start of the turn and the write.
TEST(Upstreams, SendNoAttemptAfterItsWindowInALongTurn) {
  UpstreamsFixture fixture;
  fixture.upstreams.start(1, EndpointIndex{0}, fixture.request, {.limit_ms = 500, .send_by_ms = 50});
  fixture.turn_age_ms = 60;
  EXPECT_EQ(fixture.accept_and_receive(), "");
  EXPECT_EQ(fixture.take_outcomes(), Outcomes{Outcome::unreachable});
}

}  // namespace
}  // namespace meadowgauge::proxy
