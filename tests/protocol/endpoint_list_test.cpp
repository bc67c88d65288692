// Tests of the endpoint list parser and of the line framing of a watch.
#include "protocol/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <string>

namespace meadowgauge::protocol {
namespace {

// Guards against lines that are lost or split when a read ends within a line or within a line ending.
TEST(WatchLines, SplitInputYieldsTheSameLines) {
  const std::string text = "{\"seq\":1}\r\n\n\n{\"seq\":2}\npart";
  for (std::size_t at = 0; at <= text.size(); ++at) {
    LineReader lines;
    std::string got;
    auto take = [&](std::string_view l) { got += "<" + std::string(l) + ">"; };
    lines.feed(text.substr(0, at), take);
    lines.feed(text.substr(at), take);
    EXPECT_EQ(got, "<{\"seq\":1}><><><{\"seq\":2}>") << at;
  }
}

// Guards against one invalid entry that invalidates the whole list, and against a value that is not a list
// but is accepted as one.
TEST(EndpointList, SkipsAndReportsInvalidEntries) {
  auto l = read_endpoint_list(*Json::parse(
      R"({"seq":43,"whole":true,"hosts":[7,{"host":"a","dial":"1.2.3.4:5","site":"z","class":"k","block":3,)"
      R"("health":"leaving","share":1.5,"born_ms":1700000000123},{"host":"b","dial":"x:1","health":"asleep"},)"
      R"({"dial":"1.2.3.4:5","health":"active"},{"host":"c","health":"active"},{"host":"d","health":"left"}]})"));
  ASSERT_TRUE(l);
  EXPECT_EQ(l->seq, 43);
  EXPECT_TRUE(l->full);
  ASSERT_EQ(l->hosts.size(), 2u);
  EXPECT_EQ(l->hosts[0].started_ms, 1700000000123.0);
  EXPECT_EQ(l->hosts[0].block, 3);
  EXPECT_EQ(l->hosts[0].health, EndpointListEntry::Health::leaving);
  EXPECT_EQ(l->hosts[1].health, EndpointListEntry::Health::left);
  EXPECT_EQ(l->skipped.size(), 4u);
  for (const auto* bad : {"[]", "{}", R"({"seq":1})", R"({"seq":"x","hosts":[]})", R"({"seq":1,"hosts":{}})"})
    EXPECT_FALSE(read_endpoint_list(*Json::parse(bad))) << bad;
}

}  // namespace
}  // namespace meadowgauge::protocol
