#include <algorithm>
#include <cmath>

#include "testbed/report.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace {

// If the 99th percentile of the send delay exceeds this, the measured latencies are mostly the load
// generator's.
constexpr double max_send_delay_ms = 50;
constexpr int max_violations_shown = 5;

std::string totals(const Experiment& experiment, const Report& report) {
  const auto& metrics = report.metrics;
  auto text = formatted(
      "%s, build %s, seed %llu: %llu requests, %.2f%% within objective, %.2f%% late, %.2f%% rejected, "
      "%.2f%% failed, %.2f%% unserved\n",
      experiment.name.c_str(), report.build.c_str(), printable(report.seed), printable(metrics.requests),
      percent_of_requests(metrics.within_objective, metrics), percent_of_requests(metrics.late, metrics),
      percent_of_requests(metrics.rejected, metrics), percent_of_requests(metrics.failed, metrics),
      percent_of_requests(metrics.unserved, metrics));
  text += formatted(
      "  weighted success %.4f (worst 2 s %.4f), p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, %.3f attempts per "
      "request, upstream attempts per request by tier",
      metrics.weighted_success, metrics.worst_weighted_success, metrics.latency.quantile(0.5),
      metrics.latency.quantile(0.99), metrics.latency.quantile(0.999), metrics.attempts_per_request);
  for (double attempts : metrics.attempts_per_tier) text += formatted(" %.3f", attempts);
  return text +
         formatted(
             "\n  balancers %.0f us CPU per request; load generator %.0f us CPU per attempt, send delay "
             "p50 %.2f ms, max %.1f ms\n",
             metrics.balancer_cpu_us, metrics.load_generator_cpu_us, metrics.send_delay_p50_ms,
             metrics.send_delay_max_ms);
}

std::string tenants(const RunMetrics& metrics) {
  std::string text;
  if (metrics.tenants.size() < 2) return text;
  for (const auto& tenant : metrics.tenants) {
    double received = std::max<double>(1, static_cast<double>(tenant.received));
    text += formatted("  tenant %s: %.1f%% succeeded of %llu, p99 %.0f ms\n", tenant.name.c_str(),
                      100.0 * static_cast<double>(tenant.succeeded) / received, printable(tenant.received),
                      tenant.latency.quantile(0.99));
  }
  return text;
}

std::string limits(const RunMetrics& metrics) {
  std::string text;
  for (const auto& limit : metrics.limits)
    text += formatted("  limit %s of %.4g/s: admitted %.1f/s, worst window %.0f requests %s the bound%s\n",
                      limit.name.c_str(), limit.rate, limit.mean, std::abs(limit.max_excess),
                      limit.max_excess > 0 ? "over" : "under", limit.max_excess > 0 ? ": EXCEEDED" : "");
  if (!metrics.limits.empty())
    text += formatted("  datagrams: %.1f/s and %.0f bytes/s per balancer\n", metrics.datagrams_per_s,
                      metrics.datagram_bytes_per_s);
  return text;
}

std::string warnings(const RunMetrics& metrics) {
  std::string text;
  if (metrics.stopped) text += "  STOPPED EARLY: requests in flight count as unserved\n";
  if (metrics.send_delay_p99_ms > max_send_delay_ms)
    text += "  LOAD GENERATOR OVERLOADED: its send delay distorts these metrics\n";
  return text;
}

std::string recoveries(const RunMetrics& metrics) {
  std::string text;
  for (const auto& recovery : metrics.recoveries) {
    text += "  " + recovery.fault;
    text += formatted(" at %.1f s: share within objective %.3f before, %.3f during, ",
                      recovery.from_ms / 1000, recovery.share_before, recovery.share_during);
    text += recovery.after_ms ? formatted("recovered after %.1f s\n", *recovery.after_ms / 1000)
                              : std::string("not recovered in this run\n");
  }
  return text;
}

std::string verdict(const Verdict& verdict) {
  std::string text;
  for (int i = 0; i < rule_count; ++i) {
    text += "  " + std::string(rule_name(static_cast<Rule>(i))) + ": ";
    text +=
        verdict.count[i] == 0 ? "kept\n" : formatted("VIOLATED %llu times\n", printable(verdict.count[i]));
  }
  int shown = 0;
  for (const auto& violation : verdict.violations)
    if (++shown <= max_violations_shown) text += "    " + violation.description + "\n";
  return text;
}

}  // namespace

std::string text_report(const Experiment& experiment, const Report& report) {
  const auto& metrics = report.metrics;
  return totals(experiment, report) + tenants(metrics) + limits(metrics) + warnings(metrics) +
         recoveries(metrics) + verdict(metrics.verdict);
}

}  // namespace meadowgauge::testbed
