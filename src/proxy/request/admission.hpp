// Admission: validates a parsed message and turns it into a typed request or a typed refusal before any other
// module reads it. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>
#include <vector>

#include "protocol/http.hpp"
#include "proxy/request/filter.hpp"
#include "proxy/request/request_ids.hpp"

namespace meadowgauge::proxy {

// Whether a request may be sent to an upstream more than once.
enum class RepeatRule : std::uint8_t {
  never,        // not idempotent: no retry once the request may have run
  idempotent,   // has no side effects
  deduplicated  // carries an idempotency key, by which endpoints detect a repeated request
};

// The settings of one request class; the first path segment of a request selects its class.
struct RequestClassRules {
  std::string name;  // first path segment of the class's requests
  RepeatRule repeat = RepeatRule::never;
  double client_timeout_ms = 0;  // time budget of requests that state none
  bool streamed = false;         // responses may stream for longer than the budget
};

// A request that passed all checks and may be dispatched.
struct AdmittedRequest {
  int request_class = 0;       // index in the settings
  int tenant = -1;             // index in the settings; -1: absent or not configured
  double budget_ms = 0;        // from the request's last byte to its final response
  bool client_retry = false;   // the client marks the request as a retry
  double work_ms = 0;          // the client's hint of the service time; 0: none
  std::uint64_t key = 0;       // affinity key; 0: none
  bool body_incoming = false;  // part of the body has not been received yet
};

// A request for one of the proxy's own paths, for example its readiness check.
struct LocalPathRequest {};

// Why admission refuses a message. Refusal::status() maps each reason to an HTTP status.
enum class RefusalReason : std::uint8_t {
  unknown_request_class,
  ambiguous_path,  // an endpoint might resolve it to another request class
  repeated_control_header,
  control_header_not_forwarded,  // `Connection` lists the id or the key
  missing_id,
  id_in_flight,  // another request with this id is unanswered
  wrong_method,
  unexpected_body,
  idempotency_key_mismatch,  // missing where the class requires a key, or present where it forbids one
  unreadable_budget,
  at_capacity,
  endpoints_unknown,  // the process has not received an endpoint list yet
  fleet_limit         // the quota of a fleet-wide limit is used up
};

// The final response to a message that is not dispatched.
struct Refusal {
  RefusalReason reason = RefusalReason::at_capacity;
  int request_class = -1;     // -1: unknown; such a request is not counted
  double retry_after_ms = 0;  // wait stated in the Retry-After header; 0: no header

  // The HTTP status of the response.
  [[nodiscard]] int status() const;
  // Whether the connection closes after the response. After a malformed request the proxy can't tell where
  // the next request starts.
  [[nodiscard]] bool closes_connection() const;
};

using AdmissionResult = std::variant<AdmittedRequest, LocalPathRequest, Refusal>;

// The proxy's state that admission depends on, at the moment of the call.
struct AdmissionContext {
  // The ids of unanswered requests.
  const std::unordered_set<std::string_view>& unanswered_ids;
  const RequestIds* effective_ids = nullptr;  // of requests whose effect may still come; null: none
  double now_ms = 0;                          // for `effective_ids`
  bool at_capacity = false;                   // the proxy holds its maximum number of requests
  bool endpoints_unknown = false;             // see RefusalReason
  RequestFilter* fleet_limits = nullptr;      // null: no fleet-wide limits
};

// Checks messages against the rules of their request class and against the fleet-wide limits.
class RequestAdmission {
 public:
  RequestAdmission(std::vector<RequestClassRules> classes, std::vector<std::string> tenants)
      : classes_(std::move(classes)), tenants_(std::move(tenants)) {}

  // Never throws. Consumes quota of the fleet-wide limits if the request is admitted, and has no other side
  // effect.
  [[nodiscard]] AdmissionResult admit(const protocol::Message& message,
                                      const AdmissionContext& context) const;

  [[nodiscard]] const std::vector<RequestClassRules>& classes() const { return classes_; }

 private:
  // Indices in the settings; -1: unknown.
  [[nodiscard]] int find_request_class(std::string_view path) const;
  [[nodiscard]] int find_tenant(const protocol::Message& message) const;

  std::vector<RequestClassRules> classes_;
  std::vector<std::string> tenants_;
};

}  // namespace meadowgauge::proxy
