#include <array>
#include <iterator>

#include "testbed/html_plot.hpp"
#include "testbed/report.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace {

constexpr int max_violations_shown = 30;

constexpr const char* style =
    "body{font:14px system-ui,sans-serif;max-width:900px;margin:1.5em auto;padding:0 1em;color:#222}"
    "svg{width:100%;margin:.3em 0}table{border-collapse:collapse;margin:.4em 0}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.t{font-size:13px;font-weight:600}.a{font-size:11px}"
    ".g{stroke:#ddd}.f{fill:#f3c9a8;opacity:.45}.bad{color:#b00020;font-weight:600}.ok{color:#1b6e2e}";

std::string rows_table(const std::string& title, const std::vector<OutcomeRow>& rows, bool with_process) {
  std::string html = "<h3>" + title +
                     "</h3><table><tr><th>name</th><th>received</th><th>succeeded</th><th>rejected</th>"
                     "<th>failed</th><th>other</th><th>p50 ms</th><th>p99 ms</th>";
  if (with_process) html += "<th>cpu ms</th><th>peak MB</th>";
  html += "</tr>\n";
  for (const auto& row : rows) {
    html += "<tr><td>" + html_escaped(row.name) + "</td>";
    for (auto count : {row.received, row.succeeded, row.rejected, row.failed, row.other})
      html += formatted("<td>%llu</td>", printable(count));
    html += formatted("<td>%.1f</td><td>%.1f</td>", row.latency.quantile(0.5), row.latency.quantile(0.99));
    if (with_process)
      html += formatted("<td>%.0f</td><td>%.1f</td>", row.cpu_ms, static_cast<double>(row.peak_kb) / 1024);
    html += "</tr>\n";
  }
  return html + "</table>\n";
}

std::string rules_list(const Verdict& verdict) {
  std::string html = "<ul>";
  for (int i = 0; i < rule_count; ++i) {
    html += "<li>" + std::string(rule_name(static_cast<Rule>(i)));
    html += verdict.count[i] == 0
                ? ": <span class=\"ok\">kept</span>"
                : formatted(": <span class=\"bad\">violated %llu times</span>", printable(verdict.count[i]));
    html += "</li>";
  }
  return html + "</ul>\n";
}

std::string summary(const RunMetrics& metrics) {
  return "<p>" +
         formatted(
             "%llu requests; weighted success %.4f, %.4f in the worst 2 s; p50 %.1f ms, p99 %.1f ms; %.3f "
             "attempts per request; balancers %.0f &micro;s CPU per request; send delay of the load "
             "generator "
             "p50 %.2f ms, max %.1f ms.",
             printable(metrics.requests), metrics.weighted_success, metrics.worst_weighted_success,
             metrics.latency.quantile(0.5), metrics.latency.quantile(0.99), metrics.attempts_per_request,
             metrics.balancer_cpu_us, metrics.send_delay_p50_ms, metrics.send_delay_max_ms) +
         "</p>\n";
}

// Returns a series that shows a count of each slice as a rate per second.
Series rate_series(const char* name, const char* colour, std::uint64_t Slice::*count, double slice_ms) {
  return {name, colour,
          [=](const Slice& slice) { return static_cast<double>(slice.*count) / slice_ms * 1000; }};
}

std::string request_plot(const Experiment& experiment, const RunMetrics& metrics) {
  return svg_plot(experiment, metrics, "requests a second, by scheduled send time", "1/s",
                  {rate_series("offered", "#888", &Slice::offered, metrics.slice_ms),
                   rate_series("within objective", "#1b6e2e", &Slice::within_objective, metrics.slice_ms),
                   rate_series("late", "#c77700", &Slice::late, metrics.slice_ms),
                   rate_series("rejected", "#1f5fbf", &Slice::rejected, metrics.slice_ms),
                   rate_series("failed", "#b00020", &Slice::failed, metrics.slice_ms)});
}

