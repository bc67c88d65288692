// GracefulShutdown: when it closes the listener, fails unanswered requests and finishes.
#include <gtest/gtest.h>

#include "proxy/graceful_shutdown.hpp"

namespace meadowgauge::proxy {
namespace {

using Phase = GracefulShutdown::Phase;

constexpr double begin_ms = 1000;

TEST(GracefulShutdown, HasNoDeadlineWhileServing) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  EXPECT_TRUE(shutdown.serving());
  EXPECT_FALSE(shutdown.finished());
  EXPECT_EQ(shutdown.next_due_ms(), GracefulShutdown::never);
  EXPECT_EQ(shutdown.responses_due_ms(), GracefulShutdown::never);
}

TEST(GracefulShutdown, PhasesFollowInOrder) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begin_ms, true);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_EQ(shutdown.next_due_ms(), begin_ms + 800);
  EXPECT_EQ(shutdown.responses_due_ms(), begin_ms + 800 + 550 - 150);

  auto actions = shutdown.advance(begin_ms + 799, 3);
  EXPECT_FALSE(actions.close_listener || actions.fail_unanswered);
  EXPECT_EQ(shutdown.phase(), Phase::draining);

  actions = shutdown.advance(begin_ms + 800, 3);
  EXPECT_TRUE(actions.close_listener);
  EXPECT_FALSE(actions.fail_unanswered);
  EXPECT_EQ(shutdown.phase(), Phase::closing);
  EXPECT_EQ(shutdown.next_due_ms(), begin_ms + 1200);
  shutdown.connections_closed(begin_ms + 800, 2);
  EXPECT_FALSE(shutdown.finished());

  actions = shutdown.advance(begin_ms + 1200, 2);
  EXPECT_FALSE(actions.close_listener);
  EXPECT_TRUE(actions.fail_unanswered);
  EXPECT_EQ(shutdown.next_due_ms(), begin_ms + 1350);
  shutdown.connections_closed(begin_ms + 1200, 1);
  EXPECT_FALSE(shutdown.finished());

  // Requests that arrive before the finish are failed too.
  EXPECT_TRUE(shutdown.advance(begin_ms + 1300, 1).fail_unanswered);
  shutdown.connections_closed(begin_ms + 1349, 1);
  EXPECT_FALSE(shutdown.finished());
  shutdown.connections_closed(begin_ms + 1350, 1);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, FinishesWithTheLastConnection) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begin_ms, true);
  // The draining phase does not end when no connection is open, because new connections may arrive.
  static_cast<void>(shutdown.advance(begin_ms + 10, 0));
  shutdown.connections_closed(begin_ms + 10, 0);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_TRUE(shutdown.advance(begin_ms + 800, 1).close_listener);
  shutdown.connections_closed(begin_ms + 800, 0);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, DrainIsTheClientTimeoutWithinBounds) {
  auto drain_duration_ms = [](GracefulShutdownSettings settings) {
    GracefulShutdown shutdown(settings);
    shutdown.begin(begin_ms, true);
    return shutdown.next_due_ms() - begin_ms;
  };
  EXPECT_EQ(drain_duration_ms({.max_client_timeout_ms = 100, .drain_ms = {}}), 450);
  EXPECT_EQ(drain_duration_ms({.max_client_timeout_ms = 2000, .drain_ms = {}}), 2000);
  EXPECT_EQ(drain_duration_ms({.max_client_timeout_ms = 60000, .drain_ms = {}}), 3000);
  EXPECT_EQ(drain_duration_ms({.max_client_timeout_ms = 2000, .drain_ms = 20.0}), 20);
}

TEST(GracefulShutdown, LongerDrainPostponesTheFinish) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = 5000.0});
  shutdown.begin(begin_ms, true);
  EXPECT_EQ(shutdown.responses_due_ms(), begin_ms + 5000 + 550 - 150);
  // A shorter drain does not bring the finish forward: requests in flight get their whole client timeout.
  GracefulShutdown shorter({.max_client_timeout_ms = 800, .drain_ms = 20.0});
  shorter.begin(begin_ms, true);
  EXPECT_EQ(shorter.responses_due_ms(), begin_ms + 800 + 550 - 150);
}

TEST(GracefulShutdown, SecondBeginHasNoEffect) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begin_ms, true);
  shutdown.begin(begin_ms + 500, false);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  EXPECT_EQ(shutdown.next_due_ms(), begin_ms + 800);
}

TEST(GracefulShutdown, FinishesAtOnceIfItNeverServed) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.begin(begin_ms, false);
  EXPECT_TRUE(shutdown.finished());
}

TEST(GracefulShutdown, AfterTakeoverFinishesWithTheLastConnection) {
  GracefulShutdown shutdown({.max_client_timeout_ms = 800, .drain_ms = {}});
  shutdown.handed_over();
  EXPECT_TRUE(shutdown.serving());
  shutdown.begin(begin_ms, false);
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  static_cast<void>(shutdown.advance(begin_ms + 1, 1));
  EXPECT_EQ(shutdown.phase(), Phase::draining);
  auto actions = shutdown.advance(begin_ms + 2, 0);
  EXPECT_TRUE(shutdown.finished());
  EXPECT_FALSE(actions.close_listener || actions.fail_unanswered);
}

}  // namespace
}  // namespace meadowgauge::proxy
