// When the discovery client reopens a watch and calls again: silence, refusals, outages.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fixtures/discovery_client_fixture.hpp"

namespace meadowgauge::proxy {
namespace {

// A drain published right after the last line binds 6 s later; the watch must be reopened by then.
TEST(DiscoveryWatchRenewal, SilentWatchIsReopenedBeforeADrainIsOverdue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClientFixture fixture(seed);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
    double last = fixture.now_ms;
    fixture.advance_to(last + 2600);  // a late line is within the limit
    ASSERT_FALSE(fixture.dialled());
    fixture.advance_to(last + 5000);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// A local agent answers at once, so an unanswered call is repeated within 1.8 s.
TEST(DiscoveryWatchRenewal, UnresponsivePushAgentIsCalledAgainSoon) {
  ClientFixture fixture(7, 250);
  ASSERT_TRUE(fixture.dialled());
  fixture.advance_to(fixture.now_ms + 1800);
  EXPECT_TRUE(fixture.dialled());
}

// A polled discovery queues calls: one abandoned in the queue still costs it the work.
TEST(DiscoveryWatchRenewal, QueuedCallIsKeptUnansweredCallIsRetried) {
  ClientFixture fixture;
  double called = fixture.now_ms;
  fixture.advance_to(called + 2100);
  EXPECT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
  EXPECT_FALSE(fixture.dialled());
  ClientFixture silent;
  ASSERT_TRUE(silent.dialled());
  silent.advance_to(silent.now_ms + 2500);
  EXPECT_TRUE(silent.dialled());
}

// Retry-After is honoured up to the longest backoff.
TEST(DiscoveryWatchRenewal, RetryAfterDelaysTheNextCall) {
  ClientFixture fixture;
  bool full = false;
  fixture.agent.connection = fixture.agent.listener.accept(full);
  fixture.turn();
  fixture.agent.send_bytes(
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");
  fixture.turn();
  fixture.advance_to(fixture.now_ms + 1400);
  EXPECT_FALSE(fixture.dialled());
  fixture.advance_to(fixture.now_ms + 200);
  EXPECT_TRUE(fixture.dialled());
}

// All watches of a fleet become silent together; the reconnects are spread.
TEST(DiscoveryWatchRenewal, FleetDoesNotReopenItsWatchesInStep) {
  for (int fleet : {3, 100}) {
    std::set<double> deadlines_ms;
    for (int i = 0; i < fleet; ++i) {
      ClientFixture fixture(static_cast<std::uint64_t>(i) + 1);
      fixture.watch(empty_list);
      deadlines_ms.insert(fixture.due_times.next());
    }
    EXPECT_GT(deadlines_ms.size(), static_cast<std::size_t>(fleet) * 2 / 3);
    EXPECT_LE(*deadlines_ms.rbegin() - *deadlines_ms.begin(), 0.2 * 3400);
    if (fleet == 100) {
      EXPECT_GT(*deadlines_ms.rbegin() - *deadlines_ms.begin(), 400);
    }
  }
}

// A pushed drain binds as soon as the agent knows of it, so the backoff stays below a quarter of the grace.
// A polled discovery gets longer backoffs.
TEST(DiscoveryWatchRenewal, ReturningPushAgentIsCalledWithinTheGrace) {
  for (double grace : {150.0, 400.0}) {
    ClientFixture fixture(7, grace), polled(7);
    for (int i = 0; i < 12; ++i) {
      for (auto* each : {&fixture, &polled}) {
        each->advance_to(each->due_times.next());
        bool full = false;
        each->agent.connection = each->agent.listener.accept(full);
        ASSERT_TRUE(each->agent.connection) << i;
        each->agent.connection.close();
        each->turn();
      }
      EXPECT_LE(fixture.due_times.next() - fixture.now_ms, grace / 4 * 1.25 + 1e-6) << i;
    }
    EXPECT_GT(polled.due_times.next() - polled.now_ms, 1000);
  }
}

// Bytes without a line end do not extend the deadline.
TEST(DiscoveryWatchRenewal, WatchThatNeverEndsALineIsReopened) {
  // Polled: a pushed watch without lists is reopened in any case.
  ClientFixture fixture(7);
  ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET "));
  double from = fixture.now_ms;
  bool again = false;
  for (int i = 0; i < 20 && !again; ++i) {
    fixture.send_chunk("{");
    fixture.advance_to(fixture.now_ms + 500);
    again = fixture.dialled();
  }
  EXPECT_TRUE(again);
  EXPECT_LE(fixture.now_ms - from, 4000);
}

// Blank lines alone do not keep a pushed watch open; lists do.
TEST(DiscoveryWatchRenewal, LivePushWatchWithoutListsIsReopened) {
  ClientFixture fixture(7, 400.0), polled(7);
  for (auto* each : {&fixture, &polled}) {
    ASSERT_TRUE(each->watch(empty_list).starts_with("GET "));
    each->advance_to(each->now_ms + 2000);
    each->send_chunk("\n");
    EXPECT_FALSE(each->dialled());
    each->advance_to(each->now_ms + 2000);
    each->send_chunk("\n");
  }
  ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  EXPECT_FALSE(polled.dialled());
  for (int i = 6; i < 12; ++i) {
    fixture.advance_to(fixture.now_ms + 2000);
    fixture.send_chunk(R"({"seq":)" + std::to_string(i) + R"(,"whole":false,"hosts":[]})" + "\n");
    EXPECT_FALSE(fixture.dialled());
  }
}

// After a failure of any kind a change is received within 6 s of discovery's return. Connections from the
// outage stay dead.
TEST(DiscoveryWatchRenewal, ChangeArrivesWithinSixSecondsOfAnOutage) {
  enum class Fails : std::uint8_t { closes, silent, unavailable, trickles_head, trickles_line, watch_dies };
  double max_delay_ms = 0;
  for (auto how : {Fails::closes, Fails::silent, Fails::unavailable, Fails::trickles_head,
                   Fails::trickles_line, Fails::watch_dies})
    for (std::optional<double> grace : {std::optional<double>(), std::optional<double>(400)})
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        // A pushed watch has no growing backoff, so one seed covers it.
        if (grace && seed > 1) continue;
        ClientFixture fixture(seed, grace);
        if (how == Fails::watch_dies) fixture.watch(empty_list);
        std::vector<transport::Fd> held;
        double back = fixture.now_ms + std::pow(4.5, static_cast<double>(seed)) * 230;
        for (; fixture.now_ms < back; fixture.advance_to(fixture.now_ms + 500)) {
          for (bool full = false; auto fd = fixture.agent.listener.accept(full);) {
            fixture.turn();
            std::string_view text =
                how == Fails::unavailable ? "HTTP/1.1 503 No\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"
                : how == Fails::trickles_line ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                              : "";
            static_cast<void>(send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL));
            if (how == Fails::closes) fd.close();
            if (fd) held.push_back(std::move(fd));
            fixture.turn();
          }
          std::string_view drop = how == Fails::trickles_head   ? "H"
                                  : how == Fails::trickles_line ? "1\r\n{\r\n"
                                                                : "";
          for (auto& fd : held) static_cast<void>(send(fd.get(), drop.data(), drop.size(), MSG_NOSIGNAL));
          fixture.turn();
        }
        fixture.client.updates().clear();
        auto list_received = [&] {
          return std::any_of(fixture.client.updates().begin(), fixture.client.updates().end(),
                             [](const DiscoveryUpdate& update) {
                               const auto* list = std::get_if<protocol::EndpointList>(&update);
                               return list != nullptr && list->seq == 9;
                             });
        };
        double since = fixture.now_ms;
        while (!list_received() && fixture.now_ms < since + 9000) {
          fixture.watch(R"({"seq":9,"whole":true,"hosts":[]})");
          fixture.advance_to(fixture.now_ms + 20);
        }
        max_delay_ms = std::max(max_delay_ms, fixture.now_ms - since);
        EXPECT_LE(fixture.now_ms - since, 5500)
            << static_cast<int>(how) << " seed " << seed << " " << grace.has_value();
      }
  RecordProperty("max_delay_ms", std::to_string(max_delay_ms));
}

}  // namespace
}  // namespace meadowgauge::proxy
