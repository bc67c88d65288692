#include "policy/tenant_quotas.hpp"

#include <algorithm>

namespace meadowgauge {
namespace {

constexpr double quota_burst_ms = 1000;      // capacity of a quota's bucket, as time at the quota's rate
constexpr double share_burst_requests = 10;  // capacity of a share's bucket, and its limit when overdrawn

}  // namespace

TenantQuotas::TenantQuotas(const PolicySettings& settings, double now_ms) {
  for (const auto& tenant : settings.tenants) {
    double quota_per_ms = tenant.quota_rps / 1000 / settings.replicas;
    tenants_.push_back({.share = tenant.share,
                        .quota_per_ms = quota_per_ms,
                        .share_tokens = share_burst_requests,
                        .quota_tokens = quota_per_ms * quota_burst_ms,
                        .refilled_at_ms = now_ms});
  }
}

// Called for each arriving request: adds every tenant's share of one request to the tenant's bucket.
void TenantQuotas::refill_shares() {
  for (auto& tenant : tenants_)
    tenant.share_tokens = std::min(share_burst_requests, tenant.share_tokens + tenant.share);
}

void TenantQuotas::refill_quota(Tenant& tenant, double now_ms) {
  double refilled = tenant.quota_tokens + tenant.quota_per_ms * (now_ms - tenant.refilled_at_ms);
  tenant.quota_tokens = std::min(tenant.quota_per_ms * quota_burst_ms, refilled);
  tenant.refilled_at_ms = now_ms;
}

bool TenantQuotas::exceeds_quota(int tenant_number, double now_ms) {
  if (tenant_number < 0 || tenant_number >= static_cast<int>(tenants_.size())) return false;
  refill_shares();
  auto& tenant = tenants_[static_cast<std::size_t>(tenant_number)];
  refill_quota(tenant, now_ms);
  tenant.share_tokens = std::max(-share_burst_requests, tenant.share_tokens - 1);
  bool is_quota_used_up = tenant.quota_per_ms > 0 && tenant.quota_tokens < 1;
  if (!is_quota_used_up) tenant.quota_tokens -= 1;
  return is_quota_used_up && tenant.share_tokens < 0;
}

}  // namespace meadowgauge
