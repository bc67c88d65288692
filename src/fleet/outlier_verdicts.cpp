#include "fleet/outlier_verdicts.hpp"

#include <algorithm>
#include <limits>

namespace meadowgauge::fleet {

using membership::ServerObservation;

namespace {

constexpr double onset_ms = 300;  // failures have begun so long before the policy suspects a server
// After the newest failure: what was sent before it has been answered by then, or never is.
constexpr double recovery_margin_ms = 500;
constexpr double recent_ms = 5000;         // of the servers that unhealthy_share() counts
constexpr double max_accuser_share = 0.5;  // from there on an origin's own links are what is bad
constexpr double forgotten_ms = 2 * OutlierVerdicts::verdict_ms;
constexpr std::size_t max_sightings = membership::max_observations * 8;  // of another origin

constexpr double infinity = std::numeric_limits<double>::infinity();

}  // namespace

// --- What instances have seen ---------------------------------------------------------------------------

void OutlierVerdicts::record_success(ServerId server, double now_ms) {
  auto& own = origins_[self_].sightings;
  if (own.size() < max_servers || own.contains(server))
    own[server] = {.failing = false, .seen_at_ms = now_ms};
}

// A server that is silent was seen failing when it was first suspected, one that is ejected when that began.
bool OutlierVerdicts::record_suspects(const std::vector<ServerId>& servers, double now_ms) {
  std::erase_if(suspect_since_, [&](const auto& suspect) {
    return std::find(servers.begin(), servers.end(), suspect.first) == servers.end();
  });
  bool any_new = false;
  auto& own = origins_[self_].sightings;
  for (auto server : servers) {
    bool is_new = suspect_since_.try_emplace(server, now_ms).second;
    bool is_kept = own.size() < max_servers || own.contains(server);
    if (!is_new || !is_kept) continue;
    any_new = true;
    own[server] = {.failing = true, .seen_at_ms = now_ms, .failing_since = now_ms - onset_ms};
  }
  return any_new;
}

double OutlierVerdicts::unhealthy_share(double now_ms) const {
  auto own = origins_.find(self_);
  if (own == origins_.end()) return 0;
  double failing = 0;
  double seen = 0;
  for (const auto& [server, sighting] : own->second.sightings) {
    if (now_ms - sighting.seen_at_ms > recent_ms) continue;
    seen += 1;
    failing += sighting.failing ? 1 : 0;
  }
  return seen > 0 ? failing / seen : 0;
}

std::vector<ServerObservation> OutlierVerdicts::observations(double now_ms) const {
  std::vector<ServerObservation> all;
  auto own = origins_.find(self_);
  if (own == origins_.end()) return all;
  for (auto server : accused(now_ms)) {
    auto it = own->second.sightings.find(server);
    if (it == own->second.sightings.end() || now_ms - it->second.seen_at_ms > verdict_ms) continue;
    const auto& sighting = it->second;
    all.push_back({.server = server,
                   .failing = sighting.failing,
                   .age_ms = now_ms - sighting.seen_at_ms,
                   .failing_for_ms = sighting.failing ? now_ms - sighting.failing_since : 0});
  }
  std::sort(all.begin(), all.end(), [](const ServerObservation& a, const ServerObservation& b) {
    if (a.failing != b.failing) return a.failing;
    return a.age_ms != b.age_ms ? a.age_ms < b.age_ms : a.server < b.server;
  });
  if (all.size() > membership::max_observations) all.resize(membership::max_observations);
  return all;
}

// Of each origin and server the newest sighting alone counts, whenever it comes and however often.
bool OutlierVerdicts::merge(const std::string& origin, const std::vector<ServerObservation>& observations,
                            double unhealthy_share, double made_at_ms) {
  bool is_known = origins_.contains(origin);
  if (origin == self_ || (!is_known && (observations.empty() || origins_.size() >= max_origins)))
    return false;
  bool newly_failing = false;
  auto& known = origins_[origin];
  known.unhealthy_share = unhealthy_share;
  for (const auto& observation : observations) {
    double seen_at_ms = made_at_ms - observation.age_ms;
    auto [it, is_first] = known.sightings.try_emplace(observation.server);
    auto& sighting = it->second;
    bool is_older = sighting.seen_at_ms > seen_at_ms;
    bool adds_nothing = sighting.seen_at_ms == seen_at_ms && (sighting.failing || !observation.failing);
    if (!is_first && (is_older || adds_nothing)) continue;
    newly_failing = newly_failing || (observation.failing && (is_first || !sighting.failing));
    sighting = {.failing = observation.failing,
                .seen_at_ms = seen_at_ms,
                .failing_since = made_at_ms - observation.failing_for_ms};
    if (known.sightings.size() > max_sightings) known.sightings.erase(known.sightings.begin());
  }
  return newly_failing;
}

void OutlierVerdicts::expire(const std::vector<std::string>& known, double now_ms) {
  for (auto it = origins_.begin(); it != origins_.end();) {
    auto& [name, origin] = *it;
    std::erase_if(origin.sightings,
                  [&](const auto& sighting) { return now_ms - sighting.second.seen_at_ms > forgotten_ms; });
    bool is_listed = std::binary_search(known.begin(), known.end(), name);
    bool drops = name != self_ && (origin.sightings.empty() || !is_listed);
    it = drops ? origins_.erase(it) : std::next(it);
  }
}

// --- The verdict ----------------------------------------------------------------------------------------

// Few, however many servers and origins there are: only these are assessed one by one.
std::set<ServerId> OutlierVerdicts::accused(double now_ms) const {
  std::set<ServerId> servers;
  for (const auto& [name, origin] : origins_)
    for (const auto& [server, sighting] : origin.sightings)
      if (sighting.failing && now_ms - sighting.seen_at_ms <= verdict_ms) servers.insert(server);
  return servers;
}

// An origin that finds most servers failing has bad links of its own, and accuses none.
bool OutlierVerdicts::accuses(const std::string& name, const Origin& origin, ServerId server,
                              double now_ms) const {
  auto it = origin.sightings.find(server);
  if (it == origin.sightings.end() || !it->second.failing) return false;
  if (now_ms - it->second.seen_at_ms > verdict_ms) return false;
  return (name == self_ ? unhealthy_share(now_ms) : origin.unhealthy_share) < max_accuser_share;
}

// The accuser that saw it longest ago goes first, as its own policy's ejection is over; every other trial
// interval without news one more may try.
bool OutlierVerdicts::is_our_trial(const Assessment& assessment, const std::vector<std::string>& alive,
                                   double now_ms) const {
  struct Tester {
    double seen_at_ms;
    std::uint64_t rank;
    bool is_self;
  };
  std::vector<Tester> testers;
  for (const auto& [name, origin] : origins_) {
    if (!accuses(name, origin, assessment.server, now_ms)) continue;
    if (name != self_ && !std::binary_search(alive.begin(), alive.end(), name)) continue;
    auto rank = membership::digest(name + "/" + std::to_string(assessment.server));
    testers.push_back({origin.sightings.at(assessment.server).seen_at_ms, rank, name == self_});
  }
  std::sort(testers.begin(), testers.end(), [](const Tester& a, const Tester& b) {
    return a.seen_at_ms != b.seen_at_ms ? a.seen_at_ms < b.seen_at_ms : a.rank < b.rank;
  });
  for (std::size_t i = 0; i < testers.size(); ++i) {
    double turn_after_ms = trial_interval_ms * static_cast<double>(2 * i + 1);
    if (testers[i].is_self && now_ms - assessment.last_failure >= turn_after_ms) return true;
  }
  return false;
}

OutlierVerdicts::Assessment OutlierVerdicts::assess(ServerId server, const std::vector<std::string>& alive,
                                                    double now_ms) const {
  Assessment result{.server = server, .failing_since = infinity, .last_failure = -infinity};
  for (const auto& [name, origin] : origins_) {
    if (!accuses(name, origin, server, now_ms)) continue;
    const auto& sighting = origin.sightings.at(server);
    ++result.accusers;
    result.failing_since = std::min(result.failing_since, sighting.failing_since);
    result.last_failure = std::max(result.last_failure, sighting.seen_at_ms);
  }
  for (const auto& [name, origin] : origins_) {
    auto it = origin.sightings.find(server);
    if (it == origin.sightings.end() || it->second.failing) continue;
    if (it->second.seen_at_ms <= result.failing_since) continue;
    ++result.defenders;
    result.served_us = result.served_us || name == self_;
    result.recovered = result.recovered || it->second.seen_at_ms > result.last_failure + recovery_margin_ms;
  }
  result.our_trial = is_our_trial(result, alive, now_ms);
  return result;
}

std::vector<ServerId> OutlierVerdicts::ejected(const std::vector<ServerId>& listed,
                                               const std::vector<std::string>& alive, double now_ms) const {
  std::vector<Assessment> outliers;
  for (auto server : accused(now_ms)) {
    if (std::find(listed.begin(), listed.end(), server) == listed.end()) continue;
    auto result = assess(server, alive, now_ms);
    bool is_outlier = result.accusers >= min_accusers && result.accusers >= 2 * result.defenders;
    if (is_outlier && !result.served_us && !result.recovered) outliers.push_back(result);
  }
  std::sort(outliers.begin(), outliers.end(), [](const Assessment& a, const Assessment& b) {
    return a.accusers != b.accusers ? a.accusers > b.accusers : a.server < b.server;
  });
  auto most = static_cast<std::size_t>(max_ejected_share * static_cast<double>(listed.size()));
  if (outliers.size() > most) outliers.resize(most);
  std::vector<ServerId> servers;
  for (const auto& outlier : outliers)
    if (!outlier.our_trial) servers.push_back(outlier.server);
  return servers;
}

std::string OutlierVerdicts::broken_invariant() const {
  if (origins_.size() > max_origins + 1) return "too many origins";
  for (const auto& [name, origin] : origins_) {
    auto most = name == self_ ? max_servers : max_sightings;
    if (origin.sightings.size() > most) return "too many sightings of " + name;
    if (name == self_ && origin.unhealthy_share != 0) return "an own share that was received";
  }
  auto own = origins_.find(self_);
  for (const auto& [server, since] : suspect_since_) {
    if (own == origins_.end()) return "a suspect without an own origin";
    auto it = own->second.sightings.find(server);
    if (it != own->second.sightings.end() && it->second.failing && it->second.seen_at_ms < since)
      return "a suspect was seen failing before it was suspected";
  }
  return {};
}

}  // namespace meadowgauge::fleet
