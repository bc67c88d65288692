// A model of the network load balancer in front of the balancers: spreads client connections round-robin over
// the balancers of the client's zone, and keeps using a failed balancer for a detection delay.
#pragma once

#include <limits>
#include <utility>
#include <vector>

namespace meadowgauge::testbed {

// Targets are balancers by index. Times are milliseconds on the caller's clock.
class FrontBalancer {
 public:
  // `zone_of`: the zone of each target; `detection_delay_ms`: from a target's failure to its removal.
  FrontBalancer(std::vector<int> zone_of, double detection_delay_ms)
      : zone_of_(std::move(zone_of)),
        down_since_(zone_of_.size(), std::numeric_limits<double>::infinity()),
        detection_delay_ms_(detection_delay_ms) {}

  void mark_up(int target) {
    down_since_[static_cast<std::size_t>(target)] = std::numeric_limits<double>::infinity();
  }
  void mark_down(int target, double now_ms) { down_since_[static_cast<std::size_t>(target)] = now_ms; }

  // Returns the next target of the zone that counts as up; if there is none, the next of any zone, or -1.
  int pick(int zone, double now_ms) {
    for (bool any_zone : {false, true})
      for (std::size_t i = 0; i < zone_of_.size(); ++i) {
        auto candidate = (next_ + i) % zone_of_.size();
        if (!any_zone && zone_of_[candidate] != zone) continue;
        if (now_ms >= down_since_[candidate] + detection_delay_ms_) continue;
        next_ = candidate + 1;
        return static_cast<int>(candidate);
      }
    return -1;
  }

 private:
  std::vector<int> zone_of_;
  std::vector<double> down_since_;  // by target, ms; infinity: up
  double detection_delay_ms_;
  std::size_t next_ = 0;
};

}  // namespace meadowgauge::testbed
