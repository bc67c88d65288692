#include "program/fleet_coordinator.hpp"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "fleet/config_agreement.hpp"
#include "program/fleet_metrics.hpp"

namespace meadowgauge::program {

using membership::Datagram;
using membership::DatagramKind;
using membership::Freshness;
using membership::PeerIndex;

namespace {

constexpr double tick_ms = 25;
constexpr double urgent_gossip_interval_ms = 50;  // minimum time before a round for a newly failing server
constexpr double bind_interval_ms = 100;          // retries until the predecessor releases the address
constexpr double drop_log_interval_ms = 60000;    // one line for each drop reason

transport::Fd start_timer(double interval_ms) {
  transport::Fd fd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "timerfd_create");
  itimerspec spec{};
  spec.it_interval.tv_nsec = spec.it_value.tv_nsec = static_cast<long>(interval_ms * 1e6);
  timerfd_settime(fd.get(), 0, &spec, nullptr);
  return fd;
}

}  // namespace

FleetCoordinator::FleetCoordinator(transport::Loop& loop, fleet::FleetConfig config, std::uint64_t seed,
                                   proxy::Logger log)
    : loop_(loop),
      config_(std::move(config)),
      log_(std::move(log)),
      started_at_ms_(clock_.now()),
      incarnation_(static_cast<std::uint64_t>(started_at_ms_)),
      members_(config_.name, incarnation_, config_.timing, seed),
      limits_(new_limits()),
      verdicts_(config_.name, members_, log_),
      datagrams_(loop, clock_, members_,
                 {.name = config_.name, .started_at_ms = started_at_ms_, .incarnation = incarnation_},
                 [this](PeerIndex peer, const Datagram& datagram, double now_ms) {
                   receive(peer, datagram, now_ms);
                 }),
      leases_(datagrams_, limits_),
      timer_(start_timer(tick_ms)),
      token_(loop_.add(timer_.get(), *this, EPOLLIN)) {
  datagrams_.set_config_digest(config_.digest());
  leases_.set_datagrams_per_s(config_.lease_datagrams_per_s);
  set_members();
  schedule_.next_drop_log = started_at_ms_ + drop_log_interval_ms;
  tick(started_at_ms_);
}

FleetCoordinator::~FleetCoordinator() { loop_.remove(token_, timer_.get()); }

// --- Configuration --------------------------------------------------------------------------------------

void FleetCoordinator::set_members() {
  std::vector<std::string> names;
  for (const auto& member : config_.members) names.push_back(member.name);
  forget_unlisted(names);
  members_.set_members(names);
  std::vector<membership::PeerEndpoint> peers(members_.slots());
  for (const auto& member : config_.members)
    if (auto peer = members_.find(member.name))
      peers[membership::slot(*peer)] = {.name = member.name, .address = member.address};
  datagrams_.socket().set_peers(std::move(peers));
  log_.reset_statuses(members_.slots());
}

// The index of a removed member may be reused for a new member, which must not inherit its leases.
void FleetCoordinator::forget_unlisted(const std::vector<std::string>& listed_names) {
  for (auto peer : members_.members())
    if (std::find(listed_names.begin(), listed_names.end(), members_.name(peer)) == listed_names.end())
      limits_.forget(peer);
}

fleet::SharedLimits FleetCoordinator::new_limits() const {
  return {config_.terms, static_cast<int>(config_.tenants.size()),
          static_cast<int>(config_.request_classes.size()), clock_.now()};
}

void FleetCoordinator::disable() {
  if (std::exchange(state_, State::disabled) == State::enabled) log_.disabled();
  datagrams_.socket().close();
}

void FleetCoordinator::reload(const std::optional<fleet::FleetConfig>& config) {
  const double now_ms = clock_.now();
  if (!config) return disable();
  if (fleet::requires_restart(config_, *config)) log_.restart_needed();
  auto next = fleet::with_start_values(config_, *config);
  // Requests carry the indices that tenants and classes had at the start, so new names need a restart.
  for (const auto& name : next.resolve_names(config_.tenants, config_.request_classes))
    log_.limit_needs_restart(name);
  config_ = std::move(next);
  leases_.set_datagrams_per_s(config_.lease_datagrams_per_s);
  set_members();
  const auto digest = config_.digest();
  // Leases were not tracked while the fleet was disabled, so the limits start over as at process start.
  if (std::exchange(state_, State::enabled) == State::disabled)
    limits_ = new_limits();
  else if (digest != datagrams_.config_digest())
    limits_.reload(config_.terms, now_ms);
  datagrams_.set_config_digest(digest);
  log_.set_limits_in_force(limits_.in_force());
  log_.reloaded(config_.members.size(), config_.terms.limits.size());
}

// --- Requests of clients --------------------------------------------------------------------------------

double FleetCoordinator::try_acquire(int tenant, int request_class) {
  if (state_ == State::disabled) return 0;
  const double retry_after_ms = limits_.admit(tenant, request_class, clock_.now());
  if (retry_after_ms > 0) ++rejected_requests_;
  return retry_after_ms;
}

void FleetCoordinator::release(int tenant, int request_class) {
  if (state_ == State::enabled) limits_.undo_admission(tenant, request_class, clock_.now());
}

