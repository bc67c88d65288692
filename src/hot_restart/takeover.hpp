// Takeover between the processes of one balancer at an upgrade. Values without I/O; times are ms by the
// caller's clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace meadowgauge::hot_restart {

// The other processes of the same balancer, by whether they started before or after this one.
struct PeerProcesses {
  int older = 0;
  int newer = 0;
  bool newer_serves = false;
  [[nodiscard]] int total() const { return older + newer; }
  bool operator==(const PeerProcesses&) const = default;
};

// Actions that a process must take now.
struct TakeoverActions {
  bool listen = false;             // listen, and mark this process as serving
  bool claim_connections = false;  // route new connections here, past older processes that still listen
  bool handover = false;           // stop accepting: a newer process takes new connections
  bool set_share = false;          // apply `share`
  double share = 1;                // this process's share of each limit, 0 to 1
  bool save_snapshot = false;      // store the learned state
};

enum class TakeoverInvariant : std::uint8_t {
  process_counts_not_negative,
  serving_peer_is_counted,
  snapshot_after_start,
  update_before_serving,
  count
};

// An invariant of Takeover that does not hold, with the value that breaks it and the bound.
struct BrokenTakeoverInvariant {
  TakeoverInvariant invariant{};
  double value = 0;
  double bound = 0;
};

// One line of text; empty where no invariant is broken.
std::string describe(const std::optional<BrokenTakeoverInvariant>& broken);

// The states of one process from its start to its end.
//
// A new process waits until all older ones have seen it and discovery has answered, then serves beside them.
// An older process that must end keeps listening until a newer one serves, so that no connection is refused.
// While several processes run, each holds an equal share of the limits. Outcomes of each order of events:
// docs/design/day-to-day.md.
class Takeover {
 public:
  // Age at which a snapshot expires for a successor.
  static constexpr double max_snapshot_age_ms = 5000;

  // The process starts at `now_ms` beside `peers`.
  Takeover(const PeerProcesses& peers, double now_ms);
  // To be called periodically. `endpoints_known`: discovery has answered since the start. `may_serve`: the
  // configured endpoints may be used until it has.
  TakeoverActions update(const PeerProcesses& peers, bool endpoints_known, double now_ms,
                         bool may_serve = true);
  // This process must end: it cancels its start, or serves until a newer process does.
  void end();

  // Whether another process ran at this one's start.
  [[nodiscard]] bool replaces_another() const { return replaces_another_; }
  // Time until all processes have seen a manual drain.
  [[nodiscard]] double drain_delay_ms() const;

  // The first invariant that does not hold. For tests, after every step.
  [[nodiscard]] std::optional<BrokenTakeoverInvariant> broken_invariant() const;

 private:
  enum class State : std::uint8_t {
    waiting,      // until older processes have seen this one and the endpoint list is known
    serving,      // listens
    ending,       // listens until a newer process serves
    handed_over,  // a newer process serves; completes its requests in flight
    cancelled     // ends without having served
  };
  [[nodiscard]] bool is_due(bool endpoints_known, bool may_serve, double now_ms) const;

  State state_ = State::waiting;
  PeerProcesses peers_;
  double started_at_ms_;
  double saved_at_ms_;  // time of the last snapshot
  bool replaces_another_;
  bool updated_ = false;  // update() was called before
};

}  // namespace meadowgauge::hot_restart
