// Stand-in servers on loopback, and a judge that checks the requests they execute. The test sets the clock.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/types.hpp"
#include "transport/listener.hpp"

namespace meadowgauge::test {

constexpr double answer_slack_ms = 20;  // an answer may be late by this time

// Shares of requests that servers reject, fail, reset, never answer or answer slowly; and share of new
// connections that servers close without reading.
constexpr double rejection_share = 0.07, error_share = 0.05, reset_share = 0.1, silent_share = 0.04,
                 slow_share = 0.05, unread_share = 0.03;

using RequestId = std::uint64_t;

// Random numbers by SplitMix64: the same sequence on every machine.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}
  double uniform() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return static_cast<double>((z ^ (z >> 31)) >> 11) / 9007199254740992.0;
  }
  double between(double min_value, double max_value) {
    return min_value + (max_value - min_value) * uniform();
  }
  int below(int n) { return static_cast<int>(uniform() * n); }
  bool bernoulli(double probability) { return uniform() < probability; }

 private:
  std::uint64_t state_;
};

// What the servers and the client have seen of one request. The judge checks it after each change.
struct RequestRecord {
  // 0: idempotent, 1: mutating; with an idempotency key known to 2: all servers, 3: a zone, 4: a cell.
  int request_class = 0;
  double due_ms = 0, key_ttl_ms = 0;
  int runs = 0, final_answers = 0;
  double first_run_ms = 0;  // when the first byte of the first run was received
  int zone = 0, cell = 0;   // of the first run
  double retry_at_ms = -1;  // when a rejected client may retry; -1: not rejected
};

// Checks that no request is executed twice where that is forbidden, and that each has one final answer in
// time.
class Judge {
 public:
  std::string breach;                             // the first one; empty if none
  int repeated_runs = 0, rejected_after_run = 0;  // of requests with a key
  std::map<RequestId, RequestRecord> requests;

  // A server in this zone and cell started to execute the request.
  void ran(RequestId request_id, double first_byte_ms, int zone, int cell, double now_ms) {
    auto& record = requests.at(request_id);
    if (record.runs++ == 0) {
      record.first_run_ms = first_byte_ms;
      record.zone = zone;
      record.cell = cell;
    } else {
      if (record.request_class >= 2) ++repeated_runs;
      if (record.request_class == 1) fail(request_id, "ran twice");
      if (record.request_class >= 2 && now_ms - record.first_run_ms > record.key_ttl_ms)
        fail(request_id, "ran past its window");
      if (record.request_class == 3 && zone != record.zone) fail(request_id, "ran in another zone");
      if (record.request_class == 4 && cell != record.cell) fail(request_id, "ran in another cell");
    }
    if (record.retry_at_ms >= 0) rejected(request_id);
  }
  // The client received a final answer in a turn of `turn_ms`. `retry_after_ms`: of a rejection; negative if
  // the request was not rejected.
  void answered(RequestId request_id, double now_ms, double turn_ms, double retry_after_ms) {
    auto& record = requests.at(request_id);
    if (record.final_answers++ > 0) fail(request_id, "answered twice");
    if (now_ms > record.due_ms + answer_slack_ms + turn_ms) fail(request_id, "answered too late");
    if (retry_after_ms < 0) return;
    record.retry_at_ms = now_ms + retry_after_ms;
    if (record.runs > 0) rejected(request_id);
  }
  // All requests are over: each must have one final answer.
  void over() {
    for (const auto& [request_id, record] : requests)
      if (record.final_answers != 1)
        fail(request_id, "final answers: " + std::to_string(record.final_answers));
  }
  // Records the first breach.
  void fail(RequestId request_id, const std::string& text) {
    if (breach.empty()) breach = "request " + std::to_string(request_id) + ": " + text;
  }

 private:
  // Checks a request that was executed and whose client received a rejection.
  void rejected(RequestId request_id) {
    auto& record = requests.at(request_id);
    if (record.request_class == 0) return;
    ++rejected_after_run;
    if (record.request_class != 2) fail(request_id, "rejected though it has run");
    if (record.retry_at_ms - record.first_run_ms > record.key_ttl_ms)
      fail(request_id, "told to retry past its window");
  }
};

