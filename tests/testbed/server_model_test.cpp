// The server model without I/O: admission, faults, deduplication, slow start.
#include "testbed/model/server_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace meadowgauge::testbed {
namespace {

TEST(ServerModel, CoresQueueAndRejection) {
  ServerModel s({.cores = 2, .queue = 1}, 1, 0, false);
  using Admission = ServerModel::Admission;
  EXPECT_EQ(s.arrive(1, 10, "", 0, 0), Admission::started);
  EXPECT_EQ(s.arrive(2, 20, "", 0, 0), Admission::started);
  EXPECT_EQ(s.arrive(3, 10, "", 0, 1), Admission::queued);
  EXPECT_EQ(s.arrive(4, 10, "", 0, 1), Admission::queue_full);
  EXPECT_EQ(s.next_event_ms(), 10);
  auto done = s.advance(10);
  ASSERT_EQ(done.size(), 2U);
  EXPECT_EQ(done[0].job, 1U);
  EXPECT_TRUE(done[1].started && done[1].job == 3);
  EXPECT_EQ(s.arrive(5, 10, "", 0, 11), Admission::queued);
  s.abandon(5);  // never executes
  EXPECT_EQ(s.advance(100).size(), 2U);
  EXPECT_EQ(s.running() + s.waiting(), 0);
}

TEST(ServerModel, FaultsTakeEffect) {
  using Admission = ServerModel::Admission;
  ServerModel s({.cores = 1, .queue = 4, .slowdown_threshold = 1, .slowdown_slope = 1}, 1, 0, false);
  s.slow(3);
  s.arrive(1, 10, "", 0, 0);
  EXPECT_EQ(s.next_event_ms(), 30);
  s.advance(30);
  s.slow(1);
  s.arrive(2, 10, "", 0, 100);
  s.arrive(3, 10, "", 0, 100);
  s.arrive(4, 10, "", 0, 100);
  s.advance(110);  // the next job starts with two jobs on one core, which doubles its duration
  EXPECT_EQ(s.next_event_ms(), 130);
  s.stall(500);
  EXPECT_EQ(s.next_event_ms(), 500);
  EXPECT_TRUE(s.advance(499).empty());
  s.advance(500);
  s.drain(true);
  EXPECT_EQ(s.arrive(5, 1, "", 0, 501), Admission::draining);
  s.drain(false);
  s.silent(true);
  EXPECT_EQ(s.arrive(6, 1, "", 0, 501), Admission::black_holed);
  s.silent(false);
  s.fail(1);
  EXPECT_EQ(s.arrive(7, 1, "", 0, 501), Admission::failed);
}

TEST(ServerModel, DuplicatesAreDroppedWithinTheirWindow) {
  DeduplicationCache cache;
  ServerModel a({.cores = 9}, 1, 0, false), b({.cores = 9}, 2, 0, false);
  using Admission = ServerModel::Admission;
  EXPECT_EQ(a.arrive(1, 1, "k", 1000, 0, &cache), Admission::started);
  EXPECT_EQ(b.arrive(1, 1, "k", 1000, 999, &cache), Admission::duplicate);
  EXPECT_EQ(b.arrive(2, 1, "k", 1000, 1000, &cache), Admission::started);
  for (int i = 0; i < 1000; ++i) a.arrive(3, 1, "x" + std::to_string(i), 1000, 3000 + i * 10, &cache);
  EXPECT_LE(cache.size(), 102U);
}

TEST(ServerModel, SlowStartEndsAndOnlyOverloadCrashes) {
  ServerModelSpec spec{.cores = 2,
                       .queue = 1000,
                       .slow_start_speed = 0.25,
                       .slow_start_ms = 4000,
                       .overload_factor = 2,
                       .overload_ms = 1000};
  using Admission = ServerModel::Admission;
  ServerModel gentle(spec, 1, 0, true), pushed(spec, 1, 0, true);
  EXPECT_DOUBLE_EQ(gentle.warmup_factor(0), 0.25);
  EXPECT_DOUBLE_EQ(gentle.warmup_factor(2000), 0.625);
  bool crashed = false;
  for (int at = 0; at < 4000; at += 10) {
    gentle.advance(at);
    pushed.advance(at);
    // 2 cores at a quarter of the speed do 500 ms of work a second; the crash limit is twice that, 10 ms per
    // 10 ms.
    EXPECT_NE(gentle.arrive(static_cast<JobId>(at), 9.5, "", 0, at), Admission::crashed) << at;
    crashed = crashed || pushed.arrive(static_cast<JobId>(at), 30, "", 0, at) == Admission::crashed;
    EXPECT_TRUE(gentle.invariants_hold() && pushed.invariants_hold());
  }
  EXPECT_TRUE(crashed);
  EXPECT_EQ(pushed.arrive(1, 1, "", 0, 9000), Admission::crashed);  // the server stays down
}

TEST(ServerModel, InvariantsHoldForAnyEvents) {
  ASSERT_TRUE(rc::check([](const std::vector<std::uint8_t>& events, std::uint64_t seed) {
    ServerModel s({.cores = 2, .queue = 3, .slowdown_threshold = 1}, seed, 0, seed % 2 == 0);
    double now_ms = 0;
    JobId next = 1;
    std::map<JobId, bool> jobs;
    for (auto e : events) {
      now_ms += e % 7;
      for (auto d : s.advance(now_ms))
        if (!d.started) RC_ASSERT(jobs.erase(d.job) == 1);
      switch (e % 8) {
        case 0:
          s.silent(e & 64);
          break;
        case 1:
          s.stall(now_ms + e);
          break;
        case 2:
          if (!jobs.empty() && !jobs.begin()->second) {
            s.abandon(jobs.begin()->first);
            if (s.waiting() + s.running() < static_cast<int>(jobs.size())) jobs.erase(jobs.begin());
          }
          break;
        default: {
          auto admission = s.arrive(next, e, "", 0, now_ms);
          if (admission == ServerModel::Admission::crashed) jobs.clear();
          if (admission == ServerModel::Admission::started || admission == ServerModel::Admission::queued)
            jobs[next] = admission == ServerModel::Admission::started;
          ++next;
        }
      }
      RC_ASSERT(s.invariants_hold());
      if (!s.crashed()) RC_ASSERT(s.running() + s.waiting() <= static_cast<int>(jobs.size()));
    }
  }));
}

}  // namespace
}  // namespace meadowgauge::testbed