void FleetCoordinator::record_success(std::uint32_t server) {
  if (config_.verdicts) verdicts_.record_success(server, clock_.now());
}

// Leases are not handed over: the successor starts without leases, as after a crash.
void FleetCoordinator::leave() {
  if (std::exchange(address_handed_over_, true)) return;
  datagrams_.socket().close();
  limits_ = new_limits();
}

// --- Datagrams ------------------------------------------------------------------------------------------

void FleetCoordinator::receive(PeerIndex peer, const Datagram& datagram, double now_ms) {
  merge_states(peer, datagram, now_ms);
  if (!datagrams_.config_agrees(datagram)) return;
  if (datagram.kind == DatagramKind::lease_request) leases_.receive_request(peer, datagram, now_ms);
  if (datagram.kind == DatagramKind::lease_grant) leases_.receive_grant(peer, datagram, now_ms);
}

void FleetCoordinator::merge_states(PeerIndex peer, const Datagram& datagram, double now_ms) {
  const bool is_gossip = datagram.kind == DatagramKind::gossip;
  const double delay_ms = is_gossip ? members_.transit_delay_ms(peer, datagram.sent_at_ms, now_ms) : 0;
  for (auto state : datagram.members) {
    state.age_ms += delay_ms;
    if (members_.merge(state, now_ms) != Freshness::fresh || !config_.verdicts) continue;
    const bool newly_failing = verdicts_.merge(state, now_ms - state.age_ms);
    gossip_is_urgent_ = gossip_is_urgent_ || newly_failing;
  }
}

// --- Periodic actions -----------------------------------------------------------------------------------

void FleetCoordinator::ready(std::uint32_t) {
  std::uint64_t expirations = 0;
  const bool expired = read(timer_.get(), &expirations, sizeof expirations) > 0;
  if (expired && state_ == State::enabled) tick(clock_.now());
}

void FleetCoordinator::tick(double now_ms) {
  if (address_handed_over_) return;
  if (!datagrams_.socket().is_open() && now_ms >= schedule_.next_bind) {
    schedule_.next_bind = now_ms + bind_interval_ms;
    bind_address();
  }
  if (datagrams_.socket().is_open()) tick_online(now_ms);
  if (now_ms >= schedule_.next_drop_log) log_drops(now_ms);
}

void FleetCoordinator::tick_online(double now_ms) {
  update_members(now_ms);
  const bool newly_failing = config_.verdicts && verdicts_.tick(now_ms);
  gossip_is_urgent_ = gossip_is_urgent_ || newly_failing;
  if (gossip_is_due(now_ms)) send_gossip(now_ms);
  leases_.tick(now_ms);
}

// Reads the clock again after binding: this process may have been paused before the bind, while its
// predecessor still granted leases.
void FleetCoordinator::bind_address() {
  if (auto error = datagrams_.socket().open(config_.listen))
    return log_.bind_failed(config_.listen, error.message());
  limits_.address_acquired(clock_.now());
  log_.bound(config_.name, config_.listen);
}

bool FleetCoordinator::gossip_is_due(double now_ms) const {
  const bool urgent = gossip_is_urgent_ && now_ms >= schedule_.last_gossip + urgent_gossip_interval_ms;
  return now_ms >= schedule_.next_gossip || urgent;
}

void FleetCoordinator::send_gossip(double now_ms) {
  if (now_ms >= schedule_.next_gossip)
    schedule_.next_gossip = std::max(schedule_.next_gossip + config_.timing.interval_ms, now_ms);
  schedule_.last_gossip = now_ms;
  gossip_is_urgent_ = false;
  auto own = members_.next_own_state(limits_.lendable(now_ms), datagrams_.config_digest());
  if (config_.verdicts) verdicts_.report(own, now_ms);
  for (auto peer : members_.next_targets()) {
    auto datagram = datagrams_.new_datagram(DatagramKind::gossip);
    datagram.members = members_.states_to_gossip(own, now_ms);
    datagram.sent_at_ms = datagrams_.since_start_ms(clock_.now());
    members_.gossip_sent(datagrams_.send(peer, datagram));
  }
}

void FleetCoordinator::update_members(double now_ms) {
  const auto digest = datagrams_.config_digest();
  for (auto peer : members_.members()) {
    limits_.set_offer(peer, fleet::usable_offer(members_, peer, digest, now_ms));
    log_.update_status(peer, members_.name(peer), members_.status(peer, now_ms));
  }
  limits_.update_agreement(fleet::compare_configs(members_, digest, now_ms), now_ms);
  log_.update_limits_in_force(limits_.in_force());
}

void FleetCoordinator::log_drops(double now_ms) {
  schedule_.next_drop_log = now_ms + drop_log_interval_ms;
  log_.drops(datagrams_.socket().counters());
  if (!datagrams_.socket().is_open()) log_.still_unbound(config_.listen);
}

// --- Metrics --------------------------------------------------------------------------------------------

std::vector<std::pair<std::string, double>> FleetCoordinator::metrics() const {
  if (state_ == State::disabled) return {};
  return fleet_metrics({.members = members_,
                        .socket = datagrams_.socket(),
                        .limits = limits_,
                        .leases = leases_,
                        .ejected_servers = verdicts_.ejected_count(),
                        .rejected_requests = rejected_requests_},
                       clock_.now());
}

}  // namespace meadowgauge::program
