#include "membership/member_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace meadowgauge::membership {

namespace {

constexpr double stated_fleet_size = 100;      // up to which the stated ages hold
constexpr std::uint64_t window_bits = 64;      // sequence numbers remembered one by one
constexpr double max_clock_drift = 0.001;      // by which two clocks may part, as a share of the time
constexpr std::size_t max_gossip_states = 64;  // more than fit into a datagram

}  // namespace

MemberTable::MemberTable(std::string self, std::uint64_t incarnation, const GossipTiming& timing,
                         std::uint64_t seed)
    : self_(std::move(self)), incarnation_(incarnation), random_state_(seed), timing_(timing) {}

void MemberTable::set_members(const std::vector<std::string>& names) {
  for (auto& peer : peers_) {
    if (peer.name.empty() || std::find(names.begin(), names.end(), peer.name) != names.end()) continue;
    by_name_.erase(peer.name);
    peer = {};
  }
  for (const auto& name : names) {
    if (name == self_ || by_name_.contains(name)) continue;
    auto free = std::find_if(peers_.begin(), peers_.end(), [](const Peer& p) { return p.name.empty(); });
    if (free == peers_.end()) free = peers_.insert(free, Peer{});
    free->name = name;
    by_name_[name] = peer_at(static_cast<std::size_t>(free - peers_.begin()));
  }
  target_order_.clear();
  next_target_ = 0;
  time_scale_ = std::max(1.0, static_cast<double>(by_name_.size() + 1) / stated_fleet_size);
}

std::optional<PeerIndex> MemberTable::find(std::string_view name) const {
  auto it = by_name_.find(name);
  if (it == by_name_.end()) return {};
  return it->second;
}

std::vector<PeerIndex> MemberTable::members() const {
  std::vector<PeerIndex> listed;
  for (std::size_t i = 0; i < peers_.size(); ++i)
    if (!peers_[i].name.empty()) listed.push_back(peer_at(i));
  return listed;
}

double MemberTable::age_ms(PeerIndex peer, double now_ms) const {
  const auto& p = at(peer);
  return p.known ? std::max(0.0, now_ms - p.made_at_ms) : std::numeric_limits<double>::infinity();
}

MemberStatus MemberTable::status(PeerIndex peer, double now_ms) const {
  double age = age_ms(peer, now_ms) / time_scale_;
  if (age < timing_.suspected_after_ms) return MemberStatus::alive;
  return age < timing_.gone_after_ms ? MemberStatus::suspected : MemberStatus::gone;
}

int MemberTable::alive_count(double now_ms) const {
  int count = 0;
  for (auto peer : members())
    if (status(peer, now_ms) == MemberStatus::alive) ++count;
  return count;
}

bool MemberTable::is_gone(const Peer& peer, double now_ms) const {
  return !peer.known || now_ms - peer.made_at_ms >= timing_.gone_after_ms * time_scale_;
}

// A clock that was set back before a restart makes an incarnation lower than the last one: it counts once the
// last one has been silent for long enough to be gone.
bool MemberTable::accept_incarnation(Peer& peer, std::uint64_t incarnation, double now_ms) {
  if (incarnation == peer.incarnation) return true;
  if (incarnation < peer.incarnation && !is_gone(peer, now_ms)) return false;
  peer = {.name = std::move(peer.name), .incarnation = incarnation};
  return true;
}

// Within the window a datagram that was overtaken still counts, and one that came twice does not.
Freshness MemberTable::accept_datagram(PeerIndex peer, std::uint64_t incarnation, std::uint64_t sequence,
                                       double now_ms) {
  auto& p = at(peer);
  if (!accept_incarnation(p, incarnation, now_ms)) return Freshness::earlier_incarnation;
  if (sequence > p.sequence) {
    auto ahead = sequence - p.sequence;
    p.received_window = ahead >= window_bits ? 1 : p.received_window << ahead | 1;
    p.sequence = sequence;
    return Freshness::fresh;
  }
  auto behind = p.sequence - sequence;
  if (behind >= window_bits || (p.received_window >> behind & 1)) return Freshness::duplicate;
  p.received_window |= std::uint64_t{1} << behind;
  return Freshness::fresh;
}

