// Records of the simulator's wire as typed messages. Field offsets and the codes of outcomes and states are
// known here only. Every function is total: unknown codes have a defined meaning.
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

// Starts an instance; replaces an instance with the same number.
struct StartInstance {
  std::uint64_t seed = 0;
  TailRef settings;
};

// A list of endpoints, kept under its number until updates refer to it.
struct EndpointListMessage {
  std::uint16_t list = 0;
  TailRef entries;
};

// An update of an instance's endpoint list. Kinds beyond those of EndpointListUpdate are ignored.
struct EndpointUpdate {
  std::uint8_t kind = 0;
  std::uint16_t list = 0;
  // A failed update names no list.
  [[nodiscard]] bool has_list() const {
    return kind != static_cast<std::uint8_t>(EndpointListUpdate::failed);
  }
  [[nodiscard]] bool known_kind() const {
    return kind <= static_cast<std::uint8_t>(EndpointListUpdate::failed);
  }
};

struct RequestArrived {
  proxy::RequestNumber number{};
  Request request;
};

struct AttemptStarted {
  proxy::RequestNumber number{};
  int attempt = 0;
};

struct AttemptEnded {
  proxy::RequestNumber number{};
  AttemptResult result;
};

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
// Where the bytes of another instance's gossip are.
TailRef read_gossip(Record record);
// The nonce of an expired timer.
std::uint32_t read_timer(Record record);
// The instance that the following records are for.
std::uint16_t read_select_instance(Record record);

// Appends the entries of a list; the caller sets each entry's `endpoint`. Bytes after the last whole
// entry are ignored.
void read_endpoint_entries(std::string_view bytes, std::vector<EndpointEntry>& entries);

// Settings as `path=value` lines; a line without `=` or without a path is skipped.
Settings parse_settings(std::string_view text);

}  // namespace meadowgauge::simulator_adapter
