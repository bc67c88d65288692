// Simulates many balancers before a tier of servers, without sockets: requests of any mix of classes arrive,
// and the share of each class that is answered within its latency target is counted.
#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/policy.hpp"

namespace meadowgauge::test {

struct MixClass {
  double share = 1, work_ms = 50, spread = 0.5, target_ms = 500, timeout_ms = 1500, priority_weight = 1;
  std::string repeat = "idempotent", group = "all";
};

struct Mix {
  std::vector<MixClass> classes = {};
  int balancers = 10, servers = 8, slots = 2, zones = 1, stages = 1, attempts = 3;
  double load = 0.4;  // of what the servers bear
  double uneven = 0;  // standard deviation of the log of a balancer's part of the traffic
  double surge = 0;   // the load from two thirds on; 0: as before
  double seconds = 12, counted_from_s = 4;
  bool copies = true;
  std::uint64_t seed = 1;
  Settings more = {};
};

struct MixServed {
  std::vector<double> in_time, rejected;  // shares of each class
  std::vector<int> asked;
};

inline Settings settings_of(const Mix& mix, int number) {
  auto s = [](double v) { return std::to_string(v); };
  Settings m{{"path_prefixes.count", std::to_string(mix.classes.size())},
             {"limits.max_backend_fetches", std::to_string(mix.attempts)},
             {"limits.second_copies", mix.copies ? "true" : "false"},
             {"limits.cancelling", "true"},
             {"replicas_of_me", std::to_string(mix.balancers)},
             {"my_number", std::to_string(number)},
             {"tick_ms", "5"}};
  std::string zones, stages;
  for (int i = 0; i < mix.zones; ++i) zones += (i ? ",z" : "z") + std::to_string(i);
  for (int i = 0; i < mix.stages; ++i) stages += (i ? ",t" : "t") + std::to_string(i);
  m["zones"] = zones;
  m["stages"] = stages;
  m["zone"] = std::to_string(number % mix.zones);
  for (std::size_t i = 0; i < mix.classes.size(); ++i) {
    const auto& c = mix.classes[i];
    auto at = "path_prefixes." + std::to_string(i) + ".";
    m[at + "repeat"] = c.repeat;
    m[at + "group"] = c.group;
    m[at + "key_ttl_ms"] = "5000";
    m[at + "target_latency_ms"] = s(c.target_ms);
    m[at + "client_timeout_ms"] = s(c.timeout_ms);
    m[at + "earnings"] = s(c.priority_weight);
  }
  for (const auto& [name, value] : mix.more) m[name] = value;
  return m;
}

// One simulated day. Mode `module`: the policy decides; `plain`: each balancer picks the server with the
// least of its own requests in flight, at random among equals.
class MixDay {
 public:
  enum class Mode : std::uint8_t { module, plain };

  MixDay(const Mix& mix, Mode mode) : mix_(mix), mode_(mode), rng_(mix.seed) {
    servers_.resize(static_cast<std::size_t>(mix.servers));
    served_.in_time.resize(mix.classes.size());
    served_.rejected.resize(mix.classes.size());
    served_.asked.resize(mix.classes.size());
    std::vector<EndpointEntry> list;
    for (int i = 0; i < mix.servers; ++i)
      list.push_back(
          {.endpoint = EndpointIndex{i}, .zone = i % mix.zones, .cell = i / 4, .weight = 1, .id = 1000u + i});
    std::normal_distribution<double> normal;
    double mean_work = 0, shares = 0, parts = 0;
    for (const auto& c : mix.classes) mean_work += c.share * c.work_ms, shares += c.share;
    for (int i = 0; i < mix.balancers; ++i) {
      if (mode == Mode::module) {
        policies_.push_back(std::make_unique<Policy>(settings_of(mix, i), mix.seed * 1000 + i, start_ms));
        policies_.back()->update_endpoints(EndpointListUpdate::full, list, start_ms);
      }
      own_out_.emplace_back(servers_.size());
      parts_.push_back(std::exp(mix.uneven * normal(rng_)));
      parts += parts_.back();
    }
    // Requests a ms and balancer.
    double rate = mix.load * mix.servers * mix.slots / (mean_work / shares);
    for (auto& p : parts_) p *= rate / parts;
    for (int i = 0; i < mix.balancers; ++i) {
      if (mode == Mode::module) add(start_ms + uniform() * 100, Event::tick, i);
      add(start_ms + gap(i, start_ms), Event::comes, i);
    }
  }

