// Compares two builds on the same seeds: the mean and the spread of each metric's difference over the pairs.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

// The difference of one metric between builds `a` and `b`.
struct Difference {
  std::string name, unit;
  double a = 0, b = 0;  // mean of each build
  double mean = 0;      // mean of b - a
  double spread = 0;    // standard deviation of b - a
  double error = 0;     // standard error of the mean
  std::size_t pairs = 0;
};

// Returns the difference of each metric. Runs are paired by index; unpaired runs are ignored.
std::vector<Difference> differences(const std::vector<RunMetrics>& a, const std::vector<RunMetrics>& b);
// Returns a text table of the differences, with the names of the builds in its head.
std::string difference_table(const std::string& name_a, const std::string& name_b,
                             const std::vector<Difference>& differences);

}  // namespace meadowgauge::testbed
