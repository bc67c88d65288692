// All fleet-wide limits at one instance. Values without I/O; times are ms by this instance's clock, rates
// requests a second.
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

// The quotas to request from one instance.
struct LeaseRequest {
  PeerIndex lender{};
  std::vector<Quota> quotas;
};

// Admits requests against all limits that apply to them, and moves quotas between instances by leases.
//
// A request needs a token of each of its limits (see LimitQuota) and takes either all or none. Where an own
// share falls short of demand, lease_requests() asks the instances that offer the most; grant() answers the
// requests of others out of the unused part of the own share.
//
// A changed file: what it lowers holds at once; what it raises holds once all members have sent the same
// digest and one lease has passed, so that no instance still uses the old shares. After a start the own share
// is quarantined for one lease, since an earlier incarnation may have lent it. docs/design/fleet-quotas.md
class SharedLimits {
 public:
  static constexpr std::size_t max_lenders = 16;  // lease requests in one round

  // `tenants` and `request_classes` are the numbers of names in the file.
  SharedLimits(const LimitTerms& terms, int tenants, int request_classes, double now_ms);

  // This instance has bound its address. Starts the quarantine of its own share.
  void address_acquired(double now_ms);
  // Takes over the terms of a changed file: lower values now, higher values after agreement.
  void reload(const LimitTerms& terms, double now_ms);
  // Takes the current comparison of the members' files; ends a quarantine or a wait for agreement when due.
  void update_agreement(const ConfigAgreement& agreement, double now_ms);
  // Whether the file's limits and share are in force without reduction.
  [[nodiscard]] bool in_force() const { return config_state_ == ConfigState::in_force; }

  // Admits a request and returns 0, or rejects it, takes no token and returns the ms until a retry may
  // succeed.
  double admit(int tenant, int request_class, double now_ms);
  // Reverses admit() for a request that another check has rejected at the same time.
  void undo_admission(int tenant, int request_class, double now_ms);

  // The quotas that this instance offers to lend.
  [[nodiscard]] std::vector<Quota> lendable(double now_ms) const;
  // Sets the quotas that `peer` offers; empty when nothing may be borrowed from it.
  void set_offer(PeerIndex peer, std::vector<Quota> lendable);
  // One round of lease requests for the rates that this instance lacks.
  std::vector<LeaseRequest> lease_requests(double now_ms);
  // Whether a request was rejected since the last round of lease requests.
  [[nodiscard]] bool rejected_since_round() const { return rejected_since_round_; }
  // Answers a lease request.
  std::vector<Quota> grant(PeerIndex borrower, std::uint64_t incarnation, std::span<const Quota> wanted,
                           double now_ms);
  // Takes the grant for a lease request sent at `requested_at_ms`. False: the lease has already expired.
  bool accept_grant(PeerIndex lender, double requested_at_ms, std::span<const Quota> granted, double now_ms);
  // Releases the index for another peer.
  void forget(PeerIndex peer);

  // The limits in force; indices are below size().
  [[nodiscard]] int size() const { return static_cast<int>(quotas_.size()); }
  [[nodiscard]] const Limit& limit(int i) const { return terms_.limits[static_cast<std::size_t>(i)]; }
  [[nodiscard]] LimitQuota& quota(int i) { return quotas_[static_cast<std::size_t>(i)]; }
  [[nodiscard]] const LimitQuota& quota(int i) const { return quotas_[static_cast<std::size_t>(i)]; }
  // Duration of a lease by the borrower's clock.
  [[nodiscard]] double lease_ms() const { return terms_.lease_ms; }

  // The first invariant that does not hold. For tests, after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant(double now_ms) const;

 private:
  // State of this instance's own share of each limit.
  enum class Ownership : std::uint8_t {
    no_address,   // the address is not bound: another process may own the share
    quarantined,  // leases of an earlier incarnation may run, or a live member's file differs
    owning        // the share is used and lent
  };
  enum class ConfigState : std::uint8_t {
    in_force,           // the file's terms hold
    awaiting_agreement  // the lower values of the old and the new file hold
  };
  struct Offer {
    std::vector<Quota> lendable;
    std::vector<Quota> last_grant;
    double granted_at_ms = -1e18;  // before any time: no grant yet
  };
  struct Lender {
    PeerIndex peer{};
    double held = 0;   // rate borrowed from this lender now
    double offer = 0;  // rate offered, at least `held`
  };

  std::vector<std::uint8_t>& limits_for(int tenant, int request_class);
  void index_limits();
  [[nodiscard]] std::vector<Lender> ranked_lenders(int limit, double now_ms) const;
  void request_shortfall(int limit, double now_ms, std::vector<LeaseRequest>& requests) const;
  // Time after which leases of an earlier incarnation or file have expired.
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
  std::vector<std::vector<std::uint8_t>> limits_by_key_;  // by tenant and request class
  std::vector<Offer> offers_;                             // by peer
  std::size_t round_ = 0;
};

}  // namespace meadowgauge::fleet
