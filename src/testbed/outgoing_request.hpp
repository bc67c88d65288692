// Serializes a request of a client, or of a server that calls the next tier.
#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

#include "protocol/names.hpp"
#include "testbed/model/traffic.hpp"

namespace meadowgauge::testbed {

// The parts of a request. The viewed texts must outlive the call to serialize().
struct OutgoingRequest {
  const RequestClassSpec* request_class;
  std::string_view id, key, tenant;
  double budget_ms;         // the remaining time of the client's timeout
  bool mark_retry = false;  // marks the request as a client's retry
};

// Returns the bytes of the request, including its body.
inline std::string serialize(const OutgoingRequest& request) {
  namespace names = protocol::names;
  const auto& request_class = *request.request_class;
  bool get = request_class.idempotency == Idempotency::safe;
  std::string text(get ? "GET /" : "POST /");
  auto add_field = [&](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  text.append(request_class.name).append("/1 HTTP/1.1\r\nHost: backend.local\r\n");
  add_field(names::request_id, request.id);
  if (!request.tenant.empty()) add_field(names::tenant, request.tenant);
  add_field(names::time_budget,
            std::to_string(static_cast<long>(std::max(0.0, std::floor(request.budget_ms)))));
  if (request_class.idempotency == Idempotency::deduplicated) add_field(names::idempotency_key, request.key);
  if (request.mark_retry) add_field(names::client_retry, "1");
  if (!get) add_field("Content-Length", std::to_string(request_class.request_body_bytes));
  text += "\r\n";
  if (!get) text.append(static_cast<std::size_t>(request_class.request_body_bytes), 'b');
  return text;
}

}  // namespace meadowgauge::testbed
