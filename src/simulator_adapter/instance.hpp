// One simulated balancer: its decision module, its request table and its timers. Events come in as typed
// messages; what the module answers goes out as actions of the reply. Decides nothing.
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

// Times are of the simulator's clock, in milliseconds. The caller selects the instance in the reply before
// each call.
class Instance final : proxy::RequestActions {
 public:
  // Sets the first periodic timer. `reply` outlives the instance and receives all its actions.
  Instance(const Settings& settings, std::uint64_t seed, double now_ms, Reply& reply);

  void request_arrived(const RequestArrived& message, double now_ms);
  void attempt_started(const AttemptStarted& message, double now_ms);
  void attempt_ended(const AttemptEnded& message, double now_ms);
  void client_gone(proxy::RequestNumber number, double now_ms);
  // Of no effect for an upstream that no list has named.
  void probe_done(const ProbeDone& message, double now_ms);
  // Bytes that are torn or of another version are ignored.
  void gossip_received(std::string_view gossip, double now_ms);
  // `entries`: the bytes of the list that the update names, empty where it names none.
  void endpoints_updated(const EndpointUpdate& update, std::string_view entries, double now_ms);
  void timer_expired(std::uint32_t nonce, double now_ms);
  // Before the reply ends: sets the timer of the next due time, if that is sooner than the one that runs.
  void update_timer(double now_ms);

 private:
  void start_attempt(proxy::RequestNumber number, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override;
  void reject(proxy::RequestNumber number, double retry_after_ms, RejectionReason) override;
  void fail(proxy::RequestNumber number, RejectionReason) override;
  void cancel_attempt(proxy::RequestNumber number, int attempt) override;
  void probe(EndpointIndex endpoint) override { reply_.probe(upstreams_[position_of(endpoint)]); }

  void run_periodic_actions(double now_ms);
  // The module's index of a simulated upstream; given at its first mention, and kept.
  EndpointIndex endpoint_index(std::uint32_t upstream);
  // The simulator's number of the endpoint, for the log; empty where there is none.
  [[nodiscard]] std::string upstream_name(EndpointIndex endpoint) const;

  Policy policy_;
  transport::DueTimes due_;
  proxy::RequestTable requests_;
  Reply& reply_;
  std::unordered_map<std::uint32_t, EndpointIndex> endpoint_by_upstream_;
  std::vector<std::uint32_t> upstreams_;  // by endpoint index
  double timer_at_ms_ = never;            // of the timer that runs for due times
  std::uint32_t timer_nonce_ = 1;         // never that of the periodic timer
  std::vector<EndpointEntry> entries_;    // kept for its capacity
};

}  // namespace meadowgauge::simulator_adapter
