#include "protocol/watch_reader.hpp"

#include <utility>

namespace meadowgauge::protocol {
namespace {

bool is_blank(std::string_view line) { return line.find_first_not_of(" \t") == std::string_view::npos; }

// Whether the line is a complete endpoint list. Parses the line, because a line within a list may also start
// with a brace.
bool is_endpoint_list(std::string_view line) {
  if (line.front() != '{') return false;
  auto value = Json::parse(line, nullptr);
  return value && read_endpoint_list(*value);
}

}  // namespace

std::variant<EndpointList, UnreadableEndpointList> parse_endpoint_list(std::string_view text) {
  JsonError error;
  auto value = Json::parse(text, &error);
  if (!value) return UnreadableEndpointList{message(error)};
  auto list = read_endpoint_list(*value);
  if (!list) return UnreadableEndpointList{"not an endpoint list"};
  return std::move(*list);
}

std::vector<WatchEvent> WatchReader::feed(std::string_view bytes) {
  std::vector<WatchEvent> events;
  lines_.feed(bytes, [&](std::string_view line) { line_ended(line, events); });
  if (lines_.take_overflow()) events.emplace_back(UnreadableEndpointList{"line too long"});
  return events;
}

// A list ends with its closing bracket. A blank line or a complete list before that means that the list is
// truncated.
void WatchReader::line_ended(std::string_view line, std::vector<WatchEvent>& events) {
  bool blank = is_blank(line);
  if (!partial_list_.empty() && (blank || is_endpoint_list(line))) {
    partial_list_.clear();
    events.emplace_back(UnreadableEndpointList{"truncated endpoint list"});
  }
  events.emplace_back(WatchLineReceived{});
  if (blank) return;
  if (partial_list_.empty()) nesting_ = {};
  nesting_.feed(line);
  partial_list_.append(line).append("\n");
  if (nesting_.open() && partial_list_.size() <= max_list_bytes) {
    events.emplace_back(EndpointListIncomplete{});
    return;
  }
  auto list = std::exchange(partial_list_, {});
  std::visit([&](auto&& parsed) { events.emplace_back(std::forward<decltype(parsed)>(parsed)); },
             parse_endpoint_list(list));
}

}  // namespace meadowgauge::protocol
