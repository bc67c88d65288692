#include "testbed/comparison.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace {

// A compared metric: how it is shown, and its value in a run.
struct Metric {
  const char *name, *unit;
  double (*value_of)(const RunMetrics&);
};

// Returns the mean recovery time over all faults. A fault without recovery counts with the rest of the run.
double mean_recovery_s(const RunMetrics& metrics) {
  if (metrics.recoveries.empty()) return 0;
  const double run_ms = static_cast<double>(metrics.slices.size()) * metrics.slice_ms;
  double sum_s = 0;
  for (const auto& recovery : metrics.recoveries)
    sum_s += recovery.after_ms.value_or(run_ms - recovery.until_ms) / 1000;
  return sum_s / static_cast<double>(metrics.recoveries.size());
}

constexpr auto compared_metrics = std::to_array<Metric>({
    {"weighted success", "", [](const RunMetrics& metrics) { return metrics.weighted_success; }},
    {"weighted success, worst", "", [](const RunMetrics& metrics) { return metrics.worst_weighted_success; }},
    {"within objective", "%",
     [](const RunMetrics& metrics) { return percent_of_requests(metrics.within_objective, metrics); }},
    {"rejected", "%",
     [](const RunMetrics& metrics) { return percent_of_requests(metrics.rejected, metrics); }},
    {"failed or unserved", "%",
     [](const RunMetrics& metrics) {
       return percent_of_requests(metrics.failed + metrics.unserved, metrics);
     }},
    {"latency p50", "ms", [](const RunMetrics& metrics) { return metrics.latency.quantile(0.5); }},
    {"latency p99", "ms", [](const RunMetrics& metrics) { return metrics.latency.quantile(0.99); }},
    {"attempts per request", "", [](const RunMetrics& metrics) { return metrics.attempts_per_request; }},
    {"upstream attempts", "",
     [](const RunMetrics& metrics) {
       return metrics.attempts_per_tier.empty() ? 0 : metrics.attempts_per_tier.front();
     }},
    {"mean recovery time", "s", mean_recovery_s},
    {"limit, admitted", "1/s",
     [](const RunMetrics& metrics) { return metrics.limits.empty() ? 0 : metrics.limits.front().mean; }},
    {"limit, max excess", "requests",
     [](const RunMetrics& metrics) {
       return metrics.limits.empty() ? 0 : metrics.limits.front().max_excess;
     }},
    {"balancer CPU", "us/request", [](const RunMetrics& metrics) { return metrics.balancer_cpu_us; }},
    {"violations", "",
     [](const RunMetrics& metrics) { return static_cast<double>(metrics.verdict.violations.size()); }},
});

Difference difference_of(const Metric& metric, const std::vector<RunMetrics>& a,
                         const std::vector<RunMetrics>& b) {
  auto pairs = std::min(a.size(), b.size());
  auto count = static_cast<double>(pairs);
  Difference difference{.name = metric.name, .unit = metric.unit, .pairs = pairs};
  for (std::size_t i = 0; i < pairs; ++i) {
    difference.a += metric.value_of(a[i]) / count;
    difference.b += metric.value_of(b[i]) / count;
  }
  difference.mean = difference.b - difference.a;
  if (pairs < 2) return difference;
  double sum_of_squares = 0;
  for (std::size_t i = 0; i < pairs; ++i) {
    double deviation = metric.value_of(b[i]) - metric.value_of(a[i]) - difference.mean;
    sum_of_squares += deviation * deviation;
  }
  difference.spread = std::sqrt(sum_of_squares / (count - 1));
  difference.error = difference.spread / std::sqrt(count);
  return difference;
}

}  // namespace

std::vector<Difference> differences(const std::vector<RunMetrics>& a, const std::vector<RunMetrics>& b) {
  std::vector<Difference> all;
  all.reserve(compared_metrics.size());
  for (const auto& metric : compared_metrics) all.push_back(difference_of(metric, a, b));
  return all;
}

std::string difference_table(const std::string& name_a, const std::string& name_b,
                             const std::vector<Difference>& differences) {
  std::string table = formatted("%-24s %14s %14s %12s %12s %12s\n", "", name_a.c_str(), name_b.c_str(),
                                "difference", "spread", "std error");
  for (const auto& difference : differences)
    table += formatted("%-24s %14.4f %14.4f %+12.4f %12.4f %12.4f %s\n", difference.name.c_str(),
                       difference.a, difference.b, difference.mean, difference.spread, difference.error,
                       difference.unit.c_str());
  if (!differences.empty())
    table +=
        formatted("%zu pairs; the spread is that of the paired differences\n", differences.front().pairs);
  return table;
}

}  // namespace meadowgauge::testbed
