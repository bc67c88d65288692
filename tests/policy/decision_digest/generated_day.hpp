// A generated day of a small tier: requests, servers that fail in several ways, endpoint lists, gossip and
// restarts, all drawn from one seed and applied to a policy without sockets.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/decision_digest/cases.hpp"
#include "policy/decision_digest/digest.hpp"
#include "policy/decision_digest/model.hpp"
#include "policy/policy.hpp"

namespace meadowgauge::test::decision_digest {

constexpr int outage_steps = 350;

// Runs one generated day of one tier behind one balancer and adds all decisions of the policy to the digest.
class GeneratedDay {
 public:
  GeneratedDay(const DigestCase& digest_case, std::uint64_t seed, Digest& digest)
      : case_(digest_case),
        rng_(seed * 7919 + 17),
        digest_(digest),
        seed_(seed),
        policy_(digest_case.settings, seed, now_ms_) {
    for (int i = 0; i < digest_case.servers; ++i) {
      servers_.push_back({.speed = 0.5 + rng_.uniform()});
      entries_.push_back({.endpoint = EndpointIndex{i},
                          .zone = i % 3,
                          .server_kind = rng_.below(3),
                          .cell = i / 2,
                          .weight = 0.5 + rng_.below(4) * 0.5,
                          .id = 1000u + static_cast<std::uint32_t>(i)});
    }
    policy_.update_endpoints(EndpointListUpdate::cached, entries_, now_ms_);
  }

  void run() {
    for (int step = 0; step < case_.day_steps; ++step) {
      now_ms_ += 1 + rng_.below(20);
      is_outage_ = case_.starts_in_outage && step < outage_steps;
      handle_due_events();
      submit_due_requests();
      if (now_ms_ >= next_tick_) tick();
      if (rng_.chance(0.08)) random_event();
    }
    digest_.add(policy_.drop_probability(now_ms_));
    digest_learned_state();
  }

 private:
  // --- Requests -------------------------------------------------------------------------------------------
  void submit_due_requests() {
    double load = case_.arrivals_per_ms * load_factor_;
    for (; next_arrival_ <= now_ms_; next_arrival_ += (0.2 + 1.6 * rng_.uniform()) / load) {
      int id = next_id_++;
      auto& open = open_requests_[id];
      auto& v = open.request;
      v.request_class = rng_.below(6);
      v.tenant = rng_.below(4) - (rng_.chance(0.05) ? 1 : 0);
      v.arrived_ms = now_ms_;
      v.deadline_ms = now_ms_ + (rng_.chance(0.1) ? 40 + 100 * rng_.uniform() : 600 + 3000 * rng_.uniform());
      v.client_retry = rng_.chance(0.1);
      v.work_ms = rng_.chance(0.5) ? 5 + 60 * rng_.uniform() : 0;
      if (rng_.chance(0.7)) v.key = 1 + static_cast<std::uint64_t>(rng_.below(rng_.chance(0.5) ? 3 : 200));
      v.large_body = rng_.chance(0.05);
      if (rng_.chance(0.05)) {
        v.body_incoming = true;
        open.body_complete_at_ms = now_ms_ + 200 * rng_.uniform();
      }
      apply_decision(id, policy_.decide(v, now_ms_));
    }
  }

  void apply_decision(int id, const Decision& decision) {
    digest_decision(decision);
    auto& open = open_requests_[id];
    auto& v = open.request;
    for (int n = 0; n < decision.probe_count; ++n)
      probes_.emplace_back(now_ms_ + 2 + 6 * rng_.uniform(), static_cast<int>(decision.probes[n]));
    if (decision.kind == Decision::attempt || decision.kind == Decision::wait) {
      auto p = policy_.attempt_timeout(v, now_ms_);
      digest_.add(p.limit_ms);
      digest_.add(p.ask_again_ms);
      open.ask_again_at_ms = p.ask_again_ms == never ? never : now_ms_ + p.ask_again_ms;
      if (decision.kind == Decision::attempt) start(open, static_cast<int>(decision.endpoint), p.limit_ms);
    }
    for (int n = 0; n < max_attempts; ++n)
      if (decision.cancel >> n & 1) end(id, n, Outcome::cancelled);
    remove_if_done(id);
  }

