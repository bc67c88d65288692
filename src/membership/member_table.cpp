#include "membership/member_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace meadowgauge::membership {

namespace {

constexpr double unscaled_fleet_size = 100;  // number of instances up to which the configured ages apply
constexpr std::uint64_t sequence_window_size = 64;  // recent sequence numbers checked for duplicates
constexpr double max_clock_drift_ratio = 0.001;     // drift between two clocks / elapsed time
constexpr std::size_t max_gossip_states = 64;       // more than fit into a datagram

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
  age_scale_ = std::max(1.0, static_cast<double>(by_name_.size() + 1) / unscaled_fleet_size);
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
  const auto& member = at(peer);
  return member.has_state ? std::max(0.0, now_ms - member.made_at_ms)
                          : std::numeric_limits<double>::infinity();
}

MemberStatus MemberTable::status(PeerIndex peer, double now_ms) const {
  double scaled_age_ms = age_ms(peer, now_ms) / age_scale_;
  if (scaled_age_ms < timing_.suspected_after_ms) return MemberStatus::alive;
  return scaled_age_ms < timing_.gone_after_ms ? MemberStatus::suspected : MemberStatus::gone;
}

int MemberTable::alive_count(double now_ms) const {
  int count = 0;
  for (auto peer : members())
    if (status(peer, now_ms) == MemberStatus::alive) ++count;
  return count;
}

bool MemberTable::is_gone(const Peer& peer, double now_ms) const {
  return !peer.has_state || now_ms - peer.made_at_ms >= timing_.gone_after_ms * age_scale_;
}

// If a member's clock was set back before a restart, its new incarnation is lower than the current one. The
// new incarnation is accepted once the current one counts as gone.
bool MemberTable::accept_incarnation(Peer& peer, std::uint64_t incarnation, double now_ms) {
  if (incarnation == peer.incarnation) return true;
  if (incarnation < peer.incarnation && !is_gone(peer, now_ms)) return false;
  peer = {.name = std::move(peer.name), .incarnation = incarnation};
  return true;
}

// Accepts reordered datagrams within the window of sequence numbers and rejects duplicates.
Freshness MemberTable::accept_datagram(PeerIndex peer, std::uint64_t incarnation, std::uint64_t sequence,
                                       double now_ms) {
  auto& sender = at(peer);
  if (!accept_incarnation(sender, incarnation, now_ms)) return Freshness::earlier_incarnation;
  if (sequence > sender.sequence) {
    auto ahead = sequence - sender.sequence;
    sender.received_window = ahead >= sequence_window_size ? 1 : sender.received_window << ahead | 1;
    sender.sequence = sequence;
    return Freshness::fresh;
  }
  auto behind = sender.sequence - sequence;
  if (behind >= sequence_window_size || (sender.received_window >> behind & 1)) return Freshness::duplicate;
  sender.received_window |= std::uint64_t{1} << behind;
  return Freshness::fresh;
}

// Before the comparison, raises the minimum offset by the possible clock drift since its last update.
double MemberTable::transit_delay_ms(PeerIndex peer, double sent_at_ms, double now_ms) {
  auto& sender = at(peer);
  double offset_ms = now_ms - sent_at_ms;
  double min_offset_ms = offset_ms;
  if (sender.min_offset_at_ms) {
    double max_drift_ms = (now_ms - *sender.min_offset_at_ms) * max_clock_drift_ratio;
    min_offset_ms = std::min(offset_ms, sender.min_offset_ms + max_drift_ms);
  }
  sender.min_offset_ms = min_offset_ms;
  sender.min_offset_at_ms = now_ms;
  return offset_ms - min_offset_ms;
}

