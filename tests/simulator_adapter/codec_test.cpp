// Tests of the simulator's wire protocol: valid and damaged frames, and the meaning of their records.
#include "simulator_adapter/codec.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <optional>

#include "simulator_adapter/host.hpp"
#include "simulator_adapter/wire_messages.hpp"

namespace meadowgauge::simulator_adapter {
namespace {

// A batch of `count` records. `size_in_header`: the size in the header, if it should differ from the
// real size.
std::string frame(std::uint32_t count, const std::string& rest, double now_ms = 1000,
                  int size_in_header = -1) {
  std::uint32_t size =
      size_in_header >= 0 ? size_in_header : static_cast<std::uint32_t>(batch_header_size + rest.size());
  std::string s(batch_header_size, '\0');
  std::memcpy(s.data(), &count, 4);
  std::memcpy(s.data() + 4, &size, 4);
  std::memcpy(s.data() + 8, &now_ms, 8);
  return s + rest;
}

TEST(Batch, AcceptsNoRecords) {
  auto f = frame(0, "");
  Batch b(f);
  EXPECT_EQ(b.size(), 0u);
  EXPECT_EQ(b.now_ms(), 1000);
}

// The fault that `handle` throws; absent if it throws none.
template <class F>
std::optional<FrameFault> fault_of(F&& handle) {
  try {
    handle();
  } catch (const FrameError& error) {
    EXPECT_EQ(error.what(), describe(error.fault()));
    return error.fault();
  }
  return std::nullopt;
}

TEST(Batch, RejectsInvalidSizes) {
  auto refused = [](const std::string& f) { return fault_of([&] { Batch{f}; }); };
  EXPECT_EQ(refused("short"), FrameFault::short_header);
  EXPECT_EQ(refused(frame(1, "")), FrameFault::record_count_too_large);
  EXPECT_EQ(refused(frame(0xffffffff, std::string(48, '\0'))), FrameFault::record_count_too_large);
  EXPECT_EQ(refused(frame(0, "", 0, 17)), FrameFault::batch_size_mismatch);
  EXPECT_EQ(refused(frame(0, "", std::numeric_limits<double>::quiet_NaN())), FrameFault::clock_out_of_range);
  auto f = frame(0, "tail");
  Batch b(f);
  EXPECT_EQ(b.tail(1, 3), "ail");
  EXPECT_THROW((void)b.tail(5, 0), FrameError);
  EXPECT_THROW((void)b.tail(1, 4), FrameError);
  EXPECT_THROW((void)b.tail(0, 0x10000000, 22), FrameError);
}

TEST(Reply, SelectsInstancesOnceAndAppendsTheTail) {
  Reply r;
  r.clear();
  EXPECT_EQ(r.frame().size(), reply_header_size);
  r.clear();
  r.select_instance(3);
  r.forward_request(0x22c765d3a91c4, 0x3124a07, 80.0);
  r.set_timer(500, 77);
  r.select_instance(5);
  r.log_line("two servers known");
  auto f = r.frame();
  ASSERT_EQ(f.size(), reply_header_size + 5 * action_size + 17);
  EXPECT_EQ(load<std::uint32_t>(f.data()), 5u);
  EXPECT_EQ(load<std::uint32_t>(f.data() + 4), 145u);
  Record fwd{f.data() + reply_header_size + action_size};
  EXPECT_EQ(fwd.code(), static_cast<std::uint8_t>(ActionCode::forward_request));
  EXPECT_EQ(fwd.get<std::uint64_t>(1), 0x22c765d3a91c4u);
  EXPECT_EQ(fwd.get<std::uint32_t>(9), 0x3124a07u);
  EXPECT_EQ(fwd.get<double>(13), 80.0);
  EXPECT_EQ(f.substr(f.size() - 17), "two servers known");
}

// A record with this code and with `fields` without gaps.
template <class... Fields>
std::string record(EventCode code, Fields... fields) {
  std::string bytes(event_size, '\0');
  bytes[0] = static_cast<char>(code);
  std::size_t at = 1;
  (..., (std::memcpy(bytes.data() + at, &fields, sizeof fields), at += sizeof fields));
  return bytes;
}

TEST(WireMessages, UnknownOutcomesAreErrors) {
  auto outcome = [](std::uint16_t code) {
    auto bytes = record(EventCode::probe_done, std::uint32_t{7}, code, 2.5);
    return read_probe_done({bytes.data()}).outcome;
  };
  EXPECT_EQ(outcome(10), Outcome::succeeded);
  EXPECT_EQ(outcome(30), Outcome::rejected);
  EXPECT_EQ(outcome(40), Outcome::timeout);
  EXPECT_EQ(outcome(50), Outcome::unreachable);
  EXPECT_EQ(outcome(60), Outcome::reset);
  EXPECT_EQ(outcome(70), Outcome::cancelled);
  EXPECT_EQ(outcome(80), Outcome::superseded);
  for (std::uint16_t code : {0, 11, 20, 90, 65535}) EXPECT_EQ(outcome(code), Outcome::error) << code;
}

TEST(WireMessages, LoadReportsHoldAtMostFourValues) {
  auto bytes = record(EventCode::probe_done, std::uint32_t{7}, std::uint16_t{10}, 2.5, std::uint8_t{200},
                      1.0F, 2.0F, 3.0F, 4.0F, 5.0F);
  auto probe = read_probe_done({bytes.data()});
  EXPECT_EQ(probe.upstream, 7u);
  EXPECT_EQ(probe.duration_ms, 2.5);
  EXPECT_EQ(probe.load_report.count, 4);
  EXPECT_EQ(probe.load_report.values[3], 4.0F);
}

TEST(Host, IgnoresLateEventsAndRejectsUnknownLists) {
  Host host;
  const std::string settings = "stage=0\n";
  auto select = record(EventCode::select_instance, std::uint16_t{3});
  auto start = record(EventCode::start_instance, std::uint64_t{9}, std::uint32_t{0},
                      static_cast<std::uint32_t>(settings.size()));
  auto update = record(EventCode::endpoint_update, std::uint8_t{1}, std::uint32_t{0}, std::uint16_t{7});
  auto handle = [&](const std::string& f) { return std::string(host.handle(Batch(f))); };
  EXPECT_EQ(fault_of([&] { handle(frame(1, start + settings)); }), FrameFault::no_instance_selected);
  EXPECT_EQ(handle(frame(2, select + update)).size(), reply_header_size);  // instance 3 has not started
  // The reply has the record that selects the instance, and its first periodic timer.
  EXPECT_EQ(handle(frame(2, select + start + settings)).size(), reply_header_size + 2 * action_size);
  EXPECT_EQ(fault_of([&] { handle(frame(2, select + update)); }), FrameFault::unknown_endpoint_list);
  EXPECT_EQ(handle(frame(2, select + record(EventCode::stop_instance))).size(), reply_header_size);
  EXPECT_EQ(handle(frame(2, select + update)).size(), reply_header_size);
}

TEST(Settings, HaveOnePerLine) {
  auto s = parse_settings("a.b=1\nskip\n=x\nc=2=3\r\nd=");
  EXPECT_EQ(s, (Settings{{"a.b", "1"}, {"c", "2=3"}, {"d", ""}}));
}

}  // namespace
}  // namespace meadowgauge::simulator_adapter
