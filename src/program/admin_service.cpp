#include "program/admin_service.hpp"

#include "hot_restart/handover_snapshot.hpp"

namespace meadowgauge::program {

using hot_restart::Takeover;
using proxy::Level;

namespace {

// The file with the ids of requests whose effect may still come, in the state directory.
constexpr std::string_view request_ids_file = "ids";
constexpr std::size_t request_ids_bytes = proxy::RequestIds::slot_count * sizeof(proxy::RequestIds::Slot);

}  // namespace

SharedState::SharedState(const std::string& folder, const std::string& name)
    : directory(folder, name), locks(directory) {
  if (directory.exists()) request_ids.emplace(directory.path_of(request_ids_file), request_ids_bytes);
}

AdminService::AdminService(transport::Loop& loop, proxy::Balancer& balancer, SharedState& shared,
                           const transport::Address& address, proxy::Logger log,
                           const FleetCoordinator* fleet)
    : balancer_(balancer),
      shared_(shared),
      log_(std::move(log)),
      fleet_(fleet),
      drains_(shared.directory, log_),
      takeover_(shared.locks.scan(), clock_.now()),
      server_(loop, address, *this) {
  balancer_.set_manual_drains(drains_.names());
  share_request_ids();
  if (takeover_.replaces_another()) {
    auto snapshot = hot_restart::decode_snapshot(shared_.directory.read(hot_restart::snapshot_file),
                                                 clock_.now(), Takeover::max_snapshot_age_ms);
    if (const auto* learned = std::get_if<LearnedState>(&snapshot)) balancer_.restore_learned_state(*learned);
    log_(Level::info, "takeover: started beside an older process of this balancer");
  }
  advance_takeover();
}

void AdminService::share_request_ids() {
  if (!shared_.request_ids) return;
  if (auto* memory = shared_.request_ids->data())
    return balancer_.share_request_ids(
        {static_cast<proxy::RequestIds::Slot*>(memory), proxy::RequestIds::slot_count});
  const auto path = shared_.directory.path_of(request_ids_file);
  log_(Level::warning, "request ids not shared with other processes: cannot map " + path, {{"file", path}});
}

proxy::Metrics AdminService::metrics() {
  auto metrics = balancer_.metrics();
  if (fleet_) metrics.fleet = fleet_->metrics();
  return metrics;
}

admin::DrainResult AdminService::set_offline(const std::string& server_id, bool offline) {
  using Status = admin::DrainResult::Status;
  // A drained server can be put back in use even if it is no longer in the endpoint list.
  if (!balancer_.is_listed(server_id) && !drains_.names().contains(server_id))
    return {Status::unknown_server};
  if (!drains_.set_drained(server_id, offline)) return {Status::too_many_drained};
  balancer_.set_manual_drains(drains_.names());
  return {Status::accepted, offline ? takeover_.drain_delay_ms() : 0};
}

void AdminService::begin_shutdown() {
  takeover_.end();
  advance_takeover();
  balancer_.begin_shutdown();
}

void AdminService::tick() {
  server_.tick();
  if (!shared_.directory.exists()) return;
  if (drains_.refresh()) balancer_.set_manual_drains(drains_.names());
  advance_takeover();
}

void AdminService::advance_takeover() {
  auto others = shared_.locks.scan();
  double now_ms = clock_.now();
  auto actions = takeover_.update(others, balancer_.endpoint_list_received(), now_ms, balancer_.may_serve());
  if (actions.set_share) balancer_.limit_to_share(actions.share);
  if (actions.listen) {
    balancer_.listen();
    shared_.locks.mark_serving();
    if (takeover_.replaces_another()) log_(Level::info, "takeover: listening beside the older process");
  }
  if (actions.claim_connections) balancer_.take_new_connections(others.older);
  if (actions.handover) balancer_.yield_to_successor();
  if (!actions.save_snapshot) return;
  if (auto learned = balancer_.learned_state(); !learned.empty())
    static_cast<void>(
        shared_.directory.write(hot_restart::snapshot_file, hot_restart::encode_snapshot(learned, now_ms)));
}

}  // namespace meadowgauge::program