// Dates a state by its age rather than its arrival, so that forwarding does not make it look newer.
Freshness MemberTable::merge(const MemberState& state, double now_ms) {
  auto peer = find(state.name);
  if (!peer) return Freshness::duplicate;
  auto& member = at(*peer);
  if (!accept_incarnation(member, state.incarnation, now_ms)) return Freshness::earlier_incarnation;
  if (member.has_state && state.heartbeat <= member.state.heartbeat) return Freshness::duplicate;
  member.state = state;
  member.made_at_ms = now_ms - state.age_ms;
  member.has_state = true;
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

// Cycles over all members in a new random order each cycle, so that no member waits longer than two cycles.
std::vector<PeerIndex> MemberTable::next_targets() {
  std::vector<PeerIndex> targets;
  for (int k = 0; k < timing_.fanout; ++k) {
    if (next_target_ >= target_order_.size()) shuffle_targets();
    if (next_target_ >= target_order_.size()) break;
    auto target = target_order_[next_target_++];
    if (std::find(targets.begin(), targets.end(), target) != targets.end())
      break;  // fewer members than the fanout
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

// Forwards the members' states round-robin over the datagrams. Sorting by age instead would starve the
// members from which states arrive rarely.
std::vector<MemberState> MemberTable::states_to_gossip(const MemberState& own, double now_ms) {
  std::vector<MemberState> states{own};
  forwarded_origins_.clear();
  for (std::size_t k = 0; k < peers_.size() && states.size() < max_gossip_states; ++k) {
    auto index = (next_forwarded_slot_ + k) % peers_.size();
    const auto& peer = peers_[index];
    if (peer.name.empty() || is_gone(peer, now_ms)) continue;
    states.push_back(peer.state);
    states.back().age_ms = std::max(0.0, now_ms - peer.made_at_ms);
    forwarded_origins_.push_back(peer_at(index));
  }
  return states;
}

void MemberTable::gossip_sent(std::size_t states) {
  if (states < 2 || states - 2 >= forwarded_origins_.size()) return;
  next_forwarded_slot_ = slot(forwarded_origins_[states - 2]) + 1;
}

std::optional<BrokenInvariant> MemberTable::broken_invariant() const {
  if (members().size() != by_name_.size())
    return BrokenInvariant{.invariant = Invariant::names_indexed_once,
                           .value = static_cast<double>(by_name_.size()),
                           .bound = static_cast<double>(members().size())};
  for (const auto& [name, peer] : by_name_)
    if (slot(peer) >= peers_.size() || at(peer).name != name)
      return BrokenInvariant{.invariant = Invariant::name_leads_to_its_slot,
                             .value = static_cast<double>(slot(peer)),
                             .bound = static_cast<double>(peers_.size()),
                             .member = name};
  if (by_name_.contains(self_))
    return BrokenInvariant{.invariant = Invariant::self_not_a_peer, .member = self_};
  for (const auto& peer : peers_)
    if (auto broken = broken_invariant(peer)) return broken;
  for (auto target : target_order_)
    if (slot(target) >= peers_.size() || at(target).name.empty())
      return BrokenInvariant{.invariant = Invariant::targets_listed,
                             .value = static_cast<double>(slot(target)),
                             .bound = static_cast<double>(peers_.size())};
  if (next_target_ > target_order_.size())
    return BrokenInvariant{.invariant = Invariant::next_target_within_cycle,
                           .value = static_cast<double>(next_target_),
                           .bound = static_cast<double>(target_order_.size())};
  return {};
}

std::optional<BrokenInvariant> MemberTable::broken_invariant(const Peer& peer) {
  if (peer.name.empty() && (peer.has_state || peer.sequence > 0))
    return BrokenInvariant{.invariant = Invariant::free_slot_empty,
                           .value = static_cast<double>(peer.sequence),
                           .member = peer.state.name};
  if (peer.sequence > 0 && !(peer.received_window & 1))
    return BrokenInvariant{.invariant = Invariant::highest_sequence_received,
                           .value = static_cast<double>(peer.sequence),
                           .member = peer.name};
  if (!peer.has_state) return {};
  if (peer.state.name != peer.name)
    return BrokenInvariant{.invariant = Invariant::state_matches_member, .member = peer.name};
  if (peer.state.incarnation != peer.incarnation)
    return BrokenInvariant{.invariant = Invariant::state_matches_incarnation,
                           .value = static_cast<double>(peer.state.incarnation),
                           .bound = static_cast<double>(peer.incarnation),
                           .member = peer.name};
  return {};
}

}  // namespace meadowgauge::membership
