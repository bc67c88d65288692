#include "protocol/request_hints.hpp"

#include <algorithm>

#include "protocol/text.hpp"

namespace meadowgauge::protocol {
namespace {

// Longer service times are implausible and ignored.
constexpr double max_work_ms = 3600000;

}  // namespace

// FNV-1a. Affinity keys need no protection against deliberate collisions.
std::uint64_t stable_hash(std::string_view name) {
  constexpr std::uint64_t offset_basis = 0xcbf29ce484222325;
  constexpr std::uint64_t prime = 0x100000001b3;
  std::uint64_t hash = offset_basis;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * prime;
  return std::max<std::uint64_t>(hash, 1);
}

RequestHints read_request_hints(std::string_view text) {
  RequestHints hints;
  while (!text.empty()) {
    auto item = named_value(take_item(text, " "));
    if (!item || item->value.empty()) continue;
    if (item->name == "entity" || item->name == "key")
      hints.key = item->value == "0" ? 0 : stable_hash(item->value);
    if (item->name != "work_ms" && item->name != "hint") continue;
    auto work_ms = parse_number<double>(item->value);
    if (work_ms && *work_ms > 0 && *work_ms <= max_work_ms) hints.work_ms = *work_ms;
  }
  return hints;
}

}  // namespace meadowgauge::protocol
