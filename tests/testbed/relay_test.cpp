// Tests of the relay on sockets: the outcome of each fault for a client, and the `fault` command.
#include "testbed/stand_ins/relay.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <string>
#include <thread>
#include <vector>

#include "testbed/fault_relay.hpp"
#include "testbed/fixtures.hpp"
#include "testbed/stand_ins/http_client.hpp"
#include "testbed/stand_ins/server.hpp"
#include "transport/clock.hpp"

namespace meadowgauge::testbed {
namespace {

// A client, a relay and a server in one event loop.
struct RelayFixture final : Server::Environment, HttpClient::Handler {
  transport::Clock clock;
  TestbedContext context{clock};
  std::vector<ServerRecord> records;
  RequestClassSpec request_class_spec;
  Server server;
  InjectionPlan plan;
  std::unique_ptr<Relay> relay;
  std::unique_ptr<HttpClient> client;
  std::vector<HttpClient::Result> results;

  explicit RelayFixture(const std::string& fault, std::uint64_t seed = 1)
      : server(context, *this, {.load_report_columns = {}}, {.cores = 8}, records), plan({}, seed) {
    request_class_spec.name = "pay";
    request_class_spec.idempotency = Idempotency::non_idempotent;
    request_class_spec.work_ms = 1;
    request_class_spec.spread = 0;
    plan.add(parse_fault(fault));
    auto any_port = *transport::Address::parse("127.0.0.1:0");
    server.start({any_port}, false);
    relay = std::make_unique<Relay>(context, any_port, server.address(0), plan, context.now_ms);
    connect_to(relay->address());
  }
  void connect_to(const transport::Address& address) {
    client = std::make_unique<HttpClient>(context, std::vector<HttpClient::Target>{{address, 0}}, *this,
                                          HttpClient::Options{});
  }
  const RequestClassSpec* request_class(std::string_view name) override {
    return name == "pay" ? &request_class_spec : nullptr;
  }
  std::shared_ptr<DeduplicationCache> deduplication_cache(const RequestClassSpec&, int, int) override {
    return {};
  }
  bool call(Server&, JobId, const RequestClassSpec&, std::string_view, int, double) override { return false; }
  void on_server_crashed(int, int) override {}
  void on_result(std::uint64_t, const HttpClient::Result& result) override { results.push_back(result); }
  int pick_target(int) override { return 0; }

  // Sends one request and runs the event loop until its result.
  HttpClient::Result send(const std::string& id, double timeout_ms = 5000) {
    auto token = results.size();
    std::string message =
        "POST /pay/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: " + id + "\r\nContent-Length: 2\r\n\r\nhi";
    client->send(token, 0, message, id, context.now_ms + timeout_ms);
    context.run([&] { return results.size() > token; });
    return results.back();
  }
};

TEST(Relay, PassesAllInBothDirectionsAndKeepsConnections) {
  RelayFixture fixture("cut at=end after=1000");
  for (int i = 0; i < 20; ++i) EXPECT_EQ(fixture.send("v" + std::to_string(i)).outcome, Outcome::succeeded);
  EXPECT_EQ(fixture.relay->connections(), 1U);
}

TEST(Relay, ClosesBetweenRequestAndResponse) {
  RelayFixture fixture("cut at=end after=2 most=1");
  EXPECT_EQ(fixture.send("v1").outcome, Outcome::succeeded);
  EXPECT_EQ(fixture.send("v2").outcome, Outcome::succeeded);
  auto result = fixture.send("v3");  // on a reused connection
  EXPECT_EQ(result.outcome, Outcome::keep_alive_race);
  EXPECT_NE(result.written_ms, never);
  fixture.context.run([&] {
    return fixture.records.size() == 3 && fixture.records[2].result == ServerRecord::Result::executed;
  });
  EXPECT_EQ(fixture.records[2].id, "v3");
  EXPECT_EQ(fixture.send("v4").outcome, Outcome::succeeded);  // on a new connection
  ASSERT_EQ(fixture.relay->injected().size(), 1U);
  EXPECT_EQ(fixture.relay->injected()[0].message, 3U);
}

TEST(Relay, EachFaultHasItsOutcomeAtTheSameByte) {
  const std::pair<std::string, Outcome> cases[] = {
      {"reset at=byte:10", Outcome::unreachable},  // or connection_lost, depending on the kernel's timing
      {"cut at=body way=client", Outcome::connection_lost},
      {"reset at=header:Content-Length way=client", Outcome::connection_lost},
      {"half at=header:Content-Length way=client", Outcome::connection_lost},
      {"half at=byte:20 way=server", Outcome::connection_lost},
      {"silence at=end way=server", Outcome::timed_out},
      {"garble at=header:Content-Length way=client bytes=1", Outcome::connection_lost},
      {"garble at=body way=client bytes=2", Outcome::corrupted},
      {"cut at=connect", Outcome::connection_lost},
      {"delay at=end way=client ms=30", Outcome::succeeded},
      {"throttle at=body way=client rate=20000", Outcome::succeeded},
  };
  for (const auto& [text, outcome] : cases) {
    std::deque<InjectedFault> first_injected;
    for (int round = 0; round < 2; ++round) {
      RelayFixture fixture(text, 11);
      auto result = fixture.send("v1", outcome == Outcome::timed_out ? 100 : 5000);
      bool before_written = outcome == Outcome::unreachable || text.ends_with("connect");
      if (before_written)
        EXPECT_TRUE(result.outcome == Outcome::unreachable || result.outcome == Outcome::connection_lost)
            << text;
      else
        EXPECT_EQ(result.outcome, outcome) << text << " ended as " << static_cast<int>(result.outcome);
      auto injected = fixture.relay->injected();
      ASSERT_EQ(injected.size(), 1U) << text;
      if (round == 0)
        first_injected = injected;
      else
        EXPECT_EQ(injected, first_injected) << text;
    }
  }
}

TEST(Relay, BlackHoledPairEndsWithBothConnections) {
  RelayFixture fixture("silence at=end way=server");
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(fixture.send("v" + std::to_string(i), 50).outcome, Outcome::timed_out);
  EXPECT_EQ(fixture.relay->injection_count(), 5U);
  fixture.server.stop();
  fixture.context.run([&] { return fixture.relay->open_connections() == 0; });
}

TEST(Relay, CorruptionStaysInItsHeader) {
  RelayFixture fixture("garble at=header:X-Call-Id bytes=3 most=1");
  fixture.send("visit1");
  ASSERT_EQ(fixture.records.size(), 1U);
  EXPECT_EQ(fixture.records[0].id.size(), 6U);
  EXPECT_NE(fixture.records[0].id, "visit1");
  EXPECT_EQ(fixture.records[0].id.substr(3), "it1");
}

TEST(Relay, RefusedConnectionIsAResetAtTheClient) {
  RelayFixture fixture("cut at=end after=1000");
  fixture.server.stop();
  auto result = fixture.send("v1");
  EXPECT_TRUE(result.outcome == Outcome::connection_lost || result.outcome == Outcome::unreachable);
}

// Passes lines written by the relay's thread to the test's thread.
class RelayOutput final : public std::streambuf {
 public:
  std::string wait_for_line() {
    std::unique_lock lock(mutex_);
    line_written_.wait(lock, [&] { return text_.find('\n') != std::string::npos; });
    return text_;
  }

