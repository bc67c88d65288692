// A planned end as a state machine: when the listener closes, when what is unanswered fails, when all is
// over.
#include <gtest/gtest.h>

#include "proxy/graceful_shutdown.hpp"

namespace meadowgauge::proxy {
namespace {

using Phase = GracefulShutdown::Phase;

constexpr double begun_ms = 1000;

TEST(GracefulShutdown, NothingIsDueWhileItServes) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  EXPECT_TRUE(shutdown.serving());
  EXPECT_FALSE(shutdown.finished());
  EXPECT_EQ(shutdown.next_due_ms(), GracefulShutdown::never);
  EXPECT_EQ(shutdown.responses_due_ms(), GracefulShutdown::never);
}

TEST(GracefulShutdown, DrainsClosesAndFinishesInThatOrder) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begun_ms, true);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_EQ(shutdown.next_due_ms(), begun_ms + 800);
  EXPECT_EQ(shutdown.responses_due_ms(), begun_ms + 800 + 550 - 150);

  auto actions = shutdown.advance(begun_ms + 799, 3);
  EXPECT_FALSE(actions.close_listener || actions.fail_unanswered);
  EXPECT_EQ(shutdown.phase(), Phase::draining);

  actions = shutdown.advance(begun_ms + 800, 3);
  EXPECT_TRUE(actions.close_listener);
  EXPECT_FALSE(actions.fail_unanswered);
  EXPECT_EQ(shutdown.phase(), Phase::closing);
  EXPECT_EQ(shutdown.next_due_ms(), begun_ms + 1200);
  shutdown.connections_closed(begun_ms + 800, 2);
  EXPECT_FALSE(shutdown.finished());

  actions = shutdown.advance(begun_ms + 1200, 2);
  EXPECT_FALSE(actions.close_listener);
  EXPECT_TRUE(actions.fail_unanswered);
  EXPECT_EQ(shutdown.next_due_ms(), begun_ms + 1350);
  shutdown.connections_closed(begun_ms + 1200, 1);
  EXPECT_FALSE(shutdown.finished());

  // Requests may still have come in between: they fail too.
  EXPECT_TRUE(shutdown.advance(begun_ms + 1300, 1).fail_unanswered);
  shutdown.connections_closed(begun_ms + 1349, 1);
  EXPECT_FALSE(shutdown.finished());
  shutdown.connections_closed(begun_ms + 1350, 1);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, FinishesWithTheLastConnection) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begun_ms, true);
  // While it drains, having no connection is no end: new ones may come.
  static_cast<void>(shutdown.advance(begun_ms + 10, 0));
  shutdown.connections_closed(begun_ms + 10, 0);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_TRUE(shutdown.advance(begun_ms + 800, 1).close_listener);
  shutdown.connections_closed(begun_ms + 800, 0);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, HowLongItDrains) {
  auto drains_for = [](GracefulShutdownSettings settings) {
    GracefulShutdown shutdown(settings);
    shutdown.begin(begun_ms, true);
    return shutdown.next_due_ms() - begun_ms;
  };
  EXPECT_EQ(drains_for({.longest_client_timeout_ms = 100, .drain_ms = {}}), 450);
  EXPECT_EQ(drains_for({.longest_client_timeout_ms = 2000, .drain_ms = {}}), 2000);
  EXPECT_EQ(drains_for({.longest_client_timeout_ms = 60000, .drain_ms = {}}), 3000);
  EXPECT_EQ(drains_for({.longest_client_timeout_ms = 2000, .drain_ms = 20.0}), 20);
}

TEST(GracefulShutdown, ALongerDrainMovesTheEnd) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = 5000.0});
  shutdown.begin(begun_ms, true);
  EXPECT_EQ(shutdown.responses_due_ms(), begun_ms + 5000 + 550 - 150);
  // A shorter one does not: who has sent a request counts on its whole timeout.
  GracefulShutdown shorter({.longest_client_timeout_ms = 800, .drain_ms = 20.0});
  shorter.begin(begun_ms, true);
  EXPECT_EQ(shorter.responses_due_ms(), begun_ms + 800 + 550 - 150);
}

TEST(GracefulShutdown, OnlyTheFirstSignalCounts) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begun_ms, true);
  shutdown.begin(begun_ms + 500, false);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_EQ(shutdown.next_due_ms(), begun_ms + 800);
}

TEST(GracefulShutdown, IsOverAtOnceWhereItNeverServed) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begun_ms, false);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, HandedOverItEndsWithTheLastConnectionWhileItDrains) {
  GracefulShutdown shutdown({.longest_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.handed_over();
  EXPECT_TRUE(shutdown.serving());
  shutdown.begin(begun_ms, false);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  static_cast<void>(shutdown.advance(begun_ms + 1, 1));
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  auto actions = shutdown.advance(begun_ms + 2, 0);
  EXPECT_TRUE(shutdown.finished());
  EXPECT_FALSE(actions.close_listener || actions.fail_unanswered);
}

}  // namespace
}  // namespace meadowgauge::proxy
