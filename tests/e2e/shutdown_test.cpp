// Graceful shutdown of the running program: which requests it accepts, answers and fails after SIGTERM, and
// when it exits. The test acts as the clients and the upstream over loopback, and sends the signals.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/temporary_directory.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

// Settings with a client timeout of 60 ms.
const std::string short_client_timeout =
    R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":60.0}])";

// Guards against a shutdown that refuses new connections at once or loses requests in flight.
TEST(Shutdown, DrainsAnswersAllAndExitsCleanly) {
  ProxyProcess proxy({.upstreams = 1, .leave_ms = "2500"});  // longer than the default, for a busy machine
  auto accepted_before = proxy.connect(), idle = proxy.connect();
  idle.send("GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  EXPECT_EQ(status_of(idle.receive_message()), 200);
  accepted_before.send(http_request("/pay/1"));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  proxy.terminate();
  proxy.wait_for_log("serving -> draining");
  // The program still accepts new connections, but is no longer ready.
  auto late = proxy.connect();
  late.send(http_request("/pay/2"));
  auto second = proxy.upstreams[0].accept();
  second.receive_message();
  EXPECT_EQ(proxy.get_status("/-/ready"), 503);
  EXPECT_TRUE(idle.wait_for_end());  // the drain has ended: later responses close their connections
  upstream.send(ok_response);
  second.send(ok_response);
  for (auto* client : {&accepted_before, &late}) {
    auto response = client->receive_message();
    EXPECT_EQ(status_of(response), 200);
    EXPECT_NE(response.find("Connection: close"), response.npos);
    EXPECT_TRUE(client->wait_for_end());
    client->close();
  }
  EXPECT_EQ(proxy.exit_status(), 0);
}

// Guards against a drain that is shorter than the maximum client timeout: connected clients may have no other
// balancer, so they are served until the shutdown ends.
TEST(Shutdown, DrainsForTheMaximumClientTimeout) {
  ProxyProcess proxy({.upstreams = 1, .leave_ms = ""});
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto upstream = expect_served(proxy.upstreams[0], client);
  auto start = Clock::now();
  proxy.terminate();
  EXPECT_TRUE(client.wait_for_end());
  EXPECT_GT(Clock::now() - start, std::chrono::milliseconds(2800));
  EXPECT_EQ(proxy.exit_status(), 0);
}

// Guards against an exit that leaves requests without a response.
TEST(Shutdown, FailsUnansweredRequestsBeforeTheExit) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  client.send(http_request("/pay", 60000));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  proxy.terminate();
  EXPECT_EQ(status_of(client.receive_message()), 500);
  client.close();
  EXPECT_EQ(proxy.exit_status(), 0);
}

