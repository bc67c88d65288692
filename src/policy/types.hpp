// The plain data types of the decision module's interface. All durations are in milliseconds; points in time
// are milliseconds of the caller's clock.
#pragma once

#include <array>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowgauge {

// A point in time that is never reached, or no time limit.
inline constexpr double never = std::numeric_limits<double>::infinity();
inline constexpr int max_attempts = 8;  // per request
inline constexpr int max_probes = 8;    // per decision

// A small number that the caller assigns to an endpoint for the endpoint's lifetime. Indices are dense, so
// that per-endpoint state can be kept in vectors (see position_of()).
enum class EndpointIndex : std::int32_t {};
inline constexpr EndpointIndex no_endpoint{-1};

// Returns an endpoint's position in a vector with one element per index. `index` must not be `no_endpoint`.
constexpr std::size_t position_of(EndpointIndex index) { return static_cast<std::size_t>(index); }

// Values of settings by key. The keys are those of the operators' documentation.
using Settings = std::map<std::string, std::string, std::less<>>;

// Learned values by name, handed from a process to its successor. `NAME@INDEX` is a value of one endpoint.
using LearnedState = std::map<std::string, double>;

// How an attempt ended.
enum class Outcome : std::uint8_t {
  succeeded,
  error,
  rejected,  // the endpoint states that the attempt has not run
  timeout,
  unreachable,  // no connection was established, so the attempt has not run
  reset,
  cancelled,
  superseded  // not sent: the request no longer needs the attempt, or it may no longer be sent
};

// Whether the endpoint may have run an attempt that ended like this, or may run it yet.
constexpr bool may_have_run(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::unreachable && outcome != Outcome::superseded;
}

// State of an endpoint on the endpoint list; `gone` removes it from the list.
enum class EndpointState : std::uint8_t { gone, ready, draining };

// One entry of the endpoint list.
struct EndpointEntry {
  EndpointIndex endpoint{0};
  int zone = 0;
  int server_kind = 0;  // latencies are also averaged per server kind
  int cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;
  double up_since_ms = 0;         // start of the endpoint's process; 0: long ago
  bool manually_drained = false;  // drained by an operator
  std::uint32_t id = 0;           // id in gossip, the same at every balancer
};

// What an update of the endpoint list contains.
enum class EndpointListUpdate : std::uint8_t {
  delta,   // changed entries
  full,    // the complete list
  cached,  // the complete list that was saved before this process started
  failed   // no list: the call failed, or the subscription ended
};

// The latest load report on an endpoint, as sent in gossip.
struct EndpointReport {
  std::uint32_t id = 0;      // 24 bits
  double response_ms = 0;    // expected latency; 0: not known
  double failure_share = 0;  // failures / outcomes, 0 to 1
  double age_ms = 0;
};

// Estimated share of a cache key in the tier's requests, 0 to 1.
struct KeyShare {
  std::uint32_t key = 0;  // 24 bits
  double share = 0;
};

// Payload of a gossip message.
struct GossipContent {
  std::vector<EndpointReport> endpoints;
  std::vector<KeyShare> keys;
};

// Limits that let a message fit into a short datagram.
inline constexpr std::size_t max_gossip_endpoints = 36, max_gossip_keys = 8;

struct GossipMessage {
  int to = 0;  // number of the receiving balancer in its tier
  GossipContent content;
};

// An endpoint's load report. The values are in the order of the setting `report.columns`.
struct LoadReport {
  int count = 0;
  std::array<float, 4> values{};
};

// One attempt of a request at one endpoint.
struct Attempt {
  EndpointIndex endpoint = no_endpoint;
  int zone = 0;  // zone of the endpoint at the time of the pick
  int cell = 0;  // cell of the endpoint at the time of the pick

  double picked_at_ms = 0;  // the window of an idempotency key starts here
  double sent_at_ms = 0;    // time of the pick, or when an incoming body was complete if that is later

  Outcome outcome = Outcome::succeeded;  // valid once the attempt is no longer in flight
  int in_flight_at_send = 0;  // attempts in flight to all endpoints when this one was added, including it
  bool in_flight = false;
  bool counted_in_flight = false;     // counts towards the endpoint's requests in flight
  float expected_ms = 0;              // predicted latency; 0: not known
  double response_started_at_ms = 0;  // 0: not yet
};

// A request from its arrival until it is answered and has no attempt in flight. Owned by the caller. The
// caller writes the fields before `attempts` and those from `large_body`; the policy writes the ones between.
struct Request {
  int request_class = 0;
  int tenant = 0;
  double arrived_ms = 0;
  double deadline_ms = 0;  // when the client stops waiting

