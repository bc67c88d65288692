// Two builds on the same seeds: the difference of each metric, its mean and its spread over the pairs.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "testbed/run_metrics.hpp"

namespace meadowgauge::testbed {

struct Difference {
  std::string name, unit;
  double a = 0, b = 0;  // means of each build
  double mean = 0;      // of b - a
  double spread = 0;    // of b - a, as the standard deviation
  double error = 0;     // the standard error of the mean
  std::size_t pairs = 0;
};

// The difference of each metric. Runs are paired by index; unpaired runs are ignored.
std::vector<Difference> differences(const std::vector<RunMetrics>& a, const std::vector<RunMetrics>& b);
// A table for people, with the names of the builds.
std::string difference_table(const std::string& name_a, const std::string& name_b,
                             const std::vector<Difference>& differences);

}  // namespace meadowgauge::testbed