// The program during startup. Its configuration file is a named pipe, so that the test knows when the program
// reads it and decides when the read ends.
class StartingProcess {
 public:
  explicit StartingProcess(const std::string& discovery_address)
      : config_path_(directory_.path() + "/config") {
    if (mkfifo(config_path_.c_str(), 0600) != 0) std::abort();
    int log_pipe[2];
    if (pipe2(log_pipe, O_CLOEXEC) != 0) std::abort();
    pid_ = fork();
    if (pid_ == 0) {
      dup2(log_pipe[1], 2);
      setenv("GW_NAME", "n0", 1);
      setenv("GW_LISTEN", "127.0.0.1:0", 1);
      setenv("GW_DISCOVERY", discovery_address.c_str(), 1);
      setenv("GW_CONFIG", config_path_.c_str(), 1);
      execl(MEADOWGAUGE_PROGRAM, "meadowgauge", "serve", nullptr);
      _exit(127);
    }
    ::close(log_pipe[1]);
    log_fd_ = log_pipe[0];
    config_fd_ = open(config_path_.c_str(), O_WRONLY | O_CLOEXEC);  // returns once the program opens the pipe
  }
  StartingProcess(const StartingProcess&) = delete;
  StartingProcess& operator=(const StartingProcess&) = delete;
  ~StartingProcess() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    ::close(log_fd_);
  }

  void signal(int number) const { kill(pid_, number); }
  // Writes the configuration, so that the program reads it to the end.
  void finish_configuration() const {
    const std::string text = R"({"settings":{"path_prefixes":[{"name":"pay","client_timeout_ms":500}]}})";
    std::filesystem::remove(config_path_);
    std::ofstream(config_path_) << text;  // a regular file for the reload
    EXPECT_EQ(write(config_fd_, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(config_fd_);
  }
  // Waits for the exit and returns the exit status, or -1 if a signal killed the process.
  int exit_status() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // The whole log. Call this once, after the exit.
  [[nodiscard]] std::string log() const {
    std::string all;
    char bytes[4096];
    for (ssize_t n = 0; (n = read(log_fd_, bytes, sizeof bytes)) > 0;)
      all.append(bytes, static_cast<std::size_t>(n));
    return all;
  }

 private:
  TemporaryDirectory directory_;
  std::string config_path_;
  pid_t pid_ = -1;
  int log_fd_ = -1;
  int config_fd_ = -1;
};

// Guards against signals during startup that kill the process or are lost.
TEST(Shutdown, HandlesSignalsOnceTheConfigurationWasRead) {
  ListeningSocket discovery;
  {
    StartingProcess process(discovery.address());
    process.signal(SIGTERM);
    process.finish_configuration();
    EXPECT_EQ(process.exit_status(), 0);
    const auto log = process.log();  // can be read once
    EXPECT_EQ(log.find("listening on"), std::string::npos);
    EXPECT_EQ(log.find("serves on"), std::string::npos);
    EXPECT_EQ(log.find("serving -> draining"), std::string::npos);
  }
  StartingProcess process(discovery.address());
  process.signal(SIGHUP);
  process.finish_configuration();
  auto watch = discovery.accept();
  process.signal(SIGTERM);
  EXPECT_EQ(process.exit_status(), 0);
  EXPECT_NE(process.log().find("configuration reloaded"), std::string::npos);
}

// Guards against refusing new connections too early: the program accepts them for 0.4 s after SIGTERM, even
// if client timeouts are shorter. A second signal has no effect.
TEST(Shutdown, AcceptsNewConnectionsAtFirst) {
  ProxyProcess proxy({.upstreams = 1, .settings = short_client_timeout, .leave_ms = ""});
  auto idle = proxy.connect();
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  auto start = Clock::now();
  proxy.terminate();
  proxy.terminate();
  proxy.reload();
  EXPECT_TRUE(idle.wait_for_end());  // closed when the program stops accepting
  EXPECT_GT(Clock::now() - start, ms(400));
  EXPECT_EQ(proxy.exit_status(), 0);
}

// The time of a log line, in ms since the start of its minute; -1 if the line has no time.
int log_time_ms(const std::string& line) {
  auto at = line.find('T');
  return at == std::string::npos
             ? -1
             : std::stoi(line.substr(at + 7, 2)) * 1000 + std::stoi(line.substr(at + 10, 3));
}

// Guards against lost last responses: failed requests are answered some time before the exit, because bytes
// that the socket does not accept in the last turn of the event loop are lost, and unread bytes from the
// client make the kernel reset the connection.
TEST(Shutdown, LeavesTimeToReceiveTheLastResponses) {
  ProxyProcess proxy({.upstreams = 1, .settings = short_client_timeout, .leave_ms = "0"});
  auto client = proxy.connect();
  client.send(http_request("/pay", 60000));
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  client.send(http_request("/pay", 60000));
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  proxy.terminate();
  int failed_at_ms = log_time_ms(proxy.wait_for_log_line("graceful shutdown: unanswered requests failed: 1"));
  EXPECT_TRUE(upstream.wait_for_end());
  EXPECT_EQ(status_of(client.receive_message()), 500);
  EXPECT_EQ(client.receive_until_end(), "");
  EXPECT_FALSE(client.was_reset());
  int ended_at_ms = log_time_ms(proxy.wait_for_log_line("info: ended"));
  EXPECT_GE((ended_at_ms - failed_at_ms + 60000) % 60000, 20);  // 150 on an idle machine
  EXPECT_EQ(proxy.exit_status(), 0);
}

// Guards against requests that outlive the process: the budget of a request, which its upstream receives, is
// limited to the time that is left of the drain.
TEST(Shutdown, LimitsTheBudgetOfNewRequestsToTheTimeLeft) {
  for (bool long_drain : {false, true}) {
    ProxyProcess proxy(
        {.upstreams = 1,
         .settings = R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":)" +
                     std::string(long_drain ? "60.0}]" : "3000.0}]"),
         .leave_ms = long_drain ? "100000" : ""});
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = expect_served(proxy.upstreams[0], client);
    auto start = Clock::now();
    proxy.terminate();
    proxy.wait_for_log("serving -> draining");
    if (long_drain) sleep_until(start + ms(800));  // the default drain would be over
    client.send(http_request("/pay", 9000));
    auto received = upstream.receive_message();
    auto at = received.find("X-Budget-Ms: ");
    ASSERT_NE(at, received.npos);
    auto budget_ms = std::stoi(received.substr(at + 13));
    if (long_drain) {
      EXPECT_GT(budget_ms, 8000);
    } else {
      EXPECT_LE(budget_ms, 3400);
    }
  }
}

}  // namespace
}  // namespace meadowgauge::test
