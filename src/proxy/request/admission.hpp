// The edge of the proxy: turns a parsed message into a typed request or a typed refusal before any other
// module reads it. Pure: no I/O, no clock.
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

namespace meadowgauge::proxy {

// Whether a request may be sent to an upstream more than once.
enum class RepeatRule : std::uint8_t {
  never,        // not idempotent: no retry once the request may have run
  idempotent,   // has no side effects
  deduplicated  // carries an idempotency key, by which endpoints recognise a repetition
};

// The settings of one request class.
struct RequestClassRules {
  std::string name;  // first segment of the paths of the class
  RepeatRule repeat = RepeatRule::never;
  double client_timeout_ms = 0;  // default time budget
  bool streamed = false;         // responses may last longer than the budget
};

// A request that may be dispatched.
struct AdmittedRequest {
  int request_class = 0;
  int tenant = -1;       // -1: absent, or unknown to the settings
  double budget_ms = 0;  // from the request's last byte to its final response
  bool client_retry = false;
  double work_ms = 0;          // hint of the request's cost; 0: none
  std::uint64_t key = 0;       // affinity key; 0: none
  bool body_incoming = false;  // part of the body has not been received yet
};

// A request for one of the proxy's own paths.
struct LocalPathRequest {};

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
  endpoints_unknown,  // no endpoint list since the start of the process
  fleet_limit         // a fleet-wide limit is exhausted
};

struct Refusal {
  RefusalReason reason = RefusalReason::at_capacity;
  int request_class = -1;     // -1: unknown; such a request is not counted
  double retry_after_ms = 0;  // 0: not stated in the response

  // The HTTP status of the response.
  [[nodiscard]] int status() const;
  // Whether the connection closes after the response: behind a malformed request the start of the next
  // request is uncertain.
  [[nodiscard]] bool closes_connection() const;
};

using AdmissionResult = std::variant<AdmittedRequest, LocalPathRequest, Refusal>;

// The proxy's state that admission depends on, at the moment of the call.
struct AdmissionContext {
  // The ids of unanswered requests.
  const std::unordered_set<std::string_view>& unanswered_ids;
  bool at_capacity = false;
  bool endpoints_unknown = false;
  RequestFilter* fleet_limits = nullptr;  // null: no fleet-wide limits
};

class RequestAdmission {
 public:
  RequestAdmission(std::vector<RequestClassRules> classes, std::vector<std::string> tenants)
      : classes_(std::move(classes)), tenants_(std::move(tenants)) {}

  // Never throws. An admitted request has consumed its quota of the fleet's limits; admit() changes nothing
  // else.
  [[nodiscard]] AdmissionResult admit(const protocol::Message& message,
                                      const AdmissionContext& context) const;

  [[nodiscard]] const std::vector<RequestClassRules>& classes() const { return classes_; }

 private:
  [[nodiscard]] int class_of(std::string_view path) const;
  [[nodiscard]] int tenant_of(const protocol::Message& message) const;

  std::vector<RequestClassRules> classes_;
  std::vector<std::string> tenants_;
};

}  // namespace meadowgauge::proxy
