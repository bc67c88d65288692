// Hundreds of slow clients and upstreams beside ordinary requests, with the least memory that operators
// configure: who holds the buffers, and for how long. The test acts as the clients and the upstreams.
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/responding_upstream.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr int slow_clients = 340;  // a third of the descriptors
constexpr int prompt_ms = 500;
// What the process may use beyond its start: its limit of 32 MB, less 8 MB for the program itself. A build
// with the address sanitizer has an eighth more, its shadow memory.
#ifdef __SANITIZE_ADDRESS__
constexpr long max_growth_bytes = 27L * 1024 * 1024;
#else
constexpr long max_growth_bytes = 24L * 1024 * 1024;
#endif

ProxyOptions small_memory() { return {.upstreams = 2, .sockets = 1024, .memory_mb = 32}; }

// Sends an ordinary request on a new connection, and expects that it is served promptly.
void expect_served_promptly(const ProxyProcess& proxy) {
  auto begin = Clock::now();
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  EXPECT_EQ(status_of(client.receive_message()), 200);
  EXPECT_LT(Clock::now() - begin, ms(prompt_ms));
}

// Guards against clients that take long responses slowly and hold all buffers, so that the requests of others
// are closed without a response.
TEST(SlowPeers, SlowReadersOfLongResponsesLeaveBuffersForOthers) {
  const auto long_response = http_message("HTTP/1.1 200 OK", std::string(500'000, 'r'));
  {
    ProxyProcess proxy(small_memory());
    auto before = proxy.resident_bytes();
    auto respond = [&](const std::string& request) {
      return request.starts_with("POST /pay/long") ? long_response : ok_response;
    };
    RespondingUpstream first(proxy.upstreams[0], respond);
    RespondingUpstream second(proxy.upstreams[1], respond);
    std::vector<TcpConnection> clients;
    for (int i = 0; i < slow_clients; ++i) {
      clients.push_back(proxy.connect(small_receive_buffer));
      clients.back().send(http_request("/pay/long"));
      EXPECT_TRUE(clients.back().receive_some());
    }
    for (int i = 0; i < 20; ++i) expect_served_promptly(proxy);
    EXPECT_LT(proxy.resident_bytes() - before, max_growth_bytes);
    for (auto& client : clients) EXPECT_EQ(client.receive_message().size(), long_response.size());
  }
}

// Guards against cutting off a client that reads a long response slowly, but steadily: while the send buffer
// is full, the socket becomes writable only after many seconds.
TEST(SlowPeers, SteadySlowReaderGetsALongResponseWhole) {
  constexpr int bytes_per_read = 6400;  // 64 kB per second
  constexpr int read_interval_ms = 100;
  constexpr int slow_reads = 140;  // longer than a client may receive nothing
  auto long_response = http_message("HTTP/1.1 200 OK", std::string(6'000'000, 'r'));
  ProxyProcess proxy({.upstreams = 1});
  RespondingUpstream upstream(proxy.upstreams[0], [&](const std::string&) { return long_response; });
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto begin = Clock::now();
  for (int i = 0; i < slow_reads; ++i) {
    EXPECT_TRUE(client.receive_some(bytes_per_read));
    sleep_until(begin + ms(i * read_interval_ms));
  }
  EXPECT_EQ(client.receive_message().size(), long_response.size());
}

// Guards against requests that stop half way and hold all buffers: of bodies that are buffered whole, and of
// larger ones. Each stopped client gets its error, and others are served.
TEST(SlowPeers, UploadsThatStopHalfWayLeaveBuffersForOthers) {
  for (std::size_t body_bytes : {65'000, 2'000'000}) {
    ProxyProcess proxy(small_memory());
    auto before = proxy.resident_bytes();
    RespondingUpstream first(proxy.upstreams[0], [](const std::string&) { return ok_response; });
    RespondingUpstream second(proxy.upstreams[1], [](const std::string&) { return ok_response; });
    std::vector<TcpConnection> clients;
    for (int i = 0; i < slow_clients; ++i) {
      clients.push_back(proxy.connect());
      auto text = http_request("/pay", 9000, std::string(body_bytes, 'u'));
      clients.back().send(text.substr(0, 64'000));
    }
    for (int i = 0; i < 20; ++i) expect_served_promptly(proxy);
    EXPECT_LT(proxy.resident_bytes() - before, max_growth_bytes);
    for (auto& client : clients) EXPECT_GE(status_of(client.receive_message()), 400);
  }
}

// Guards against a response that is replaced by an error because the pool has no buffers for it, and against
// a request of a few buffers that is not forwarded for the same reason.
TEST(SlowPeers, LargerMessagesNeedNoSharedBuffers) {
  const std::string body(60'000, 'm');
  // As many descriptors as the buffers suffice for, so that all but a few buffers are reserved.
  ProxyProcess proxy({.upstreams = 1, .sockets = 4000, .memory_mb = 2});
  RespondingUpstream upstream(proxy.upstreams[0],
                              [&](const std::string&) { return http_message("HTTP/1.1 200 OK", body); });
  std::vector<TcpConnection> clients;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(proxy.connect());
    clients.back().send(http_request("/pay", 9000, body));
  }
  for (auto& client : clients) EXPECT_TRUE(status_and_body(client.receive_message()) == std::pair(200, body));
}

}  // namespace
}  // namespace meadowgauge::test
