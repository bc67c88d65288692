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

// Weighted rendezvous hashing: all balancers rank the endpoints of a key alike, by
//
//   -ln(u) * latency ratio of the server kind,   u uniform from the hash of key and endpoint id
//
// the lowest first. A key is served by the first ceil(1.3 * key's share of the requests * endpoints) of its
// ranking, so that a popular one is spread. Of two of those drawn at random and of the next two in rank, the
// one of least expected cost is picked; the latter are charged what an endpoint loses that does not have the
// key cached.
class KeyAffinity {
 public:
  // All arguments must outlive it.
  KeyAffinity(const PolicySettings& settings, const EndpointTable& endpoints, const LoadEstimator& load,
              const LocalityRouter& locality, Random& random);

  // Whether endpoints cache by key, and this request has one.
  [[nodiscard]] bool applies_to(const Request& request) const {
    return settings_.key_affinity && request.key != 0;
  }
  // Returns one of the candidates, of which there must be at least one. `objective_ms` is the latency
  // objective.
  EndpointIndex pick(const Request& request, double objective_ms,
                     const std::vector<EndpointIndex>& candidates, double now_ms);

  // The most popular keys, for gossip; and those of another balancer.
  [[nodiscard]] std::vector<KeyShare> shares() const { return keys_.top_shares(); }
  void gossip_received(const std::vector<KeyShare>& shares) { keys_.average_with(shares); }

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
  void choose(Choice& best, Ranking& ranking, double popularity, double crossing_ms, double now_ms);
  void consider(Choice& best, EndpointIndex index, double crossing_ms, double miss_ms, double now_ms) const;

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  const LoadEstimator& load_;
  const LocalityRouter& locality_;
  Random& random_;
  KeyShares keys_;
  Ranking near_;  // of the current request's key: endpoints in the own zone
  Ranking far_;   // in other zones
};

}  // namespace meadowgauge
