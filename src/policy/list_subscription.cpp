#include "policy/list_subscription.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {

constexpr double first_ask_ms = 400, first_ask_each_ms = 20;  // the latter for each balancer of the tier
constexpr double retry_ms = 500;                              // after the first failure; doubles with each
constexpr double retry_soonest = 0.5;                         // of that, and up to 1.5
constexpr double ask_parts = 3;         // no wait is longer than this part of the time for asking
constexpr double unanswered_ms = 5000;  // an asking without an answer counts as failed after this
constexpr int most_failures = 10, logged_failures = 3;  // that are counted; from which it is logged

// Hundreds that start together would wear the list out; the one they start with serves meanwhile.
ListSubscription::ListSubscription(const PolicySettings& settings, Random& random,
                                   std::vector<std::string>& log_lines, double now_ms)
    : settings_(settings), random_(random), log_lines_(log_lines) {
  double spread_ms = first_ask_ms + first_ask_each_ms * settings.replicas;
  ask_at_ms_ = now_ms + random_.uniform() * std::min(spread_ms, settings.ask_within_ms / ask_parts);
}

void ListSubscription::list_received() {
  if (failures_ >= logged_failures) log_lines_.emplace_back("the list of upstreams answers again");
  subscribed_ = true;
  asked_ = false, failures_ = 0;
}

void ListSubscription::list_failed(double now_ms) {
  subscribed_ = asked_ = false;
  schedule(now_ms);
}

void ListSubscription::schedule(double now_ms) {
  failures_ = std::min(failures_ + 1, most_failures);
  if (failures_ == logged_failures) log_lines_.emplace_back("the list of upstreams is out of reach");
  double wait_ms = std::min(retry_ms * std::exp2(failures_ - 1), settings_.ask_within_ms / ask_parts);
  ask_at_ms_ = now_ms + wait_ms * (retry_soonest + random_.uniform());
}

bool ListSubscription::tick(double now_ms) {
  if (!settings_.subscribes) return false;
  if (asked_ && now_ms - asked_at_ms_ > unanswered_ms) list_failed(now_ms);
  if (subscribed_ || asked_ || now_ms < ask_at_ms_) return false;
  asked_ = true;
  asked_at_ms_ = now_ms;
  return true;
}

}  // namespace meadowgauge
