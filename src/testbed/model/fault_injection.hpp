// Faults of a relayed connection, each with its position in the byte stream, and the plan of all faults of
// one relay. No socket and no clock: the same seed, plan and bytes inject each fault before the same byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace meadowgauge::testbed {

// The direction of bytes through a relay: to_server from the client to the server, to_client back.
enum class Direction : std::uint8_t { to_server, to_client };

struct FaultInjectionError;

// One fault, as configured by `--fault`, by `strikes` in an experiment file or by a command to the relay.
struct FaultInjection {
  enum class Kind : std::uint8_t {
    delay,       // delays all further bytes of this direction by `ms`
    throttle,    // limits this direction to `rate` bytes a second from here on
    close,       // closes both connections
    reset,       // resets both connections (RST)
    half_close,  // ends the stream of this direction; the other direction stays open
    black_hole,  // drops all further bytes of both directions and keeps both connections open
    corrupt      // changes the next `bytes` bytes
  };
  enum class Position : std::uint8_t {
    connect,  // when the connection is established
    byte,     // before byte `n` of this direction
    header,   // before the first byte of the value of header `name`
    body,     // before byte `n` of a body
    end,      // after a message's last byte; for a request, before any byte of its response
    time      // `n` ms after the start of the plan
  };
  Kind kind = Kind::close;
  Position position = Position::end;
  Direction direction = Direction::to_server;
  double ms = 0, rate = 0;                    // of a delay; of a throttle, bytes a second
  std::uint64_t bytes = 1, n = 0, max_n = 0;  // bytes: to corrupt; n: drawn from n to max_n if max_n > n
  std::string name;                           // the header at position `header`
  std::uint64_t after_messages = 0;           // skips this many complete messages of this direction
  std::uint64_t every = 1;                    // injects into connections 0, every, 2 * every, ...
  double share = 1;                           // the probability that a connection gets the fault
  std::uint64_t max_injections = 0;           // over all connections; 0: unlimited
  double from_ms = 0, until_ms = 0;           // when the fault may be injected; until 0: no end
  std::string target;                         // the server whose relay injects the fault; empty: all

  // Parses `KIND at=POSITION [way=server|client] [after=K] [every=N] [share=X] [most=M] [from=MS] [until=MS]
  // [target=NAME]`, where KIND is `delay ms=N`, `throttle rate=N`, `cut`, `reset`, `half`, `silence` or
  // `garble bytes=N`, and POSITION `connect`, `byte:N`, `byte:N-M`, `header:NAME`, `body`, `body:N`, `end` or
  // `time:MS`.
  static std::variant<FaultInjection, FaultInjectionError> parse(std::string_view text);
  // Formats the fault so that parse() accepts it.
  [[nodiscard]] std::string text() const;
};

// Why FaultInjection::parse() failed.
struct FaultInjectionError {
  enum class Kind : std::uint8_t { empty, unknown_fault, unreadable_field, missing_rate };
  Kind kind = Kind::empty;
  std::string field;  // the invalid field
  // Returns the error message, one line without its end.
  [[nodiscard]] std::string text() const;
};

// The faults that a relay injects into its connections, with a count of injections for each.
class InjectionPlan {
 public:
  static constexpr std::size_t max_entries = 256;

  struct Entry {
    FaultInjection injection;
    std::uint64_t times_injected = 0;  // over all connections
    std::uint64_t id = 0;              // unique in the plan, from 0
  };

  InjectionPlan(std::vector<FaultInjection> injections, std::uint64_t seed) : seed_(seed) {
    for (auto& injection : injections) add(std::move(injection));
  }
  // Returns false if the plan is full.
  bool add(FaultInjection injection) {
    if (entries_.size() >= max_entries) return false;
    entries_.push_back({std::move(injection), 0, next_id_++});
    return true;
  }
  void clear() { entries_.clear(); }

  [[nodiscard]] std::vector<Entry>& entries() { return entries_; }
  [[nodiscard]] const std::vector<Entry>& entries() const { return entries_; }
  // Returns null if the entry has been cleared. The pointer is valid until the plan changes.
  [[nodiscard]] const FaultInjection* find(std::uint64_t id) const;
  [[nodiscard]] std::uint64_t seed() const { return seed_; }
  // Whether an entry may be injected into connection number `connection` (from 0) at `now_ms` after the start
  // of the plan. Checks the limits `most`, `every`, `share`, `from` and `until`; the caller checks the
  // position.
  [[nodiscard]] bool allows(const Entry& entry, std::uint64_t connection, double now_ms) const;
  // Returns the byte offset of the entry in that connection, drawn if the entry has a range.
  [[nodiscard]] std::uint64_t byte(const Entry& entry, std::uint64_t connection) const;

 private:
  std::vector<Entry> entries_;
  std::uint64_t seed_, next_id_ = 0;
};

// The record of one injected fault.
struct InjectedFault {
  std::uint64_t connection = 0;
  std::uint64_t entry = 0;  // the entry's id in the plan
  Direction direction = Direction::to_server;
  std::uint64_t byte = 0;     // bytes of that direction before the fault
  std::uint64_t message = 0;  // complete messages of that direction before the fault
  bool operator==(const InjectedFault&) const = default;
};

}  // namespace meadowgauge::testbed
