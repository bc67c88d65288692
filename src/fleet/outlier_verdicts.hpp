// Which servers the whole fleet ejects, from what its instances have seen themselves. Values without I/O;
// times are ms by this instance's clock. docs/design/fleet-verdicts.md has the rule and the bound on age.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/datagram.hpp"

namespace meadowgauge::fleet {

using ServerId = std::uint32_t;  // the same number at every instance

class OutlierVerdicts {
 public:
  static constexpr double verdict_ms = 10000;        // an observation counts for so long
  static constexpr double trial_interval_ms = 1000;  // between two trials of an ejected server
  static constexpr double max_ejected_share = 0.3;   // of the listed servers
  static constexpr int min_accusers = 2;             // the fewest that one bad link can't make
  static constexpr std::size_t max_origins = 2048;
  static constexpr std::size_t max_servers = 2048;  // that this instance remembers

  // `self`: this instance's name.
  explicit OutlierVerdicts(std::string self) : self_(std::move(self)) {}

  // This instance had an attempt succeed at `server`.
  void record_success(ServerId server, double now_ms);
  // The servers that this instance's own policy ejects or finds silent now. True: one is new among them.
  bool record_suspects(const std::vector<ServerId>& servers, double now_ms);

  // What to report: failing servers first, then good ones that somebody calls failing; the latest seen first.
  [[nodiscard]] std::vector<membership::ServerObservation> observations(double now_ms) const;
  // The share that is failing of the servers that this instance has seen lately, 0 to 1.
  [[nodiscard]] double unhealthy_share(double now_ms) const;
  // Another instance's state has come, made at `made_at`. True: it calls a server failing that it did not
  // before.
  bool merge(const std::string& origin, const std::vector<membership::ServerObservation>& observations,
             double unhealthy_share, double made_at_ms);

  // Those of the `listed` servers that this instance is not to pick now. `alive`: the names of the instances
  // that are, sorted.
  [[nodiscard]] std::vector<ServerId> ejected(const std::vector<ServerId>& listed,
                                              const std::vector<std::string>& alive, double now_ms) const;
  // Drops what has expired, and origins that are not among `known`, which is sorted.
  void expire(const std::vector<std::string>& known, double now_ms);
  // How many instances anything is known from.
  [[nodiscard]] std::size_t origin_count() const { return origins_.size(); }

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant() const;

 private:
  // The latest that an origin has seen of a server.
  struct Sighting {
    bool failing = false;
    double seen_at_ms = 0;
    double failing_since = 0;  // where it is failing: nothing good came from the server after that
  };
  struct Origin {
    double unhealthy_share = 0;
    std::map<ServerId, Sighting> sightings;
  };
  // What speaks for and against a server.
  struct Assessment {
    ServerId server = 0;
    int accusers = 0;
    int defenders = 0;         // that were served by it since the failures began
    double failing_since = 0;  // by the earliest accuser
    double last_failure = 0;   // by the latest accuser
    bool served_us = false;    // this instance is among the defenders
    bool recovered = false;    // served somebody for certain after the last failure
    bool our_trial = false;    // it is this instance's turn to try it
  };
  [[nodiscard]] std::set<ServerId> accused(double now_ms) const;
  [[nodiscard]] bool accuses(const std::string& name, const Origin& origin, ServerId server,
                             double now_ms) const;
  [[nodiscard]] bool is_our_trial(const Assessment& assessment, const std::vector<std::string>& alive,
                                  double now_ms) const;
  [[nodiscard]] Assessment assess(ServerId server, const std::vector<std::string>& alive,
                                  double now_ms) const;

  std::string self_;
  std::map<std::string, Origin> origins_;     // this instance among them
  std::map<ServerId, double> suspect_since_;  // own suspects, and when each was first reported
};

}  // namespace meadowgauge::fleet
