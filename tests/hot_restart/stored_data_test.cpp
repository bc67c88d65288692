// Tests the compatibility of bytes that other processes of a balancer or other instances of a fleet read. The
// constants come from an earlier build; this build must read the same values from them and write the same
// bytes.
#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fixtures/fleet_datagrams.hpp"
#include "fleet/config.hpp"
#include "hot_restart/handover_snapshot.hpp"
#include "hot_restart/instance_locks.hpp"
#include "hot_restart/manual_drain_file.hpp"
#include "membership/datagram.hpp"

namespace meadowgauge {
namespace {

using membership::Datagram;
using membership::DatagramKind;

constexpr std::string_view gossip_hex =
    "bb0b09f38840c7a28a016262301b000001a229f12800071bfedcba987654321000fa449a5000008082866262301b000001a229f1"
    "28000300008200190e428f6262311b000001a229f1280109187801801819184d011828190190184e000900";
constexpr std::string_view lease_request_hex =
    "8f6d9568b0f1da268a016262301b000001a229f12800071bfedcba987654321001fa449a5000008400fa41440000181ffa3f0000"
    "0080";
constexpr std::string_view lease_grant_hex =
    "c5b94ffd43b6239f8a016262301b000001a229f12800071bfedcba987654321002fa449a50001b000001a229f128028400fa4144"
    "0000181ffa3f00000080";
constexpr std::string_view drains_text =
    "meadowgauge outs 1\n"
    "s 2\n"
    "s1\n"
    "server-3\n"
    "end 929e163652049029\n";
constexpr std::string_view snapshot_text =
    "meadowgauge lessons 1\n"
    "at 1796000000000\n"
    "baseline 12.5\n"
    "server.7.latency 0.10000000000000001\n"
    "end 429e9a431e4d60aa\n";
constexpr std::string_view one_drain_text = "meadowgauge outs 1\ns1\nend 6b35b712c4e731a3\n";

std::string hex(std::string_view bytes) {
  std::string text;
  char digits[3];
  for (unsigned char c : bytes) {
    std::snprintf(digits, sizeof digits, "%02x", c);
    text += digits;
  }
  return text;
}

std::string from_hex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(text.substr(i, 2)), nullptr, 16));
  return bytes;
}

Datagram stored_datagram(DatagramKind kind) {
  auto datagram = test::datagram_from_b0(kind);
  if (kind == DatagramKind::gossip)
    datagram.members = test::two_member_states(test::datagram_config_digest);
  else
    datagram.quotas = test::two_quotas();
  if (kind == DatagramKind::lease_grant) datagram.recipient_incarnation = 1796000000002;
  return datagram;
}

TEST(StoredData, EncodesDatagramsUnchanged) {
  auto gossip = membership::encode_datagram(stored_datagram(DatagramKind::gossip));
  EXPECT_EQ(hex(gossip.bytes), gossip_hex);
  EXPECT_EQ(gossip.member_count, 2U);
  auto request = membership::encode_datagram(stored_datagram(DatagramKind::lease_request));
  EXPECT_EQ(hex(request.bytes), lease_request_hex);
  auto grant = membership::encode_datagram(stored_datagram(DatagramKind::lease_grant));
  EXPECT_EQ(hex(grant.bytes), lease_grant_hex);
}

Datagram decoded(std::string_view text) { return test::decode_or_fail(from_hex(text)); }

TEST(StoredData, DecodesStoredDatagrams) {
  auto gossip = decoded(gossip_hex);
  EXPECT_EQ(gossip.kind, DatagramKind::gossip);
  EXPECT_EQ(gossip.from, "b0");
  EXPECT_EQ(gossip.incarnation, 1796000000000U);
  EXPECT_EQ(gossip.sequence, 7U);
  EXPECT_EQ(gossip.config_digest, 0xfedcba9876543210U);
  EXPECT_EQ(gossip.sent_at_ms, 1234.5);
  ASSERT_EQ(gossip.members.size(), 2U);
  EXPECT_EQ(gossip.members[0].config_digest, 0xfedcba9876543210U);
  ASSERT_EQ(gossip.members[0].lendable.size(), 1U);
  EXPECT_EQ(gossip.members[0].lendable[0].rate, 36.5);
  EXPECT_EQ(gossip.members[1].incarnation, 1796000000001U);
  EXPECT_EQ(gossip.members[1].heartbeat, 9U);
  EXPECT_EQ(gossip.members[1].config_digest, 1U);
  test::expect_states_of_b1(gossip.members[1]);
  auto request = decoded(lease_request_hex);
  EXPECT_EQ(request.kind, DatagramKind::lease_request);
  EXPECT_EQ(request.quotas, stored_datagram(DatagramKind::lease_request).quotas);
  EXPECT_EQ(request.recipient_incarnation, 0U);
  auto grant = decoded(lease_grant_hex);
  EXPECT_EQ(grant.kind, DatagramKind::lease_grant);
  EXPECT_EQ(grant.quotas, stored_datagram(DatagramKind::lease_grant).quotas);
  EXPECT_EQ(grant.recipient_incarnation, 1796000000002U);
}