  void start(OpenRequest& open, int server, double timeout_ms) {
    auto& s = servers_[static_cast<std::size_t>(server)];
    ++s.in_flight;
    OpenRequest::Pending p{.times_out_at_ms = now_ms_ + timeout_ms};
    double latency_ms = (10 + 40 * rng_.uniform()) * (1 + 0.3 * s.in_flight) / s.speed;
    if (open.request.request_class == 3) latency_ms *= 0.2;
    switch (is_outage_ ? Health::rejecting : s.health) {
      case Health::healthy:
        if (rng_.chance(0.02)) p.outcome = Outcome::error;
        break;
      case Health::slow:
        latency_ms *= 8;
        break;
      case Health::failing:
        latency_ms = 3;
        p.outcome = rng_.chance(0.8) ? Outcome::error : Outcome::succeeded;
        break;
      case Health::rejecting:
        latency_ms = 2;
        p.outcome = rng_.chance(0.9) ? Outcome::rejected : Outcome::succeeded;
        break;
      case Health::silent:
        latency_ms = never;
        break;
      case Health::unreachable:
        latency_ms = 1;
        p.outcome = rng_.chance(0.8) ? Outcome::unreachable : Outcome::superseded;
        break;
      case Health::resetting:
        latency_ms *= 0.5;
        p.outcome = Outcome::reset;
        break;
    }
    p.ends_at_ms = now_ms_ + latency_ms;
    if (p.outcome == Outcome::succeeded && rng_.chance(0.1)) p.starts_at_ms = now_ms_ + latency_ms / 2;
    open.pending[open.request.attempt_count - 1] = p;
  }

  void end(int id, int number, Outcome outcome) {
    auto it = open_requests_.find(id);
    if (it == open_requests_.end() || it->second.pending.erase(number) == 0) return;
    auto& v = it->second.request;
    int server = static_cast<int>(v.attempts[static_cast<std::size_t>(number)].endpoint);
    --servers_[static_cast<std::size_t>(server)].in_flight;
    bool completes_request = outcome == Outcome::succeeded && !v.answered;
    bool is_truncated = v.streaming && outcome != Outcome::succeeded;
    apply_decision(
        id, policy_.attempt_ended(
                v, {number, outcome, completes_request || is_truncated || v.answered, load_report_of(server)},
                now_ms_));
  }

  void remove_if_done(int id) {
    auto it = open_requests_.find(id);
    if (it != open_requests_.end() && it->second.request.answered && it->second.request.in_flight == 0)
      open_requests_.erase(it);
  }

  // Handles all events that are due, in the order of the request ids.
  void handle_due_events() {
    std::vector<int> ids;
    for (const auto& [id, open] : open_requests_) ids.push_back(id);
    for (int id : ids) {
      for (int n = 0; n < max_attempts; ++n) handle_due_attempt(id, n);
      auto it = open_requests_.find(id);
      if (it == open_requests_.end()) continue;
      if (it->second.body_complete_at_ms <= now_ms_) body_complete(it->second);
      if (it->second.ask_again_at_ms > now_ms_) continue;
      it->second.ask_again_at_ms = never;
      apply_decision(id, policy_.decide(it->second.request, now_ms_));
    }
    std::erase_if(probes_, [this](auto probe) {
      if (probe.first > now_ms_) return false;
      probe_ended(probe.second);
      return true;
    });
  }

  void handle_due_attempt(int id, int number) {
    auto it = open_requests_.find(id);
    if (it == open_requests_.end()) return;
    auto p = it->second.pending.find(number);
    if (p == it->second.pending.end()) return;
    if (p->second.starts_at_ms <= now_ms_) {
      p->second.starts_at_ms = never;
      p->second.ends_at_ms += 300;
      if (!it->second.request.streaming)
        apply_decision(id, policy_.response_started(it->second.request, number, now_ms_));
      it = open_requests_.find(id);  // the decision may have ended the request
      if (it == open_requests_.end()) return;
      p = it->second.pending.find(number);
      if (p == it->second.pending.end()) return;
    }
    if (p->second.ends_at_ms <= now_ms_)
      end(id, number, p->second.outcome);
    else if (p->second.times_out_at_ms <= now_ms_)
      end(id, number, Outcome::timeout);
  }

