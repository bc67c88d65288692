// Tests of the stand-ins' HTTP client while its thread is paused, as on a busy machine: which responses it
// still reads, and how its results show the delay.
#include "testbed/stand_ins/http_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "testbed/stand_ins/http_server.hpp"
#include "transport/clock.hpp"

namespace meadowgauge::testbed {
namespace {

void pause_thread(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// A client and a server with an event loop each, which the test runs in turn.
struct ClientFixture final : HttpServer::Handler, HttpClient::Handler {
  transport::Clock clock;
  TestbedContext client_context{clock}, server_context{clock};
  HttpServer server{server_context, *this};
  int listener = server.listen(*transport::Address::parse("127.0.0.1:0"));
  HttpClient client{client_context, {{server.address(listener), 0}}, *this, {}};
  std::vector<HttpClient::Result> results;
  std::vector<ConnectionId> requests;
  double deadline_ms = 0;

  void on_request(ConnectionId id, int, const protocol::Message&, bool) override { requests.push_back(id); }
  void on_result(std::uint64_t, const HttpClient::Result& result) override { results.push_back(result); }
  int pick_target(int) override { return 0; }

  void send(double timeout_ms) {
    client_context.now_ms = clock.now();
    deadline_ms = client_context.now_ms + timeout_ms;
    client.send(0, 0, "GET /view HTTP/1.1\r\nHost: b\r\n\r\n", "v1", deadline_ms);
  }
  void run_until_received() {
    for (int turn = 0; turn < 1000 && requests.empty(); ++turn) {
      client_context.run_once(1);
      server_context.run_once(1);
    }
    ASSERT_EQ(requests.size(), 1U);
  }
  void respond() {
    server.respond(requests.front(), 200, "", "v1\n");
    server_context.run_once(0);
  }
  void run_until_result() {
    for (int turn = 0; turn < 1000 && results.empty(); ++turn) client_context.run_once(1);
    ASSERT_EQ(results.size(), 1U);
  }
};

// Guards against a timeout although the response arrived in time: the client's thread was paused between the
// end of its wait and its clock reading.
TEST(HttpClient, ReadsResponseBeforeTimeoutAfterAPause) {
  ClientFixture fixture;
  fixture.send(100);
  fixture.run_until_received();
  fixture.client_context.run_once(1);  // handles the remaining events of the new connection
  fixture.client_context.wait(0);      // finds nothing
  fixture.respond();
  ASSERT_LT(fixture.clock.now(), fixture.deadline_ms);
  pause_thread(150);
  fixture.client_context.handle_turn();
  ASSERT_EQ(fixture.results.size(), 1U);
  EXPECT_EQ(fixture.results[0].outcome, Outcome::succeeded);
  EXPECT_LT(fixture.results[0].arrived_ms, fixture.deadline_ms);
  EXPECT_GE(fixture.results[0].ended_ms, fixture.deadline_ms);
}

// Guards against a pause that hides a missing response: the request times out even if the thread was paused.
TEST(HttpClient, TimesOutWithoutResponseAfterAPause) {
  ClientFixture fixture;
  fixture.send(50);
  fixture.run_until_received();
  fixture.client_context.wait(0);
  pause_thread(100);
  fixture.client_context.handle_turn();
  ASSERT_EQ(fixture.results.size(), 1U);
  EXPECT_EQ(fixture.results[0].outcome, Outcome::timed_out);
}

// Guards against results in which a delay of the client looks like a delay of the server.
TEST(HttpClient, RecordsArrivalTimeAndDelayOfReading) {
  ClientFixture fixture;
  fixture.send(5000);
  fixture.run_until_received();
  double responded_ms = fixture.clock.now();
  fixture.respond();
  double written_ms = fixture.clock.now();
  pause_thread(80);
  fixture.run_until_result();
  EXPECT_GE(fixture.results[0].arrived_ms, responded_ms - 1);
  EXPECT_LE(fixture.results[0].arrived_ms, written_ms + 1);
  EXPECT_GE(fixture.results[0].ended_ms - fixture.results[0].arrived_ms, 75);
  EXPECT_GE(fixture.results[0].turn_gap_ms, fixture.results[0].ended_ms - fixture.results[0].arrived_ms);
}

// Guards against a client that times out before the server's time budget ends. The server counts the budget
// from the arrival of the request, so that a client that writes its request late must wait longer by that
// delay.
TEST(HttpClient, WaitsLongerByItsOwnDelayInWriting) {
  ClientFixture fixture;
  fixture.send(100);
  pause_thread(60);  // the connection is established, and the client does not write
  fixture.run_until_received();
  while (fixture.clock.now() < fixture.deadline_ms + 10) fixture.client_context.run_once(1);
  EXPECT_TRUE(fixture.results.empty());
  fixture.run_until_result();
  EXPECT_EQ(fixture.results[0].outcome, Outcome::timed_out);
  EXPECT_GE(fixture.results[0].write_delay_ms, 60);
  EXPECT_GE(fixture.results[0].ended_ms, fixture.deadline_ms + 60);
}

// Guards against an event loop that adds a pause within a turn to its next wait, so that later timers expire
// late.
TEST(TestbedContext, PauseWithinATurnDoesNotDelayLaterTimers) {
  struct PausingComponent final : TestbedContext::Component {
    using Component::Component;
    void set(std::uint64_t number, double at_ms) { set_timer(number, due[number], at_ms); }
    void on_timer(std::uint64_t number) override {
      set(number, transport::DueTimes::none);
      if (number == 0) pause_thread(60);
      if (number == 1) expired_ms = context_.now_ms;
    }
    double due[2] = {transport::DueTimes::none, transport::DueTimes::none};
    double expired_ms = 0;
  };
  transport::Clock clock;
  TestbedContext context(clock);
  double best_delay_ms = transport::DueTimes::none;
  for (int round = 0; round < 3; ++round) {  // the best of three: the machine may pause the test as well
    PausingComponent component(context);
    context.now_ms = clock.now();
    double due_ms = context.now_ms + 100;
    component.set(0, context.now_ms);
    component.set(1, due_ms);
    while (component.expired_ms == 0) context.run_once(1000);
    best_delay_ms = std::min(best_delay_ms, component.expired_ms - due_ms);
  }
  EXPECT_LT(best_delay_ms, 30);
}

}  // namespace
}  // namespace meadowgauge::testbed
