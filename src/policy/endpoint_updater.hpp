// Applies endpoint lists and manual drains to the endpoint table.
#pragma once

#include <span>

#include "policy/endpoint.hpp"
#include "policy/load_estimator.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/slow_start.hpp"

namespace meadowgauge {

// Updates the endpoint table from discovery and from operators' drains. New and restarted endpoints enter
// slow start; what was learned about a restarted endpoint is reset.
class EndpointUpdater {
 public:
  // All arguments must outlive the updater.
  EndpointUpdater(const PolicySettings& settings, EndpointTable& endpoints, OutlierDetector& outliers,
                  LoadEstimator& load, SlowStart& slow_start)
      : settings_(settings),
        endpoints_(endpoints),
        outliers_(outliers),
        load_(load),
        slow_start_(slow_start) {}

  // Applies the entries. If `is_complete`, endpoints without an entry are removed from the list.
  void update(bool is_complete, std::span<const EndpointEntry> entries, double now_ms);
  // Starts or ends an operator's drain of the endpoint. No effect if the index is unknown or the state is
  // unchanged.
  void set_manual_drain(EndpointIndex index, bool is_drained, double now_ms);

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
