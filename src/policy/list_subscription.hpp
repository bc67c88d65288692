// When the endpoint list is asked for, where it does not come by itself.
#pragma once

#include <string>
#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

class ListSubscription {
 public:
  // All arguments have to outlive it.
  ListSubscription(const PolicySettings& settings, Random& random, std::vector<std::string>& log_lines,
                   double now_ms);

  // The list has come, whole or as a change; it could not be had, or is over.
  void list_received();
  void list_failed(double now_ms);
  // Whether it is to be asked for now.
  bool tick(double now_ms);

 private:
  void schedule(double now_ms);

  const PolicySettings& settings_;
  Random& random_;
  std::vector<std::string>& log_lines_;
  bool subscribed_ = false, asked_ = false;
  double ask_at_ms_, asked_at_ms_ = 0;
  int failures_ = 0;  // in a row
};

}  // namespace meadowgauge
