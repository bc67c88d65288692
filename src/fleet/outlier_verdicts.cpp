#include "fleet/outlier_verdicts.hpp"

#include <algorithm>
#include <limits>

namespace meadowgauge::fleet {

using membership::ServerObservation;

namespace {

constexpr double suspicion_delay_ms = 300;  // from the first failure until the policy suspects a server
// A success this long after the newest failure proves recovery: its attempt started after the failure.
constexpr double recovery_margin_ms = 500;
constexpr double recent_ms = 5000;  // unhealthy_share() ignores older sightings
// From this failing share on, an origin's own links are at fault and its reports do not count.
constexpr double max_unhealthy_share = 0.5;
constexpr double sighting_retention_ms = 2 * OutlierVerdicts::verdict_ms;
constexpr std::size_t max_sightings = membership::max_observations * 8;  // per origin, except this instance

constexpr double never_ms = std::numeric_limits<double>::infinity();

}  // namespace

// --- Observations ---------------------------------------------------------------------------------------

void OutlierVerdicts::record_success(ServerId server, double now_ms) {
  auto& own = origins_[self_].sightings;
  if (own.size() < max_servers || own.contains(server))
    own[server] = {.failing = false, .seen_at_ms = now_ms};
}

// The sighting of a suspected server keeps the time at which the server was first suspected: the policy stops
// sending requests to it, so there are no newer observations.
bool OutlierVerdicts::record_suspects(const std::vector<ServerId>& servers, double now_ms) {
  std::erase_if(suspect_since_ms_, [&](const auto& suspect) {
    return std::find(servers.begin(), servers.end(), suspect.first) == servers.end();
  });
  bool any_new = false;
  auto& own = origins_[self_].sightings;
  for (auto server : servers) {
    bool is_new = suspect_since_ms_.try_emplace(server, now_ms).second;
    bool is_kept = own.size() < max_servers || own.contains(server);
    if (!is_new || !is_kept) continue;
    any_new = true;
    own[server] = {.failing = true, .seen_at_ms = now_ms, .failing_since_ms = now_ms - suspicion_delay_ms};
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
  for (auto server : reported_servers(now_ms)) {
    auto it = own->second.sightings.find(server);
    if (it == own->second.sightings.end() || now_ms - it->second.seen_at_ms > verdict_ms) continue;
    const auto& sighting = it->second;
    all.push_back({.server = server,
                   .failing = sighting.failing,
                   .age_ms = now_ms - sighting.seen_at_ms,
                   .failing_for_ms = sighting.failing ? now_ms - sighting.failing_since_ms : 0});
  }
  std::sort(all.begin(), all.end(), [](const ServerObservation& a, const ServerObservation& b) {
    if (a.failing != b.failing) return a.failing;
    return a.age_ms != b.age_ms ? a.age_ms < b.age_ms : a.server < b.server;
  });
  if (all.size() > membership::max_observations) all.resize(membership::max_observations);
  return all;
}

// Keeps the newest sighting of each origin and server, so that order and repetition have no effect.
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
    bool is_redundant = sighting.seen_at_ms == seen_at_ms && (sighting.failing || !observation.failing);
    if (!is_first && (is_older || is_redundant)) continue;
    newly_failing = newly_failing || (observation.failing && (is_first || !sighting.failing));
    sighting = {.failing = observation.failing,
                .seen_at_ms = seen_at_ms,
                .failing_since_ms = made_at_ms - observation.failing_for_ms};
    if (known.sightings.size() > max_sightings) known.sightings.erase(known.sightings.begin());
  }
  return newly_failing;
}

void OutlierVerdicts::expire(const std::vector<std::string>& known, double now_ms) {
  for (auto it = origins_.begin(); it != origins_.end();) {
    auto& [name, origin] = *it;
    std::erase_if(origin.sightings, [&](const auto& sighting) {
      return now_ms - sighting.second.seen_at_ms > sighting_retention_ms;
    });
    bool is_listed = std::binary_search(known.begin(), known.end(), name);
    bool should_drop = name != self_ && (origin.sightings.empty() || !is_listed);
    it = should_drop ? origins_.erase(it) : std::next(it);
  }
}

// --- The verdict ----------------------------------------------------------------------------------------

// Only the returned servers are assessed, which keeps the cost independent of the size of the fleet.
std::set<ServerId> OutlierVerdicts::reported_servers(double now_ms) const {
  std::set<ServerId> servers;
  for (const auto& [name, origin] : origins_)
    for (const auto& [server, sighting] : origin.sightings)
      if (sighting.failing && now_ms - sighting.seen_at_ms <= verdict_ms) servers.insert(server);
  return servers;
}

// An origin that finds at least half of its servers failing has bad links of its own, so its reports do not
// count.
bool OutlierVerdicts::reports_failing(const std::string& name, const Origin& origin, ServerId server,
                                      double now_ms) const {
  auto it = origin.sightings.find(server);
  if (it == origin.sightings.end() || !it->second.failing) return false;
  if (now_ms - it->second.seen_at_ms > verdict_ms) return false;
  return (name == self_ ? unhealthy_share(now_ms) : origin.unhealthy_share) < max_unhealthy_share;
}

