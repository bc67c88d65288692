// Stand-in servers on loopback, and the judge of their records of executed requests. The test sets the clock.
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

constexpr double answer_slack_ms = 20;

// How servers treat requests, and which new connections they close unread.
constexpr double rejection_share = 0.07, error_share = 0.05, reset_share = 0.1, silent_share = 0.04,
                 slow_share = 0.05, unread_share = 0.03;

using RequestId = std::uint64_t;

// SplitMix64, the same on every machine.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : state_(seed) {}
  double uniform() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return static_cast<double>((z ^ (z >> 31)) >> 11) / 9007199254740992.0;
  }
  double between(double least, double most) { return least + (most - least) * uniform(); }
  int below(int n) { return static_cast<int>(uniform() * n); }
  bool of(double probability) { return uniform() < probability; }

 private:
  std::uint64_t state_;
};

// What the servers and the client of a day saw of one request; judged at each entry.
struct Seen {
  int request_class = 0;  // as in world.hpp: idempotent, mutating, with keys known to all, a zone, a cell
  double due_ms = 0, key_ttl_ms = 0;
  int runs = 0, finals = 0;
  double first_run_ms = 0;   // when the first byte of the first run was received
  int zone = 0, cell = 0;    // of the first run
  double sent_away_ms = -1;  // when a rejected client may retry; -1: not rejected
};

class Judge {
 public:
  std::string breach;
  int repeated_runs = 0, rejected_after_run = 0;  // of requests with a key
  std::map<RequestId, Seen> requests;

  void ran(RequestId job, double first_byte_ms, int zone, int cell, double now_ms) {
    auto& seen = requests.at(job);
    if (seen.runs++ == 0) {
      seen.first_run_ms = first_byte_ms;
      seen.zone = zone;
      seen.cell = cell;
    } else {
      if (seen.request_class >= 2) ++repeated_runs;
      if (seen.request_class == 1) fail(job, "ran twice");
      if (seen.request_class >= 2 && now_ms - seen.first_run_ms > seen.key_ttl_ms)
        fail(job, "ran past its window");
      if (seen.request_class == 3 && zone != seen.zone) fail(job, "ran in another zone");
      if (seen.request_class == 4 && cell != seen.cell) fail(job, "ran in another cell");
    }
    if (seen.sent_away_ms >= 0) rejected(job);
  }
  void answered(RequestId job, double now_ms, double turn_ms, double retry_after_ms) {
    auto& seen = requests.at(job);
    if (seen.finals++ > 0) fail(job, "answered twice");
    if (now_ms > seen.due_ms + answer_slack_ms + turn_ms) fail(job, "answered too late");
    if (retry_after_ms < 0) return;
    seen.sent_away_ms = now_ms + retry_after_ms;
    if (seen.runs > 0) rejected(job);
  }
  void over() {
    for (const auto& [job, seen] : requests)
      if (seen.finals != 1) fail(job, "final answers: " + std::to_string(seen.finals));
  }
  void fail(RequestId job, const std::string& text) {
    if (breach.empty()) breach = "request " + std::to_string(job) + ": " + text;
  }

 private:
  // The request was executed, and the client received a rejection.
  void rejected(RequestId job) {
    auto& seen = requests.at(job);
    if (seen.request_class == 0) return;
    ++rejected_after_run;
    if (seen.request_class != 2) fail(job, "rejected though it has run");
    if (seen.sent_away_ms - seen.first_run_ms > seen.key_ttl_ms) fail(job, "sent away past its window");
  }
};

// A server: receives requests, records executions, and responds, resets or stays silent.
class StandIn final : transport::Ready {
 public:
  StandIn(transport::Loop& loop, Judge& judge, Chance& chance)
      : door_(loop, *transport::Address::parse("127.0.0.1:0"), *this), judge_(judge), chance_(chance) {}
  [[nodiscard]] std::string address() const { return door_.address().text(); }
  // Whether an attempt of the request is in flight here on an open connection.
  [[nodiscard]] bool works_on(RequestId job) const {
    return std::ranges::any_of(connections_, [&](const Connection& c) { return !c.over && c.job == job; });
  }
  // Receives all pending bytes.
  void receive(double now_ms) {
    for (bool full = false; auto fd = door_.accept(full);) {
      if (chance_.of(unread_share)) continue;
      connections_.push_back({.fd = std::move(fd)});
    }
    char bytes[16384];
    for (auto& c : connections_)
      for (ssize_t n = 0;
           (n = recv(c.fd.get(), bytes, sizeof bytes, MSG_DONTWAIT)) != -1 || errno != EAGAIN;) {
        c.over = n <= 0;
        if (c.over) break;
        if (c.held.empty()) c.first_byte_ms = now_ms;
        c.held.append(bytes, static_cast<std::size_t>(n));
      }
  }
  // Starts to execute complete requests, in the server's zone and cell. `second_copy`: whether another
  // attempt of the request is in flight.
  template <class SecondCopy>
  void work(int zone, int cell, double now_ms, SecondCopy&& second_copy) {
    for (auto& c : connections_) {
      if (c.job == 0 && is_complete(c.held)) begin(c, zone, cell, now_ms, second_copy);
      if (c.job != 0 && c.answer_at_ms <= now_ms) answer(c);
    }
    std::erase_if(connections_, [](const Connection& c) { return c.over; });
  }

 private:
  struct Connection {
    transport::Fd fd;
    std::string held = {};
    double first_byte_ms = 0;
    bool over = false;  // closed by either side
    RequestId job = 0;  // 0: no request
    double answer_at_ms = never;
    std::string answer = {};  // empty: a reset
  };
  void ready(std::uint32_t) override {}

  static std::size_t number_after(const std::string& held, const std::string& name) {
    auto at = held.find(name);
    return at == std::string::npos ? 0 : std::stoul(held.substr(at + name.size(), 12));
  }
  static bool is_complete(const std::string& held) {
    auto head = held.find("\r\n\r\n");
    return head != std::string::npos && held.size() >= head + 4 + number_after(held, "Content-Length: ");
  }
  template <class SecondCopy>
  void begin(Connection& c, int zone, int cell, double now_ms, SecondCopy&& second_copy) {
    auto job = static_cast<RequestId>(number_after(c.held, "X-Call-Id: "));
    c.held.clear();
    if (second_copy(job)) judge_.fail(job, "two at once");
    c.job = job;
    c.answer_at_ms = now_ms + chance_.between(1, 60);
    c.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    double draw = chance_.uniform();
    auto drawn = [&draw](double share) { return (draw -= share) < 0; };
    if (drawn(rejection_share)) {
      c.answer = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
      return;  // never executed
    }
    if (drawn(error_share))
      c.answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    else if (drawn(reset_share))
      c.answer.clear();
    else if (drawn(silent_share))
      c.answer_at_ms = never;
    else if (drawn(slow_share))
      c.answer_at_ms = now_ms + chance_.between(300, 3000);
    judge_.ran(job, c.first_byte_ms, zone, cell, now_ms);
  }
  static void answer(Connection& c) {
    c.job = 0;
    c.answer_at_ms = never;
    auto sent = c.answer.empty() ? 0 : ::send(c.fd.get(), c.answer.data(), c.answer.size(), MSG_NOSIGNAL);
    if (sent > 0) return;
    linger at_once{.l_onoff = 1, .l_linger = 0};
    setsockopt(c.fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    c.over = true;
  }

  transport::Listener door_;
  Judge& judge_;
  Chance& chance_;
  std::vector<Connection> connections_;
};

}  // namespace meadowgauge::test
