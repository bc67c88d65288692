// Encodes the learned state of a process as text, which its successor reads at startup. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "hot_restart/checked_text.hpp"
#include "policy/types.hpp"

namespace meadowgauge::hot_restart {

// The name of the snapshot's file in the state directory, also the kind in its first line.
inline constexpr std::string_view snapshot_file = "lessons";

// `made_at_ms` is Unix time. Omits entries that the format cannot represent.
std::string encode_snapshot(const LearnedState& learned, double made_at_ms);
// Decodes a snapshot. It has expired if its time differs from `now_ms` by more than `max_age_ms`.
std::variant<LearnedState, TextError> decode_snapshot(std::string_view text, double now_ms,
                                                      double max_age_ms);

}  // namespace meadowgauge::hot_restart
