// Tests of faults without I/O: positions in the byte stream, text form, limits, and faults of datagrams. A
// fault that moves with the read sizes or the seed's use would make runs unrepeatable.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "testbed/fixtures.hpp"
#include "testbed/model/datagram_fault.hpp"
#include "testbed/model/fault_injector.hpp"

namespace meadowgauge::testbed {
namespace {

const std::string request =
    "POST /pay/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: v1\r\nContent-Length: 5\r\n\r\nhello";
const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

// The forwarded bytes, and each fault with its position in them.
struct Passed {
  std::string bytes;
  std::vector<std::pair<std::size_t, FaultInjection::Kind>> faults;
};
// Feeds `bytes` to the injector in pieces of `piece` bytes.
Passed pass(FaultInjector& injector, Direction direction, const std::string& bytes, std::size_t piece,
            double now_ms = 0) {
  Passed passed;
  for (std::size_t at = 0; at < bytes.size(); at += piece)
    for (auto& step : injector.feed(direction, std::string_view(bytes).substr(at, piece), now_ms)) {
      passed.bytes += step.pass;
      if (step.fault) passed.faults.emplace_back(passed.bytes.size(), step.fault->kind);
    }
  return passed;
}

TEST(FaultInjector, InjectsAtTheSameByteHoweverTheBytesAreSplit) {
  const std::pair<std::string, std::size_t> cases[] = {
      {"cut at=end", request.size()},
      {"cut at=end after=1", 2 * request.size()},
      {"reset at=byte:17", 17},
      {"cut at=header:x-call-id", request.find("v1")},
      {"half at=body", request.find("hello")},
      {"silence at=body:3", request.find("hello") + 3},
      {"cut at=header:Host after=2", 2 * request.size() + request.find("b\r\n")},
  };
  const std::string all = request + request + request;
  for (const auto& [text, byte] : cases)
    for (std::size_t piece = 1; piece <= all.size(); ++piece) {
      InjectionPlan plan({parse_fault(text)}, 3);
      FaultInjector injector(plan, 0);
      auto passed = pass(injector, Direction::to_server, all, piece);
      ASSERT_EQ(passed.faults.size(), 1U) << text;
      EXPECT_EQ(passed.faults[0].first, byte) << text << " in pieces of " << piece;
      auto injected = injector.take_injected();
      ASSERT_EQ(injected.size(), 1U);
      EXPECT_EQ(injected[0].byte, byte);
    }
}

TEST(FaultInjector, DirectionsAreIndependent) {
  InjectionPlan plan({parse_fault("cut at=body way=client"), parse_fault("delay ms=5 at=end way=server")}, 3);
  FaultInjector injector(plan, 0);
  auto forward = pass(injector, Direction::to_server, request, 9);
  ASSERT_EQ(forward.faults.size(), 1U);
  EXPECT_EQ(forward.faults[0].second, FaultInjection::Kind::delay);
  auto backward = pass(injector, Direction::to_client, response, 9);
  ASSERT_EQ(backward.faults.size(), 1U);
  EXPECT_EQ(backward.bytes, response.substr(0, response.find("done")));
}

TEST(FaultInjector, CorruptionStaysInItsHeaderAndRepeatsBySeed) {
  auto corrupted = [](std::uint64_t seed, std::size_t piece) {
    InjectionPlan plan({parse_fault("garble at=header:X-Call-Id bytes=2")}, seed);
    FaultInjector injector(plan, 4);
    return pass(injector, Direction::to_server, request, piece).bytes;
  };
  auto corrupted_once = corrupted(3, 1);
  EXPECT_EQ(corrupted_once.size(), request.size());
  auto at = request.find("v1");
  for (std::size_t i = 0; i < request.size(); ++i)
    EXPECT_EQ(corrupted_once[i] != request[i], i == at || i == at + 1) << i;
  EXPECT_EQ(corrupted_once, corrupted(3, request.size()));
  EXPECT_NE(corrupted_once, corrupted(4, 1));
}

TEST(FaultInjector, ConnectionsSharesTimesAndBoundsAreKept) {
  InjectionPlan plan({parse_fault("cut at=connect every=3 most=2"),
                      parse_fault("reset at=byte:0 share=0.5 from=100 until=200")},
                     9);
  std::vector<int> cut, reset;
  for (int c = 0; c < 40; ++c) {
    FaultInjector injector(plan, static_cast<std::uint64_t>(c));
    if (!injector.connected(0).empty()) {
      cut.push_back(c);
      EXPECT_TRUE(
          injector.feed(Direction::to_server, request, 150).empty());  // a closed connection forwards nothing
      continue;
    }
    EXPECT_TRUE(pass(injector, Direction::to_server, "G", 1, 50).faults.empty());
    FaultInjector later(plan, static_cast<std::uint64_t>(c));
    if (!pass(later, Direction::to_server, "G", 1, 150).faults.empty()) reset.push_back(c);
  }
  EXPECT_EQ(cut, (std::vector<int>{0, 3}));
  EXPECT_GT(reset.size(), 8U);
  EXPECT_LT(reset.size(), 30U);
}

TEST(FaultInjector, UnparsableBytesMatchBytePositionsOnly) {
  InjectionPlan plan({parse_fault("cut at=end"), parse_fault("cut at=byte:30")}, 9);
  FaultInjector injector(plan, 0);
  auto passed = pass(injector, Direction::to_server, std::string(50, '\n') + request, 7);
  ASSERT_EQ(passed.faults.size(), 1U);
  EXPECT_EQ(passed.faults[0].first, 30U);
}

TEST(FaultInjector, AllBytesPassUntilAFaultIsInjected) {
  ASSERT_TRUE(rc::check([](const std::vector<std::string>& pieces, std::uint16_t at, std::uint64_t seed) {
    InjectionPlan plan({parse_fault("cut at=byte:" + std::to_string(at % 200)),
                        parse_fault("garble at=header:Host bytes=1")},
                       seed);
    FaultInjector injector(plan, seed % 5);
    std::string in, out;
    bool closed = false;
    for (auto piece : pieces) {
      if (piece.size() % 3 == 0) piece = request + piece;
      for (auto& step : injector.feed(Direction::to_server, piece, 0)) {
        RC_ASSERT(!closed);
        out += step.pass;
        closed = closed || step.fault.has_value();
      }
      in += piece;
    }
    RC_ASSERT(out.size() == (closed ? at % 200U : in.size()));
    RC_ASSERT(closed == (in.size() > at % 200U));
  }));
}

TEST(InjectionPlan, IsBoundedAndReplacedFaultsReachOpenConnections) {
  InjectionPlan plan({parse_fault("garble at=byte:0 bytes=1")}, 9);
  FaultInjector injector(plan, 0);
  pass(injector, Direction::to_server, "GET", 1);
  plan.clear();
  plan.add(parse_fault("cut at=byte:3"));
  EXPECT_EQ(pass(injector, Direction::to_server, " /", 1).faults.size(), 1U);
  while (plan.entries().size() < InjectionPlan::max_entries) EXPECT_TRUE(plan.add(parse_fault("cut at=end")));
  EXPECT_FALSE(plan.add(parse_fault("cut at=end")));
}

TEST(FaultInjection, TextIsParsedStrictlyAndRoundTrips) {
  for (std::string invalid : {"", "smash", "cut at=nowhere", "cut at=byte", "cut at=byte:x",
                              "cut at=byte:9-3", "cut at=header", "cut at=end:1", "throttle at=end",
                              "cut every=0", "cut share=2", "cut color=red", "cut most", "delay ms=-1"}) {
    auto result = FaultInjection::parse(invalid);
    const auto* error = std::get_if<FaultInjectionError>(&result);
    ASSERT_TRUE(error) << invalid;
    EXPECT_FALSE(error->text().empty());
  }
  for (std::string valid :
       {"delay at=byte:3-9 way=client ms=5 after=2 every=3 share=0.25 most=4 from=10 until=20 target=s1",
        "garble at=header:Host way=server bytes=3", "throttle at=time:50 way=server rate=1000"})
    EXPECT_EQ(parse_fault(parse_fault(valid).text()).text(), valid);
}

TEST(FaultInjection, ErrorsHaveKindAndField) {
  using Kind = FaultInjectionError::Kind;
  const std::tuple<std::string, Kind, std::string> cases[] = {
      {"", Kind::empty, ""},
      {"smash at=end", Kind::unknown_fault, "smash"},
      {"cut at=end most", Kind::unreadable_field, "most"},
      {"cut at=moon every=2", Kind::unreadable_field, "at=moon"},
      {"throttle at=end", Kind::missing_rate, "rate"}};
  for (const auto& [text, kind, field] : cases) {
    auto result = FaultInjection::parse(text);
    const auto* error = std::get_if<FaultInjectionError>(&result);
    ASSERT_TRUE(error) << text;
    EXPECT_EQ(error->kind, kind) << text;
    EXPECT_EQ(error->field, field) << text;
  }
}

TEST(DatagramPath, FaultsAreTheSameForASeedAndKeepToTheirDirection) {
  std::vector<DatagramFault> faults{
      {.kind = DatagramFault::Kind::cut, .from = {0}, .to = {1}, .both = false, .at_ms = 100, .for_ms = 100},
      {.kind = DatagramFault::Kind::drop,
       .from = {2},
       .to = {},
       .both = true,
       .at_ms = 0,
       .for_ms = 1000,
       .share = 0.5}};
  DatagramPath forward(faults, 0, 1, 7), backward(faults, 1, 0, 7);
  EXPECT_EQ(forward.send("x", 50).size(), 1u);
  EXPECT_EQ(forward.send("x", 150).size(), 0u);
  EXPECT_EQ(backward.send("x", 150).size(), 1u);
  EXPECT_EQ(forward.send("x", 200).size(), 1u);
  DatagramPath a(faults, 1, 2, 7), b(faults, 1, 2, 7);
  std::size_t deliveries = 0;
  for (int k = 0; k < 200; ++k) {
    auto delivery_count = a.send("x", 10).size();
    EXPECT_EQ(delivery_count, b.send("x", 10).size());
    deliveries += delivery_count;
  }
  EXPECT_GT(deliveries, 70u);
  EXPECT_LT(deliveries, 130u);
}

}  // namespace
}  // namespace meadowgauge::testbed
