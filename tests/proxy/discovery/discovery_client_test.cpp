// The watch on discovery, with the clock in the test's hands: what it does when nothing is heard.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

#include "proxy/discovery/client.hpp"
#include "transport/listener.hpp"

namespace meadowgauge::proxy {
namespace {

using transport::DueTimes;

// Discovery as the test plays it: takes watches, sends what the test gives it and is silent otherwise.
class DiscoveryStandIn : transport::Ready {
 public:
  explicit DiscoveryStandIn(transport::Loop& loop)
      : at(loop, *transport::Address::parse("127.0.0.1:0"), *this) {}
  void send_bytes(const std::string& text) const {
    ASSERT_EQ(send(conn.get(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }
  std::string received() const {
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
struct ClientFixture {
  transport::Loop loop;
  transport::Pool pool{64};
  DueTimes due;
  double now_ms = 1000;
  DiscoveryStandIn agent{loop};
  DiscoveryClient client;

  explicit ClientFixture(std::uint64_t seed = 7, std::optional<double> push_grace_ms = {})
      : client(loop, pool, due, now_ms, agent.at.address(), 0, seed, Logger(),
               {.push_grace_ms = push_grace_ms}) {
    client.start();
    turn();
  }
  void turn() {
    for (int i = 0; i < 5; ++i) {
      loop.wait(1);
      loop.dispatch();
      client.destroy_closed();
    }
  }
  // Time passes; what falls due on the way is done.
  void go(double until) {
    while (auto key = due.first(until)) {
      now_ms = std::max(now_ms, due.next());
      client.deadline_reached();
      turn();
    }
    now_ms = until;
  }
  // The agent takes the connection that waits and opens a watch on it.
  std::string watch(const std::string& line) {
    auto request = take_call(agent);
    if (request.empty()) return {};
    open_watch(agent, line);
    return request;
  }
  // The request on the connection that waits at `called`; empty where none does.
  std::string take_call(DiscoveryStandIn& called) {
    bool full = false;
    auto connection = called.at.accept(full);
    if (!connection) return {};
    called.conn = std::move(connection);
    turn();
    return called.received();
  }
  void open_watch(DiscoveryStandIn& called, const std::string& line) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    called.send_bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\n\r\n");
    turn();
  }
  void blank_line(DiscoveryStandIn& called) {
    called.send_bytes("1\r\n\n\r\n");
    turn();
  }
  // The list that an update brought; the test fails where the watch failed instead.
  const protocol::EndpointList& received(std::size_t update) {
    return std::get<protocol::EndpointList>(client.updates().at(update));
  }
  // A watch that has received version 5 is moved to another discovery, which has the connection then.
  void move_to(DiscoveryStandIn& other) {
    watch(R"({"seq":5,"whole":false,"hosts":[]})");
    client.set_agent(other.at.address());
    turn();
  }
  // A chunk of the open watch.
  void send_chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    agent.send_bytes(size + text + "\r\n");
    turn();
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
    ClientFixture w(seed);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
    double last = w.now_ms;
    w.go(last + 2600);  // a late sign of life is no silence
    ASSERT_FALSE(w.dialled());
    w.go(last + 5000);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// An agent that takes the connection and says nothing at all is asked again sooner: it answers at once if it
// can.
TEST(Discovery, AnAgentThatSaysNothingAtAllIsAskedAgainSoon) {
  ClientFixture w(7, 250);
  ASSERT_TRUE(w.dialled());
  w.go(w.now_ms + 1800);
  EXPECT_TRUE(w.dialled());
}

// A discovery that is polled answers in turn: a call that is given up while it waits is work for nobody.
TEST(Discovery, ACallThatWaitsInTurnIsNotGivenUpAndOneWithoutAnAnswerIsRepeated) {
  ClientFixture w;
  double called = w.now_ms;
  w.go(called + 2100);
  EXPECT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
  EXPECT_FALSE(w.dialled());
  ClientFixture silent;
  ASSERT_TRUE(silent.dialled());
  silent.go(silent.now_ms + 2500);
  EXPECT_TRUE(silent.dialled());
}

// A refusal that says when to come back is heeded, as far as a change of the list can wait.
TEST(Discovery, RetryAfterOfARefusalIsHeeded) {
  ClientFixture w;
  bool full = false;
  w.agent.conn = w.agent.at.accept(full);
  w.turn();
  w.agent.send_bytes("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");
  w.turn();
  w.go(w.now_ms + 1400);
  EXPECT_FALSE(w.dialled());
  w.go(w.now_ms + 200);
  EXPECT_TRUE(w.dialled());
}

// One configuration moves a whole fleet that polls: each goes on from its last version at once, which costs
// discovery little, and fetches the complete list later.
TEST(Discovery, AMovedWatchThatPollsFetchesTheCompleteListLater) {
  ClientFixture w;
  DiscoveryStandIn other(w.loop);
  w.move_to(other);
  EXPECT_TRUE(w.take_call(other).starts_with("GET /api/targets?watch=1&after=5 "));
  w.open_watch(other, R"({"seq":6,"whole":false,"hosts":[]})");
  w.go(w.now_ms + 100);
  w.blank_line(other);
  EXPECT_EQ(w.take_call(other), "");
  w.go(w.now_ms + 400);
  w.blank_line(other);
  EXPECT_TRUE(w.take_call(other).starts_with("GET /api/targets HTTP"));
  std::string list = R"({"seq":7,"whole":true,"hosts":[]})";
  other.send_bytes("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  w.turn();
  EXPECT_TRUE(other.received().starts_with("GET /api/targets?watch=1&after=7 "));
  EXPECT_TRUE(w.received(w.client.updates().size() - 1).full);
}

// A discovery whose versions are lower than those asked for counts its own: what left in between can be told
// by its complete list alone.
TEST(Discovery, AMovedWatchThatIsToldLowerVersionsFetchesTheCompleteListAtOnce) {
  ClientFixture w;
  DiscoveryStandIn other(w.loop);
  w.move_to(other);
  ASSERT_FALSE(w.take_call(other).empty());
  w.open_watch(other, R"({"seq":2,"whole":false,"hosts":[]})");
  EXPECT_TRUE(w.take_call(other).starts_with("GET /api/targets HTTP"));
}

// A discovery that is overloaded refuses the complete list: changes go on being watched.
TEST(Discovery, AMovedWatchGoesOnWhereTheCompleteListIsRefused) {
  ClientFixture w;
  DiscoveryStandIn other(w.loop);
  w.move_to(other);
  ASSERT_FALSE(w.take_call(other).empty());
  w.open_watch(other, R"({"seq":6,"whole":false,"hosts":[]})");
  w.go(w.now_ms + 500);
  w.blank_line(other);
  ASSERT_TRUE(w.take_call(other).starts_with("GET /api/targets HTTP"));
  other.send_bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  w.turn();
  w.go(w.now_ms + 200);
  EXPECT_TRUE(w.take_call(other).starts_with("GET /api/targets?watch=1&after=6 "));
}

// An agent that lists are pushed to has them at no cost, and what it has binds soon.
TEST(Discovery, AMovedWatchOfPushedListsFetchesTheCompleteListFirst) {
  ClientFixture w(7, 250);
  DiscoveryStandIn other(w.loop);
  w.move_to(other);
  EXPECT_TRUE(w.take_call(other).starts_with("GET /api/targets HTTP"));
}

// All watches of a fleet fall silent at one moment: the dials that follow are spread.
TEST(Discovery, AFleetDoesNotTakeUpItsWatchesInStep) {
  for (int fleet : {3, 100}) {
    std::set<double> moments;
    for (int i = 0; i < fleet; ++i) {
      ClientFixture w(static_cast<std::uint64_t>(i) + 1);
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

// A line that can't be read may have told of a drain: it is asked for again from the last one that could be,
// though other lines go on coming, and an agent that tells nothing else is not asked without end.
TEST(Discovery, WhatAnUnreadableLineToldIsAskedForAgain) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClientFixture w(seed);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET "));
    w.agent.send_bytes("9\r\n{\"seq\":6\n\r\n");
    w.turn();
    w.agent.send_bytes("23\r\n{\"seq\":7,\"whole\":false,\"hosts\":[]}\n\r\n");
    w.turn();
    w.go(w.now_ms + 1000);
    ASSERT_FALSE(w.dialled());
    w.go(w.now_ms + 800);
    ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// Where lists are pushed, what the agent gets at its return binds at once: however long it has refused or
// broken its watches, it is asked again well within a drain's grace. Where they are asked for it is spared.
TEST(Discovery, AnAgentThatComesBackIsAskedWithinAQuarterOfTheGrace) {
  for (double grace : {150.0, 400.0}) {
    ClientFixture w(7, grace), asked(7);
    for (int i = 0; i < 12; ++i) {
      for (auto* each : {&w, &asked}) {
        each->go(each->due.next());
        bool full = false;
        each->agent.conn = each->agent.at.accept(full);
        ASSERT_TRUE(each->agent.conn) << i;
        each->agent.conn.close();
        each->turn();
      }
      EXPECT_LE(w.due.next() - w.now_ms, grace / 4 * 1.25 + 1e-6) << i;
    }
    EXPECT_GT(asked.due.next() - asked.now_ms, 1000);
  }
}

// Bytes that never end a line are no sign of life: they kept a watch up that told nothing.
TEST(Discovery, AWatchFedDropByDropIsTakenUpAnew) {
  ClientFixture w(
      7);  // where lists are asked for: elsewhere a watch without news is opened anew all the same
  ASSERT_TRUE(w.watch(empty_list).starts_with("GET "));
  double from = w.now_ms;
  bool again = false;
  for (int i = 0; i < 20 && !again; ++i) {
    w.send_chunk("{");
    w.go(w.now_ms + 500);
    again = w.dialled();
  }
  EXPECT_TRUE(again);
  EXPECT_LE(w.now_ms - from, 4000);
}

// Empty lines and no news for as long as a silent watch is given: asked again from the last version, where
// what the agent has binds. With news it goes on.
TEST(Discovery, AWatchThatLivesAndTellsNothingIsTakenUpAnew) {
  ClientFixture w(7, 400.0), asked(7);
  for (auto* each : {&w, &asked}) {
    ASSERT_TRUE(each->watch(empty_list).starts_with("GET "));
    each->go(each->now_ms + 2000);
    each->send_chunk("\n");
    EXPECT_FALSE(each->dialled());
    each->go(each->now_ms + 2000);
    each->send_chunk("\n");
  }
  ASSERT_TRUE(w.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  EXPECT_FALSE(asked.dialled());
  for (int i = 6; i < 12; ++i) {
    w.go(w.now_ms + 2000);
    w.send_chunk(R"({"seq":)" + std::to_string(i) + R"(,"whole":false,"hosts":[]})" + "\n");
    EXPECT_FALSE(w.dialled());
  }
}

// Lists may come indented, cut anywhere; one that is cut short takes nothing of the next with it.
TEST(Discovery, AListInSeveralLinesIsOneList) {
  const std::string indented =
      "{\n  \"seq\": 6,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\":"
      " \"}x{\",\n      \"dial\": \"127.0.0.1:1\",\n\"health\": \"leaving\"\n    }\n  ]\n}\n";
  for (std::size_t cut = 1; cut < indented.size(); cut += 7) {
    ClientFixture w(7, 400.0);
    w.watch(empty_list);
    w.client.updates().clear();
    w.send_chunk(indented.substr(0, cut));
    w.send_chunk(indented.substr(cut));
    ASSERT_EQ(w.client.updates().size(), 1u) << cut;
    EXPECT_EQ(w.received(0).hosts.at(0).name, "}x{");
  }
  ClientFixture w(7, 400.0);
  w.watch(empty_list);
  w.client.updates().clear();
  w.send_chunk(indented.substr(0, 30));
  w.send_chunk("\n" + empty_list + "\n");
  ASSERT_EQ(w.client.updates().size(), 1u);
  EXPECT_EQ(w.received(0).seq, 5);
  w.go(w.now_ms + 200);
  EXPECT_TRUE(w.dialled());  // and what it told is asked for again
}

// Hundreds of servers and more, indented as lists may be: taken whole, in as many pieces as they come in.
TEST(Discovery, AListOfTwoThousandServersIsTakenWhole) {
  for (int n : {1024, 2000}) {
    std::string text = "{\n  \"seq\": 6,\n  \"whole\": true,\n  \"hosts\": [";
    for (int i = 0; i < n; ++i)
      text += std::string(i ? "," : "") + "\n    {\n      \"host\": \"s-" + std::to_string(100000 + i) +
              "\",\n      \"dial\": \"10.1.0.18:3000\",\n      \"site\": \"a\",\n      \"class\": \"m2\",\n"
              "      \"block\": 3,\n      \"health\": \"active\",\n      \"share\": 1.0,\n      \"born_ms\": "
              "0\n    }";
    text += "\n  ]\n}\n";
    ClientFixture w(7, 400.0);
    w.watch(empty_list);
    w.client.updates().clear();
    for (std::size_t at = 0; at < text.size(); at += 16000) w.send_chunk(text.substr(at, 16000));
    ASSERT_EQ(w.client.updates().size(), 1u) << n;
    EXPECT_EQ(w.received(0).hosts.size(), static_cast<std::size_t>(n));
  }
}

// A line that can't be read, is too long or ends in the middle may have told of a drain: asked for again at
// once; the same again and again, each second or so.
TEST(Discovery, AnUnreadableLineIsAskedForAgainBeforeADrainBinds) {
  for (const std::string& line : {std::string("{\"seq\":6}\n"), std::string("{\"seq\":6"),
                                  std::string(protocol::LineReader::max_line_bytes + 100, ' ') + "\n"}) {
    ClientFixture w(7, 400.0);
    w.watch(empty_list);
    for (std::size_t at = 0; at < line.size(); at += 60000) w.send_chunk(line.substr(at, 60000));
    if (line.size() < 20 && !line.ends_with('\n')) continue;  // no line yet: a silent watch
    w.go(w.now_ms + 130);
    EXPECT_TRUE(w.dialled()) << line.substr(0, 20);
  }
  ClientFixture w(7, 400.0);
  int asked = 0;
  for (double until = w.now_ms + 6000; w.now_ms < until; w.go(w.now_ms + 50))
    if (!w.watch("{\"seq\":6}").empty()) ++asked;
  EXPECT_GE(asked, 4);
  EXPECT_LE(asked, 8);
}

// However discovery fails and for however long: from the moment at which it can be reached again and has a
// change, that is heard within 6 s. Connections from before stay as dead as they were.
TEST(Discovery, AChangeIsHeardWithinSixSecondsOfDiscoverysReturnHoweverItFailed) {
  enum class Fails : std::uint8_t { closes, silent, unavailable, trickles_head, trickles_line, watch_dies };
  double longest = 0;
  for (auto how : {Fails::closes, Fails::silent, Fails::unavailable, Fails::trickles_head,
                   Fails::trickles_line, Fails::watch_dies})
    for (std::optional<double> grace : {std::optional<double>(), std::optional<double>(400)})
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        // Where lists are pushed it asks many times a second, and no wait grows.
        if (grace && seed > 1) continue;
        ClientFixture w(seed, grace);
        if (how == Fails::watch_dies) w.watch(empty_list);
        std::vector<transport::Fd> held;
        double back = w.now_ms + std::pow(4.5, static_cast<double>(seed)) * 230;
        for (; w.now_ms < back; w.go(w.now_ms + 500)) {
          for (bool full = false; auto fd = w.agent.at.accept(full);) {
            w.turn();
            std::string_view text =
                how == Fails::unavailable ? "HTTP/1.1 503 No\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"
                : how == Fails::trickles_line ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                              : "";
            static_cast<void>(send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL));
            if (how == Fails::closes) fd.close();
            if (fd) held.push_back(std::move(fd));
            w.turn();
          }
          std::string_view drop = how == Fails::trickles_head   ? "H"
                                  : how == Fails::trickles_line ? "1\r\n{\r\n"
                                                                : "";
          for (auto& fd : held) static_cast<void>(send(fd.get(), drop.data(), drop.size(), MSG_NOSIGNAL));
          w.turn();
        }
        w.client.updates().clear();
        auto list_received = [&] {
          return std::any_of(w.client.updates().begin(), w.client.updates().end(),
                             [](const DiscoveryUpdate& update) {
                               const auto* list = std::get_if<protocol::EndpointList>(&update);
                               return list != nullptr && list->seq == 9;
                             });
        };
        double since = w.now_ms;
        while (!list_received() && w.now_ms < since + 9000) {
          w.watch(R"({"seq":9,"whole":true,"hosts":[]})");
          w.go(w.now_ms + 20);
        }
        longest = std::max(longest, w.now_ms - since);
        EXPECT_LE(w.now_ms - since, 5500)
            << static_cast<int>(how) << " seed " << seed << " " << grace.has_value();
      }
  RecordProperty("longest_ms", std::to_string(longest));
}

}  // namespace
}  // namespace meadowgauge::proxy
