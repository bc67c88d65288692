// The path and the first path segment of a request target.
#pragma once

#include <string_view>

namespace meadowgauge::protocol {

// The path of a request target, without its query.
std::string_view path_of(std::string_view target);
// The first segment of a path, not decoded; empty if `path` does not start with a slash.
std::string_view first_segment(std::string_view path);

// Whether `path` stays under its first segment for every common parser. Parsers may or may not resolve dot
// segments (RFC 3986, 5.2.4), decode percent encodings never, once or repeatedly, treat backslashes as
// slashes, merge empty segments, and drop parameters after a semicolon. Returns false if this cannot be
// decided. Guards against a path that the balancer classifies by one prefix and a server
// resolves to another.
bool resolves_under_first_segment(std::string_view path);

}  // namespace meadowgauge::protocol
