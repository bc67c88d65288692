// The decision module: which endpoint a request goes to, whether there is another attempt, and what is
// rejected. It has no sockets, clock or threads; every call passes the time. Design: docs/design.md.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "policy/policy_event.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// What the caller has to do after a tick.
struct PeriodicActions {
  bool subscribe = false;  // to the endpoint list
  bool lookup = false;     // of the endpoint list, once
  std::vector<GossipMessage> gossip;
  std::vector<PolicyEvent> events;  // for the log, in the order in which they happened
};

// One balancer's decisions. Not thread-safe. Requests are owned by the caller and changed by the calls that
// take them. No call throws. Input that is out of range is ignored. The same calls with the same seed give
// the same answers.
class Policy {
 public:
  // A setting that is not a number takes its default and is an event of the first tick().
  Policy(const Settings& settings, std::uint64_t seed, double now_ms);
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  // To be called when a request arrives, and again after AttemptTimeout::ask_again_ms.
  Decision decide(Request& request, double now_ms);
  // An attempt has ended. To be called once for each.
  Decision attempt_ended(Request& request, const AttemptResult& result, double now_ms);
  // To be called after each decision to attempt or to wait.
  AttemptTimeout attempt_timeout(const Request& request, double now_ms);

  // Whether that attempt, which has not been sent yet, may be sent: a list may have moved its endpoint since
  // the pick. To be called after each update of the endpoints.
  [[nodiscard]] bool may_still_be_sent(const Request& request, int attempt) const;
  // Until when the last byte of that attempt has to be written, from now on; `never`: within its limit. To be
  // called for each unsent attempt once another attempt of its request is decided.
  [[nodiscard]] double send_by_ms(const Request& request, int attempt, double now_ms) const;
  // What allows the request's newest attempt; for the log, after a decision to attempt.
  [[nodiscard]] RepeatJudgement repeat_judgement(const Request& request, double now_ms) const;

  // The client has disconnected.
  Decision client_left(Request& request, double now_ms);
  // An attempt's response has started and goes to the client as it comes. No other attempt follows.
  Decision response_started(Request& request, int attempt, double now_ms);
  // An incoming body is complete. The request has a new deadline from now on.
  void body_complete(Request& request, double deadline_ms, double now_ms);

  void update_endpoints(EndpointListUpdate kind, std::span<const EndpointEntry> entries, double now_ms);
  // A probe that a decision asked for has ended, after `took_ms`.
  void probe_ended(EndpointIndex endpoint, Outcome outcome, double took_ms, const LoadReport& load_report,
                   double now_ms);
  // Gossip of another balancer.
  void gossip_received(const GossipContent& content, double now_ms);
  // It is this balancer's turn to try these endpoints, by their ids in gossip, which the fleet has ejected:
  // the next request that may go there does, once a turn. The turns of all other endpoints end.
  void request_trials(std::span<const std::uint32_t> endpoint_ids);
  // To be called every tick_interval_ms().
  PeriodicActions tick(double now_ms);
  [[nodiscard]] double tick_interval_ms() const;
  // An operator drains an endpoint, or ends its drain.
  void set_manual_drain(EndpointIndex endpoint, bool drained, double now_ms);

  // For a successor process; empty while too little has been learned.
  [[nodiscard]] LearnedState learned_state(double now_ms) const;
  // Has no effect once this instance has learned something itself.
  void restore(const LearnedState& state, double now_ms);

  // How many listed endpoints get no requests: drained by an operator, ejected or unresponsive. Appends the
  // latter two to `unhealthy`, if given.
  [[nodiscard]] int unavailable_endpoints(double now_ms,
                                          std::vector<EndpointIndex>* unhealthy = nullptr) const;
  // Of the admission throttle; 0 or below: nothing is dropped.
  [[nodiscard]] double drop_probability(double now_ms) const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace meadowgauge