  void body_complete(OpenRequest& open) {
    open.body_complete_at_ms = never;
    policy_.body_complete(open.request, open.request.deadline_ms + 50, now_ms_);
    auto p = policy_.attempt_timeout(open.request, now_ms_);
    digest_.add(p.limit_ms);
    digest_.add(p.ask_again_ms);
  }

  // --- Servers --------------------------------------------------------------------------------------------
  LoadReport load_report_of(int server) {
    const auto& s = servers_[static_cast<std::size_t>(server)];
    if (case_.settings.at("report.how") == "off" || rng_.chance(0.05)) return {};
    auto in_flight_count = static_cast<float>(s.in_flight + rng_.below(3));
    return {.count = 2, .values = {in_flight_count / 4, in_flight_count}};
  }

  void probe_ended(int server) {
    const auto& s = servers_[static_cast<std::size_t>(server)];
    auto in_flight_count = static_cast<float>(s.in_flight);
    bool is_responsive = s.health != Health::silent && s.health != Health::unreachable;
    double latency_ms = 1 + 4 * rng_.uniform();
    policy_.probe_ended(EndpointIndex{server}, is_responsive ? Outcome::succeeded : Outcome::timeout,
                        latency_ms, {.count = 2, .values = {in_flight_count / 4, in_flight_count}}, now_ms_);
  }

  void change_server_health() {
    auto& s = servers_[static_cast<std::size_t>(rng_.below(case_.servers))];
    s.health = rng_.chance(0.4) ? Health::healthy : static_cast<Health>(rng_.below(7));
  }

  void change_endpoint_list() {
    int i = rng_.below(case_.servers);
    auto& entry = entries_[static_cast<std::size_t>(i)];
    switch (rng_.below(8)) {
      case 0:
        entry.state = EndpointState::gone;
        break;
      case 1:
        entry.state = EndpointState::draining;
        break;
      case 2:
      case 3:
        entry.state = EndpointState::ready;
        entry.up_since_ms = now_ms_;
        break;
      case 4:
        entry.weight = 0.5 + rng_.below(4) * 0.5;
        break;
      case 5:
        entry.manually_drained = !entry.manually_drained;
        break;
      default:
        for (auto& other : entries_)
          if (other.state != EndpointState::ready && rng_.chance(0.7)) other.state = EndpointState::ready;
        policy_.update_endpoints(EndpointListUpdate::full, entries_, now_ms_);
        return;
    }
    EndpointEntry changed = entry;
    policy_.update_endpoints(EndpointListUpdate::delta, {&changed, 1}, now_ms_);
  }

  // --- Other events ----------------------------------------------------------------------------------
  void random_event() {
    switch (rng_.below(14)) {
      case 0:
      case 1:
      case 2:
        return change_server_health();
      case 3:
      case 4:
        return change_endpoint_list();
      case 5:
        return policy_.update_endpoints(EndpointListUpdate::failed, {}, now_ms_);
      case 6:
        return policy_.update_endpoints(EndpointListUpdate::cached, entries_, now_ms_);
      case 7:
        load_factor_ = rng_.chance(0.5) ? 1 : 0.3 + 4 * rng_.uniform();
        return;
      case 8:
        return manual_drain();
      case 9:
        return receive_gossip();
      case 10:
      case 11:
        return disconnect_client();
      case 12:
        return probe_ended(rng_.below(case_.servers));
      default:
        if (rng_.chance(0.3)) restart_with_learned_state();
    }
  }

  void manual_drain() {
    int i = rng_.below(case_.servers + 1);  // the last index has never been listed
    bool is_drained = rng_.chance(0.4);
    if (i < case_.servers) entries_[static_cast<std::size_t>(i)].manually_drained = is_drained;
    policy_.set_manual_drain(EndpointIndex{i}, is_drained, now_ms_);
  }

