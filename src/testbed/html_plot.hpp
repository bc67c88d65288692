// A line plot as SVG for the HTML report: series over the time of the run, with shaded faults.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

struct Series {
  std::string name, colour;
  std::function<double(const Slice&)> value;
};

std::string svg_plot(const Experiment& experiment, const RunMetrics& metrics, const std::string& title,
                     const std::string& unit, const std::vector<Series>& series);

// Escapes text for HTML content and attributes.
std::string html_escaped(std::string_view text);

}  // namespace meadowgauge::testbed
