// The datagram format and the member table: truncated, changed and random bytes; earlier incarnations,
// duplicates and delays; fleets of 3, 30 and 300 instances in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>
#include <random>
#include <variant>

#include "fixtures/fleet_datagrams.hpp"
#include "membership/datagram.hpp"
#include "membership/member_table.hpp"

namespace meadowgauge::membership {
namespace {

constexpr PeerIndex b1{0};

Datagram sample_datagram() {
  auto datagram = test::datagram_from_b0(DatagramKind::lease_request);
  datagram.members = test::two_member_states(test::other_config_digest);
  datagram.quotas = test::two_quotas();
  return datagram;
}

// Returns the kind of error in `bytes`; no value if they are a valid datagram.
std::optional<DatagramError::Kind> error_in(std::string_view bytes) {
  auto result = decode_datagram(bytes);
  if (const auto* error = std::get_if<DatagramError>(&result)) return error->kind;
  return {};
}

constexpr auto malformed = DatagramError::Kind::malformed;
constexpr auto out_of_range = DatagramError::Kind::out_of_range;

TEST(Datagrams, DecodingRestoresTheEncodedFields) {
  auto sent = sample_datagram();
  auto encoded = encode_datagram(sent);
  EXPECT_EQ(encoded.member_count, 2u);
  auto back = test::decode_or_fail(encoded.bytes);
  EXPECT_EQ(back.from, "b0");
  EXPECT_EQ(back.config_digest, sent.config_digest);
  EXPECT_EQ(back.kind, DatagramKind::lease_request);
  EXPECT_EQ(back.sent_at_ms, 1234.5);
  EXPECT_EQ(back.quotas, sent.quotas);
  ASSERT_EQ(back.members.size(), 2u);
  EXPECT_EQ(back.members[0].lendable, sent.members[0].lendable);
  EXPECT_EQ(back.members[0].config_digest, 1u);
  test::expect_states_of_b1(back.members[1]);
}

TEST(Datagrams, StatesBeyondTheSizeLimitAreLeftOut) {
  auto sent = sample_datagram();
  sent.members.resize(60, sent.members[0]);
  auto encoded = encode_datagram(sent);
  EXPECT_LE(encoded.bytes.size(), max_datagram_bytes);
  EXPECT_GT(encoded.member_count, 30u);
  EXPECT_LT(encoded.member_count, 60u);
  EXPECT_EQ(test::decode_or_fail(encoded.bytes).members.size(), encoded.member_count);
}

TEST(Datagrams, TruncatedOrChangedBytesAreMalformed) {
  auto bytes = encode_datagram(sample_datagram()).bytes;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    EXPECT_EQ(error_in(bytes.substr(0, n)), malformed) << n;
    auto other = bytes;
    other[n] = static_cast<char>(other[n] ^ (1 << (n % 8)));
    EXPECT_EQ(error_in(other), malformed) << n;
  }
}

// The checksum is valid, so the decoder must check the fields themselves.
TEST(Datagrams, FieldsOutOfRangeAreRejected) {
  auto with = [&](auto change) {
    auto datagram = sample_datagram();
    change(datagram);
    return error_in(encode_datagram(datagram).bytes);
  };
  EXPECT_EQ(with([](Datagram& d) { d.quotas[0].rate = std::nan(""); }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.quotas[0].rate = -1; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.quotas[0].rate = 1e300; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.quotas[0].limit = 32; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.quotas[0].limit = -1; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.members[1].age_ms = 60001; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.sent_at_ms = -1; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.members[1].observations[0].age_ms = 60001; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.members[1].unhealthy_share = 2; }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.members[1].observations.resize(9); }), malformed);
  EXPECT_EQ(with([](Datagram& d) { d.kind = static_cast<DatagramKind>(7); }), out_of_range);
  EXPECT_EQ(with([](Datagram& d) { d.from = std::string(49, 'x'); }), malformed);
  EXPECT_EQ(with([](Datagram& d) { d.from = ""; }), malformed);
  std::mt19937 rng(3);
  for (int k = 0; k < 20000; ++k) {  // random bytes with a valid checksum
    std::string bytes(8 + rng() % 80, '\0');
    for (auto& c : bytes) c = static_cast<char>(rng());
    auto checksum = digest(std::string_view(bytes).substr(8));
    for (std::size_t i = 0; i < 8; ++i) bytes[i] = static_cast<char>(checksum >> (8 * i));
    EXPECT_TRUE(error_in(bytes));
  }
}

TEST(Datagrams, ErrorNamesTheFieldAndItsValue) {
  auto datagram = sample_datagram();
  datagram.members[1].age_ms = 60001;
  auto result = decode_datagram(encode_datagram(datagram).bytes);
  const auto* error = std::get_if<DatagramError>(&result);
  ASSERT_NE(error, nullptr);
  EXPECT_EQ(error->field, "member.age_ms");
  EXPECT_EQ(error->value, 60001);
}

