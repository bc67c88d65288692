#include "proxy/policy_event_log.hpp"

#include <array>
#include <cmath>
#include <cstdio>

namespace meadowgauge::proxy {
namespace {

std::string with_two_decimals(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", value);
  return text.data();
}

struct MessageWriter {
  std::string_view endpoint_name;

  std::string operator()(const EndpointEjected& event) const {
    return std::string("endpoint ").append(endpoint_name) + " ejected: failure share " +
           with_two_decimals(event.failure_share) + ", peers " + with_two_decimals(event.peers_failure_share);
  }
  std::string operator()(const RequestsDropped& event) const {
    return "admission throttle drops " + std::to_string(std::lround(event.drop_probability * 100)) +
           "% of requests";
  }
  std::string operator()(const DiscoveryUnreachable& event) const {
    return "discovery unreachable: " + std::to_string(event.failure_count) + " consecutive failures";
  }
  std::string operator()(const DiscoveryRecovered&) const { return "discovery reachable again"; }
  std::string operator()(const InvalidSetting& event) const {
    return "setting " + event.name + " is not a number: " + event.value;
  }
};

struct EventLogger {
  const Logger& log;
  std::string_view message;
  std::string_view endpoint_name;

  void operator()(const EndpointEjected& event) const {
    log(Level::info, message,
        {{"endpoint", endpoint_name},
         {"failure_share", event.failure_share},
         {"peers_failure_share", event.peers_failure_share}});
  }
  void operator()(const RequestsDropped& event) const {
    log(Level::info, message, {{"drop_probability", event.drop_probability}});
  }
  void operator()(const DiscoveryUnreachable& event) const {
    log(Level::info, message, {{"failures", static_cast<double>(event.failure_count)}});
  }
  void operator()(const DiscoveryRecovered&) const { log(Level::info, message); }
  void operator()(const InvalidSetting& event) const {
    log(Level::info, message,
        {{"setting", std::string_view(event.name)}, {"value", std::string_view(event.value)}});
  }
};

}  // namespace

EndpointIndex endpoint_of(const PolicyEvent& event) {
  const auto* ejected = std::get_if<EndpointEjected>(&event);
  return ejected != nullptr ? ejected->endpoint : no_endpoint;
}

std::string message_of(const PolicyEvent& event, std::string_view endpoint_name) {
  return std::visit(MessageWriter{endpoint_name}, event);
}

void log_policy_event(const Logger& log, const PolicyEvent& event, const EndpointSlots& endpoints) {
  EndpointIndex endpoint = endpoint_of(event);
  std::string name = endpoint != no_endpoint ? endpoints.name(endpoint) : std::string();
  std::string message = message_of(event, name);
  std::visit(EventLogger{.log = log, .message = message, .endpoint_name = name}, event);
}

}  // namespace meadowgauge::proxy
