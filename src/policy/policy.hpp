// The decision module: which endpoint a request is sent to, whether it is tried again, and what is rejected.
// It has no sockets, clock or threads; every call hands in the time. docs/design.md gives the reasons.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "policy/types.hpp"

namespace meadowgauge {

// One balancer's decisions. Not thread-safe. Requests belong to the caller and are changed by the calls that
// take them. No call throws, and none assumes that its input makes sense: what is out of range is ignored.
class Policy {
 public:
  // `seed` fixes every draw. A setting that can't be read is logged by the first tick() and takes its
  // default.
  Policy(const Settings& settings, std::uint64_t seed, double now_ms);
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  // At arrival, and again whenever attempt_timeout() said so.
  Decision decide(Request& request, double now_ms);
  // An attempt has ended; to be called once for each.
  Decision attempt_ended(Request& request, const AttemptResult& result, double now_ms);
  // After each decision to attempt or to wait.
  AttemptTimeout attempt_timeout(const Request& request, double now_ms);

  // Whether that attempt of the request, which has not been sent yet, may be: a list may have moved its
  // endpoint since it was picked. To be asked after each update of the endpoints.
  [[nodiscard]] bool may_still_be_sent(const Request& request, int attempt) const;

  // The client has left.
  Decision client_left(Request& request, double now_ms);
  // An attempt's response has started and goes to the client as it comes.
  Decision response_started(Request& request, int attempt, double now_ms);
  // A body that was incoming is complete; the request is due at `due` from now on.
  void body_complete(Request& request, double deadline_ms, double now_ms);

  void update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double now_ms);
  // A probe that a decision asked for has ended, after `took_ms`.
  void probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms, const LoadReport& load_report,
                   double now_ms);
  // From another balancer.
  void gossip_received(const GossipContent& content, double now_ms);
  // To be called each tick_interval_ms().
  PeriodicActions tick(double now_ms);
  [[nodiscard]] double tick_interval_ms() const;
  // An operator drains an endpoint, or puts it back.
  void set_manual_drain(EndpointIndex endpoint, bool drained, double now_ms);

  // For a successor; empty while too little has been learned.
  [[nodiscard]] LearnedState learned_state(double now_ms) const;
  // Of no effect once this instance has learned something itself.
  void restore(const LearnedState& state, double now_ms);

  // How many listed endpoints get nothing just now: drained by hand, ejected or silent. `unhealthy` gets
  // those of them that this module has found to be so itself.
  [[nodiscard]] int unavailable_endpoints(double now_ms,
                                          std::vector<EndpointIndex>* unhealthy = nullptr) const;
  // Of the admission throttle; nothing is dropped at 0 or below.
  [[nodiscard]] double drop_probability(double now_ms) const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace meadowgauge
