// The learned state of a process, as text that its successor reads at the start. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "hot_restart/checked_text.hpp"
#include "policy/types.hpp"

namespace meadowgauge::hot_restart {

// The snapshot's file in the state directory. A stored name.
inline constexpr std::string_view snapshot_file = "lessons";

// `made_at_ms` is Unix time. Omits entries that the format can't hold.
std::string encode_snapshot(const LearnedState& learned, double made_at_ms);
// A snapshot whose time differs from `now_ms` by more than `max_age_ms` has expired.
std::variant<LearnedState, TextError> decode_snapshot(std::string_view text, double now_ms,
                                                      double max_age_ms);

}  // namespace meadowgauge::hot_restart
