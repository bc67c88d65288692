// What a process of a balancer has learned, as text that its successor reads at its start.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "hot_restart/checked_text.hpp"
#include "policy/types.hpp"

namespace meadowgauge::hot_restart {

// The snapshot's file in the state directory.
inline constexpr std::string_view snapshot_file = "lessons";

// `at`: when it was learned, in ms of Unix time.
std::string encode_snapshot(const LearnedState& learned, double at_ms);
// Expired: made more than `max_age_ms` before `now`, or after it.
std::variant<LearnedState, TextError> decode_snapshot(std::string_view text, double now_ms,
                                                      double max_age_ms);

}  // namespace meadowgauge::hot_restart
