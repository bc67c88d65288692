// The request classes and what has been learned of each.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

struct RequestClass {
  RequestClassSettings settings;
  double mean_log_latency = 0;  // of log latencies in ms, scaled to an endpoint of mean weight; 0: not known
  double relative_latency = 1;  // mean latency over that of the tier, whose mean is over all classes
  int response_count = 0;
};

class RequestClasses {
 public:
  explicit RequestClasses(const std::vector<RequestClassSettings>& settings) {
    for (const auto& s : settings) all.push_back({.settings = s});
  }
  // The request's class; a number out of range is the nearest class's.
  RequestClass& of(const Request& request) { return all[index_of(request)]; }
  [[nodiscard]] const RequestClass& of(const Request& request) const { return all[index_of(request)]; }

  std::vector<RequestClass> all;  // at least one

 private:
  [[nodiscard]] std::size_t index_of(const Request& request) const {
    return static_cast<std::size_t>(std::clamp(request.request_class, 0, static_cast<int>(all.size()) - 1));
  }
};

}  // namespace meadowgauge
