#include "policy/retry_budget.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double attempts_per_request = 0.1;        // added to the budget by each arriving request
constexpr double max_balancer_attempts = 10;        // cap of one balancer's budget
constexpr double max_all_balancers_attempts = 300;  // cap of all balancers of the tier together
constexpr double min_balancer_attempts = 1;         // lowest cap of one balancer, in a tier of any size

double max_attempts_of(const PolicySettings& settings) {
  return std::clamp(max_all_balancers_attempts / settings.replicas, min_balancer_attempts,
                    max_balancer_attempts);
}

}  // namespace

RetryBudget::RetryBudget(const PolicySettings& settings)
    : max_attempts_(max_attempts_of(settings)), attempts_(max_attempts_) {}

void RetryBudget::record_arrival() { attempts_ = std::min(max_attempts_, attempts_ + attempts_per_request); }

}  // namespace meadowgauge
