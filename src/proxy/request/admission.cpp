#include "proxy/request/admission.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "protocol/names.hpp"
#include "protocol/request_hints.hpp"
#include "protocol/target.hpp"
#include "protocol/text.hpp"

namespace meadowgauge::proxy {

using protocol::equals_ignoring_case;
using protocol::Message;
namespace names = protocol::names;

namespace {

constexpr std::uint32_t max_stated_budget_ms = 3600000;
constexpr double max_budget_ms = 1e7;
// Most restarted processes have received their first endpoint list after this time.
constexpr double endpoints_unknown_retry_after_ms = 1000;

// An absent budget is valid and takes the class's default. A present but unreadable budget is not: the
// request is refused.
bool has_valid_budget(const Message& message) {
  if (message.count(names::time_budget) == 0) return true;
  auto text = message.find(names::time_budget);
  std::uint32_t ms = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
  return error == std::errc{} && end == text.data() + text.size() && ms <= max_stated_budget_ms;
}

bool has_repeated_control_header(const Message& message) {
  constexpr std::array control_headers = {names::request_id,   names::tenant,          names::time_budget,
                                          names::client_retry, names::idempotency_key, names::request_hints};
  return std::ranges::any_of(control_headers, [&](auto name) { return message.count(name) > 1; });
}

// True if a `Connection` header lists the request id or the idempotency key: that header would not be
// forwarded.
bool control_header_not_forwarded(const Message& message) {
  return std::ranges::any_of(message.fields(), [&](const protocol::Field& field) {
    bool must_pass = equals_ignoring_case(field.name, names::request_id) ||
                     equals_ignoring_case(field.name, names::idempotency_key);
    return must_pass && !message.is_forwarded(field);
  });
}

double budget_ms_of(const Message& message, const RequestClassRules& rules) {
  auto text = message.find(names::time_budget);
  double stated = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), stated);
  bool is_readable = error == std::errc{} && end == text.data() + text.size() && std::isfinite(stated);
  return std::clamp(is_readable ? stated : rules.client_timeout_ms, 0.0, max_budget_ms);
}

// Returns why the message violates the rules of its class, if it does. An ambiguous message is refused
// because the proxy and an endpoint might read it as two different requests.
std::optional<RefusalReason> validate(const Message& message, const RequestClassRules& rules,
                                      const AdmissionContext& context) {
  if (has_repeated_control_header(message)) return RefusalReason::repeated_control_header;
  if (control_header_not_forwarded(message)) return RefusalReason::control_header_not_forwarded;
  auto id = message.find(names::request_id);
  if (id.empty()) return RefusalReason::missing_id;
  if (context.unanswered_ids.contains(id)) return RefusalReason::id_in_flight;
  bool idempotent = rules.repeat == RepeatRule::idempotent;
  if (!idempotent && context.effective_ids && context.effective_ids->contains(id, context.now_ms))
    return RefusalReason::id_in_flight;
  if (message.method() != (idempotent ? "GET" : "POST")) return RefusalReason::wrong_method;
  if (idempotent && (message.body_size() > 0 || !message.complete())) return RefusalReason::unexpected_body;
  bool is_key_missing = message.find(names::idempotency_key).empty();
  bool has_key_header = message.count(names::idempotency_key) > 0;
  if (rules.repeat == RepeatRule::deduplicated ? is_key_missing : has_key_header)
    return RefusalReason::idempotency_key_mismatch;
  if (!has_valid_budget(message)) return RefusalReason::unreadable_budget;
  return {};
}

}  // namespace

int Refusal::status() const {
  switch (reason) {
    case RefusalReason::unknown_request_class:
      return 404;
    case RefusalReason::wrong_method:
      return 405;
    case RefusalReason::id_in_flight:
      return 409;
    case RefusalReason::fleet_limit:
      return 429;
    case RefusalReason::at_capacity:
    case RefusalReason::endpoints_unknown:
      return 503;
    default:
      return 400;
  }
}

bool Refusal::closes_connection() const { return status() != 429 && status() != 503; }

int RequestAdmission::find_request_class(std::string_view path) const {
  auto name = protocol::first_segment(path);
  auto it = std::find_if(classes_.begin(), classes_.end(), [&](const auto& c) { return c.name == name; });
  return it == classes_.end() ? -1 : static_cast<int>(it - classes_.begin());
}

int RequestAdmission::find_tenant(const Message& message) const {
  auto it = std::find(tenants_.begin(), tenants_.end(), message.find(names::tenant));
  return it == tenants_.end() ? -1 : static_cast<int>(it - tenants_.begin());
}

AdmissionResult RequestAdmission::admit(const Message& message, const AdmissionContext& context) const {
  auto path = protocol::path_of(message.target());
  if (path.starts_with(names::local_paths)) return LocalPathRequest{};
  int request_class = find_request_class(path);
  auto refuse = [request_class](RefusalReason reason, double retry_after_ms = 0) {
    return Refusal{.reason = reason, .request_class = request_class, .retry_after_ms = retry_after_ms};
  };
  // Without a class it is unknown whether the request may be retried, so it is not forwarded.
  if (request_class < 0) return refuse(RefusalReason::unknown_request_class);
  // An endpoint that normalizes the path might run the request as another class, with another RepeatRule.
  if (!protocol::resolves_under_first_segment(path)) return refuse(RefusalReason::ambiguous_path);
  const auto& rules = classes_[static_cast<std::size_t>(request_class)];
  if (auto reason = validate(message, rules, context)) return refuse(*reason);
  // Refused before the policy sees the request: there is no capacity to hold it.
  if (context.at_capacity) return refuse(RefusalReason::at_capacity);
  if (context.endpoints_unknown)
    return refuse(RefusalReason::endpoints_unknown, endpoints_unknown_retry_after_ms);
  auto hints = protocol::read_request_hints(message.find(names::request_hints));
  AdmittedRequest request{.request_class = request_class,
                          .tenant = find_tenant(message),
                          .budget_ms = budget_ms_of(message, rules),
                          .client_retry = message.find(names::client_retry) == "1",
                          .work_ms = hints.work_ms,
                          .key = hints.key,
                          .body_incoming = !message.complete()};
  // Checked last, because it consumes quota.
  if (context.fleet_limits)
    if (double wait_ms = context.fleet_limits->try_acquire(request.tenant, request_class); wait_ms > 0)
      return refuse(RefusalReason::fleet_limit, wait_ms);
  return request;
}

}  // namespace meadowgauge::proxy
