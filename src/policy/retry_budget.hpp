// The retry budget. Design: docs/design.md, "Open questions, as answered".
#pragma once

#include "policy/policy_settings.hpp"

namespace meadowgauge {

// Limits retries and hedged requests to a tenth of the arriving requests, so that they cannot multiply from
// tier to tier. The budget is counted in attempts, including fractions. It is capped per balancer and over
// all balancers of the tier: without the second cap, a thousand balancers, each with a full budget, would
// double an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const PolicySettings& settings);

  // Adds a request's contribution to the budget. Call it once per arriving request.
  void record_arrival();
  // Returns whether less than one attempt is left.
  [[nodiscard]] bool is_spent() const { return attempts_ < 1; }
  // Takes `cost` attempts from the budget; a hedged request of a short class costs less than one.
  void spend(double cost) { attempts_ -= cost; }

 private:
  double max_attempts_;
  double attempts_;
};

}  // namespace meadowgauge
