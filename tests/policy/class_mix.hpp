// Simulates many balancers in front of a tier of servers, without sockets. Requests of several classes
// arrive; the result is the share of each class that is answered within its latency target.
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

// A request class of the mix. `share` is its weight in the traffic; `spread` is the standard deviation of the
// logarithm of the work.
struct MixClass {
  double share = 1, work_ms = 50, spread = 0.5, target_ms = 500, timeout_ms = 1500, priority_weight = 1;
  std::string repeat = "idempotent", group = "all";
};

// The request classes, the balancers and servers, and the load of one simulation.
struct Mix {
  std::vector<MixClass> classes = {};
  int balancers = 10, servers = 8, slots_per_server = 2, zones = 1, stages = 1, attempts = 3;
  double load = 0.4;          // share of the servers' capacity
  double traffic_spread = 0;  // standard deviation of the logarithm of a balancer's share of the traffic
  double surge_load = 0;      // load after two thirds of the time; 0: unchanged
  double seconds = 12, measure_from_s = 4;
  bool hedging_enabled = true;
  std::uint64_t seed = 1;
  Settings extra_settings = {};
};

// Results by request class, over the requests of the measured period.
struct MixResult {
  std::vector<double> in_time, rejected;  // shares of the class's requests
  std::vector<int> request_counts;
};

// Policy settings of the balancer with this number.
inline Settings make_settings(const Mix& mix, int number) {
  auto s = [](double value) { return std::to_string(value); };
  Settings settings{{"path_prefixes.count", std::to_string(mix.classes.size())},
                    {"limits.max_backend_fetches", std::to_string(mix.attempts)},
                    {"limits.second_copies", mix.hedging_enabled ? "true" : "false"},
                    {"limits.cancelling", "true"},
                    {"replicas_of_me", std::to_string(mix.balancers)},
                    {"my_number", std::to_string(number)},
                    {"tick_ms", "5"}};
  std::string zones, stages;
  for (int i = 0; i < mix.zones; ++i) zones += (i ? ",z" : "z") + std::to_string(i);
  for (int i = 0; i < mix.stages; ++i) stages += (i ? ",t" : "t") + std::to_string(i);
  settings["zones"] = zones;
  settings["stages"] = stages;
  settings["zone"] = std::to_string(number % mix.zones);
  for (std::size_t i = 0; i < mix.classes.size(); ++i) {
    const auto& mix_class = mix.classes[i];
    auto prefix = "path_prefixes." + std::to_string(i) + ".";
    settings[prefix + "repeat"] = mix_class.repeat;
    settings[prefix + "group"] = mix_class.group;
    settings[prefix + "key_ttl_ms"] = "5000";
    settings[prefix + "target_latency_ms"] = s(mix_class.target_ms);
    settings[prefix + "client_timeout_ms"] = s(mix_class.timeout_ms);
    settings[prefix + "earnings"] = s(mix_class.priority_weight);
  }
  for (const auto& [name, value] : mix.extra_settings) settings[name] = value;
  return settings;
}

// One simulation run. Mode `full_policy`: the policy decides. Mode `baseline`: each balancer picks the server
// with the fewest of its own requests in flight, at random among equals, and rejects nothing.
class MixSimulation {
 public:
  enum class Mode : std::uint8_t { full_policy, baseline };

  MixSimulation(const Mix& mix, Mode mode) : mix_(mix), mode_(mode), rng_(mix.seed) {
    servers_.resize(static_cast<std::size_t>(mix.servers));
    result_.in_time.resize(mix.classes.size());
    result_.rejected.resize(mix.classes.size());
    result_.request_counts.resize(mix.classes.size());
    std::vector<EndpointEntry> list;
    for (int i = 0; i < mix.servers; ++i)
      list.push_back(
          {.endpoint = EndpointIndex{i}, .zone = i % mix.zones, .cell = i / 4, .weight = 1, .id = 1000u + i});
    std::normal_distribution<double> normal;
    double mean_work = 0, shares = 0, sum_of_parts = 0;
    for (const auto& mix_class : mix.classes)
      mean_work += mix_class.share * mix_class.work_ms, shares += mix_class.share;
    for (int i = 0; i < mix.balancers; ++i) {
      if (mode == Mode::full_policy) {
        policies_.push_back(std::make_unique<Policy>(make_settings(mix, i), mix.seed * 1000 + i, start_ms));
        policies_.back()->update_endpoints(EndpointListUpdate::full, list, start_ms);
      }
      own_in_flight_.emplace_back(servers_.size());
      rates_.push_back(std::exp(mix.traffic_spread * normal(rng_)));
      sum_of_parts += rates_.back();
    }
    // Requests per ms of each balancer.
    double rate = mix.load * mix.servers * mix.slots_per_server / (mean_work / shares);
    for (auto& p : rates_) p *= rate / sum_of_parts;
    for (int i = 0; i < mix.balancers; ++i) {
      if (mode == Mode::full_policy) schedule(start_ms + uniform() * 100, Event::tick, i);
      schedule(start_ms + draw_arrival_gap_ms(i, start_ms), Event::arrive, i);
    }
  }

