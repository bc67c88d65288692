// Names of HTTP headers and paths on the wire.
#pragma once

#include <string_view>

namespace meadowgauge::protocol::names {

// Request headers.
inline constexpr std::string_view request_id = "X-Call-Id";
inline constexpr std::string_view tenant = "X-Caller";
inline constexpr std::string_view time_budget = "X-Budget-Ms";  // ms left until the client's deadline
inline constexpr std::string_view client_retry = "X-Again";     // "1": the client retries the request
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view request_hints = "X-Call-Info";  // cost and affinity key

// Response headers.
inline constexpr std::string_view load_report = "X-Load-Report";
inline constexpr std::string_view not_executed =
    "X-Rejected";  // "1": the endpoint has not executed the request

// Paths served by the balancer itself: readiness, and the prefix reserved for local paths.
inline constexpr std::string_view local_ready = "/-/ready";
inline constexpr std::string_view local_paths = "/-/";
// Paths that the balancer requests from endpoints and discovery.
inline constexpr std::string_view upstream_health = "/-/healthy";
inline constexpr std::string_view upstream_load = "/-/load";
inline constexpr std::string_view endpoint_list = "/api/targets";

}  // namespace meadowgauge::protocol::names
