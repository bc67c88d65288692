#include <algorithm>
#include <nlohmann/json.hpp>

#include "testbed/report.hpp"

namespace meadowgauge::testbed {

using nlohmann::json;

namespace {

constexpr std::size_t max_violations_listed = 50;

json to_json(const Histogram& h) {
  return {{"count", h.count()},        {"mean_ms", h.mean()},        {"p50_ms", h.quantile(0.5)},
          {"p90_ms", h.quantile(0.9)}, {"p99_ms", h.quantile(0.99)}, {"p999_ms", h.quantile(0.999)},
          {"max_ms", h.max()}};
}

json to_json(const OutcomeRow& row) {
  return {{"name", row.name},
          {"received", row.received},
          {"succeeded", row.succeeded},
          {"rejected", row.rejected},
          {"failed", row.failed},
          {"other", row.other},
          {"latency", to_json(row.latency)},
          {"cpu_ms", row.cpu_ms},
          {"peak_kb", row.peak_kb}};
}

json to_json(const LimitRow& row) {
  return {{"name", row.name},
          {"rate", row.rate},
          {"burst", row.burst},
          {"admitted_per_s", row.mean},
          {"max_excess", row.max_excess},
          {"slices", row.slices},
          {"by_balancer", row.by}};
}

json to_json(const Slice& slice) {
  return {{"at_ms", slice.at_ms},
          {"offered", slice.offered},
          {"within_objective", slice.within_objective},
          {"late", slice.late},
          {"rejected", slice.rejected},
          {"failed", slice.failed},
          {"p50_ms", slice.latency.quantile(0.5)},
          {"p99_ms", slice.latency.quantile(0.99)}};
}

json to_json(const Recovery& recovery) {
  return {{"fault", recovery.fault},
          {"from_ms", recovery.from_ms},
          {"until_ms", recovery.until_ms},
          {"share_before", recovery.share_before},
          {"share_during", recovery.share_during},
          {"tail_before_ms", recovery.tail_before_ms},
          {"recovered_after_ms", recovery.after_ms ? json(*recovery.after_ms) : json(nullptr)}};
}

template <class T>
json to_json(const std::vector<T>& items) {
  json list = json::array();
  for (const auto& item : items) list.push_back(to_json(item));
  return list;
}

json rules_json(const Verdict& verdict) {
  json rules = json::object();
  for (int i = 0; i < rule_count; ++i)
    rules[std::string(rule_name(static_cast<Rule>(i)))] = {{"kept", verdict.count[i] == 0},
                                                           {"violations", verdict.count[i]}};
  return rules;
}

json violations_json(const Verdict& verdict) {
  json list = json::array();
  auto listed = std::min(verdict.violations.size(), max_violations_listed);
  for (std::size_t i = 0; i < listed; ++i) {
    const auto& violation = verdict.violations[i];
    list.push_back({{"rule", rule_name(violation.rule)}, {"description", violation.description}});
  }
  return list;
}

json to_json(const Report& report) {
  const auto& metrics = report.metrics;
  return {{"build", report.build},
          {"seed", report.seed},
          {"rules", rules_json(metrics.verdict)},
          {"violations", violations_json(metrics.verdict)},
          {"excused_by_planned_kills", metrics.verdict.excused},
          {"late_by_client_delay", metrics.verdict.client_delays.size()},
          {"stopped", metrics.stopped},
          {"requests", metrics.requests},
          {"within_objective", metrics.within_objective},
          {"late", metrics.late},
          {"rejected", metrics.rejected},
          {"failed", metrics.failed},
          {"unserved", metrics.unserved},
          {"weighted_success", metrics.weighted_success},
          {"worst_2s_weighted_success", metrics.worst_weighted_success},
          {"goodput_per_s", metrics.goodput},
          {"attempts_per_request", metrics.attempts_per_request},
          {"upstream_attempts_per_request", metrics.attempts_per_tier},
          {"latency", to_json(metrics.latency)},
          {"recoveries", to_json(metrics.recoveries)},
          {"balancers", to_json(metrics.balancers)},
          {"servers", to_json(metrics.servers)},
          {"tenants", to_json(metrics.tenants)},
          {"request_classes", to_json(metrics.request_classes)},
          {"load_generator",
           {{"cpu_us_per_attempt", metrics.load_generator_cpu_us},
            {"send_delay_p50_ms", metrics.send_delay_p50_ms},
            {"send_delay_p99_ms", metrics.send_delay_p99_ms},
            {"send_delay_max_ms", metrics.send_delay_max_ms},
            {"longest_turn_ms", metrics.load_generator_turns.work_ms},
            {"longest_turn_delay_ms", metrics.load_generator_turns.late_ms},
            {"servers_longest_turn_ms", metrics.servers_turns.work_ms},
            {"servers_longest_turn_delay_ms", metrics.servers_turns.late_ms}}},
          {"balancer_cpu_us_per_request", metrics.balancer_cpu_us},
          {"fleet_limits", to_json(metrics.limits)},
          {"datagrams_per_s_per_balancer", metrics.datagrams_per_s},
          {"datagram_bytes_per_s_per_balancer", metrics.datagram_bytes_per_s},
          {"slices", to_json(metrics.slices)}};
}

}  // namespace

std::string json_report(const Experiment& experiment, const std::vector<Report>& reports) {
  json runs = json::array();
  for (const auto& report : reports) runs.push_back(to_json(report));
  json all = {{"experiment", experiment.name},
              {"about", experiment.about},
              {"seconds", experiment.seconds},
              {"runs", runs}};
  return all.dump(1) + "\n";
}

}  // namespace meadowgauge::testbed
