// The invariants of attempts and connections to endpoints, for tests.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace meadowgauge::proxy {

// One invariant each; description() states it.
enum class UpstreamInvariant : std::uint8_t {
  endpoint_slots_consistent,
  connection_keyed_by_id,
  closed_connection_removed,
  attempt_only_in_flight,
  open_connections_counted,
  dials_counted,
  idle_connections_kept,
  kept_connection_idle,
  idle_connections_ordered_by_age,
  attempt_due_unless_paused,
  attempt_owns_its_connection,
  queued_attempt_awaits_connection,
  awaiting_attempt_queued,
  connection_in_flight_has_attempt
};

// The invariant as a sentence.
std::string_view description(UpstreamInvariant invariant);

// A violated invariant, as reported by Upstreams and ConnectionPool.
struct BrokenUpstreamInvariant {
  UpstreamInvariant invariant = UpstreamInvariant::endpoint_slots_consistent;
  std::string detail = {};  // the violated invariant of EndpointSlots, or empty

  bool operator==(const BrokenUpstreamInvariant&) const = default;
};

std::ostream& operator<<(std::ostream& out, const BrokenUpstreamInvariant& broken);

}  // namespace meadowgauge::proxy
