#include "proxy/discovery/error.hpp"

#include <cstring>

namespace meadowgauge::proxy {

std::string_view text_of(DiscoveryError error) {
  switch (error) {
    case DiscoveryError::connect_failed:
      return "discovery connect failed";
    case DiscoveryError::connection_broken:
      return "discovery connection broken";
    case DiscoveryError::connection_closed:
      return "discovery connection closed by the agent";
    case DiscoveryError::watch_timed_out:
      return "discovery watch timed out";
    case DiscoveryError::buffers_exhausted:
      return "discovery call failed: no free buffer";
    case DiscoveryError::malformed_response:
      return "discovery sent a malformed response";
    case DiscoveryError::unexpected_status:
      return "discovery responded with status";
    case DiscoveryError::list_too_long:
      return "discovery sent a list over the size limit";
    case DiscoveryError::malformed_list:
      return "discovery sent a malformed list";
    case DiscoveryError::watch_ended:
      return "discovery watch ended by the agent";
  }
  return "";
}

std::string message_of(DiscoveryError error, const DiscoveryErrorDetail& detail) {
  std::string message(text_of(error));
  if (detail.system_error != 0) message.append(": ").append(std::strerror(detail.system_error));
  if (detail.status != 0) message.append(" ").append(std::to_string(detail.status));
  return message;
}

}  // namespace meadowgauge::proxy
