// Faults of a connection between two sockets, each with its position in the byte stream, and the plan of all
// faults of one relay. Values only: the same seed, plan and bytes inject at the same byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace meadowgauge::testbed {

// The direction of bytes: to_server towards the accepting side, to_client back to the connecting side.
enum class Direction : std::uint8_t { to_server, to_client };

struct FaultInjectionError;

// One fault, as stated by `--fault`, an experiment's `strikes` and the command socket.
struct FaultInjection {
  enum class Kind : std::uint8_t {
    delay,       // delays all further bytes of this direction by `ms`
    throttle,    // limits all further bytes of this direction to `rate` bytes a second
    close,       // closes both ends
    reset,       // resets both ends
    half_close,  // ends the stream of this direction, the other direction stays open
    black_hole,  // drops all further bytes of both directions and keeps both connections open
    corrupt      // changes the next `bytes` bytes
  };
  enum class Position : std::uint8_t {
    connect,  // when the connection is established
    byte,     // before byte `n` of this direction
    header,   // before the first byte of the value of header `name`
    body,     // before byte `n` of a body
    end,      // after a message's last byte; for a request, before any byte of its response
    time      // `n` ms after the begin
  };
  Kind kind = Kind::close;
  Position position = Position::end;
  Direction direction = Direction::to_server;
  double ms = 0, rate = 0;                    // rate: bytes a second
  std::uint64_t bytes = 1, n = 0, n_max = 0;  // n is drawn from n to n_max, if n_max is larger
  std::string name;                           // of a header
  std::uint64_t after_messages = 0;           // complete messages of this direction that pass first
  std::uint64_t every = 1;                    // only every n-th connection, from the first
  double share = 1;                           // of the connections, drawn
  std::uint64_t max_injections = 0;           // over all connections; 0: unlimited
  double from_ms = 0, until_ms = 0;           // time range of injections; until 0: unlimited
  std::string target;                         // the server whose relay injects the fault; empty: all

  // Reads `KIND at=POSITION [way=server|client] [after=K] [every=N] [share=X] [most=M] [from=MS] [until=MS]
  // [target=NAME]`, where KIND is `delay ms=N`, `throttle rate=N`, `cut`, `reset`, `half`, `silence` or
  // `garble bytes=N`, and POSITION `connect`, `byte:N`, `byte:N-M`, `header:NAME`, `body`, `body:N`, `end` or
  // `time:MS`.
  static std::variant<FaultInjection, FaultInjectionError> parse(std::string_view text);
  // Returns the form that parse() reads.
  [[nodiscard]] std::string text() const;
};

// Why a text cannot be parsed as a fault.
struct FaultInjectionError {
  enum class Kind : std::uint8_t { empty, unknown_fault, unreadable_field, missing_rate };
  Kind kind = Kind::empty;
  std::string field;  // the invalid field
  // Returns one line for operators.
  [[nodiscard]] std::string text() const;
};

// The faults that a relay injects into its connections, with a count of injections for each.
class InjectionPlan {
 public:
  static constexpr std::size_t max_entries = 256;

  struct Entry {
    FaultInjection injection;
    std::uint64_t times_injected = 0;
    std::uint64_t id = 0;  // unique in the plan, from 0
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
  // Whether an entry may be injected into connection number `connection` (from 0) at `now_ms` from the begin.
  [[nodiscard]] bool allows(const Entry& entry, std::uint64_t connection, double now_ms) const;
  // The byte offset `n` of the entry in that connection, drawn if the entry states a range.
  [[nodiscard]] std::uint64_t byte(const Entry& entry, std::uint64_t connection) const;

 private:
  std::vector<Entry> entries_;
  std::uint64_t seed_, next_id_ = 0;
};

// The record of an injected fault.
struct InjectedFault {
  std::uint64_t connection = 0;
  std::uint64_t entry = 0;  // its id in the plan
  Direction direction = Direction::to_server;
  std::uint64_t byte = 0;     // bytes passed before in that direction
  std::uint64_t message = 0;  // complete messages passed before in that direction
  bool operator==(const InjectedFault&) const = default;
};

}  // namespace meadowgauge::testbed