MemberTable table_of(int n, int own_index, const GossipTiming& timing = {}) {
  std::vector<std::string> names;
  for (int i = 0; i < n; ++i) names.push_back("b" + std::to_string(i));
  MemberTable r(names[static_cast<std::size_t>(own_index)], 1796000000000, timing,
                static_cast<std::uint64_t>(own_index));
  r.set_members(names);
  return r;
}

TEST(MemberTables, DuplicatesAndEarlierIncarnationsAreDropped) {
  auto r = table_of(3, 0);
  EXPECT_EQ(r.accept_datagram(b1, 50, 10, 0), Freshness::fresh);
  EXPECT_EQ(r.accept_datagram(b1, 50, 10, 0), Freshness::duplicate);
  EXPECT_EQ(r.accept_datagram(b1, 50, 8, 0), Freshness::fresh);  // reordered in transit
  EXPECT_EQ(r.accept_datagram(b1, 50, 8, 0), Freshness::duplicate);
  EXPECT_EQ(r.accept_datagram(b1, 50, 100, 0), Freshness::fresh);
  EXPECT_EQ(r.accept_datagram(b1, 50, 30, 0), Freshness::duplicate);  // older than the window
  EXPECT_EQ(r.merge({.name = "b1", .incarnation = 60, .heartbeat = 1, .lendable = {}}, 0), Freshness::fresh);
  EXPECT_EQ(r.accept_datagram(b1, 50, 101, 1), Freshness::earlier_incarnation);
  EXPECT_EQ(r.accept_datagram(b1, 60, 1, 1), Freshness::fresh);
  // After a clock was set back before a restart, the lower incarnation is accepted once the higher one is
  // gone.
  EXPECT_EQ(r.merge({.name = "b1", .incarnation = 55, .heartbeat = 1, .lendable = {}}, 4000),
            Freshness::earlier_incarnation);
  EXPECT_EQ(r.merge({.name = "b1", .incarnation = 55, .heartbeat = 1, .lendable = {}}, 5001),
            Freshness::fresh);
}

TEST(MemberTables, StateAgeCountsFromItsCreation) {
  auto r = table_of(3, 0);
  EXPECT_EQ(r.status(b1, 0), MemberStatus::gone);
  r.merge({.name = "b1", .incarnation = 1, .heartbeat = 5, .age_ms = 1000, .lendable = {}}, 10000);
  EXPECT_EQ(r.status(b1, 10499), MemberStatus::alive);
  EXPECT_EQ(r.status(b1, 10500), MemberStatus::suspected);
  EXPECT_EQ(r.status(b1, 14000), MemberStatus::gone);
  // A state that a paused member forwards late does not become younger.
  EXPECT_EQ(r.merge({.name = "b1", .incarnation = 1, .heartbeat = 5, .age_ms = 0, .lendable = {}}, 20000),
            Freshness::duplicate);
  EXPECT_EQ(r.merge({.name = "b1", .incarnation = 1, .heartbeat = 4, .age_ms = 0, .lendable = {}}, 20000),
            Freshness::duplicate);
  EXPECT_EQ(r.status(b1, 20000), MemberStatus::gone);
  EXPECT_EQ(
      r.merge({.name = "stranger", .incarnation = 1, .heartbeat = 4, .age_ms = 0, .lendable = {}}, 20000),
      Freshness::duplicate);
  EXPECT_EQ(r.merge({.name = "b0", .incarnation = 9999, .heartbeat = 4, .age_ms = 0, .lendable = {}}, 20000),
            Freshness::duplicate);
}

TEST(MemberTables, TransitDelayIsRelativeToFastestDatagram) {
  auto r = table_of(3, 0);
  r.accept_datagram(b1, 50, 1, 1000);
  EXPECT_EQ(r.transit_delay_ms(b1, 100, 1000), 0);
  EXPECT_NEAR(r.transit_delay_ms(b1, 300, 1260), 60, 1);
  EXPECT_NEAR(r.transit_delay_ms(b1, 400, 1290), 0, 1);        // the fastest so far
  EXPECT_NEAR(r.transit_delay_ms(b1, 500, 11390), 10000, 11);  // this process was paused
  r.accept_datagram(b1, 60, 1, 12000);                         // a new incarnation starts a new minimum
  EXPECT_EQ(r.transit_delay_ms(b1, 5, 12000), 0);
}

