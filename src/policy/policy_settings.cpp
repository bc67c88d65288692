#include "policy/policy_settings.hpp"

#include <algorithm>

#include "policy/settings_reader.hpp"

namespace meadowgauge {
namespace {

RequestClassSettings read_request_class(SettingsReader& reader, const std::string& under) {
  RequestClassSettings c;
  auto repeat = reader.text(under + "repeat");
  auto group = reader.text(under + "group");
  c.idempotency = repeat == "idempotent"     ? Idempotency::idempotent
                  : repeat == "deduplicated" ? Idempotency::deduplicated
                                             : Idempotency::non_idempotent;
  c.group = group == "all"    ? DeduplicationGroup::all
            : group == "zone" ? DeduplicationGroup::zone
                              : DeduplicationGroup::cell;
  c.key_ttl_ms = reader.number(under + "key_ttl_ms", 0);
  c.target_ms = reader.number(under + "target_latency_ms", 1000);
  c.priority_weight = reader.number(under + "earnings", 1);
  return c;
}

void read_limits(SettingsReader& reader, PolicySettings& s) {
  int attempts = static_cast<int>(reader.number("limits.max_backend_fetches", 1));
  s.max_attempts = std::clamp(attempts, 1, max_attempts);
  s.hedging_enabled = reader.flag("limits.second_copies");
  s.can_cancel = reader.flag("limits.cancelling");
  if (reader.flag("limits.retry_after")) s.max_retry_after_ms = reader.number("limits.max_retry_after_ms", 0);
  s.peer_messages = reader.flag("limits.peer_messages");
}

void read_reports(SettingsReader& reader, PolicySettings& s) {
  s.utilization_column = reader.report_column("inline", "load_share");
  s.depth_column = reader.report_column("inline", "depth");
  if (!reader.flag("limits.probes")) return;
  s.probe_column = reader.report_column("on_probe", "concurrent");
  if (s.probe_column < 0) s.probe_column = reader.report_column("on_probe", "depth");
}

void read_rules(SettingsReader& reader, PolicySettings& s) {
  s.initial_capacity_fraction = std::clamp(reader.number("rules.cold_share", 0.2), 0.01, 1.0);
  s.slow_start_ms = reader.number("rules.warm_after_ms", 20000);
  s.overload_factor = reader.number("rules.overload_factor", 2);
  s.overload_window_ms = reader.number("rules.overload_for_ms", 1500);
  s.ask_within_ms = reader.number("rules.ask_within_ms", 10000);
}

}  // namespace

PolicySettings read_policy_settings(const Settings& settings, std::vector<PolicyEvent>& events) {
  SettingsReader reader(settings, events);
  PolicySettings s;
  int classes = static_cast<int>(reader.number("path_prefixes.count", 0));
  for (int i = 0; i < classes; ++i)
    s.request_classes.push_back(read_request_class(reader, "path_prefixes." + std::to_string(i) + "."));
  if (s.request_classes.empty()) s.request_classes.emplace_back();
  int tenants = static_cast<int>(reader.number("tenants.count", 0));
  for (int i = 0; i < tenants; ++i) {
    auto under = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back(
        {.share = reader.number(under + "share", 1), .quota_rps = reader.number(under + "quota_rps", 0)});
  }
  s.replicas = std::max(1.0, reader.number("replicas_of_me", 1));
  s.own_number = static_cast<int>(reader.number("my_number", 0));
  s.zone = static_cast<int>(reader.number("zone", 0));
  s.zone_count = reader.item_count("zones");
  s.stage = reader.number("stage", 0);
  s.stage_count = reader.item_count("stages");
  s.wire_tick_ms = reader.number("tick_ms", 5);
  read_limits(reader, s);
  read_reports(reader, s);
  read_rules(reader, s);
  s.weighted = reader.text("weights") != "off" && reader.text("weights") != "live";
  s.cross_zone_cost = reader.number("fees.cross_zone", 0);
  s.key_affinity = reader.flag("specifics.warm_keys");
  s.subscribes = reader.text("discovery") == "subscribe";
  return s;
}

}  // namespace meadowgauge
