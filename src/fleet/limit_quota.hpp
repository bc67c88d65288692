// One fleet-wide limit at one instance: the instance's share, leases and token bucket. No I/O; times are in
// ms by this instance's clock, rates in requests a second.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "fleet/broken_invariant.hpp"
#include "fleet/limit.hpp"
#include "membership/peer.hpp"

namespace meadowgauge::fleet {

using membership::PeerIndex;

// Admits requests from a token bucket that fills at the rate that this instance owns or has leased.
//
// Each instance owns a fixed share of the limit's rate and lends the unused part as leases. A borrower uses a
// lease for `lease_ms` from the time of its request. The lender counts the lease as lent for
// `lease_ms * (1 + lease_drift_ratio)` from the time of its grant, so the borrower always stops first.
// No instance lends a rate that it has borrowed.
//
//   available rate    own share - lent + borrowed
//   bucket capacity   f * burst / n + (1 - f) * burst * available rate / rate      f = fixed_burst_share
//
// The available rates of all instances add up to at most `rate`, so over any window of W ms the fleet admits
// at most rate * W + burst, through partitions, restarts and pauses. Proof: docs/design/fleet-quotas.md.
class LimitQuota {
 public:
  static constexpr double max_retry_after_ms = 5000;

  // `owned_from_ms` is the end of the quarantine; infinite while unknown. Until then, leases granted by an
  // earlier incarnation of this instance may still run, so the own share is neither used nor lent.
  LimitQuota(const Limit& limit, const LimitTerms& terms, double owned_from_ms, double now_ms);

  // Sets the limit and the share in force. If the new share is below the lent rate, the own rate is 0 until
  // enough leases have expired.
  void update(const Limit& limit, const LimitTerms& terms, double now_ms);
  // Sets the end of the quarantine.
  void set_owned_from(double owned_from_ms, double now_ms);

  // Fill rate of the bucket: own share - lent rate + borrowed rate.
  [[nodiscard]] double available_rate(double now_ms) const;
  // Tokens in the bucket, including the fraction of the next token. Each admitted request takes one token.
  double tokens(double now_ms);
  // Counts a request that is subject to this limit, whether or not it is admitted.
  void record_demand(double now_ms);
  // Takes the token of an admitted request. The caller must check that tokens() is at least 1.
  void take_token() { tokens_ -= 1; }
  // Reverses take_token() for a request that was then rejected by another check.
  void return_token(double now_ms);
  // Time until a retry of a request rejected now finds a token, if earlier rejected requests retry first.
  double retry_after_ms(double now_ms);

  // lendable(): rate that this instance offers to lend. shortfall(): rate that it needs to borrow.
  [[nodiscard]] double lendable(double now_ms) const;
  [[nodiscard]] double shortfall(double now_ms) const;
  // Lends up to `wanted` to `peer` and returns the rate lent; 0 if the lease is refused. The rate counts as
  // lent for `lease_ms * (1 + lease_drift_ratio)`.
  double grant(PeerIndex peer, std::uint64_t incarnation, double wanted, double now_ms);
  // Adds a lease granted by `peer`. Ignores expired leases.
  void accept(PeerIndex peer, double rate, double expires_at_ms, double now_ms);
  // Rate borrowed from `lender` under leases that expire after `at_ms`.
  [[nodiscard]] double borrowed_from(PeerIndex lender, double at_ms) const;
  // Frees the index for reuse by another peer. Leases with the previous peer run until they expire.
  void forget(PeerIndex peer);

  // demand(): moving average of the rate of record_demand() calls. lent(), borrowed(): sums over the leases
  // that have not expired.
  [[nodiscard]] double demand(double now_ms) const;
  [[nodiscard]] double lent(double now_ms) const;
  [[nodiscard]] double borrowed(double now_ms) const;

  // Returns the first violated invariant, if any. Tests call it after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant(double now_ms) const;

 private:
  struct Lease {
    double rate = 0;
    double expires_at_ms = 0;
  };
  // A lender, or one incarnation of a borrower.
  struct Counterparty {
    std::optional<PeerIndex> peer{};  // no value after forget()
    std::uint64_t incarnation = 0;    // of the borrower; 0 for a lender
    std::vector<Lease> leases{};      // undominated: a lease that expires later has a lower rate
    double wanted = 0;                // rate in the borrower's last lease request
    double wanted_at_ms = 0;          // receipt of the borrower's last lease request
  };
  [[nodiscard]] static double leased_rate(const Counterparty& counterparty, double at_ms);
  [[nodiscard]] static std::optional<BrokenInvariant> broken_invariant(
      const std::vector<Counterparty>& counterparties);
  static void add_lease(Counterparty& counterparty, const Lease& lease, double now_ms);
  static void drop_expired(std::vector<Counterparty>& counterparties, double now_ms, double retention_ms);
  [[nodiscard]] double own_rate(double now_ms) const;
  // Demand plus headroom.
  [[nodiscard]] double wanted_rate(double now_ms) const;
  // Tokens that the bucket holds at most.
  [[nodiscard]] double capacity(double now_ms) const;
  [[nodiscard]] double max_min_fair_rate(double now_ms) const;
  // Adds the tokens that a lender's leases have earned since the last refill to `millitokens`, in 1/1000
  // token.
  void add_leased_tokens(const Counterparty& lender, double now_ms, double& millitokens) const;
  Counterparty* borrower(PeerIndex peer, std::uint64_t incarnation);
  Counterparty* lender(PeerIndex peer, double rate, double now_ms);
  void refill(double now_ms);

  double own_share_rate_ = 0;     // the own share of the limit's rate
  double fixed_capacity_ = 0;     // tokens
  double capacity_per_rate_ = 0;  // tokens of additional capacity per request a second of available rate
  double lease_ms_;
  double owned_from_ms_;
  double refilled_at_ms_;
  double tokens_ = 0;
  double demand_ = 0;  // exponentially decaying average as of demand_at_ms_
  double demand_at_ms_;
  double last_retry_at_ms_ = 0;  // latest retry time given to a rejected request
  std::vector<Counterparty> borrowers_;
  std::vector<Counterparty> lenders_;
};

}  // namespace meadowgauge::fleet
