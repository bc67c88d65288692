#include "fleet/limit_quota.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace meadowgauge::fleet {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double demand_headroom_ratio = 1.15;  // wanted rate / demand; covers the variance of arrivals
constexpr double min_headroom_rate = 1;         // requests a second; no headroom below this demand
constexpr double demand_window_ms = 300;        // time constant of the demand average
constexpr double min_grant_share = 0.01;        // of the own share; a smaller grant is not worth a datagram
constexpr std::size_t max_counterparties = 64;  // bound on the borrowers of a limit, and on its lenders
constexpr double min_retry_after_ms = 20;
constexpr double tolerance = 1e-6;  // tokens or requests a second: rounding error in the invariant checks

}  // namespace

LimitQuota::LimitQuota(const Limit& limit, const LimitTerms& terms, double owned_from_ms, double now_ms)
    : lease_ms_(terms.lease_ms),
      owned_from_ms_(owned_from_ms),
      refilled_at_ms_(now_ms),
      demand_at_ms_(now_ms) {
  update(limit, terms, now_ms);
}

void LimitQuota::update(const Limit& limit, const LimitTerms& terms, double now_ms) {
  refill(now_ms);
  own_share_rate_ = limit.rate * terms.share;
  fixed_capacity_ = fixed_burst_share * limit.burst / terms.instances;
  capacity_per_rate_ = limit.rate > 0 ? (1 - fixed_burst_share) * limit.burst / limit.rate : 0;
  lease_ms_ = terms.lease_ms;
  tokens_ = std::min(tokens_, capacity(now_ms));
}

void LimitQuota::set_owned_from(double owned_from_ms, double now_ms) {
  refill(now_ms);
  owned_from_ms_ = owned_from_ms;
  tokens_ = std::min(tokens_, capacity(now_ms));
}

// --- Leases ---------------------------------------------------------------------------------------------

double LimitQuota::leased_rate(const Counterparty& counterparty, double at_ms) {
  double max_rate = 0;
  for (const auto& lease : counterparty.leases)
    if (lease.expires_at_ms > at_ms) max_rate = std::max(max_rate, lease.rate);
  return max_rate;
}

// Drops dominated leases: those for which another lease expires no earlier and has no lower rate. This keeps
// the list short however often leases are renewed.
void LimitQuota::add_lease(Counterparty& counterparty, const Lease& lease, double now_ms) {
  std::erase_if(counterparty.leases, [&](const Lease& other) {
    return other.expires_at_ms <= now_ms ||
           (other.expires_at_ms <= lease.expires_at_ms && other.rate <= lease.rate);
  });
  bool is_dominated =
      std::any_of(counterparty.leases.begin(), counterparty.leases.end(), [&](const Lease& other) {
        return other.expires_at_ms >= lease.expires_at_ms && other.rate >= lease.rate;
      });
  if (!is_dominated) counterparty.leases.push_back(lease);
}

void LimitQuota::drop_expired(std::vector<Counterparty>& counterparties, double now_ms, double retention_ms) {
  std::erase_if(counterparties, [&](const Counterparty& counterparty) {
    return leased_rate(counterparty, now_ms) <= 0 && now_ms - counterparty.wanted_at_ms > retention_ms;
  });
}

// Counts the highest unexpired grant to each borrower incarnation, since the lender cannot know which of its
// grants arrived.
double LimitQuota::lent(double now_ms) const {
  double sum = 0;
  for (const auto& counterparty : borrowers_) sum += leased_rate(counterparty, now_ms);
  return sum;
}

double LimitQuota::borrowed(double now_ms) const {
  double sum = 0;
  for (const auto& counterparty : lenders_) sum += leased_rate(counterparty, now_ms);
  return sum;
}

double LimitQuota::borrowed_from(PeerIndex lender, double at_ms) const {
  for (const auto& counterparty : lenders_)
    if (counterparty.peer == lender) return leased_rate(counterparty, at_ms);
  return 0;
}

double LimitQuota::own_rate(double now_ms) const {
  return now_ms < owned_from_ms_ ? 0 : std::max(0.0, own_share_rate_ - lent(now_ms));
}

double LimitQuota::available_rate(double now_ms) const { return own_rate(now_ms) + borrowed(now_ms); }

double LimitQuota::lendable(double now_ms) const {
  if (now_ms < owned_from_ms_) return 0;
  double retained_rate =
      std::max(reserved_share * own_share_rate_, std::min(own_share_rate_, wanted_rate(now_ms)));
  return std::max(0.0, own_share_rate_ - retained_rate);
}

double LimitQuota::shortfall(double now_ms) const {
  return std::max(0.0, wanted_rate(now_ms) - own_rate(now_ms));
}

