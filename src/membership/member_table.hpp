// The members of a fleet and their newest states. Values without I/O; times are ms by the caller's clock.
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

// Intervals of gossip, and the ages at which a member counts as suspected or gone.
struct GossipTiming {
  double interval_ms = 200;  // between two rounds of gossip
  int fanout = 4;            // datagrams in one round, each to another member
  // Ages of the newest state, for fleets of up to 100 instances; larger fleets scale them in proportion.
  double suspected_after_ms = 1500;
  double gone_after_ms = 5000;
};

// By the age of a member's newest state. Instances may differ on it: no invariant depends on agreement.
enum class MemberStatus : std::uint8_t { alive, suspected, gone };

// Whether a datagram or a state is newer than what is known of its origin.
enum class Freshness : std::uint8_t {
  fresh,
  earlier_incarnation,
  duplicate  // also: older than the window, or from an unlisted member
};

// Gossip membership: each instance periodically sends its own state and the newest states of others to a few
// members, so that a state reaches n members in about log n rounds.
//
// incarnation  ms of Unix time at the member's start; a higher one replaces all that is known of a lower one
// heartbeat    counts the states of one incarnation; of two states the higher one is newer
// age          time since the origin made the state; a forwarded state keeps its age
// suspicion    the age alone: alive below `suspected_after_ms`, gone from `gone_after_ms` on
//
// There is no vote and no refutation: a newer state makes a suspected member alive again.
// docs/design/membership.md
//
// A PeerIndex argument must come from find() or members(), and its member must still be listed.
class MemberTable {
 public:
  // `incarnation`: ms of Unix time at this start. `seed` determines the order of gossip targets.
  MemberTable(std::string self, std::uint64_t incarnation, const GossipTiming& timing, std::uint64_t seed);

  // Replaces the list of members. This instance's own name is ignored.
  void set_members(const std::vector<std::string>& names);

  // No value for an unlisted name and for this instance's own name.
  [[nodiscard]] std::optional<PeerIndex> find(std::string_view name) const;
  [[nodiscard]] std::vector<PeerIndex> members() const;              // without this instance, by index
  [[nodiscard]] std::size_t slots() const { return peers_.size(); }  // bound of all indices
  [[nodiscard]] const std::string& name(PeerIndex peer) const { return at(peer).name; }
  // The newest state; empty before the first one.
  [[nodiscard]] const MemberState& state(PeerIndex peer) const { return at(peer).state; }
  // Age of the newest state; infinite where there is none.
  [[nodiscard]] double age_ms(PeerIndex peer, double now_ms) const;
  // `gone` where no state was received.
  [[nodiscard]] MemberStatus status(PeerIndex peer, double now_ms) const;
  [[nodiscard]] int alive_count(double now_ms) const;  // without this instance

  // Classifies a datagram received from `peer`, and records a fresh one.
  Freshness accept_datagram(PeerIndex peer, std::uint64_t incarnation, std::uint64_t sequence, double now_ms);
  // How much longer an accepted datagram took than the fastest one of its sender, in ms, with the time in
  // this process's socket while the process was paused. `sent_at_ms` is by the sender's clock since its
  // start.
  double transit_delay_ms(PeerIndex peer, double sent_at_ms, double now_ms);
  // Takes a state from its origin or from a member that forwards it.
  Freshness merge(const MemberState& state, double now_ms);

  // One round of gossip: its targets, this instance's own state, and the states for each datagram.
  std::vector<PeerIndex> next_targets();
  MemberState next_own_state(const std::vector<Quota>& lendable, std::uint64_t config_digest);
  std::vector<MemberState> states_to_gossip(const MemberState& own, double now_ms);
  // Reports that the first `states` of the last states_to_gossip() fitted into a datagram. The next datagram
  // continues after them.
  void gossip_sent(std::size_t states);

  // The first invariant that does not hold. For tests, after every step.
  [[nodiscard]] std::optional<BrokenInvariant> broken_invariant() const;

 private:
  struct Peer {
    std::string name{};  // empty: the index is unused
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;         // the highest received
    std::uint64_t received_window = 0;  // bit k: sequence - k was received
    bool known = false;                 // whether `state` holds a received state
    MemberState state{};
    double made_at_ms = 0;  // when the origin made the state, by this instance's clock
    // Minimum of receive time less send time, and when it was last updated.
    double min_offset_ms = 0;
    std::optional<double> min_offset_at_ms{};
  };
  [[nodiscard]] const Peer& at(PeerIndex peer) const { return peers_[slot(peer)]; }
  Peer& at(PeerIndex peer) { return peers_[slot(peer)]; }
  [[nodiscard]] static std::optional<BrokenInvariant> broken_invariant(const Peer& peer);
  [[nodiscard]] bool is_gone(const Peer& peer, double now_ms) const;
  // False for an earlier incarnation than the current one.
  bool accept_incarnation(Peer& peer, std::uint64_t incarnation, double now_ms);
  void shuffle_targets();

  std::string self_;
  std::uint64_t incarnation_;
  std::uint64_t heartbeat_ = 0;
  std::uint64_t random_state_;
  GossipTiming timing_;
  double time_scale_ = 1;  // multiplies the configured ages in fleets of over 100 instances
  std::vector<Peer> peers_;
  std::map<std::string, PeerIndex, std::less<>> by_name_;
  std::vector<PeerIndex> target_order_;  // of the current cycle over all members
  std::size_t next_target_ = 0;
  std::size_t next_forwarded_ = 0;     // slot of the next state to forward
  std::vector<PeerIndex> forwarding_;  // origins of the last states_to_gossip(), without this instance
};

}  // namespace meadowgauge::membership
