// When the discovery client reopens a watch or calls again: after silence, refusals and outages.
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

// Guards against a drain that is applied late: a drain published right after the last line must be applied
// within 6 s, so a silent watch must be reopened by then.
TEST(DiscoveryWatchRenewal, SilentWatchIsReopenedBeforeADrainIsOverdue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClientFixture fixture(seed);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
    double last_line_ms = fixture.now_ms;
    fixture.advance_to(last_line_ms + 2600);  // a late line is within the limit
    ASSERT_FALSE(fixture.dialled());
    fixture.advance_to(last_line_ms + 5000);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// A local agent responds at once, so a call without a response is repeated within 1.8 s.
TEST(DiscoveryWatchRenewal, UnresponsivePushAgentIsCalledAgainSoon) {
  ClientFixture fixture(7, 250);
  ASSERT_TRUE(fixture.dialled());
  fixture.advance_to(fixture.now_ms + 1800);
  EXPECT_TRUE(fixture.dialled());
}

// A polled discovery queues calls and also processes abandoned ones, so a call must be given time to be
// answered.
TEST(DiscoveryWatchRenewal, QueuedCallIsKeptUnansweredCallIsRetried) {
  ClientFixture fixture;
  double called_at_ms = fixture.now_ms;
  fixture.advance_to(called_at_ms + 2100);
  EXPECT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=0 "));
  EXPECT_FALSE(fixture.dialled());
  ClientFixture silent;
  ASSERT_TRUE(silent.dialled());
  silent.advance_to(silent.now_ms + 2500);
  EXPECT_TRUE(silent.dialled());
}

// Retry-After is honoured up to the maximum backoff.
TEST(DiscoveryWatchRenewal, RetryAfterDelaysTheNextCall) {
  ClientFixture fixture;
  bool is_out_of_descriptors = false;
  fixture.agent.connection = fixture.agent.listener.accept(is_out_of_descriptors);
  fixture.turn();
  fixture.agent.send_bytes(
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");
  fixture.turn();
  fixture.advance_to(fixture.now_ms + 1400);
  EXPECT_FALSE(fixture.dialled());
  fixture.advance_to(fixture.now_ms + 200);
  EXPECT_TRUE(fixture.dialled());
}

// Guards against an overload of discovery: the watches of a fleet fall silent together, and the reconnects
// must be spread over time.
TEST(DiscoveryWatchRenewal, FleetDoesNotReopenItsWatchesAtOnce) {
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

// The grace of a pushed drain starts when the agent knows of it, so the backoff stays near a quarter of the
// grace. The backoff of a polled discovery grows longer.
TEST(DiscoveryWatchRenewal, ReturningPushAgentIsCalledWithinTheGrace) {
  for (double grace : {150.0, 400.0}) {
    ClientFixture fixture(7, grace), polled(7);
    for (int i = 0; i < 12; ++i) {
      for (auto* each : {&fixture, &polled}) {
        each->advance_to(each->due_times.next());
        bool is_out_of_descriptors = false;
        each->agent.connection = each->agent.listener.accept(is_out_of_descriptors);
        ASSERT_TRUE(each->agent.connection) << i;
        each->agent.connection.close();
        each->turn();
      }
      EXPECT_LE(fixture.due_times.next() - fixture.now_ms, grace / 4 * 1.25 + 1e-6) << i;
    }
    EXPECT_GT(polled.due_times.next() - polled.now_ms, 1000);
  }
}

// Guards against a watch that stays open while its agent never ends a line: bytes without a line end do not
// extend the deadline.
TEST(DiscoveryWatchRenewal, WatchThatNeverEndsALineIsReopened) {
  // Polled, because a pushed watch without lists is reopened in any case.
  ClientFixture fixture(7);
  ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET "));
  double started_at_ms = fixture.now_ms;
  bool is_reopened = false;
  for (int i = 0; i < 20 && !is_reopened; ++i) {
    fixture.send_chunk("{");
    fixture.advance_to(fixture.now_ms + 500);
    is_reopened = fixture.dialled();
  }
  EXPECT_TRUE(is_reopened);
  EXPECT_LE(fixture.now_ms - started_at_ms, 4000);
}

// A pushed watch that receives only blank lines is reopened; lists keep the watch open.
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

// Guards against a change that is received later than 6 s after discovery's return from an outage of any
// kind. Connections from the outage stay unusable.
TEST(DiscoveryWatchRenewal, ChangeArrivesWithinSixSecondsOfAnOutage) {
  enum class OutageKind : std::uint8_t {
    closes,
    silent,
    unavailable,
    trickles_head,
    trickles_line,
    watch_dies
  };
  double max_delay_ms = 0;
  for (auto outage_kind : {OutageKind::closes, OutageKind::silent, OutageKind::unavailable,
                           OutageKind::trickles_head, OutageKind::trickles_line, OutageKind::watch_dies})
    for (std::optional<double> grace : {std::optional<double>(), std::optional<double>(400)})
      for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        // A pushed watch has no growing backoff, so one seed covers it.
        if (grace && seed > 1) continue;
        ClientFixture fixture(seed, grace);
        if (outage_kind == OutageKind::watch_dies) fixture.watch(empty_list);
        std::vector<transport::Fd> open_connections;
        double outage_end_ms = fixture.now_ms + std::pow(4.5, static_cast<double>(seed)) * 230;
        for (; fixture.now_ms < outage_end_ms; fixture.advance_to(fixture.now_ms + 500)) {
          for (bool is_out_of_descriptors = false;
               auto fd = fixture.agent.listener.accept(is_out_of_descriptors);) {
            fixture.turn();
            std::string_view text = outage_kind == OutageKind::unavailable
                                        ? "HTTP/1.1 503 No\r\nRetry-After: 9\r\nContent-Length: 0\r\n\r\n"
                                    : outage_kind == OutageKind::trickles_line
                                        ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        : "";
            static_cast<void>(send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL));
            if (outage_kind == OutageKind::closes) fd.close();
            if (fd) open_connections.push_back(std::move(fd));
            fixture.turn();
          }
          std::string_view trickled_bytes = outage_kind == OutageKind::trickles_head   ? "H"
                                            : outage_kind == OutageKind::trickles_line ? "1\r\n{\r\n"
                                                                                       : "";
          for (auto& fd : open_connections)
            static_cast<void>(send(fd.get(), trickled_bytes.data(), trickled_bytes.size(), MSG_NOSIGNAL));
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
        double recovered_at_ms = fixture.now_ms;
        while (!list_received() && fixture.now_ms < recovered_at_ms + 9000) {
          fixture.watch(R"({"seq":9,"whole":true,"hosts":[]})");
          fixture.advance_to(fixture.now_ms + 20);
        }
        max_delay_ms = std::max(max_delay_ms, fixture.now_ms - recovered_at_ms);
        EXPECT_LE(fixture.now_ms - recovered_at_ms, 5500)
            << static_cast<int>(outage_kind) << " seed " << seed << " " << grace.has_value();
      }
  RecordProperty("max_delay_ms", std::to_string(max_delay_ms));
}

}  // namespace
}  // namespace meadowgauge::proxy
