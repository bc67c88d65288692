#include "policy/endpoint_updater.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge {
namespace {

constexpr std::uint32_t gossip_id_bits = 0xffffff;  // of an endpoint's id, as gossip carries it

}  // namespace

void EndpointUpdater::update(bool is_complete, std::span<const EndpointEntry> entries, double now_ms) {
  auto& listed = endpoints_.mutable_listed();
  if (is_complete)
    for (EndpointIndex index : listed) endpoints_[index].state = EndpointState::gone;
  for (const auto& entry : entries)
    if (entry.endpoint >= EndpointIndex{0}) update_endpoint(entry, now_ms);
  update_mean_weight();
  std::erase_if(listed,
                [this](EndpointIndex index) { return endpoints_[index].state == EndpointState::gone; });
}

void EndpointUpdater::update_mean_weight() {
  const auto& listed = endpoints_.listed();
  double sum_of_weights = 0;
  for (EndpointIndex index : listed) sum_of_weights += endpoints_[index].weight;
  endpoints_.set_mean_weight(listed.empty() ? 1 : sum_of_weights / static_cast<double>(listed.size()));
}

void EndpointUpdater::update_endpoint(const EndpointEntry& entry, double now_ms) {
  endpoints_.add_up_to(entry.endpoint);
  auto& endpoint = endpoints_[entry.endpoint];
  endpoint.state = entry.state;
  // An entry that has gone carries no other values. The last zone and cell stay: they decide where a request
  // may go that an attempt there may have run.
  if (entry.state == EndpointState::gone) return;
  auto& listed = endpoints_.mutable_listed();
  bool is_listed = std::find(listed.begin(), listed.end(), entry.endpoint) != listed.end();
  if (!is_listed) listed.push_back(entry.endpoint);
  if (!is_listed || entry.up_since_ms > endpoint.up_since_ms)
    reset_for_new_process(endpoint, is_listed, now_ms);
  copy_listed_values(entry, endpoint);
  if (entry.manually_drained && !endpoint.manually_drained) endpoint.drained_at_ms = now_ms;
  endpoint.manually_drained = entry.manually_drained;
}

// Forgets what is known of the process before. What is in flight there and a manual drain stay.
void EndpointUpdater::reset_for_new_process(Endpoint& endpoint, bool is_listed, double now_ms) {
  Endpoint before = std::exchange(endpoint, Endpoint{});
  endpoint.in_flight = before.in_flight;
  endpoint.manually_drained = before.manually_drained;
  endpoint.drained_at_ms = before.drained_at_ms;
  if (is_listed) endpoint.undrained_at_ms = before.undrained_at_ms;
  endpoint.last_sign_at_ms = now_ms;
  slow_start_.start(endpoint, now_ms);
}

void EndpointUpdater::copy_listed_values(const EndpointEntry& entry, Endpoint& endpoint) {
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.id = entry.id & gossip_id_bits;
  endpoint.server_kind = std::max(0, entry.server_kind);
  outliers_.add_server_kind(endpoint.server_kind);
  load_.add_server_kind(endpoint.server_kind);
  endpoint.weight = settings_.weighted && entry.weight > 0 ? entry.weight : 1;
  endpoint.up_since_ms = std::max(endpoint.up_since_ms, entry.up_since_ms);
  endpoint.state = entry.state;
}

void EndpointUpdater::set_manual_drain(EndpointIndex index, bool drained, double now_ms) {
  if (!endpoints_.knows(index) || endpoints_[index].manually_drained == drained) return;
  auto& endpoint = endpoints_[index];
  if (!drained) return end_manual_drain(endpoint, now_ms);
  endpoint.manually_drained = true;
  endpoint.drained_at_ms = now_ms;
}

// Forgets what is known of the endpoint, so that the next request tries it. Unless a list has named a start
// during the drain, it may have been restarted and is warming up from now on.
void EndpointUpdater::end_manual_drain(Endpoint& endpoint, double now_ms) {
  Endpoint before = std::exchange(endpoint, Endpoint{});
  endpoint.zone = before.zone;
  endpoint.cell = before.cell;
  endpoint.server_kind = before.server_kind;
  endpoint.state = before.state;
  endpoint.weight = before.weight;
  endpoint.id = before.id;
  endpoint.in_flight = before.in_flight;
  endpoint.up_since_ms = before.up_since_ms > before.drained_at_ms ? before.up_since_ms : now_ms;
  endpoint.last_sign_at_ms = now_ms;
  endpoint.undrained_at_ms = now_ms;
  SlowStart::restore_after_drain(endpoint, now_ms);
}

}  // namespace meadowgauge
