// The parts of upstream connections: endpoint indices and addresses, the idle timeout, attempt timeouts; and
// the states of connections and attempts, on sockets.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/endpoint/slots.hpp"
#include "proxy/upstream/attempt.hpp"
#include "proxy/upstream/idle_timeout_estimator.hpp"
#include "proxy/upstream/upstreams.hpp"
#include "transport/listener.hpp"

namespace meadowgauge::proxy {
namespace {

constexpr auto address = "127.0.0.1:1000";
constexpr auto other_address = "127.0.0.1:2000";

// Endpoint slots with one listed endpoint.
struct ListedEndpoint {
  EndpointSlots slots;
  EndpointIndex endpoint = slots.add("a");
  ListedEndpoint() { slots.update(endpoint, address, 1, true); }
};

TEST(EndpointSlots, NewAddressOrStartTimeMeansNewProcess) {
  ListedEndpoint s;
  auto generation = s.slots.generation(s.endpoint);
  EXPECT_FALSE(s.slots.update(s.endpoint, address, 1, true));
  EXPECT_FALSE(s.slots.update(s.endpoint, "", 1, true)) << "the known address is kept";
  EXPECT_EQ(s.slots.generation(s.endpoint), generation);
  EXPECT_TRUE(s.slots.update(s.endpoint, address, 2, true));
  EXPECT_TRUE(s.slots.update(s.endpoint, other_address, 2, true));
  EXPECT_EQ(s.slots.generation(s.endpoint), generation + 2);
  EXPECT_EQ(s.slots.endpoint_at(address), no_endpoint);
  EXPECT_EQ(s.slots.endpoint_at(other_address), s.endpoint);
  EXPECT_EQ(s.slots.broken_invariant(), std::nullopt);
}

TEST(EndpointSlots, InvalidAddressLeavesNoAddressToDial) {
  ListedEndpoint s;
  EXPECT_TRUE(s.slots.update(s.endpoint, "nowhere", 1, true));
  EXPECT_FALSE(s.slots.dial_address(s.endpoint));
  EXPECT_EQ(s.slots.address(s.endpoint), "nowhere");
  EXPECT_EQ(s.slots.broken_invariant(), std::nullopt);
}

TEST(EndpointSlots, AcceptsAttemptsWhileListedActiveAndNotDrained) {
  ListedEndpoint s;
  EXPECT_TRUE(s.slots.accepts_attempts(s.endpoint));
  s.slots.update(s.endpoint, address, 1, false);
  EXPECT_FALSE(s.slots.accepts_attempts(s.endpoint));
  s.slots.update(s.endpoint, address, 1, true);
  s.slots.set_manual_drain(s.endpoint, true);
  s.slots.update(s.endpoint, address, 1, true);
  EXPECT_FALSE(s.slots.accepts_attempts(s.endpoint)) << "a manual drain overrides the list";
  auto generation = s.slots.generation(s.endpoint);
  s.slots.set_manual_drain(s.endpoint, false);
  EXPECT_TRUE(s.slots.accepts_attempts(s.endpoint));
  EXPECT_GT(s.slots.generation(s.endpoint), generation) << "the endpoint may have been restarted";
  EXPECT_TRUE(s.slots.remove(s.endpoint));
  EXPECT_FALSE(s.slots.remove(s.endpoint));
  EXPECT_FALSE(s.slots.accepts_attempts(s.endpoint));
  EXPECT_EQ(s.slots.broken_invariant(), std::nullopt);
}

TEST(EndpointSlots, IndexIsReclaimedOnceNotInUse) {
  ListedEndpoint s;
  s.slots.remove(s.endpoint);
  s.slots.reclaim([](EndpointIndex) { return true; });
  EXPECT_EQ(s.slots.find("a"), s.endpoint);
  s.slots.update(s.endpoint, address, 1, true);  // listed again
  s.slots.reclaim([](EndpointIndex) { return false; });
  EXPECT_EQ(s.slots.find("a"), s.endpoint);
  s.slots.remove(s.endpoint);
  s.slots.reclaim([](EndpointIndex) { return false; });
  EXPECT_EQ(s.slots.find("a"), no_endpoint);
  EXPECT_EQ(s.slots.add("b"), s.endpoint);
  EXPECT_EQ(s.slots.generation(s.endpoint), 0);
  EXPECT_EQ(s.slots.broken_invariant(), std::nullopt);
}

constexpr double idle_timeout_ms = 30000;
constexpr double max_reuse_idle_ms = 0.8 * idle_timeout_ms;

TEST(IdleTimeoutEstimator, ClosesOfSeveralEndpointsLowerTheTimeout) {
  IdleTimeoutEstimator estimator(idle_timeout_ms);
  EXPECT_EQ(estimator.max_reuse_idle_ms(0), max_reuse_idle_ms);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(estimator.max_reuse_idle_ms(0), max_reuse_idle_ms) << i;
    estimator.closed_by_endpoint(EndpointIndex{i % 3}, 1000 + i, 0);
  }
  EXPECT_EQ(estimator.max_reuse_idle_ms(0), 0.35 * 1000);
  EXPECT_EQ(estimator.max_reuse_idle_ms(10000), 0.35 * 1000);
  EXPECT_EQ(estimator.max_reuse_idle_ms(10001), max_reuse_idle_ms);
  EXPECT_EQ(estimator.close_after_ms(), max_reuse_idle_ms);
}

TEST(IdleTimeoutEstimator, IgnoresOneEndpointAndClosesAfterAResponse) {
  IdleTimeoutEstimator estimator(idle_timeout_ms);
  for (int i = 0; i < 20; ++i) estimator.closed_by_endpoint(EndpointIndex{0}, 1000, 0);
  for (int i = 0; i < 20; ++i) estimator.closed_by_endpoint(EndpointIndex{i}, 49, 0);
  EXPECT_EQ(estimator.max_reuse_idle_ms(0), max_reuse_idle_ms);
}

// An attempt with these deadlines: a health check, because it needs no message and has the same timeouts.
UpstreamAttempt attempt_until(double connect_by_ms, double send_by_ms, double limit_at_ms) {
  return {EndpointIndex{0},
          UpstreamRequest::health_check("/load"),
          {.started_at_ms = 0,
           .limit_at_ms = limit_at_ms,
           .connect_by_ms = connect_by_ms,
           .send_by_ms = send_by_ms}};
}

TEST(UpstreamAttempt, EachPhaseHasItsDeadline) {
  auto attempt = attempt_until(10, 20, 30);
  EXPECT_EQ(attempt.timeout_at_ms(), 10);
  EXPECT_TRUE(attempt.is_never_sent(10));
  attempt.connected(7);
  EXPECT_EQ(attempt.connection(), 7u);
  EXPECT_EQ(attempt.timeout_at_ms(), 20);
  EXPECT_FALSE(attempt.is_never_sent(19)) << "the request may be partly written";
  EXPECT_TRUE(attempt.is_never_sent(20));
  attempt.request_sent();
  EXPECT_EQ(attempt.timeout_at_ms(), 30);
  EXPECT_FALSE(attempt.is_never_sent(30));
  auto short_limit_attempt = attempt_until(10, 20, 5);
  EXPECT_EQ(short_limit_attempt.timeout_at_ms(), 5);
}

TEST(UpstreamAttempt, StreamedResponseIsDueByItsTimeUnlessLarge) {
  auto attempt = attempt_until(10, 20, 30);
  attempt.connected(7);
  attempt.request_sent();
  attempt.stream_response(50);
  using enum ResponseSize;
  EXPECT_EQ(attempt.stall_timeout_at_ms(100, fits_buffer), 30100) << "no due time is set";
  attempt.set_response_due_at_ms(1000);
  EXPECT_EQ(attempt.stall_timeout_at_ms(100, fits_buffer), 1000);
  EXPECT_EQ(attempt.stall_timeout_at_ms(900, fits_buffer), 1100) << "the longest gap between late bytes";
  EXPECT_EQ(attempt.stall_timeout_at_ms(1300, fits_buffer), 1400) << "the maximum lateness";
  EXPECT_EQ(attempt.stall_timeout_at_ms(1300, exceeds_buffer), 31300);
  attempt.pause_response();
  EXPECT_EQ(attempt.stall_timeout_at_ms(1300, fits_buffer), transport::DueTimes::none);
  attempt.resume_response();
  attempt.response_received(protocol::max_buffered_body + 1);
  EXPECT_EQ(attempt.stall_timeout_at_ms(1300, fits_buffer), 31300) << "larger than the buffer";
}

// Guards against cutting off a large response of unknown length before it has exceeded the buffer, and
// against a corrupted one that never ends.
TEST(UpstreamAttempt, ResponseOfUnknownLengthHasTimeToExceedTheBuffer) {
  auto attempt = attempt_until(10, 20, 30);
  attempt.connected(7);
  attempt.request_sent();
  attempt.stream_response(800);
  attempt.set_response_due_at_ms(1000);
  using enum ResponseSize;
  EXPECT_EQ(attempt.stall_timeout_at_ms(0, unknown), 1000) << "silent for long at its due time";
  EXPECT_EQ(attempt.stall_timeout_at_ms(900, unknown), 1900) << "a slow endpoint may pause for 0.5 s";
  EXPECT_EQ(attempt.stall_timeout_at_ms(1500, unknown), 2500);
  EXPECT_EQ(attempt.stall_timeout_at_ms(2500, unknown), 2800) << "2 s after it began to stream";
  attempt.response_received(protocol::max_buffered_body + 1);
  EXPECT_EQ(attempt.stall_timeout_at_ms(2500, unknown), 32500);
}

// Upstreams with one endpoint that the test plays. The test sets the clock; run_loop() checks the invariants.
struct UpstreamsWithEndpoint : transport::EventHandler {
  transport::Loop loop;
  transport::Pool buffers{64};
  transport::DueTimes due_times;
  double now_ms = 1000;
  transport::Listener listener{loop, *transport::Address::parse("127.0.0.1:0"), *this};
  ConnectionPoolSettings settings;
  Upstreams upstreams{
      {.loop = loop, .buffers = buffers, .due_times = due_times, .now_ms = now_ms}, settings, Logger(), [] {
        return false;
      }};
  SharedMessage request = std::make_shared<protocol::Message>(buffers, protocol::Message::Kind::request);
  transport::Fd connection;  // the last accepted one

