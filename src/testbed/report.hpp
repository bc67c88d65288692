// The metrics of runs for people and for programs: a few lines of text, JSON, and one HTML page that needs no
// other file. The JSON's keys and the names of rules are an interface for scripts: CHANGELOG lists renames.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// One run.
struct Report {
  std::string build;
  std::uint64_t seed = 0;
  RunMetrics metrics;
};

std::string text_report(const Experiment& experiment, const Report& report);
std::string json_report(const Experiment& experiment, const std::vector<Report>& reports);
std::string html_report(const Experiment& experiment, const std::vector<Report>& reports);

}  // namespace meadowgauge::testbed
