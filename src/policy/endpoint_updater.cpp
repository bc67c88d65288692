#include "policy/endpoint_updater.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge {
namespace {

constexpr std::uint32_t gossip_id_bits = 0xffffff;  // the part of an endpoint's id that gossip carries

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
  endpoints_.grow_to_include(entry.endpoint);
  auto& endpoint = endpoints_[entry.endpoint];
  endpoint.state = entry.state;
  // An entry in state `gone` carries no other values. The last zone and cell are kept: they decide where a
  // request may be retried after an attempt that may have run on this endpoint.
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

// Resets the state learned from the previous process. The number in flight and a manual drain are kept.
void EndpointUpdater::reset_for_new_process(Endpoint& endpoint, bool is_listed, double now_ms) {
  Endpoint previous = std::exchange(endpoint, Endpoint{});
  endpoint.in_flight = previous.in_flight;
  endpoint.manually_drained = previous.manually_drained;
  endpoint.drained_at_ms = previous.drained_at_ms;
  if (is_listed) endpoint.undrained_at_ms = previous.undrained_at_ms;
  endpoint.last_activity_at_ms = now_ms;
  slow_start_.start(endpoint, now_ms);
}

void EndpointUpdater::copy_listed_values(const EndpointEntry& entry, Endpoint& endpoint) {
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.id = entry.id & gossip_id_bits;
  endpoint.server_kind = std::max(0, entry.server_kind);
  outliers_.add_server_kind(endpoint.server_kind);
  load_.add_server_kind(endpoint.server_kind);
  endpoint.weight = settings_.uses_list_weights && entry.weight > 0 ? entry.weight : 1;
  endpoint.up_since_ms = std::max(endpoint.up_since_ms, entry.up_since_ms);
  endpoint.state = entry.state;
}

void EndpointUpdater::set_manual_drain(EndpointIndex index, bool is_drained, double now_ms) {
  if (!endpoints_.knows(index) || endpoints_[index].manually_drained == is_drained) return;
  auto& endpoint = endpoints_[index];
  if (!is_drained) return end_manual_drain(endpoint, now_ms);
  endpoint.manually_drained = true;
  endpoint.drained_at_ms = now_ms;
}

// Resets the learned state of the endpoint, so that the next request tries it. Unless a list reported a start
// during the drain, the endpoint is treated as restarted now and starts to warm up.
void EndpointUpdater::end_manual_drain(Endpoint& endpoint, double now_ms) {
  Endpoint previous = std::exchange(endpoint, Endpoint{});
  endpoint.zone = previous.zone;
  endpoint.cell = previous.cell;
  endpoint.server_kind = previous.server_kind;
  endpoint.state = previous.state;
  endpoint.weight = previous.weight;
  endpoint.id = previous.id;
  endpoint.in_flight = previous.in_flight;
  endpoint.up_since_ms = previous.up_since_ms > previous.drained_at_ms ? previous.up_since_ms : now_ms;
  endpoint.last_activity_at_ms = now_ms;
  endpoint.undrained_at_ms = now_ms;
  SlowStart::restore_after_drain(endpoint, now_ms);
}

}  // namespace meadowgauge
