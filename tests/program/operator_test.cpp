// The operator's own file, the log's two forms, and the program started from a file, without discovery.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "program/log.hpp"
#include "program/operator_file.hpp"
#include "program/platform_config.hpp"

namespace meadowgauge::program {
namespace {

using settings::Problem;

const std::string least = R"(listen = "127.0.0.1:0"
[[path_prefixes]]
name = "view"
repeat = "read-like"
[[servers]]
name = "s1"
address = "127.0.0.1:9001"
)";

std::vector<std::string> problems_of(const std::string& text) {
  std::vector<Problem> problems;
  read_operator_file(settings::read_text(text, "f"), 7, problems);
  std::vector<std::string> lines;
  for (const auto& p : problems) lines.push_back(settings::format_problem("f", p));
  return lines;
}

TEST(OperatorFile, DefaultsHoldWhereNothingIsSet) {
  std::vector<Problem> problems;
  auto s = read_operator_file(settings::read_text(least, "f"), 7, problems);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(s.seed, 7U);
  EXPECT_EQ(s.descriptors, 1024U);
  EXPECT_FALSE(s.discovery);
  EXPECT_EQ(s.settings.at("path_prefixes.0.repeat"), "idempotent");
  EXPECT_EQ(s.settings.at("limits.max_backend_fetches"), "3");
  EXPECT_EQ(s.settings.at("report.how"), "off");
  ASSERT_EQ(s.known.hosts.size(), 1U);
  EXPECT_EQ(s.known.hosts[0].zone, "here");
}

TEST(OperatorFile, TheExampleStatesTheDefaults) {
  auto example = read_operator_file(MEADOWGAUGE_EXAMPLE, 7);
  std::vector<Problem> problems;
  auto bare = read_operator_file(settings::read_text(least, "f"), 7, problems);
  for (const auto& [key, value] : bare.settings)
    if (!key.ends_with(".count")) {
      EXPECT_EQ(example.settings.at(key), value) << key;
    }
  EXPECT_EQ(example.memory_mb, bare.memory_mb);
  EXPECT_EQ(example.descriptors, bare.descriptors);
}

const std::string three = least + R"x([[tenants]]
name = "acme"
[limits]
[[limits.fleet]]
tenant = "acme"
rate = 300
burst = 60
[[limits.fleet]]
tenant = "(others)"
prefix = "view"
rate = 30
burst = 12
[fleet]
name = "b1"
listen = "127.0.0.1:7001"
[[fleet.peers]]
name = "b0"
address = "127.0.0.1:7000"
part = 2
[[fleet.peers]]
name = "b1"
address = "127.0.0.1:7001"
[[fleet.peers]]
name = "b2"
address = "127.0.0.1:7002"
)x";

