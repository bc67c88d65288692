#include "program/fleet_coordinator.hpp"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <system_error>

namespace meadowgauge::program {

using membership::Datagram;
using membership::DatagramKind;
using membership::DropReason;
using membership::Freshness;
using membership::MemberStatus;
using membership::PeerIndex;
using proxy::Level;

namespace {

constexpr double tick_ms = 25;
constexpr double verdict_interval_ms = 50;        // how soon a verdict is acted upon
constexpr double urgent_gossip_interval_ms = 50;  // beside the usual rounds, where a server has begun to fail
constexpr double bind_interval_ms = 100;          // a predecessor gives the address up at any time
constexpr double drop_log_interval_ms = 60000;    // a line for each reason
constexpr double requests_per_lease = 4;          // rounds of lease requests
constexpr double urgent_requests_per_lease = 10;  // where requests were rejected lately

constexpr std::array<std::string_view, 3> status_names{"alive", "suspected", "gone"};

std::string_view name_of(MemberStatus status) { return status_names[static_cast<std::size_t>(status)]; }

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
      config_digest_(config_.digest()),
      members_(config_.name, incarnation_, config_.timing, seed),
      limits_(fresh_limits()),
      verdicts_(config_.name),
      socket_(loop, clock_,
              [this](PeerIndex peer, const Datagram& datagram, double now_ms) {
                receive(peer, datagram, now_ms);
              }),
      timer_(start_timer(tick_ms)),
      token_(loop_.add(timer_.get(), *this, EPOLLIN)) {
  set_members();
  due_.next_drop_log = started_at_ms_ + drop_log_interval_ms;
  tick(started_at_ms_);
}

FleetCoordinator::~FleetCoordinator() { loop_.remove(token_, timer_.get()); }

// --- The file -------------------------------------------------------------------------------------------

// The index of a member that is no longer listed may serve another: its leases are no longer under it.
void FleetCoordinator::set_members() {
  std::vector<std::string> names;
  for (const auto& member : config_.members) names.push_back(member.name);
  for (auto peer : members_.members())
    if (std::find(names.begin(), names.end(), members_.name(peer)) == names.end()) limits_.forget(peer);
  members_.set_members(names);
  std::vector<membership::PeerEndpoint> peers(members_.slots());
  for (const auto& member : config_.members)
    if (auto peer = members_.find(member.name))
      peers[membership::slot(*peer)] = {.name = member.name, .address = member.address};
  socket_.set_peers(std::move(peers));
  logged_status_.assign(members_.slots(), MemberStatus::gone);
}

fleet::SharedLimits FleetCoordinator::fresh_limits() const {
  return {config_.terms, static_cast<int>(config_.tenants.size()),
          static_cast<int>(config_.request_classes.size()), clock_.now()};
}

void FleetCoordinator::reload(const std::optional<fleet::FleetConfig>& config) {
  double now_ms = clock_.now();
  if (!config) {
    if (!std::exchange(disabled_, true)) log_(Level::warning, "fleet: off; its limits are held no longer");
    socket_.close();
    return;
  }
  bool needs_restart = config->name != config_.name || !(config->listen == config_.listen) ||
                       config->terms.lease_ms != config_.terms.lease_ms;
  if (needs_restart) log_(Level::warning, "fleet: name, listen and lease_ms hold from the next start on");
  auto next = *config;
  next.name = config_.name;
  next.listen = config_.listen;
  next.timing = config_.timing;
  next.terms.lease_ms = config_.terms.lease_ms;
  // Requests carry the indices of the start's tenants and classes: others hold from the next start on.
  for (const auto& name : next.resolve_names(config_.tenants, config_.request_classes))
    log_(Level::warning,
         "fleet: limit " + name + " names what was not there at the start: holds from the next one on");
  config_ = std::move(next);
  set_members();
  auto digest = config_.digest();
  // While it was off nobody knew what it lent: it begins as after a start.
  if (std::exchange(disabled_, false))
    limits_ = fresh_limits();
  else if (digest != config_digest_)
    limits_.reload(config_.terms, now_ms);
  config_digest_ = digest;
  limits_in_force_ = limits_.in_force();
  log_(Level::info, "fleet: file taken over; " + std::to_string(config_.members.size()) + " instances, " +
                        std::to_string(config_.terms.limits.size()) + " limits");
}

// --- What the balancer asks and tells -------------------------------------------------------------------

double FleetCoordinator::try_acquire(int tenant, int request_class) {
  if (disabled_) return 0;
  double retry_after_ms = limits_.admit(tenant, request_class, clock_.now());
  if (retry_after_ms > 0) ++counters_.rejected;
  return retry_after_ms;
}

void FleetCoordinator::release(int tenant, int request_class) {
  if (!disabled_) limits_.undo_admission(tenant, request_class, clock_.now());
}

void FleetCoordinator::record_success(std::uint32_t server) {
  if (config_.verdicts) verdicts_.record_success(server, clock_.now());
}

// Leases are handed to nobody: the successor begins as after a crash.
void FleetCoordinator::leave() {
  if (std::exchange(left_, true)) return;
  socket_.close();
  limits_ = fresh_limits();
}

// --- Datagrams ------------------------------------------------------------------------------------------

Datagram FleetCoordinator::new_datagram(DatagramKind kind) {
  return {.from = config_.name,
          .incarnation = incarnation_,
          .sequence = ++sequence_,
          .config_digest = config_digest_,
          .members = {},
          .kind = kind,
          .quotas = {}};
}

bool FleetCoordinator::may_send_lease_datagram(double now_ms) {
  return lease_datagrams_.try_take(config_.lease_datagrams_per_s, now_ms);
}

// `now` is read after the datagram came: a lender that was paused in between must not count a lease from
// before the request.
void FleetCoordinator::receive(PeerIndex peer, const Datagram& datagram, double now_ms) {
  switch (members_.accept_datagram(peer, datagram.incarnation, datagram.sequence, now_ms)) {
    case Freshness::fresh:
      break;
    case Freshness::earlier_incarnation:
      return socket_.count_drop(DropReason::earlier_incarnation);
    case Freshness::duplicate:
      return socket_.count_drop(DropReason::duplicate_or_late);
  }
  merge_states(peer, datagram, now_ms);
  bool files_agree = datagram.config_digest == config_digest_;
  if (datagram.kind == DatagramKind::lease_request && files_agree) answer_request(peer, datagram, now_ms);
  if (datagram.kind == DatagramKind::lease_grant && files_agree) accept_grant(peer, datagram, now_ms);
}

void FleetCoordinator::merge_states(PeerIndex peer, const Datagram& datagram, double now_ms) {
  bool is_gossip = datagram.kind == DatagramKind::gossip;
  double delay_ms = is_gossip ? members_.transit_delay_ms(peer, datagram.sent_at_ms, now_ms) : 0;
  for (auto state : datagram.members) {
    state.age_ms += delay_ms;
    if (members_.merge(state, now_ms) != Freshness::fresh || !config_.verdicts) continue;
    bool newly_failing =
        verdicts_.merge(state.name, state.observations, state.unhealthy_share, now_ms - state.age_ms);
    gossip_is_urgent_ = gossip_is_urgent_ || newly_failing;
  }
}

// The budget is asked before anything is lent for the request.
void FleetCoordinator::answer_request(PeerIndex peer, const Datagram& request, double now_ms) {
  if (!may_send_lease_datagram(now_ms)) return;
  auto grant = new_datagram(DatagramKind::lease_grant);
  grant.sent_at_ms = request.sent_at_ms;
  grant.recipient_incarnation = request.incarnation;
  grant.quotas = limits_.grant(peer, request.incarnation, request.quotas, now_ms);
  ++counters_.lease_answers;
  socket_.send(peer, membership::encode_datagram(grant).bytes);
}

void FleetCoordinator::accept_grant(PeerIndex peer, const Datagram& grant, double now_ms) {
  if (grant.recipient_incarnation != incarnation_) return socket_.count_drop(DropReason::earlier_incarnation);
  if (limits_.accept_grant(peer, started_at_ms_ + grant.sent_at_ms, grant.quotas, now_ms))
    ++counters_.leases_received;
  else
    socket_.count_drop(DropReason::duplicate_or_late);
}

// --- Periodic actions -----------------------------------------------------------------------------------

void FleetCoordinator::ready(std::uint32_t) {
  std::uint64_t expirations = 0;
  if (read(timer_.get(), &expirations, sizeof expirations) > 0 && !disabled_) tick(clock_.now());
}

void FleetCoordinator::tick(double now_ms) {
  if (left_) return;
  if (!socket_.is_open() && now_ms >= due_.next_bind) {
    due_.next_bind = now_ms + bind_interval_ms;
    bind_address();
  }
  if (socket_.is_open()) {
    update_members(now_ms);
    if (config_.verdicts && balancer_ && now_ms >= due_.next_verdicts) update_verdicts(now_ms);
    bool urgent = gossip_is_urgent_ && now_ms >= due_.last_gossip + urgent_gossip_interval_ms;
    if (now_ms >= due_.next_gossip || urgent) send_gossip(now_ms);
    bool rejected = limits_.rejected_since_round() && now_ms >= due_.next_urgent_requests;
    if (now_ms >= due_.next_lease_requests || rejected) send_lease_requests(now_ms);
  }
  if (now_ms >= due_.next_drop_log) log_drops(now_ms);
}

// The time is read anew: a process that was paused before it had the address may have waited for a
// predecessor that lent on.
void FleetCoordinator::bind_address() {
  auto error = socket_.open(config_.listen);
  if (!error) {
    limits_.address_acquired(clock_.now());
    log_(Level::info, "fleet: is " + config_.name + " at " + config_.listen.text());
    return;
  }
  auto why = error.message();
  if (std::exchange(bind_error_, why) == why) return;
  log_(Level::error, "fleet: " + config_.listen.text() + " can't be had: " + why +
                         "; goes on without a share of its own, and tries again");
}

void FleetCoordinator::send_gossip(double now_ms) {
  if (now_ms >= due_.next_gossip)
    due_.next_gossip = std::max(due_.next_gossip + config_.timing.interval_ms, now_ms);
  due_.last_gossip = now_ms;
  gossip_is_urgent_ = false;
  auto own = members_.next_own_state(limits_.lendable(now_ms), config_digest_);
  if (config_.verdicts) {
    own.observations = verdicts_.observations(now_ms);
    own.unhealthy_share = verdicts_.unhealthy_share(now_ms);
  }
  for (auto peer : members_.next_targets()) {
    auto datagram = new_datagram(DatagramKind::gossip);
    datagram.members = members_.states_to_gossip(own, now_ms);
    datagram.sent_at_ms = clock_.now() - started_at_ms_;
    auto encoded = membership::encode_datagram(datagram);
    socket_.send(peer, encoded.bytes);
    members_.gossip_sent(encoded.member_count);
  }
}

void FleetCoordinator::send_lease_requests(double now_ms) {
  due_.next_lease_requests = now_ms + limits_.lease_ms() / requests_per_lease;
  due_.next_urgent_requests = now_ms + limits_.lease_ms() / urgent_requests_per_lease;
  for (auto& request : limits_.lease_requests(now_ms)) {
    auto datagram = new_datagram(DatagramKind::lease_request);
    datagram.sent_at_ms = now_ms - started_at_ms_;
    datagram.quotas = std::move(request.quotas);
    if (!may_send_lease_datagram(now_ms)) return;
    socket_.send(request.lender, membership::encode_datagram(datagram).bytes);
    ++counters_.lease_requests;
  }
}

void FleetCoordinator::update_members(double now_ms) {
  for (auto peer : members_.members()) {
    limits_.set_offer(peer, fleet::usable_offer(members_, peer, config_digest_, now_ms));
    auto status = members_.status(peer, now_ms);
    if (std::exchange(logged_status_[membership::slot(peer)], status) == status) continue;
    log_(Level::info, "fleet: " + members_.name(peer) + " is " + std::string(name_of(status)));
  }
  limits_.update_agreement(fleet::compare_configs(members_, config_digest_, now_ms), now_ms);
  bool were_in_force = std::exchange(limits_in_force_, limits_.in_force());
  if (limits_in_force_ && !were_in_force) log_(Level::info, "fleet: all agree on the file; its shares hold");
}

// The policy lets what it is told fade: it is told again as long as the server is ejected. For one that is
// not any longer, a newer word that it is well replaces the last.
void FleetCoordinator::update_verdicts(double now_ms) {
  due_.next_verdicts = now_ms + verdict_interval_ms;
  bool newly_failing = verdicts_.record_suspects(balancer_->ejected_servers(), now_ms);
  gossip_is_urgent_ = gossip_is_urgent_ || newly_failing;
  std::vector<std::string> alive;
  std::vector<std::string> known;
  for (auto peer : members_.members()) {
    known.push_back(members_.name(peer));
    if (members_.status(peer, now_ms) == MemberStatus::alive) alive.push_back(members_.name(peer));
  }
  std::sort(alive.begin(), alive.end());
  std::sort(known.begin(), known.end());
  verdicts_.expire(known, now_ms);
  auto ejected = verdicts_.ejected(balancer_->listed_servers(), alive, now_ms);
  GossipContent gossip;
  for (auto server : ejected)
    gossip.endpoints.push_back({.id = server, .response_ms = 0, .failure_share = 1, .age_ms = 0});
  for (auto server : ejected_)
    if (std::find(ejected.begin(), ejected.end(), server) == ejected.end())
      gossip.endpoints.push_back({.id = server, .response_ms = 0, .failure_share = 0, .age_ms = 0});
  if (ejected != ejected_)
    log_(Level::info, "fleet: servers ejected by verdict: " + std::to_string(ejected.size()),
         {{"servers", static_cast<double>(ejected.size())}});
  ejected_ = std::move(ejected);
  if (!gossip.endpoints.empty()) balancer_->gossip_received(gossip);
}

void FleetCoordinator::log_drops(double now_ms) {
  due_.next_drop_log = now_ms + drop_log_interval_ms;
  const auto& dropped = socket_.counters().dropped;
  for (std::size_t reason = 0; reason < dropped.size(); ++reason) {
    auto since_last = dropped[reason] - std::exchange(logged_drops_[reason], dropped[reason]);
    if (since_last == 0) continue;
    auto name = membership::name_of(static_cast<DropReason>(reason));
    log_(Level::warning, "fleet: datagrams dropped in the last minute, " + std::string(name) + ": " +
                             std::to_string(since_last));
  }
  if (!socket_.is_open()) log_(Level::error, "fleet: still without its address: " + bind_error_);
}

// --- Figures --------------------------------------------------------------------------------------------

std::vector<std::pair<std::string, double>> FleetCoordinator::metrics() const {
  if (disabled_) return {};
  double now_ms = clock_.now();
  std::array<int, std::size(status_names)> by_status{};
  for (auto peer : members_.members()) ++by_status[static_cast<std::size_t>(members_.status(peer, now_ms))];
  const auto& socket = socket_.counters();
  auto total = [](std::uint64_t count) { return static_cast<double>(count); };
  std::vector<std::pair<std::string, double>> metrics{{"fleet.alive", by_status[0]},
                                                      {"fleet.suspected", by_status[1]},
                                                      {"fleet.gone", by_status[2]},
                                                      {"fleet.address", socket_.is_open()},
                                                      {"fleet.agreed", limits_.in_force()},
                                                      {"fleet.servers_held", total(ejected_.size())},
                                                      {"fleet.sent", total(socket.sent)},
                                                      {"fleet.sent_bytes", total(socket.sent_bytes)},
                                                      {"fleet.came", total(socket.received)},
                                                      {"fleet.came_bytes", total(socket.received_bytes)},
                                                      {"fleet.unsent", total(socket.unsent)},
                                                      {"fleet.asks", total(counters_.lease_requests)},
                                                      {"fleet.grants", total(counters_.leases_received)},
                                                      {"fleet.answers", total(counters_.lease_answers)},
                                                      {"fleet.held_back", total(lease_datagrams_.refused())},
                                                      {"fleet.turned_away", total(counters_.rejected)}};
  for (std::size_t reason = 0; reason < socket.dropped.size(); ++reason) {
    std::string name("fleet.dropped.");
    for (char c : membership::name_of(static_cast<DropReason>(reason))) name += c == ' ' ? '_' : c;
    metrics.emplace_back(name, total(socket.dropped[reason]));
  }
  append_limit_figures(metrics, now_ms);
  return metrics;
}

void FleetCoordinator::append_limit_figures(std::vector<std::pair<std::string, double>>& metrics,
                                            double now_ms) const {
  for (int i = 0; i < limits_.size(); ++i) {
    const auto& quota = limits_.quota(i);
    auto prefix = "fleet.limit." + limits_.limit(i).name + ".";
    metrics.emplace_back(prefix + "right", quota.available_rate(now_ms));
    metrics.emplace_back(prefix + "lent", quota.lent(now_ms));
    metrics.emplace_back(prefix + "borrowed", quota.borrowed(now_ms));
    metrics.emplace_back(prefix + "asked_for", quota.demand(now_ms));
  }
}

}  // namespace meadowgauge::program
