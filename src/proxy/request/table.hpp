// Keeps the state of each request and the time of the policy's next decision about it. The table passes
// events to the policy and carries out its decisions as RequestActions. The proxy and the simulator's adapter
// both use it. All times are in ms of the caller's clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/policy.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Identifies a request; assigned by the caller, never reused. Fits in the 56 bits of a DueKey.
enum class RequestNumber : std::uint64_t {};

constexpr std::uint64_t to_integer(RequestNumber number) { return static_cast<std::uint64_t>(number); }

// The state of a request; it only changes to a later state in this list. UpstreamAttempt::Phase is the state
// of one attempt.
enum class RequestState : std::uint8_t {
  received,    // before the policy's first decision
  admitted,    // the policy has postponed the first attempt
  in_flight,   // at least one attempt has been started
  responding,  // one attempt's response streams to the client
  done         // the final response is decided, or the client has left; attempts may still be in flight
};

// Carries out the policy's decisions. RequestTable calls it from within its events, in the order in which the
// actions must be executed.
class RequestActions {
 public:
  // Starts an attempt of the request. `attempt`: 0 for the first. `timeout`: its time limits.
  virtual void start_attempt(RequestNumber request, int attempt, EndpointIndex endpoint,
                             const AttemptTimeout& timeout) = 0;
  // Final response: rejected. `retry_after_ms`: for the Retry-After header; 0: no header.
  virtual void reject(RequestNumber request, double retry_after_ms, RejectionReason reason) = 0;
  // Final response: all attempts failed.
  virtual void fail(RequestNumber request, RejectionReason reason) = 0;
  // Cancels an attempt in flight. The owner still reports attempt_ended() for it.
  virtual void cancel_attempt(RequestNumber request, int attempt) = 0;
  // Ends the attempt as never sent unless the last byte of its request is sent within `send_by_ms` from now.
  // No effect on an attempt whose request is sent already.
  virtual void limit_sending(RequestNumber, int /*attempt*/, double /*send_by_ms*/) {}
  // Ends the attempt as never sent, unless its request is sent already.
  virtual void withdraw_attempt(RequestNumber, int) {}
  // Sends a health check or a load probe.
  virtual void probe(EndpointIndex endpoint) = 0;
  // The request is done and has no attempt in flight. The table has erased it; its bytes may be freed.
  virtual void released(RequestNumber) {}

 protected:
  ~RequestActions() = default;
};

// Owns the state of all requests until they are done and have no attempt in flight.
class RequestTable {
 public:
  static constexpr std::uint8_t due_kind = 0;  // DueKey kind

  // All parameters outlive the table.
  RequestTable(Policy& policy, transport::DueTimes& due, RequestActions& actions)
      : policy_(policy), due_(due), actions_(actions) {}
  ~RequestTable() = default;
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  // Events. An event for a request that is not in the table has no effect.

  // A new request. No effect if the number is in the table already.
  void request_arrived(RequestNumber number, const Request& request, double now_ms);
  // An attempt has ended, with any outcome.
  void attempt_ended(RequestNumber number, const AttemptResult& result, double now_ms);
  // The response of `attempt` starts to stream to the client. From now on no other attempt can answer.
  void response_started(RequestNumber number, int attempt, double now_ms);
  // The client has closed its connection.
  void client_left(RequestNumber number, double now_ms);
  // The last byte of a streamed request body has been received. `deadline_ms`: the request's new deadline, as
  // its time budget starts now. Returns the time limit of the current attempt, in ms from now.
  double body_complete(RequestNumber number, double deadline_ms, double now_ms);
  // The response is due although the request's body is incomplete: the deadline is now. The caller then ends
  // the attempt in flight, or calls decision_due().
  void deadline_passed(RequestNumber number, double now_ms);
  // The endpoint list has changed: withdraws unsent attempts at endpoints that are no longer permitted.
  void endpoints_updated();
  // Part of the body has been forwarded and is no longer buffered, so the request can't be retried.
  void body_forwarded(RequestNumber number);
  // The request's due time has been reached.
  void decision_due(RequestNumber number, double now_ms);

  // Whether the request is in the table and not done.
  [[nodiscard]] bool is_open(RequestNumber number) const;
  // Whether a response streams to the client.
  [[nodiscard]] bool is_responding(RequestNumber number) const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  // Whether any request in the table has an attempt at `endpoint`, in flight or ended.
  [[nodiscard]] bool has_attempted(EndpointIndex endpoint) const;
  // Why the newest attempt of a request in the table was allowed. For the log.
  [[nodiscard]] RepeatJudgement repeat_judgement(RequestNumber number, double now_ms) const {
    return policy_.repeat_judgement(requests_.at(number).request, now_ms);
  }
  // The concatenated describe(endpoint, sent_at_ms) of the attempts in flight. For the log.
  template <class F>
  [[nodiscard]] std::string describe_attempts(RequestNumber number, F&& describe) const {
    std::string descriptions;
    if (auto it = requests_.find(number); it != requests_.end())
      for (const auto& attempt : it->second.request.sent_attempts())
        if (attempt.in_flight) descriptions += describe(attempt.endpoint, attempt.sent_at_ms);
    return descriptions;
  }

 private:
  struct Entry {
    Request request;
    RequestState state = RequestState::received;
    double due_ms = transport::DueTimes::none;  // time of the next decision
  };
  using Entries = std::unordered_map<RequestNumber, Entry>;

  [[nodiscard]] static RequestState next_state(const Entry& entry, const Decision& decision);
  void carry_out(Entries::iterator it, const Decision& decision, double now_ms);
  // Called when a further attempt is decided. Limits how late the earlier unsent attempts may be sent: the
  // new attempt may run before them, and a late send would run the request again.
  void limit_earlier_attempts(RequestNumber number, const Request& request, double now_ms);
  void set_due(RequestNumber number, Entry& entry, double at_ms);
  // Takes the time limit of the latest attempt from the policy, and schedules the next decision.
  AttemptTimeout schedule_decision(RequestNumber number, Entry& entry, double now_ms);

  Policy& policy_;
  transport::DueTimes& due_;
  RequestActions& actions_;
  Entries requests_;
};

}  // namespace meadowgauge::proxy
