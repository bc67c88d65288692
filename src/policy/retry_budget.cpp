#include "policy/retry_budget.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double attempts_per_request = 0.1;        // added to the budget by each request that arrives
constexpr double max_balancer_attempts = 10;        // held by one balancer
constexpr double max_all_balancers_attempts = 300;  // held by all balancers of the tier together
constexpr double min_balancer_attempts = 1;         // held by one balancer, however many there are

double max_attempts_of(const PolicySettings& settings) {
  return std::clamp(max_all_balancers_attempts / settings.replicas, min_balancer_attempts,
                    max_balancer_attempts);
}

}  // namespace

RetryBudget::RetryBudget(const PolicySettings& settings)
    : max_attempts_(max_attempts_of(settings)), attempts_(max_attempts_) {}

void RetryBudget::record_arrival() { attempts_ = std::min(max_attempts_, attempts_ + attempts_per_request); }

}  // namespace meadowgauge
