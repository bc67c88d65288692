// The path prefix of a request target, and whether all parsers agree on it.
#pragma once

#include <string_view>

namespace meadowgauge::protocol {

// The first segment of a path, not decoded, without query.
std::string_view path_of(std::string_view target);
std::string_view first_segment(std::string_view path);

// Whether the path stays under its first segment by every usual way to parse it: dot segments resolved (RFC
// 3986, 5.2.4) or not, percent encodings decoded never, once or repeatedly, backslashes as slashes, empty
// segments merged or kept, parameters after a semicolon dropped. False if that can't be decided.
bool resolves_under_first_segment(std::string_view path);

}  // namespace meadowgauge::protocol
