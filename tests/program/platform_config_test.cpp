// Tests reading of the platform's JSON file into the proxy's settings.
#include "program/platform_config.hpp"

#include <gtest/gtest.h>

#include <span>
#include <string>
#include <string_view>

namespace meadowgauge::program {
namespace {

// An invalid optional part must not prevent startup: it is logged and keeps its default. Invalid JSON and
// missing settings do prevent startup.
TEST(PlatformConfig, LogsInvalidOptionalPartsAndContinues) {
  std::string log;
  proxy::Logger logger(proxy::Level::debug,
                       [&](proxy::Level, std::string_view line, std::span<const proxy::LogField>) {
                         log += std::string(line) + "\n";
                       });
  proxy::Setup setup;
  read_platform_file(
      R"({"seed":"zz","limits":{"sockets":"many","memory_mb":64},"known":{"seq":1},"settings":{"stage":1}})",
      setup, logger);
  EXPECT_EQ(setup.memory_mb, 64u);
  EXPECT_EQ(setup.descriptors, 1024u);
  EXPECT_EQ(setup.settings.at("stage"), "1");
  for (const auto* name : {"sockets", "seed", "known"}) EXPECT_NE(log.find(name), log.npos) << name;
  for (const auto* bad : {"", "[]", "{}", R"({"settings":7})", "{\"settings\":{}"})
    EXPECT_THROW(read_platform_file(bad, setup, logger), ConfigError) << bad;
  setup = {};
  read_platform_file(R"({"seed":"8c1f30d27a5be964","settings":{}})", setup, logger);
  EXPECT_EQ(setup.seed, 0x8c1f30d27a5be964u);
}

}  // namespace
}  // namespace meadowgauge::program