  MixServed play() {
    double end = start_ms + mix_.seconds * 1000;
    while (!events_.empty() && events_.top().at_ms < end) {
      Event e = events_.top();
      events_.pop();
      now_ms_ = e.at_ms;
      step(e);
    }
    for (std::size_t i = 0; i < mix_.classes.size(); ++i) {
      served_.in_time[i] /= std::max(1, served_.asked[i]);
      served_.rejected[i] /= std::max(1, served_.asked[i]);
    }
    return served_;
  }

 private:
  static constexpr double start_ms = 100000;
  struct Event {
    enum Kind : std::uint8_t { tick, comes, asks, limit, done } kind = tick;
    double at_ms = 0;
    std::uint64_t order = 0;
    int who = 0;     // balancer, request or server
    int number = 0;  // attempt
    bool operator<(const Event& o) const { return at_ms != o.at_ms ? at_ms > o.at_ms : order > o.order; }
  };
  struct Held {
    Request v = {};
    int balancer = 0;
    double work = 0;
    bool over = false;
  };
  struct Job {
    int request, number;
    double work;
  };
  struct Server {
    std::deque<Job> waiting;
    int busy = 0;
  };

  double uniform() { return static_cast<double>(rng_()) / 4294967296.0; }
  double gap(int i, double now_ms) {
    bool surged = mix_.surge > 0 && now_ms > start_ms + mix_.seconds * 2000 / 3;
    double rate = parts_[i] * (surged ? mix_.surge / mix_.load : 1);
    return -std::log(1 - uniform()) / rate;
  }
  void add(double at_ms, Event::Kind kind, int who, int number = 0) {
    events_.push({.kind = kind, .at_ms = at_ms, .order = ++order_, .who = who, .number = number});
  }
  [[nodiscard]] bool counts(const Request& v) const {
    return v.arrived_ms >= start_ms + mix_.counted_from_s * 1000 &&
           v.arrived_ms < start_ms + mix_.seconds * 1000 - longest();
  }
  [[nodiscard]] double longest() const {
    double most = 0;
    for (const auto& c : mix_.classes) most = std::max(most, c.timeout_ms);
    return std::min(most, mix_.seconds * 250);
  }

  void step(const Event& e) {
    switch (e.kind) {
      case Event::tick:
        static_cast<void>(policies_[e.who]->tick(now_ms_));
        return add(now_ms_ + policies_[e.who]->tick_interval_ms(), Event::tick, e.who);
      case Event::comes:
        add(now_ms_ + gap(e.who, now_ms_), Event::comes, e.who);
        return comes(e.who);
      case Event::asks:
        if (!held_[e.who].v.answered) carry_out(e.who, policy(e.who).decide(held_[e.who].v, now_ms_));
        return;
      case Event::limit:
        return ended(e.who, e.number, Outcome::timeout);
      case Event::done:
        return done(e.who, e.number);
    }
  }

  Policy& policy(int request) { return *policies_[held_[request].balancer]; }

