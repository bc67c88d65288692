#include "testbed/model/traffic.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace meadowgauge::testbed {
namespace {

// Draws an index with a probability in proportion to its share. `sum`: of all shares; `u`: drawn from [0, 1).
int draw_index(const std::vector<double>& shares, double sum, double u) {
  double remainder = u * sum;
  int last = 0;
  for (int i = 0; i < static_cast<int>(shares.size()); ++i) {
    double share = shares[static_cast<std::size_t>(i)];
    if (share <= 0) continue;
    if (remainder < share) return i;
    remainder -= share;
    last = i;
  }
  return last;  // rounding errors may leave a remainder after the last share
}

double sum_of(const std::vector<double>& shares) {
  double sum = 0;
  for (double share : shares) sum += share;
  return sum;
}

bool applies_to(const PhaseSpec& phase, const TenantSpec& tenant) {
  return phase.tenant.empty() || phase.tenant == tenant.name;
}

void normalize_shares(std::vector<TenantSpec>& tenants) {
  double sum = 0;
  for (const auto& tenant : tenants) sum += tenant.share;
  for (auto& tenant : tenants)
    tenant.share = sum > 0 ? tenant.share / sum : 1.0 / static_cast<double>(tenants.size());
}

}  // namespace

Traffic::Traffic(TrafficSpec spec, std::vector<RequestClassSpec> request_classes,
                 std::vector<TenantSpec> tenants, std::uint64_t seed, int worker, int workers)
    : spec_(std::move(spec)),
      request_classes_(std::move(request_classes)),
      tenants_(std::move(tenants)),
      rng_(derive_seed(seed, "traffic", static_cast<std::uint64_t>(worker))),
      worker_share_(1.0 / workers),
      next_number_(static_cast<std::uint64_t>(worker)),
      number_step_(static_cast<std::uint64_t>(workers)) {
  if (tenants_.empty()) tenants_.push_back({});
  normalize_shares(tenants_);
  // The upper bound of the rate for thinning. Overlapping phases multiply, so the bound multiplies their
  // peaks.
  for (const auto& tenant : tenants_) {
    double multiplier = 1;
    for (const auto& phase : spec_.phases)
      if (applies_to(phase, tenant)) multiplier *= std::max({1.0, phase.from, phase.to});
    peak_rate_ += spec_.rate * tenant.share * multiplier;
  }
  tenant_rates_.resize(tenants_.size());
}

double Traffic::rate(int tenant, double at_ms) const {
  const auto& spec = tenants_[static_cast<std::size_t>(tenant)];
  double rate = spec_.rate * spec.share;
  for (const auto& phase : spec_.phases)
    if (at_ms >= phase.at_ms && at_ms < phase.until_ms && applies_to(phase, spec))
      rate *= phase.from + (phase.to - phase.from) * (at_ms - phase.at_ms) / (phase.until_ms - phase.at_ms);
  return rate;
}

Arrival Traffic::next() {
  double peak = std::max(peak_rate_ * worker_share_, 1e-9);
  for (;;) {
    double relative_gap = spec_.poisson ? -std::log(1 - uniform(rng_)) : 1;
    at_ms_ += relative_gap / peak * 1000;
    double total = 0;
    for (std::size_t i = 0; i < tenants_.size(); ++i)
      total += tenant_rates_[i] = rate(static_cast<int>(i), at_ms_) * worker_share_;
    if (uniform(rng_) * peak < total) return draw_arrival(total);
  }
}

Arrival Traffic::draw_arrival(double total_rate) {
  Arrival arrival{.at_ms = at_ms_, .number = next_number_};
  next_number_ += number_step_;
  arrival.tenant = draw_index(tenant_rates_, total_rate, uniform(rng_));
  std::vector<double> class_shares;
  for (const auto& request_class : request_classes_) class_shares.push_back(request_class.share);
  arrival.request_class = draw_index(class_shares, sum_of(class_shares), uniform(rng_));
  const auto& zones = zone_shares(at_ms_);
  double u = uniform(rng_);
  arrival.zone = zones.empty() ? 0 : draw_index(zones, sum_of(zones), u);
  return arrival;
}

const std::vector<double>& Traffic::zone_shares(double at_ms) const {
  const auto* zones = &spec_.zones;
  for (const auto& change : spec_.zone_changes)
    if (change.at_ms <= at_ms) zones = &change.zones;
  return *zones;
}

}  // namespace meadowgauge::testbed
