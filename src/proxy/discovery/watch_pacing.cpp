#include "proxy/discovery/watch_pacing.hpp"

#include <algorithm>
#include <cmath>

#include "proxy/proxy_settings.hpp"

namespace meadowgauge::proxy {
namespace {

// A change must be applied within this time after discovery has the change and is reachable.
constexpr double max_change_delay_ms = 6000;
// Part of max_change_delay_ms that is reserved for discovery's response.
constexpr double answer_allowance_ms = 500;

// Pushed: the agent runs on this machine and responds at once.
constexpr double pushed_call_timeout_ms = 1500;
// Polled: all balancers share discovery's queue, and discovery still processes an abandoned call.
constexpr double polled_call_timeout_ms = 2200;

// Maximum time without a line. The agent sends a line at least every 2 s, and a drain published right after
// the last line must be received within max_change_delay_ms.
constexpr double max_silence_ms = 3400;
constexpr double silence_jitter_ratio = 0.2;

// Polled: minimum time since the last line after which a watch counts as silent.
constexpr double min_silence_ms = max_silence_ms * (1 - silence_jitter_ratio);
// Polled: maximum time from the last line until a silent watch is replaced, if discovery's capacity allows
// it. A change just after that line must be applied `max_change_delay_ms` later.
constexpr double max_replacement_delay_ms = max_change_delay_ms - answer_allowance_ms;
// Polled: minimum time over which a fleet's silent watches are replaced.
constexpr double min_silence_frame_ms = max_silence_ms - min_silence_ms;
// Polled: maximum wait in discovery's queue for the calls of a fleet whose watches fell silent together. A
// call that waits 2 s is refused, but discovery still processes the call.
constexpr double max_queued_ms = 1500;

// Polled: delay before an unreadable line is requested again.
constexpr double polled_reread_delay_ms = 1500;

// Backoff after the first failure; doubles with each consecutive failure.
constexpr double first_backoff_ms = 100;
constexpr double max_small_fleet_backoff_ms = 1400;
// A change is delayed by at most the rest of an unanswered call, one backoff and one response.
constexpr double max_backoff_ms = max_change_delay_ms - polled_call_timeout_ms - answer_allowance_ms;
// Polled: the calls of a fleet that has lost its watches together are spread over this time per balancer.
constexpr double fleet_call_interval_ms = 20;
// Exceeds the rounding error of Unix time in a double.
constexpr double rounding_ms = 1;
// Minimum size of a fleet that uses frames; smaller fleets make their first call at once.
constexpr double min_staggered_fleet_size = 25;  // balancers
// Length of a frame per balancer. This is twice the time that discovery needs for a call, because discovery
// also sends changes on the open watches.
constexpr double frame_interval_ms = 40;
// If discovery returns at the start of a frame, the last call of the frame is answered within
// max_change_delay_ms.
constexpr double max_frame_ms = max_change_delay_ms - 2 * answer_allowance_ms;
// After this number of consecutive failures the fleet may exceed discovery's capacity. Frames then grow
// beyond max_frame_ms so that discovery can empty its queue.
constexpr int min_overload_failures = 6;
constexpr double overload_interval_ms = 30;  // per balancer
constexpr int max_counted_failures = 10;

// Polled: a reload moves a whole fleet to another discovery at once. The complete lists are spread over this
// time per balancer, which leaves discovery half of its time for changes.
constexpr double complete_list_interval_ms = 400;

// Pushed: maximum interval between calls as a share of a drain's grace, so that a drain from a returning
// agent is received in time.
constexpr double grace_share = 0.25;
constexpr double min_drain_poll_ms = 25;  // lower bound of that interval

}  // namespace

WatchPacingSettings watch_pacing_settings(const Settings& settings, const Logger& log) {
  using setting_values::number;
  if (setting_values::string_value(settings, "discovery") != "subscribe")
    return {.push_grace_ms = number(settings, "rules.stop_sending_within_ms", 250, log), .place = {}};
  auto tiers = setting_values::split_list(setting_values::string_value(settings, "stages")).size();
  double instances_of_tier = std::max(1.0, number(settings, "replicas_of_me", 1));
  double all_tiers = std::max(1.0, static_cast<double>(tiers));
  double tier_offset = number(settings, "stage", 0) / all_tiers;
  return {.push_grace_ms = {},
          .instances = all_tiers * instances_of_tier,
          .place = (number(settings, "my_number", 0) + tier_offset) / instances_of_tier};
}

WatchPacing::WatchPacing(const WatchPacingSettings& pacing_settings, std::uint64_t seed)
    : settings_(pacing_settings),
      random_(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      place_(pacing_settings.place ? *pacing_settings.place : random_fraction()) {}

double WatchPacing::call_timeout_ms() const {
  return is_pushed() ? pushed_call_timeout_ms : polled_call_timeout_ms;
}

double WatchPacing::first_line_timeout_ms() { return with_jitter(max_silence_ms, silence_jitter_ratio); }

double WatchPacing::silence_timeout_ms(double last_line_ms) {
  if (is_pushed()) return first_line_timeout_ms();
  return min_silence_ms + until_place_ms(last_line_ms + min_silence_ms, silence_frame_ms());
}

void WatchPacing::record_silence() { failures_ = std::min(failures_ + 1, max_counted_failures); }

double WatchPacing::reread_delay_ms() { return with_jitter(drain_poll_ms(), silence_jitter_ratio); }

double WatchPacing::first_call_delay_ms(double now_ms) const {
  return is_staggered() ? until_place_ms(now_ms, frame_ms()) : 0;
}

double WatchPacing::complete_list_delay_ms() {
  return is_pushed() ? 0 : complete_list_interval_ms * settings_.instances * (0.5 + 0.5 * random_fraction());
}

// The next call is made at the balancer's place, within one frame from the start of the failed call. If the
// failed call was not made at the balancer's place, the next place may be later than that. The delay is then
// drawn at random from the time that is left.
double WatchPacing::frame_backoff_ms(const FailedCall& call) {
  double place_ms = until_place_ms(call.failed_at_ms, frame_ms());
  // A call made at the balancer's place may be refused at once, and the rounded time may lie just before the
  // place.
  if (place_ms < first_backoff_ms) place_ms += frame_ms();
  double latest_ms = std::max(call.called_at_ms + frame_ms() - call.failed_at_ms, first_backoff_ms);
  if (place_ms > latest_ms + rounding_ms) place_ms = latest_ms * (0.5 + 0.5 * random_fraction());
  return std::max(place_ms, std::min(call.retry_after_ms, latest_ms));
}

bool WatchPacing::is_staggered() const {
  return !is_pushed() && settings_.instances >= min_staggered_fleet_size;
}

double WatchPacing::fleet_spread_ms() const {
  return std::min(fleet_call_interval_ms * settings_.instances, max_backoff_ms);
}

double WatchPacing::frame_ms() const {
  double ms = std::min(frame_interval_ms * settings_.instances, max_frame_ms);
  return failures_ < min_overload_failures ? ms : std::max(ms, overload_interval_ms * settings_.instances);
}

// The time that discovery needs for the fleet's calls, limited so that changes are applied in time. The calls
// of a larger fleet are spread over a longer time, so that none is refused after its wait in discovery's
// queue; some balancers of such a fleet receive their list late in any case.
double WatchPacing::silence_frame_ms() const {
  double fleet_calls_ms = fleet_call_interval_ms * settings_.instances;
  double in_time_ms =
      std::clamp(fleet_calls_ms, min_silence_frame_ms, max_replacement_delay_ms - min_silence_ms);
  return std::max(in_time_ms, fleet_calls_ms - max_queued_ms);
}

double WatchPacing::until_place_ms(double now_ms, double frame_ms) const {
  double since_place_ms = std::fmod(now_ms - place_ * frame_ms, frame_ms);
  return frame_ms - std::max(since_place_ms, 0.0);
}

double WatchPacing::backoff_ms(const FailedCall& call) {
  bool has_failed = failures_ > 0;
  double exponential_ms = first_backoff_ms * std::exp2(failures_);
  failures_ = std::min(failures_ + 1, max_counted_failures);
  if (is_pushed()) return std::min(exponential_ms, drain_poll_ms()) * (0.75 + 0.5 * random_fraction());
  if (is_staggered() && has_failed) return frame_backoff_ms(call);
  double own_backoff_ms =
      std::min(exponential_ms, max_small_fleet_backoff_ms) * (0.75 + 0.5 * random_fraction());
  double backoff_ms = std::max(own_backoff_ms, fleet_spread_ms() * random_fraction());
  return std::clamp(backoff_ms, std::min(call.retry_after_ms, max_backoff_ms), max_backoff_ms);
}

double WatchPacing::with_jitter(double ms, double share) { return ms * (1 - share * random_fraction()); }

double WatchPacing::drain_poll_ms() const {
  if (!is_pushed()) return polled_reread_delay_ms;
  return std::clamp(grace_share * *settings_.push_grace_ms, min_drain_poll_ms, pushed_call_timeout_ms);
}

double WatchPacing::random_fraction() { return static_cast<double>(random_() % 1000) / 1000; }

}  // namespace meadowgauge::proxy
