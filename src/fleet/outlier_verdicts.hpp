// Decides which servers the instances of a fleet eject together. No I/O; times are in ms by this instance's
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/broken_invariant.hpp"
#include "membership/datagram.hpp"

namespace meadowgauge::fleet {

using ServerId = std::uint32_t;  // identical at all instances

// Ejects servers based on the first-hand observations of all instances.
//
// Each instance (origin) reports the servers that its own policy finds failing, and the servers that others
// find failing but that have served this instance. Only the newest observation of an origin and server
// counts, until it is `verdict_ms` old, so the order and repetition of datagrams have no effect. Instances
// report observations, never verdicts. A server is ejected if
//
//   failing_reporters >= min_failing_reporters    and    failing_reporters >= 2 * healthy_reporters
//
// failing_reporters  origins that find this server failing, and fewer than half of the servers they see
// healthy_reporters  origins that the server has served since the earliest of the failures began
//
// unless the server has served this instance since the failures began, or any origin since the newest
// failure. The share of ejected servers is bounded. The failing reporters take turns to try an ejected
// server; a successful attempt lifts the verdict. Rule and bound on age: docs/design/fleet-verdicts.md.
class OutlierVerdicts {
 public:
  static constexpr double verdict_ms = 10000;        // age up to which an observation counts
  static constexpr double trial_interval_ms = 1000;  // between two trials of an ejected server
  static constexpr double max_ejected_share = 0.3;   // of the listed servers, 0 to 1
  static constexpr int min_failing_reporters = 2;    // one bad link produces a single failing reporter
  static constexpr std::size_t max_origins = 2048;
  static constexpr std::size_t max_servers = 2048;  // bound on this instance's own sightings

  // `self` is the name of this instance.
  explicit OutlierVerdicts(std::string self) : self_(std::move(self)) {}

  // Records that `server` has served an attempt of this instance.
  void record_success(ServerId server, double now_ms);
  // Sets the servers that this instance's policy ejects or finds unresponsive. Returns whether any of them is
  // new.
  bool record_suspects(const std::vector<ServerId>& servers, double now_ms);

  // Returns this instance's observations of the servers that any origin reports as failing: first the servers
  // that fail here, then those that have served this instance; each group newest first.
  [[nodiscard]] std::vector<membership::ServerObservation> observations(double now_ms) const;
  // Returns the failing share of the servers that this instance has recently seen, 0 to 1.
  [[nodiscard]] double unhealthy_share(double now_ms) const;
  // Merges the observations that another instance reported at `made_at_ms`. Returns whether the origin
  // reports a further server as failing.
  bool merge(const std::string& origin, const std::vector<membership::ServerObservation>& observations,
             double unhealthy_share, double made_at_ms);

  // Returns those of the `listed` servers that this instance must not pick now. `alive` holds the names of
  // the alive instances and must be sorted.
  [[nodiscard]] std::vector<ServerId> ejected(const std::vector<ServerId>& listed,
                                              const std::vector<std::string>& alive, double now_ms) const;
  // Returns the ejected servers that it is this instance's turn to try.
  [[nodiscard]] std::vector<ServerId> on_trial(const std::vector<ServerId>& listed,
                                               const std::vector<std::string>& alive, double now_ms) const;
  // Drops expired sightings, and origins that are not in `known`, which must be sorted.
  void expire(const std::vector<std::string>& known, double now_ms);
  // Number of instances with sightings, including this one.
  [[nodiscard]] std::size_t origin_count() const { return origins_.size(); }

  // Returns the first violated invariant, if any. Tests call it after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant() const;

 private:
  // An origin's newest observation of a server.
  struct Sighting {
    bool failing = false;
    double seen_at_ms = 0;
    double failing_since_ms = 0;  // for a failing server: no attempt succeeded after this time
  };
  struct Origin {
    double unhealthy_share = 0;
    std::map<ServerId, Sighting> sightings;
  };
  // The origins' observations of a server, summed up.
  struct Assessment {
    ServerId server = 0;
    int failing_reporters = 0;
    int healthy_reporters = 0;    // origins that the server has served since the failures began
    double failing_since_ms = 0;  // earliest of all failing reporters
    double last_failure_ms = 0;   // newest of all failing reporters
    bool served_self = false;     // this instance is one of the healthy reporters
    bool recovered = false;       // served an origin later than the last failure plus the recovery margin
    bool may_try = false;         // whether it is this instance's turn to try the server
  };
  // Returns the servers that any origin currently reports as failing.
  [[nodiscard]] std::set<ServerId> reported_servers(double now_ms) const;
  [[nodiscard]] bool reports_failing(const std::string& name, const Origin& origin, ServerId server,
                                     double now_ms) const;
  [[nodiscard]] bool is_trial_due(const Assessment& assessment, const std::vector<std::string>& alive,
                                  double now_ms) const;
  [[nodiscard]] Assessment assess(ServerId server, const std::vector<std::string>& alive,
                                  double now_ms) const;
  [[nodiscard]] std::vector<Assessment> outliers(const std::vector<ServerId>& listed,
                                                 const std::vector<std::string>& alive, double now_ms) const;

  std::string self_;
  std::map<std::string, Origin> origins_;        // by instance name, including this one
  std::map<ServerId, double> suspect_since_ms_;  // servers suspected by the own policy, and since when
};

}  // namespace meadowgauge::fleet
