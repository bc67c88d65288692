// Tests reading of the operator's file and the platform's configuration, and the two formats of the
// log.
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

const std::string minimal_file = R"(listen = "127.0.0.1:0"
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
  for (const auto& problem : problems) lines.push_back(settings::format_problem("f", problem));
  return lines;
}

TEST(OperatorFile, AppliesDefaultsToAbsentKeys) {
  std::vector<Problem> problems;
  auto setup = read_operator_file(settings::read_text(minimal_file, "f"), 7, problems);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(setup.seed, 7U);
  EXPECT_EQ(setup.descriptors, 1024U);
  EXPECT_FALSE(setup.discovery);
  EXPECT_EQ(setup.settings.at("path_prefixes.0.repeat"), "idempotent");
  EXPECT_EQ(setup.settings.at("limits.max_backend_fetches"), "3");
  EXPECT_EQ(setup.settings.at("report.how"), "off");
  ASSERT_EQ(setup.known.hosts.size(), 1U);
  EXPECT_EQ(setup.known.hosts[0].zone, "here");
}

// The example file documents the defaults, so it must not differ from them.
TEST(OperatorFile, ExampleFileStatesTheDefaults) {
  auto example = read_operator_file(MEADOWGAUGE_EXAMPLE, 7);
  std::vector<Problem> problems;
  auto bare = read_operator_file(settings::read_text(minimal_file, "f"), 7, problems);
  for (const auto& [key, value] : bare.settings)
    if (!key.ends_with(".count")) {
      EXPECT_EQ(example.settings.at(key), value) << key;
    }
  EXPECT_EQ(example.memory_mb, bare.memory_mb);
  EXPECT_EQ(example.descriptors, bare.descriptors);
}

const std::string fleet_of_three = minimal_file + R"x([[tenants]]
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

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(OperatorFile, ReadsFleetAndDescribesItsBounds) {
  std::vector<Problem> problems;
  auto setup = read_operator_file(settings::read_text(fleet_of_three, "f"), 7, problems);
  ASSERT_TRUE(problems.empty());
  ASSERT_TRUE(setup.fleet);
  EXPECT_EQ(setup.fleet->terms.share, 0.25);
  ASSERT_EQ(setup.fleet->terms.limits.size(), 2u);
  EXPECT_EQ(setup.fleet->terms.limits[0].tenant, 0);
  EXPECT_EQ(setup.fleet->terms.limits[1].tenant, fleet::match_others);
  EXPECT_EQ(setup.fleet->terms.limits[1].request_class, 0);
  EXPECT_EQ(
      setup.fleet->describe_bounds()[0],
      "limit acme/*: over any W ms the fleet admits at most 0.3 * W + 60; alone, this instance goes on with "
      "75 a second, 1010 ms after a cut or a start at the latest; at rest it holds 10 of the burst");
  // The digest depends on the `part` of each peer, but neither on the instance nor on the order of the peers.
  auto other = replace_first(fleet_of_three, "name = \"b1\"\nlisten = \"127.0.0.1:7001",
                             "name = \"b2\"\nlisten = \"127.0.0.1:7002");
  EXPECT_EQ(read_operator_file(settings::read_text(other, "f"), 7, problems).fleet->digest(),
            setup.fleet->digest());
  auto other_part = replace_first(fleet_of_three, "part = 2", "part = 3");
  EXPECT_NE(read_operator_file(settings::read_text(other_part, "f"), 7, problems).fleet->digest(),
            setup.fleet->digest());
  // Without [fleet] there is no fleet configuration.
  EXPECT_FALSE(read_operator_file(settings::read_text(minimal_file, "f"), 7, problems).fleet);
  // A limit for a tenant unknown at startup applies to no tenant until a restart, and the digest is
  // unchanged.
  auto fleet_config = *setup.fleet;
  EXPECT_EQ(fleet_config.resolve_names({}, {"view"}), std::vector<std::string>{"acme/*"});
  EXPECT_EQ(fleet_config.terms.limits[0].tenant, fleet::match_none);
  EXPECT_EQ(fleet_config.digest(), setup.fleet->digest());
}

// Deployments have about 350 processes and hundreds of servers: no cap on either list may reject them.
TEST(OperatorFile, ReadsFleetOfTwoThousandInstances) {
  for (int instance_count : {1024, 2000}) {
    std::string text = minimal_file + "[fleet]\nname = \"b0\"\nlisten = \"127.0.0.1:7000\"\n";
    for (int i = 0; i < instance_count; ++i)
      text += "[[fleet.peers]]\nname = \"b" + std::to_string(i) + "\"\naddress = \"127.0." +
              std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000\"\n";
    for (int i = 2; i <= instance_count; ++i)
      text += "[[servers]]\nname = \"s" + std::to_string(i) + "\"\naddress = \"127.1." +
              std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":9000\"\n";
    std::vector<Problem> problems;
    auto setup = read_operator_file(settings::read_text(text, "f"), 7, problems);
    ASSERT_TRUE(problems.empty()) << settings::format_problem("f", problems[0]);
    ASSERT_TRUE(setup.fleet);
    EXPECT_EQ(setup.fleet->members.size(), static_cast<std::size_t>(instance_count));
    EXPECT_EQ(setup.known.hosts.size(), static_cast<std::size_t>(instance_count));
  }
}

