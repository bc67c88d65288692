#include "testbed/server_fleet.hpp"

#include <algorithm>

#include "testbed/outgoing_request.hpp"

namespace meadowgauge::testbed {

namespace {

std::string server_name(int tier, int server) {
  return "s-" + std::to_string(tier) + "-" + std::to_string(server);
}

// Returns the server's index within a named random stream, unique over all tiers.
std::uint64_t stream_number(int tier, int server) {
  return static_cast<std::uint64_t>(tier) * 10000 + static_cast<std::uint64_t>(server);
}

}  // namespace

ServerFleet::ServerFleet(TestbedContext& context, const Experiment& experiment, std::uint64_t seed,
                         const AddressPlan& addresses)
    : Component(context),
      experiment_(experiment),
      seed_(seed),
      addresses_(addresses),
      rng_(derive_seed(seed, "fleet")) {
  if (experiment.fleet)
    datagram_relay_ = std::make_unique<DatagramRelay>(
        context, experiment.tiers.front().balancers,
        [&](int balancer) { return addresses.datagrams(balancer); },
        [&](int balancer, int peer) { return addresses.peer(balancer, peer); }, experiment.datagram_faults,
        seed);
  for (int tier = 0; tier < static_cast<int>(experiment.tiers.size()); ++tier) create_tier(tier);
}

ServerFleet::~ServerFleet() = default;

void ServerFleet::create_tier(int tier) {
  tiers_.emplace_back();
  front_balancers_.emplace_back(std::vector<int>(static_cast<std::size_t>(spec(tier).balancers), tier),
                                experiment_.front_detection_delay_ms);
  std::vector<DiscoveryEndpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(spec(tier).servers));
  for (int server_index = 0; server_index < spec(tier).servers; ++server_index)
    endpoints.push_back(create_server(tier, server_index));
  create_discovery(tier, endpoints);
  if (tier + 1 < static_cast<int>(experiment_.tiers.size())) create_client(tier);
}

// Draws a server's kind at random by the kinds' shares, so that each zone has servers of all kinds. Returns
// null if the tier has no kinds.
const ServerKindSpec* ServerFleet::draw_kind(int tier, int server) const {
  const auto& kinds = spec(tier).kinds;
  double sum = 0;
  for (const auto& kind : kinds) sum += kind.share;
  double left = sum * uniform_of(derive_seed(seed_, "kind", stream_number(tier, server)));
  const ServerKindSpec* drawn = nullptr;
  for (const auto& kind : kinds) {
    drawn = &kind;
    if ((left -= kind.share) < 0) break;
  }
  return drawn;
}

DiscoveryEndpoint ServerFleet::create_server(int tier, int server_index) {
  const auto& tier_spec = spec(tier);
  const auto* kind = draw_kind(tier, server_index);
  Server::Config config{.tier = tier,
                        .server = server_index,
                        .seed = derive_seed(seed_, "backend", stream_number(tier, server_index)),
                        .idle_ms = tier_spec.idle_ms,
                        .speed = kind ? kind->speed : 1,
                        .load_report_columns = tier_spec.load_report_columns};
  tier_state(tier).servers.push_back(
      std::make_unique<Server>(context_, *this, config, tier_spec.server, history_.server_records));
  start_server(tier, server_index, false);
  DiscoveryEndpoint endpoint{
      .host = server_name(tier, server_index),
      .zone = tier_spec.zones[static_cast<std::size_t>(experiment_.zone_of(tier, server_index))],
      .kind = kind ? kind->name : "m",
      .block = tier_spec.block > 0 ? server_index / tier_spec.block : server_index};
  for (int b = 0; b < tier_spec.balancers; ++b) {
    auto address =
        tier_spec.relays ? addresses_.relay(tier, server_index, b) : addresses_.server(tier, server_index, b);
    endpoint.addresses.push_back(address.text());
  }
  return endpoint;
}

void ServerFleet::create_discovery(int tier, const std::vector<DiscoveryEndpoint>& endpoints) {
  std::vector<transport::Address> listen_addresses;
  listen_addresses.reserve(static_cast<std::size_t>(spec(tier).balancers));
  for (int b = 0; b < spec(tier).balancers; ++b) listen_addresses.push_back(addresses_.discovery(tier, b));
  auto on_notified = [this, tier](int balancer, int server, DiscoveryEndpoint::Health health) {
    bool drains = health != DiscoveryEndpoint::Health::active;
    history_.notifications.push_back({tier, balancer, server, drains, context_.now_ms});
  };
  tier_state(tier).discovery =
      std::make_unique<Discovery>(context_, listen_addresses, endpoints, on_notified);
}

