// The watch on discovery, with the clock in the test's hands: what it does when nothing is heard.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>

#include "routing/discovery_client.hpp"
#include "transport/listener.hpp"

namespace meadow::routing {
namespace {

using transport::DueTimes;

// An agent that takes watches, says what it is told to and is silent otherwise.
class Agent : transport::Ready {
 public:
  explicit Agent(transport::Loop& loop) : at(loop, *transport::Address::parse("127.0.0.1:0"), *this) {}
  void say(const std::string& text) const {
    ASSERT_EQ(send(conn.get(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  std::string asked() const {
    char bytes[4096];
    auto n = recv(conn.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    return {bytes, n > 0 ? static_cast<std::size_t>(n) : 0};
  }
  transport::Listener at;
  transport::Fd conn;

 private:
  void ready(std::uint32_t) override {}
};

// A client on its own loop; time stands still but for go().
struct Watching {
  transport::Loop loop;
  transport::Pool pool{64};
  DueTimes due;
  double now = 1000;
  Agent agent{loop};
  DiscoveryClient client;

  explicit Watching(std::uint64_t seed = 7)
      : client(loop, pool, due, now, agent.at.address(), 0, seed, Say()) {
    client.connect();
    turn();
  }
  void turn() {
    for (int i = 0; i < 5; ++i) {
      loop.wait(1);
      loop.dispatch();
      client.bury();
    }
  }
  // Time passes; what falls due on the way is done.
  void go(double until) {
    while (auto key = due.first(until)) {
      now = std::max(now, due.next());
      client.fell_due();
      turn();
    }
    now = until;
  }
  // The agent takes the connection that waits and opens a watch on it.
  std::string watch(const std::string& line) {
    bool full = false;
    agent.conn = agent.at.accept(full);
    if (!agent.conn) return {};
    turn();
    auto asked = agent.asked();
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    agent.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\n\r\n");
    turn();
    return asked;
  }
  bool dialled() {
    bool full = false;
    auto fd = agent.at.accept(full);
    return static_cast<bool>(fd);
  }
};

const std::string empty_list = R"({"seq":5,"whole":false,"hosts":[]})";

// A drain that is told right after the last sign of life of a watch which then falls silent: it counts as
// told 6 s later, so by then the watch has to be up anew.
TEST(Discovery, ASilentWatchIsTakenUpAnewBeforeADrainIsOverdue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Watching w(seed);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
    double last = w.now;
    w.go(last + 2600);  // a late sign of life is no silence
    ASSERT_FALSE(w.dialled());
    w.go(last + 5000);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// An agent that takes the connection and says nothing at all is asked again sooner: it answers at once if it
// can.
TEST(Discovery, AnAgentThatSaysNothingAtAllIsAskedAgainSoon) {
  Watching w;
  ASSERT_TRUE(w.dialled());
  w.go(w.now + 1800);
  EXPECT_TRUE(w.dialled());
}

// All watches of a fleet fall silent at one moment: the dials that follow are spread.
TEST(Discovery, AFleetDoesNotTakeUpItsWatchesInStep) {
  for (int fleet : {3, 100}) {
    std::set<double> moments;
    for (int i = 0; i < fleet; ++i) {
      Watching w(static_cast<std::uint64_t>(i) + 1);
      w.watch(empty_list);
      moments.insert(w.due.next());
    }
    EXPECT_GT(moments.size(), static_cast<std::size_t>(fleet) * 2 / 3);
    EXPECT_LE(*moments.rbegin() - *moments.begin(), 0.2 * 3400);
    if (fleet == 100) {
      EXPECT_GT(*moments.rbegin() - *moments.begin(), 400);
    }
  }
}

}  // namespace
}  // namespace meadow::routing
