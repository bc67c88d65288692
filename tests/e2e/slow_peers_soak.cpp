// Random long requests and responses between slow peers, drawn from a seed, with the memory of a small
// machine. Clients write and read slowly, stop or leave; upstreams pause while they read or write. The
// verdict comes from what clients and upstreams have seen. By hand: SLOW_PEERS_SEED=FIRST
// SLOW_PEERS_SEEDS=COUNT SLOW_PEERS_REQUESTS=N.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/responding_upstream.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr int max_lateness_ms = 550;  // later than this after its time a response is lost
constexpr std::size_t max_short_bytes =
    std::size_t{64} * 1024;  // of a longer response the first bytes are due
constexpr std::size_t piece_bytes = 8192;

// What one request's client and upstream do, and what they have seen of it.
struct Exchange {
  std::string id;
  int budget_ms = 0;
  std::size_t body_bytes = 0;  // 0: GET
  bool chunked_body = false;
  std::size_t response_bytes = 0;
  enum class Framing : std::uint8_t { length, chunks, close } framing = Framing::length;
  int read_pause_ms = 0, write_pause_ms = 0;          // of the upstream
  std::size_t read_pause_at = 0, write_pause_at = 0;  // after so many bytes
  int client_read_rate = 0, client_write_rate = 0;    // bytes per ms; 0: at full speed
  int leaves_after_ms = 0;                            // 0: the client stays
  bool stops = false;                                 // the client sends half of its body

  std::atomic<int> runs = 0;
  std::atomic<bool> last_byte_written = false;  // by the client
  std::atomic<Clock::time_point> last_byte_at = Clock::time_point();

  [[nodiscard]] bool repeatable() const { return body_bytes == 0; }
  [[nodiscard]] std::string response_body() const {
    std::string body(response_bytes, id.back());
    return body;
  }
};

class SlowPeersSoak {
 public:
  explicit SlowPeersSoak(std::uint32_t seed) : rng_(seed) {}

