// The members of a fleet and their newest states. No I/O; times are in ms by the caller's clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/broken_invariant.hpp"
#include "membership/datagram.hpp"
#include "membership/peer.hpp"

namespace meadowgauge::membership {

// The gossip interval and fanout, and the ages at which a member counts as suspected or gone.
struct GossipTiming {
  double interval_ms = 200;  // between two rounds of gossip
  int fanout = 4;            // datagrams in one round, each to a different member
  // Ages of the newest state, for fleets of up to 100 instances. In larger fleets they grow in proportion to
  // the number of instances.
  double suspected_after_ms = 1500;
  double gone_after_ms = 5000;
};

// Status of a member by the age of its newest state. Instances may disagree on a member's status; no
// invariant depends on agreement.
enum class MemberStatus : std::uint8_t { alive, suspected, gone };

// Whether a received datagram or state is new, or why it is dropped.
enum class Freshness : std::uint8_t {
  fresh,
  earlier_incarnation,
  duplicate  // or older than the window, or about an unlisted member
};

// Gossip membership: each instance periodically sends its own state and the newest states of others to a few
// members, so that a state reaches n members in about log n rounds.
//
// incarnation  start time in ms of Unix time; a higher incarnation replaces all data of a lower one
// heartbeat    number of a state within its incarnation; a state with a higher number is newer
// age          time since the origin made the state; forwarding does not reset the age
// status       by the age alone: alive below `suspected_after_ms`, gone at `gone_after_ms` and above
//
// Members do not vote on a status and do not refute a suspicion: a newer state makes a suspected member alive
// again.
// docs/design/membership.md
//
// A PeerIndex argument must come from find() or members(), and the member must still be listed.
class MemberTable {
 public:
  // `self` is this instance's name, `incarnation` its start time in ms of Unix time. `seed` determines the
  // order of gossip targets.
  MemberTable(std::string self, std::uint64_t incarnation, const GossipTiming& timing, std::uint64_t seed);

  // Replaces the list of members. Ignores this instance's own name.
  void set_members(const std::vector<std::string>& names);

  // Returns no value for an unlisted name and for this instance's own name.
  [[nodiscard]] std::optional<PeerIndex> find(std::string_view name) const;
  [[nodiscard]] std::vector<PeerIndex> members() const;              // without this instance, in index order
  [[nodiscard]] std::size_t slots() const { return peers_.size(); }  // all indices are below this
  [[nodiscard]] const std::string& name(PeerIndex peer) const { return at(peer).name; }
  // The newest state; empty if none was received.
  [[nodiscard]] const MemberState& state(PeerIndex peer) const { return at(peer).state; }
  // Age of the newest state; infinite if none was received.
  [[nodiscard]] double age_ms(PeerIndex peer, double now_ms) const;
  // Returns `gone` if no state was received.
  [[nodiscard]] MemberStatus status(PeerIndex peer, double now_ms) const;
  [[nodiscard]] int alive_count(double now_ms) const;  // without this instance

  // Classifies a datagram received from `peer`. Records the sequence number of a fresh datagram.
  Freshness accept_datagram(PeerIndex peer, std::uint64_t incarnation, std::uint64_t sequence, double now_ms);
  // Returns how much longer an accepted datagram took than the sender's fastest datagram, in ms. Includes the
  // time that it waited in this process's socket, for example while the process was paused. `sent_at_ms` is
  // the time since the sender's start by the sender's clock.
  double transit_delay_ms(PeerIndex peer, double sent_at_ms, double now_ms);
  // Merges a state received from its origin or from a member that forwards it.
  Freshness merge(const MemberState& state, double now_ms);

  // For each round of gossip: the targets, this instance's own state, and the states for each datagram.
  std::vector<PeerIndex> next_targets();
  MemberState next_own_state(const std::vector<Quota>& lendable, std::uint64_t config_digest);
  std::vector<MemberState> states_to_gossip(const MemberState& own, double now_ms);
  // Records that the first `states` entries of the last states_to_gossip() fitted into a datagram. The next
  // datagram continues after them.
  void gossip_sent(std::size_t states);

  // Returns the first violated invariant, if any. Tests call it after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant() const;

 private:
  struct Peer {
    std::string name{};  // empty: the index is unused
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;         // highest received
    std::uint64_t received_window = 0;  // bit k: sequence - k was received
    bool has_state = false;             // whether `state` holds a received state
    MemberState state{};
    double made_at_ms = 0;  // when the origin made the state, by this instance's clock
    // Minimum of receive time - send time, and the time of its last update.
    double min_offset_ms = 0;
    std::optional<double> min_offset_at_ms{};
  };
  [[nodiscard]] const Peer& at(PeerIndex peer) const { return peers_[slot(peer)]; }
  Peer& at(PeerIndex peer) { return peers_[slot(peer)]; }
  [[nodiscard]] static std::optional<BrokenInvariant> broken_invariant(const Peer& peer);
  [[nodiscard]] bool is_gone(const Peer& peer, double now_ms) const;
  // Makes `incarnation` the current one; returns false if it is earlier and the current one is not gone.
  bool accept_incarnation(Peer& peer, std::uint64_t incarnation, double now_ms);
  void shuffle_targets();

  std::string self_;
  std::uint64_t incarnation_;
  std::uint64_t heartbeat_ = 0;
  std::uint64_t random_state_;
  GossipTiming timing_;
  double age_scale_ = 1;  // factor on the configured ages; above 1 in fleets of over 100 instances
  std::vector<Peer> peers_;
  std::map<std::string, PeerIndex, std::less<>> by_name_;
  std::vector<PeerIndex> target_order_;  // order of the targets in the current cycle over all members
  std::size_t next_target_ = 0;
  std::size_t next_forwarded_slot_ = 0;       // slot of the next state to forward
  std::vector<PeerIndex> forwarded_origins_;  // origins of the last states_to_gossip(), without this one
};

}  // namespace meadowgauge::membership
