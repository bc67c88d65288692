#include "protocol/target.hpp"

#include <algorithm>
#include <string>

namespace meadowgauge::protocol {
namespace {

// The maximum number of layers of percent encoding. A path with more layers counts as ambiguous.
constexpr int max_decodings = 4;

// The value of a hexadecimal digit; -1 for other characters.
int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes one layer of percent encoding; leaves invalid encodings unchanged.
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
  // Fast path: all parsers agree on paths without these characters.
  if (path.find_first_of("%\\") == std::string_view::npos && path.find("/.") == std::string_view::npos)
    return true;
  std::string decoded_path(path);
  for (int i = 0;; ++i) {
    auto next = decoded(decoded_path);
    if (next == decoded_path) break;
    if (i == max_decodings) return false;
    decoded_path = std::move(next);
  }
  // Parsers disagree on these separators, and so on the depth at which a dot segment applies.
  bool is_ambiguous =
      decoded_path.find('\\') != std::string::npos || decoded_path.find("//") != std::string::npos ||
      std::string_view(decoded_path).substr(0, decoded_path.find('?')).size() != decoded_path.size();
  auto count_slashes = [](std::string_view t) { return std::count(t.begin(), t.end(), '/'); };
  is_ambiguous = is_ambiguous || count_slashes(decoded_path) != count_slashes(path);
  int depth = 0;
  bool has_parent_segment = false;
  for (std::size_t at = 0; at < decoded_path.size();) {
    auto end = std::min(decoded_path.find_first_of("/\\", at), decoded_path.size());
    auto segment = std::string_view(decoded_path).substr(at, end - at);
    segment = segment.substr(0, segment.find(';'));
    at = end + 1;
    if (segment == "..") {
      has_parent_segment = true;
      if (--depth < 1) return false;
    } else if (!segment.empty() && segment != ".") {
      ++depth;
    }
  }
  return !has_parent_segment || !is_ambiguous;
}

}  // namespace meadowgauge::protocol