TEST(OperatorFile, ReportsInvalidFleetConfiguration) {
  auto only_problem = [](const std::string& text) {
    auto all = problems_of(text);
    EXPECT_EQ(all.size(), 1u) << text;
    return all.empty() ? std::string() : all[0].substr(all[0].find(": ") + 2);
  };
  EXPECT_EQ(only_problem(replace_first(fleet_of_three, "rate = 300\nburst = 60", "rate = 300\nburst = 5")),
            "limits leave less than one request at each instance: burst of acme/* is below 6");
  EXPECT_EQ(only_problem(replace_first(fleet_of_three, "name = \"b1\"\nlisten", "name = \"b7\"\nlisten")),
            "fleet.name is not among the peers: b7");
  EXPECT_EQ(only_problem(replace_first(fleet_of_three, "tenant = \"acme\"", "tenant = \"nobody\"")),
            "limits name a tenant or a path prefix that is not there: nobody/*");
  EXPECT_EQ(only_problem(replace_first(fleet_of_three, "address = \"127.0.0.1:7002\"",
                                       "address = \"127.0.0.1:7000\"")),
            "fleet.peers[2].address is used twice: 127.0.0.1:7000");
  EXPECT_EQ(
      only_problem(replace_first(fleet_of_three, "address = \"127.0.0.1:7002\"", "address = \"nowhere\"")),
      "fleet.peers[2].address is not a valid address with a port: nowhere");
  EXPECT_NE(only_problem(replace_first(fleet_of_three, "part = 2", "part = -1")), "");
  EXPECT_NE(only_problem(replace_first(fleet_of_three, "part = 2", "pard = 2")), "");
}

TEST(OperatorFile, ReportsProblemsWithLineAndColumn) {
  using Lines = std::vector<std::string>;
  EXPECT_EQ(problems_of("limit = 1\n" + minimal_file), Lines{"f:1:1: limit is not known"});
  EXPECT_EQ(problems_of(minimal_file + "wait = 3\n"), Lines{"f:8:1: servers[0].wait is not known"});
  EXPECT_EQ(problems_of(minimal_file + "[limits]\n  fetches = 9\n"),
            Lines{"f:9:3: limits.fetches is not between 1 and 8"});
  EXPECT_EQ(problems_of(minimal_file + "[limits]\nfetches = \"2\"\n"),
            Lines{"f:9:1: limits.fetches is not an integer"});
  EXPECT_EQ(problems_of(minimal_file + "draining = 1\n"),
            Lines{"f:8:1: servers[0].draining is neither true nor false"});
  EXPECT_EQ(problems_of(minimal_file + "[[servers]]\nname = \"s1\"\naddress = \"127.0.0.1:9001\"\n"),
            (Lines{"f:9:1: servers[1].name is used twice: s1",
                   "f:10:1: servers[1].address is used twice: 127.0.0.1:9001"}));
  EXPECT_EQ(problems_of(minimal_file + "[[path_prefixes]]\nname = \"a/b\"\nrepeat = \"often\"\n"),
            (Lines{"f:9:1: path_prefixes[1].name contains an invalid character",
                   "f:10:1: path_prefixes[1].repeat is not read-like, tagged or mutating"}));
  EXPECT_EQ(problems_of("discovery = \"127.0.0.1:1\"\n" + minimal_file),
            Lines{"f:6:3: servers and discovery are mutually exclusive: set only one of them"});
  EXPECT_EQ(problems_of("zones = [1]\n" + minimal_file),
            Lines{"f:1:10: zones contains a value that is not a string"});
  EXPECT_EQ(problems_of("listen = \"here\"\n" + minimal_file.substr(minimal_file.find('\n') + 1)),
            Lines{"f:1:1: listen is not a valid address with a port: here"});
}

