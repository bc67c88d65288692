// One fleet-wide limit at one instance: its own share, the leases it has granted and holds, and the token
// bucket that requests are admitted from. Values without I/O; times are ms by this instance's clock, rates
// requests a second. The bound and its proof: docs/design/fleet-quotas.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/limit.hpp"
#include "membership/peer.hpp"

namespace meadowgauge::fleet {

using membership::PeerIndex;

class LimitQuota {
 public:
  static constexpr double max_retry_after_ms = 5000;

  // `owned_from`: until then leases of an earlier incarnation of this instance may run, and its own share is
  // neither used nor lent. Infinite: not known yet.
  LimitQuota(const Limit& limit, const LimitTerms& terms, double owned_from, double now_ms);

  // The limit and the share in force from now on. A share lower than what is lent is made up for as leases
  // expire.
  void update(const Limit& limit, const LimitTerms& terms, double now_ms);
  // As the constructor's.
  void set_owned_from(double owned_from, double now_ms);

  // What may be admitted here now: the own share less what is lent, and what is borrowed.
  [[nodiscard]] double available_rate(double now_ms) const;
  // Whole and part requests that may be admitted at once.
  double tokens(double now_ms);
  // A request has come that this limit counts, admitted or not.
  void record_demand(double now_ms);
  // Admits one. The caller has seen that there is a token.
  void take_token() { tokens_ -= 1; }
  // Takes back what take_token() took for a request that was not admitted after all.
  void return_token(double now_ms);
  // How long until there is a token for a request that is rejected now, after those rejected before it.
  double retry_after_ms(double now_ms);

  // What this instance would lend, and what it would borrow.
  [[nodiscard]] double lendable(double now_ms) const;
  [[nodiscard]] double shortfall(double now_ms) const;
  // Lends up to `wanted` to `peer` and returns what it lends. Counted as lent for a lease and its drift.
  double grant(PeerIndex peer, std::uint64_t incarnation, double wanted, double now_ms);
  // Takes a lease that `peer` has granted.
  void accept(PeerIndex peer, double rate, double expires_at_ms, double now_ms);
  // What is borrowed of `lender` and still is at the time `at`.
  [[nodiscard]] double borrowed_from(PeerIndex lender, double at_ms) const;
  // The index is free to serve another peer. Leases with the one that had it run to their end.
  void forget(PeerIndex peer);

  // Requests a second: the average that record_demand() has seen, what is lent, and what is borrowed.
  [[nodiscard]] double demand(double now_ms) const;
  [[nodiscard]] double lent(double now_ms) const;
  [[nodiscard]] double borrowed(double now_ms) const;

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant(double now_ms) const;

 private:
  struct Lease {
    double rate = 0;
    double expires_at_ms = 0;
  };
  // An incarnation that borrows, or a lender.
  struct Counterparty {
    std::optional<PeerIndex> peer{};  // none once its index was given up
    std::uint64_t incarnation = 0;    // of a borrower
    std::vector<Lease> leases{};      // none that another outlasts at no lower rate
    double wanted = 0;                // by a borrower, when it last asked
    double wanted_at_ms = 0;
  };
  [[nodiscard]] static double leased_rate(const Counterparty& counterparty, double at_ms);
  [[nodiscard]] static std::string broken_invariant(const std::vector<Counterparty>& counterparties);
  static void add_lease(Counterparty& counterparty, const Lease& lease, double now_ms);
  static void drop_expired(std::vector<Counterparty>& counterparties, double now_ms, double kept_ms);
  [[nodiscard]] double own_rate(double now_ms) const;
  [[nodiscard]] double wanted_rate(double now_ms) const;
  [[nodiscard]] double capacity(double now_ms) const;
  [[nodiscard]] double fair_share(double now_ms) const;
  // Adds what the leases of a lender have gained since the last refill, in thousandths of a token.
  void add_gain(const Counterparty& lender, double now_ms, double& gained) const;
  Counterparty* borrower(PeerIndex peer, std::uint64_t incarnation);
  Counterparty* lender(PeerIndex peer, double rate, double now_ms);
  void refill(double now_ms);

  double share_rate_ = 0;      // the own share
  double fixed_capacity_ = 0;  // of the bucket
  double capacity_s_ = 0;      // the rest of its capacity, for each request a second that is available
  double lease_ms_;
  double owned_from_;
  double refilled_at_ms_;
  double tokens_ = 0;
  double demand_ = 0;  // decaying average, as of demand_at_
  double demand_at_ms_;
  double promised_at_ms_ = 0;  // the latest time that a rejected request was told to retry at
  std::vector<Counterparty> borrowers_;
  std::vector<Counterparty> lenders_;
};

}  // namespace meadowgauge::fleet
