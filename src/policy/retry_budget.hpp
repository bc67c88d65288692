// The retry budget. Design: docs/design.md, "Open questions, as answered".
#pragma once

#include "policy/policy_settings.hpp"

namespace meadowgauge {

// Bounds retries and hedged requests to a tenth of the requests that arrive, so that they can't multiply over
// the tiers. The budget holds whole and partial attempts and is limited both per balancer and over all of
// them: without the latter, a thousand balancers with a full budget each would double an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const PolicySettings& settings);

  // A request has arrived.
  void record_arrival();
  // Less than one attempt is left.
  [[nodiscard]] bool is_spent() const { return attempts_ < 1; }
  // `cost` is in attempts; a hedged request of a short class costs less than one.
  void spend(double cost) { attempts_ -= cost; }

 private:
  double max_attempts_;
  double attempts_;
};

}  // namespace meadowgauge
