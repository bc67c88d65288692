#include "protocol/target.hpp"

#include <algorithm>
#include <string>

namespace meadowgauge::protocol {
namespace {

// Layers of percent encoding; a path with more is refused as ambiguous.
constexpr int max_decodings = 4;

// The value of a hexadecimal digit; -1 for other characters.
int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes one layer of percent encoding; keeps invalid encodings as they are.
std::string decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    int high = text[i] == '%' && i + 2 < text.size() ? hex_digit(text[i + 1]) : -1;
    int low = high >= 0 ? hex_digit(text[i + 2]) : -1;
    out += low >= 0 ? static_cast<char>(high * 16 + low) : text[i];
    if (low >= 0) i += 2;
  }
  return out;
}

}  // namespace

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view first_segment(std::string_view path) {
  if (!path.starts_with('/')) return {};
  return path.substr(1, path.substr(1).find('/'));
}

bool resolves_under_first_segment(std::string_view path) {
  // Fast path: without these characters all parsers agree.
  if (path.find_first_of("%\\") == std::string_view::npos && path.find("/.") == std::string_view::npos)
    return true;
  std::string plain(path);
  for (int i = 0;; ++i) {
    auto next = decoded(plain);
    if (next == plain) break;
    if (i == max_decodings) return false;
    plain = std::move(next);
  }
  // Parsers differ on these separators, and so on the depth of a dot segment.
  bool doubtful = plain.find('\\') != std::string::npos || plain.find("//") != std::string::npos ||
                  std::string_view(plain).substr(0, plain.find('?')).size() != plain.size();
  auto slashes = [](std::string_view t) { return std::count(t.begin(), t.end(), '/'); };
  doubtful = doubtful || slashes(plain) != slashes(path);
  int depth = 0;
  bool climbs = false;
  for (std::size_t at = 0; at < plain.size();) {
    auto end = std::min(plain.find_first_of("/\\", at), plain.size());
    auto segment = std::string_view(plain).substr(at, end - at);
    segment = segment.substr(0, segment.find(';'));
    at = end + 1;
    if (segment == "..") {
      climbs = true;
      if (--depth < 1) return false;
    } else if (!segment.empty() && segment != ".") {
      ++depth;
    }
  }
  return !climbs || !doubtful;
}

}  // namespace meadowgauge::protocol
