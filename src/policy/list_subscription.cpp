#include "policy/list_subscription.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double first_request_spread_ms = 400;  // the first call is made at a random time within this span
constexpr double first_request_spread_per_replica_ms = 20;  // plus this span per balancer
constexpr double first_backoff_ms = 500;                    // doubles with each failure
constexpr double min_backoff_ratio = 0.5;                   // jitter: 0.5 to 1.5 times the backoff
constexpr double max_wait_divisor = 3;        // upper bound of the backoff: subscribe_within_ms / this
constexpr double response_timeout_ms = 5000;  // a call unanswered for this time counts as failed
constexpr int max_counted_failures = 10;      // upper bound of the count of consecutive failures
constexpr int failures_until_reported = 3;    // number of consecutive failures that is reported

}  // namespace

ListSubscription::ListSubscription(const PolicySettings& settings, Random& random,
                                   std::vector<PolicyEvent>& events, double now_ms)
    : settings_(settings), random_(random), events_(events) {
  double spread_ms = first_request_spread_ms + first_request_spread_per_replica_ms * settings.replicas;
  double max_wait_ms = settings.subscribe_within_ms / max_wait_divisor;
  request_at_ms_ = now_ms + random_.uniform() * std::min(spread_ms, max_wait_ms);
}

void ListSubscription::list_received() {
  if (failure_count_ >= failures_until_reported) events_.emplace_back(DiscoveryRecovered{});
  state_ = State::subscribed;
  failure_count_ = 0;
}

void ListSubscription::list_failed(double now_ms) {
  state_ = State::waiting;
  schedule_retry(now_ms);
}

void ListSubscription::schedule_retry(double now_ms) {
  failure_count_ = std::min(failure_count_ + 1, max_counted_failures);
  if (failure_count_ == failures_until_reported)
    events_.emplace_back(DiscoveryUnreachable{.failure_count = failure_count_});
  double max_wait_ms = settings_.subscribe_within_ms / max_wait_divisor;
  double backoff_ms = std::min(first_backoff_ms * std::exp2(failure_count_ - 1), max_wait_ms);
  request_at_ms_ = now_ms + backoff_ms * (min_backoff_ratio + random_.uniform());
}

bool ListSubscription::tick(double now_ms) {
  if (!settings_.uses_subscription) return false;
  if (state_ == State::requested && now_ms - requested_at_ms_ > response_timeout_ms) list_failed(now_ms);
  if (state_ != State::waiting || now_ms < request_at_ms_) return false;
  state_ = State::requested;
  requested_at_ms_ = now_ms;
  return true;
}

}  // namespace meadowgauge
