// Tests the parser of admin commands, and the replies and metrics of the running program. The tests act as
// operators, clients and upstreams over loopback.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admin/commands.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

TEST(AdminCommands, AreParsedStrictly) {
  using admin::Command;
  using admin::CommandError;
  auto parsed = [](std::string_view line) { return std::get<Command>(admin::parse_command(line)); };
  auto rejected = [](std::string_view line) { return std::get<CommandError>(admin::parse_command(line)); };
  EXPECT_EQ(parsed("HEALTH\r").kind, Command::Kind::health);
  EXPECT_EQ(parsed("DUMP").kind, Command::Kind::dump);
  EXPECT_EQ(parsed("OFFLINE s-1").kind, Command::Kind::offline);
  EXPECT_EQ(parsed("ONLINE s-1 ").kind, Command::Kind::online);
  EXPECT_EQ(parsed("ONLINE s-1 ").server_id, "s-1");
  for (std::string_view unknown : {"", "health"}) EXPECT_EQ(rejected(unknown), CommandError::unknown_command);
  EXPECT_EQ(rejected("HEALTH now"), CommandError::unexpected_argument);
  EXPECT_EQ(rejected("OFFLINE"), CommandError::needs_one_server_id);
  EXPECT_EQ(rejected("OFFLINE a b"), CommandError::needs_one_server_id);
  EXPECT_EQ(rejected("DUMP\x01"), CommandError::not_text);
  EXPECT_EQ(rejected("\xff\xfe"), CommandError::not_text);
  EXPECT_EQ(rejected("OFFLINE " + std::string(300, 'x')), CommandError::not_text);
}

TEST(AdminServer, AnswersCommandsAndRejectsInvalidOnes) {
  ProxyProcess proxy({.admin_server = true});
  EXPECT_EQ(proxy.admin_reply("HEALTH\n"), "ok ready\n");
  EXPECT_EQ(proxy.admin_reply("HEALTH\r\n"), "ok ready\n");
  for (std::string bad : {"WHAT\n", "OFFLINE\n", "OFFLINE nobody\n", "ONLINE nobody\n", "HEALTH\nDUMP\n"})
    EXPECT_TRUE(proxy.admin_reply(bad).starts_with("fail ")) << bad;
  EXPECT_TRUE(proxy.admin_reply(std::string(5000, 'x')).starts_with("fail"));
  auto partial = proxy.connect_admin();
  partial.send("HEAL");
  partial.end_sending();
  EXPECT_EQ(partial.receive_until_end(), "");
  auto dump = proxy.admin_reply("DUMP\n");
  EXPECT_NE(dump.find("balancer.calls.pay.success:0|c\n"), dump.npos) << dump;
  EXPECT_NE(dump.find("balancer.inflight:0|g\n"), dump.npos);
  EXPECT_TRUE(dump.ends_with("\neof\n"));
}

// Connections that send nothing must exhaust neither the descriptors nor the admin server's connections.
TEST(AdminServer, AnswersDespiteSilentConnections) {
  ProxyProcess proxy({.sockets = 256, .admin_server = true});
  std::vector<TcpConnection> silent;
  for (int i = 0; i < 300; ++i) silent.push_back(proxy.connect_admin());
  for (int i = 0; i < 300; ++i) silent.push_back(proxy.connect());
  EXPECT_EQ(proxy.admin_reply("HEALTH\n"), "ok ready\n");
  EXPECT_TRUE(silent.front().wait_for_end());
}

// Compares the metrics with the requests and responses that the test sent and received.
TEST(Metrics, MatchObservedRequestsAndResponses) {
  ProxyProcess proxy({.upstreams = 1, .admin_server = true});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  EXPECT_EQ(proxy.metric("inflight"), 1);
  EXPECT_EQ(proxy.metric("backend_calls"), 1);
  upstream.send(ok_response);
  client.receive_message();
  client.send(http_request("/pay"));
  upstream.receive_message();
  upstream.send(error_response);
  client.receive_message();
  client.send(http_request("/pay", 0));  // no time left: rejected without an attempt
  client.receive_message();
  client.send("GET /view HTTP/1.1\r\nHost: b\r\n\r\n");  // no id: refused
  client.receive_message();
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  EXPECT_EQ(proxy.get_status("/nothing"), 404);
  auto leaving = proxy.connect();
  leaving.send(http_request("/pay"));
  upstream.receive_message();
  leaving.close();
  EXPECT_TRUE(upstream.wait_for_end());
  EXPECT_EQ(proxy.metric("calls.pay.success"), 1);
  EXPECT_EQ(proxy.metric("calls.pay.busy"), 1);
  EXPECT_EQ(proxy.metric("calls.pay.failure"), 2);
  EXPECT_EQ(proxy.metric("calls.pay.rejected.deadline"), 1);
  EXPECT_EQ(proxy.metric("calls.pay.rejected.not_repeatable"), 1);
  EXPECT_EQ(proxy.metric("calls.view.failure"), 1);
  EXPECT_EQ(proxy.metric("backend_calls"), 3);
  EXPECT_EQ(proxy.metric("inflight"), 0);
  EXPECT_EQ(proxy.metric("hosts_listed"), 1);
}

}  // namespace
}  // namespace meadowgauge::test
