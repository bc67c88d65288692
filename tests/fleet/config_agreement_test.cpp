// Comparison of the members' configurations, the offers that an instance may use, and the budget of lease
// datagrams. An instance that lends or borrows while the files differ would break the fleet-wide limit.
#include "fleet/config_agreement.hpp"

#include <gtest/gtest.h>

#include "fleet/datagram_budget.hpp"

namespace meadowgauge::fleet {
namespace {

constexpr std::uint64_t own_digest = 5;
constexpr std::uint64_t other_digest = 6;

// The table of `b0`, in which members are suspected after 1500 ms and gone after 5000 ms.
membership::MemberTable table_of_three_members() {
  membership::MemberTable members("b0", 1, {}, 1);
  members.set_members({"b0", "b1", "b2"});
  return members;
}

void receive(membership::MemberTable& members, const std::string& name, std::uint64_t digest, double now_ms) {
  auto heartbeat = static_cast<std::uint64_t>(now_ms) + 1;
  members.merge({.name = name,
                 .incarnation = 1,
                 .heartbeat = heartbeat,
                 .config_digest = digest,
                 .lendable = {{.limit = 0, .rate = 4}}},
                now_ms);
}

TEST(ConfigAgreements, AllAgreeOnceEveryMemberSentTheSameDigest) {
  auto members = table_of_three_members();
  EXPECT_FALSE(compare_configs(members, own_digest, 0).all_agree);  // no state was received yet
  EXPECT_FALSE(compare_configs(members, own_digest, 0).live_member_differs);
  receive(members, "b1", own_digest, 0);
  EXPECT_FALSE(compare_configs(members, own_digest, 0).all_agree);
  receive(members, "b2", own_digest, 0);
  EXPECT_TRUE(compare_configs(members, own_digest, 0).all_agree);
  EXPECT_TRUE(compare_configs(members, own_digest, 60000).all_agree);  // gone, but the digests agree
}

TEST(ConfigAgreements, DifferingMemberCountsAsLiveUntilItIsGone) {
  auto members = table_of_three_members();
  receive(members, "b1", own_digest, 0);
  receive(members, "b2", other_digest, 0);
  for (double now_ms : {0.0, 1500.0, 4999.0}) {
    EXPECT_FALSE(compare_configs(members, own_digest, now_ms).all_agree) << now_ms;
    EXPECT_TRUE(compare_configs(members, own_digest, now_ms).live_member_differs) << now_ms;
  }
  EXPECT_FALSE(compare_configs(members, own_digest, 5000).all_agree);
  EXPECT_FALSE(compare_configs(members, own_digest, 5000).live_member_differs);
}

TEST(ConfigAgreements, OffersAreUsableFromAliveAgreeingMembers) {
  auto members = table_of_three_members();
  auto b1 = members.find("b1").value();
  auto b2 = members.find("b2").value();
  EXPECT_TRUE(usable_offer(members, b1, own_digest, 0).empty());
  receive(members, "b1", own_digest, 0);
  receive(members, "b2", other_digest, 0);
  EXPECT_EQ(usable_offer(members, b1, own_digest, 1499).size(), 1U);
  EXPECT_TRUE(usable_offer(members, b1, own_digest, 1500).empty());
  EXPECT_TRUE(usable_offer(members, b2, own_digest, 0).empty());
}

TEST(DatagramBudgets, BurstOfOneSecondThenTheConfiguredRate) {
  DatagramBudget budget;
  double now_ms = 1796000000000;
  int sent = 0;
  while (budget.try_take(20, now_ms)) ++sent;
  EXPECT_EQ(sent, 20);
  EXPECT_EQ(budget.refused(), 1U);
  EXPECT_FALSE(budget.try_take(20, now_ms + 49));
  EXPECT_TRUE(budget.try_take(20, now_ms + 51));
  EXPECT_FALSE(budget.try_take(20, now_ms + 51));
  EXPECT_EQ(budget.refused(), 3U);
}

}  // namespace
}  // namespace meadowgauge::fleet
