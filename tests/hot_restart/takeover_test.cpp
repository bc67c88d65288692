// Tests the Takeover state machine without processes: the actions of one process while others start, serve
// and exit, in fixed and in random schedules.
#include "hot_restart/takeover.hpp"

#include <gtest/gtest.h>

#include <random>

namespace meadowgauge::hot_restart {
namespace {

// Counts the actions of a process since its start.
struct History {
  int listened = 0;
  int handed_over = 0;
  bool ended = false;
  bool ended_unserved = false;
};

// Updates `history` and checks that the actions are consistent with it.
void check(const TakeoverActions& actions, const PeerProcesses& peers, History& history) {
  history.listened += actions.listen ? 1 : 0;
  history.handed_over += actions.handover ? 1 : 0;
  EXPECT_LE(history.listened, 1);
  EXPECT_LE(history.handed_over, 1);
  if (actions.listen) {
    EXPECT_FALSE(history.ended);
  }
  if (history.ended_unserved) {
    EXPECT_EQ(history.listened, 0);
  }
  if (actions.handover) {
    EXPECT_TRUE(history.ended && history.listened == 1 && peers.newer_serves);
  }
  bool serves_alone_or_last = history.listened == 1 && !history.ended && peers.newer == 0;
  if (actions.claim_connections) {
    EXPECT_TRUE(serves_alone_or_last && peers.older > 0);
  }
  if (actions.save_snapshot) {
    EXPECT_TRUE(serves_alone_or_last);
  }
  EXPECT_EQ(actions.share, 1.0 / (1 + peers.total()));
}

// Covers each outcome in the table of docs/design/day-to-day.md, and that no action is repeated.
TEST(Takeovers, CoverEachDocumentedOutcome) {
  Takeover alone({}, 0);
  EXPECT_FALSE(alone.replaces_another());
  auto actions = alone.update({}, false, 0);
  EXPECT_TRUE(actions.listen && !actions.set_share && !actions.claim_connections && !actions.handover);
  actions = alone.update({.newer = 1}, true, 1500);  // another process has started
  EXPECT_TRUE(actions.set_share && actions.share == 0.5 && !actions.listen && !actions.save_snapshot);
  EXPECT_FALSE(alone.update({.newer = 1}, true, 1600).set_share);
  EXPECT_EQ(alone.update({}, true, 1700).share, 1);  // the other process has failed
  EXPECT_TRUE(alone.update({}, true, 2900).save_snapshot);
  alone.end();
  EXPECT_FALSE(alone.update({.newer = 1}, true, 3000).handover);  // serves until the new process does
  EXPECT_TRUE(alone.update({.newer = 1, .newer_serves = true}, true, 3100).handover);
  EXPECT_FALSE(alone.update({.newer = 1, .newer_serves = true}, true, 3200).handover);

  Takeover next({.older = 1}, 0);
  EXPECT_TRUE(next.replaces_another());
  EXPECT_EQ(next.update({.older = 1}, true, 0).share, 0.5);
  EXPECT_FALSE(next.update({.older = 1}, true, 200).listen);   // not yet seen by older processes
  EXPECT_FALSE(next.update({.older = 1}, false, 900).listen);  // discovery has not answered yet
  actions = next.update({.older = 1}, false, 1500);
  EXPECT_TRUE(actions.listen && actions.claim_connections);
  EXPECT_GT(next.drain_delay_ms(), 0);
  actions = next.update({}, false, 1600);
  EXPECT_TRUE(actions.set_share && actions.share == 1 && !actions.listen);
  EXPECT_EQ(next.drain_delay_ms(), 0);

  Takeover third({.older = 2}, 0);
  EXPECT_NEAR(third.update({.older = 2}, true, 300).share, 1.0 / 3, 1e-9);
  EXPECT_TRUE(third.update({.older = 1}, true, 400).claim_connections);  // an older process has ended

  Takeover remaining({.older = 1}, 0);  // the old process is killed first
  EXPECT_TRUE(remaining.update({}, false, 100).listen);
  Takeover never_served({.older = 1}, 0);
  never_served.end();
  EXPECT_FALSE(never_served.update({.older = 1}, true, 5000).listen);
}

TEST(Takeovers, RandomSchedulesKeepTheInvariants) {
  for (unsigned seed = 0; seed < 20000 && !testing::Test::HasFailure(); ++seed) {
    std::minstd_rand rng(seed + 1);
    PeerProcesses peers{.older = static_cast<int>(rng() % 3)};
    double now_ms = 1000;
    Takeover takeover(peers, now_ms);
    History history;
    for (int step = 0; step < 40; ++step) {
      now_ms += static_cast<double>(rng() % 400);
      if (rng() % 4 == 0) peers.older = static_cast<int>(rng() % 3);
      if (rng() % 4 == 0) peers.newer = static_cast<int>(rng() % 3);
      peers.newer_serves = peers.newer > 0 && rng() % 2 == 1;
      if (rng() % 30 == 0) {
        takeover.end();
        history.ended_unserved = history.ended_unserved || history.listened == 0;
        history.ended = true;
      }
      check(takeover.update(peers, rng() % 2 == 0, now_ms), peers, history);
      EXPECT_EQ(describe(takeover.broken_invariant()), "") << "seed " << seed << ", step " << step;
    }
  }
}

}  // namespace
}  // namespace meadowgauge::hot_restart
