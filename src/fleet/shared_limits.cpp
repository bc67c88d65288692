#include "fleet/shared_limits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace meadowgauge::fleet {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double current_lender_weight = 1.5;  // factor on the offer of a current lender in the ranking
// A lease is not renewed while leases for this share of the wanted rate run for another half lease.
constexpr double min_assured_share = 0.9;  // of the wanted rate, 0 to 1

double rate_of(const std::vector<Quota>& quotas, int limit) {
  for (const auto& quota : quotas)
    if (quota.limit == limit) return quota.rate;
  return 0;
}

// Returns `limit` with its rate and burst reduced so that this instance's share of each is the lower one of
// the old terms and `terms`.
Limit lower_limit(const Limit& old_limit, const LimitTerms& old_terms, Limit limit, const LimitTerms& terms) {
  double own_rate = std::min(old_limit.rate * old_terms.share, limit.rate * terms.share);
  limit.rate = terms.share > 0 ? own_rate / terms.share : 0;
  double fixed = std::min(old_limit.burst / old_terms.instances, limit.burst / terms.instances);
  limit.burst = fixed * terms.instances;
  return limit;
}

}  // namespace

SharedLimits::SharedLimits(const LimitTerms& terms, int tenants, int request_classes, double now_ms)
    : terms_(terms),
      file_terms_(terms),
      tenants_(tenants),
      request_classes_(request_classes),
      owned_from_ms_(never),
      agreed_since_ms_(never) {
  for (const auto& limit : terms_.limits) quotas_.emplace_back(limit, terms_, never, now_ms);
  index_limits();
}

void SharedLimits::index_limits() {
  const auto tenant_count = static_cast<std::size_t>(tenants_) + 1;
  const auto request_class_count = static_cast<std::size_t>(request_classes_) + 1;
  limits_by_key_.assign(tenant_count * request_class_count, {});
  for (int tenant = match_others; tenant < tenants_; ++tenant)
    for (int request_class = match_others; request_class < request_classes_; ++request_class)
      for (std::size_t i = 0; i < terms_.limits.size(); ++i) {
        const auto& limit = terms_.limits[i];
        bool matches_tenant = limit.tenant == match_any || limit.tenant == tenant;
        bool matches_class = limit.request_class == match_any || limit.request_class == request_class;
        if (matches_tenant && matches_class)
          limits_for(tenant, request_class).push_back(static_cast<std::uint8_t>(i));
      }
}

std::vector<std::uint8_t>& SharedLimits::limits_for(int tenant, int request_class) {
  const int row = std::clamp(tenant, match_others, tenants_ - 1) - match_others;
  const int column = std::clamp(request_class, match_others, request_classes_ - 1) - match_others;
  const auto columns = static_cast<std::size_t>(request_classes_) + 1;
  return limits_by_key_[static_cast<std::size_t>(row) * columns + static_cast<std::size_t>(column)];
}

// --- Configuration and ownership of shares --------------------------------------------------------------

void SharedLimits::address_acquired(double now_ms) {
  if (ownership_ == Ownership::owning) return;
  ownership_ = Ownership::quarantined;
  owned_from_ms_ = now_ms + quarantine_ms();
}

// Matches limits by name. A limit in both files applies with the lower values until all members agree. A new
// limit is quarantined, since an earlier file may have defined the limit and its leases may still run.
void SharedLimits::reload(const LimitTerms& terms, double now_ms) {
  file_terms_ = terms;
  file_terms_.lease_ms = terms_.lease_ms;  // fixed at startup: running leases have this duration
  agreed_since_ms_ = never;
  if (ownership_ == Ownership::quarantined)
    owned_from_ms_ = std::max(owned_from_ms_, now_ms + quarantine_ms());
  LimitTerms lower_terms = file_terms_;
  std::vector<LimitQuota> quotas;
  for (auto& limit : lower_terms.limits) {
    auto old = std::find_if(terms_.limits.begin(), terms_.limits.end(),
                            [&](const Limit& other) { return other.name == limit.name; });
    if (old == terms_.limits.end()) {
      double owned_from_ms = ownership_ == Ownership::owning ? now_ms + quarantine_ms() : never;
      quotas.emplace_back(limit, lower_terms, owned_from_ms, now_ms);
      continue;
    }
    limit = lower_limit(*old, terms_, limit, terms);
    auto& quota = quotas_[static_cast<std::size_t>(old - terms_.limits.begin())];
    quota.update(limit, lower_terms, now_ms);
    quotas.push_back(std::move(quota));
  }
  quotas_ = std::move(quotas);
  config_state_ = ConfigState::awaiting_agreement;
  terms_ = std::move(lower_terms);
  for (auto& offer : offers_) offer = {};
  index_limits();
}