// The least offset may be too low by as much as the two clocks have drifted since.
double MemberTable::transit_delay_ms(PeerIndex peer, double sent_at_ms, double now_ms) {
  auto& p = at(peer);
  double offset = now_ms - sent_at_ms;
  double least = offset;
  if (p.least_offset_at_ms)
    least = std::min(offset, p.least_offset_ms + (now_ms - *p.least_offset_at_ms) * max_clock_drift);
  p.least_offset_ms = least;
  p.least_offset_at_ms = now_ms;
  return offset - least;
}

// A state's age counts from its making: one that was delayed on its way is no younger for coming now.
Freshness MemberTable::merge(const MemberState& state, double now_ms) {
  auto peer = find(state.name);
  if (!peer) return Freshness::duplicate;
  auto& p = at(*peer);
  if (!accept_incarnation(p, state.incarnation, now_ms)) return Freshness::earlier_incarnation;
  if (p.known && state.heartbeat <= p.state.heartbeat) return Freshness::duplicate;
  p.state = state;
  p.made_at_ms = now_ms - state.age_ms;
  p.known = true;
  return Freshness::fresh;
}

void MemberTable::shuffle_targets() {
  target_order_ = members();
  next_target_ = 0;
  for (std::size_t i = target_order_.size(); i > 1; --i) {
    random_state_ = random_state_ * 6364136223846793005U + 1442695040888963407U;
    std::swap(target_order_[i - 1], target_order_[(random_state_ >> 33) % i]);
  }
}

// Each in turn, in an order drawn anew for each lap: nobody waits longer than two laps.
std::vector<PeerIndex> MemberTable::next_targets() {
  std::vector<PeerIndex> targets;
  for (int k = 0; k < timing_.fanout; ++k) {
    if (next_target_ >= target_order_.size()) shuffle_targets();
    if (next_target_ >= target_order_.size()) break;
    auto target = target_order_[next_target_++];
    if (std::find(targets.begin(), targets.end(), target) != targets.end()) break;  // fewer than the fanout
    targets.push_back(target);
  }
  return targets;
}

MemberState MemberTable::next_own_state(const std::vector<Quota>& lendable, std::uint64_t config_digest) {
  return {.name = self_,
          .incarnation = incarnation_,
          .heartbeat = ++heartbeat_,
          .age_ms = 0,
          .config_digest = config_digest,
          .lendable = lendable};
}

// All members in turn, datagram by datagram. With the newest states first those that are seldom received
// starved: of 300 members a third was not seen.
std::vector<MemberState> MemberTable::states_to_gossip(const MemberState& own, double now_ms) {
  std::vector<MemberState> states{own};
  forwarding_.clear();
  for (std::size_t k = 0; k < peers_.size() && states.size() < max_gossip_states; ++k) {
    auto index = (next_forwarded_ + k) % peers_.size();
    const auto& peer = peers_[index];
    if (peer.name.empty() || is_gone(peer, now_ms)) continue;
    states.push_back(peer.state);
    states.back().age_ms = std::max(0.0, now_ms - peer.made_at_ms);
    forwarding_.push_back(peer_at(index));
  }
  return states;
}

void MemberTable::gossip_sent(std::size_t states) {
  if (states < 2 || states - 2 >= forwarding_.size()) return;
  next_forwarded_ = slot(forwarding_[states - 2]) + 1;
}

std::string MemberTable::broken_invariant() const {
  if (members().size() != by_name_.size()) return "the index by name does not hold each listed member once";
  for (const auto& [name, peer] : by_name_)
    if (slot(peer) >= peers_.size() || at(peer).name != name)
      return "a name leads to another's slot: " + name;
  if (by_name_.contains(self_)) return "this instance is its own peer";
  for (const auto& peer : peers_) {
    if (peer.name.empty() && (peer.known || peer.sequence > 0)) return "a free slot keeps a member's state";
    if (peer.sequence > 0 && !(peer.received_window & 1)) return "the highest sequence is not received";
    if (!peer.known) continue;
    if (peer.state.name != peer.name) return "a state of another member: " + peer.state.name;
    if (peer.state.incarnation != peer.incarnation) return "a state of another incarnation: " + peer.name;
  }
  for (auto target : target_order_)
    if (slot(target) >= peers_.size() || at(target).name.empty()) return "a gossip target is not listed";
  return next_target_ <= target_order_.size() ? "" : "the next gossip target is past the lap's end";
}

}  // namespace meadowgauge::membership
