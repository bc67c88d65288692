#include "proxy/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "proxy/descriptor_budget.hpp"
#include "proxy/endpoint/learned_state_names.hpp"
#include "proxy/policy_event_log.hpp"

namespace meadowgauge::proxy {

namespace {

// Interval between the releases of unused endpoint indices, drain aliases and buffers.
constexpr double sweep_interval_ms = 200;
// A loop turn that works for this long, or begins this long after its due time, is logged.
constexpr double slow_turn_ms = 20;

}  // namespace

Balancer::Balancer(transport::Loop& loop, const Setup& setup, Logger log)
    : loop_(loop),
      now_ms_(clock_.now()),
      turns_(now_ms_),
      log_(std::move(log)),
      proxy_settings_(read_proxy_settings(setup.settings, log_)),
      buffers_(buffers_within_memory(setup.memory_mb)),
      descriptors_(descriptors_within_buffers(
          descriptors_without_admin_server(setup.descriptors, setup.mgmt.has_value()), buffers_)),
      pool_(buffers_),
      policy_(setup.settings, setup.seed, now_ms_),
      upstreams_({.loop = loop,
                  .buffers = pool_,
                  .due_times = due_,
                  .now_ms = now_ms_,
                  .read_clock_ms = [this] { return clock_.now(); }},
                 {.dial_timeout_ms = proxy_settings_.dial_timeout_ms,
                  .idle_timeout_ms = proxy_settings_.idle_timeout_ms,
                  .settle_ms = proxy_settings_.settle_ms,
                  .max_connections = divide_descriptors(descriptors_).upstream},
                 log_, [this] { return downstream_.shed(DownstreamConnections::ShedScope::any); }),
      downstream_(
          {.loop = loop, .buffers = pool_, .due_times = due_, .now_ms = now_ms_, .counters = counters_},
          setup.listen,
          {.max_served = divide_descriptors(descriptors_).downstream,
           .max_overflow = divide_descriptors(descriptors_).downstream_overflow},
          {.shared = setup.may_share_address, .later = setup.defer_listening}),
      discovery_({.loop = loop, .pool = pool_, .due_times = due_, .now_ms = now_ms_}, setup.discovery,
                 setup.known.seq, setup.seed, log_, watch_pacing_settings(setup.settings, log_)),
      endpoints_(proxy_settings_, upstreams_, policy_, log_),
      shutdown_(
          {.max_client_timeout_ms = proxy_settings_.max_client_timeout_ms(), .drain_ms = setup.leave_ms}),
      initial_list_(setup.discovery && !watch_pacing_settings(setup.settings, {}).push_grace_ms, now_ms_),
      requests_({.settings = proxy_settings_,
                 .now_ms = now_ms_,
                 .due_times = due_,
                 .policy = policy_,
                 .upstreams = upstreams_,
                 .downstream = downstream_,
                 .endpoints = endpoints_,
                 .shutdown = shutdown_,
                 .initial_list = initial_list_,
                 .counters = counters_},
                log_),
      settings_(setup.settings),
      endpoint_list_received_(!setup.discovery),
      tick_at_ms_(now_ms_),
      sweep_at_ms_(now_ms_) {
  pool_.set_reserve(reserved_buffers(divide_descriptors(descriptors_)));
  counters_.request_classes.resize(proxy_settings_.request_classes.size());
  endpoints_.use_cached(setup.known, now_ms_);
  discovery_.start();
}

// --- The loop turn ---------------------------------------------------------------------------------------

void Balancer::run() {
  while (!shutdown_.finished()) {
    double due_ms = next_due_ms();
    loop_.wait(turns_.time_until(due_ms));
    now_ms_ = clock_.now();
    turns_.turn_began(due_ms, now_ms_);
    loop_.dispatch();
    gather_events();
    upstreams_.send_requests();
    requests_.carry_out();
    if (!shutdown_.serving()) advance_shutdown();
    upstreams_.destroy_closed();
    downstream_.destroy_closed();
    discovery_.destroy_closed();
    pool_.notify_waiters();
    turns_.turn_ended(clock_.now());
    log_slow_turn();
  }
}

void Balancer::log_slow_turn() const {
  const auto& turn = turns_.current();
  if (std::max(turn.work_ms, turn.late_ms) < slow_turn_ms || !log_.wants(Level::debug)) return;
  std::string message = "slow loop turn: worked " + std::to_string(std::lround(turn.work_ms)) +
                        " ms, began " + std::to_string(std::lround(turn.late_ms)) + " ms late";
  log_(Level::debug, message, {{"work_ms", turn.work_ms}, {"late_ms", turn.late_ms}});
}

// When the next turn is due: at the earliest deadline, or now if work is queued.
double Balancer::next_due_ms() {
  bool idle = !requests_.has_commands() && upstreams_.events().empty() && downstream_.events().empty() &&
              discovery_.updates().empty();
  if (!idle) return now_ms_;
  return std::min({due_.next(), tick_at_ms_, shutdown_.next_due_ms(), initial_list_.next_due_ms()});
}

void Balancer::gather_events() {
  apply_watch_events();
  log_initial_list(initial_list_.time_passed(now_ms_));
  // Upstream events first: ended attempts free capacity for the new requests.
  for (auto& event : std::exchange(upstreams_.events(), {})) requests_.upstream_event(event);
  apply_due_times();
  for (auto& event : std::exchange(downstream_.events(), {})) requests_.downstream_event(event);
  if (now_ms_ >= tick_at_ms_) tick();
}

void Balancer::apply_watch_events() {
  for (auto& update : std::exchange(discovery_.updates(), {})) {
    auto* list = std::get_if<protocol::EndpointList>(&update);
    if (!list) {
      log_initial_list(initial_list_.call_failed(std::get<WatchFailed>(update).error));
      endpoints_.watch_failed(now_ms_);
      continue;
    }
    endpoint_list_received_ = true;
    log_initial_list(initial_list_.list_received());
    endpoints_.receive(std::move(*list), now_ms_);
    requests_.endpoints_updated();
  }
}

void Balancer::log_initial_list(std::optional<InitialList::State> former) const {
  if (!former) return;
  auto old_state = InitialList::name_of(*former);
  auto new_state = InitialList::name_of(initial_list_.state());
  log_(Level::info, std::string("initial endpoint list: ").append(old_state).append(" -> ").append(new_state),
       {{"old_state", old_state}, {"new_state", new_state}});
}

void Balancer::apply_due_times() {
  while (auto key = due_.first(now_ms_)) {
    switch (transport::kind_of(*key)) {
      case RequestTable::due_kind:
        requests_.decision_due(RequestNumber{transport::number_of(*key)});
        break;
      case DiscoveryClient::due_kind:
        discovery_.deadline_reached();
        break;
      case DownstreamConnections::due_kind:
        downstream_.deadline_reached(transport::number_of(*key));
        break;
      default:
        upstreams_.deadline_reached(*key);
    }
  }
}

void Balancer::tick() {
  tick_at_ms_ = std::max(tick_at_ms_, now_ms_ - policy_.tick_interval_ms()) + policy_.tick_interval_ms();
  auto actions = policy_.tick(now_ms_);
  // The policy's request for an endpoint list needs no action, because the watch on discovery is always open.
  for (const auto& event : actions.events) log_policy_event(log_, event, upstreams_.endpoints());
  upstreams_.close_expired_connections();
  upstreams_.stream_held_responses();
  downstream_.retry_accept();
  if (on_tick_) on_tick_();
  if (now_ms_ < sweep_at_ms_) return;
  sweep_at_ms_ = now_ms_ + sweep_interval_ms;
  upstreams_.reclaim_indices([this](EndpointIndex endpoint) { return requests_.has_attempted(endpoint); });
  endpoints_.evict_unlisted_drains();
  pool_.trim();
}

// --- Queries and reload ----------------------------------------------------------------------------------

void Balancer::set_request_filter(RequestFilter* filter) {
  request_filter_ = filter;
  requests_.set_request_filter(filter);
}

LearnedState Balancer::learned_state() const {
  return with_server_names(policy_.learned_state(now_ms_), upstreams_.endpoints());
}

void Balancer::restore_learned_state(const LearnedState& learned_state) {
  policy_.restore(with_endpoint_indices(learned_state, upstreams_.endpoints()), now_ms_);
}

std::vector<std::uint32_t> Balancer::ejected_servers() const {
  std::vector<EndpointIndex> ejected;
  static_cast<void>(policy_.unavailable_endpoints(now_ms_, &ejected));
  std::vector<std::uint32_t> server_ids;
  server_ids.reserve(ejected.size());
  for (auto endpoint : ejected) server_ids.push_back(endpoints_.server_id(endpoint));
  return server_ids;
}

Metrics Balancer::metrics() const {
  std::vector<std::string> request_classes;
  for (const auto& rules : proxy_settings_.request_classes) request_classes.push_back(rules.name);
  return {.calls = counters_,
          .request_classes = std::move(request_classes),
          .attempts = upstreams_.requests_sent(),
          .listed = upstreams_.endpoints().listed_count(),
          .down = static_cast<std::size_t>(policy_.unavailable_endpoints(now_ms_)),
          .discovery = discovery_.counters(),
          .reloads = reloads_,
          .reloads_failed = reloads_failed_,
          .longest_turn = turns_.longest()};
}

void Balancer::reload(const Setup& setup) {
  ++reloads_;
  log_(Level::info,
       "configuration reloaded: " + (setup.discovery
                                         ? "discovery at " + setup.discovery->text()
                                         : std::to_string(setup.known.hosts.size()) + " servers listed"),
       {{"servers", static_cast<double>(setup.known.hosts.size())}});
  if (setup.settings != settings_)
    log_(Level::info, "configuration reloaded: changed settings need a restart");
  discovery_.set_agent(setup.discovery);
  if (setup.discovery)
    endpoints_.discovery_changed();
  else
    replace_endpoint_list(setup.known);
  requests_.endpoints_updated();
}

void Balancer::replace_endpoint_list(const protocol::EndpointList& list) {
  endpoints_.replace(list, now_ms_);
  log_initial_list(initial_list_.list_received());
}

// --- Takeover and shutdown -------------------------------------------------------------------------------

void Balancer::take_new_connections(int others) {
  if (!downstream_.take_new_connections(static_cast<std::uint32_t>(others)))
    log_(Level::info, "takeover: listener not claimed, new connections are shared with the previous process");
}

void Balancer::limit_to_share(double share) {
  auto share_of = [share](std::size_t total) {
    return static_cast<std::size_t>(share * static_cast<double>(total));
  };
  auto budget = divide_descriptors(share_of(descriptors_));
  pool_.set_max_buffers(share_of(buffers_));
  pool_.set_reserve(reserved_buffers(budget));
  upstreams_.set_max_connections(budget.upstream);
  downstream_.set_limits({.max_served = budget.downstream, .max_overflow = budget.downstream_overflow});
}

void Balancer::yield_to_successor() {
  if (shutdown_.has_handed_over()) return;
  shutdown_.handed_over();
  if (request_filter_) request_filter_->leave();
  downstream_.stop_accepting();
  downstream_.close_after_responses();
}

void Balancer::begin_shutdown() {
  if (!shutdown_.serving()) return;
  bool has_served = downstream_.listening();
  shutdown_.begin(now_ms_, has_served);
  log_shutdown_begun(has_served);
}

void Balancer::log_shutdown_begun(bool has_served) const {
  auto phase = GracefulShutdown::name_of(shutdown_.phase());
  std::string message = "graceful shutdown: serving -> " + std::string(phase);
  if (shutdown_.has_handed_over())
    message += ": another process has taken over";
  else if (!has_served)
    message += ": it has not served yet";
  bool draining = shutdown_.phase() == GracefulShutdown::Phase::draining;
  double drain_ms = draining ? shutdown_.next_due_ms() - now_ms_ : 0;
  log_(Level::info, message, {{"phase", phase}, {"drain_ms", drain_ms}});
}

void Balancer::advance_shutdown() {
  auto actions = shutdown_.advance(now_ms_, downstream_.size());
  if (actions.close_listener) {
    downstream_.stop_accepting();
    downstream_.drain();
  }
  if (actions.fail_unanswered) requests_.fail_unanswered();
  shutdown_.connections_closed(now_ms_, downstream_.size());
}

}  // namespace meadowgauge::proxy
