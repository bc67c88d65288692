// The plain types of the decision module's interface: what a caller hands in and what it gets back. They hold
// no decisions. All times are in milliseconds, points in time by the caller's clock.
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

inline constexpr double never = std::numeric_limits<double>::infinity();
inline constexpr int max_attempts = 8;  // of one request that are kept
inline constexpr int max_probes = 8;    // asked for by one decision

// A small number that the caller gives to an endpoint, the same for the endpoint's life. Indices are dense,
// so that per-endpoint state can be kept in vectors (see position_of()).
enum class EndpointIndex : std::int32_t {};
inline constexpr EndpointIndex no_endpoint{-1};

// The position of an endpoint's entry in a vector with one entry per index. `index` must not be
// `no_endpoint`.
constexpr std::size_t position_of(EndpointIndex index) { return static_cast<std::size_t>(index); }

// Setting keys to values, as handed over at the start.
using Settings = std::map<std::string, std::string, std::less<>>;

// What an instance has learned that is of use to its successor. `NAME@INDEX` tells of one endpoint.
using LearnedState = std::map<std::string, double>;

// How an attempt ended. superseded: it was never sent, as its request needed it no more.
enum class Outcome : std::uint8_t {
  succeeded,
  error,
  rejected,
  timeout,
  unreachable,
  reset,
  cancelled,
  superseded
};

enum class EndpointState : std::uint8_t { gone, ready, draining };

// One line of the endpoint list.
struct EndpointEntry {
  EndpointIndex endpoint{0};
  int zone = 0;
  int server_kind = 0;
  int cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;
  double up_since_ms = 0;         // 0: long ago
  bool manually_drained = false;  // by an operator
  std::uint32_t id = 0;           // the same at every balancer
};

// What an update of the endpoint list holds: changes; all of it; all of it as kept from before the start;
// nothing, as the list could not be had.
enum class EndpointListUpdate : std::uint8_t { delta, full, cached, failed };

// The latest that a balancer knows of an endpoint.
struct EndpointReport {
  std::uint32_t id = 0;      // 24 bits
  double response_ms = 0;    // how long a request takes there; 0: not known
  double failure_share = 0;  // of its outcomes, 0 to 1
  double age_ms = 0;
};

// A key's share of the tier's requests, as far as known.
struct KeyShare {
  std::uint32_t key = 0;  // 24 bits
  double share = 0;
};

// What one balancer tells another of endpoints and keys.
struct GossipContent {
  std::vector<EndpointReport> endpoints;
  std::vector<KeyShare> keys;
};

// As much as fills a short datagram.
inline constexpr std::size_t max_gossip_endpoints = 36, max_gossip_keys = 8;

// Gossip for another balancer of the tier, by its number.
struct GossipMessage {
  int to = 0;
  GossipContent content;
};

// A load report of an endpoint: values in the order of the setting report.columns.
struct LoadReport {
  int count = 0;
  std::array<float, 4> values{};
};

// One try of a request at one endpoint.
struct Attempt {
  EndpointIndex endpoint = no_endpoint;
  int zone = 0, cell = 0;   // of the endpoint when it was picked
  double picked_at_ms = 0;  // the window of an idempotency key begins here, before its first byte is out
  double sent_at_ms = 0;    // the same, or when a body that was still coming had come
  Outcome outcome = Outcome::succeeded;  // meaningful once it is no longer in flight
  int in_flight_at_send = 0;  // attempts in flight to all endpoints when it was sent, itself among them
  bool in_flight = false;
  bool counted_in_flight = false;     // among those that its endpoint is known to work on
  float expected_ms = 0;              // its predicted duration; 0: nothing was known
  double response_started_at_ms = 0;  // 0: not yet
};

// A request in hand. The caller makes it at arrival and keeps it until it is answered and no attempt is in
// flight. The caller writes the first and the last block, the module the one between.
struct Request {
  int request_class = 0;
  int tenant = 0;
  double arrived_ms = 0;
  double deadline_ms = 0;     // the client stops waiting then
  bool client_retry = false;  // the client has sent it before
  double work_ms = 0;         // a hint of what it costs; 0: none
  std::uint64_t key = 0;      // what it is about; 0: none

  std::array<Attempt, max_attempts> attempts{};
  int attempt_count = 0;
  int in_flight = 0;
  bool admitted = false;
  bool answered = false;
  bool streaming = false;                // its response has started and belongs to the client
  bool over_quota = false;               // beyond its tenant's quota and share
  int probes_requested_for_attempt = 0;  // the number, from 1, of the attempt that probes were last asked for

  bool large_body = false;      // more than is held at a time: no second copy can be sent beside the first
  bool body_incoming = false;   // the rest of it is still to come
  bool body_forwarded = false;  // part of it has been passed on and can't be sent once more

  // The attempts made so far.
  [[nodiscard]] std::span<const Attempt> sent_attempts() const {
    return std::span(attempts).first(static_cast<std::size_t>(attempt_count));
  }
  [[nodiscard]] std::span<Attempt> sent_attempts() {
    return std::span(attempts).first(static_cast<std::size_t>(attempt_count));
  }
};

// The end of one attempt.
struct AttemptResult {
  int attempt = 0;  // its number among the request's
  Outcome outcome = Outcome::succeeded;
  bool request_closed = false;  // the request has its final answer
  LoadReport load_report;
};

// Why a request was rejected or failed, as far as the module decided it.
enum class RejectionReason : std::uint8_t {
  none,
  throttle,           // the admission throttle
  concurrency_limit,  // the first tier is full to this balancer, for this class
  retry_budget,       // another attempt was possible, and none was left to spend
  attempts,           // the most attempts allowed were made, or a body could not be sent twice
  deadline,           // too little time was left
  not_repeatable,     // an earlier attempt may have run, and its effect, group or window forbids another
  slow_start,         // only cold servers were left, and their budget was used up
  no_server           // none was listed as ready, or all of them had been tried
};
inline constexpr std::string_view reason_names[] = {"none",           "throttle",   "concurrency_limit",
                                                    "retry_budget",   "attempts",   "deadline",
                                                    "not_repeatable", "slow_start", "no_server"};
inline constexpr std::size_t reason_count = std::size(reason_names);

// What to do with a request now.
struct Decision {
  // none: nothing. attempt: send it to `endpoint`. wait: ask again when attempt_timeout() says. reject: tell
  // the client that it may come again. fail: tell the client that it failed.
  enum Kind : std::uint8_t { none, attempt, wait, reject, fail } kind = none;
  EndpointIndex endpoint = no_endpoint;
  double retry_after_ms = 0;                       // of a rejection
  std::uint32_t cancel = 0;                        // a bit for each attempt to be cancelled
  std::array<EndpointIndex, max_probes> probes{};  // endpoints to probe now
  int probe_count = 0;
  RejectionReason reason = RejectionReason::none;  // of a rejection or a failure
};

// How long the newest attempt may take, and after how long decide() is to be asked again.
struct AttemptTimeout {
  double limit_ms = 0;
  // The request's last byte has to be out by then, or the attempt ends as never sent: later it could reach a
  // server that has forgotten the idempotency key.
  double send_by_ms = never;
  double ask_again_ms = never;
};

// What the caller is to do for the module after a tick.
struct PeriodicActions {
  bool subscribe = false;  // to the endpoint list
  bool lookup = false;     // of the endpoint list, once
  std::vector<GossipMessage> gossip;
  std::vector<std::string> log_lines;
};

}  // namespace meadowgauge