TEST(OperatorFile, ValidatesDeploymentSettings) {
  std::vector<Problem> problems;
  auto setup = read_operator_file(
      settings::read_text("balancers_in_zone = 400\nnumber = 7\nwarm_keys = true\ncrossing_price = 0.03\n" +
                              minimal_file +
                              "[reports]\nhow = \"probe\"\ncolumns = [\"inflight\", \"queue\"]\n",
                          "f"),
      7, problems);
  EXPECT_TRUE(problems.empty());
  EXPECT_EQ(setup.settings.at("my_number"), "7");
  EXPECT_EQ(setup.settings.at("specifics.warm_keys"), "true");
  EXPECT_EQ(setup.settings.at("fees.cross_zone"), "0.03");
  EXPECT_EQ(setup.settings.at("report.how"), "on_probe");
  EXPECT_EQ(setup.settings.at("report.columns"), "concurrent,depth");
  using Lines = std::vector<std::string>;
  EXPECT_EQ(problems_of("number = 1\n" + minimal_file),
            Lines{"f:1:1: number must be less than balancers_in_zone"});
  EXPECT_EQ(problems_of("warm_keys = 1\n" + minimal_file),
            Lines{"f:1:1: warm_keys is neither true nor false"});
  EXPECT_EQ(problems_of("crossing_price = 2\n" + minimal_file),
            Lines{"f:1:1: crossing_price is not between 0 and 1"});
}

TEST(PlatformFile, ValidatesDeploymentSettings) {
  auto error_of = [](const std::string& settings) -> std::string {
    proxy::Setup setup;
    try {
      read_platform_file("{\"settings\":{" + settings + "}}", setup, {});
      return "";
    } catch (const ConfigError& exception) {
      return exception.what();
    }
  };
  EXPECT_EQ(error_of(R"("my_number":3,"limits":{"peer_messages":true},"specifics":{"warm_keys":false})"), "");
  EXPECT_EQ(error_of(R"("my_number":-1)"), "settings.my_number is not between 0 and 65535");
  EXPECT_EQ(error_of(R"("limits":{"peer_messages":"yes"})"),
            "settings.limits.peer_messages is not true or false");
  EXPECT_EQ(error_of(R"("specifics":{"warm_keys":2})"), "settings.specifics.warm_keys is not true or false");
  EXPECT_EQ(error_of(R"("report":{"how":"now"})"), "settings.report.how is not off, inline or on_probe");
  EXPECT_EQ(error_of(R"("fees":{"cross_zone":"dear"})"),
            "settings.fees.cross_zone is not between 0 and 1000");
}

TEST(PlatformConfig, FaultsNameKeyValueAndFile) {
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
    } catch (const ConfigError& exception) {
      EXPECT_EQ(exception.what(), format_fault(exception.fault()));
      return exception.fault();
    }
    return ConfigFault{};
  };
  EXPECT_EQ(format_fault(fault("{}")), "GW_NAME is not set");
  variables = {{"GW_NAME", "n0"}, {"GW_LISTEN", "here"}};
  EXPECT_EQ(format_fault(fault("{}")), "GW_LISTEN is not a valid address with a port: here");
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
  EXPECT_EQ(format_fault(mgmt), path + ": mgmt is not a valid address with a port");
  EXPECT_EQ(mgmt.value, "nowhere");
  variables["GW_MGMT"] = "127.0.0.1:2";  // overrides `mgmt` of the file, which is then not read
  EXPECT_EQ(format_fault(fault(R"({"settings":{},"mgmt":"nowhere"})")), "");
  std::remove(path.c_str());
}

TEST(OperatorFile, SyntaxErrorIsOneLineWithPosition) {
  for (std::string invalid_text : {"listen = ", "[a\n", "a = 1\na = 2\n", "\x01"}) try {
      settings::read_text(invalid_text, "f");
      FAIL() << invalid_text;
    } catch (const settings::BadFile& exception) {
      EXPECT_TRUE(std::string(exception.what()).starts_with("f:")) << exception.what();
      EXPECT_EQ(std::string(exception.what()).find('\n'), std::string::npos);
    }
  EXPECT_THROW(settings::read_file("/nowhere/at/all.toml"), settings::BadFile);
}

TEST(Log, WritesTextLinesAndJsonWithNamedFields) {
  std::ostringstream text, json;
  Log plain(text, proxy::Level::info, LogFormat::text, "n%0");
  plain.logger()(proxy::Level::warning, "a {} line", {{"visit", 7.0}});
  plain.logger()(proxy::Level::debug, "unseen");
  EXPECT_EQ(text.str().substr(19, 1), ".");
  EXPECT_EQ(text.str().substr(23), "Z n%0 warning: a {} line\n");
  Log structured(json, proxy::Level::debug, LogFormat::json, "n%0\"");
  structured.logger()(proxy::Level::error, "a \"line\"\n\xff",
                      {{"visit", 7.0}, {"server", std::string_view("s1")}});
  auto event = nlohmann::json::parse(json.str());
  EXPECT_EQ(event["name"], "n%0\"");
  EXPECT_EQ(event["level"], "error");
  EXPECT_EQ(event["event"], "a \"line\"\n\xef\xbf\xbd");
  EXPECT_EQ(event["visit"], 7.0);
  EXPECT_EQ(event["server"], "s1");
  auto lines = json.str();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 1);
}

}  // namespace
}  // namespace meadowgauge::program
