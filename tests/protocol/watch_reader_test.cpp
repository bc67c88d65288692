// Tests of the parser of watch bodies, without sockets: lists on one line and on several lines, truncated
// lists and unreadable text.
#include "protocol/watch_reader.hpp"

#include <gtest/gtest.h>

#include <string>

namespace meadowgauge::protocol {
namespace {

// One letter per event: l: line, i: incomplete list, L: list, u: unreadable text.
std::string kinds(const std::vector<WatchEvent>& events) {
  std::string letters;
  for (const auto& event : events) letters += "liLu"[event.index()];
  return letters;
}

TEST(WatchReader, ReportsEveryLineAndEveryList) {
  WatchReader reader;
  EXPECT_EQ(kinds(reader.feed("\n")), "l");
  EXPECT_EQ(kinds(reader.feed(R"({"seq":7,"whole":false,)")), "");
  auto events = reader.feed("\"hosts\":[]}\n \n");
  ASSERT_EQ(kinds(events), "lLl");
  EXPECT_EQ(std::get<EndpointList>(events[1]).seq, 7);
}

TEST(WatchReader, MultiLineListEndsAtItsClosingBracket) {
  WatchReader reader;
  EXPECT_EQ(kinds(reader.feed("{\n \"seq\": 7,\n")), "lili");
  EXPECT_EQ(kinds(reader.feed(" \"whole\": true, \"hosts\": []\n}\n")), "lilL");
}

// Guards against a truncated list that absorbs the next list.
TEST(WatchReader, ReadsTheListAfterATruncatedList) {
  const std::string next = R"({"seq":8,"whole":true,"hosts":[]})"
                           "\n";
  WatchReader reader;
  EXPECT_EQ(kinds(reader.feed("{\n\n")), "liul");
  EXPECT_EQ(kinds(reader.feed("{\n" + next)), "liulL");
}

TEST(WatchReader, ReportsWhyTextIsUnreadable) {
  WatchReader reader;
  auto events = reader.feed("[]\n");
  ASSERT_EQ(kinds(events), "lu");
  EXPECT_EQ(std::get<UnreadableEndpointList>(events[1]).reason, "not an endpoint list");
  EXPECT_EQ(kinds(reader.feed(std::string(WatchReader::max_list_bytes + 1, 'x') + "\n")), "u");
}

}  // namespace
}  // namespace meadowgauge::protocol
