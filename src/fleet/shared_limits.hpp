// The limits that a whole fleet holds together, at one instance: admits requests, and lends and borrows
// quotas with the other instances by leases. Values without I/O; times are ms by this instance's clock, rates
// requests a second. The bound and its proof: docs/design/fleet-quotas.md.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "fleet/config_agreement.hpp"
#include "fleet/limit_quota.hpp"
#include "membership/datagram.hpp"

namespace meadowgauge::fleet {

using membership::Quota;

// What to ask one instance for.
struct LeaseRequest {
  PeerIndex lender{};
  std::vector<Quota> quotas;
};

class SharedLimits {
 public:
  static constexpr std::size_t max_lenders = 16;  // asked in one round

  // `tenants` and `request_classes`: how many the file names.
  SharedLimits(const LimitTerms& terms, int tenants, int request_classes, double now_ms);

  // This instance has its address. Leases that an earlier incarnation granted expire within a lease from now.
  void address_acquired(double now_ms);
  // A new file. What it lowers holds at once; what it raises once all members have agreed on it for long
  // enough.
  void reload(const LimitTerms& terms, double now_ms);
  // How the members' files compare with this one's now.
  void update_agreement(const ConfigAgreement& agreement, double now_ms);
  // The file's limits and share are in force.
  [[nodiscard]] bool in_force() const { return config_state_ == ConfigState::in_force; }

  // 0: the request is admitted, with a token of each limit that counts it. Otherwise it is rejected, and no
  // token is taken: ms until it may be tried again.
  double admit(int tenant, int request_class, double now_ms);
  // An admitted request was rejected for another reason, at the same time.
  void undo_admission(int tenant, int request_class, double now_ms);

  // What this instance offers to lend.
  [[nodiscard]] std::vector<Quota> lendable(double now_ms) const;
  // What `peer` offers; empty once it can't be borrowed from.
  void set_offer(PeerIndex peer, std::vector<Quota> lendable);
  // A round of requests for what is missing.
  std::vector<LeaseRequest> lease_requests(double now_ms);
  // A request was rejected since the last round.
  [[nodiscard]] bool rejected_lately() const { return rejected_lately_; }
  // Answers a lease request.
  std::vector<Quota> grant(PeerIndex borrower, std::uint64_t incarnation, std::span<const Quota> wanted,
                           double now_ms);
  // Takes a lease for a request sent at `requested_at`. False: it is of no use any more.
  bool accept_grant(PeerIndex lender, double requested_at_ms, std::span<const Quota> granted, double now_ms);
  // The index is free to serve another peer.
  void forget(PeerIndex peer);

  // The limits in force, by their index below size().
  [[nodiscard]] int size() const { return static_cast<int>(quotas_.size()); }
  [[nodiscard]] const Limit& limit(int i) const { return terms_.limits[static_cast<std::size_t>(i)]; }
  [[nodiscard]] LimitQuota& quota(int i) { return quotas_[static_cast<std::size_t>(i)]; }
  [[nodiscard]] const LimitQuota& quota(int i) const { return quotas_[static_cast<std::size_t>(i)]; }
  // How long a lease runs by the borrower's clock.
  [[nodiscard]] double lease_ms() const { return terms_.lease_ms; }

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant(double now_ms) const;

 private:
  // Of this instance's own share of each limit.
  enum class Ownership : std::uint8_t {
    no_address,   // another process may own it
    quarantined,  // an earlier incarnation's leases may run, or a live member's file differs
    owning
  };
  enum class ConfigState : std::uint8_t {
    in_force,
    awaiting_agreement  // the lesser of the old and the new file holds
  };
  struct Offer {
    std::vector<Quota> lendable;
    std::vector<Quota> last_grant;
    double granted_at_ms = -1e18;  // long ago
  };
  struct Lender {
    PeerIndex peer{};
    double held = 0;   // borrowed from it now
    double offer = 0;  // or held, if that is more
  };

  std::vector<std::uint8_t>& limits_for(int tenant, int request_class);
  void index_limits();
  [[nodiscard]] std::vector<Lender> ranked_lenders(int limit, double now_ms) const;
  void request_shortfall(int limit, double now_ms, std::vector<LeaseRequest>& requests) const;
  // For how long leases of an earlier incarnation or of an earlier file may run.
  [[nodiscard]] double quarantine_ms() const { return file_terms_.lease_ms * (1 + lease_drift); }

  LimitTerms terms_;       // in force
  LimitTerms file_terms_;  // by the file
  int tenants_;
  int request_classes_;
  Ownership ownership_ = Ownership::no_address;
  double owned_from_;  // the end of the quarantine; infinite while there is no address
  ConfigState config_state_ = ConfigState::in_force;
  double agreed_since_;  // infinite: not all agree
  bool rejected_lately_ = false;
  std::vector<LimitQuota> quotas_;                        // by limit
  std::vector<std::vector<std::uint8_t>> limits_by_key_;  // by tenant and request class
  std::vector<Offer> offers_;                             // by peer
  std::size_t round_ = 0;
};

}  // namespace meadowgauge::fleet
