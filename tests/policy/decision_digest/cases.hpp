// The cases of the decision digest: settings, load, and the expected digest of all days. A commit that
// changes a decision on purpose replaces these constants and says so.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <vector>

#include "policy/policy.hpp"

namespace meadowgauge::test::decision_digest {

constexpr int default_steps = 500;
constexpr int long_steps = 3000;

// Settings and load of the generated days, and their expected digest.
struct DigestCase {
  const char* name;
  Settings settings;
  int servers;
  double arrivals_per_ms;
  std::uint64_t expected;         // digest over all seeds
  bool starts_in_outage = false;  // all servers reject for most of the day
  int day_steps = default_steps;
};

// Returns `base` with the values of `overrides` added or overwritten.
inline Settings merge_settings(Settings base, const Settings& overrides) {
  for (const auto& [key, value] : overrides) base[key] = value;
  return base;
}

// Six request classes that cover all `repeat` and `group` values; no load reports.
inline Settings base_settings() {
  Settings s{{"path_prefixes.count", "6"},
             {"limits.max_backend_fetches", "4"},
             {"limits.second_copies", "false"},
             {"limits.cancelling", "true"},
             {"limits.retry_after", "true"},
             {"limits.max_retry_after_ms", "3000"},
             {"report.how", "off"},
             {"weights", "nominal"},
             {"zone", "1"},
             {"rules.warm_after_ms", "1500"},
             {"rules.cold_share", "0.3"},
             {"tick_ms", "5"}};
  const char* repeats[] = {"idempotent", "at_most_once", "deduplicated",
                           "idempotent", "deduplicated", "deduplicated"};
  const char* groups[] = {"all", "all", "all", "all", "zone", "cell"};
  for (int i = 0; i < 6; ++i) {
    auto prefix = "path_prefixes." + std::to_string(i) + ".";
    s[prefix + "repeat"] = repeats[i];
    s[prefix + "group"] = groups[i];
    s[prefix + "key_ttl_ms"] = i == 5 ? "500" : "4000";
    s[prefix + "target_latency_ms"] = i == 3 ? "100" : "400";
    s[prefix + "earnings"] = i == 0 ? "4" : "1";
  }
  return s;
}

inline const Settings inline_reports{{"report.how", "inline"}, {"report.columns", "load_share,depth"}};
inline const Settings share_reports{{"report.how", "inline"}, {"report.columns", "load_share"}};
inline const Settings probe_reports{
    {"report.how", "on_probe"}, {"report.columns", "load_share,concurrent"}, {"limits.probes", "true"}};
inline const Settings zones{{"zones", "a,b,c"}, {"fees.cross_zone", "0.05"}};
inline const Settings subscribing{{"discovery", "subscribe"}, {"rules.ask_within_ms", "3000"}};
inline const Settings gossiping{{"limits.peer_messages", "true"}, {"my_number", "3"}};
inline const Settings hedging{{"limits.second_copies", "true"}};
inline const Settings hundred_replicas{{"replicas_of_me", "100"}};
inline const Settings second_stage{{"stages", "front,middle,store"}, {"stage", "1"}};
inline const Settings tenants{{"tenants.count", "3"},       {"tenants.0.share", "0.2"},
                              {"tenants.0.quota_rps", "5"}, {"tenants.1.share", "0.3"},
                              {"tenants.1.quota_rps", "9"}, {"tenants.2.share", "0.5"}};
inline const Settings unreadable{{"tick_ms", "five"}, {"rules.cold_share", "nan"}, {"replicas_of_me", ""}};

// The base settings with all parts applied in order.
inline Settings base_settings_with(std::initializer_list<Settings> parts) {
  Settings s = base_settings();
  for (const auto& part : parts) s = merge_settings(s, part);
  return s;
}

inline std::vector<DigestCase> digest_cases() {
  return {
      {"plain", base_settings(), 6, 0.1, 0xde4724f627400a02},
      {"without_settings", {{"report.how", "off"}}, 5, 0.1, 0x4a0b120eece26066},
      {"unreadable", base_settings_with({unreadable, subscribing}), 5, 0.1, 0x4bb040a44ecdd95f},
      {"overload", base_settings(), 4, 0.6, 0x976ce08b3e99a97f},
      {"outage", base_settings(), 4, 1, 0x31ba5583442b0d63, true},
      {"long_day", base_settings(), 5, 0.05, 0xe4eb6c98cffc37f3, false, long_steps},
      {"second_copies", base_settings_with({hedging}), 6, 0.1, 0x1648a6baf9f0b7},
      {"subscribing", base_settings_with({subscribing, hedging}), 6, 0.1, 0x5f8039cd78bddf29},
      {"tenants", base_settings_with({tenants}), 4, 0.4, 0xfda784a1223cc9fe},
      {"zones", base_settings_with({zones, share_reports}), 9, 0.2, 0x1c5edf563f39a9e},
      {"zones_without_reports", base_settings_with({zones}), 9, 0.2, 0x4927e0d8b5c4aad4},
      {"inline_reports", base_settings_with({inline_reports}), 6, 0.2, 0xf4bc6c54efbdb5f8},
      {"gossip", base_settings_with({inline_reports, gossiping, hundred_replicas}), 8, 0.1,
       0xb9e6d311ce11b579},
      {"gossip_of_four", base_settings_with({inline_reports, gossiping, {{"replicas_of_me", "4"}}, hedging}),
       8, 0.2, 0x4ffab61b6e9cbf36},
      {"warm_keys", base_settings_with({inline_reports, {{"specifics.warm_keys", "true"}}}), 8, 0.2,
       0x38ee56c75061b14a},
      {"warm_keys_gossip_zones",
       base_settings_with(
           {inline_reports, gossiping, hundred_replicas, zones, {{"specifics.warm_keys", "true"}}}),
       12, 0.1, 0xe4b9f6518fca949f},
      {"probes", base_settings_with({probe_reports, hedging}), 8, 0.2, 0x27c60a8f75410013},
      {"probes_zones_hundred", base_settings_with({probe_reports, hundred_replicas, zones}), 30, 0.2,
       0xaf042bfbb201a3fb},
      {"hundred_replicas", base_settings_with({hundred_replicas, share_reports}), 40, 0.1,
       0x5444e2403f4eadf3},
      {"second_stage", base_settings_with({second_stage, hedging, share_reports}), 6, 0.2,
       0x49a7035145878137},
      {"everything",
       base_settings_with(
           {probe_reports, zones, subscribing, hedging, tenants, second_stage, {{"stage", "0"}}}),
       9, 0.4, 0x611959c7d18440f1},
      {"live_weights", base_settings_with({{{"weights", "live"}, {"limits.cancelling", "false"}}}), 6, 0.3,
       0x4d2fa8d8ecdf9d85},
  };
}

}  // namespace meadowgauge::test::decision_digest
