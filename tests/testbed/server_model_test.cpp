// Tests of the server model without I/O: admission, faults, deduplication, slow start.
#include "testbed/model/server_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace meadowgauge::testbed {
namespace {

TEST(ServerModel, CoresQueueAndRejection) {
  ServerModel server({.cores = 2, .queue = 1}, 1, 0, false);
  using Admission = ServerModel::Admission;
  EXPECT_EQ(server.arrive(1, 10, "", 0, 0), Admission::started);
  EXPECT_EQ(server.arrive(2, 20, "", 0, 0), Admission::started);
  EXPECT_EQ(server.arrive(3, 10, "", 0, 1), Admission::queued);
  EXPECT_EQ(server.arrive(4, 10, "", 0, 1), Admission::queue_full);
  EXPECT_EQ(server.next_event_ms(), 10);
  auto done = server.advance(10);
  ASSERT_EQ(done.size(), 2U);
  EXPECT_EQ(done[0].job, 1U);
  EXPECT_TRUE(done[1].started && done[1].job == 3);
  EXPECT_EQ(server.arrive(5, 10, "", 0, 11), Admission::queued);
  server.abandon(5);  // never executes
  EXPECT_EQ(server.advance(100).size(), 2U);
  EXPECT_EQ(server.running() + server.waiting(), 0);
}

TEST(ServerModel, FaultsTakeEffect) {
  using Admission = ServerModel::Admission;
  ServerModel server({.cores = 1, .queue = 4, .slowdown_threshold = 1, .slowdown_slope = 1}, 1, 0, false);
  server.slow(3);
  server.arrive(1, 10, "", 0, 0);
  EXPECT_EQ(server.next_event_ms(), 30);
  server.advance(30);
  server.slow(1);
  server.arrive(2, 10, "", 0, 100);
  server.arrive(3, 10, "", 0, 100);
  server.arrive(4, 10, "", 0, 100);
  server.advance(110);  // the next job starts with two jobs on one core, which doubles its duration
  EXPECT_EQ(server.next_event_ms(), 130);
  server.stall(500);
  EXPECT_EQ(server.next_event_ms(), 500);
  EXPECT_TRUE(server.advance(499).empty());
  server.advance(500);
  server.drain(true);
  EXPECT_EQ(server.arrive(5, 1, "", 0, 501), Admission::draining);
  server.drain(false);
  server.silent(true);
  EXPECT_EQ(server.arrive(6, 1, "", 0, 501), Admission::black_holed);
  server.silent(false);
  server.fail(1);
  EXPECT_EQ(server.arrive(7, 1, "", 0, 501), Admission::failed);
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
  ServerModel within_limit(spec, 1, 0, true), overloaded(spec, 1, 0, true);
  EXPECT_DOUBLE_EQ(within_limit.warmup_factor(0), 0.25);
  EXPECT_DOUBLE_EQ(within_limit.warmup_factor(2000), 0.625);
  bool crashed = false;
  for (int at = 0; at < 4000; at += 10) {
    within_limit.advance(at);
    overloaded.advance(at);
    // 2 cores at a quarter of full speed do 500 ms of work a second. The overload factor of 2 allows twice
    // that: 10 ms of work per 10 ms.
    EXPECT_NE(within_limit.arrive(static_cast<JobId>(at), 9.5, "", 0, at), Admission::crashed) << at;
    crashed = crashed || overloaded.arrive(static_cast<JobId>(at), 30, "", 0, at) == Admission::crashed;
    EXPECT_TRUE(within_limit.invariants_hold() && overloaded.invariants_hold());
  }
  EXPECT_TRUE(crashed);
  EXPECT_EQ(overloaded.arrive(1, 1, "", 0, 9000), Admission::crashed);  // the server stays down
}

TEST(ServerModel, InvariantsHoldForAnyEvents) {
  ASSERT_TRUE(rc::check([](const std::vector<std::uint8_t>& events, std::uint64_t seed) {
    ServerModel server({.cores = 2, .queue = 3, .slowdown_threshold = 1}, seed, 0, seed % 2 == 0);
    double now_ms = 0;
    JobId next_job = 1;
    std::map<JobId, bool> started_by_job;
    for (auto event : events) {
      now_ms += event % 7;
      for (auto progress : server.advance(now_ms))
        if (!progress.started) RC_ASSERT(started_by_job.erase(progress.job) == 1);
      switch (event % 8) {
        case 0:
          server.silent(event & 64);
          break;
        case 1:
          server.stall(now_ms + event);
          break;
        case 2:
          if (!started_by_job.empty() && !started_by_job.begin()->second) {
            server.abandon(started_by_job.begin()->first);
            if (server.waiting() + server.running() < static_cast<int>(started_by_job.size()))
              started_by_job.erase(started_by_job.begin());
          }
          break;
        default: {
          auto admission = server.arrive(next_job, event, "", 0, now_ms);
          if (admission == ServerModel::Admission::crashed) started_by_job.clear();
          if (admission == ServerModel::Admission::started || admission == ServerModel::Admission::queued)
            started_by_job[next_job] = admission == ServerModel::Admission::started;
          ++next_job;
        }
      }
      RC_ASSERT(server.invariants_hold());
      if (!server.crashed())
        RC_ASSERT(server.running() + server.waiting() <= static_cast<int>(started_by_job.size()));
    }
  }));
}

}  // namespace
}  // namespace meadowgauge::testbed
