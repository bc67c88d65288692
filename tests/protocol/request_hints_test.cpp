// Tests of the parsers of request hints, load reports and request targets.
#include "protocol/request_hints.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "protocol/load_report.hpp"
#include "protocol/target.hpp"

namespace meadowgauge::protocol {
namespace {

TEST(LoadReport, FollowsTheConfiguredColumns) {
  std::vector<std::string_view> columns = {"err_ps", "load_share"};
  auto r = read_load_report("util=0.61, eps=2,other=7", columns);
  EXPECT_EQ(r.count, 2);
  EXPECT_FLOAT_EQ(r.values[0], 2);
  EXPECT_FLOAT_EQ(r.values[1], 0.61f);
  EXPECT_EQ(read_load_report("err_ps=1,load_share=0.5", columns).count, 2);
  EXPECT_EQ(read_load_report("eps=1", columns).count, 1);
  for (const auto* bad : {"", "util=0.5", "eps=x,util=1", "eps=nan,util=1", "=,=", "eps", "eps=1x",
                          "eps=1,util=-0.1", "eps=1,util=99", "eps=-1,util=0.5", "eps=1e30,util=0.5",
                          "eps=1,util=0.5,util=0.5", "eps=1,util=0.5,\x01"})
    EXPECT_EQ(read_load_report(bad, columns).count, 0) << bad;
}

TEST(CallInfo, SkipsInvalidItems) {
  auto a = read_request_hints("work_ms=12.5, entity=tool-7,tier=2");
  EXPECT_EQ(a.work_ms, 12.5);
  EXPECT_EQ(a.key, stable_hash("tool-7"));
  EXPECT_EQ(read_request_hints("hint=3,key=9").work_ms, 3);
  EXPECT_EQ(read_request_hints("entity=0").key, 0U);
  for (std::string bad : {"", ",", "=", "work_ms", "work_ms=", "work_ms=x", "work_ms=-1", "work_ms=0",
                          "work_ms=nan", "work_ms=inf", "work_ms=1e300", "work_ms=1 2", "entity="}) {
    auto c = read_request_hints(bad);
    EXPECT_EQ(c.work_ms, 0) << bad;
    EXPECT_EQ(c.key, 0U) << bad;
  }
  std::string whole = "work_ms=12.5,entity=tool-7";
  for (std::size_t n = 0; n < whole.size(); ++n) read_request_hints(whole.substr(0, n));
}

// Guards against a path that the balancer classifies by one prefix and a server resolves to another.
TEST(Target, DetectsPathsThatMayLeaveTheirPrefix) {
  for (std::string good :
       {"/r/1", "/r", "/r/", "/r/a/../b", "/r/./1", "/r/a%20b", "/r/..a/b", "/r/a//b", "/r/1.2", "/r/a%2fb",
        "/r/a\\b", "/r/...", "/r/a;v=1/b", "/r/%zz", "/r/%", "/r/%2"})
    EXPECT_TRUE(resolves_under_first_segment(good)) << good;
  for (std::string bad : {"/r/../w/1",
                          "/r/..",
                          "/r/%2e%2e/w",
                          "/r/%2E./w",
                          "/r/.%2e/w",
                          "/r/..%2fw",
                          "/r%2f../w",
                          "/r/..\\w",
                          "/r\\..\\w",
                          "/r/%5c../../w",
                          "/r/./../w",
                          "/r/a/../../w",
                          "/r/a%2fb/../../w",
                          "/r//../w",
                          "/r/x//../../w",
                          "/r/%252e%252e/w",
                          "/r/%25252e%2525252e/w",
                          "/r/..;/w",
                          "/r/..;v=1/w",
                          "/../r/1",
                          "/r/%2525252525252e./w"})
    EXPECT_FALSE(resolves_under_first_segment(bad)) << bad;
  EXPECT_EQ(first_segment(path_of("/r?a=/../w")), "r");
  EXPECT_EQ(first_segment("r"), "");
}

}  // namespace
}  // namespace meadowgauge::protocol
