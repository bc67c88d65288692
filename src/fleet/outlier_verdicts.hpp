// Which servers the instances of a fleet eject together. Values without I/O; times are ms by this instance's
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

using ServerId = std::uint32_t;  // the same number at every instance

// Ejects servers by first-hand observations of all instances.
//
// Each instance (origin) reports the servers that its own policy finds failing, and those that have served
// it. Only the newest observation of an origin and server counts, until it is `verdict_ms` old, so repetition
// and order of datagrams change nothing. A verdict is never reported itself. A server is ejected where
//
//   accusers >= min_accusers    and    accusers >= 2 * defenders
//
// accusers   origins that find the server failing, and fewer than half of the servers they see
// defenders  origins that the server has served since the earliest of the failures began
//
// and it has served neither this instance since then nor anybody after the newest failure. The share of
// ejected servers is bounded. One accuser at a time may try an ejected server; its success lifts the verdict.
// Rule and bound on age: docs/design/fleet-verdicts.md.
class OutlierVerdicts {
 public:
  static constexpr double verdict_ms = 10000;        // age at which an observation expires
  static constexpr double trial_interval_ms = 1000;  // between two trials of an ejected server
  static constexpr double max_ejected_share = 0.3;   // of the listed servers, 0 to 1
  static constexpr int min_accusers = 2;             // one bad link makes one accuser only
  static constexpr std::size_t max_origins = 2048;
  static constexpr std::size_t max_servers = 2048;  // own sightings

  // `self` is this instance's name.
  explicit OutlierVerdicts(std::string self) : self_(std::move(self)) {}

  // An attempt of this instance has succeeded at `server`.
  void record_success(ServerId server, double now_ms);
  // Takes the servers that this instance's policy ejects or finds unresponsive. True: one of them is new.
  bool record_suspects(const std::vector<ServerId>& servers, double now_ms);

  // The observations to report: failing servers, then servers that others accuse; the newest first.
  [[nodiscard]] std::vector<membership::ServerObservation> observations(double now_ms) const;
  // The failing share of the servers that this instance has recently seen, 0 to 1.
  [[nodiscard]] double unhealthy_share(double now_ms) const;
  // Takes the state that another instance made at `made_at_ms`. True: the origin accuses a further server.
  bool merge(const std::string& origin, const std::vector<membership::ServerObservation>& observations,
             double unhealthy_share, double made_at_ms);

  // Those of the `listed` servers that this instance must not pick now. `alive` holds the names of the alive
  // instances, sorted.
  [[nodiscard]] std::vector<ServerId> ejected(const std::vector<ServerId>& listed,
                                              const std::vector<std::string>& alive, double now_ms) const;
  // Those that other instances must not pick now and that it is this instance's turn to try.
  [[nodiscard]] std::vector<ServerId> on_trial(const std::vector<ServerId>& listed,
                                               const std::vector<std::string>& alive, double now_ms) const;
  // Drops expired sightings, and origins that are not in `known`, which is sorted.
  void expire(const std::vector<std::string>& known, double now_ms);
  // The number of instances with sightings.
  [[nodiscard]] std::size_t origin_count() const { return origins_.size(); }

  // The first invariant that does not hold. For tests, after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant() const;

 private:
  // An origin's newest observation of a server.
  struct Sighting {
    bool failing = false;
    double seen_at_ms = 0;
    double failing_since_ms = 0;  // of a failing server: nothing succeeded there after this time
  };
  struct Origin {
    double unhealthy_share = 0;
    std::map<ServerId, Sighting> sightings;
  };
  // The evidence for and against a server.
  struct Assessment {
    ServerId server = 0;
    int accusers = 0;
    int defenders = 0;            // origins served since the failures began
    double failing_since_ms = 0;  // earliest over all accusers
    double last_failure_ms = 0;   // newest over all accusers
    bool served_us = false;       // this instance is one of the defenders
    bool recovered = false;       // served an origin after the last failure, by the recovery margin
    bool our_trial = false;       // it is this instance's turn to try the server
  };
  [[nodiscard]] std::set<ServerId> accused(double now_ms) const;
  [[nodiscard]] bool accuses(const std::string& name, const Origin& origin, ServerId server,
                             double now_ms) const;
  [[nodiscard]] bool is_our_trial(const Assessment& assessment, const std::vector<std::string>& alive,
                                  double now_ms) const;
  [[nodiscard]] Assessment assess(ServerId server, const std::vector<std::string>& alive,
                                  double now_ms) const;
  [[nodiscard]] std::vector<Assessment> outliers(const std::vector<ServerId>& listed,
                                                 const std::vector<std::string>& alive, double now_ms) const;

  std::string self_;
  std::map<std::string, Origin> origins_;        // by instance name, with this one
  std::map<ServerId, double> suspect_since_ms_;  // own suspects, by the time of the first report
};

}  // namespace meadowgauge::fleet