  MixResult run() {
    double end = start_ms + mix_.seconds * 1000;
    while (!events_.empty() && events_.top().at_ms < end) {
      Event event = events_.top();
      events_.pop();
      now_ms_ = event.at_ms;
      handle(event);
    }
    for (std::size_t i = 0; i < mix_.classes.size(); ++i) {
      result_.in_time[i] /= std::max(1, result_.request_counts[i]);
      result_.rejected[i] /= std::max(1, result_.request_counts[i]);
    }
    return result_;
  }

 private:
  static constexpr double start_ms = 100000;
  struct Event {
    enum Kind : std::uint8_t { tick, arrive, decide_again, expire, finish } kind = tick;
    double at_ms = 0;
    std::uint64_t order = 0;
    int target = 0;  // balancer, request or job, depending on the kind
    int number = 0;  // attempt of the request
    bool operator<(const Event& other) const {
      return at_ms != other.at_ms ? at_ms > other.at_ms : order > other.order;
    }
  };
  struct ActiveRequest {
    Request request = {};
    int balancer = 0;
    double work = 0;
    bool has_response = false;
  };
  struct Job {
    int request_id, number;
    double work;
  };
  struct Server {
    std::deque<Job> waiting;
    int busy = 0;
  };

  double uniform() { return static_cast<double>(rng_()) / 4294967296.0; }
  double draw_arrival_gap_ms(int i, double now_ms) {
    bool is_surging = mix_.surge_load > 0 && now_ms > start_ms + mix_.seconds * 2000 / 3;
    double rate = rates_[i] * (is_surging ? mix_.surge_load / mix_.load : 1);
    return -std::log(1 - uniform()) / rate;
  }
  void schedule(double at_ms, Event::Kind kind, int target, int number = 0) {
    events_.push({.kind = kind, .at_ms = at_ms, .order = ++order_, .target = target, .number = number});
  }
  [[nodiscard]] bool is_measured(const Request& request) const {
    return request.arrived_ms >= start_ms + mix_.measure_from_s * 1000 &&
           request.arrived_ms < start_ms + mix_.seconds * 1000 - measurement_margin_ms();
  }
  [[nodiscard]] double measurement_margin_ms() const {
    double max_timeout_ms = 0;
    for (const auto& mix_class : mix_.classes)
      max_timeout_ms = std::max(max_timeout_ms, mix_class.timeout_ms);
    return std::min(max_timeout_ms, mix_.seconds * 250);
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case Event::tick:
        static_cast<void>(policies_[event.target]->tick(now_ms_));
        return schedule(now_ms_ + policies_[event.target]->tick_interval_ms(), Event::tick, event.target);
      case Event::arrive:
        schedule(now_ms_ + draw_arrival_gap_ms(event.target, now_ms_), Event::arrive, event.target);
        return arrive(event.target);
      case Event::decide_again:
        if (!requests_[event.target].request.answered)
          apply(event.target, policy(event.target).decide(requests_[event.target].request, now_ms_));
        return;
      case Event::expire:
        return end_attempt(event.target, event.number, Outcome::timeout);
      case Event::finish:
        return finish(event.target, event.number);
    }
  }

  Policy& policy(int request_id) { return *policies_[requests_[request_id].balancer]; }

  void arrive(int balancer) {
    double sum = 0;
    for (const auto& mix_class : mix_.classes) sum += mix_class.share;
    double remaining = uniform() * sum;
    std::size_t i = 0;
    while (i + 1 < mix_.classes.size() && (remaining -= mix_.classes[i].share) > 0) ++i;
    const auto& mix_class = mix_.classes[i];
    int id = static_cast<int>(requests_.size());
    std::normal_distribution<double> normal;
    requests_.push_back({.balancer = balancer,
                         .work = mix_class.work_ms * std::exp(mix_class.spread * normal(rng_) -
                                                              mix_class.spread * mix_class.spread / 2)});
    auto& request = requests_.back().request;
    request.request_class = static_cast<int>(i);
    request.arrived_ms = now_ms_;
    request.deadline_ms = now_ms_ + mix_class.timeout_ms;
    if (is_measured(request)) ++result_.request_counts[i];
    if (mode_ == Mode::full_policy) return apply(id, policy(id).decide(request, now_ms_));
    auto& own_counts = own_in_flight_[balancer];
    int picked = 0, tie_count = 0;
    for (int s = 0; s < mix_.servers; ++s) {
      if (own_counts[s] < own_counts[picked]) picked = s, tie_count = 0;
      if (own_counts[s] == own_counts[picked] && uniform() * ++tie_count < 1) picked = s;
    }
    ++own_counts[picked];
    request.attempts[request.attempt_count++] = {
        .endpoint = EndpointIndex{picked}, .sent_at_ms = now_ms_, .in_flight = true};
    start_job(picked, {id, 0, requests_[id].work});
    schedule(request.deadline_ms, Event::expire, id, 0);
  }

  void apply(int id, const Decision& decision) {
    auto& active = requests_[id];
    if (decision.kind == Decision::attempt || decision.kind == Decision::wait) {
      auto p = policy(id).attempt_timeout(active.request, now_ms_);
      if (p.ask_again_ms != never) schedule(now_ms_ + p.ask_again_ms, Event::decide_again, id);
      if (decision.kind == Decision::attempt) {
        schedule(now_ms_ + p.limit_ms, Event::expire, id, active.request.attempt_count - 1);
        start_job(static_cast<int>(decision.endpoint), {id, active.request.attempt_count - 1, active.work});
      }
    } else if (decision.kind == Decision::reject && is_measured(active.request)) {
      ++result_.rejected[active.request.request_class];
    }
    for (int n = 0; n < max_attempts; ++n)
      if (decision.cancel >> n & 1) end_attempt(id, n, Outcome::cancelled);
  }

  void start_job(int server, Job job) {
    auto& s = servers_[server];
    s.waiting.push_back(job);
    start_waiting_jobs(server);
  }
  void start_waiting_jobs(int server) {
    auto& s = servers_[server];
    for (; s.busy < mix_.slots_per_server && !s.waiting.empty(); ++s.busy) {
      auto job = s.waiting.front();
      s.waiting.pop_front();
      jobs_.emplace_back(server, job);
      schedule(now_ms_ + job.work, Event::finish, static_cast<int>(jobs_.size()) - 1);
    }
  }
  void finish(int number, int) {
    auto [server, job] = jobs_[number];
    --servers_[server].busy;
    end_attempt(job.request_id, job.number, Outcome::succeeded);
    start_waiting_jobs(server);
  }
  void end_attempt(int id, int number, Outcome outcome) {
    auto& active = requests_[id];
    auto& sent_attempt = active.request.attempts[number];
    if (!sent_attempt.in_flight) return;
    bool is_first_response =
        outcome == Outcome::succeeded && !active.has_response && !active.request.answered;
    if (is_first_response) active.has_response = true;
    if (is_first_response && is_measured(active.request) &&
        now_ms_ - active.request.arrived_ms <= mix_.classes[active.request.request_class].target_ms)
      ++result_.in_time[active.request.request_class];
    if (mode_ == Mode::full_policy)
      return apply(
          id,
          policy(id).attempt_ended(
              active.request,
              {.attempt = number, .outcome = outcome, .request_closed = is_first_response, .load_report = {}},
              now_ms_));
    sent_attempt.in_flight = false;
    --own_in_flight_[active.balancer][position_of(sent_attempt.endpoint)];
  }

  Mix mix_;
  Mode mode_;
  std::mt19937 rng_;
  double now_ms_ = start_ms;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Policy>> policies_;
  std::vector<std::vector<int>> own_in_flight_;
  std::vector<double> rates_;
  std::deque<ActiveRequest> requests_;
  std::vector<std::pair<int, Job>> jobs_;
  std::vector<Server> servers_;
  MixResult result_;
};

}  // namespace meadowgauge::test
