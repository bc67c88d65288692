// Parser of the body of a discovery watch. A list is one line or several indented lines.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/endpoint_list.hpp"

namespace meadowgauge::protocol {

// A line has been received completely, which shows that discovery is alive.
struct WatchLineReceived {};
// The list continues on the next line.
struct EndpointListIncomplete {};
// The watch had text that is not an endpoint list. Endpoint changes may have been lost with it.
struct UnreadableEndpointList {
  std::string reason;
};

using WatchEvent =
    std::variant<WatchLineReceived, EndpointListIncomplete, EndpointList, UnreadableEndpointList>;

// Parses one complete list, given as JSON text.
std::variant<EndpointList, UnreadableEndpointList> parse_endpoint_list(std::string_view text);

// Parses the body of one watch incrementally into typed events. `max_line_bytes` and `max_list_bytes` bound
// its memory.
class WatchReader {
 public:
  static constexpr std::size_t max_list_bytes = LineReader::max_line_bytes;

  // Returns the events that `bytes` complete, in order.
  std::vector<WatchEvent> feed(std::string_view bytes);

 private:
  void line_ended(std::string_view line, std::vector<WatchEvent>& events);

  LineReader lines_;
  std::string partial_list_;  // the lines of the current list received so far
  JsonNesting nesting_;       // nesting of partial_list_
};

}  // namespace meadowgauge::protocol
