// Typed messages for the records of the simulator's wire protocol. Only this file knows the offsets of fields
// and the codes of outcomes and states. The functions accept every record: unknown codes have a defined
// meaning.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/types.hpp"
#include "proxy/request/table.hpp"
#include "simulator_adapter/codec.hpp"

namespace meadowgauge::simulator_adapter {

// A range in the tail of a batch: `length` items from byte `start`.
struct TailRef {
  std::uint32_t start = 0;
  std::uint32_t length = 0;
};

// Starts the selected instance, and replaces it if it runs already.
struct StartInstance {
  std::uint64_t seed = 0;
  TailRef settings;
};

// Stores a list of endpoints under the number `list`, for the updates that refer to it.
struct EndpointListMessage {
  std::uint16_t list = 0;
  TailRef entries;
};

// Updates the endpoint list of an instance. `kind` is a value of EndpointListUpdate; unknown kinds are
// ignored.
struct EndpointUpdate {
  std::uint8_t kind = 0;
  std::uint16_t list = 0;
  // Whether the update refers to a list; a failed update does not.
  [[nodiscard]] bool has_list() const {
    return kind != static_cast<std::uint8_t>(EndpointListUpdate::failed);
  }
  [[nodiscard]] bool known_kind() const {
    return kind <= static_cast<std::uint8_t>(EndpointListUpdate::failed);
  }
};

// A client has sent a request.
struct RequestArrived {
  proxy::RequestNumber number{};
  Request request;
};

// The response to an attempt has started.
struct AttemptStarted {
  proxy::RequestNumber number{};
  int attempt = 0;
};

// An attempt has ended.
struct AttemptEnded {
  proxy::RequestNumber number{};
  AttemptResult result;
};

// A load probe of `upstream` has ended.
struct ProbeDone {
  std::uint32_t upstream = 0;
  Outcome outcome = Outcome::error;
  double duration_ms = 0;
  LoadReport load_report;
};

StartInstance read_start_instance(Record record);
EndpointListMessage read_endpoint_list(Record record);
EndpointUpdate read_endpoint_update(Record record);
RequestArrived read_request_arrived(Record record, double now_ms);
AttemptStarted read_attempt_started(Record record);
AttemptEnded read_attempt_ended(Record record);
ProbeDone read_probe_done(Record record);
// The request whose client has disconnected.
proxy::RequestNumber read_client_gone(Record record);
// The range of the gossip bytes of another instance.
TailRef read_gossip(Record record);
// The nonce of an expired timer.
std::uint32_t read_timer(Record record);
// The instance that the following records belong to.
std::uint16_t read_select_instance(Record record);

// Parses the entries of a list and appends them to `entries`, without setting their `endpoint`. Ignores bytes
// after the last complete entry.
void read_endpoint_entries(std::string_view bytes, std::vector<EndpointEntry>& entries);

// Parses settings, one `path=value` per line. Skips lines without `=` or without a path.
Settings parse_settings(std::string_view text);

}  // namespace meadowgauge::simulator_adapter