 private:
  int overflow(int c) override {
    std::lock_guard lock(mutex_);
    text_ += static_cast<char>(c);
    if (c == '\n') line_written_.notify_all();
    return c;
  }
  std::mutex mutex_;
  std::condition_variable line_written_;
  std::string text_;
};

// Returns the address that follows `prefix` in the text.
transport::Address address_after(const std::string& text, const std::string& prefix) {
  auto at = text.find(prefix) + prefix.size();
  return *transport::Address::parse(text.substr(at, text.find_first_of(" ,\n", at) - at));
}

// Sends a command and returns the complete reply.
std::string send_command(int fd, const std::string& command) {
  auto line = command + "\n";
  EXPECT_EQ(send(fd, line.data(), line.size(), MSG_NOSIGNAL), static_cast<ssize_t>(line.size()));
  std::string reply;
  char c = 0;
  while (!reply.ends_with("ok\n") && !(reply.ends_with("\n") && reply.starts_with("no: ")) &&
         recv(fd, &c, 1, 0) == 1)
    reply += c;
  return reply;
}

// Runs the `fault` command and controls it over its command socket.
TEST(FaultCommand, TakesCommandsWhileItRuns) {
  RelayFixture fixture("cut at=end after=1000");  // only the server of the fixture is used
  RelayOutput output;
  std::ostream out(&output);
  std::atomic<bool> stop{false};
  FaultRelayOptions options{.listen = "127.0.0.1:0",
                            .to = fixture.server.address(0).text(),
                            .control = "127.0.0.1:0",
                            .injections = {}};
  std::jthread relay_thread([&] { run_fault_relay(options, out, stop); });
  auto first_line = output.wait_for_line();
  auto control = address_after(first_line, "commands at ");
  fixture.connect_to(address_after(first_line, "relays "));
  transport::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  ASSERT_EQ(connect(fd.get(), control.raw(), control.size()), 0);
  auto command = [&](const std::string& text) { return send_command(fd.get(), text); };
  EXPECT_EQ(fixture.send("v1").outcome, Outcome::succeeded);
  EXPECT_EQ(command("inject cut at=end after=1 most=1"), "ok\n");
  EXPECT_EQ(fixture.send("v2").outcome, Outcome::keep_alive_race);
  EXPECT_EQ(fixture.send("v3").outcome, Outcome::succeeded);
  auto injected = command("status");
  EXPECT_NE(injected.find("message 2: cut at=end"), std::string::npos) << injected;
  EXPECT_EQ(command("strike reset at=byte:0"),
            "ok\n");  // deprecated name of inject, from the previous release
  EXPECT_EQ(command("clear"), "ok\n");
  EXPECT_EQ(fixture.send("v4").outcome, Outcome::succeeded);
  auto status = command("status");
  EXPECT_NE(status.find("connections 2"), std::string::npos) << status;
  EXPECT_NE(status.find("message 2: cleared since"), std::string::npos) << status;
  EXPECT_TRUE(command("inject smash").starts_with("no: "));
  EXPECT_TRUE(command("strike smash").starts_with("no: "));
  EXPECT_TRUE(command("juggle").starts_with("no: "));
  stop = true;
}

}  // namespace
}  // namespace meadowgauge::testbed
