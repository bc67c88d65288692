// Key affinity: sends a request to an endpoint that has its key cached. Design: docs/design.md, "One of many"
// (key affinity).
#pragma once

#include <utility>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/key_shares.hpp"
#include "policy/load_estimator.hpp"
#include "policy/locality_router.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

// Weighted rendezvous hashing: all balancers rank the endpoints for a key in the same order, by
//
//   -ln(u) * latency ratio of the server kind,   u uniform from the hash of key and endpoint id
//
// lowest first. The first ceil(1.3 * key's share of the requests * endpoints) in this order serve the key, so
// that a popular key is spread over several endpoints. The pick is the endpoint with the least expected cost
// among two random endpoints that serve the key and the next two in rank. The latter two are charged the cost
// of a cache miss.
class KeyAffinity {
 public:
  // All arguments must outlive it.
  KeyAffinity(const PolicySettings& settings, const EndpointTable& endpoints, const LoadEstimator& load,
              const LocalityRouter& locality, Random& random);

  // Whether endpoints cache by key and this request has a key.
  [[nodiscard]] bool applies_to(const Request& request) const {
    return settings_.key_affinity && request.key != 0;
  }
  // Returns one of the candidates; there must be at least one. `objective_ms` is the latency objective of the
  // request's class.
  EndpointIndex pick(const Request& request, double objective_ms,
                     const std::vector<EndpointIndex>& candidates, double now_ms);

  // The most popular keys, to be sent by gossip.
  [[nodiscard]] std::vector<KeyShare> shares() const { return key_shares_.top_shares(); }
  // Merges the most popular keys of another balancer.
  void gossip_received(const std::vector<KeyShare>& shares) { key_shares_.average_with(shares); }

 private:
  struct RankedEndpoint {
    double score = 0;
    EndpointIndex endpoint = no_endpoint;
    bool operator<(const RankedEndpoint& other) const {
      return score != other.score ? score < other.score : endpoint < other.endpoint;
    }
  };
  using Ranking = std::vector<RankedEndpoint>;
  struct Choice {
    EndpointIndex endpoint = no_endpoint;
    double cost_ms = never;
  };
  [[nodiscard]] double popularity(const Request& request);
  void rank(std::uint64_t key, const std::vector<EndpointIndex>& candidates);
  void consider_ranking(Choice& best, Ranking& ranking, double popularity, double crossing_cost_ms,
                        double now_ms);
  void consider(Choice& best, EndpointIndex index, double crossing_cost_ms, double miss_cost_ms,
                double now_ms) const;

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  const LoadEstimator& load_;
  const LocalityRouter& locality_;
  Random& random_;
  KeyShares key_shares_;
  Ranking local_ranking_;   // endpoints in the local zone, ranked for the current request's key
  Ranking remote_ranking_;  // the same for the other zones
};

}  // namespace meadowgauge