TEST(MemberTables, MemberListIsReplacedAsAWhole) {
  auto r = table_of(3, 0);
  auto one = r.find("b1");
  auto two = r.find("b2");
  ASSERT_TRUE(one && two);
  r.merge({.name = "b2", .incarnation = 1, .heartbeat = 5, .age_ms = 0, .lendable = {}}, 0);
  r.set_members({"b0", "b2", "b7"});
  EXPECT_EQ(r.find("b2"), two);
  EXPECT_EQ(r.status(*two, 0), MemberStatus::alive);
  EXPECT_EQ(r.find("b1"), std::nullopt);
  EXPECT_EQ(r.find("b7"), one);  // the index is reused without the previous member's state
  EXPECT_EQ(r.status(*one, 0), MemberStatus::gone);
  EXPECT_EQ(describe(r.broken_invariant()), "");
  for (int k = 0; k < 100; ++k) {
    r.set_members({"x" + std::to_string(k), "y"});
    ASSERT_EQ(describe(r.broken_invariant()), "");
  }
  EXPECT_LE(r.slots(), 3u);
}

// Runs rounds of gossip in simulated time and drops a share of the datagrams.
struct SimulatedGossip {
  SimulatedGossip(int n, double lost_share) : lost_share(lost_share) {
    for (int i = 0; i < n; ++i) all.push_back(table_of(n, i));
  }
  // One round in which the instance with index `silent` sends nothing.
  void round(int silent = -1) {
    now_ms += 200;
    for (std::size_t i = 0; i < all.size(); ++i)
      if (static_cast<int>(i) != silent) gossip(i);
    for (const auto& table : all) ASSERT_EQ(describe(table.broken_invariant()), "");
  }
  void gossip(std::size_t i) {
    auto own = all[i].next_own_state({{0, 1.25}}, 5);
    for (auto to : all[i].next_targets()) {
      Datagram datagram{.from = "b" + std::to_string(i),
                        .incarnation = 1796000000000,
                        .sequence = ++sequence,
                        .config_digest = 5,
                        .members = all[i].states_to_gossip(own, now_ms),
                        .quotas = {}};
      auto encoded = encode_datagram(datagram);
      all[i].gossip_sent(encoded.member_count);
      ++datagrams;
      sent_bytes += encoded.bytes.size();
      if (std::uniform_real_distribution<>()(rng) < lost_share) continue;
      auto& peer = all[static_cast<std::size_t>(std::stoi(all[i].name(to).substr(1)))];
      for (const auto& state : test::decode_or_fail(encoded.bytes).members) peer.merge(state, now_ms);
    }
  }
  std::vector<MemberTable> all;
  double lost_share;
  double now_ms = 0;
  std::uint64_t sequence = 0;
  std::uint64_t datagrams = 0;
  std::size_t sent_bytes = 0;
  std::mt19937 rng{5};
};

TEST(MemberTables, LoadIsBoundedAndAllAreSeenAlive) {
  for (int n : {3, 30, 300}) {
    SimulatedGossip r(n, 0.1);
    for (int k = 0; k < 20; ++k) r.round();
    std::size_t bytes_before = r.sent_bytes;
    std::uint64_t datagrams_before = r.datagrams;
    int pairs = 0;
    int not_alive = 0;
    double max_age_ms = 0;
    for (int k = 0; k < 3; ++k) {
      r.round();
      for (auto& one : r.all)
        for (auto peer : one.members()) {
          ++pairs;
          not_alive += one.status(peer, r.now_ms) != MemberStatus::alive ? 1 : 0;
          max_age_ms = std::max(max_age_ms, one.age_ms(peer, r.now_ms));
        }
    }
    double seconds = 0.6 * n;
    std::printf(
        "[ figures  ] %d instances: %.1f datagrams and %.0f bytes a second each; oldest state %.0f ms; %d of "
        "%d "
        "not seen alive\n",
        n, static_cast<double>(r.datagrams - datagrams_before) / seconds,
        static_cast<double>(r.sent_bytes - bytes_before) / seconds, max_age_ms, not_alive, pairs);
    EXPECT_LE(static_cast<double>(r.datagrams - datagrams_before) / seconds, 20.5);
    EXPECT_LE(static_cast<double>(r.sent_bytes - bytes_before) / seconds, 20.5 * max_datagram_bytes);
    EXPECT_LT(not_alive, pairs / 1000 + 1);
  }
}

TEST(MemberTables, StoppedMemberIsGoneForAllWithinTimeout) {
  SimulatedGossip r(30, 0.1);
  for (int k = 0; k < 20; ++k) r.round();
  for (int k = 0; k < 27; ++k) r.round(7);
  for (std::size_t i = 0; i < r.all.size(); ++i)
    if (i != 7) {
      EXPECT_EQ(r.all[i].status(r.all[i].find("b7").value(), r.now_ms), MemberStatus::gone);
      EXPECT_EQ(r.all[i].alive_count(r.now_ms), 28);
    }
  // The member resumes with its next heartbeat.
  r.round();
  for (int k = 0; k < 4; ++k) r.round();
  for (std::size_t i = 0; i < r.all.size(); ++i)
    if (i != 7) {
      EXPECT_EQ(r.all[i].status(r.all[i].find("b7").value(), r.now_ms), MemberStatus::alive);
    }
}

}  // namespace
}  // namespace meadowgauge::membership