void ServerFleet::create_client(int tier) {
  std::vector<HttpClient::Target> targets;
  targets.reserve(static_cast<std::size_t>(spec(tier + 1).balancers));
  for (int b = 0; b < spec(tier + 1).balancers; ++b)
    targets.push_back({addresses_.balancer(tier + 1, b), tier + 1});
  tier_state(tier).client =
      std::make_unique<HttpClient>(context_, std::move(targets), *this, HttpClient::Options{});
}

std::pair<std::uint64_t, std::uint64_t> ServerFleet::datagrams() const {
  if (!datagram_relay_) return {};
  return {datagram_relay_->datagrams(), datagram_relay_->bytes()};
}

void ServerFleet::start_server(int tier, int server_index, bool slow_start) {
  std::vector<transport::Address> listen_addresses;
  listen_addresses.reserve(static_cast<std::size_t>(spec(tier).balancers));
  for (int b = 0; b < spec(tier).balancers; ++b)
    listen_addresses.push_back(addresses_.server(tier, server_index, b));
  server(tier, server_index).start(listen_addresses, slow_start);
}

std::string ServerFleet::endpoint_list(int tier, int balancer) const {
  return tiers_[static_cast<std::size_t>(tier)].discovery->complete_list(balancer);
}

std::vector<FaultInjection> ServerFleet::injections_for(int tier, int server_index) const {
  std::vector<FaultInjection> injections;
  for (const auto& injection : experiment_.injections)
    if (injection.target.empty() || injection.target == server_name(tier, server_index))
      injections.push_back(injection);
  return injections;
}

void ServerFleet::create_relays(int tier, double begin_ms) {
  auto& at = tier_state(tier);
  for (int server_index = 0; server_index < spec(tier).servers; ++server_index) {
    auto injections = injections_for(tier, server_index);
    for (int b = 0; b < spec(tier).balancers; ++b) {
      const auto number = static_cast<std::uint64_t>(server_index) * 64 + static_cast<std::uint64_t>(b);
      auto seed = derive_seed(seed_, "plan", number);
      auto& plan = at.plans.emplace_back(std::make_unique<InjectionPlan>(injections, seed));
      at.relays.push_back(std::make_unique<Relay>(context_, addresses_.relay(tier, server_index, b),
                                                  addresses_.server(tier, server_index, b), *plan, begin_ms));
    }
  }
}

void ServerFleet::begin(double at_ms) {
  begin_ms_ = at_ms;
  if (datagram_relay_) datagram_relay_->begin(at_ms);
  for (int tier = 0; tier < static_cast<int>(experiment_.tiers.size()); ++tier)
    if (spec(tier).relays) create_relays(tier, at_ms);
  actions_ = schedule_actions(experiment_, seed_);
  // BalancerProcesses applies the actions on balancers.
  std::erase_if(actions_, [](const Action& action) { return action.targets_balancer(); });
  next_action_ = 0;
  on_timer(0);
}

void ServerFleet::on_timer(std::uint64_t) {
  while (next_action_ < actions_.size() && begin_ms_ + actions_[next_action_].at_ms <= context_.now_ms)
    apply_action(actions_[next_action_++]);
  bool has_more = next_action_ < actions_.size();
  set_timer(0, timer_, has_more ? begin_ms_ + actions_[next_action_].at_ms : transport::DueTimes::none);
}

void ServerFleet::announce(int tier, int server_index, DiscoveryEndpoint::Health health) {
  std::vector<double> delays_ms;
  delays_ms.reserve(static_cast<std::size_t>(spec(tier).balancers));
  for (int b = 0; b < spec(tier).balancers; ++b)
    delays_ms.push_back(spec(tier).notification_delay_ms * (1 + uniform(rng_)));
  bool active = health == DiscoveryEndpoint::Health::active;
  tier_state(tier).discovery->update(server_index, health,
                                     active ? server(tier, server_index).started_at_ms() : 0, delays_ms);
}

void ServerFleet::apply_action(const Action& action) {
  using Kind = Action::Kind;
  using Health = DiscoveryEndpoint::Health;
  const int tier = action.tier;
  const int target = action.target_index;
  switch (action.kind) {
    case Kind::discovery_silent:
      return tier_state(tier).discovery->set_silent(action.value > 0);
    case Kind::stop:
      return server(tier, target).stop();
    case Kind::start_in_slow_start:
      return start_server(tier, target, true);
    case Kind::announce_draining:
      return announce(tier, target, Health::leaving);
    case Kind::announce_removed:
      return announce(tier, target, Health::left);
    case Kind::announce_active:
      return announce(tier, target, Health::active);
    default:
      return apply_to_model(action);
  }
}

