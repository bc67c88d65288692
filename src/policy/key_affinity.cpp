#include "policy/key_affinity.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {
namespace {

constexpr double share_gain = 0.015;               // of one request
constexpr double share_prior_requests = 5;         // requests before a key's share means anything
constexpr double initial_popularity_share = 0.05;  // added to a key's share while little is known
constexpr double spread_multiplier = 1.3;          // endpoints that serve a key, over its share of them
constexpr std::size_t extra_ranked_endpoints = 2;  // considered besides those
constexpr double cache_miss_multiplier =
    2;  // of the typical response: what an endpoint without the key loses
constexpr double crossing_multiplier = 1.5;  // of the latency objective, times the price of crossing zones
constexpr double hash_range_count = 4503599627370496.0;  // 2^52

// Uniform in (0, 1), the same at every balancer.
double uniform_of(std::uint64_t key, std::uint32_t endpoint_id) {
  std::uint64_t hash = mix_bits(key ^ mix_bits(endpoint_id + std::uint64_t{1}));
  return (static_cast<double>(hash >> 12) + 0.5) / hash_range_count;
}

}  // namespace

KeyAffinity::KeyAffinity(const PolicySettings& settings, const EndpointTable& endpoints,
                         const LoadEstimator& load, const LocalityRouter& locality, Random& random)
    : settings_(settings),
      endpoints_(endpoints),
      load_(load),
      locality_(locality),
      random_(random),
      keys_(share_gain, share_prior_requests) {}

// Scores the candidates for the key, for the own zone and the others apart.
void KeyAffinity::rank(std::uint64_t key, const std::vector<EndpointIndex>& candidates) {
  near_.clear();
  far_.clear();
  for (EndpointIndex index : candidates) {
    const auto& endpoint = endpoints_[index];
    double latency_ratio = load_.server_kind_latency_ratio(endpoint.server_kind);
    double score = -std::log(uniform_of(key, endpoint.id)) * latency_ratio;
    auto& ranking = locality_.is_remote(endpoint) ? far_ : near_;
    ranking.push_back({.score = score, .endpoint = index});
  }
}

// Keeps the endpoint if its expected cost is less: latency times the requests in flight with this one, and
// what crossing zones and a cache miss cost.
void KeyAffinity::consider(Choice& best, EndpointIndex index, double crossing_ms, double miss_ms,
                           double now_ms) const {
  const auto& endpoint = endpoints_[index];
  double queue_ms = load_.response_ms(endpoint, now_ms) * (1 + endpoint.in_flight);
  double cost_ms = queue_ms + crossing_ms + miss_ms;
  if (cost_ms < best.cost_ms) best = {.endpoint = index, .cost_ms = cost_ms};
}

// Considers two random endpoints of those that serve the key, and the next in rank.
void KeyAffinity::choose(Choice& best, Ranking& ranking, double popularity, double crossing_ms,
                         double now_ms) {
  if (ranking.empty()) return;
  auto size = static_cast<double>(ranking.size());
  auto serving = static_cast<std::size_t>(std::ceil(popularity * size * spread_multiplier));
  serving = std::max<std::size_t>(1, serving);
  auto ranked = std::min(ranking.size(), serving + extra_ranked_endpoints);
  std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(ranked), ranking.end());
  serving = std::min(serving, ranking.size());
  for (int draw = 0; draw < 2; ++draw) {
    auto rank_index = static_cast<std::size_t>(random_.uniform() * static_cast<double>(serving));
    consider(best, ranking[rank_index].endpoint, crossing_ms, 0, now_ms);
  }
  double miss_ms = cache_miss_multiplier * load_.typical_response_ms();
  for (auto rank_index = serving; rank_index < ranked; ++rank_index)
    consider(best, ranking[rank_index].endpoint, crossing_ms, miss_ms, now_ms);
}

// The key's share of the requests, and a share that it is assumed to have while little is known, so that the
// first requests with a key are spread. Counts the request, unless it is a retry.
double KeyAffinity::popularity(const Request& request) {
  double share = request.attempt_count == 0 ? keys_.record(request.key) : 0;
  double uncertainty = keys_.uncertainty();
  return share + initial_popularity_share * uncertainty * uncertainty;
}

EndpointIndex KeyAffinity::pick(const Request& request, double objective_ms,
                                const std::vector<EndpointIndex>& candidates, double now_ms) {
  rank(request.key, candidates);
  double share = popularity(request);
  double crossing_ms = settings_.cross_zone_cost * crossing_multiplier * objective_ms;
  Choice best{.endpoint = candidates.front()};
  choose(best, near_, share, 0, now_ms);
  choose(best, far_, share, crossing_ms, now_ms);
  return best.endpoint;
}

}  // namespace meadowgauge
