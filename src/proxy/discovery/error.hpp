// Why a call to discovery failed, and the log's text for each reason.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowgauge::proxy {

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

// What the peer or the system reported beside the error; 0 where there is nothing.
struct DiscoveryErrorDetail {
  int system_error = 0;
  int status = 0;
  double retry_after_ms = 0;  // requested by the agent
};

std::string_view text_of(DiscoveryError error);
// The text with the system's error or the status behind it.
std::string message_of(DiscoveryError error, const DiscoveryErrorDetail& detail);

}  // namespace meadowgauge::proxy