void SharedLimits::update_agreement(const ConfigAgreement& agreement, double now_ms) {
  // A live member with another digest extends the quarantine, but an instance that owns its shares keeps
  // them.
  bool is_quarantine_over = ownership_ == Ownership::quarantined && now_ms >= owned_from_ms_;
  if (is_quarantine_over && !agreement.live_member_differs) {
    ownership_ = Ownership::owning;
    for (auto& quota : quotas_) quota.set_owned_from(owned_from_ms_, now_ms);
  }
  if (config_state_ == ConfigState::in_force) return;
  if (!agreement.all_agree) agreed_since_ms_ = never;
  if (agreement.all_agree && agreed_since_ms_ == never) agreed_since_ms_ = now_ms;
  if (!agreement.all_agree || now_ms - agreed_since_ms_ < quarantine_ms()) return;
  config_state_ = ConfigState::in_force;
  terms_ = file_terms_;
  for (std::size_t i = 0; i < quotas_.size(); ++i) quotas_[i].update(terms_.limits[i], terms_, now_ms);
}

// --- Requests -------------------------------------------------------------------------------------------

// Takes a token of each limit that applies to the request, or no token at all.
double SharedLimits::admit(int tenant, int request_class, double now_ms) {
  const auto& limits = limits_for(tenant, request_class);
  double retry_after_ms = 0;
  for (auto i : limits) {
    auto& quota = quotas_[i];
    quota.record_demand(now_ms);
    if (quota.tokens(now_ms) < 1) retry_after_ms = std::max(retry_after_ms, quota.retry_after_ms(now_ms));
  }
  if (retry_after_ms > 0) {
    rejected_since_round_ = true;
    return retry_after_ms;
  }
  for (auto i : limits) quotas_[i].take_token();
  return 0;
}

void SharedLimits::undo_admission(int tenant, int request_class, double now_ms) {
  for (auto i : limits_for(tenant, request_class)) quotas_[i].return_token(now_ms);
}

// --- Leases ---------------------------------------------------------------------------------------------

std::vector<Quota> SharedLimits::lendable(double now_ms) const {
  std::vector<Quota> offered;
  for (std::size_t i = 0; i < quotas_.size(); ++i)
    if (double rate = quotas_[i].lendable(now_ms); rate > 0)
      offered.push_back({.limit = static_cast<int>(i), .rate = std::floor(rate * 100) / 100});
  return offered;
}

void SharedLimits::set_offer(PeerIndex peer, std::vector<Quota> lendable) {
  if (slot(peer) >= offers_.size()) offers_.resize(slot(peer) + 1);
  offers_[slot(peer)].lendable = std::move(lendable);
}

// Ranks lenders by offer, so that few lease requests suffice. A factor ranks current lenders above slightly
// larger offers, but many small current lenders cannot exclude a large new one.
std::vector<SharedLimits::Lender> SharedLimits::ranked_lenders(int limit, double now_ms) const {
  std::vector<Lender> lenders;
  for (std::size_t k = 0; k < offers_.size(); ++k) {
    auto i = (k + round_number_) % offers_.size();  // rotates the order of equal offers
    auto peer = membership::peer_at(i);
    double held = quota(limit).borrowed_from(peer, now_ms);
    double offer = std::max(held, rate_of(offers_[i].lendable, limit));
    if (offer > 0) lenders.push_back({.peer = peer, .held = held, .offer = offer});
  }
  auto weight = [](const Lender& lender) {
    return lender.offer * (lender.held > 0 ? current_lender_weight : 1);
  };
  std::stable_sort(lenders.begin(), lenders.end(),
                   [&](const Lender& a, const Lender& b) { return weight(a) > weight(b); });
  return lenders;
}

std::vector<LeaseRequest> SharedLimits::lease_requests(double now_ms) {
  rejected_since_round_ = false;
  ++round_number_;
  std::vector<LeaseRequest> requests;
  for (int limit = 0; limit < size(); ++limit) request_shortfall(limit, now_ms, requests);
  return requests;
}

