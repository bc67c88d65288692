#include "testbed/model/fault_injection.hpp"

#include <array>
#include <iterator>
#include <optional>
#include <sstream>

#include "protocol/text.hpp"
#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {
namespace {

// The words of files and command lines, in the order of the enumerators.
constexpr auto kind_words =
    std::to_array<std::string_view>({"delay", "throttle", "cut", "reset", "half", "silence", "garble"});
constexpr auto position_words =
    std::to_array<std::string_view>({"connect", "byte", "header", "body", "end", "time"});

// Reads a number of at least 0 that takes the complete text.
template <class T>
bool read_number(std::string_view text, T& into) {
  const auto number = protocol::parse_number<T>(text);
  if (!number || !(*number >= T{})) return false;
  into = *number;
  return true;
}

template <class Enum, class Words>
bool read_enum(const Words& words, std::string_view text, Enum& into) {
  for (std::size_t i = 0; i < std::size(words); ++i)
    if (words[i] == text) {
      into = static_cast<Enum>(i);
      return true;
    }
  return false;
}

// Reads "N" or "N-M".
bool read_byte_range(std::string_view text, FaultInjection& into) {
  auto dash = text.find('-');
  if (dash == std::string_view::npos) return read_number(text, into.n);
  return read_number(text.substr(0, dash), into.n) && read_number(text.substr(dash + 1), into.n_max) &&
         into.n_max >= into.n;
}

bool read_position(std::string_view value, FaultInjection& into) {
  using Position = FaultInjection::Position;
  auto colon = value.find(':');
  if (!read_enum(position_words, value.substr(0, colon), into.position)) return false;
  bool has_argument = colon != std::string_view::npos;
  auto argument = has_argument ? value.substr(colon + 1) : std::string_view{};
  switch (into.position) {
    case Position::connect:
    case Position::end:
      return !has_argument;
    case Position::header:
      into.name = argument;
      return !argument.empty();
    case Position::body:
      return !has_argument || read_number(argument, into.n);
    case Position::time:
      return read_number(argument, into.n);
    case Position::byte:
      return read_byte_range(argument, into);
  }
  return false;
}

// Reads a field with a numeric value; nullopt if `key` names no such field.
std::optional<bool> read_number_field(std::string_view key, std::string_view value, FaultInjection& into) {
  constexpr auto reals = std::to_array<std::pair<std::string_view, double FaultInjection::*>>(
      {{"ms", &FaultInjection::ms},
       {"rate", &FaultInjection::rate},
       {"share", &FaultInjection::share},
       {"from", &FaultInjection::from_ms},
       {"until", &FaultInjection::until_ms}});
  constexpr auto counts = std::to_array<std::pair<std::string_view, std::uint64_t FaultInjection::*>>(
      {{"bytes", &FaultInjection::bytes},
       {"after", &FaultInjection::after_messages},
       {"every", &FaultInjection::every},
       {"most", &FaultInjection::max_injections}});
  for (const auto& [name, member] : reals)
    if (name == key) return read_number(value, into.*member);
  for (const auto& [name, member] : counts)
    if (name == key) return read_number(value, into.*member);
  return {};
}

bool read_field(std::string_view field, FaultInjection& into) {
  const auto [key, value] = protocol::named_value(field).value_or(protocol::NamedValue{field, {}});
  if (key == "at") return read_position(value, into);
  if (key == "way") {
    into.direction = value == "client" ? Direction::to_client : Direction::to_server;
    return value == "server" || value == "client";
  }
  if (key == "target") {
    into.target = value;
    return !value.empty();
  }
  return read_number_field(key, value, into).value_or(false) && into.every > 0 && into.share <= 1;
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
  if (!read_enum(kind_words, field, injection.kind)) return Error{Error::Kind::unknown_fault, field};
  while (in >> field)
    if (!read_field(field, injection)) return Error{Error::Kind::unreadable_field, field};
  if (injection.kind == Kind::throttle && injection.rate <= 0)
    return Error{Error::Kind::missing_rate, "rate"};
  return injection;
}

std::string FaultInjection::text() const {
  std::ostringstream out;
  out << kind_words[static_cast<int>(kind)] << " at=" << position_words[static_cast<int>(position)];
  if (position == Position::header) out << ':' << name;
  if (position == Position::byte || position == Position::body || position == Position::time) out << ':' << n;
  if (n_max > 0) out << '-' << n_max;
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
         uniform_of(mixed(seed_, "strike", mixed(connection, "", entry.id))) < injection.share;
}

std::uint64_t InjectionPlan::byte(const Entry& entry, std::uint64_t connection) const {
  const auto& injection = entry.injection;
  if (injection.n_max <= injection.n) return injection.n;
  return injection.n +
         mixed(seed_, "byte", mixed(connection, "", entry.id)) % (injection.n_max - injection.n + 1);
}

}  // namespace meadowgauge::testbed
