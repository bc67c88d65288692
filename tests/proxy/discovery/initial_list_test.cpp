// Which events allow a new process to serve. Uses no sockets and no clock.
#include "proxy/discovery/initial_list.hpp"

#include <gtest/gtest.h>

namespace meadowgauge::proxy {
namespace {

using State = InitialList::State;

TEST(InitialList, ServesOnceDiscoveryHasSentAList) {
  InitialList list(true, 1000);
  EXPECT_FALSE(list.may_serve());
  EXPECT_EQ(list.list_received(), State::awaited);
  EXPECT_TRUE(list.may_serve());
  EXPECT_EQ(list.list_received(), std::nullopt);
}

TEST(InitialList, OverloadedDiscoveryDoesNotAllowServing) {
  InitialList list(true, 1000);
  for (auto error :
       {DiscoveryError::unexpected_status, DiscoveryError::connection_closed, DiscoveryError::malformed_list})
    EXPECT_EQ(list.call_failed(error), std::nullopt);
  EXPECT_FALSE(list.may_serve());
}

TEST(InitialList, UnreachableDiscoveryAllowsServing) {
  for (auto error : {DiscoveryError::connect_failed, DiscoveryError::watch_timed_out}) {
    InitialList list(true, 1000);
    EXPECT_EQ(list.call_failed(error), State::awaited);
    EXPECT_EQ(list.state(), State::unreachable);
    EXPECT_TRUE(list.may_serve());
    EXPECT_EQ(list.list_received(), State::unreachable);
    EXPECT_EQ(list.call_failed(error), std::nullopt);
  }
}

TEST(InitialList, ServesAfterALimitedTime) {
  InitialList list(true, 1000);
  double due_ms = list.next_due_ms();
  EXPECT_EQ(list.time_passed(due_ms - 1), std::nullopt);
  EXPECT_FALSE(list.may_serve());
  EXPECT_EQ(list.time_passed(due_ms), State::awaited);
  EXPECT_EQ(list.state(), State::overdue);
  EXPECT_LE(due_ms, 1000 + 10000) << "90% of restarted balancers must be ready within 10 s";
}

TEST(InitialList, ServesFromTheStartIfNoListIsRequired) {
  InitialList list(false, 1000);
  EXPECT_TRUE(list.may_serve());
  EXPECT_EQ(list.time_passed(1e9), std::nullopt);
}

}  // namespace
}  // namespace meadowgauge::proxy
