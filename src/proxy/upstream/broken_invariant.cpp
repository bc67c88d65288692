#include "proxy/upstream/broken_invariant.hpp"

namespace meadowgauge::proxy {

std::string_view description(UpstreamInvariant invariant) {
  switch (invariant) {
    case UpstreamInvariant::endpoint_slots_consistent:
      return "the endpoint slots are consistent";
    case UpstreamInvariant::connection_keyed_by_id:
      return "a connection is stored under its own id";
    case UpstreamInvariant::closed_connection_removed:
      return "a closed connection is not in the pool";
    case UpstreamInvariant::attempt_only_in_flight:
      return "a connection has an attempt if and only if it is in flight";
    case UpstreamInvariant::open_connections_counted:
      return "the counter of an endpoint's open connections is correct";
    case UpstreamInvariant::dials_counted:
      return "the counter of an endpoint's dials is correct";
    case UpstreamInvariant::idle_connections_kept:
      return "an endpoint's list of idle connections is complete";
    case UpstreamInvariant::kept_connection_idle:
      return "an endpoint's list of idle connections has only its own idle connections";
    case UpstreamInvariant::idle_connections_ordered_by_age:
      return "idle connections are ordered by age";
    case UpstreamInvariant::attempt_due_unless_paused:
      return "an attempt has a due time if and only if its response is not paused";
    case UpstreamInvariant::attempt_owns_its_connection:
      return "the connection of an attempt serves that attempt";
    case UpstreamInvariant::queued_attempt_awaits_connection:
      return "an attempt in an endpoint's queue awaits a connection to that endpoint";
    case UpstreamInvariant::awaiting_attempt_queued:
      return "an attempt that awaits a connection is in its endpoint's queue";
    case UpstreamInvariant::connection_in_flight_has_attempt:
      return "a connection in flight has an attempt";
  }
  return "";
}

std::ostream& operator<<(std::ostream& out, const BrokenUpstreamInvariant& broken) {
  out << "broken: " << description(broken.invariant);
  if (!broken.detail.empty()) out << " (" << broken.detail << ")";
  return out;
}

}  // namespace meadowgauge::proxy