// Finds or adds the borrower; returns null if there are max_counterparties already. Incarnations are separate
// borrowers, since a process that was declared gone may still run beside its successor.
LimitQuota::Counterparty* LimitQuota::borrower(PeerIndex peer, std::uint64_t incarnation) {
  auto it = std::find_if(borrowers_.begin(), borrowers_.end(), [&](const Counterparty& counterparty) {
    return counterparty.peer == peer && counterparty.incarnation == incarnation;
  });
  if (it != borrowers_.end()) return &*it;
  if (borrowers_.size() >= max_counterparties) return nullptr;
  return &borrowers_.emplace_back(Counterparty{.peer = peer, .incarnation = incarnation});
}

// Returns the max-min fair rate for the borrowers that sent a request within the last `lease_ms`: each gets
// its wanted rate or the returned rate, whichever is lower.
double LimitQuota::max_min_fair_rate(double now_ms) const {
  std::vector<double> wanted;
  for (const auto& counterparty : borrowers_)
    if (now_ms - counterparty.wanted_at_ms <= lease_ms_) wanted.push_back(counterparty.wanted);
  std::sort(wanted.begin(), wanted.end());
  double remaining_rate = lendable(now_ms);
  double fair_rate = 0;
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    fair_rate = remaining_rate / static_cast<double>(wanted.size() - i);
    if (wanted[i] >= fair_rate) break;
    remaining_rate -= wanted[i];
    fair_rate = wanted[i];
  }
  return std::max(fair_rate, 0.0);
}

double LimitQuota::grant(PeerIndex peer, std::uint64_t incarnation, double wanted, double now_ms) {
  refill(now_ms);
  if (now_ms < owned_from_ms_ || own_share_rate_ <= 0) return 0;
  auto* counterparty = borrower(peer, incarnation);
  if (!counterparty) return 0;
  counterparty->wanted = wanted;
  counterparty->wanted_at_ms = now_ms;
  double lent_to_others = lent(now_ms) - leased_rate(*counterparty, now_ms);
  double rate = std::min({wanted, max_min_fair_rate(now_ms), own_share_rate_ - lent_to_others});
  if (rate < min_grant_share * own_share_rate_) return 0;
  add_lease(*counterparty, {.rate = rate, .expires_at_ms = now_ms + lease_ms_ * (1 + lease_drift_ratio)},
            now_ms);
  return rate;
}

// Finds or adds the lender. If the table is full, evicts the lender with the lowest rate, so that many small
// lenders cannot displace a large one, or returns null if `rate` is not above that rate. Eviction is safe:
// the evicted leases are merely not used.
LimitQuota::Counterparty* LimitQuota::lender(PeerIndex peer, double rate, double now_ms) {
  auto it = std::find_if(lenders_.begin(), lenders_.end(),
                         [&](const Counterparty& counterparty) { return counterparty.peer == peer; });
  if (it != lenders_.end()) return &*it;
  if (lenders_.size() >= max_counterparties) {
    auto smallest =
        std::min_element(lenders_.begin(), lenders_.end(), [&](const Counterparty& a, const Counterparty& b) {
          return leased_rate(a, now_ms) < leased_rate(b, now_ms);
        });
    if (leased_rate(*smallest, now_ms) >= rate) return nullptr;
    lenders_.erase(smallest);
  }
  return &lenders_.emplace_back(Counterparty{.peer = peer});
}

void LimitQuota::accept(PeerIndex peer, double rate, double expires_at_ms, double now_ms) {
  refill(now_ms);
  if (rate <= 0 || expires_at_ms <= now_ms) return;
  if (auto* counterparty = lender(peer, rate, now_ms))
    add_lease(*counterparty, {.rate = rate, .expires_at_ms = expires_at_ms}, now_ms);
}

void LimitQuota::forget(PeerIndex peer) {
  for (auto* counterparties : {&borrowers_, &lenders_})
    for (auto& counterparty : *counterparties)
      if (counterparty.peer == peer) counterparty.peer.reset();
}

// --- The token bucket -----------------------------------------------------------------------------------

double LimitQuota::capacity(double now_ms) const {
  return fixed_capacity_ + capacity_per_rate_ * available_rate(now_ms);
}

// Where leases overlap, each interval counts at the highest rate that is leased until the interval's end.
void LimitQuota::add_leased_tokens(const Counterparty& lender, double now_ms, double& millitokens) const {
  auto leases = lender.leases;
  std::sort(leases.begin(), leases.end(),
            [](const Lease& a, const Lease& b) { return a.expires_at_ms < b.expires_at_ms; });
  double since_ms = refilled_at_ms_;
  for (const auto& lease : leases) {
    double until_ms = std::min(now_ms, lease.expires_at_ms);
    if (until_ms <= since_ms) continue;
    millitokens += leased_rate(lender, std::nextafter(until_ms, 0.0)) * (until_ms - since_ms);
    since_ms = until_ms;
  }
}

