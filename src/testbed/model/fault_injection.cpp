#include "testbed/model/fault_injection.hpp"

#include <array>
#include <iterator>
#include <optional>
#include <sstream>

#include "protocol/text.hpp"
#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {
namespace {

// Names in experiment files and on command lines, indexed by enumerator.
constexpr auto kind_names =
    std::to_array<std::string_view>({"delay", "throttle", "cut", "reset", "half", "silence", "garble"});
constexpr auto position_names =
    std::to_array<std::string_view>({"connect", "byte", "header", "body", "end", "time"});

// Parses a number of at least 0. Returns false if other text precedes or follows the number.
template <class T>
bool read_number(std::string_view text, T& result) {
  const auto number = protocol::parse_number<T>(text);
  if (!number || !(*number >= T{})) return false;
  result = *number;
  return true;
}

template <class Enum, class Words>
bool read_enum(const Words& names, std::string_view text, Enum& result) {
  for (std::size_t i = 0; i < std::size(names); ++i)
    if (names[i] == text) {
      result = static_cast<Enum>(i);
      return true;
    }
  return false;
}

// Parses "N" or "N-M".
bool read_byte_range(std::string_view text, FaultInjection& result) {
  auto dash = text.find('-');
  if (dash == std::string_view::npos) return read_number(text, result.n);
  return read_number(text.substr(0, dash), result.n) && read_number(text.substr(dash + 1), result.max_n) &&
         result.max_n >= result.n;
}

bool read_position(std::string_view value, FaultInjection& result) {
  using Position = FaultInjection::Position;
  auto colon = value.find(':');
  if (!read_enum(position_names, value.substr(0, colon), result.position)) return false;
  bool has_argument = colon != std::string_view::npos;
  auto argument = has_argument ? value.substr(colon + 1) : std::string_view{};
  switch (result.position) {
    case Position::connect:
    case Position::end:
      return !has_argument;
    case Position::header:
      result.name = argument;
      return !argument.empty();
    case Position::body:
      return !has_argument || read_number(argument, result.n);
    case Position::time:
      return read_number(argument, result.n);
    case Position::byte:
      return read_byte_range(argument, result);
  }
  return false;
}

// Parses a field with a numeric value. Returns nullopt if no numeric field is named `key`.
std::optional<bool> read_number_field(std::string_view key, std::string_view value, FaultInjection& result) {
  constexpr auto real_fields = std::to_array<std::pair<std::string_view, double FaultInjection::*>>(
      {{"ms", &FaultInjection::ms},
       {"rate", &FaultInjection::rate},
       {"share", &FaultInjection::share},
       {"from", &FaultInjection::from_ms},
       {"until", &FaultInjection::until_ms}});
  constexpr auto count_fields = std::to_array<std::pair<std::string_view, std::uint64_t FaultInjection::*>>(
      {{"bytes", &FaultInjection::bytes},
       {"after", &FaultInjection::after_messages},
       {"every", &FaultInjection::every},
       {"most", &FaultInjection::max_injections}});
  for (const auto& [name, member] : real_fields)
    if (name == key) return read_number(value, result.*member);
  for (const auto& [name, member] : count_fields)
    if (name == key) return read_number(value, result.*member);
  return {};
}

bool read_field(std::string_view field, FaultInjection& result) {
  const auto [key, value] = protocol::named_value(field).value_or(protocol::NamedValue{field, {}});
  if (key == "at") return read_position(value, result);
  if (key == "way") {
    result.direction = value == "client" ? Direction::to_client : Direction::to_server;
    return value == "server" || value == "client";
  }
  if (key == "target") {
    result.target = value;
    return !value.empty();
  }
  return read_number_field(key, value, result).value_or(false) && result.every > 0 && result.share <= 1;
}

}  // namespace

std::string FaultInjectionError::text() const {
  switch (kind) {
    case Kind::empty:
      return "the fault is empty";
    case Kind::unknown_fault:
      return "'" + field + "' is not a fault: use delay, throttle, cut, reset, half, silence or garble";
    case Kind::unreadable_field:
      return "'" + field + "' is not a valid field";
    case Kind::missing_rate:
      return "throttle needs rate=";
  }
  return {};
}

std::variant<FaultInjection, FaultInjectionError> FaultInjection::parse(std::string_view text) {
  using Error = FaultInjectionError;
  std::istringstream in{std::string(text)};
  std::string field;
  if (!(in >> field)) return Error{Error::Kind::empty, {}};
  FaultInjection injection;
  if (!read_enum(kind_names, field, injection.kind)) return Error{Error::Kind::unknown_fault, field};
  while (in >> field)
    if (!read_field(field, injection)) return Error{Error::Kind::unreadable_field, field};
  if (injection.kind == Kind::throttle && injection.rate <= 0)
    return Error{Error::Kind::missing_rate, "rate"};
  return injection;
}

std::string FaultInjection::text() const {
  std::ostringstream out;
  out << kind_names[static_cast<int>(kind)] << " at=" << position_names[static_cast<int>(position)];
  if (position == Position::header) out << ':' << name;
  if (position == Position::byte || position == Position::body || position == Position::time) out << ':' << n;
  if (max_n > 0) out << '-' << max_n;
  out << " way=" << (direction == Direction::to_client ? "client" : "server");
  if (ms > 0) out << " ms=" << ms;
  if (rate > 0) out << " rate=" << rate;
  if (kind == Kind::corrupt) out << " bytes=" << bytes;
  if (after_messages > 0) out << " after=" << after_messages;
  if (every > 1) out << " every=" << every;
  if (share < 1) out << " share=" << share;
  if (max_injections > 0) out << " most=" << max_injections;
  if (from_ms > 0) out << " from=" << from_ms;
  if (until_ms > 0) out << " until=" << until_ms;
  if (!target.empty()) out << " target=" << target;
  return out.str();
}

const FaultInjection* InjectionPlan::find(std::uint64_t id) const {
  for (const auto& entry : entries_)
    if (entry.id == id) return &entry.injection;
  return nullptr;
}

bool InjectionPlan::allows(const Entry& entry, std::uint64_t connection, double now_ms) const {
  const auto& injection = entry.injection;
  if (injection.max_injections != 0 && entry.times_injected >= injection.max_injections) return false;
  if (connection % injection.every != 0 || now_ms < injection.from_ms) return false;
  if (injection.until_ms > 0 && now_ms >= injection.until_ms) return false;
  return injection.share >= 1 ||
         uniform_of(derive_seed(seed_, "strike", derive_seed(connection, "", entry.id))) < injection.share;
}

std::uint64_t InjectionPlan::byte(const Entry& entry, std::uint64_t connection) const {
  const auto& injection = entry.injection;
  if (injection.max_n <= injection.n) return injection.n;
  return injection.n + derive_seed(seed_, "byte", derive_seed(connection, "", entry.id)) %
                           (injection.max_n - injection.n + 1);
}

}  // namespace meadowgauge::testbed
