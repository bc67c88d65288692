// Exponential moving averages.
#pragma once

namespace meadowgauge {

// Moves `mean` towards `sample` by `gain`, 0 to 1. A mean of 0 or below has no sample yet and takes the first
// one.
inline void blend(double& mean, double sample, double gain) {
  mean += (mean > 0 ? gain : 1) * (sample - mean);
}

}  // namespace meadowgauge
