// Tenant quotas: finds requests that exceed their tenant's quota and share. Design: docs/design.md, "Changed,
// and when each exception acts" (over quota).
#pragma once

#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

// Keeps two token buckets per tenant: one for the quota in requests per second (each balancer has quota /
// replicas), one for the tenant's share of the requests that arrive at this balancer. A request is over quota
// when both are used up. Requests over quota are rejected first while capacity is short; being over quota
// alone does not reject a request.
class TenantQuotas {
 public:
  TenantQuotas(const PolicySettings& settings, double now_ms);

  // Counts a request of this tenant and returns whether it is over quota. An unknown tenant has no quota.
  bool exceeds_quota(int tenant_number, double now_ms);

 private:
  struct Tenant {
    double share = 1;         // of the arriving requests, 0 to 1
    double quota_per_ms = 0;  // requests per ms at this balancer; 0: no quota
    double share_tokens = 0;  // requests
    double quota_tokens = 0;  // requests
    double refilled_at_ms = 0;
  };
  void refill_shares();
  static void refill_quota(Tenant& tenant, double now_ms);

  std::vector<Tenant> tenants_;
};

}  // namespace meadowgauge
