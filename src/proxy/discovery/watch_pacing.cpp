#include "proxy/discovery/watch_pacing.hpp"

#include <algorithm>
#include <cmath>

#include "proxy/proxy_settings.hpp"

namespace meadowgauge::proxy {
namespace {

// A change must be applied this long after discovery has it and is reachable.
constexpr double change_binds_ms = 6000;
// The part of change_binds_ms that is reserved for discovery's answer.
constexpr double answer_takes_ms = 500;

// Pushed: the agent is on this machine and answers at once.
constexpr double pushed_answer_limit_ms = 1500;
// Polled: all balancers share discovery's queue, and an abandoned call still costs discovery its work.
constexpr double polled_answer_limit_ms = 2200;

// The agent sends a line at least every 2 s; a drain published right after the last line must be seen in
// time.
constexpr double max_silence_ms = 3400;
constexpr double silence_spread_ratio = 0.2;

// Polled: delay before an unreadable line is requested again.
constexpr double polled_reread_ms = 1500;

// Doubles with each consecutive failure.
constexpr double first_backoff_ms = 100;
constexpr double max_small_fleet_backoff_ms = 1400;
// A change is late by the rest of an unanswered call, one backoff and an answer at most.
constexpr double max_backoff_ms = change_binds_ms - polled_answer_limit_ms - answer_takes_ms;
// Polled: a whole fleet loses its watches together and returns at one call per this time.
constexpr double fleet_call_interval_ms = 20;
// Smaller fleets make their first call at once.
constexpr double staggered_fleet_size = 25;  // balancers
// After this many consecutive failures the fleet may exceed discovery's capacity. The backoff then grows
// beyond max_backoff_ms so that discovery's queue can drain.
constexpr int min_overload_failures = 6;
constexpr double overload_spread_multiplier = 1.5;  // of fleet_call_interval_ms times instances
constexpr int max_counted_failures = 10;

// Polled: a reload moves a whole fleet at once; discovery may spend this per balancer on complete lists,
// which leaves half of its time for changes.
constexpr double complete_list_interval_ms = 400;

// Pushed: calls are at most this share of a drain's grace apart, so that a returning agent's drain is in
// time.
constexpr double grace_share = 0.25;
constexpr double min_drain_poll_ms = 25;

}  // namespace

WatchTerms watch_terms(const Settings& settings, const Logger& log) {
  using setting_values::number;
  if (setting_values::string_value(settings, "discovery") != "subscribe")
    return {.push_grace_ms = number(settings, "rules.stop_sending_within_ms", 250, log)};
  auto tiers = setting_values::split_list(setting_values::string_value(settings, "stages")).size();
  double instances_of_tier = std::max(1.0, number(settings, "replicas_of_me", 1));
  return {.push_grace_ms = {}, .instances = std::max(1.0, static_cast<double>(tiers)) * instances_of_tier};
}

WatchPacing::WatchPacing(const WatchTerms& terms, std::uint64_t seed)
    : terms_(terms), random_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {}

double WatchPacing::answer_limit_ms() const {
  return pushed() ? pushed_answer_limit_ms : polled_answer_limit_ms;
}

double WatchPacing::silence_limit_ms() { return spread(max_silence_ms, silence_spread_ratio); }

double WatchPacing::reread_limit_ms() { return spread(drain_poll_ms(), silence_spread_ratio); }

double WatchPacing::first_call_ms() {
  return pushed() || terms_.instances < staggered_fleet_size ? 0 : fleet_spread_ms() * random_fraction();
}

double WatchPacing::complete_list_delay_ms() {
  return pushed() ? 0 : complete_list_interval_ms * terms_.instances * (0.5 + 0.5 * random_fraction());
}

double WatchPacing::fleet_spread_ms() const {
  double spread_ms = fleet_call_interval_ms * terms_.instances;
  if (spread_ms <= max_backoff_ms || failures_ < min_overload_failures)
    return std::min(spread_ms, max_backoff_ms);
  return overload_spread_multiplier * spread_ms;
}

double WatchPacing::backoff_ms(double retry_after_ms) {
  double exponential_ms = first_backoff_ms * std::exp2(failures_);
  // Balancers whose watches broke together draw from the whole spread, others from its later half.
  bool synchronized = failures_ == 0 || failures_ >= min_overload_failures;
  failures_ = std::min(failures_ + 1, max_counted_failures);
  if (pushed()) return std::min(exponential_ms, drain_poll_ms()) * (0.75 + 0.5 * random_fraction());
  // In a large fleet the spread dominates from the first backoff on, which bounds the call rate.
  double own_backoff_ms =
      std::min(exponential_ms, max_small_fleet_backoff_ms) * (0.75 + 0.5 * random_fraction());
  double fleet_backoff_ms =
      fleet_spread_ms() * (synchronized ? random_fraction() : 0.5 + 0.5 * random_fraction());
  double max_ms = std::max(max_backoff_ms, fleet_spread_ms());
  return std::clamp(std::max(own_backoff_ms, fleet_backoff_ms), std::min(retry_after_ms, max_ms), max_ms);
}

double WatchPacing::spread(double ms, double share) { return ms * (1 - share * random_fraction()); }

double WatchPacing::drain_poll_ms() const {
  if (!pushed()) return polled_reread_ms;
  return std::clamp(grace_share * *terms_.push_grace_ms, min_drain_poll_ms, pushed_answer_limit_ms);
}

double WatchPacing::random_fraction() { return static_cast<double>(random_() % 1000) / 1000; }

}  // namespace meadowgauge::proxy