  UpstreamsWithEndpoint() {
    upstreams.update_address(upstreams.index_of("a"), listener.address().text(), 0, true);
    request->feed("GET /page HTTP/1.1\r\nHost: a\r\n\r\n");
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
  void start(AttemptId id) {
    upstreams.start(id, EndpointIndex{0}, request, {.limit_ms = 60000});
    run_loop();
  }
  bool accept() {
    bool out_of_descriptors = false;
    auto accepted = listener.accept(out_of_descriptors);
    if (!accepted) return false;
    connection = std::move(accepted);
    run_loop();
    return true;
  }
  // Whether the endpoint has received a request on the last accepted connection.
  bool has_received_request() const {
    char bytes[4096];
    return recv(connection.get(), bytes, sizeof bytes, MSG_DONTWAIT) > 0;
  }
  void send_response(const std::string& bytes) {
    auto sent = send(connection.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    EXPECT_EQ(sent, static_cast<ssize_t>(bytes.size()));
    run_loop();
  }
  void advance_ms(double ms) {
    now_ms += ms;
    while (auto key = due_times.first(now_ms)) upstreams.deadline_reached(*key);
    run_loop();
  }
  std::vector<AttemptEvent> take_events() { return std::exchange(upstreams.events(), {}); }
  std::vector<Outcome> take_outcomes() {
    std::vector<Outcome> outcomes;
    for (const auto& event : take_events()) outcomes.push_back(event.outcome);
    return outcomes;
  }
};
using Outcomes = std::vector<Outcome>;
constexpr auto small_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST(Upstreams, SettledConnectionServesTheNextAttempt) {
  UpstreamsWithEndpoint e;
  e.start(1);
  ASSERT_TRUE(e.accept());
  EXPECT_TRUE(e.has_received_request());
  e.send_response(small_response);
  EXPECT_EQ(e.take_outcomes(), Outcomes{Outcome::succeeded});
  e.advance_ms(e.settings.settle_ms);
  e.start(2);
  EXPECT_TRUE(e.has_received_request());
  EXPECT_FALSE(e.accept()) << "a second connection was dialled";
  e.connection.close();
  e.run_loop();
  EXPECT_EQ(e.take_outcomes(), Outcomes{Outcome::reset});
}

TEST(Upstreams, IdleConnectionClosesOnExpiryOrEndpointRemoval) {
  for (bool removed : {true, false}) {
    UpstreamsWithEndpoint e;
    e.start(1);
    ASSERT_TRUE(e.accept());
    EXPECT_TRUE(e.has_received_request());
    e.send_response(small_response);
    e.advance_ms(e.settings.settle_ms);
    if (removed) {
      e.upstreams.remove(EndpointIndex{0});
    } else {
      e.advance_ms(0.8 * e.settings.idle_timeout_ms);
      e.upstreams.close_expired_connections();
    }
    e.run_loop();
    char byte = 0;
    EXPECT_EQ(recv(e.connection.get(), &byte, 1, MSG_DONTWAIT), 0) << "not closed; removed: " << removed;
  }
}

TEST(Upstreams, LargeResponseStreamsAndPausesUntilDrained) {
  constexpr std::size_t size = 100000;
  constexpr std::size_t piece = 10000;
  UpstreamsWithEndpoint e;
  e.start(1);
  ASSERT_TRUE(e.accept());
  EXPECT_TRUE(e.has_received_request());
  e.send_response("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
  auto events = e.take_events();
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].kind, AttemptEvent::Kind::response_started);
  EXPECT_EQ(events[1].kind, AttemptEvent::Kind::response_progress);
  auto response = events[0].response;
  for (std::size_t i = 0; i < size / piece; ++i) e.send_response(std::string(piece, 'x'));
  EXPECT_TRUE(response->buffer_full());
  EXPECT_EQ(e.due_times.next(), transport::DueTimes::none) << "a paused response has no timeout";
  EXPECT_FALSE(response->extract_body().empty());
  e.take_events();
  e.upstreams.resume_response(1);
  e.run_loop();
  events = e.take_events();
  ASSERT_FALSE(events.empty());
  EXPECT_EQ(events.back().kind, AttemptEvent::Kind::completed);
  EXPECT_EQ(events.back().outcome, Outcome::succeeded);
  EXPECT_EQ(events.back().response, nullptr) << "the response was streamed";
  EXPECT_TRUE(response->complete());
}

}  // namespace
}  // namespace meadowgauge::proxy
