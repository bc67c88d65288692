// Reasons for a failed call to discovery, with their texts for the log.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowgauge::proxy {

// Why a call or a watch failed.
enum class DiscoveryError : std::uint8_t {
  connect_failed,
  connection_broken,
  connection_closed,
  watch_timed_out,
  buffers_exhausted,
  malformed_response,
  unexpected_status,
  list_too_long,
  malformed_list,
  watch_ended,
};

// Details of a failure from the agent or the operating system; each is 0 if not applicable.
struct DiscoveryErrorDetail {
  int system_error = 0;       // errno value
  int status = 0;             // HTTP status
  double retry_after_ms = 0;  // requested by the agent
};

// The error's text without details.
std::string_view text_of(DiscoveryError error);
// The error's text, followed by the system error or the HTTP status.
std::string message_of(DiscoveryError error, const DiscoveryErrorDetail& detail);

}  // namespace meadowgauge::proxy
