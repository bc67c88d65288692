#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "testbed/balancer_config.hpp"
#include "testbed/model/random.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

using nlohmann::json;

int balancers_in_zone(const TierSpec& tier, int balancer) {
  const int zones = static_cast<int>(tier.zones.size());
  int count = 0;
  for (int b = 0; b < tier.balancers; ++b) count += b % zones == balancer % zones ? 1 : 0;
  return count;
}

double normalized_share(const Experiment& experiment, const TenantSpec& tenant) {
  double sum = 0;
  for (const auto& other : experiment.tenants) sum += other.share;
  return sum > 0 ? tenant.share / sum : 1;
}

std::string balancer_seed(std::uint64_t seed, int tier, int balancer) {
  const auto number = static_cast<std::uint64_t>(tier) * 64 + static_cast<std::uint64_t>(balancer);
  return formatted("%016llx", printable(derive_seed(seed, "balancer", number)));
}

namespace {

json request_classes_json(const Experiment& experiment) {
  constexpr std::array idempotency_names{"idempotent", "deduplicated", "at_most_once"};
  constexpr std::array scope_names{"all", "zone", "cell"};
  json classes = json::array();
  for (const auto& spec : experiment.request_classes)
    classes.push_back({{"name", spec.name},
                       {"repeat", idempotency_names[static_cast<std::size_t>(spec.idempotency)]},
                       {"group", scope_names[static_cast<std::size_t>(spec.scope)]},
                       {"key_ttl_ms", spec.deduplication_window_ms},
                       {"target_latency_ms", spec.latency_objective_ms},
                       {"client_timeout_ms", spec.timeout_ms},
                       {"earnings", spec.priority_weight}});
  return classes;
}

json tenants_json(const Experiment& experiment) {
  json tenants = json::array();
  for (const auto& tenant : experiment.tenants)
    tenants.push_back({{"name", tenant.name},
                       {"share", normalized_share(experiment, tenant)},
                       {"quota_rps", tenant.quota}});
  return tenants;
}

json kinds_json(const TierSpec& tier) {
  json kinds = json::array();
  for (const auto& kind : tier.kinds) kinds.push_back(kind.name);
  if (kinds.empty()) kinds.push_back("m");
  return kinds;
}

json limits_json(const Experiment& experiment, const TierSpec& tier) {
  const auto& limits = experiment.limits;
  return {{"max_backend_fetches", limits.max_attempts},
          {"second_copies", limits.second_copies},
          {"cancelling", limits.cancelling},
          {"probes", limits.probes},
          {"retry_after", limits.retry_after_ms > 0},
          {"max_retry_after_ms", limits.retry_after_ms},
          {"conn_idle_ms", tier.idle_ms},
          {"dial_timeout_ms", 1000.0}};
}

json rules_json(const Experiment& experiment, const ServerModelSpec& server) {
  return {{"stop_sending_within_ms", experiment.drain_grace_ms},
          {"cold_share", server.slow_start_speed},
          {"warm_after_ms", server.slow_start_ms},
          {"overload_factor", server.overload_factor},
          {"overload_for_ms", server.overload_ms}};
}

json settings_json(const Experiment& experiment, int tier_index, int balancer) {
  const auto& tier = experiment.tiers[static_cast<std::size_t>(tier_index)];
  json stages = json::array();
  for (const auto& each : experiment.tiers) stages.push_back(each.name);
  const auto& columns = tier.load_report_columns;
  return {{"discovery", "automatic"},
          {"zones", tier.zones},
          {"skus", kinds_json(tier)},
          {"stage", tier_index},
          {"stages", stages},
          {"replicas_of_me", tier_index == 0 ? balancers_in_zone(tier, balancer) : tier.balancers},
          {"zone", balancer % static_cast<int>(tier.zones.size())},
          {"weights", "nominal"},
          {"tick_ms", 5.0},
          {"path_prefixes", request_classes_json(experiment)},
          {"tenants", tenants_json(experiment)},
          {"report", {{"how", columns.empty() ? "off" : "inline"}, {"columns", columns}}},
          {"rules", rules_json(experiment, tier.server)},
          {"limits", limits_json(experiment, tier)}};
}

// Sets the nested setting at `path`, in the form `a.b.c`. A value that is not valid JSON becomes a string.
void override_setting(json& settings, const std::string& path, const std::string& value) {
  std::string pointer = "/" + path;
  std::replace(pointer.begin(), pointer.end(), '.', '/');
  auto parsed = json::parse(value, nullptr, false);
  settings[json::json_pointer(pointer)] = parsed.is_discarded() ? json(value) : parsed;
}

}  // namespace

std::string balancer_config_json(const Experiment& experiment, const BuildSpec& build, int tier, int balancer,
                                 std::uint64_t seed, const std::string& endpoint_list) {
  json settings = settings_json(experiment, tier, balancer);
  for (const auto& [path, value] : build.settings) override_setting(settings, path, value);
  const auto& limits = experiment.limits;
  json config = {{"name", "b" + std::to_string(balancer)},
                 {"seed", balancer_seed(seed, tier, balancer)},
                 {"limits", {{"cores", 1.0}, {"memory_mb", limits.memory_mb}, {"sockets", limits.sockets}}},
                 {"known", json::parse(endpoint_list)},
                 {"settings", settings}};
  return config.dump(1);
}

}  // namespace meadowgauge::testbed
