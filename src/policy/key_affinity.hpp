// Key affinity: which endpoint serves a request, where a server does a key that it met of late for less.
#pragma once

#include <array>
#include <utility>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/key_shares.hpp"
#include "policy/load_estimator.hpp"
#include "policy/locality_router.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random.hpp"

namespace meadowgauge {

class KeyAffinity {
 public:
  // All arguments have to outlive it.
  KeyAffinity(const PolicySettings& settings, const EndpointTable& endpoints, const LoadEstimator& load,
              const LocalityRouter& locality, Random& random)
      : settings_(settings),
        endpoints_(endpoints),
        load_(load),
        locality_(locality),
        random_(random),
        keys_(no_shares()) {}

  // Whether keys matter for this request.
  [[nodiscard]] bool applies_to(const Request& request) const {
    return settings_.key_affinity && request.key != 0;
  }
  // One of the candidates, of which there is at least one.
  EndpointIndex pick(const Request& request, double target_ms, const std::vector<EndpointIndex>& candidates,
                     double now_ms);

  // For gossip, the greatest first; and from it.
  [[nodiscard]] std::vector<KeyShare> shares() const { return keys_.greatest(); }
  void gossip_received(const std::vector<KeyShare>& shares) { keys_.even_out(shares); }

 private:
  static KeyShares no_shares();
  using Ranking = std::vector<std::pair<double, EndpointIndex>>;  // the lowest first
  struct Choice {
    EndpointIndex endpoint = no_endpoint;
    double cost_ms = never;
  };
  void rank(std::uint64_t key, const std::vector<EndpointIndex>& candidates);
  void weigh(Choice& best, EndpointIndex index, double fee_ms, double anew_ms, double now_ms) const;
  void choose(Choice& best, Ranking& ranking, double share, double fee_ms, double now_ms);

  const PolicySettings& settings_;
  const EndpointTable& endpoints_;
  const LoadEstimator& load_;
  const LocalityRouter& locality_;
  Random& random_;
  KeyShares keys_;
  Ranking near_, far_;  // for the key in hand
};

}  // namespace meadowgauge
