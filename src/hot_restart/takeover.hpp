// Takeover between the processes of one balancer at a hot restart. No I/O; times are in ms of the caller's
// clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace meadowgauge::hot_restart {

// Counts of the other processes of the same balancer that started before (older) and after (newer) this one.
struct PeerProcesses {
  int older = 0;
  int newer = 0;
  bool newer_serves = false;
  [[nodiscard]] int total() const { return older + newer; }
  bool operator==(const PeerProcesses&) const = default;
};

// The actions that a process must take now.
struct TakeoverActions {
  bool listen = false;             // listen, and mark this process as serving
  bool claim_connections = false;  // route new connections here instead of to older processes
  bool handover = false;           // stop accepting: a newer process takes new connections
  bool set_share = false;          // apply `share`
  double share = 1;                // this process's share of each limit, from 0 to 1
  bool save_snapshot = false;      // store the learned state
};

// The invariants that Takeover::broken_invariant() checks.
enum class TakeoverInvariant : std::uint8_t {
  process_counts_not_negative,
  serving_peer_is_counted,
  snapshot_after_start,
  update_before_serving,
  count
};

// A violated invariant of Takeover, with the offending value and its bound.
struct BrokenTakeoverInvariant {
  TakeoverInvariant invariant{};
  double value = 0;
  double bound = 0;
};

// Describes the violation in one line; empty if there is none.
std::string describe(const std::optional<BrokenTakeoverInvariant>& broken);

// State machine of one process from its start to its end.
//
// A new process waits until all older ones have seen it and discovery has answered; then it serves beside
// them. An older process that was told to end keeps listening until a newer one serves, so that no connection
// is refused. While several processes run, each has an equal share of the limits. docs/design/day-to-day.md
// lists the outcome of each order of events.
class Takeover {
 public:
  // Age beyond which a successor ignores a snapshot.
  static constexpr double max_snapshot_age_ms = 5000;

  // The process starts at `now_ms` beside `peers`.
  Takeover(const PeerProcesses& peers, double now_ms);
  // To be called periodically. `endpoints_known`: discovery has answered since the start. `may_serve`: the
  // configured endpoints may be used until discovery answers.
  TakeoverActions update(const PeerProcesses& peers, bool endpoints_known, double now_ms,
                         bool may_serve = true);
  // Tells this process to end: cancels its start, or lets it serve until a newer process serves.
  void end();

  // Whether another process of this balancer was running when this one started.
  [[nodiscard]] bool replaces_another() const { return replaces_another_; }
  // Time in ms until all processes have seen a manual drain.
  [[nodiscard]] double drain_delay_ms() const;

  // Returns the first violated invariant. Tests call it after every step.
  [[nodiscard]] std::optional<BrokenTakeoverInvariant> broken_invariant() const;

 private:
  enum class State : std::uint8_t {
    waiting,      // until older processes have seen this one and discovery has answered
    serving,      // listens
    ending,       // listens until a newer process serves
    handed_over,  // a newer process serves; this one completes its requests in flight
    cancelled     // told to end before it served
  };
  [[nodiscard]] bool is_due(bool endpoints_known, bool may_serve, double now_ms) const;

  State state_ = State::waiting;
  PeerProcesses peers_;
  double started_at_ms_;
  double saved_at_ms_;  // time of the last snapshot
  bool replaces_another_;
  bool updated_ = false;  // update() has been called
};

}  // namespace meadowgauge::hot_restart
