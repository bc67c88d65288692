#include "policy/tenant_quotas.hpp"

#include <algorithm>

namespace meadowgauge {

constexpr double quota_burst_ms = 1000;  // of a quota that may be saved up
constexpr double share_burst = 10;       // requests of a share that may be saved up or overdrawn

TenantQuotas::TenantQuotas(const PolicySettings& settings, double now_ms) {
  for (const auto& tenant : settings.tenants) {
    double quota = tenant.quota_rps / 1000 / settings.replicas;
    tenants_.push_back({.share = tenant.share,
                        .quota_per_ms = quota,
                        .share_left = share_burst,
                        .quota_left = quota * quota_burst_ms,
                        .refilled_at_ms = now_ms});
  }
}

bool TenantQuotas::exceeds_quota(int tenant, double now_ms) {
  if (tenant < 0 || tenant >= static_cast<int>(tenants_.size())) return false;
  for (auto& other : tenants_) other.share_left = std::min(share_burst, other.share_left + other.share);
  auto& t = tenants_[static_cast<std::size_t>(tenant)];
  t.quota_left =
      std::min(t.quota_per_ms * quota_burst_ms, t.quota_left + t.quota_per_ms * (now_ms - t.refilled_at_ms));
  t.refilled_at_ms = now_ms;
  t.share_left = std::max(-share_burst, t.share_left - 1);
  bool over_quota = t.quota_per_ms > 0 && t.quota_left < 1;
  if (!over_quota) t.quota_left -= 1;
  return over_quota && t.share_left < 0;
}

}  // namespace meadowgauge