  void receive_gossip() {
    GossipContent content;
    for (int n = rng_.below(6); n > 0; --n)
      content.endpoints.push_back({.id = 1000u + static_cast<std::uint32_t>(rng_.below(case_.servers + 2)),
                                   .response_ms = rng_.chance(0.2) ? 0 : 400 * rng_.uniform(),
                                   .failure_share = rng_.chance(0.7) ? 0 : rng_.uniform(),
                                   .age_ms = 3000 * rng_.uniform()});
    double share = 0.5;
    for (int n = rng_.below(4); n > 0; --n)
      content.keys.push_back({.key = static_cast<std::uint32_t>(rng_.below(1 << 24)), .share = share *= 0.6});
    policy_.gossip_received(content, now_ms_);
  }

  void disconnect_client() {
    if (open_requests_.empty()) return;
    auto it = std::next(open_requests_.begin(), rng_.below(static_cast<int>(open_requests_.size())));
    if (!it->second.request.answered)
      apply_decision(it->first, policy_.client_left(it->second.request, now_ms_));
  }

  // Replaces the policy by a successor with the learned state. The clients of all open requests disconnect.
  void restart_with_learned_state() {
    for (auto& [id, open] : open_requests_) digest_decision(policy_.client_left(open.request, now_ms_));
    open_requests_.clear();
    probes_.clear();
    for (auto& s : servers_) s.in_flight = 0;
    auto learned = policy_.learned_state(now_ms_);
    digest_learned_state();
    policy_ = Policy(case_.settings, ++seed_, now_ms_);
    policy_.update_endpoints(EndpointListUpdate::cached, entries_, now_ms_);
    policy_.restore(learned, now_ms_);
  }

  void tick() {
    auto actions = policy_.tick(now_ms_);
    next_tick_ = now_ms_ + policy_.tick_interval_ms();
    digest_.add(static_cast<int>(actions.subscribe));
    digest_.add(static_cast<int>(actions.lookup));
    digest_.add(static_cast<std::uint64_t>(actions.events.size()));
    for (const auto& message : actions.gossip) {
      digest_.add(message.to);
      for (const auto& report : message.content.endpoints) {
        digest_.add(static_cast<std::uint64_t>(report.id));
        for (double value : {report.response_ms, report.failure_share, report.age_ms}) digest_.add(value);
      }
      for (const auto& key_share : message.content.keys) {
        digest_.add(static_cast<std::uint64_t>(key_share.key));
        digest_.add(key_share.share);
      }
    }
    if (actions.subscribe && rng_.chance(0.6))
      policy_.update_endpoints(EndpointListUpdate::full, entries_, now_ms_);
    std::vector<EndpointIndex> unhealthy;
    digest_.add(policy_.unavailable_endpoints(now_ms_, &unhealthy));
    for (EndpointIndex i : unhealthy) digest_.add(static_cast<int>(i));
    digest_.add(policy_.drop_probability(now_ms_));
  }

  // --- The digest -----------------------------------------------------------------------------------------
  void digest_decision(const Decision& decision) {
    digest_.add(static_cast<int>(decision.kind));
    digest_.add(static_cast<int>(decision.endpoint));
    digest_.add(decision.retry_after_ms);
    digest_.add(static_cast<std::uint64_t>(decision.cancel));
    for (int n = 0; n < decision.probe_count; ++n)
      digest_.add(static_cast<int>(decision.probes[static_cast<std::size_t>(n)]));
    digest_.add(static_cast<int>(decision.reason));
  }

  void digest_learned_state() {
    for (const auto& [name, value] : policy_.learned_state(now_ms_)) {
      digest_.add(std::string_view(name));
      digest_.add(value);
    }
  }

  const DigestCase& case_;
  Generator rng_;
  Digest& digest_;
  std::uint64_t seed_;
  double now_ms_ = 100000;
  double next_tick_ = 100000;
  double next_arrival_ = 100000;
  double load_factor_ = 1;
  Policy policy_;
  std::vector<Server> servers_;
  std::vector<EndpointEntry> entries_;
  std::map<int, OpenRequest> open_requests_;
  std::vector<std::pair<double, int>> probes_;  // end time in ms, and the server
  int next_id_ = 0;
  bool is_outage_ = false;
};

}  // namespace meadowgauge::test::decision_digest