std::string limit_plot(const Experiment& experiment, const RunMetrics& metrics, const LimitRow& limit) {
  constexpr std::array colours{"#1f5fbf", "#1b6e2e", "#c77700", "#7a3fb0", "#0097a7", "#a0522d"};
  auto index = [&metrics](const Slice& slice) {
    return static_cast<std::size_t>(slice.at_ms / metrics.slice_ms);
  };
  std::vector<Series> series{
      {"limit", "#b00020", [&limit](const Slice&) { return limit.rate; }},
      {"all", "#222", [&limit, index](const Slice& slice) { return limit.slices[index(slice)]; }}};
  for (std::size_t b = 0; b < limit.by.size(); ++b)
    series.push_back({"b" + std::to_string(b), colours[b % colours.size()],
                      [&limit, index, b](const Slice& slice) { return limit.by[b][index(slice)]; }});
  return svg_plot(experiment, metrics, "admitted under limit " + limit.name + ", from the servers' records",
                  "1/s", series);
}

std::string latency_plot(const Experiment& experiment, const RunMetrics& metrics) {
  auto quantile = [](double share) {
    return [share](const Slice& slice) { return slice.latency.quantile(share); };
  };
  return svg_plot(experiment, metrics, "latency of succeeded requests, from the scheduled send time", "ms",
                  {{"p50", "#1f5fbf", quantile(0.5)}, {"p99", "#b00020", quantile(0.99)}});
}

std::string recoveries_table(const std::vector<Recovery>& recoveries) {
  if (recoveries.empty()) return {};
  std::string html =
      "<h3>faults</h3><table><tr><th>fault</th><th>at s</th><th>until s</th><th>share before</th>"
      "<th>share during</th><th>recovered after s</th></tr>\n";
  for (const auto& recovery : recoveries) {
    html += "<tr><td>" + html_escaped(recovery.fault);
    html +=
        formatted("</td><td>%.1f</td><td>%.1f</td><td>%.3f</td><td>%.3f</td><td>", recovery.from_ms / 1000,
                  recovery.until_ms / 1000, recovery.share_before, recovery.share_during);
    html += recovery.after_ms ? formatted("%.1f", *recovery.after_ms / 1000) : std::string("not in this run");
    html += "</td></tr>\n";
  }
  return html + "</table>\n";
}

std::string violations_list(const Verdict& verdict) {
  if (verdict.violations.empty()) return {};
  std::string html = "<h3>violations</h3><ul>";
  int shown = 0;
  for (const auto& violation : verdict.violations)
    if (++shown <= max_violations_shown)
      html += "<li>" + html_escaped(rule_name(violation.rule)) + ": " + html_escaped(violation.description) +
              "</li>\n";
  return html + "</ul>";
}

std::string run_section(const Experiment& experiment, const Report& report) {
  const auto& metrics = report.metrics;
  std::string html = "<h2>" + html_escaped(report.build) +
                     formatted(", seed %llu</h2>\n", printable(report.seed)) + rules_list(metrics.verdict) +
                     summary(metrics) + request_plot(experiment, metrics);
  for (const auto& limit : metrics.limits) html += limit_plot(experiment, metrics, limit);
  return html + latency_plot(experiment, metrics) + recoveries_table(metrics.recoveries) +
         violations_list(metrics.verdict) + rows_table("balancers", metrics.balancers, true) +
         rows_table("servers", metrics.servers, false) + rows_table("tenants", metrics.tenants, false) +
         rows_table("request classes", metrics.request_classes, false);
}

}  // namespace

std::string html_report(const Experiment& experiment, const std::vector<Report>& reports) {
  std::string html = R"(<!doctype html><html lang="en"><meta charset="utf-8"><title>)" +
                     html_escaped(experiment.name) + "</title><style>" + style + "</style>\n<h1>" +
                     html_escaped(experiment.name) + "</h1><p>" + html_escaped(experiment.about) + "</p>\n";
  for (const auto& report : reports) html += run_section(experiment, report);
  return html + "</html>\n";
}

}  // namespace meadowgauge::testbed
