#include "policy/key_affinity.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {

constexpr double share_gain = 0.015;     // of one request
constexpr double share_prior = 5;        // requests before a share means anything: at first each is spread
constexpr double first_share = 0.05;     // as if it had this share
constexpr double spread = 1.3;           // endpoints that serve a key, times its share of the zone's
constexpr std::size_t next_in_rank = 2;  // where those look slower than doing it anew
constexpr double anew_times = 2;         // of the usual time: what a server loses that has not met the key
constexpr double crossing_times = 1.5;   // of the target latency for each point that crossing costs

KeyShares KeyAffinity::no_shares() { return {share_gain, share_prior}; }

// All balancers rank servers alike by hashes, the more powerful kinds higher.
void KeyAffinity::rank(std::uint64_t key, const std::vector<EndpointIndex>& candidates) {
  near_.clear();
  far_.clear();
  for (EndpointIndex i : candidates) {
    const auto& endpoint = endpoints_[i];
    std::uint64_t hash = mixed(key ^ mixed(endpoint.id + 1ull));
    double uniform = (static_cast<double>(hash >> 12) + 0.5) / 4503599627370496.0;  // 52 bits, never 0 or 1
    auto& ranking = locality_.is_remote(endpoint) ? far_ : near_;
    ranking.push_back({-std::log(uniform) * load_.server_kind_latency_ratio(endpoint.server_kind), i});
  }
}

void KeyAffinity::weigh(Choice& best, EndpointIndex index, double fee_ms, double anew_ms,
                        double now_ms) const {
  const auto& endpoint = endpoints_[index];
  double cost_ms = load_.response_ms(endpoint, now_ms) * (1 + endpoint.in_flight) + fee_ms + anew_ms;
  if (cost_ms < best.cost_ms) best = {.endpoint = index, .cost_ms = cost_ms};
}

// The lesser of two of the first few; the next in rank where that is quicker.
void KeyAffinity::choose(Choice& best, Ranking& ranking, double share, double fee_ms, double now_ms) {
  if (ranking.empty()) return;
  auto serving = static_cast<std::size_t>(std::ceil(share * static_cast<double>(ranking.size()) * spread));
  serving = std::max<std::size_t>(1, serving);
  auto ranked = std::min(ranking.size(), serving + next_in_rank);
  std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(ranked), ranking.end());
  serving = std::min(serving, ranking.size());
  for (int draw = 0; draw < 2; ++draw) {
    auto rank_index = static_cast<std::size_t>(random_.uniform() * static_cast<double>(serving));
    weigh(best, ranking[rank_index].second, fee_ms, 0, now_ms);
  }
  for (auto rank_index = serving; rank_index < ranked; ++rank_index)
    weigh(best, ranking[rank_index].second, fee_ms, anew_times * load_.typical_response_ms(), now_ms);
}

EndpointIndex KeyAffinity::pick(const Request& request, double target_ms,
                                const std::vector<EndpointIndex>& candidates, double now_ms) {
  rank(request.key, candidates);
  double share = request.attempt_count == 0 ? keys_.came(request.key) : 0;
  share += first_share * keys_.uncertainty() * keys_.uncertainty();
  Choice best{.endpoint = candidates.front()};
  choose(best, near_, share, 0, now_ms);
  choose(best, far_, share, settings_.cross_zone_cost * crossing_times * target_ms, now_ms);
  return best.endpoint;
}

}  // namespace meadowgauge
