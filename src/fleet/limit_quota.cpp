#include "fleet/limit_quota.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace meadowgauge::fleet {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double demand_headroom = 1.15;        // of demand, met by borrowing: arrivals vary
constexpr double min_headroom_rate = 1;         // below this demand nothing is added to it
constexpr double demand_window_ms = 300;        // over which demand is averaged
constexpr double min_grant_share = 0.01;        // of the own rate: less is not worth a datagram
constexpr std::size_t max_counterparties = 64;  // borrowers, and lenders, of one limit at a time
constexpr double min_retry_after_ms = 20;
constexpr double tolerance = 1e-6;  // of the invariants, for sums of doubles

}  // namespace

LimitQuota::LimitQuota(const Limit& limit, const LimitTerms& terms, double owned_from, double now_ms)
    : lease_ms_(terms.lease_ms), owned_from_(owned_from), refilled_at_ms_(now_ms), demand_at_ms_(now_ms) {
  update(limit, terms, now_ms);
}

void LimitQuota::update(const Limit& limit, const LimitTerms& terms, double now_ms) {
  refill(now_ms);
  share_rate_ = limit.rate * terms.share;
  fixed_capacity_ = fixed_burst_share * limit.burst / terms.instances;
  capacity_s_ = limit.rate > 0 ? (1 - fixed_burst_share) * limit.burst / limit.rate : 0;
  lease_ms_ = terms.lease_ms;
  tokens_ = std::min(tokens_, capacity(now_ms));
}

void LimitQuota::set_owned_from(double owned_from, double now_ms) {
  refill(now_ms);
  owned_from_ = owned_from;
  tokens_ = std::min(tokens_, capacity(now_ms));
}

// --- Leases ---------------------------------------------------------------------------------------------

double LimitQuota::leased_rate(const Counterparty& counterparty, double at_ms) {
  double most = 0;
  for (const auto& lease : counterparty.leases)
    if (lease.expires_at_ms > at_ms) most = std::max(most, lease.rate);
  return most;
}

// A lease that another outlasts at no lower rate is dropped. So there are few, however often they are
// renewed.
void LimitQuota::add_lease(Counterparty& counterparty, const Lease& lease, double now_ms) {
  std::erase_if(counterparty.leases, [&](const Lease& other) {
    return other.expires_at_ms <= now_ms ||
           (other.expires_at_ms <= lease.expires_at_ms && other.rate <= lease.rate);
  });
  bool outdone = std::any_of(counterparty.leases.begin(), counterparty.leases.end(), [&](const Lease& other) {
    return other.expires_at_ms >= lease.expires_at_ms && other.rate >= lease.rate;
  });
  if (!outdone) counterparty.leases.push_back(lease);
}

void LimitQuota::drop_expired(std::vector<Counterparty>& counterparties, double now_ms, double kept_ms) {
  std::erase_if(counterparties, [&](const Counterparty& counterparty) {
    return leased_rate(counterparty, now_ms) <= 0 && now_ms - counterparty.wanted_at_ms > kept_ms;
  });
}

// Of each borrower's incarnation the most that has not expired: which grants have reached it is not known
// here.
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
  return now_ms < owned_from_ ? 0 : std::max(0.0, share_rate_ - lent(now_ms));
}

double LimitQuota::available_rate(double now_ms) const { return own_rate(now_ms) + borrowed(now_ms); }

double LimitQuota::lendable(double now_ms) const {
  if (now_ms < owned_from_) return 0;
  double kept = std::max(reserved_share * share_rate_, std::min(share_rate_, wanted_rate(now_ms)));
  return std::max(0.0, share_rate_ - kept);
}

double LimitQuota::shortfall(double now_ms) const {
  return std::max(0.0, wanted_rate(now_ms) - own_rate(now_ms));
}

// The borrower of that name and incarnation; null where there are too many. Incarnations are counted apart: a
// process that was taken for dead may run on beside its successor.
LimitQuota::Counterparty* LimitQuota::borrower(PeerIndex peer, std::uint64_t incarnation) {
  auto it = std::find_if(borrowers_.begin(), borrowers_.end(), [&](const Counterparty& counterparty) {
    return counterparty.peer == peer && counterparty.incarnation == incarnation;
  });
  if (it != borrowers_.end()) return &*it;
  if (borrowers_.size() >= max_counterparties) return nullptr;
  return &borrowers_.emplace_back(Counterparty{.peer = peer, .incarnation = incarnation});
}

// Those that asked of late share evenly in what is lendable, as far as each wants it.
double LimitQuota::fair_share(double now_ms) const {
  std::vector<double> wanted;
  for (const auto& counterparty : borrowers_)
    if (now_ms - counterparty.wanted_at_ms <= lease_ms_) wanted.push_back(counterparty.wanted);
  std::sort(wanted.begin(), wanted.end());
  double left = lendable(now_ms);
  double fair = 0;
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    fair = left / static_cast<double>(wanted.size() - i);
    if (wanted[i] >= fair) break;
    left -= wanted[i];
    fair = wanted[i];
  }
  return std::max(fair, 0.0);
}

