#include "policy/key_affinity.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double share_gain = 0.015;               // weight of one request in the key shares
constexpr double share_prior_requests = 5;         // requests before a key's share is meaningful
constexpr double initial_popularity_share = 0.05;  // added to a key's share, times the squared uncertainty
constexpr double spread_multiplier = 1.3;          // endpoints that serve a key / (its share * endpoints)
constexpr std::size_t extra_ranked_endpoints = 2;  // next in rank after the endpoints that serve the key
constexpr double cache_miss_multiplier = 2;        // of the typical response time: cost of a cache miss
constexpr double crossing_multiplier = 1.5;  // of the latency objective, times the price of crossing zones
constexpr double hash_range = 4503599627370496.0;  // 2^52

// Returns a number uniform in (0, 1) that is the same at every balancer.
double hash_to_uniform(std::uint64_t key, std::uint32_t endpoint_id) {
  std::uint64_t hash = mix_bits(key ^ mix_bits(endpoint_id + std::uint64_t{1}));
  return (static_cast<double>(hash >> 12) + 0.5) / hash_range;
}

}  // namespace

KeyAffinity::KeyAffinity(const PolicySettings& settings, const EndpointTable& endpoints,
                         const LoadEstimator& load, const LocalityRouter& locality, Random& random)
    : settings_(settings),
      endpoints_(endpoints),
      load_(load),
      locality_(locality),
      random_(random),
      key_shares_(share_gain, share_prior_requests) {}

// Scores the candidates for the key, separately for the local zone and the other zones.
void KeyAffinity::rank(std::uint64_t key, const std::vector<EndpointIndex>& candidates) {
  local_ranking_.clear();
  remote_ranking_.clear();
  for (EndpointIndex index : candidates) {
    const auto& endpoint = endpoints_[index];
    double latency_ratio = load_.server_kind_latency_ratio(endpoint.server_kind);
    double score = -std::log(hash_to_uniform(key, endpoint.id)) * latency_ratio;
    auto& ranking = locality_.is_remote(endpoint) ? remote_ranking_ : local_ranking_;
    ranking.push_back({.score = score, .endpoint = index});
  }
}

// Replaces `best` if the endpoint has a lower expected cost:
//
//   expected latency * (requests in flight + 1) + cost of crossing zones + cost of a cache miss   (ms)
void KeyAffinity::consider(Choice& best, EndpointIndex index, double crossing_cost_ms, double miss_cost_ms,
                           double now_ms) const {
  const auto& endpoint = endpoints_[index];
  double queue_ms = load_.response_ms(endpoint, now_ms) * (1 + endpoint.in_flight);
  double cost_ms = queue_ms + crossing_cost_ms + miss_cost_ms;
  if (cost_ms < best.cost_ms) best = {.endpoint = index, .cost_ms = cost_ms};
}

// Considers two random endpoints of those that serve the key, and the next two in rank.
void KeyAffinity::consider_ranking(Choice& best, Ranking& ranking, double popularity, double crossing_cost_ms,
                                   double now_ms) {
  if (ranking.empty()) return;
  auto size = static_cast<double>(ranking.size());
  auto serving_count = static_cast<std::size_t>(std::ceil(popularity * size * spread_multiplier));
  serving_count = std::max<std::size_t>(1, serving_count);
  auto ranked_count = std::min(ranking.size(), serving_count + extra_ranked_endpoints);
  std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(ranked_count),
                    ranking.end());
  serving_count = std::min(serving_count, ranking.size());
  for (int draw = 0; draw < 2; ++draw) {
    auto rank_index = static_cast<std::size_t>(random_.uniform() * static_cast<double>(serving_count));
    consider(best, ranking[rank_index].endpoint, crossing_cost_ms, 0, now_ms);
  }
  double miss_cost_ms = cache_miss_multiplier * load_.typical_response_ms();
  for (auto rank_index = serving_count; rank_index < ranked_count; ++rank_index)
    consider(best, ranking[rank_index].endpoint, crossing_cost_ms, miss_cost_ms, now_ms);
}

// Returns the key's share of the requests, plus an assumed share while few requests were counted, so that the
// first requests with a key are spread. Counts the request unless it is a retry.
double KeyAffinity::popularity(const Request& request) {
  double share = request.attempt_count == 0 ? key_shares_.record(request.key) : 0;
  double uncertainty = key_shares_.uncertainty();
  return share + initial_popularity_share * uncertainty * uncertainty;
}

EndpointIndex KeyAffinity::pick(const Request& request, double objective_ms,
                                const std::vector<EndpointIndex>& candidates, double now_ms) {
  rank(request.key, candidates);
  double share = popularity(request);
  double crossing_cost_ms = settings_.cross_zone_cost * crossing_multiplier * objective_ms;
  Choice best{.endpoint = candidates.front()};
  consider_ranking(best, local_ranking_, share, 0, now_ms);
  consider_ranking(best, remote_ranking_, share, crossing_cost_ms, now_ms);
  return best.endpoint;
}

}  // namespace meadowgauge
