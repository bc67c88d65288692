#include "simulator_adapter/wire_messages.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace meadowgauge::simulator_adapter {

namespace {

struct OutcomeCode {
  std::uint16_t code;
  Outcome outcome;
};

constexpr std::array outcome_codes{OutcomeCode{10, Outcome::succeeded}, OutcomeCode{30, Outcome::rejected},
                                   OutcomeCode{40, Outcome::timeout},   OutcomeCode{50, Outcome::unreachable},
                                   OutcomeCode{60, Outcome::reset},     OutcomeCode{70, Outcome::cancelled},
                                   OutcomeCode{80, Outcome::superseded}};

// Codes of endpoint states; all others mean that the endpoint is gone.
constexpr std::uint8_t ready_code = 1;
constexpr std::uint8_t draining_code = 2;

// Bits of the attributes of a request.
constexpr unsigned has_work_hint = 1;
constexpr unsigned is_client_retry = 2;

// Unknown outcomes count as errors.
Outcome outcome_of(std::uint16_t code) {
  const auto* known = std::find_if(outcome_codes.begin(), outcome_codes.end(),
                                   [code](const auto& entry) { return entry.code == code; });
  return known == outcome_codes.end() ? Outcome::error : known->outcome;
}

EndpointState endpoint_state_of(std::uint8_t code) {
  if (code == ready_code) return EndpointState::ready;
  if (code == draining_code) return EndpointState::draining;
  return EndpointState::gone;
}

LoadReport load_report_at(Record record, std::size_t offset) {
  LoadReport report;
  report.count = std::min<int>(record.get<std::uint8_t>(offset), report.values.size());
  auto at = offset + sizeof(std::uint8_t);
  for (int i = 0; i < report.count; ++i) {
    report.values[i] = record.get<float>(at);
    at += sizeof(float);
  }
  return report;
}

TailRef tail_ref_at(Record record, std::size_t offset) {
  return {.start = record.get<std::uint32_t>(offset),
          .length = record.get<std::uint32_t>(offset + sizeof(std::uint32_t))};
}

EndpointEntry read_endpoint_entry(Record record) {
  return {.zone = record.get<std::uint16_t>(4),
          .server_kind = record.get<std::uint8_t>(6),
          .cell = record.get<std::uint16_t>(7),
          .state = endpoint_state_of(record.get<std::uint8_t>(9)),
          .weight = record.get<float>(10),
          .up_since_ms = record.get<double>(14),
          .id = record.get<std::uint32_t>(0)};
}

}  // namespace

StartInstance read_start_instance(Record record) {
  return {.seed = record.get<std::uint64_t>(1), .settings = tail_ref_at(record, 9)};
}

EndpointListMessage read_endpoint_list(Record record) {
  return {.list = record.get<std::uint16_t>(1), .entries = tail_ref_at(record, 3)};
}

EndpointUpdate read_endpoint_update(Record record) {
  return {.kind = record.get<std::uint8_t>(1), .list = record.get<std::uint16_t>(6)};
}

RequestArrived read_request_arrived(Record record, double now_ms) {
  const unsigned attributes = record.get<std::uint8_t>(26);
  const double work_ms = (attributes & has_work_hint) != 0 ? std::max(0.0, record.get<double>(18)) : 0;
  return {.number = proxy::RequestNumber{record.get<std::uint64_t>(1)},
          .request = {.request_class = record.get<std::uint8_t>(9),
                      .tenant = record.get<std::uint16_t>(35),
                      .arrived_ms = now_ms,
                      .deadline_ms = record.get<double>(10),
                      .client_retry = (attributes & is_client_retry) != 0,
                      .work_ms = work_ms,
                      .key = record.get<std::uint64_t>(27)}};
}

AttemptStarted read_attempt_started(Record record) {
  return {.number = proxy::RequestNumber{record.get<std::uint64_t>(1)},
          .attempt = record.get<std::uint8_t>(9)};
}

AttemptEnded read_attempt_ended(Record record) {
  return {.number = proxy::RequestNumber{record.get<std::uint64_t>(1)},
          .result = {.attempt = record.get<std::uint8_t>(24),
                     .outcome = outcome_of(record.get<std::uint16_t>(9)),
                     .request_closed = record.get<std::uint8_t>(15) != 0,
                     .load_report = load_report_at(record, 25)}};
}

ProbeDone read_probe_done(Record record) {
  return {.upstream = record.get<std::uint32_t>(1),
          .outcome = outcome_of(record.get<std::uint16_t>(5)),
          .duration_ms = record.get<double>(7),
          .load_report = load_report_at(record, 15)};
}

proxy::RequestNumber read_client_gone(Record record) {
  return proxy::RequestNumber{record.get<std::uint64_t>(1)};
}

TailRef read_gossip(Record record) { return tail_ref_at(record, 3); }

std::uint32_t read_timer(Record record) { return record.get<std::uint32_t>(1); }

std::uint16_t read_select_instance(Record record) { return record.get<std::uint16_t>(1); }

void read_endpoint_entries(std::string_view bytes, std::vector<EndpointEntry>& entries) {
  while (bytes.size() >= endpoint_entry_size) {
    entries.push_back(read_endpoint_entry({bytes.data()}));
    bytes.remove_prefix(endpoint_entry_size);
  }
}

Settings parse_settings(std::string_view text) {
  Settings settings;
  while (!text.empty()) {
    auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) continue;
    settings.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
  }
  return settings;
}

}  // namespace meadowgauge::simulator_adapter
