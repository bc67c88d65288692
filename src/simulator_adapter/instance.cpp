#include "simulator_adapter/instance.hpp"

#include <algorithm>

#include "membership/gossip_codec.hpp"
#include "proxy/policy_event_log.hpp"

namespace meadowgauge::simulator_adapter {

namespace {

// The nonce of the timer for the periodic actions of the policy.
constexpr std::uint32_t periodic_nonce = 0;

}  // namespace

Instance::Instance(const Settings& settings, std::uint64_t seed, double now_ms, Reply& reply)
    : policy_(settings, seed, now_ms), requests_(policy_, due_, *this), reply_(reply) {
  reply_.set_timer(policy_.tick_interval_ms(), periodic_nonce);
}

EndpointIndex Instance::endpoint_index(std::uint32_t upstream) {
  const auto next = static_cast<EndpointIndex>(upstreams_.size());
  const auto [it, inserted] = endpoint_by_upstream_.try_emplace(upstream, next);
  if (inserted) upstreams_.push_back(upstream);
  return it->second;
}

void Instance::start_attempt(proxy::RequestNumber number, int, EndpointIndex endpoint,
                             const AttemptTimeout& timeout) {
  reply_.forward_request(to_integer(number), upstreams_[position_of(endpoint)], timeout.limit_ms);
}
void Instance::reject(proxy::RequestNumber number, double retry_after_ms, RejectionReason) {
  reply_.reject_request(to_integer(number), retry_after_ms);
}
void Instance::fail(proxy::RequestNumber number, RejectionReason) { reply_.drop_request(to_integer(number)); }
void Instance::cancel_attempt(proxy::RequestNumber number, int attempt) {
  reply_.cancel_attempt(to_integer(number), static_cast<std::uint8_t>(attempt));
}

void Instance::request_arrived(const RequestArrived& message, double now_ms) {
  requests_.request_arrived(message.number, message.request, now_ms);
}

void Instance::attempt_started(const AttemptStarted& message, double now_ms) {
  requests_.response_started(message.number, message.attempt, now_ms);
}

void Instance::attempt_ended(const AttemptEnded& message, double now_ms) {
  requests_.attempt_ended(message.number, message.result, now_ms);
}

void Instance::client_gone(proxy::RequestNumber number, double now_ms) {
  requests_.client_left(number, now_ms);
}

void Instance::probe_done(const ProbeDone& message, double now_ms) {
  const auto it = endpoint_by_upstream_.find(message.upstream);
  if (it == endpoint_by_upstream_.end()) return;
  policy_.probe_ended(it->second, message.outcome, message.duration_ms, message.load_report, now_ms);
}

void Instance::gossip_received(std::string_view gossip, double now_ms) {
  if (const auto content = decode_gossip(gossip)) policy_.gossip_received(*content, now_ms);
}

void Instance::endpoints_updated(const EndpointUpdate& update, std::string_view entries, double now_ms) {
  entries_.clear();
  read_endpoint_entries(entries, entries_);
  for (auto& entry : entries_) entry.endpoint = endpoint_index(entry.id);
  if (!update.known_kind()) return;
  policy_.update_endpoints(static_cast<EndpointListUpdate>(update.kind), entries_, now_ms);
}

void Instance::timer_expired(std::uint32_t nonce, double now_ms) {
  if (nonce == periodic_nonce) return run_periodic_actions(now_ms);
  if (nonce != timer_nonce_) return;  // a sooner timer has replaced it
  timer_at_ms_ = never;
  while (const auto key = due_.first(now_ms))
    requests_.decision_due(proxy::RequestNumber{transport::number_of(*key)}, now_ms);
}

void Instance::run_periodic_actions(double now_ms) {
  const auto actions = policy_.tick(now_ms);
  if (actions.subscribe) reply_.subscribe(true);
  if (actions.lookup) reply_.request_endpoints();
  for (const auto& message : actions.gossip)
    reply_.send_gossip(static_cast<std::uint16_t>(message.to), encode_gossip(message.content));
  for (const auto& event : actions.events)
    reply_.log_line(proxy::message_of(event, upstream_name(proxy::endpoint_of(event))));
  reply_.set_timer(policy_.tick_interval_ms(), periodic_nonce);
}

std::string Instance::upstream_name(EndpointIndex endpoint) const {
  return endpoint != no_endpoint ? std::to_string(upstreams_[position_of(endpoint)]) : std::string();
}

void Instance::update_timer(double now_ms) {
  if (due_.next() >= timer_at_ms_) return;
  timer_at_ms_ = due_.next();
  ++timer_nonce_;
  if (timer_nonce_ == periodic_nonce) ++timer_nonce_;
  reply_.set_timer(std::max(0.0, timer_at_ms_ - now_ms), timer_nonce_);
}

}  // namespace meadowgauge::simulator_adapter
