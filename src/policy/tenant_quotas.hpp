// Tenant quotas: which requests are beyond their tenant's part. Design: docs/design.md, "Changed, and when
// each exception acts" (over quota).
#pragma once

#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Two token buckets a tenant: one for its quota in requests a second (this balancer's part is quota /
// replicas), one for its share of the requests that arrive here. A request is over quota when both are used
// up. It is then the first to be rejected while capacity is short; alone, that rejects nothing.
class TenantQuotas {
 public:
  TenantQuotas(const PolicySettings& settings, double now_ms);

  // Counts a request of this tenant; returns whether it is over quota. An unknown tenant has no quota.
  bool exceeds_quota(int tenant_number, double now_ms);

 private:
  struct Tenant {
    double share = 1;
    double quota_per_ms = 0;  // requests of this balancer's part; 0: no quota
    double share_tokens = 0;  // requests
    double quota_tokens = 0;  // requests
    double refilled_at_ms = 0;
  };
  void refill_shares();
  static void refill_quota(Tenant& tenant, double now_ms);

  std::vector<Tenant> tenants_;
};

}  // namespace meadowgauge
