// Tenant quotas: which requests are beyond their tenant's part.
#pragma once

#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/types.hpp"

namespace meadowgauge {

class TenantQuotas {
 public:
  TenantQuotas(const PolicySettings& settings, double now_ms);

  // A request of this tenant has arrived. True: it is beyond both the tenant's quota and its share of what
  // arrives here. A tenant that is not known has neither.
  bool exceeds_quota(int tenant, double now_ms);

 private:
  struct Tenant {
    double share = 1;
    double quota_per_ms = 0;  // this balancer's part; 0: none
    double share_left = 0;    // requests
    double quota_left = 0;    // requests
    double refilled_at_ms = 0;
  };
  std::vector<Tenant> tenants_;
};

}  // namespace meadowgauge
