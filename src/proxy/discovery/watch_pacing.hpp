// When the watch on discovery is given up, and when discovery is called again. Values only: no I/O, and no
// clock; times are durations in milliseconds.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "policy/types.hpp"
#include "proxy/logger.hpp"

namespace meadowgauge::proxy {

// What the pacing follows, from the settings.
struct WatchTerms {
  // Lists are pushed: the grace of a drain, which binds as soon as the local agent knows of it. None where
  // lists are polled: calls then use up a discovery that all balancers share.
  std::optional<double> push_grace_ms;
  // Balancers that call the same discovery, as far as this one can tell: calls are spread over so many.
  double instances = 1;
};

// Where lists are polled, a tier of few balancers has more of its traffic at each, which makes what one does
// not know the worse: it calls the sooner, as each tier has an equal part of the calls.
WatchTerms watch_terms(const Settings& settings, const Logger& log);

// One for each watch. Deterministic for a seed.
class WatchPacing {
 public:
  WatchPacing(const WatchTerms& terms, std::uint64_t seed);

  // A call without the first bytes of its answer, or without progress of a complete list, is given up after
  // this.
  [[nodiscard]] double answer_limit_ms() const;
  // A watch without a sign of life is given up after this; drawn anew each time, so that watches which fall
  // silent at one moment are not taken up in step.
  double silence_limit_ms();
  // What may tell of a drain, and could not be read, is asked for again after this.
  double reread_limit_ms();
  // A new process calls first after this: many start in one step, and the list that they start with serves.
  double first_call_ms();
  // A call was refused, failed or given up, or the watch ended: the next call comes this much later.
  // `retry_after_ms`: what the refusal asked for, 0 for none.
  double backoff_ms(double retry_after_ms = 0);
  // After a move to another discovery its complete list is fetched this much later, and the changes since the
  // last version until then: 0 where lists are pushed.
  double complete_list_delay_ms();
  // Discovery told something.
  void answered() { failures_ = 0; }

  [[nodiscard]] bool failed_before() const { return failures_ > 0; }
  [[nodiscard]] bool pushed() const { return terms_.push_grace_ms.has_value(); }
  // `ms` less a part drawn from `spread`.
  double spread(double ms, double share);

 private:
  [[nodiscard]] double urgent_ms() const;
  [[nodiscard]] double fleet_ms() const;
  double chance();

  WatchTerms terms_;
  std::minstd_rand random_;
  int failures_ = 0;  // in a row
};

}  // namespace meadowgauge::proxy