  bool client_retry = false;  // the client has sent the request before
  double work_ms = 0;         // hint of the work that the request takes; 0: none
  std::uint64_t key = 0;      // cache key; 0: none

  std::array<Attempt, max_attempts> attempts{};
  int attempt_count = 0;
  int in_flight = 0;
  bool admitted = false;
  bool answered = false;
  bool streaming = false;                // an attempt's response is being streamed to the client
  bool over_quota = false;               // exceeds both the tenant's quota and its share
  int probes_requested_for_attempt = 0;  // number, from 1, of the attempt that probes were last requested for

  bool large_body = false;      // the body exceeds the buffer: only one attempt at a time can send it
  bool body_incoming = false;   // the body is not complete yet
  bool body_forwarded = false;  // part of the body has left the buffer: no other attempt can send it

  // Returns the attempts made so far.
  [[nodiscard]] std::span<const Attempt> sent_attempts() const {
    return std::span(attempts).first(static_cast<std::size_t>(attempt_count));
  }
  [[nodiscard]] std::span<Attempt> sent_attempts() {
    return std::span(attempts).first(static_cast<std::size_t>(attempt_count));
  }
};

// The end of one attempt.
struct AttemptResult {
  int attempt = 0;  // position in Request::attempts
  Outcome outcome = Outcome::succeeded;
  bool request_closed = false;  // the client has its final answer
  LoadReport load_report;
};

// Why the policy rejected a request or let it fail. Operators see the names in `reason_names`.
enum class RejectionReason : std::uint8_t {
  none,
  throttle,           // the admission throttle
  concurrency_limit,  // the first tier, or the picked endpoint, is full for this request class
  retry_budget,       // a retry was allowed, but the retry budget is spent
  attempts,           // all allowed attempts were made, or the body can't be sent again
  deadline,           // too little time is left before the deadline
  not_repeatable,     // an earlier attempt may have run, so another one could repeat its effect
  slow_start,         // only warming endpoints are left, and their slow-start budget is spent
  no_server           // no endpoint is ready, or all have been tried
};
inline constexpr auto reason_names =
    std::to_array<std::string_view>({"none", "throttle", "concurrency_limit", "retry_budget", "attempts",
                                     "deadline", "not_repeatable", "slow_start", "no_server"});
inline constexpr std::size_t reason_count = std::size(reason_names);

// What the caller must do with a request now.
struct Decision {
  enum Kind : std::uint8_t {
    none,
    attempt,  // send the request to `endpoint`
    wait,     // call decide() again after AttemptTimeout::ask_again_ms
    reject,   // final answer: rejected; the client may repeat the request after `retry_after_ms`
    fail      // final answer: failed
  };
  Kind kind = none;
  EndpointIndex endpoint = no_endpoint;
  double retry_after_ms = 0;                       // for a rejection
  std::uint32_t cancel = 0;                        // bit mask of the attempts to cancel
  std::array<EndpointIndex, max_probes> probes{};  // endpoints to probe now
  int probe_count = 0;
  RejectionReason reason = RejectionReason::none;  // for a rejection or a failure
};

// Why an attempt is allowed in addition to the earlier ones of its request.
enum class RepeatBasis : std::uint8_t {
  first_attempt,
  none_has_run,  // each earlier attempt is known not to have run
  idempotent,
  key_window  // an earlier attempt may have run, and the servers of its group remember the idempotency key
};
inline constexpr auto repeat_basis_names =
    std::to_array<std::string_view>({"first_attempt", "none_has_run", "idempotent", "key_window"});

// Why the newest attempt of a request is allowed, for the log.
struct RepeatJudgement {
  RepeatBasis basis = RepeatBasis::first_attempt;
  std::string_view group;      // servers that share the idempotency key: all, zone, cell; none: no key
  int zone = 0;                // zone of the endpoint at the time of the pick
  int cell = 0;                // cell of the endpoint at the time of the pick
  double earliest_age_ms = 0;  // since the pick of the earliest attempt that may have run; 0: there is none
  double window_ms = 0;        // how long servers remember the idempotency key; 0: the request has no key
};

// Time limits of the newest attempt, all counted from now on.
struct AttemptTimeout {
  double limit_ms = 0;  // maximum duration of the attempt
  // If the request's last byte is not written by then, the attempt ends as superseded: later the attempt
  // could reach a server that no longer remembers the idempotency key.
  double send_by_ms = never;
  double ask_again_ms = never;  // when to call decide() again
};

}  // namespace meadowgauge