double LimitQuota::grant(PeerIndex peer, std::uint64_t incarnation, double wanted, double now_ms) {
  refill(now_ms);
  if (now_ms < owned_from_ || share_rate_ <= 0) return 0;
  auto* counterparty = borrower(peer, incarnation);
  if (!counterparty) return 0;
  counterparty->wanted = wanted;
  counterparty->wanted_at_ms = now_ms;
  double lent_to_others = lent(now_ms) - leased_rate(*counterparty, now_ms);
  double rate = std::min({wanted, fair_share(now_ms), share_rate_ - lent_to_others});
  if (rate < min_grant_share * share_rate_) return 0;
  add_lease(*counterparty, {.rate = rate, .expires_at_ms = now_ms + lease_ms_ * (1 + lease_drift)}, now_ms);
  return rate;
}

// The entry for a lender. With too many of them the least gives way to a greater one, and what it lent goes
// unused, which is safe; 64 small lenders used to keep out the great ones. Null where this one is the least.
LimitQuota::Counterparty* LimitQuota::lender(PeerIndex peer, double rate, double now_ms) {
  auto it = std::find_if(lenders_.begin(), lenders_.end(),
                         [&](const Counterparty& counterparty) { return counterparty.peer == peer; });
  if (it != lenders_.end()) return &*it;
  if (lenders_.size() >= max_counterparties) {
    auto least =
        std::min_element(lenders_.begin(), lenders_.end(), [&](const Counterparty& a, const Counterparty& b) {
          return leased_rate(a, now_ms) < leased_rate(b, now_ms);
        });
    if (leased_rate(*least, now_ms) >= rate) return nullptr;
    lenders_.erase(least);
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
  return fixed_capacity_ + capacity_s_ * available_rate(now_ms);
}

// Where several leases overlap, each stretch of time counts with the greatest that holds to its end.
void LimitQuota::add_gain(const Counterparty& lender, double now_ms, double& gained) const {
  auto leases = lender.leases;
  std::sort(leases.begin(), leases.end(),
            [](const Lease& a, const Lease& b) { return a.expires_at_ms < b.expires_at_ms; });
  double since = refilled_at_ms_;
  for (const auto& lease : leases) {
    double until = std::min(now_ms, lease.expires_at_ms);
    if (until <= since) continue;
    gained += leased_rate(lender, std::nextafter(until, 0.0)) * (until - since);
    since = until;
  }
}

// What was lent counts as lent for the whole time since the last refill, what was borrowed only until it
// expired.
void LimitQuota::refill(double now_ms) {
  if (now_ms <= refilled_at_ms_) return;
  double gained = 0;
  if (now_ms > owned_from_) {
    double own = std::max(0.0, share_rate_ - lent(refilled_at_ms_));
    gained += own * (now_ms - std::max(refilled_at_ms_, owned_from_));
  }
  for (const auto& lender : lenders_) add_gain(lender, now_ms, gained);
  refilled_at_ms_ = now_ms;
  drop_expired(borrowers_, now_ms, lease_ms_);
  drop_expired(lenders_, now_ms, 0);
  tokens_ = std::min(tokens_ + gained / 1000, capacity(now_ms));
}

double LimitQuota::tokens(double now_ms) {
  refill(now_ms);
  return tokens_;
}

void LimitQuota::return_token(double now_ms) {
  refill(now_ms);
  tokens_ = std::min(tokens_ + 1, capacity(now_ms));
}

// One token is promised after the other. With none to come: when the own share begins, or after a lease.
double LimitQuota::retry_after_ms(double now_ms) {
  refill(now_ms);
  double rate_per_ms = available_rate(now_ms) / 1000;
  double first = now_ms + lease_ms_;
  if (rate_per_ms > 0)
    first = now_ms + (1 - tokens_) / rate_per_ms;
  else if (owned_from_ > now_ms && owned_from_ < never)
    first = owned_from_;
  promised_at_ms_ = std::max(first, promised_at_ms_ + (rate_per_ms > 0 ? 1 / rate_per_ms : 0));
  promised_at_ms_ = std::min(promised_at_ms_, now_ms + max_retry_after_ms);
  return std::max(min_retry_after_ms, promised_at_ms_ - now_ms);
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
  return rate < min_headroom_rate ? rate : rate * demand_headroom + min_headroom_rate;
}

std::string LimitQuota::broken_invariant(const std::vector<Counterparty>& counterparties) {
  if (counterparties.size() > max_counterparties) return "too many counterparties";
  for (const auto& counterparty : counterparties) {
    for (const auto& a : counterparty.leases)
      for (const auto& b : counterparty.leases)
        if (&a != &b && a.rate <= b.rate && a.expires_at_ms <= b.expires_at_ms)
          return "a lease is kept that another outlasts";
    auto same = [&](const Counterparty& other) {
      return other.peer == counterparty.peer && other.incarnation == counterparty.incarnation;
    };
    if (counterparty.peer && std::count_if(counterparties.begin(), counterparties.end(), same) != 1)
      return "a counterparty is there twice";
  }
  return {};
}

std::string LimitQuota::broken_invariant(double now_ms) const {
  if (tokens_ < -tolerance) return "the bucket is overdrawn";
  double most = fixed_capacity_ + capacity_s_ * (share_rate_ + borrowed(refilled_at_ms_));
  if (tokens_ > most + tolerance) return "the bucket holds more than its capacity";
  if (now_ms < owned_from_ && own_rate(now_ms) > 0)
    return "the own share is used while an earlier one may be lent";
  auto broken = broken_invariant(borrowers_);
  return broken.empty() ? broken_invariant(lenders_) : broken;
}

}  // namespace meadowgauge::fleet
