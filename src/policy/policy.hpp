// The decision module. It picks an endpoint for each request and decides on retries, hedged requests and
// rejections. It uses no sockets, clock or threads; every call passes the current time. Design:
// docs/design.md.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// The actions that the caller must perform after a tick.
struct PeriodicActions {
  bool subscribe = false;             // subscribe to the endpoint list
  bool lookup = false;                // fetch the endpoint list once
  std::vector<GossipMessage> gossip;  // messages to send
  std::vector<PolicyEvent> events;    // events to log, oldest first
};

// Makes the decisions of one balancer. Not thread-safe. The caller owns the requests; calls that take a
// non-const Request update it. No call throws. Out-of-range input is ignored. The same sequence of calls
// with the same seed produces the same decisions.
class Policy {
 public:
  // A setting that is not a number takes its default and is reported as an event by the first tick().
  Policy(const Settings& settings, std::uint64_t seed, double now_ms);
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  // Decides what to do with a request. Call it when the request arrives, and again after
  // AttemptTimeout::ask_again_ms.
  Decision decide(Request& request, double now_ms);
  // Records the end of an attempt and decides what follows. Call it once per attempt.
  Decision attempt_ended(Request& request, const AttemptResult& result, double now_ms);
  // Returns the time limits of the newest attempt. Call it after each decision to attempt or to wait.
  AttemptTimeout attempt_timeout(const Request& request, double now_ms);

  // Returns whether an attempt that has not been sent yet may still be sent: an endpoint list may have moved
  // the endpoint since the pick. Call it after each endpoint update.
  [[nodiscard]] bool may_still_be_sent(const Request& request, int attempt) const;
  // Returns the time in ms from now within which the last byte of the attempt must be written; `never` if
  // only the attempt's limit applies. Call it for each unsent attempt once its request gets another attempt.
  [[nodiscard]] double send_by_ms(const Request& request, int attempt, double now_ms) const;
  // Returns why the request's newest attempt is allowed, for the log. Call it after a decision to attempt.
  [[nodiscard]] RepeatJudgement repeat_judgement(const Request& request, double now_ms) const;

  // Records that the client has disconnected.
  Decision client_left(Request& request, double now_ms);
  // Records that an attempt's response has started to stream to the client. No other attempt follows.
  Decision response_started(Request& request, int attempt, double now_ms);
  // Records that an incoming body is complete. `deadline_ms` replaces the request's deadline.
  void body_complete(Request& request, double deadline_ms, double now_ms);

  // Applies an endpoint list, complete or as a delta, or records that fetching it failed.
  void update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double now_ms);
  // Records that a probe requested by a decision has ended after `took_ms`.
  void probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms, const LoadReport& load_report,
                   double now_ms);
  // Applies gossip from another balancer.
  void gossip_received(const GossipContent& content, double now_ms);
  // Gives this balancer the turn to try the endpoints with these gossip ids, which the fleet has ejected: the
  // next eligible request goes to each of them, once per turn. The turns of all other endpoints end.
  void request_trials(std::span<const std::uint32_t> endpoint_ids);
  // Does the periodic work. Call it every tick_interval_ms().
  PeriodicActions tick(double now_ms);
  [[nodiscard]] double tick_interval_ms() const;
  // Starts or ends a drain of an endpoint by an operator.
  void set_manual_drain(EndpointIndex endpoint, bool drained, double now_ms);

  // Returns the state to hand to a successor process; empty while too little has been learned.
  [[nodiscard]] LearnedState learned_state(double now_ms) const;
  // Restores a predecessor's state. Has no effect once this instance has learned something itself.
  void restore(const LearnedState& state, double now_ms);

  // Returns the number of listed endpoints that get no requests because they are manually drained, ejected or
  // unresponsive. Appends the ejected and unresponsive ones to `unhealthy` unless it is null.
  [[nodiscard]] int unavailable_endpoints(double now_ms,
                                          std::vector<EndpointIndex>* unhealthy = nullptr) const;
  // Returns the admission throttle's drop probability; at 0 or below, no request is dropped.
  [[nodiscard]] double drop_probability(double now_ms) const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace meadowgauge