// A server that receives requests, reports their execution to the judge, and responds, resets the connection
// or never responds.
class StandIn final : transport::EventHandler {
 public:
  StandIn(transport::Loop& loop, Judge& judge, RandomSource& random_source)
      : listener_(loop, *transport::Address::parse("127.0.0.1:0"), *this),
        judge_(judge),
        random_(random_source) {}
  [[nodiscard]] std::string address() const { return listener_.address().text(); }
  // Whether an attempt of the request is in flight on an open connection.
  [[nodiscard]] bool is_processing(RequestId request_id) const {
    return std::ranges::any_of(connections_, [&](const Connection& connection) {
      return !connection.over && connection.request_id == request_id;
    });
  }
  // Accepts pending connections and receives all pending bytes.
  void receive(double now_ms) {
    for (bool full = false; auto fd = listener_.accept(full);) {
      if (random_.bernoulli(unread_share)) continue;
      connections_.push_back({.fd = std::move(fd)});
    }
    char bytes[16384];
    for (auto& connection : connections_)
      for (ssize_t n = 0;
           (n = recv(connection.fd.get(), bytes, sizeof bytes, MSG_DONTWAIT)) != -1 || errno != EAGAIN;) {
        connection.over = n <= 0;
        if (connection.over) break;
        if (connection.received.empty()) connection.first_byte_ms = now_ms;
        connection.received.append(bytes, static_cast<std::size_t>(n));
      }
  }
  // Starts to execute complete requests in the server's zone and cell, and sends due answers.
  // `has_other_attempt`: whether another attempt of the request is in flight.
  template <class HasOtherAttempt>
  void process_requests(int zone, int cell, double now_ms, HasOtherAttempt&& has_other_attempt) {
    for (auto& connection : connections_) {
      if (connection.request_id == 0 && is_complete(connection.received))
        begin(connection, zone, cell, now_ms, has_other_attempt);
      if (connection.request_id != 0 && connection.answer_at_ms <= now_ms) answer(connection);
    }
    std::erase_if(connections_, [](const Connection& connection) { return connection.over; });
  }

 private:
  struct Connection {
    transport::Fd fd;
    std::string received = {};
    double first_byte_ms = 0;
    bool over = false;         // closed by either side
    RequestId request_id = 0;  // 0: no request
    double answer_at_ms = never;
    std::string answer = {};  // empty: the connection is reset
  };
  void ready(std::uint32_t) override {}

  static std::size_t header_number(const std::string& received, const std::string& name) {
    auto at = received.find(name);
    return at == std::string::npos ? 0 : std::stoul(received.substr(at + name.size(), 12));
  }
  static bool is_complete(const std::string& received) {
    auto head = received.find("\r\n\r\n");
    return head != std::string::npos &&
           received.size() >= head + 4 + header_number(received, "Content-Length: ");
  }
  template <class HasOtherAttempt>
  void begin(Connection& connection, int zone, int cell, double now_ms, HasOtherAttempt&& has_other_attempt) {
    auto request_id = static_cast<RequestId>(header_number(connection.received, "X-Call-Id: "));
    connection.received.clear();
    if (has_other_attempt(request_id)) judge_.fail(request_id, "two attempts at once");
    connection.request_id = request_id;
    connection.answer_at_ms = now_ms + random_.between(1, 60);
    connection.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    double draw = random_.uniform();
    auto drawn = [&draw](double share) { return (draw -= share) < 0; };
    if (drawn(rejection_share)) {
      connection.answer = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
      return;  // never executed
    }
    if (drawn(error_share))
      connection.answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    else if (drawn(reset_share))
      connection.answer.clear();
    else if (drawn(silent_share))
      connection.answer_at_ms = never;
    else if (drawn(slow_share))
      connection.answer_at_ms = now_ms + random_.between(300, 3000);
    judge_.ran(request_id, connection.first_byte_ms, zone, cell, now_ms);
  }
  static void answer(Connection& connection) {
    connection.request_id = 0;
    connection.answer_at_ms = never;
    auto sent = connection.answer.empty() ? 0
                                          : ::send(connection.fd.get(), connection.answer.data(),
                                                   connection.answer.size(), MSG_NOSIGNAL);
    if (sent > 0) return;
    linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(connection.fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    connection.over = true;
  }

  transport::Listener listener_;
  Judge& judge_;
  RandomSource& random_;
  std::vector<Connection> connections_;
};

}  // namespace meadowgauge::test