  void comes(int balancer) {
    double sum = 0;
    for (const auto& c : mix_.classes) sum += c.share;
    double left = uniform() * sum;
    std::size_t i = 0;
    while (i + 1 < mix_.classes.size() && (left -= mix_.classes[i].share) > 0) ++i;
    const auto& c = mix_.classes[i];
    int id = static_cast<int>(held_.size());
    std::normal_distribution<double> normal;
    held_.push_back({.balancer = balancer,
                     .work = c.work_ms * std::exp(c.spread * normal(rng_) - c.spread * c.spread / 2)});
    auto& v = held_.back().v;
    v.request_class = static_cast<int>(i);
    v.arrived_ms = now_ms_;
    v.deadline_ms = now_ms_ + c.timeout_ms;
    if (counts(v)) ++served_.asked[i];
    if (mode_ == Mode::module) return carry_out(id, policy(id).decide(v, now_ms_));
    auto& out = own_out_[balancer];
    int pick = 0, equal = 0;
    for (int s = 0; s < mix_.servers; ++s) {
      if (out[s] < out[pick]) pick = s, equal = 0;
      if (out[s] == out[pick] && uniform() * ++equal < 1) pick = s;
    }
    ++out[pick];
    v.attempts[v.attempt_count++] = {
        .endpoint = EndpointIndex{pick}, .sent_at_ms = now_ms_, .in_flight = true};
    start_job(pick, {id, 0, held_[id].work});
    add(v.deadline_ms, Event::limit, id, 0);
  }

  void carry_out(int id, const Decision& a) {
    auto& h = held_[id];
    if (a.kind == Decision::attempt || a.kind == Decision::wait) {
      auto p = policy(id).attempt_timeout(h.v, now_ms_);
      if (p.ask_again_ms != never) add(now_ms_ + p.ask_again_ms, Event::asks, id);
      if (a.kind == Decision::attempt) {
        add(now_ms_ + p.limit_ms, Event::limit, id, h.v.attempt_count - 1);
        start_job(static_cast<int>(a.endpoint), {id, h.v.attempt_count - 1, h.work});
      }
    } else if (a.kind == Decision::reject && counts(h.v)) {
      ++served_.rejected[h.v.request_class];
    }
    for (int n = 0; n < max_attempts; ++n)
      if (a.cancel >> n & 1) ended(id, n, Outcome::cancelled);
  }

  void start_job(int server, Job job) {
    auto& s = servers_[server];
    s.waiting.push_back(job);
    next(server);
  }
  void next(int server) {
    auto& s = servers_[server];
    for (; s.busy < mix_.slots && !s.waiting.empty(); ++s.busy) {
      auto job = s.waiting.front();
      s.waiting.pop_front();
      jobs_.emplace_back(server, job);
      add(now_ms_ + job.work, Event::done, static_cast<int>(jobs_.size()) - 1);
    }
  }
  void done(int number, int) {
    auto [server, job] = jobs_[number];
    --servers_[server].busy;
    ended(job.request, job.number, Outcome::succeeded);
    next(server);
  }
  void ended(int id, int number, Outcome outcome) {
    auto& h = held_[id];
    auto& f = h.v.attempts[number];
    if (!f.in_flight) return;
    bool answers = outcome == Outcome::succeeded && !h.over && !h.v.answered;
    if (answers) h.over = true;
    if (answers && counts(h.v) && now_ms_ - h.v.arrived_ms <= mix_.classes[h.v.request_class].target_ms)
      ++served_.in_time[h.v.request_class];
    if (mode_ == Mode::module)
      return carry_out(
          id, policy(id).attempt_ended(
                  h.v, {.attempt = number, .outcome = outcome, .request_closed = answers, .load_report = {}},
                  now_ms_));
    f.in_flight = false;
    --own_out_[h.balancer][position_of(f.endpoint)];
  }

  Mix mix_;
  Mode mode_;
  std::mt19937 rng_;
  double now_ms_ = start_ms;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Policy>> policies_;
  std::vector<std::vector<int>> own_out_;
  std::vector<double> parts_;
  std::deque<Held> held_;
  std::vector<std::pair<int, Job>> jobs_;
  std::vector<Server> servers_;
  MixServed served_;
};

}  // namespace meadowgauge::test
