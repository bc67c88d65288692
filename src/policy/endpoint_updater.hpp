// Applies endpoint lists and manual drains to the endpoint table. It decides nothing.
#pragma once

#include <span>

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/slow_start.hpp"

namespace meadowgauge {

class EndpointUpdater {
 public:
  // All arguments must outlive it.
  EndpointUpdater(const PolicySettings& settings, EndpointTable& endpoints, OutlierDetector& outliers,
                  LoadEstimator& load, SlowStart& slow_start)
      : settings_(settings),
        endpoints_(endpoints),
        outliers_(outliers),
        load_(load),
        slow_start_(slow_start) {}

  // Applies the entries; endpoints that they do not name have gone unless `is_complete` is false.
  void update(bool is_complete, std::span<const EndpointEntry> entries, double now_ms);
  // An operator drains the endpoint, or ends its drain. An unknown index, or no change, has no effect.
  void set_manual_drain(EndpointIndex index, bool drained, double now_ms);

 private:
  void update_endpoint(const EndpointEntry& entry, double now_ms);
  void reset_for_new_process(Endpoint& endpoint, bool is_listed, double now_ms);
  void copy_listed_values(const EndpointEntry& entry, Endpoint& endpoint);
  static void end_manual_drain(Endpoint& endpoint, double now_ms);
  void update_mean_weight();

  const PolicySettings& settings_;
  EndpointTable& endpoints_;
  OutlierDetector& outliers_;
  LoadEstimator& load_;
  SlowStart& slow_start_;
};

}  // namespace meadowgauge
