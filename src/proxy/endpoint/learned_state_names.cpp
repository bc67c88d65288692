#include "proxy/endpoint/learned_state_names.hpp"

#include <string>

namespace meadowgauge::proxy {

LearnedState with_server_names(const LearnedState& by_index, const EndpointSlots& endpoints) {
  LearnedState translated;
  for (const auto& [key, value] : by_index) {
    auto at = key.find('@');
    if (at == std::string::npos)
      translated[key] = value;
    else
      translated[key.substr(0, at + 1) +
                 endpoints.name(static_cast<EndpointIndex>(std::stoi(key.substr(at + 1))))] = value;
  }
  return translated;
}

LearnedState with_endpoint_indices(const LearnedState& by_name, const EndpointSlots& endpoints) {
  LearnedState translated;
  for (const auto& [key, value] : by_name) {
    auto at = key.find('@');
    if (at == std::string::npos) {
      translated[key] = value;
      continue;
    }
    EndpointIndex endpoint = endpoints.find(key.substr(at + 1));
    if (endpoint != no_endpoint)
      translated[key.substr(0, at + 1) + std::to_string(position_of(endpoint))] = value;
  }
  return translated;
}

}  // namespace meadowgauge::proxy
