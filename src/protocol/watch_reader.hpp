// Parses the body of a discovery watch into typed events. A list is one line, or several indented lines.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::protocol {

// A line is complete: discovery is alive.
struct WatchLineReceived {};
// The list continues on the next line.
struct EndpointListIncomplete {};
// Text that is not an endpoint list. Changes may have been lost with it.
struct UnreadableEndpointList {
  std::string reason;
};

using WatchEvent =
    std::variant<WatchLineReceived, EndpointListIncomplete, EndpointList, UnreadableEndpointList>;

// Reads one complete list from JSON text.
std::variant<EndpointList, UnreadableEndpointList> parse_endpoint_list(std::string_view text);

// One per watch. Memory is bounded by `max_line_bytes` and `max_list_bytes`.
class WatchReader {
 public:
  static constexpr std::size_t max_list_bytes = LineReader::max_line_bytes;

  // The events that `bytes` complete, in order.
  std::vector<WatchEvent> feed(std::string_view bytes);

 private:
  void line_ended(std::string_view line, std::vector<WatchEvent>& events);

  LineReader lines_;
  std::string partial_list_;  // the lines received so far
  JsonNesting nesting_;       // of partial_list_
};

}  // namespace meadowgauge::protocol