void SharedLimits::request_shortfall(int limit, double now_ms, std::vector<LeaseRequest>& requests) const {
  const auto& held = quota(limit);
  double remaining_rate = held.shortfall(now_ms);
  if (remaining_rate <= 0) return;
  double half_lease_later_ms = now_ms + file_terms_.lease_ms / 2;
  for (const auto& lender : ranked_lenders(limit, now_ms)) {
    if (remaining_rate <= 0) break;
    double wanted = std::min(remaining_rate, lender.offer);
    double assured = held.borrowed_from(lender.peer, half_lease_later_ms);
    if (assured >= min_assured_share * wanted) {
      remaining_rate -= assured;
      continue;
    }
    auto request = std::find_if(requests.begin(), requests.end(),
                                [&](const LeaseRequest& r) { return r.lender == lender.peer; });
    if (request == requests.end()) {
      if (requests.size() >= max_lenders) continue;
      request = requests.insert(request, LeaseRequest{.lender = lender.peer, .quotas = {}});
    }
    request->quotas.push_back({.limit = limit, .rate = wanted});
    // The lender's last grant predicts its next grant better than its offer does.
    const auto& offer = offers_[slot(lender.peer)];
    bool has_fresh_grant = now_ms - offer.granted_at_ms < file_terms_.lease_ms;
    remaining_rate -= has_fresh_grant ? std::max(rate_of(offer.last_grant, limit), assured) : wanted;
  }
}

std::vector<Quota> SharedLimits::grant(PeerIndex borrower, std::uint64_t incarnation,
                                       std::span<const Quota> wanted, double now_ms) {
  std::vector<Quota> granted;
  for (const auto& entry : wanted) {
    if (entry.limit < 0 || entry.limit >= size()) continue;
    double rate = quota(entry.limit).grant(borrower, incarnation, entry.rate, now_ms);
    if (rate > 0) granted.push_back({.limit = entry.limit, .rate = rate});
  }
  return granted;
}

// The lease runs from the time of the request. The lender counts the lease from its later grant, so that the
// lease ends here first.
bool SharedLimits::accept_grant(PeerIndex lender, double requested_at_ms, std::span<const Quota> granted,
                                double now_ms) {
  double expires_at_ms = requested_at_ms + file_terms_.lease_ms;
  if (requested_at_ms > now_ms || expires_at_ms <= now_ms || slot(lender) >= offers_.size()) return false;
  auto& offer = offers_[slot(lender)];
  offer.last_grant.assign(granted.begin(), granted.end());
  offer.granted_at_ms = now_ms;
  for (const auto& entry : granted) {
    if (entry.limit < 0 || entry.limit >= size()) continue;
    // A grant above the whole limit is invalid: no instance owns more than that.
    if (entry.rate > file_terms_.limits[static_cast<std::size_t>(entry.limit)].rate) continue;
    quota(entry.limit).accept(lender, entry.rate, expires_at_ms, now_ms);
  }
  return true;
}

void SharedLimits::forget(PeerIndex peer) {
  for (auto& quota : quotas_) quota.forget(peer);
  if (slot(peer) < offers_.size()) offers_[slot(peer)] = {};
}

std::optional<BrokenInvariant> SharedLimits::broken_invariant(double now_ms) const {
  const auto limit_count = static_cast<double>(terms_.limits.size());
  if (quotas_.size() != terms_.limits.size())
    return BrokenInvariant{.invariant = Invariant::quota_count_matches_limits,
                           .value = static_cast<double>(quotas_.size()),
                           .bound = limit_count};
  if (file_terms_.limits.size() != terms_.limits.size())
    return BrokenInvariant{.invariant = Invariant::limit_count_matches_file,
                           .value = static_cast<double>(file_terms_.limits.size()),
                           .bound = limit_count};
  if ((ownership_ == Ownership::no_address) != (owned_from_ms_ == never))
    return BrokenInvariant{
        .invariant = Invariant::quarantine_needs_address, .value = owned_from_ms_, .bound = never};
  if (ownership_ == Ownership::owning && now_ms < owned_from_ms_)
    return BrokenInvariant{
        .invariant = Invariant::quarantine_elapsed, .value = now_ms, .bound = owned_from_ms_};
  for (std::size_t i = 0; i < quotas_.size(); ++i) {
    const auto& quota = quotas_[i];
    double available = quota.available_rate(now_ms);
    double borrowed = quota.borrowed(now_ms);
    if (ownership_ != Ownership::owning && available > borrowed)
      return BrokenInvariant{.invariant = Invariant::unowned_share_unused,
                             .value = available,
                             .bound = borrowed,
                             .subject = terms_.limits[i].name};
    if (auto broken = quota.broken_invariant(now_ms)) return broken;
  }
  return {};
}

}  // namespace meadowgauge::fleet
