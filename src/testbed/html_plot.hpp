// A line plot as SVG for the HTML report: some series over the run, its faults shaded.
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

// Text as it may stand in HTML and in its attributes.
std::string html_escaped(std::string_view text);

}  // namespace meadowgauge::testbed