  void run(int requests) {
    ProxyProcess proxy({.upstreams = upstream_count, .sockets = 1024, .memory_mb = 32});
    std::vector<std::unique_ptr<ThreadedUpstream>> upstreams;
    for (auto& listener : proxy.upstreams)
      upstreams.push_back(std::make_unique<ThreadedUpstream>(
          listener, [this](TcpConnection& connection, const std::atomic<bool>& stopping) {
            while (!stopping)
              if (!connection.quiet_for(20) && !serve_next(connection)) return;
          }));
    std::vector<std::thread> clients;
    for (int i = 0; i < requests; ++i) {
      auto exchange = draw();
      clients.emplace_back([this, exchange, &proxy] { ask(proxy, *exchange); });
      std::this_thread::sleep_for(ms(draw_below(80)));
    }
    for (auto& client : clients) client.join();
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);
    for (const auto& [id, exchange] : exchanges_)
      if (!exchange->repeatable() && exchange->runs > 1) breach(*exchange, "ran twice");
  }

 private:
  static constexpr int upstream_count = 6;

  int draw_below(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }
  template <class T>
  T draw_one(std::initializer_list<T> values) {
    return *(values.begin() + draw_below(static_cast<int>(values.size())));
  }

  // 64 kB per second, more so that a run ends soon, or full speed.
  int draw_rate(std::size_t bytes) {
    constexpr int max_duration_ms = 6000;
    if (draw_below(2) == 0) return 0;
    return std::max(64, static_cast<int>(bytes) / max_duration_ms);
  }

  std::shared_ptr<Exchange> draw() {
    auto exchange = std::make_shared<Exchange>();
    auto& e = *exchange;
    e.id = "s" + std::to_string(exchanges_.size()) + static_cast<char>('a' + draw_below(26));
    e.budget_ms = draw_one({1000, 1500, 2500});
    if (draw_below(2) == 0)
      e.body_bytes = draw_one<std::size_t>({10, 20'000, 60'000, 70'000, 400'000, 2'000'000});
    e.chunked_body = e.body_bytes > 10 && draw_below(3) == 0;
    e.response_bytes = draw_one<std::size_t>({4, 300, 20'000, 70'000, 300'000, 2'000'000});
    using enum Exchange::Framing;
    if (e.response_bytes > max_short_bytes) e.framing = draw_one({length, chunks, close});
    if (e.body_bytes > 0 && draw_below(3) == 0) e.read_pause_ms = draw_one({200, 500, 1200, 4000});
    if (draw_below(4) == 0) e.write_pause_ms = draw_one({200, 400, 500});
    e.read_pause_at = e.body_bytes / 3;
    e.write_pause_at = e.response_bytes / draw_one<std::size_t>({2, 5, 20});
    e.client_read_rate = draw_rate(e.response_bytes);
    e.client_write_rate = draw_rate(e.body_bytes);
    if (draw_below(10) == 0) e.leaves_after_ms = 1 + draw_below(600);
    e.stops = e.leaves_after_ms == 0 && e.body_bytes > 10'000 && draw_below(10) == 0;
    std::lock_guard lock(mutex_);
    return exchanges_[e.id] = exchange;
  }

  void breach(const Exchange& e, const std::string& what) {
    std::lock_guard lock(mutex_);
    ADD_FAILURE() << e.id << ": " << what << "; budget " << e.budget_ms << " ms, body " << e.body_bytes
                  << ", response " << e.response_bytes << ", pauses " << e.read_pause_ms << " and "
                  << e.write_pause_ms << " ms, client " << e.client_write_rate << " and "
                  << e.client_read_rate << " bytes/ms, runs " << e.runs;
  }

  // --- The upstreams ------------------------------------------------------------------------------------

  // Serves the next request. Returns false if the connection has ended or ends with the response.
  bool serve_next(TcpConnection& connection) {
    std::string input;
    while (input.find("\r\n\r\n") == std::string::npos) {
      if (!connection.receive_some()) return false;
      input += connection.take_received();
    }
    auto head = input.substr(0, input.find("\r\n\r\n") + 4);
    input.erase(0, head.size());
    auto exchange = find(id_field_of(head).substr(std::string("X-Call-Id: ").size()));
    if (!read_body(connection, head, input, *exchange)) return false;
    ++exchange->runs;
    respond(connection, *exchange);
    return exchange->framing != Exchange::Framing::close;
  }

  std::shared_ptr<Exchange> find(const std::string& id) {
    std::lock_guard lock(mutex_);
    return exchanges_.at(id);
  }

  // Bodies consist of one letter, so that the framing of a chunked body is not found within it.
  static bool read_body(TcpConnection& connection, const std::string& head, std::string& input,
                        const Exchange& e) {
    bool chunked = head.find("chunked") != std::string::npos;
    bool paused = false;
    auto complete = [&] { return chunked ? input.ends_with("0\r\n\r\n") : input.size() >= e.body_bytes; };
    while (!complete()) {
      if (!paused && input.size() >= e.read_pause_at) {
        paused = true;
        std::this_thread::sleep_for(ms(e.read_pause_ms));
      }
      if (!connection.receive_some(piece_bytes)) return false;
      input += connection.take_received();
    }
    input.clear();
    return true;
  }

  static void respond(TcpConnection& connection, const Exchange& e) {
    using enum Exchange::Framing;
    std::string head = "HTTP/1.1 200 OK\r\n";
    if (e.framing == length) head += "Content-Length: " + std::to_string(e.response_bytes) + "\r\n\r\n";
    if (e.framing == chunks) head += "Transfer-Encoding: chunked\r\n\r\n";
    if (e.framing == close) head += "Connection: close\r\n\r\n";
    connection.send(head);
    auto body = e.response_body();
    for (std::size_t at = 0; at < body.size(); at += piece_bytes) {
      if (at <= e.write_pause_at && e.write_pause_at < at + piece_bytes)
        std::this_thread::sleep_for(ms(e.write_pause_ms));
      auto piece = body.substr(at, piece_bytes);
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
      connection.send(e.framing == chunks ? size + piece + "\r\n" : piece);
    }
    if (e.framing == chunks) connection.send("0\r\n\r\n");
  }

  // --- The clients --------------------------------------------------------------------------------------

  static std::string request_text(const Exchange& e) {
    auto head = std::string(e.repeatable() ? "GET /view" : "POST /pay") +
                " HTTP/1.1\r\nHost: b\r\nX-Call-Id: " + e.id +
                "\r\nX-Caller: acme\r\nX-Budget-Ms: " + std::to_string(e.budget_ms);
    if (e.repeatable()) return head + "\r\n\r\n";
    std::string body(e.body_bytes, 'u');
    if (!e.chunked_body) return http_message(head, body);
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return head + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n0\r\n\r\n";
  }

  static void send_request(const TcpConnection& connection, Exchange& e) {
    auto text = request_text(e);
    if (e.stops) text.resize(text.size() / 2);
    auto step = e.client_write_rate > 0 ? static_cast<std::size_t>(100 * e.client_write_rate) : text.size();
    for (std::size_t at = 0; at < text.size(); at += step) {
      connection.send(text.substr(at, step));
      if (e.client_write_rate > 0) std::this_thread::sleep_for(ms(100));
    }
    e.last_byte_at = Clock::now();
    e.last_byte_written = !e.stops;
  }

  void ask(const ProxyProcess& proxy, Exchange& e) {
    auto connection = proxy.connect();
    if (e.leaves_after_ms > 0) {
      std::thread sender([&] { send_request(connection, e); });
      std::this_thread::sleep_for(ms(e.leaves_after_ms));
      connection.shut_down();
      sender.join();
      return;
    }
    std::thread sender([&] { send_request(connection, e); });
    Clock::time_point first_byte_at{};
    auto response = receive(connection, e, first_byte_at);
    bool was_whole = e.last_byte_written;
    connection.shut_down();  // a client that is answered before its last byte has no more to send
    sender.join();
    judge(e, response, was_whole);
    auto due_at = e.last_byte_at.load() + ms(e.budget_ms + max_lateness_ms);
    if (was_whole && first_byte_at > due_at) breach(e, "answered too late");
  }

  static std::string receive(TcpConnection& connection, const Exchange& e, Clock::time_point& first_byte_at) {
    std::string response;
    auto step = e.client_read_rate > 0 ? static_cast<std::size_t>(50 * e.client_read_rate) : 65536;
    while (connection.receive_some(step)) {
      if (response.empty()) first_byte_at = Clock::now();
      response += connection.take_received();
      if (is_complete(response)) break;
      if (e.client_read_rate > 0) std::this_thread::sleep_for(ms(50));
    }
    return response;
  }

  static bool is_complete(const std::string& response) {
    auto head_end = response.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    auto length_at = response.find("Content-Length: ");
    if (length_at < head_end)
      return response.size() >= head_end + 4 + std::stoul(response.substr(length_at + 16, 16));
    return response.ends_with("\r\n0\r\n\r\n");
  }

  void judge(const Exchange& e, const std::string& response, bool was_whole) {
    int status = status_of(response);
    if (status == 0) return breach(e, was_whole ? "closed without a response" : "closed within the request");
    if (status == 200 && !is_complete(response))
      return breach(e, "cut off after " + std::to_string(response.size()));
    if (status == 200 && std::ranges::count(response, e.id.back()) < static_cast<long>(e.response_bytes))
      return breach(e, "another body");
    if (status == 200 && e.stops) breach(e, "served without its body");
    if ((status == 503 || status == 429) && !e.repeatable() && e.runs > 0)
      breach(e, "refused though it has run");
  }

  std::mt19937 rng_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Exchange>> exchanges_;
};

// The value of an environment variable as a number, or `otherwise`.
int number_from(const char* variable, int otherwise) {
  const char* text = std::getenv(variable);
  return text != nullptr ? std::atoi(text) : otherwise;
}

// Guards against requests that are lost, late, mixed up, run twice or refused after a run, between slow
// peers.
TEST(SlowPeersSoak, LosesNothingBetweenSlowPeers) {
  const int first_seed = number_from("SLOW_PEERS_SEED", 1);
  const int seeds = number_from("SLOW_PEERS_SEEDS", 2);
  for (int seed = first_seed; seed < first_seed + seeds && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SlowPeersSoak(static_cast<std::uint32_t>(seed)).run(number_from("SLOW_PEERS_REQUESTS", 200));
  }
}

}  // namespace
}  // namespace meadowgauge::test