void ServerFleet::apply_to_model(const Action& action) {
  using Kind = Action::Kind;
  auto& at = server(action.tier, action.target_index);
  auto* model = at.model();
  if (!model) return;  // the server is stopped
  if (action.kind == Kind::drain) model->drain(action.value > 0);
  if (action.kind == Kind::slow) model->slow(action.value > 0 ? action.value : 1);
  if (action.kind == Kind::fail) model->fail(action.value);
  if (action.kind == Kind::silent) model->silent(action.value > 0);
  if (action.kind == Kind::stall) model->stall(begin_ms_ + action.value);
  at.on_model_changed();
}

const RequestClassSpec* ServerFleet::request_class(std::string_view name) {
  for (const auto& spec : experiment_.request_classes)
    if (spec.name == name) return &spec;
  return nullptr;
}

std::shared_ptr<DeduplicationCache> ServerFleet::deduplication_cache(const RequestClassSpec& request_class,
                                                                     int tier, int server_index) {
  int block = spec(tier).block;
  std::string name = request_class.name + "/";
  if (request_class.scope == DeduplicationScope::zone)
    name += std::to_string(experiment_.zone_of(tier, server_index));
  if (request_class.scope == DeduplicationScope::block)
    name += block > 0 ? std::to_string(server_index / block) : "s" + std::to_string(server_index);
  auto& cache = tier_state(tier).deduplication_caches[name];
  if (!cache) cache = std::make_shared<DeduplicationCache>();
  return cache;
}

bool ServerFleet::call(Server& from, JobId job, const RequestClassSpec& request_class,
                       std::string_view parent_id, int number, double deadline_ms) {
  const auto* called_class = this->request_class(request_class.downstream_class);
  int tier = from.tier();
  auto* client = tier_state(tier).client.get();
  if (!called_class || !client || deadline_ms - context_.now_ms < 1) return false;
  std::string id(parent_id);
  id += "c" + std::to_string(number) + ".1";
  std::uint64_t token = history_.attempts.size();
  calls_[token] = {&from, job};
  history_.attempts.push_back(
      {.id = id,
       .request = token,
       .tier = tier + 1,
       .request_class = static_cast<int>(called_class - experiment_.request_classes.data()),
       .intended_ms = context_.now_ms,
       .deadline_ms = deadline_ms});
  auto message = serialize({.request_class = called_class,
                            .id = id,
                            .key = id,
                            .tenant = experiment_.tenants.front().name,
                            .budget_ms = deadline_ms - context_.now_ms});
  client->send(token, tier + 1, message, std::move(id), deadline_ms);
  return true;
}

void ServerFleet::on_result(std::uint64_t token, const HttpClient::Result& result) {
  auto it = calls_.find(token);
  if (it == calls_.end()) return;
  auto call = it->second;
  calls_.erase(it);
  auto& attempt = history_.attempts[token];
  attempt.outcome = result.outcome;
  attempt.status = result.status;
  attempt.balancer = result.target;
  attempt.written_ms = result.written_ms;
  attempt.ended_ms = result.ended_ms;
  attempt.received_by_ms = result.received_by_ms;
  attempt.arrived_ms = result.arrived_ms;
  attempt.write_delay_ms = result.write_delay_ms;
  attempt.turn_late_ms = result.turn_late_ms;
  attempt.turn_gap_ms = result.turn_gap_ms;
  call.from->on_call_finished(call.job, result.outcome);
}

void ServerFleet::on_extra_bytes(std::uint64_t token) { history_.attempts[token].extra_bytes = true; }

int ServerFleet::pick_target(int group) {
  for (const auto& event : balancer_events_.take()) {
    auto& front = front_balancers_[static_cast<std::size_t>(event.tier)];
    event.up ? front.mark_up(event.balancer) : front.mark_down(event.balancer, context_.now_ms);
  }
  return front_balancers_[static_cast<std::size_t>(group)].pick(group, context_.now_ms);
}

void ServerFleet::on_server_crashed(int tier, int server_index) {
  history_.server_crashes.push_back({tier, server_index, context_.now_ms});
  announce(tier, server_index, DiscoveryEndpoint::Health::left);
}

std::vector<InjectedFault> ServerFleet::injected_faults() const {
  std::vector<InjectedFault> all;
  for (const auto& tier : tiers_)
    for (const auto& relay : tier.relays) {
      const auto& injected = relay->injected();
      all.insert(all.end(), injected.begin(), injected.end());
    }
  return all;
}

}  // namespace meadowgauge::testbed
