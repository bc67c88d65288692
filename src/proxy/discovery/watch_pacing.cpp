#include "proxy/discovery/watch_pacing.hpp"

#include <algorithm>
#include <cmath>

#include "proxy/proxy_settings.hpp"

namespace meadowgauge::proxy {
namespace {

// A change binds 6 s after discovery has it and can be reached. From then on pass at most: the rest of a call
// that was begun before and stays without an answer, the longest backoff, and an answer.
constexpr double change_binds_ms = 6000;
constexpr double answer_takes_ms = 500;

// Pushed: the agent is on this machine, and answers at once if it can.
constexpr double pushed_answer_limit_ms = 1500;
// Polled: calls wait in turn at a discovery that all share. One that is given up while it waits is work done
// for nobody, and with it the queue outlasts the outage that made it: all called, gave up and called again,
// and none had an answer.
constexpr double polled_answer_limit_ms = 2200;

// A sign of life comes every 2 s; a drain told right after the last one is to be heard of in time.
constexpr double silence_limit_ms = 3400;
constexpr double silence_spread = 0.2;

// Polled: a line that could not be read is asked for again after this.
constexpr double reread_ms = 1500;

constexpr double first_backoff_ms = 100;
constexpr double small_fleet_backoff_ms = 1400;
constexpr double longest_backoff_ms = change_binds_ms - polled_answer_limit_ms - answer_takes_ms;
// Polled: a whole fleet loses its watches at one moment, and may come back at a rate of one call in this
// time.
constexpr double call_takes_ms = 20;
// Fewer than these call at once when they start.
constexpr double few_instances = 25;
// A fleet too large for what discovery answers in 6 s misses that time whatever it does. Without longer waits
// after so many failures in a row its calls kept discovery's queue full, and nobody had an answer any more.
constexpr int patient_failures = 6;
constexpr double patient_share = 1.5;  // of the time that discovery is thought to need for all
constexpr int most_failures = 10;

// Polled: a discovery may spend so long on the complete list for one balancer, half of its time left for
// changes. One configuration moves a whole fleet at once: when all fetched the complete list then, discovery
// refused calls for the next ten seconds, and drains were missed by those who had no answer.
constexpr double complete_list_takes_ms = 400;

// Pushed: between two calls lies no more than this share of a drain's grace, or a return of the agent would
// be missed by it.
constexpr double grace_share = 0.25;
constexpr double least_urgent_ms = 25;

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

double WatchPacing::silence_limit_ms() { return spread(proxy::silence_limit_ms, silence_spread); }

double WatchPacing::reread_limit_ms() { return spread(urgent_ms(), silence_spread); }

double WatchPacing::first_call_ms() {
  return pushed() || terms_.instances < few_instances ? 0 : fleet_ms() * chance();
}

double WatchPacing::complete_list_delay_ms() {
  return pushed() ? 0 : complete_list_takes_ms * terms_.instances * (0.5 + 0.5 * chance());
}

double WatchPacing::fleet_ms() const {
  double spread_ms = call_takes_ms * terms_.instances;
  if (spread_ms <= longest_backoff_ms || failures_ < patient_failures)
    return std::min(spread_ms, longest_backoff_ms);
  return patient_share * spread_ms;
}

double WatchPacing::backoff_ms(double retry_after_ms) {
  double growing = first_backoff_ms * std::exp2(failures_);
  // In step after an outage, or after as many failures: drawn over the whole time, not its later half.
  bool in_step = failures_ == 0 || failures_ >= patient_failures;
  failures_ = std::min(failures_ + 1, most_failures);
  if (pushed()) return std::min(growing, urgent_ms()) * (0.75 + 0.5 * chance());
  // Beyond a few instances the first calls already come at the rate that discovery bears: with a short first
  // backoff they came at once, and again at once.
  double small_ms = std::min(growing, small_fleet_backoff_ms) * (0.75 + 0.5 * chance());
  double fleet_wait_ms = fleet_ms() * (in_step ? chance() : 0.5 + 0.5 * chance());
  double most_ms = std::max(longest_backoff_ms, fleet_ms());
  return std::clamp(std::max(small_ms, fleet_wait_ms), std::min(retry_after_ms, most_ms), most_ms);
}

double WatchPacing::spread(double ms, double share) { return ms * (1 - share * chance()); }

// How long what may tell of a drain can wait.
double WatchPacing::urgent_ms() const {
  if (!pushed()) return reread_ms;
  return std::clamp(grace_share * *terms_.push_grace_ms, least_urgent_ms, pushed_answer_limit_ms);
}

double WatchPacing::chance() { return static_cast<double>(random_() % 1000) / 1000; }

}  // namespace meadowgauge::proxy
