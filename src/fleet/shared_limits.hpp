// All fleet-wide limits at one instance. No I/O; times are in ms by this instance's clock, rates in requests
// a second.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "fleet/broken_invariant.hpp"
#include "fleet/config_agreement.hpp"
#include "fleet/limit_quota.hpp"
#include "membership/datagram.hpp"

namespace meadowgauge::fleet {

using membership::Quota;

// A request for leases to one instance.
struct LeaseRequest {
  PeerIndex lender{};
  std::vector<Quota> quotas;
};

// Admits requests against all limits that apply to them, and leases quotas to and from other instances.
//
// A request needs a token of each of its limits (see LimitQuota) and takes either all of them or none. If the
// own share of a limit is below the demand, lease_requests() asks the instances that offer the most. grant()
// answers the lease requests of other instances from the unused part of the own share.
//
// After a configuration change, lower values apply at once. Higher values apply after all members have sent
// the same digest and one lease has passed, so that no instance still uses the old shares. After a start, the
// own share is quarantined for one lease, since an earlier incarnation may have lent it. Design:
// docs/design/fleet-quotas.md.
class SharedLimits {
 public:
  static constexpr std::size_t max_lenders = 16;  // bound on the lease requests of one round

  // `tenants` and `request_classes` are the numbers of tenants and request classes that the file defines.
  SharedLimits(const LimitTerms& terms, int tenants, int request_classes, double now_ms);

  // Records that this instance has bound its address, and starts the quarantine of the own share.
  void address_acquired(double now_ms);
  // Applies the terms of a changed file: lower values now, higher values after agreement.
  void reload(const LimitTerms& terms, double now_ms);
  // Updates the comparison of the members' configurations. Ends the quarantine or the wait for agreement when
  // due; must be called periodically.
  void update_agreement(const ConfigAgreement& agreement, double now_ms);
  // Whether the terms of the file are in force, rather than the lower values of the old and the new file.
  [[nodiscard]] bool in_force() const { return config_state_ == ConfigState::in_force; }

  // Admits a request and returns 0, or rejects the request, takes no token and returns the time until a retry
  // may succeed, in ms.
  double admit(int tenant, int request_class, double now_ms);
  // Reverses admit() for a request that was then rejected by another check at the same time.
  void undo_admission(int tenant, int request_class, double now_ms);

  // Returns the quotas that this instance offers to lend.
  [[nodiscard]] std::vector<Quota> lendable(double now_ms) const;
  // Sets the quotas that `peer` offers; empty if this instance may not borrow from the peer.
  void set_offer(PeerIndex peer, std::vector<Quota> lendable);
  // Returns one round of lease requests for the rates that this instance needs to borrow.
  std::vector<LeaseRequest> lease_requests(double now_ms);
  // Whether a request was rejected since the last round of lease requests.
  [[nodiscard]] bool rejected_since_round() const { return rejected_since_round_; }
  // Answers a lease request with the quotas that are lent.
  std::vector<Quota> grant(PeerIndex borrower, std::uint64_t incarnation, std::span<const Quota> wanted,
                           double now_ms);
  // Adds the leases granted for a lease request sent at `requested_at_ms`. Returns false and adds none if
  // they have expired already, if `requested_at_ms` is in the future, or if no offer was ever set for
  // `lender` or a higher index.
  bool accept_grant(PeerIndex lender, double requested_at_ms, std::span<const Quota> granted, double now_ms);
  // Frees the index for reuse by another peer.
  void forget(PeerIndex peer);

  // The limits in force, by index from 0 to size() - 1.
  [[nodiscard]] int size() const { return static_cast<int>(quotas_.size()); }
  [[nodiscard]] const Limit& limit(int i) const { return terms_.limits[static_cast<std::size_t>(i)]; }
  [[nodiscard]] LimitQuota& quota(int i) { return quotas_[static_cast<std::size_t>(i)]; }
  [[nodiscard]] const LimitQuota& quota(int i) const { return quotas_[static_cast<std::size_t>(i)]; }
  // Duration of a lease by the borrower's clock, in ms.
  [[nodiscard]] double lease_ms() const { return terms_.lease_ms; }

  // Returns the first violated invariant, if any. Tests call it after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant(double now_ms) const;

 private:
  // State of this instance's own shares of the limits.
  enum class Ownership : std::uint8_t {
    no_address,   // the address is not bound: another process may own the shares
    quarantined,  // leases of an earlier incarnation may run, or a live member's digest differs
    owning        // the shares are used and lent
  };
  enum class ConfigState : std::uint8_t {
    in_force,           // the terms of the file apply
    awaiting_agreement  // the lower values of the old and the new file apply
  };
  struct Offer {
    std::vector<Quota> lendable;
    std::vector<Quota> last_grant;
    double granted_at_ms = -1e18;  // no grant yet; never counts as fresh
  };
  struct Lender {
    PeerIndex peer{};
    double held = 0;   // rate borrowed from the lender now
    double offer = 0;  // rate that the lender offers, at least `held`
  };

  // Returns the indices of the limits that apply to a request.
  std::vector<std::uint8_t>& limits_for(int tenant, int request_class);
  // Rebuilds limits_by_key_ from the terms in force.
  void index_limits();
  // Returns the instances that lend or offer a part of `limit`, best first.
  [[nodiscard]] std::vector<Lender> ranked_lenders(int limit, double now_ms) const;
  // Adds requests for the rate that this instance lacks of `limit` to `requests`.
  void request_shortfall(int limit, double now_ms, std::vector<LeaseRequest>& requests) const;
  // Time after which all leases granted by an earlier incarnation, or under an earlier file, have expired.
  [[nodiscard]] double quarantine_ms() const { return file_terms_.lease_ms * (1 + lease_drift_ratio); }

  LimitTerms terms_;       // terms in force
  LimitTerms file_terms_;  // terms of the file
  int tenants_;
  int request_classes_;
  Ownership ownership_ = Ownership::no_address;
  double owned_from_ms_;  // end of the quarantine; infinite without an address
  ConfigState config_state_ = ConfigState::in_force;
  double agreed_since_ms_;  // infinite while not all members agree
  bool rejected_since_round_ = false;
  std::vector<LimitQuota> quotas_;                        // by limit
  std::vector<std::vector<std::uint8_t>> limits_by_key_;  // by tenant and request class; see limits_for()
  std::vector<Offer> offers_;                             // by peer
  std::size_t round_number_ = 0;
};

}  // namespace meadowgauge::fleet
