// The request classes with their settings and learned values.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// One request class.
struct RequestClass {
  RequestClassSettings settings;
  double mean_log_latency = 0;  // mean log of latencies in ms, scaled to mean endpoint weight; 0: not known
  double relative_latency = 1;  // mean latency of this class over the mean latency of all classes
  int response_count = 0;
};

// All request classes, by number.
class RequestClasses {
 public:
  explicit RequestClasses(const std::vector<RequestClassSettings>& settings) {
    for (const auto& class_settings : settings) all.push_back({.settings = class_settings});
  }
  // Returns the request's class. A class number out of range is clamped.
  RequestClass& of(const Request& request) { return all[index_of(request)]; }
  [[nodiscard]] const RequestClass& of(const Request& request) const { return all[index_of(request)]; }

  std::vector<RequestClass> all;  // at least one

 private:
  [[nodiscard]] std::size_t index_of(const Request& request) const {
    return static_cast<std::size_t>(std::clamp(request.request_class, 0, static_cast<int>(all.size()) - 1));
  }
};

}  // namespace meadowgauge
