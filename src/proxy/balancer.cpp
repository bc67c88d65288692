#include "proxy/balancer.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "proxy/descriptor_budget.hpp"
#include "proxy/endpoint/learned_state_names.hpp"
#include "proxy/policy_event_log.hpp"

namespace meadowgauge::proxy {

namespace {

constexpr double sweep_every_ms = 200;

}  // namespace

Balancer::Balancer(transport::Loop& loop, const Setup& setup, Logger log)
    : loop_(loop),
      now_ms_(clock_.now()),
      log_(std::move(log)),
      proxy_settings_(read_proxy_settings(setup.settings, log_)),
      descriptors_(descriptors_beside_admin(setup.descriptors, setup.mgmt.has_value())),
      buffers_(setup.memory_mb * 1024 * 1024 / 2 / transport::buffer_size),
      pool_(buffers_),
      policy_(setup.settings, setup.seed, now_ms_),
      upstreams_({.loop = loop, .buffers = pool_, .due_times = due_, .now_ms = now_ms_},
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
          {.shared = setup.shared, .later = setup.later}),
      discovery_(loop, pool_, due_, now_ms_, setup.discovery, setup.known.seq, setup.seed, log_,
                 watch_terms(setup.settings, log_)),
      endpoints_(proxy_settings_, upstreams_, policy_, log_),
      shutdown_({.longest_client_timeout_ms = proxy_settings_.longest_client_timeout_ms(),
                 .drain_ms = setup.leave_ms}),
      requests_({.settings = proxy_settings_,
                 .now_ms = now_ms_,
                 .due_times = due_,
                 .policy = policy_,
                 .upstreams = upstreams_,
                 .downstream = downstream_,
                 .endpoints = endpoints_,
                 .shutdown = shutdown_,
                 .counters = counters_},
                log_),
      settings_(setup.settings),
      endpoint_list_received_(!setup.discovery),
      tick_at_ms_(now_ms_),
      sweep_at_ms_(now_ms_) {
  counters_.request_classes.resize(proxy_settings_.request_classes.size());
  endpoints_.use_cached(setup.known, now_ms_);
  discovery_.start();
}

// --- A turn ----------------------------------------------------------------------------------------------

void Balancer::run() {
  while (!shutdown_.finished()) {
    loop_.wait(wait_ms());
    now_ms_ = clock_.now();
    loop_.dispatch();
    gather_events();
    requests_.carry_out();
    if (!shutdown_.serving()) advance_shutdown();
    upstreams_.destroy_closed();
    downstream_.destroy_closed();
    discovery_.destroy_closed();
  }
}

// Until something falls due; 0: there is work at hand.
double Balancer::wait_ms() {
  bool idle = !requests_.has_commands() && upstreams_.events().empty() && downstream_.events().empty() &&
              discovery_.updates().empty();
  if (!idle) return 0;
  return std::min({due_.next(), tick_at_ms_, shutdown_.next_due_ms()}) - now_ms_;
}

void Balancer::gather_events() {
  apply_watch_events();
  // Outcomes first: what they free is there for the requests that have just come.
  for (auto& event : std::exchange(upstreams_.events(), {})) requests_.upstream_event(event);
  apply_due_times();
  for (auto& event : std::exchange(downstream_.events(), {})) requests_.downstream_event(event);
  if (now_ms_ >= tick_at_ms_) tick();
}

void Balancer::apply_watch_events() {
  for (auto& update : std::exchange(discovery_.updates(), {})) {
    auto* list = std::get_if<protocol::EndpointList>(&update);
    if (!list) {
      endpoints_.watch_failed(now_ms_);
      continue;
    }
    endpoint_list_received_ = true;
    endpoints_.receive(std::move(*list), now_ms_);
    requests_.endpoints_updated();
  }
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
  // The watch on discovery is kept up all the time, so there is nothing to do when it is asked for.
  for (const auto& event : actions.events) log_policy_event(log_, event, upstreams_.endpoints());
  upstreams_.close_expired_connections();
  upstreams_.stream_held_responses();
  downstream_.retry_accept();
  if (on_tick_) on_tick_();
  if (now_ms_ < sweep_at_ms_) return;
  sweep_at_ms_ = now_ms_ + sweep_every_ms;
  upstreams_.reclaim_indices([this](EndpointIndex endpoint) { return requests_.has_attempted(endpoint); });
  endpoints_.forget_departed();
  pool_.trim();
}

// --- What the program asks -------------------------------------------------------------------------------

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
  std::vector<std::uint32_t> all;
  for (auto endpoint : ejected) all.push_back(endpoints_.server_id(endpoint));
  return all;
}

Metrics Balancer::metrics() const {
  std::vector<std::string> request_classes;
  for (const auto& rules : proxy_settings_.request_classes) request_classes.push_back(rules.name);
  return {.calls = counters_,
          .request_classes = std::move(request_classes),
          .attempts = upstreams_.requests_sent(),
          .listed = upstreams_.endpoints().listed_count(),
          .down = static_cast<std::size_t>(policy_.unavailable_endpoints(now_ms_)),
          .reloads = reloads_,
          .reloads_failed = reloads_failed_};
}

void Balancer::reload(const Setup& setup) {
  ++reloads_;
  log_(Level::info, "configuration read again: " +
                        (setup.discovery ? "discovery at " + setup.discovery->text()
                                         : std::to_string(setup.known.hosts.size()) + " servers listed"));
  if (setup.settings != settings_) log_(Level::info, "changed settings hold from the next start on");
  discovery_.set_agent(setup.discovery);
  if (setup.discovery)
    endpoints_.begin_anew();
  else
    endpoints_.replace(setup.known, now_ms_);
  requests_.endpoints_updated();
}

// --- Processes beside this one, and its end --------------------------------------------------------------

void Balancer::take_new_connections(int others) {
  if (!downstream_.take_new_connections(static_cast<std::uint32_t>(others)))
    log_(Level::info, "new connections are dealt out between this process and the one before it");
}

void Balancer::limit_to_share(double part) {
  auto of = [part](std::size_t all) { return static_cast<std::size_t>(part * static_cast<double>(all)); };
  auto budget = divide_descriptors(of(descriptors_));
  pool_.set_max_buffers(of(buffers_));
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
  if (shutdown_.has_handed_over())
    log_(Level::info, "ending: another process has taken over");
  else
    log_(Level::info, has_served ? "ending: serves on for a while" : "ending: it has not served yet");
  shutdown_.begin(now_ms_, has_served);
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
