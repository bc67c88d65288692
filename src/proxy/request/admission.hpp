// The edge of the proxy: a parsed message becomes a typed request or a typed refusal here, before anything
// else sees it. Values only: no I/O, no clock.
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
  never,        // it changes something: once it may have run, it is not sent again
  idempotent,   // it changes nothing
  deduplicated  // it carries an idempotency key by which servers recognise a repetition
};

// What the settings say of one request class.
struct RequestClassRules {
  std::string name;  // the first segment of its paths
  RepeatRule repeat = RepeatRule::never;
  double client_timeout_ms = 0;  // the time budget of a request that states none
  bool streamed = false;         // its responses may last longer than the budget
};

// A request that may be dispatched.
struct AdmittedRequest {
  int request_class = 0;
  int tenant = -1;       // -1: none that the settings name
  double budget_ms = 0;  // from its last byte to its final response
  bool client_retry = false;
  double work_ms = 0;          // a hint of what it costs; 0: none
  std::uint64_t key = 0;       // what it is about; 0: none
  bool body_incoming = false;  // the rest of its body is still to come
};

// A request for one of the proxy's own paths.
struct LocalPathRequest {};

enum class RefusalReason : std::uint8_t {
  unknown_request_class,
  ambiguous_path,  // some server might resolve it to another request class
  repeated_control_header,
  control_header_not_forwarded,  // id or key named as a hop's own header
  missing_id,
  id_in_flight,  // another request with this id has no response yet
  wrong_method,
  unexpected_body,
  idempotency_key_mismatch,  // absent where the class needs one, or there where it takes none
  unreadable_budget,
  at_capacity,
  fleet_limit  // a limit of the whole fleet is used up
};

struct Refusal {
  RefusalReason reason = RefusalReason::at_capacity;
  int request_class = -1;     // -1: none, and the request is not counted
  double retry_after_ms = 0;  // 0: not stated in the response

  // The HTTP status of its response.
  [[nodiscard]] int status() const;
  // Whether its connection ends with the response: a malformed request leaves in doubt what follows it.
  [[nodiscard]] bool closes_connection() const;
};

using AdmissionResult = std::variant<AdmittedRequest, LocalPathRequest, Refusal>;

// What admission depends on besides the message, as it is at this moment.
struct AdmissionContext {
  // Views of the ids of requests without a response.
  const std::unordered_set<std::string_view>& unanswered_ids;
  bool at_capacity = false;
  RequestFilter* fleet_limits = nullptr;  // none: no limit of a fleet holds
};

class RequestAdmission {
 public:
  RequestAdmission(std::vector<RequestClassRules> classes, std::vector<std::string> tenants)
      : classes_(std::move(classes)), tenants_(std::move(tenants)) {}

  // Never throws. An admitted request has used up its part of the fleet's limits; nothing else is changed.
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
