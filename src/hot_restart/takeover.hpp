// When a process of a balancer gives way to another one, and when it takes over. Values without I/O; times
// are ms by the caller's clock. docs/design/day-to-day.md has the outcomes.
#pragma once

#include <cstdint>
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

// What a process is to do now.
struct TakeoverActions {
  bool listen = false;             // begin to serve, and mark it for the others
  bool claim_connections = false;  // new connections come here, past `older` processes that listen too
  bool handover = false;           // a newer process takes the new connections
  bool set_share = false;          // `share` of each limit is this process's from now on
  double share = 1;
  bool save_snapshot = false;  // what was learned
};

// The way of one process from its start to its end; update() is called periodically.
class Takeover {
 public:
  // A snapshot that is older is of no use to a successor.
  static constexpr double max_snapshot_age_ms = 5000;

  // The process has started at `now` beside `peers`.
  Takeover(const PeerProcesses& peers, double now_ms);
  // `peers` are there now. `endpoints_known`: discovery has answered since the start.
  TakeoverActions update(const PeerProcesses& peers, bool endpoints_known, double now_ms);
  // The process is to end.
  void end();

  // There was another process when this one started.
  [[nodiscard]] bool replaces_another() const { return replaces_another_; }
  // After a server was drained by hand: how long until all processes have seen it, in ms.
  [[nodiscard]] double drain_delay_ms() const;

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant() const;

 private:
  enum class State : std::uint8_t {
    waiting,      // for the older process to give way, or for the endpoint list
    serving,      // listens
    ending,       // listens on until a newer process serves
    handed_over,  // a newer process serves; answers what it has
    cancelled     // to end before it ever served
  };
  [[nodiscard]] bool is_due(bool endpoints_known, double now_ms) const;

  State state_ = State::waiting;
  PeerProcesses peers_;
  double started_at_ms_;
  double saved_at_ms_;  // when a snapshot was last due
  bool replaces_another_;
  bool updated_ = false;  // there was an update before
};

}  // namespace meadowgauge::hot_restart
