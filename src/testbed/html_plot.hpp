// Line plots in SVG for the HTML report: series over the time of the run, with the faults as shaded areas.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// One line of a plot. `value` is called for each slice.
struct Series {
  std::string name, colour;
  std::function<double(const Slice&)> value;
};

// Returns an SVG element. `unit` labels the value axis.
std::string svg_plot(const Experiment& experiment, const RunMetrics& metrics, const std::string& title,
                     const std::string& unit, const std::vector<Series>& series);

// Escapes text for HTML content and attributes.
std::string html_escaped(std::string_view text);

}  // namespace meadowgauge::testbed