std::string with(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(OperatorFile, AFleetIsReadAndItsBoundIsSaid) {
  std::vector<Problem> problems;
  auto s = read_operator_file(settings::read_text(three, "f"), 7, problems);
  ASSERT_TRUE(problems.empty());
  ASSERT_TRUE(s.fleet);
  EXPECT_EQ(s.fleet->terms.share, 0.25);
  ASSERT_EQ(s.fleet->terms.limits.size(), 2u);
  EXPECT_EQ(s.fleet->terms.limits[0].tenant, 0);
  EXPECT_EQ(s.fleet->terms.limits[1].tenant, fleet::match_others);
  EXPECT_EQ(s.fleet->terms.limits[1].request_class, 0);
  EXPECT_EQ(
      s.fleet->describe_bounds()[0],
      "limit acme/*: over any W ms the fleet admits at most 0.3 * W + 60; alone, this instance goes on with "
      "75 a second, 1010 ms after a cut or a start at the latest; at rest it holds 10 of the burst");
  // The digest is the same for another instance and another order of peers; not for another part.
  auto other =
      with(three, "name = \"b1\"\nlisten = \"127.0.0.1:7001", "name = \"b2\"\nlisten = \"127.0.0.1:7002");
  EXPECT_EQ(read_operator_file(settings::read_text(other, "f"), 7, problems).fleet->digest(),
            s.fleet->digest());
  auto parts = with(three, "part = 2", "part = 3");
  EXPECT_NE(read_operator_file(settings::read_text(parts, "f"), 7, problems).fleet->digest(),
            s.fleet->digest());
  // Without the table nothing of it is there.
  EXPECT_FALSE(read_operator_file(settings::read_text(least, "f"), 7, problems).fleet);
  // A reload that names a tenant which was not there at the start holds it for nobody, under the same number.
  auto c = *s.fleet;
  EXPECT_EQ(c.resolve_names({}, {"view"}), std::vector<std::string>{"acme/*"});
  EXPECT_EQ(c.terms.limits[0].tenant, fleet::match_none);
  EXPECT_EQ(c.digest(), s.fleet->digest());
}

// Some 350 processes stand before hundreds of servers: neither list has a cap that such a deployment meets.
TEST(OperatorFile, AFleetOfTwoThousandIsReadWhole) {
  for (int n : {1024, 2000}) {
    std::string text = least + "[fleet]\nname = \"b0\"\nlisten = \"127.0.0.1:7000\"\n";
    for (int i = 0; i < n; ++i)
      text += "[[fleet.peers]]\nname = \"b" + std::to_string(i) + "\"\naddress = \"127.0." +
              std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000\"\n";
    for (int i = 2; i <= n; ++i)
      text += "[[servers]]\nname = \"s" + std::to_string(i) + "\"\naddress = \"127.1." +
              std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":9000\"\n";
    std::vector<Problem> problems;
    auto s = read_operator_file(settings::read_text(text, "f"), 7, problems);
    ASSERT_TRUE(problems.empty()) << settings::format_problem("f", problems[0]);
    ASSERT_TRUE(s.fleet);
    EXPECT_EQ(s.fleet->members.size(), static_cast<std::size_t>(n));
    EXPECT_EQ(s.known.hosts.size(), static_cast<std::size_t>(n));
  }
}

TEST(OperatorFile, AFleetsProblemsAreNamed) {
  auto only = [](const std::string& text) {
    auto all = problems_of(text);
    EXPECT_EQ(all.size(), 1u) << text;
    return all.empty() ? std::string() : all[0].substr(all[0].find(": ") + 2);
  };
  EXPECT_EQ(only(with(three, "rate = 300\nburst = 60", "rate = 300\nburst = 5")),
            "limits leave less than one request at each instance: burst of acme/* is below 6");
  EXPECT_EQ(only(with(three, "name = \"b1\"\nlisten", "name = \"b7\"\nlisten")),
            "fleet.name is not among the peers: b7");
  EXPECT_EQ(only(with(three, "tenant = \"acme\"", "tenant = \"nobody\"")),
            "limits name a tenant or a path prefix that is not there: nobody/*");
  EXPECT_EQ(only(with(three, "address = \"127.0.0.1:7002\"", "address = \"127.0.0.1:7000\"")),
            "fleet.peers[2].address stands twice: 127.0.0.1:7000");
  EXPECT_EQ(only(with(three, "address = \"127.0.0.1:7002\"", "address = \"nowhere\"")),
            "fleet.peers[2].address is no address with a port: nowhere");
  EXPECT_NE(only(with(three, "part = 2", "part = -1")), "");
  EXPECT_NE(only(with(three, "part = 2", "pard = 2")), "");
}

TEST(OperatorFile, EachProblemIsNamedWithLineAndColumn) {
  using V = std::vector<std::string>;
  EXPECT_EQ(problems_of("limit = 1\n" + least), V{"f:1:1: limit is not known"});
  EXPECT_EQ(problems_of(least + "wait = 3\n"), V{"f:8:1: servers[0].wait is not known"});
  EXPECT_EQ(problems_of(least + "[limits]\n  fetches = 9\n"),
            V{"f:9:3: limits.fetches is not between 1 and 8"});
  EXPECT_EQ(problems_of(least + "[limits]\nfetches = \"2\"\n"),
            V{"f:9:1: limits.fetches is no whole number"});
  EXPECT_EQ(problems_of(least + "draining = 1\n"), V{"f:8:1: servers[0].draining is neither true nor false"});
  EXPECT_EQ(problems_of(least + "[[servers]]\nname = \"s1\"\naddress = \"127.0.0.1:9001\"\n"),
            (V{"f:9:1: servers[1].name stands twice: s1",
               "f:10:1: servers[1].address stands twice: 127.0.0.1:9001"}));
  EXPECT_EQ(problems_of(least + "[[path_prefixes]]\nname = \"a/b\"\nrepeat = \"often\"\n"),
            (V{"f:9:1: path_prefixes[1].name holds a character that can't stand there",
               "f:10:1: path_prefixes[1].repeat is not read-like, tagged or mutating"}));
  EXPECT_EQ(problems_of("discovery = \"127.0.0.1:1\"\n" + least),
            V{"f:6:3: servers stands beside discovery: one of them says where the list comes from"});
  EXPECT_EQ(problems_of("zones = [1]\n" + least), V{"f:1:10: zones holds what is no text"});
  EXPECT_EQ(problems_of("listen = \"here\"\n" + least.substr(least.find('\n') + 1)),
            V{"f:1:1: listen is no address with a port: here"});
}

TEST(OperatorFile, TheShapeOfADeploymentIsChecked) {
  std::vector<Problem> problems;
  auto s = read_operator_file(
      settings::read_text("balancers_in_zone = 400\nnumber = 7\nwarm_keys = true\ncrossing_price = 0.03\n" +
                              least + "[reports]\nhow = \"probe\"\ncolumns = [\"inflight\", \"queue\"]\n",
                          "f"),
      7, problems);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(s.settings.at("my_number"), "7");
  EXPECT_EQ(s.settings.at("specifics.warm_keys"), "true");
  EXPECT_EQ(s.settings.at("fees.cross_zone"), "0.03");
  EXPECT_EQ(s.settings.at("report.how"), "on_probe");
  EXPECT_EQ(s.settings.at("report.columns"), "concurrent,depth");
  using V = std::vector<std::string>;
  EXPECT_EQ(problems_of("number = 1\n" + least), V{"f:1:1: number is not below balancers_in_zone"});
  EXPECT_EQ(problems_of("warm_keys = 1\n" + least), V{"f:1:1: warm_keys is neither true nor false"});
  EXPECT_EQ(problems_of("crossing_price = 2\n" + least), V{"f:1:1: crossing_price is not between 0 and 1"});
}

TEST(PlatformFile, TheShapeOfADeploymentIsChecked) {
  auto wrong = [](const std::string& settings) -> std::string {
    proxy::Setup s;
    try {
      read_platform_file("{\"settings\":{" + settings + "}}", s, {});
      return "";
    } catch (const ConfigError& e) {
      return e.what();
    }
  };
  EXPECT_EQ(wrong(R"("my_number":3,"limits":{"peer_messages":true},"specifics":{"warm_keys":false})"), "");
  EXPECT_EQ(wrong(R"("my_number":-1)"), "settings.my_number is not between 0 and 65535");
  EXPECT_EQ(wrong(R"("limits":{"peer_messages":"yes"})"),
            "settings.limits.peer_messages is not true or false");
  EXPECT_EQ(wrong(R"("specifics":{"warm_keys":2})"), "settings.specifics.warm_keys is not true or false");
  EXPECT_EQ(wrong(R"("report":{"how":"now"})"), "settings.report.how is not off, inline or on_probe");
  EXPECT_EQ(wrong(R"("fees":{"cross_zone":"dear"})"), "settings.fees.cross_zone is not between 0 and 1000");
}

TEST(PlatformConfig, AFaultNamesItsKeyItsValueAndItsFile) {
  const std::string path = testing::TempDir() + "meadowgauge-platform-config.json";
  std::map<std::string, std::string, std::less<>> variables;
  auto fault = [&](const std::string& file) {
    std::ofstream(path) << file;
    try {
      read_platform_config(
          [&](const char* name) -> std::optional<std::string> {
            auto it = variables.find(name);
            if (it == variables.end()) return std::nullopt;
            return it->second;
          },
          {});
    } catch (const ConfigError& e) {
      EXPECT_EQ(e.what(), format_fault(e.fault()));
      return e.fault();
    }
    return ConfigFault{};
  };
  EXPECT_EQ(format_fault(fault("{}")), "GW_NAME is not set");
  variables = {{"GW_NAME", "n0"}, {"GW_LISTEN", "here"}};
  EXPECT_EQ(format_fault(fault("{}")), "GW_LISTEN is no address with a port: here");
  EXPECT_EQ(fault("{}").value, "here");
  variables["GW_LISTEN"] = variables["GW_DISCOVERY"] = "127.0.0.1:1";
  variables["GW_CONFIG"] = path + ".absent";
  EXPECT_EQ(format_fault(fault("{}")), "GW_CONFIG names an unreadable file: " + path + ".absent");
  variables["GW_CONFIG"] = path;
  EXPECT_EQ(format_fault(fault("[]")), path + ": not a JSON object");
  EXPECT_EQ(format_fault(fault("{}")), path + ": settings are missing");
  auto setting = fault(R"({"settings":{"tick_ms":"often"}})");
  EXPECT_EQ(setting.key, "settings.tick_ms");
  EXPECT_EQ(setting.value, "often");
  EXPECT_EQ(setting.file, path);
  EXPECT_EQ(format_fault(setting), path + ": settings.tick_ms is not between 0.01 and 1000");
  auto mgmt = fault(R"({"settings":{},"mgmt":"nowhere"})");
  EXPECT_EQ(format_fault(mgmt), path + ": mgmt is no address with a port");
  EXPECT_EQ(mgmt.value, "nowhere");
  variables["GW_MGMT"] = "127.0.0.1:2";  // then the file's is not read
  EXPECT_EQ(format_fault(fault(R"({"settings":{},"mgmt":"nowhere"})")), "");
  std::remove(path.c_str());
}

TEST(OperatorFile, ASyntaxErrorIsOneLineWithLineAndColumn) {
  for (std::string bad : {"listen = ", "[a\n", "a = 1\na = 2\n", "\x01"}) try {
      settings::read_text(bad, "f");
      FAIL() << bad;
    } catch (const settings::BadFile& e) {
      EXPECT_TRUE(std::string(e.what()).starts_with("f:")) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  EXPECT_THROW(settings::read_file("/nowhere/at/all.toml"), settings::BadFile);
}

TEST(Log, TextIsWhatOperatorsKnowAndJsonHasNamedFields) {
  std::ostringstream text, json;
  Log plain(text, proxy::Level::info, LogFormat::text, "n%0");
  plain.logger()(proxy::Level::warning, "a {} line", {{"visit", 7.0}});
  plain.logger()(proxy::Level::debug, "unseen");
  EXPECT_EQ(text.str().substr(19, 1), ".");
  EXPECT_EQ(text.str().substr(23), "Z n%0 warning: a {} line\n");
  Log structured(json, proxy::Level::debug, LogFormat::json, "n%0\"");
  structured.logger()(proxy::Level::error, "a \"line\"\n\xff",
                      {{"visit", 7.0}, {"server", std::string_view("s1")}});
  auto v = nlohmann::json::parse(json.str());
  EXPECT_EQ(v["name"], "n%0\"");
  EXPECT_EQ(v["level"], "error");
  EXPECT_EQ(v["event"], "a \"line\"\n\xef\xbf\xbd");
  EXPECT_EQ(v["visit"], 7.0);
  EXPECT_EQ(v["server"], "s1");
  auto lines = json.str();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1);
}

}  // namespace
}  // namespace meadowgauge::program
