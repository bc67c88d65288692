// One simulated balancer.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proxy/request/table.hpp"
#include "simulator_adapter/codec.hpp"
#include "simulator_adapter/wire_messages.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::simulator_adapter {

// One simulated balancer: its policy, its request table and its timers. The member functions handle events;
// the resulting decisions become actions of the reply. Times are in ms of the simulator's clock. The caller
// must select the instance in the reply before each call.
class Instance final : proxy::RequestActions {
 public:
  // Sets the first periodic timer. `reply` receives all actions and must outlive the instance.
  Instance(const Settings& settings, std::uint64_t seed, double now_ms, Reply& reply);

  void request_arrived(const RequestArrived& message, double now_ms);
  void attempt_started(const AttemptStarted& message, double now_ms);
  void attempt_ended(const AttemptEnded& message, double now_ms);
  void client_gone(proxy::RequestNumber number, double now_ms);
  // Ignores upstreams that no endpoint list has named.
  void probe_done(const ProbeDone& message, double now_ms);
  // Ignores bytes that are damaged or have another format version.
  void gossip_received(std::string_view gossip, double now_ms);
  // `entries`: the list that the update refers to, in the wire format; empty if the update has no list.
  void endpoints_updated(const EndpointUpdate& update, std::string_view entries, double now_ms);
  void timer_expired(std::uint32_t nonce, double now_ms);
  // Sets a timer for the next due time if that is sooner than the running timer. Must be called after all
  // events of a batch.
  void update_timer(double now_ms);

 private:
  void start_attempt(proxy::RequestNumber number, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override;
  void reject(proxy::RequestNumber number, double retry_after_ms, RejectionReason) override;
  void fail(proxy::RequestNumber number, RejectionReason) override;
  void cancel_attempt(proxy::RequestNumber number, int attempt) override;
  void probe(EndpointIndex endpoint) override { reply_.probe(upstreams_[position_of(endpoint)]); }

  void run_periodic_actions(double now_ms);
  // The policy's index of the simulated upstream; assigned on first use.
  EndpointIndex endpoint_index(std::uint32_t upstream);
  // The simulator's number of the endpoint, as text for the log; empty for no_endpoint.
  [[nodiscard]] std::string upstream_name(EndpointIndex endpoint) const;

  Policy policy_;
  transport::DueTimes due_;
  proxy::RequestTable requests_;
  Reply& reply_;
  std::unordered_map<std::uint32_t, EndpointIndex> endpoint_by_upstream_;
  std::vector<std::uint32_t> upstreams_;  // by endpoint index
  double timer_at_ms_ = never;            // when the running timer for due times expires
  std::uint32_t timer_nonce_ = 1;         // never equal to periodic_nonce
  std::vector<EndpointEntry> entries_;    // scratch space, kept to reuse its capacity
};

}  // namespace meadowgauge::simulator_adapter
