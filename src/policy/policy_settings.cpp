#include "policy/policy_settings.hpp"

#include <algorithm>

#include "policy/settings_reader.hpp"

namespace meadowgauge {
namespace {

RequestClassSettings read_request_class(SettingsReader& reader, const std::string& key_prefix) {
  RequestClassSettings request_class;
  auto repeat = reader.text(key_prefix + "repeat");
  auto group = reader.text(key_prefix + "group");
  request_class.idempotency = repeat == "idempotent"     ? Idempotency::idempotent
                              : repeat == "deduplicated" ? Idempotency::deduplicated
                                                         : Idempotency::non_idempotent;
  request_class.group = group == "all"    ? DeduplicationGroup::all
                        : group == "zone" ? DeduplicationGroup::zone
                                          : DeduplicationGroup::cell;
  request_class.key_ttl_ms = reader.number(key_prefix + "key_ttl_ms", 0);
  request_class.latency_objective_ms = reader.number(key_prefix + "target_latency_ms", 1000);
  request_class.priority_weight = reader.number(key_prefix + "earnings", 1);
  return request_class;
}

void read_limits(SettingsReader& reader, PolicySettings& result) {
  int attempts = static_cast<int>(reader.number("limits.max_backend_fetches", 1));
  result.max_attempts = std::clamp(attempts, 1, max_attempts);
  result.hedging_enabled = reader.flag("limits.second_copies");
  result.can_cancel = reader.flag("limits.cancelling");
  if (reader.flag("limits.retry_after"))
    result.max_retry_after_ms = reader.number("limits.max_retry_after_ms", 0);
  result.gossip_enabled = reader.flag("limits.peer_messages");
}

void read_reports(SettingsReader& reader, PolicySettings& result) {
  result.utilization_column = reader.report_column("inline", "load_share");
  result.depth_column = reader.report_column("inline", "depth");
  if (!reader.flag("limits.probes")) return;
  result.probe_column = reader.report_column("on_probe", "concurrent");
  if (result.probe_column < 0) result.probe_column = reader.report_column("on_probe", "depth");
}

void read_rules(SettingsReader& reader, PolicySettings& result) {
  result.initial_capacity_fraction = std::clamp(reader.number("rules.cold_share", 0.2), 0.01, 1.0);
  result.slow_start_ms = reader.number("rules.warm_after_ms", 20000);
  result.overload_factor = reader.number("rules.overload_factor", 2);
  result.overload_window_ms = reader.number("rules.overload_for_ms", 1500);
  result.subscribe_within_ms = reader.number("rules.ask_within_ms", 10000);
}

}  // namespace

PolicySettings read_policy_settings(const Settings& settings, std::vector<PolicyEvent>& events) {
  SettingsReader reader(settings, events);
  PolicySettings result;
  int class_count = static_cast<int>(reader.number("path_prefixes.count", 0));
  for (int i = 0; i < class_count; ++i)
    result.request_classes.push_back(read_request_class(reader, "path_prefixes." + std::to_string(i) + "."));
  if (result.request_classes.empty()) result.request_classes.emplace_back();
  int tenants = static_cast<int>(reader.number("tenants.count", 0));
  for (int i = 0; i < tenants; ++i) {
    auto key_prefix = "tenants." + std::to_string(i) + ".";
    result.tenants.push_back({.share = reader.number(key_prefix + "share", 1),
                              .quota_rps = reader.number(key_prefix + "quota_rps", 0)});
  }
  result.replicas = std::max(1.0, reader.number("replicas_of_me", 1));
  result.replica_index = static_cast<int>(reader.number("my_number", 0));
  result.zone = static_cast<int>(reader.number("zone", 0));
  result.zone_count = reader.item_count("zones");
  result.stage = reader.number("stage", 0);
  result.stage_count = reader.item_count("stages");
  result.wire_tick_ms = reader.number("tick_ms", 5);
  read_limits(reader, result);
  read_reports(reader, result);
  read_rules(reader, result);
  result.uses_list_weights = reader.text("weights") != "off" && reader.text("weights") != "live";
  result.cross_zone_cost = reader.number("fees.cross_zone", 0);
  result.key_affinity = reader.flag("specifics.warm_keys");
  result.uses_subscription = reader.text("discovery") == "subscribe";
  return result;
}

}  // namespace meadowgauge
