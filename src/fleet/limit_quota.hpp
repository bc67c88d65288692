// One fleet-wide limit at one instance: its share, its leases and its token bucket. Values without I/O; times
// are ms by this instance's clock, rates requests a second.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "fleet/broken_invariant.hpp"
#include "fleet/limit.hpp"
#include "membership/peer.hpp"

namespace meadowgauge::fleet {

using membership::PeerIndex;

// Admits requests from a token bucket whose fill rate this instance owns or has leased.
//
// Each instance owns a fixed share of the limit's rate. It lends what it does not need, as leases: a borrower
// uses a lease for `lease_ms` from its request, the lender counts it for `lease_ms * (1 + lease_drift_ratio)`
// from its grant, so the borrower always stops first. No instance lends what it has borrowed.
//
//   available rate    own share - lent + borrowed
//   bucket capacity   f * burst / n + (1 - f) * burst * available rate / rate      f = fixed_burst_share
//
// The available rates of all instances add up to at most `rate`, so over any window of W ms the fleet admits
// at most rate * W + burst, through partitions, restarts and pauses. Proof: docs/design/fleet-quotas.md.
class LimitQuota {
 public:
  static constexpr double max_retry_after_ms = 5000;

  // Before `owned_from_ms` leases of an earlier incarnation of this instance may run, so its own share is
  // neither used nor lent. Infinite: not known yet.
  LimitQuota(const Limit& limit, const LimitTerms& terms, double owned_from_ms, double now_ms);

  // Sets the limit and the share in force. Where the new share is below the lent rate, the own rate is 0
  // until leases expire.
  void update(const Limit& limit, const LimitTerms& terms, double now_ms);
  void set_owned_from(double owned_from_ms, double now_ms);

  // The rate at which the bucket fills: the own share, less the lent rate, plus the borrowed rate.
  [[nodiscard]] double available_rate(double now_ms) const;
  // Requests that may be admitted at once, with the fraction of the next one.
  double tokens(double now_ms);
  // Counts a request that this limit applies to, admitted or not.
  void record_demand(double now_ms);
  // Admits one request. The caller has checked that tokens() is at least 1.
  void take_token() { tokens_ -= 1; }
  // Reverses take_token() for a request that another check has rejected.
  void return_token(double now_ms);
  // Time until a token is free for a request rejected now, behind all requests rejected before it.
  double retry_after_ms(double now_ms);

  // The rates that this instance offers to lend, and needs to borrow.
  [[nodiscard]] double lendable(double now_ms) const;
  [[nodiscard]] double shortfall(double now_ms) const;
  // Lends up to `wanted` to `peer`. Returns the rate lent, which counts as lent for a lease and its drift.
  double grant(PeerIndex peer, std::uint64_t incarnation, double wanted, double now_ms);
  // Adds a lease that `peer` has granted.
  void accept(PeerIndex peer, double rate, double expires_at_ms, double now_ms);
  // The rate borrowed from `lender` by leases that run beyond `at_ms`.
  [[nodiscard]] double borrowed_from(PeerIndex lender, double at_ms) const;
  // Releases the index for another peer. Leases with the previous peer still run until they expire.
  void forget(PeerIndex peer);

  // Moving average of the rate that record_demand() counts; sums of the running leases.
  [[nodiscard]] double demand(double now_ms) const;
  [[nodiscard]] double lent(double now_ms) const;
  [[nodiscard]] double borrowed(double now_ms) const;

  // The first invariant that does not hold. For tests, after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant(double now_ms) const;

 private:
  struct Lease {
    double rate = 0;
    double expires_at_ms = 0;
  };
  // One incarnation of a borrower, or a lender.
  struct Counterparty {
    std::optional<PeerIndex> peer{};  // none after forget()
    std::uint64_t incarnation = 0;    // of a borrower; 0 for a lender
    std::vector<Lease> leases{};      // none is dominated: later ones have a lower rate
    double wanted = 0;                // rate in the borrower's last request
    double wanted_at_ms = 0;          // time of that request
  };
  [[nodiscard]] static double leased_rate(const Counterparty& counterparty, double at_ms);
  [[nodiscard]] static std::optional<BrokenInvariant> broken_invariant(
      const std::vector<Counterparty>& counterparties);
  static void add_lease(Counterparty& counterparty, const Lease& lease, double now_ms);
  static void drop_expired(std::vector<Counterparty>& counterparties, double now_ms, double kept_ms);
  [[nodiscard]] double own_rate(double now_ms) const;
  [[nodiscard]] double wanted_rate(double now_ms) const;
  [[nodiscard]] double capacity(double now_ms) const;
  [[nodiscard]] double fair_share(double now_ms) const;
  // Adds what the leases of a lender have gained since the last refill, in thousandths of a token.
  void add_gain(const Counterparty& lender, double now_ms, double& gained_millitokens) const;
  Counterparty* borrower(PeerIndex peer, std::uint64_t incarnation);
  Counterparty* lender(PeerIndex peer, double rate, double now_ms);
  void refill(double now_ms);

  double share_rate_ = 0;         // the own share
  double fixed_capacity_ = 0;     // tokens
  double capacity_per_rate_ = 0;  // tokens of further capacity, for each request a second of available rate
  double lease_ms_;
  double owned_from_ms_;
  double refilled_at_ms_;
  double tokens_ = 0;
  double demand_ = 0;  // decaying average, as of demand_at_ms_
  double demand_at_ms_;
  double promised_at_ms_ = 0;  // latest retry time returned to a rejected request
  std::vector<Counterparty> borrowers_;
  std::vector<Counterparty> lenders_;
};

}  // namespace meadowgauge::fleet
