// RequestIds: how long ids are remembered, within one process and between two.
#include "proxy/request/request_ids.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace meadowgauge::proxy {
namespace {

TEST(RequestIds, RemembersAnIdUntilItsTimeOrItsRelease) {
  RequestIds ids;
  EXPECT_TRUE(ids.acquire("a", 1000, 2000));
  EXPECT_FALSE(ids.acquire("a", 1999, 3000));
  EXPECT_TRUE(ids.contains("a", 1999));
  EXPECT_FALSE(ids.contains("a", 2000));
  EXPECT_TRUE(ids.acquire("a", 2000, 3000));
  ids.keep("a", 5000);
  EXPECT_TRUE(ids.contains("a", 4999));
  ids.release("a");
  EXPECT_FALSE(ids.contains("a", 2000));
  EXPECT_TRUE(ids.acquire("a", 2000, 3000));
}

// Guards against an id that one process accepts while its effect may still come from the other.
TEST(RequestIds, AreSharedBetweenProcesses) {
  std::vector<RequestIds::Slot> slots(RequestIds::slot_count);
  RequestIds first, second;
  first.share(slots);
  second.share(slots);
  EXPECT_TRUE(first.acquire("a", 1000, 2000));
  EXPECT_TRUE(second.contains("a", 1500));
  EXPECT_FALSE(second.acquire("a", 1500, 2500));
  EXPECT_TRUE(second.acquire("b", 1500, 2500));
  EXPECT_FALSE(first.acquire("b", 1500, 2500));
}

// Guards against memory that grows with the number of ids, and against forgetting a new id for an older one.
TEST(RequestIds, ForgetsTheOldestWhenThereAreTooMany) {
  RequestIds ids;
  constexpr int count = 10 * static_cast<int>(RequestIds::slot_count);
  for (int i = 0; i < count; ++i) {
    ASSERT_TRUE(ids.acquire("id" + std::to_string(i), 1000, 2000 + i));
    ASSERT_TRUE(ids.contains("id" + std::to_string(i), 1000));
  }
  int remembered = 0;
  for (int i = 0; i < count; ++i) remembered += ids.contains("id" + std::to_string(i), 1000) ? 1 : 0;
  EXPECT_LE(remembered, static_cast<int>(RequestIds::slot_count));
  EXPECT_GT(remembered, static_cast<int>(RequestIds::slot_count) * 9 / 10);
}

}  // namespace
}  // namespace meadowgauge::proxy
