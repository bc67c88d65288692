// Which instances of the fleet are alive: the newest state of each listed member, whom to send gossip to and
// which states to forward. Values without I/O; times are ms by the caller's clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/datagram.hpp"
#include "membership/peer.hpp"

namespace meadowgauge::membership {

// How often states are sent, and from which age on a member counts as suspected or gone.
struct GossipTiming {
  double interval_ms = 200;  // between two rounds of gossip
  int fanout = 4;            // datagrams in one round
  // Ages of the newest state; for fleets of up to 100 instances, in proportion above that.
  double suspected_after_ms = 1500;
  double gone_after_ms = 5000;
};

// By the age of a member's newest state. Each instance judges for itself: nothing rests on agreement.
enum class MemberStatus : std::uint8_t { alive, suspected, gone };

// Whether a datagram or a state is newer than what is known of its origin.
enum class Freshness : std::uint8_t {
  fresh,
  earlier_incarnation,
  duplicate  // or too old to tell, or of nobody that is listed
};

// What one instance knows of the others. A PeerIndex that it takes must be one that find() or members() gave
// and that is still listed.
class MemberTable {
 public:
  // `incarnation`: ms of Unix time, another at each start. `seed` is for the order of gossip targets.
  MemberTable(std::string self, std::uint64_t incarnation, const GossipTiming& timing, std::uint64_t seed);

  // Takes over the list of members as a whole; this instance among them is passed over.
  void set_members(const std::vector<std::string>& names);

  // Nothing for a name that is not listed, and for this instance's own.
  [[nodiscard]] std::optional<PeerIndex> find(std::string_view name) const;
  [[nodiscard]] std::vector<PeerIndex> members() const;  // all that are listed but this one, by index
  [[nodiscard]] std::size_t slots() const { return peers_.size(); }  // all indices are below
  [[nodiscard]] const std::string& name(PeerIndex peer) const { return at(peer).name; }
  // The newest that has come; empty before the first.
  [[nodiscard]] const MemberState& state(PeerIndex peer) const { return at(peer).state; }
  // Of the newest state; infinite where there is none.
  [[nodiscard]] double age_ms(PeerIndex peer, double now_ms) const;
  // Gone where no state has ever come.
  [[nodiscard]] MemberStatus status(PeerIndex peer, double now_ms) const;
  [[nodiscard]] int alive_count(double now_ms) const;  // this one not among them

  // Whether a datagram that has come from `peer` counts.
  Freshness accept_datagram(PeerIndex peer, std::uint64_t incarnation, std::uint64_t sequence, double now_ms);
  // How much longer than the quickest datagram of its sender an accepted one took, in ms. Time in our own
  // socket while this process was paused counts. `sent_at_ms` is by the sender's clock since its start.
  double transit_delay_ms(PeerIndex peer, double sent_at_ms, double now_ms);
  // Takes in a state, first hand or forwarded.
  Freshness merge(const MemberState& state, double now_ms);

  // The next round of gossip: to whom, this instance's own state, and for each datagram the states in it.
  std::vector<PeerIndex> next_targets();
  MemberState next_own_state(const std::vector<Quota>& lendable, std::uint64_t config_digest);
  std::vector<MemberState> states_to_gossip(const MemberState& own, double now_ms);
  // So many of the last states_to_gossip() were sent, the own one among them: the next datagram goes on after
  // them.
  void gossip_sent(std::size_t states);

  // Empty where all invariants hold, otherwise what is broken. For tests, after every step.
  [[nodiscard]] std::string broken_invariant() const;

 private:
  struct Peer {
    std::string name{};  // empty: nobody has this index
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;         // the highest received
    std::uint64_t received_window = 0;  // bit k: sequence - k was received
    bool known = false;                 // there is a state
    MemberState state{};
    double made_at_ms = 0;  // when the state was made, by our clock
    // The least that our clock has been ahead of the sender's timestamps, and when that was last known.
    double least_offset_ms = 0;
    std::optional<double> least_offset_at_ms{};
  };
  [[nodiscard]] const Peer& at(PeerIndex peer) const { return peers_[slot(peer)]; }
  Peer& at(PeerIndex peer) { return peers_[slot(peer)]; }
  [[nodiscard]] bool is_gone(const Peer& peer, double now_ms) const;
  // False: it is an earlier incarnation than the one that counts.
  bool accept_incarnation(Peer& peer, std::uint64_t incarnation, double now_ms);
  void shuffle_targets();

  std::string self_;
  std::uint64_t incarnation_;
  std::uint64_t heartbeat_ = 0;
  std::uint64_t random_state_;
  GossipTiming timing_;
  double time_scale_ = 1;  // of the stated ages, by the fleet's size
  std::vector<Peer> peers_;
  std::map<std::string, PeerIndex, std::less<>> by_name_;
  std::vector<PeerIndex> target_order_;  // of the present lap
  std::size_t next_target_ = 0;
  std::size_t next_forwarded_ = 0;     // the slot whose state is forwarded next
  std::vector<PeerIndex> forwarding_;  // whose states the last states_to_gossip() held
};

}  // namespace meadowgauge::membership