// Adds the tokens earned since the last refill, never too many: the rate lent at the last refill counts as
// lent for the whole interval, and a borrowed rate counts only until its lease expires.
void LimitQuota::refill(double now_ms) {
  if (now_ms <= refilled_at_ms_) return;
  double millitokens = 0;
  if (now_ms > owned_from_ms_) {
    double own = std::max(0.0, own_share_rate_ - lent(refilled_at_ms_));
    millitokens += own * (now_ms - std::max(refilled_at_ms_, owned_from_ms_));
  }
  for (const auto& lender : lenders_) add_leased_tokens(lender, now_ms, millitokens);
  refilled_at_ms_ = now_ms;
  drop_expired(borrowers_, now_ms, lease_ms_);
  drop_expired(lenders_, now_ms, 0);
  tokens_ = std::min(tokens_ + millitokens / 1000, capacity(now_ms));
}

double LimitQuota::tokens(double now_ms) {
  refill(now_ms);
  return tokens_;
}

void LimitQuota::return_token(double now_ms) {
  refill(now_ms);
  tokens_ = std::min(tokens_ + 1, capacity(now_ms));
}

// Gives each rejected request the time of the next token that is not assigned to an earlier rejected request.
// If the available rate is 0, that time is the end of the quarantine, or one lease from now.
double LimitQuota::retry_after_ms(double now_ms) {
  refill(now_ms);
  double rate_per_ms = available_rate(now_ms) / 1000;
  double first_token_at_ms = now_ms + lease_ms_;
  if (rate_per_ms > 0)
    first_token_at_ms = now_ms + (1 - tokens_) / rate_per_ms;
  else if (owned_from_ms_ > now_ms && owned_from_ms_ < never)
    first_token_at_ms = owned_from_ms_;
  last_retry_at_ms_ =
      std::max(first_token_at_ms, last_retry_at_ms_ + (rate_per_ms > 0 ? 1 / rate_per_ms : 0));
  last_retry_at_ms_ = std::min(last_retry_at_ms_, now_ms + max_retry_after_ms);
  return std::max(min_retry_after_ms, last_retry_at_ms_ - now_ms);
}

// --- Demand ---------------------------------------------------------------------------------------------

void LimitQuota::record_demand(double now_ms) {
  demand_ = demand(now_ms) + 1000 / demand_window_ms;
  demand_at_ms_ = now_ms;
}

double LimitQuota::demand(double now_ms) const {
  return demand_ * std::exp(-std::max(0.0, now_ms - demand_at_ms_) / demand_window_ms);
}

double LimitQuota::wanted_rate(double now_ms) const {
  double rate = demand(now_ms);
  return rate < min_headroom_rate ? rate : rate * demand_headroom_ratio + min_headroom_rate;
}

std::optional<BrokenInvariant> LimitQuota::broken_invariant(const std::vector<Counterparty>& counterparties) {
  if (counterparties.size() > max_counterparties)
    return BrokenInvariant{.invariant = Invariant::counterparties_bounded,
                           .value = static_cast<double>(counterparties.size()),
                           .bound = static_cast<double>(max_counterparties)};
  for (const auto& counterparty : counterparties) {
    for (const auto& a : counterparty.leases)
      for (const auto& b : counterparty.leases)
        if (&a != &b && a.rate <= b.rate && a.expires_at_ms <= b.expires_at_ms)
          return BrokenInvariant{
              .invariant = Invariant::leases_not_dominated, .value = a.rate, .bound = b.rate};
    auto same = [&](const Counterparty& other) {
      return other.peer == counterparty.peer && other.incarnation == counterparty.incarnation;
    };
    auto same_count = std::count_if(counterparties.begin(), counterparties.end(), same);
    if (counterparty.peer && same_count != 1)
      return BrokenInvariant{.invariant = Invariant::counterparties_distinct,
                             .value = static_cast<double>(same_count),
                             .bound = 1};
  }
  return {};
}

std::optional<BrokenInvariant> LimitQuota::broken_invariant(double now_ms) const {
  if (tokens_ < -tolerance)
    return BrokenInvariant{.invariant = Invariant::bucket_not_overdrawn, .value = tokens_, .bound = 0};
  double max_tokens = fixed_capacity_ + capacity_per_rate_ * (own_share_rate_ + borrowed(refilled_at_ms_));
  if (tokens_ > max_tokens + tolerance)
    return BrokenInvariant{
        .invariant = Invariant::bucket_within_capacity, .value = tokens_, .bound = max_tokens};
  if (now_ms < owned_from_ms_ && own_rate(now_ms) > 0)
    return BrokenInvariant{
        .invariant = Invariant::quarantined_share_unused, .value = own_rate(now_ms), .bound = 0};
  auto broken = broken_invariant(borrowers_);
  return broken ? broken : broken_invariant(lenders_);
}

}  // namespace meadowgauge::fleet
