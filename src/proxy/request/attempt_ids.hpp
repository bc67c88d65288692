// How the ids of attempts are made of request numbers.
#pragma once

#include "proxy/request/table.hpp"
#include "proxy/upstream/attempt.hpp"

namespace meadowgauge::proxy {

// Set in the AttemptId of a health check or load probe.
inline constexpr AttemptId probe_bit = AttemptId{1} << 55;

// The id of a request's attempt. `attempt`: 0 for the first.
constexpr AttemptId attempt_id(RequestNumber number, int attempt) {
  return to_integer(number) << attempt_number_bits | static_cast<AttemptId>(attempt);
}
// The request of an attempt that is no health check or load probe.
constexpr RequestNumber request_number_of(AttemptId id) { return RequestNumber{id >> attempt_number_bits}; }

}  // namespace meadowgauge::proxy
