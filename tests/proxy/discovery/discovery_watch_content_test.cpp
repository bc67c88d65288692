// The lists that the discovery client reads from a watch, and the calls that it makes after a move to another
// discovery or after an unreadable line.
#include <gtest/gtest.h>

#include <string>

#include "fixtures/discovery_client_fixture.hpp"
#include "protocol/watch_reader.hpp"

namespace meadowgauge::proxy {
namespace {

// Guards against an overload of the new discovery when a reload moves a whole fleet at once: watches continue
// from their version, and complete lists are fetched after a delay.
TEST(DiscoveryWatchContent, MovedPollingWatchFetchesTheListLater) {
  ClientFixture fixture;
  DiscoveryStandIn other(fixture.loop);
  fixture.move_to(other);
  EXPECT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets?watch=1&after=5 "));
  fixture.open_watch(other, R"({"seq":6,"whole":false,"hosts":[]})");
  fixture.advance_to(fixture.now_ms + 100);
  fixture.send_blank_line(other);
  EXPECT_EQ(fixture.accept_request(other), "");
  fixture.advance_to(fixture.now_ms + 400);
  fixture.send_blank_line(other);
  EXPECT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets HTTP"));
  std::string list = R"({"seq":7,"whole":true,"hosts":[]})";
  other.send_bytes("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  fixture.turn();
  EXPECT_TRUE(other.received().starts_with("GET /api/targets?watch=1&after=7 "));
  EXPECT_TRUE(fixture.received(fixture.client.updates().size() - 1).full);
}

// Guards against endpoints that stay in use after they have left: lower versions show that the new discovery
// counts independently, and only a complete list shows which endpoints have left.
TEST(DiscoveryWatchContent, LowerVersionsFetchTheCompleteListAtOnce) {
  ClientFixture fixture;
  DiscoveryStandIn other(fixture.loop);
  fixture.move_to(other);
  ASSERT_FALSE(fixture.accept_request(other).empty());
  fixture.open_watch(other, R"({"seq":2,"whole":false,"hosts":[]})");
  EXPECT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets HTTP"));
}

// Guards against a watch that stops when an overloaded discovery refuses the complete list.
TEST(DiscoveryWatchContent, MovedWatchContinuesIfTheListIsRefused) {
  ClientFixture fixture;
  DiscoveryStandIn other(fixture.loop);
  fixture.move_to(other);
  ASSERT_FALSE(fixture.accept_request(other).empty());
  fixture.open_watch(other, R"({"seq":6,"whole":false,"hosts":[]})");
  fixture.advance_to(fixture.now_ms + 500);
  fixture.send_blank_line(other);
  ASSERT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets HTTP"));
  other.send_bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  fixture.turn();
  fixture.advance_to(fixture.now_ms + 200);
  EXPECT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets?watch=1&after=6 "));
}

// A local agent sends the complete list without load on other balancers, and its drains apply after a short
// grace period, so the complete list is fetched first.
TEST(DiscoveryWatchContent, MovedPushWatchFetchesTheListFirst) {
  ClientFixture fixture(7, 250);
  DiscoveryStandIn other(fixture.loop);
  fixture.move_to(other);
  EXPECT_TRUE(fixture.accept_request(other).starts_with("GET /api/targets HTTP"));
}

// Guards against a lost drain: an unreadable line may contain one, so the watch is reopened from the last
// readable version even if other lines follow.
TEST(DiscoveryWatchContent, UnreadableLineIsRequestedAgain) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ClientFixture fixture(seed);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET "));
    fixture.agent.send_bytes("9\r\n{\"seq\":6\n\r\n");
    fixture.turn();
    fixture.agent.send_bytes("23\r\n{\"seq\":7,\"whole\":false,\"hosts\":[]}\n\r\n");
    fixture.turn();
    fixture.advance_to(fixture.now_ms + 1000);
    ASSERT_FALSE(fixture.dialled());
    fixture.advance_to(fixture.now_ms + 800);
    ASSERT_TRUE(fixture.watch(empty_list).starts_with("GET /api/targets?watch=1&after=5 "));
  }
}

// Lists may be indented and split at any byte. A truncated list does not prevent the next list from being
// read.
TEST(DiscoveryWatchContent, IndentedListIsReadAsOneList) {
  const std::string indented =
      "{\n  \"seq\": 6,\n  \"whole\": false,\n  \"hosts\": [\n    {\n      \"host\":"
      " \"}x{\",\n      \"dial\": \"127.0.0.1:1\",\n\"health\": \"leaving\"\n    }\n  ]\n}\n";
  for (std::size_t cut = 1; cut < indented.size(); cut += 7) {
    ClientFixture fixture(7, 400.0);
    fixture.watch(empty_list);
    fixture.client.updates().clear();
    fixture.send_chunk(indented.substr(0, cut));
    fixture.send_chunk(indented.substr(cut));
    ASSERT_EQ(fixture.client.updates().size(), 1u) << cut;
    EXPECT_EQ(fixture.received(0).hosts.at(0).name, "}x{");
  }
  ClientFixture fixture(7, 400.0);
  fixture.watch(empty_list);
  fixture.client.updates().clear();
  fixture.send_chunk(indented.substr(0, 30));
  fixture.send_chunk("\n" + empty_list + "\n");
  ASSERT_EQ(fixture.client.updates().size(), 1u);
  EXPECT_EQ(fixture.received(0).seq, 5);
  fixture.advance_to(fixture.now_ms + 200);
  EXPECT_TRUE(fixture.dialled());  // the truncated list is requested again
}

// Large indented lists are received in many chunks.
TEST(DiscoveryWatchContent, ListOfTwoThousandServersIsReadWhole) {
  for (int n : {1024, 2000}) {
    std::string text = "{\n  \"seq\": 6,\n  \"whole\": true,\n  \"hosts\": [";
    for (int i = 0; i < n; ++i)
      text += std::string(i ? "," : "") + "\n    {\n      \"host\": \"s-" + std::to_string(100000 + i) +
              "\",\n      \"dial\": \"10.1.0.18:3000\",\n      \"site\": \"a\",\n      \"class\": \"m2\",\n"
              "      \"block\": 3,\n      \"health\": \"active\",\n      \"share\": 1.0,\n      \"born_ms\": "
              "0\n    }";
    text += "\n  ]\n}\n";
    ClientFixture fixture(7, 400.0);
    fixture.watch(empty_list);
    fixture.client.updates().clear();
    for (std::size_t at = 0; at < text.size(); at += 16000) fixture.send_chunk(text.substr(at, 16000));
    ASSERT_EQ(fixture.client.updates().size(), 1u) << n;
    EXPECT_EQ(fixture.received(0).hosts.size(), static_cast<std::size_t>(n));
  }
}

// A malformed or oversized line may contain a drain: the first repeated request follows at once, later ones
// at intervals of 1.5 s.
TEST(DiscoveryWatchContent, UnreadableLineIsReRequestedWithinTheGrace) {
  for (const std::string& line : {std::string("{\"seq\":6}\n"), std::string("{\"seq\":6"),
                                  std::string(protocol::LineReader::max_line_bytes + 100, ' ') + "\n"}) {
    ClientFixture fixture(7, 400.0);
    fixture.watch(empty_list);
    for (std::size_t at = 0; at < line.size(); at += 60000) fixture.send_chunk(line.substr(at, 60000));
    if (line.size() < 20 && !line.ends_with('\n'))
      continue;  // a watch with an incomplete line counts as silent
    fixture.advance_to(fixture.now_ms + 130);
    EXPECT_TRUE(fixture.dialled()) << line.substr(0, 20);
  }
  ClientFixture fixture(7, 400.0);
  int requests = 0;
  for (double until = fixture.now_ms + 6000; fixture.now_ms < until; fixture.advance_to(fixture.now_ms + 50))
    if (!fixture.watch("{\"seq\":6}").empty()) ++requests;
  EXPECT_GE(requests, 4);
  EXPECT_LE(requests, 8);
}

}  // namespace
}  // namespace meadowgauge::proxy
