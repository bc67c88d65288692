// Forwards every call to the implementation, Policy::Core.
#include "policy/policy.hpp"

#include "policy/policy_core.hpp"

namespace meadowgauge {

Policy::Policy(const Settings& settings, std::uint64_t seed, double now_ms)
    : core_(std::make_unique<Core>(settings, seed, now_ms)) {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

Decision Policy::decide(Request& request, double now_ms) { return core_->decide(request, now_ms); }

Decision Policy::attempt_ended(Request& request, const AttemptResult& result, double now_ms) {
  return core_->attempt_ended(request, result, now_ms);
}

AttemptTimeout Policy::attempt_timeout(const Request& request, double now_ms) {
  return core_->attempt_timeout(request, now_ms);
}

bool Policy::may_still_be_sent(const Request& request, int attempt) const {
  return core_->may_still_be_sent(request, attempt);
}

double Policy::send_by_ms(const Request& request, int attempt, double now_ms) const {
  return core_->send_by_ms(request, attempt, now_ms);
}

RepeatJudgement Policy::repeat_judgement(const Request& request, double now_ms) const {
  return core_->repeat_judgement(request, now_ms);
}

Decision Policy::client_left(Request& request, double) { return core_->client_left(request); }

Decision Policy::response_started(Request& request, int attempt, double now_ms) {
  return core_->response_started(request, attempt, now_ms);
}

void Policy::body_complete(Request& request, double deadline_ms, double now_ms) {
  core_->body_complete(request, deadline_ms, now_ms);
}

void Policy::update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries,
                              double now_ms) {
  core_->update_endpoints(kind, entries, now_ms);
}

void Policy::probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms,
                         const LoadReport& load_report, double now_ms) {
  core_->probe_ended(endpoint, outcome, took_ms, load_report, now_ms);
}

void Policy::gossip_received(const GossipContent& content, double now_ms) {
  core_->gossip_received(content, now_ms);
}

void Policy::request_trials(std::span<const std::uint32_t> endpoint_ids) {
  core_->request_trials(endpoint_ids);
}

PeriodicActions Policy::tick(double now_ms) { return core_->tick(now_ms); }

double Policy::tick_interval_ms() const { return core_->tick_interval_ms(); }

void Policy::set_manual_drain(EndpointIndex endpoint, bool drained, double now_ms) {
  core_->set_manual_drain(endpoint, drained, now_ms);
}

LearnedState Policy::learned_state(double now_ms) const { return core_->learned_state(now_ms); }

void Policy::restore(const LearnedState& state, double now_ms) { core_->restore(state, now_ms); }

int Policy::unavailable_endpoints(double now_ms, std::vector<EndpointIndex>* unhealthy) const {
  return core_->unavailable_endpoints(now_ms, unhealthy);
}

double Policy::drop_probability(double now_ms) const { return core_->drop_probability(now_ms); }

}  // namespace meadowgauge