// Returns whether this instance may try the server now. The failing reporters take turns, the one with the
// oldest sighting first, because its policy's own ejection ends first. The first may try one trial interval
// after the last failure, and one more after every two further intervals without a newer failure.
bool OutlierVerdicts::is_trial_due(const Assessment& assessment, const std::vector<std::string>& alive,
                                   double now_ms) const {
  struct TrialCandidate {
    double seen_at_ms;
    std::uint64_t rank;
    bool is_self;
  };
  std::vector<TrialCandidate> candidates;
  for (const auto& [name, origin] : origins_) {
    if (!reports_failing(name, origin, assessment.server, now_ms)) continue;
    if (name != self_ && !std::binary_search(alive.begin(), alive.end(), name)) continue;
    auto rank = membership::digest(name + "/" + std::to_string(assessment.server));
    candidates.push_back({origin.sightings.at(assessment.server).seen_at_ms, rank, name == self_});
  }
  std::sort(candidates.begin(), candidates.end(), [](const TrialCandidate& a, const TrialCandidate& b) {
    return a.seen_at_ms != b.seen_at_ms ? a.seen_at_ms < b.seen_at_ms : a.rank < b.rank;
  });
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    double turn_after_ms = trial_interval_ms * static_cast<double>(2 * i + 1);
    if (candidates[i].is_self && now_ms - assessment.last_failure_ms >= turn_after_ms) return true;
  }
  return false;
}

OutlierVerdicts::Assessment OutlierVerdicts::assess(ServerId server, const std::vector<std::string>& alive,
                                                    double now_ms) const {
  Assessment result{.server = server, .failing_since_ms = never_ms, .last_failure_ms = -never_ms};
  for (const auto& [name, origin] : origins_) {
    if (!reports_failing(name, origin, server, now_ms)) continue;
    const auto& sighting = origin.sightings.at(server);
    ++result.failing_reporters;
    result.failing_since_ms = std::min(result.failing_since_ms, sighting.failing_since_ms);
    result.last_failure_ms = std::max(result.last_failure_ms, sighting.seen_at_ms);
  }
  for (const auto& [name, origin] : origins_) {
    auto it = origin.sightings.find(server);
    if (it == origin.sightings.end() || it->second.failing) continue;
    if (it->second.seen_at_ms <= result.failing_since_ms) continue;
    ++result.healthy_reporters;
    result.served_self = result.served_self || name == self_;
    result.recovered =
        result.recovered || it->second.seen_at_ms > result.last_failure_ms + recovery_margin_ms;
  }
  result.may_try = is_trial_due(result, alive, now_ms);
  return result;
}

// Returns the listed servers that the fleet ejects, ordered by failing reporters, most first.
std::vector<OutlierVerdicts::Assessment> OutlierVerdicts::outliers(const std::vector<ServerId>& listed,
                                                                   const std::vector<std::string>& alive,
                                                                   double now_ms) const {
  std::vector<Assessment> outliers;
  for (auto server : reported_servers(now_ms)) {
    if (std::find(listed.begin(), listed.end(), server) == listed.end()) continue;
    auto result = assess(server, alive, now_ms);
    bool is_outlier = result.failing_reporters >= min_failing_reporters &&
                      result.failing_reporters >= 2 * result.healthy_reporters;
    if (is_outlier && !result.served_self && !result.recovered) outliers.push_back(result);
  }
  std::sort(outliers.begin(), outliers.end(), [](const Assessment& a, const Assessment& b) {
    return a.failing_reporters != b.failing_reporters ? a.failing_reporters > b.failing_reporters
                                                      : a.server < b.server;
  });
  auto max_ejected = static_cast<std::size_t>(max_ejected_share * static_cast<double>(listed.size()));
  if (outliers.size() > max_ejected) outliers.resize(max_ejected);
  return outliers;
}

std::vector<ServerId> OutlierVerdicts::ejected(const std::vector<ServerId>& listed,
                                               const std::vector<std::string>& alive, double now_ms) const {
  std::vector<ServerId> servers;
  for (const auto& outlier : outliers(listed, alive, now_ms))
    if (!outlier.may_try) servers.push_back(outlier.server);
  return servers;
}

std::vector<ServerId> OutlierVerdicts::on_trial(const std::vector<ServerId>& listed,
                                                const std::vector<std::string>& alive, double now_ms) const {
  std::vector<ServerId> servers;
  for (const auto& outlier : outliers(listed, alive, now_ms))
    if (outlier.may_try) servers.push_back(outlier.server);
  return servers;
}

std::optional<BrokenInvariant> OutlierVerdicts::broken_invariant() const {
  if (origins_.size() > max_origins + 1)
    return BrokenInvariant{.invariant = Invariant::origins_bounded,
                           .value = static_cast<double>(origins_.size()),
                           .bound = static_cast<double>(max_origins + 1)};
  for (const auto& [name, origin] : origins_) {
    auto max_size = name == self_ ? max_servers : max_sightings;
    if (origin.sightings.size() > max_size)
      return BrokenInvariant{.invariant = Invariant::sightings_bounded,
                             .value = static_cast<double>(origin.sightings.size()),
                             .bound = static_cast<double>(max_size),
                             .subject = name};
    if (name == self_ && origin.unhealthy_share != 0)
      return BrokenInvariant{
          .invariant = Invariant::own_health_not_received, .value = origin.unhealthy_share, .subject = name};
  }
  auto own = origins_.find(self_);
  for (const auto& [server, since_ms] : suspect_since_ms_) {
    if (own == origins_.end())
      return BrokenInvariant{.invariant = Invariant::suspects_need_own_origin,
                             .value = static_cast<double>(suspect_since_ms_.size()),
                             .subject = std::to_string(server)};
    auto it = own->second.sightings.find(server);
    if (it != own->second.sightings.end() && it->second.failing && it->second.seen_at_ms < since_ms)
      return BrokenInvariant{.invariant = Invariant::suspects_seen_after_onset,
                             .value = it->second.seen_at_ms,
                             .bound = since_ms,
                             .subject = std::to_string(server)};
  }
  return {};
}

}  // namespace meadowgauge::fleet
