// Reading of ProxySettings, and the division of file descriptors.
#include "proxy/proxy_settings.hpp"

#include <gtest/gtest.h>

#include <string>

#include "proxy/descriptor_budget.hpp"

namespace meadowgauge::proxy {
namespace {

TEST(ProxySettings, AbsentSettingsTakeDefaults) {
  auto settings = read_proxy_settings({}, Logger());
  EXPECT_TRUE(settings.request_classes.empty());
  EXPECT_TRUE(settings.tenants.empty());
  EXPECT_TRUE(settings.zones.empty());
  EXPECT_TRUE(settings.load_report_columns.empty());
  EXPECT_TRUE(settings.load_probes);
  EXPECT_EQ(settings.dial_timeout_ms, 1000);
  EXPECT_EQ(settings.idle_timeout_ms, 30000);
  EXPECT_EQ(settings.settle_ms, 20);
  EXPECT_EQ(settings.max_in_flight, 20000);
  EXPECT_EQ(settings.max_client_timeout_ms(), 0);
}

TEST(ProxySettings, ReadsEachSettingByItsKey) {
  auto settings = read_proxy_settings({{"path_prefixes.count", "3"},
                                       {"path_prefixes.0.name", "view"},
                                       {"path_prefixes.0.repeat", "idempotent"},
                                       {"path_prefixes.0.client_timeout_ms", "800"},
                                       {"path_prefixes.1.name", "book"},
                                       {"path_prefixes.1.repeat", "deduplicated"},
                                       {"path_prefixes.1.streamed", "true"},
                                       {"path_prefixes.2.name", "pay"},
                                       {"path_prefixes.2.repeat", "no"},
                                       {"path_prefixes.2.client_timeout_ms", "250.5"},
                                       {"tenants.count", "2"},
                                       {"tenants.0.name", "web"},
                                       {"tenants.1.name", "app"},
                                       {"zones", "a,b,c"},
                                       {"skus", "small"},
                                       {"report.columns", "eps,util"},
                                       {"report.how", "off"},
                                       {"limits.dial_timeout_ms", "300"},
                                       {"limits.conn_idle_ms", "4000"},
                                       {"limits.settle_ms", "0"},
                                       {"limits.most_held", "50"}},
                                      Logger());
  ASSERT_EQ(settings.request_classes.size(), 3u);
  EXPECT_EQ(settings.request_classes[0].name, "view");
  EXPECT_EQ(settings.request_classes[0].repeat, RepeatRule::idempotent);
  EXPECT_EQ(settings.request_classes[0].client_timeout_ms, 800);
  EXPECT_FALSE(settings.request_classes[0].streamed);
  EXPECT_EQ(settings.request_classes[1].repeat, RepeatRule::deduplicated);
  EXPECT_EQ(settings.request_classes[1].client_timeout_ms, 10000);
  EXPECT_TRUE(settings.request_classes[1].streamed);
  EXPECT_EQ(settings.request_classes[2].repeat, RepeatRule::never);
  EXPECT_EQ(settings.request_classes[2].client_timeout_ms, 250.5);
  EXPECT_EQ(settings.max_client_timeout_ms(), 10000);
  EXPECT_EQ(settings.tenants, (std::vector<std::string>{"web", "app"}));
  EXPECT_EQ(settings.zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(settings.server_kinds, std::vector<std::string>{"small"});
  EXPECT_EQ(settings.load_report_columns, (std::vector<std::string>{"eps", "util"}));
  EXPECT_FALSE(settings.load_probes);
  EXPECT_EQ(settings.dial_timeout_ms, 300);
  EXPECT_EQ(settings.idle_timeout_ms, 4000);
  EXPECT_EQ(settings.settle_ms, 0);
  EXPECT_EQ(settings.max_in_flight, 50);
}

TEST(ProxySettings, MalformedNumbersAreLoggedAndTakeDefaults) {
  std::string lines;
  Logger log(Level::debug, [&](Level level, std::string_view line, std::span<const LogField>) {
    EXPECT_EQ(level, Level::warning);
    lines.append(line).append("\n");
  });
  auto settings = read_proxy_settings(
      {{"limits.dial_timeout_ms", "soon"}, {"limits.settle_ms", "20ms"}, {"limits.most_held", "inf"}}, log);
  EXPECT_EQ(settings.dial_timeout_ms, 1000);
  EXPECT_EQ(settings.settle_ms, 20);
  EXPECT_EQ(settings.max_in_flight, 20000);
  EXPECT_EQ(lines,
            "setting limits.dial_timeout_ms is not a number: soon\n"
            "setting limits.settle_ms is not a number: 20ms\n"
            "setting limits.most_held is not a number: inf\n");
}

TEST(DescriptorBudget, DividesTheRemainingDescriptors) {
  auto budget = divide_descriptors(1024);
  EXPECT_EQ(budget.downstream, 480u);
  EXPECT_EQ(budget.downstream_overflow, 100u);
  EXPECT_EQ(budget.upstream, 420u);
  for (std::size_t descriptors : {0u, 10u, 24u, 30u}) {
    auto min_budget = divide_descriptors(descriptors);
    EXPECT_EQ(min_budget.downstream, 4u) << descriptors;
    EXPECT_EQ(min_budget.downstream_overflow, 4u) << descriptors;
    EXPECT_EQ(min_budget.upstream, 4u) << descriptors;
  }
}

TEST(DescriptorBudget, AdminServerDescriptorsAreSubtracted) {
  EXPECT_EQ(descriptors_without_admin_server(1024, false), 1024u);
  EXPECT_EQ(descriptors_without_admin_server(1024, true), 1004u);
  EXPECT_EQ(descriptors_without_admin_server(8, true), 0u);
}

}  // namespace
}  // namespace meadowgauge::proxy
