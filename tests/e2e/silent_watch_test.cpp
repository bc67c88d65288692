// Polling watches of the running program that stop delivering while an endpoint drains. The test checks what
// the upstreams receive.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr int change_binds_ms = 6000;
constexpr int grace_ms = 250;
constexpr int process_count = 16;
constexpr int line_interval_ms = 1000;
constexpr int fleet_size = 160;  // the largest fleet whose watches may all become silent at once

// One balancer of a large fleet, and its connections to discovery.
struct Balancer {
  explicit Balancer(int number)
      : proxy({.upstreams = 2,
               .settings = R"(,"discovery":"subscribe","replicas_of_me":)" + std::to_string(fleet_size) +
                           R"(,"my_number":)" + std::to_string(number)}) {}

  [[nodiscard]] std::string list(int version, const std::string& health) const {
    return endpoint_list(version, true,
                         {endpoint_entry(0, proxy.upstreams[0].address(), health),
                          endpoint_entry(1, proxy.upstreams[1].address())});
  }
  // Accepts the next call to discovery and sends the list, with `health` for the first endpoint.
  void answer_next_call(int version, const std::string& health) {
    watches.push_back(accept_watch(proxy.discovery));
    publish(watches.back(), list(version, health));
  }

  ProxyProcess proxy;
  std::vector<TcpConnection> watches;  // silent watches stay open
};

using Balancers = std::vector<std::unique_ptr<Balancer>>;

// Opens the first watch of each balancer. The balancers spread their calls over time, so watches that are
// already open get keep-alive lines until all are open.
void open_watches(const Balancers& balancers) {
  auto all_open = [&] {
    return std::all_of(balancers.begin(), balancers.end(),
                       [](const auto& balancer) { return !balancer->watches.empty(); });
  };
  auto line_due = Clock::now() + ms(line_interval_ms);
  for (auto until = Clock::now() + ms(wait_limit_ms); !all_open() && Clock::now() < until;) {
    for (const auto& balancer : balancers)
      if (balancer->watches.empty() && balancer->proxy.discovery.has_pending_connection())
        balancer->answer_next_call(2, "active");
    if (Clock::now() >= line_due) {
      for (const auto& balancer : balancers)
        if (!balancer->watches.empty()) publish(balancer->watches.back(), "");
      line_due += ms(line_interval_ms);
    }
    std::this_thread::sleep_for(ms(5));
  }
  ASSERT_TRUE(all_open());
}

// Guards against requests to an endpoint that drains while the watch is silent: the program must reopen the
// watch early enough for the list to arrive before the drain is binding.
TEST(SilentWatch, NoRequestAfterTheDrainBinds) {
  Balancers balancers;
  for (int number = 0; number < fleet_size; number += fleet_size / process_count)
    balancers.push_back(std::make_unique<Balancer>(number));
  open_watches(balancers);
  // The last lines of each watch; all watches are silent from here on. The number of lines varies the random
  // draws of the balancers.
  for (std::size_t i = 0; i < balancers.size(); ++i)
    for (std::size_t line = 0; line <= i; ++line) publish(balancers[i]->watches.back(), "");
  auto silent_since = Clock::now();
  while (Clock::now() < silent_since + ms(change_binds_ms)) {
    for (auto& balancer : balancers)
      if (balancer->proxy.discovery.has_pending_connection()) balancer->answer_next_call(3, "leaving");
    std::this_thread::sleep_for(ms(5));
  }
  sleep_until(silent_since + ms(change_binds_ms + grace_ms));
  for (auto& balancer : balancers) {
    EXPECT_GE(balancer->watches.size(), 2u) << "the silent watch was not reopened";
    auto client = balancer->proxy.connect();
    for (int i = 0; i < 4; ++i) {
      client.send(http_request("/pay"));
      auto upstream = accept_and_respond(balancer->proxy.upstreams[1], ok_and_close);
      EXPECT_EQ(status_of(client.receive_message()), 200);
    }
    EXPECT_FALSE(balancer->proxy.upstreams[0].has_pending_connection());
  }
}

}  // namespace
}  // namespace meadowgauge::test