TEST(StoredData, FleetConfigDigestIsUnchanged) {
  fleet::FleetConfig c;
  c.name = "b0";
  c.members = {{.name = "b1", .address = {}, .zone = {}, .region = {}, .weight = 2},
               {.name = "b0", .address = {}, .zone = {}, .region = {}, .weight = 1}};
  c.terms.limits = {{.name = "acme/*", .rate = 300, .burst = 60},
                    {.name = "*/view", .rate = 0.5, .burst = 8}};
  c.terms.lease_ms = 1000;
  c.terms.instances = 2;
  c.terms.share = 1.0 / 3;
  EXPECT_EQ(c.digest(), 16411661433908090201U);
  EXPECT_EQ(
      c.describe_bounds(),
      (std::vector<std::string>{
          "limit acme/*: over any W ms the fleet admits at most 0.3 * W + 60; alone, this instance goes on "
          "with 100 a second, 1010 ms after a cut or a start at the latest; at rest it holds 15 of the burst",
          "limit */view: over any W ms the fleet admits at most 0.0005 * W + 8; alone, this instance goes "
          "on with 0.1666666667 a second, 1010 ms after a cut or a start at the latest; at rest it holds 2 "
          "of the burst"}));
}

TEST(StoredData, ManualDrainsAndSnapshotAreUnchanged) {
  std::set<std::string> names{"s 2", "s1", "server-3"};
  auto decoded = hot_restart::decode_drains(drains_text);
  ASSERT_TRUE(std::holds_alternative<std::set<std::string>>(decoded));
  EXPECT_EQ(std::get<std::set<std::string>>(decoded), names);
  EXPECT_EQ(hot_restart::encode_drains(names), drains_text);
  LearnedState learned{{"baseline", 12.5}, {"server.7.latency", 0.1}};
  EXPECT_EQ(hot_restart::encode_snapshot(learned, 1796000000000), snapshot_text);
  auto snapshot = hot_restart::decode_snapshot(snapshot_text, 1796000001000, 5000);
  ASSERT_TRUE(std::holds_alternative<LearnedState>(snapshot));
  EXPECT_EQ(std::get<LearnedState>(snapshot), learned);
}

TEST(StoredData, FileNamesAndContentsAreUnchanged) {
  std::string folder = (std::filesystem::temp_directory_path() / "meadowgauge_stored.XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  auto content = [&](const std::string& name) {
    std::ifstream file(std::filesystem::path(folder) / name, std::ios::binary);
    return file ? std::string(std::istreambuf_iterator<char>(file), {}) : std::string("absent");
  };
  {
    hot_restart::StateDirectory directory(folder, "n 0");
    hot_restart::InstanceLocks locks(directory);
    EXPECT_EQ(content("meadowgauge.n_0.seat.1"), "");
    locks.mark_serving();
    EXPECT_EQ(content("meadowgauge.n_0.seat.1"), "y");
    EXPECT_EQ(content("meadowgauge.n_0.lock"), "");
    hot_restart::ManualDrainFile drains(directory, {});
    EXPECT_TRUE(drains.set_drained("s1", true));
    EXPECT_EQ(content("meadowgauge.n_0.outs"), one_drain_text);
    std::ofstream(std::filesystem::path(folder) / "meadowgauge.n_0.outs", std::ios::binary) << drains_text;
    EXPECT_TRUE(drains.refresh());
    EXPECT_EQ(drains.names().size(), 3U);
  }
  EXPECT_EQ(content("meadowgauge.n_0.seat.1"), "absent");
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace meadowgauge
