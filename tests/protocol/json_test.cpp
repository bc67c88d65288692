// Tests of the JSON parser and of the conversion to settings.
#include "protocol/json.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

namespace meadowgauge::protocol {
namespace {

using Settings = std::map<std::string, std::string, std::less<>>;

TEST(Json, FlattensToSettingPaths) {
  auto v = Json::parse(
      R"({"a":{"b":1.50,"c":[1,"x y",true,null]},"list":[{"n":"one, two"},{"n":2}],"none":[],"t":false,"z":null})");
  ASSERT_TRUE(v);
  Settings s;
  flatten(*v, "", s);
  EXPECT_EQ(s, (Settings{{"a.b", "1.50"},
                         {"a.c", "1,x_y,true,"},
                         {"list.0.n", "one__two"},
                         {"list.1.n", "2"},
                         {"list.count", "2"},
                         {"none", ""},
                         {"t", "false"},
                         {"z", ""}}));
}

TEST(Json, RejectsInvalidJson) {
  for (std::string bad : {"",    "{",   "[1,]",       "{\"a\"}", "{\"a\":}", "{a:1}",     "tru",
                          "01x", "nan", "-",          "\"\n\"",  R"("\x")",  R"("\u12")", "1 2",
                          "[1",  "\"a", "{\"a\":1,}", "+1",      ".5",       "1e999"}) {
    JsonError error;
    EXPECT_FALSE(Json::parse(bad, &error)) << bad;
    EXPECT_NE(error.fault, JsonFault::none) << bad;
    EXPECT_LE(error.at_byte, bad.size()) << bad;
  }
  EXPECT_FALSE(Json::parse(std::string(100000, '[')));
  EXPECT_EQ(*Json::parse(R"("\u00e9\ud83d\ude00\n\/")")->text(), "\xc3\xa9\xf0\x9f\x98\x80\n/");
}

}  // namespace
}  // namespace meadowgauge::protocol
