// Configuration at startup and on SIGHUP: an operator's configuration file instead of discovery, and errors
// in one line. The test starts the program and acts as its clients and upstreams over loopback.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

struct ProgramResult {
  int status;
  std::string output;  // standard output and error
};

// Runs a shell command and waits for its exit; status -1 if a signal ended it.
ProgramResult run(const std::string& command) {
  auto* pipe = popen((command + " 2>&1").c_str(), "r");
  std::string output;
  char bytes[4096];
  for (std::size_t n = 0; (n = fread(bytes, 1, sizeof bytes, pipe)) > 0;) output.append(bytes, n);
  int status = pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, output};
}

// Guards against a reload that misses a removed server, and against an invalid file that replaces a valid
// configuration.
TEST(Configuration, ServesFromAnOperatorsFileAndReloadsIt) {
  ProxyProcess proxy({.upstreams = 2, .operator_file = true});
  auto client = proxy.connect();
  auto expect_served_by = [&](std::size_t expected) {
    client.send(http_request("/pay/1"));
    auto at = wait_for_dialled_upstream(proxy);
    EXPECT_EQ(at, expected);
    auto upstream =
        accept_and_respond(proxy.upstreams[at], http_message("HTTP/1.1 200 OK\r\nConnection: close", "done"));
    EXPECT_EQ(status_of(client.receive_message()), 200);
  };
  client.send(http_request("/pay/1"));
  auto first = wait_for_dialled_upstream(proxy);
  accept_and_respond(proxy.upstreams[first], http_message("HTTP/1.1 200 OK\r\nConnection: close", "done"));
  EXPECT_EQ(status_of(client.receive_message()), 200);
  proxy.write_config(proxy.operator_file(1));
  proxy.reload();
  proxy.wait_for_log("1 servers listed");
  expect_served_by(0);
  expect_served_by(0);
  proxy.write_config(proxy.operator_file(2) + "nonsense = 1\n");  // in the table of the last server
  proxy.reload();
  proxy.wait_for_log("servers[1].nonsense is not known");
  expect_served_by(0);
}

// Guards against a failed start whose message does not name the invalid variable, path or option.
TEST(Configuration, ReportsAnInvalidConfigurationInOneLine) {
  const std::string program = MEADOWGAUGE_PROGRAM;
  const std::string variables_without_config = "GW_NAME=n0 GW_LISTEN=127.0.0.1:0 GW_DISCOVERY=127.0.0.1:1 ";
  const std::pair<std::string, std::string> cases[] = {
      {"GW_LISTEN=127.0.0.1:0 GW_DISCOVERY=127.0.0.1:1 GW_CONFIG=/x", "GW_NAME"},
      {"GW_NAME=n0 GW_DISCOVERY=127.0.0.1:1 GW_CONFIG=/x", "GW_LISTEN"},
      {"GW_NAME=n0 GW_LISTEN=here GW_DISCOVERY=127.0.0.1:1 GW_CONFIG=/x", "GW_LISTEN"},
      {variables_without_config, "GW_CONFIG"},
      {variables_without_config + "GW_CONFIG=/nowhere/at/all", "/nowhere/at/all"},
      {variables_without_config + "GW_CONFIG=/dev/null", "/dev/null"},
  };
  for (const auto& [variables, expected_name] : cases)
    for (std::string command : {"serve", "check"}) {
      auto [status, output] = run("env -u GW_NAME " + variables + " " + program + " " + command);
      EXPECT_EQ(status, 1);
      EXPECT_NE(output.find(expected_name), output.npos) << output;
      EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
    }
  EXPECT_EQ(run(program + " check --config /nowhere/at/all").status, 1);
  EXPECT_EQ(run(program + " serve --config /dev/null").status, 1);
  EXPECT_EQ(run(program + " serve --log-format xml").status, 1);
  EXPECT_EQ(run(program + " version").status, 0);
  EXPECT_EQ(run(program + " juggle").status, 1);
  EXPECT_EQ(run(program + " --odd").status, 1);
}

}  // namespace
}  // namespace meadowgauge::test
