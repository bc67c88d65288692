// The requests that have not been forgotten yet, each with its state, and when the policy is to be asked
// about it again. The proxy and the simulator's adapter both use it: events go in, whatever wire they came
// by, and actions come out. It decides nothing. All times are in ms of the caller's clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "policy/policy.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// A request's number, given out by the caller and never twice. It has to fit in the 56 bits of a due time's
// key.
enum class RequestNumber : std::uint64_t {};

constexpr std::uint64_t to_integer(RequestNumber number) { return static_cast<std::uint64_t>(number); }

// How far a request has come. It only ever moves on to a later state. Whether an attempt of it is still
// waiting for a connection is known to Upstreams alone.
enum class RequestState : std::uint8_t {
  received,    // the policy has not been asked about it yet
  admitted,    // it waits: the policy has asked for time before its first attempt
  in_flight,   // an attempt has been started, or several
  responding,  // one attempt's response is being sent to the client as it comes
  done         // it has its final response, or its client has left; attempts may still have to end
};

// What the owner carries out for the policy. Called in the order in which things are to happen, and from
// within the events of RequestTable.
class RequestActions {
 public:
  // Starts the request's attempt of that number, from 0. `timeout` tells how long it may take.
  virtual void start_attempt(RequestNumber request, int attempt, EndpointIndex endpoint,
                             const AttemptTimeout& timeout) = 0;
  // The final response: rejected, with the ms after which the client may try again (0: not stated).
  virtual void reject(RequestNumber request, double retry_after_ms, RejectionReason reason) = 0;
  // The final response: its attempts failed.
  virtual void fail(RequestNumber request, RejectionReason reason) = 0;
  // An attempt in flight is no longer needed; its end is still reported with attempt_ended().
  virtual void cancel_attempt(RequestNumber request, int attempt) = 0;
  // An attempt that waits to be sent must not be any more: it ends as never sent. One that was sent goes on.
  virtual void withdraw_attempt(RequestNumber, int) {}
  // Asks that endpoint for its health or its load.
  virtual void probe(EndpointIndex endpoint) = 0;
  // It is done and has no attempt in flight: the table has forgotten it, and its bytes may be freed.
  virtual void released(RequestNumber) {}

 protected:
  ~RequestActions() = default;
};

class RequestTable {
 public:
  static constexpr std::uint8_t due_kind = 0;  // of its due times

  // All of these outlive it.
  RequestTable(Policy& policy, transport::DueTimes& due, RequestActions& actions)
      : policy_(policy), due_(due), actions_(actions) {}
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  // Events. Those of a request that is not in the table change nothing.

  // A new request; one whose number is in the table already is left as it is.
  void request_arrived(RequestNumber number, const Request& request, double now_ms);
  void attempt_ended(RequestNumber number, const AttemptResult& result, double now_ms);
  // The response of that attempt streams to the client: it is the request's from now on.
  void response_started(RequestNumber number, int attempt, double now_ms);
  // The client has gone.
  void client_left(RequestNumber number, double now_ms);
  // All of the body is here, of a request that arrived before it was. `due`: when its client stops waiting.
  // Returns how many ms its attempt may take from now on.
  double body_complete(RequestNumber number, double deadline_ms, double now_ms);
  // The endpoint list has changed: withdraws what must not be sent there any more.
  void endpoints_updated();
  // Part of its body has been passed on, so that it can't be sent once more.
  void body_forwarded(RequestNumber number);
  // A due time of `due_kind` has been reached.
  void decision_due(RequestNumber number, double now_ms);

  // Whether this request still waits for its final response.
  [[nodiscard]] bool is_open(RequestNumber number) const;
  // Whether a response streams to its client.
  [[nodiscard]] bool is_responding(RequestNumber number) const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }
  // Whether a request in the table has been attempted there, whatever came of it.
  [[nodiscard]] bool has_attempted(EndpointIndex endpoint) const;
  // For the log: describe(endpoint, sent_at) of each attempt in flight, one behind the other.
  template <class F>
  [[nodiscard]] std::string describe_attempts(RequestNumber number, F&& describe) const {
    std::string all;
    if (auto it = requests_.find(number); it != requests_.end())
      for (const auto& attempt : it->second.request.sent_attempts())
        if (attempt.in_flight) all += describe(attempt.endpoint, attempt.sent_at_ms);
    return all;
  }

 private:
  struct Entry {
    Request request;
    RequestState state = RequestState::received;
    double due_ms = transport::DueTimes::none;  // of the next decision
  };
  using Entries = std::unordered_map<RequestNumber, Entry>;

  [[nodiscard]] static RequestState next_state(const Entry& entry, const Decision& decision);
  void carry_out(Entries::iterator it, const Decision& decision, double now_ms);
  void set_due(RequestNumber number, Entry& entry, double at_ms);
  // Asks the policy how long the newest attempt may take, and when the next decision is due.
  AttemptTimeout schedule_decision(RequestNumber number, Entry& entry, double now_ms);

  Policy& policy_;
  transport::DueTimes& due_;
  RequestActions& actions_;
  Entries requests_;
};

}  // namespace meadowgauge::proxy
