// The event loop of a balancer whose process is paused in the middle of a turn, as on a busy machine.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <limits>
#include <string>
#include <thread>

#include "proxy/balancer.hpp"
#include "transport/listener.hpp"

namespace meadowgauge::proxy {
namespace {

constexpr double tick_interval_ms = 100;
constexpr double pause_ms = 80;
// The response falls due shortly before the tick after the pause: reserve and delivery take 12 ms of the
// budget.
constexpr double budget_ms = tick_interval_ms + 95 + 12;
constexpr double slack_ms = 50;
constexpr int pause_count = 4;  // a faulty loop delays each response; the earliest is checked

// A server that never answers: only the kernel accepts its connections.
struct UnresponsiveServer final : transport::EventHandler {
  void ready(std::uint32_t) override {}
  transport::Loop loop;
  transport::Listener listener{loop, *transport::Address::parse("127.0.0.1:0"), *this};
};

// Sends a request at every fourth tick, pauses the balancer during the next tick, and reads the response
// later.
class PausingClient {
 public:
  explicit PausingClient(Balancer& balancer) : balancer_(balancer) {
    auto address = balancer.address();
    client_ = transport::Fd(socket(address.family(), SOCK_STREAM | SOCK_CLOEXEC, 0));
    EXPECT_EQ(connect(client_.get(), address.raw(), address.size()), 0);
  }
  void on_tick() {
    constexpr int ticks_per_request = 4;
    int step = ticks_++ % ticks_per_request;
    if (step == 0) send_request();
    if (step == 1) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(pause_ms));
    if (step == ticks_per_request - 1 && ++requests_ == pause_count) balancer_.begin_shutdown();
  }
  // Reads the responses. Runs on another thread, which sees them when they arrive even if the loop is paused.
  void read_responses() {
    for (int i = 0; i < pause_count; ++i) {
      pollfd readable{.fd = client_.get(), .events = POLLIN, .revents = 0};
      if (poll(&readable, 1, 5000) != 1) return;
      std::string bytes(4096, '\0');
      if (recv(client_.get(), bytes.data(), bytes.size(), 0) <= 0) return;
      shortest_response_ms_ = std::min(shortest_response_ms_, clock_.now() - sent_ms_);
      ++responses_;
    }
  }
  [[nodiscard]] int response_count() const { return responses_; }
  // The shortest time from a request to its response.
  [[nodiscard]] double shortest_response_ms() const { return shortest_response_ms_; }

 private:
  void send_request() {
    auto text = "GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: r" + std::to_string(requests_) +
                "\r\nX-Budget-Ms: " + std::to_string(static_cast<int>(budget_ms)) + "\r\n\r\n";
    sent_ms_ = clock_.now();
    EXPECT_EQ(send(client_.get(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }

  Balancer& balancer_;
  transport::Clock clock_;
  transport::Fd client_;
  int ticks_ = 0, requests_ = 0, responses_ = 0;
  std::atomic<double> sent_ms_ = 0;
  double shortest_response_ms_ = std::numeric_limits<double>::infinity();
};

// Guards against a loop that adds a pause within a turn to its next wait: a response that fell due after the
// pause was late by the duration of the pause.
TEST(BalancerTurns, PauseWithinTurnDoesNotDelayLaterResponses) {
  UnresponsiveServer server;
  proxy::Setup setup;
  setup.name = "b";
  setup.listen = *transport::Address::parse("127.0.0.1:0");
  setup.leave_ms = 1;
  setup.settings = {{"path_prefixes.count", "1"},
                    {"path_prefixes.0.name", "view"},
                    {"path_prefixes.0.repeat", "idempotent"}};
  setup.known.full = true;
  auto& host = setup.known.hosts.emplace_back();
  host.name = "s";
  host.dial = server.listener.address().text();
  transport::Loop loop;
  Balancer balancer(loop, setup, {});
  PausingClient client(balancer);
  balancer.on_tick([&] { client.on_tick(); });
  std::thread reader([&] { client.read_responses(); });
  balancer.run();
  reader.join();
  EXPECT_EQ(client.response_count(), pause_count);
  EXPECT_LE(client.shortest_response_ms(), budget_ms + slack_ms);
  EXPECT_GE(balancer.metrics().longest_turn.work_ms, pause_ms);
}

}  // namespace
}  // namespace meadowgauge::proxy
