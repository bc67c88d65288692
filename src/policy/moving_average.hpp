// Exponential moving averages.
#pragma once

namespace meadowgauge {

// Moves `mean` towards `sample` by the fraction `gain`, 0 to 1. A mean of 0 or below has no samples yet and
// is set to `sample`.
inline void update_average(double& mean, double sample, double gain) {
  mean += (mean > 0 ? gain : 1) * (sample - mean);
}

}  // namespace meadowgauge
