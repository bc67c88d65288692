// Reports of a run's metrics: a text summary, JSON, and a self-contained HTML page. The keys of the JSON and
// the names of the rules are an interface for scripts; CHANGELOG lists every rename.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// The metrics of one run, and what was run.
struct Report {
  std::string build;
  std::uint64_t seed = 0;
  RunMetrics metrics;
};

// Returns a summary of one run in a few lines of text.
std::string text_report(const Experiment& experiment, const Report& report);
// Returns all runs of an experiment as one JSON object.
std::string json_report(const Experiment& experiment, const std::vector<Report>& reports);
// Returns all runs of an experiment as one HTML page.
std::string html_report(const Experiment& experiment, const std::vector<Report>& reports);

}  // namespace meadowgauge::testbed
