// The balancer as a process of its own, started with the command of the deploy file.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sockets.hpp"

namespace review {

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// A folder for temporary files, removed with its content by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data())) path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code error;
    if (!path_.empty()) std::filesystem::remove_all(path_, error);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The text of a key of the deploy file, such as `run = "..."`; empty if it is missing.
inline std::string deploy_command(const std::string& root, const std::string& key) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(key + " = \"")) continue;
    auto from = line.find('"') + 1;
    return line.substr(from, line.rfind('"') - from);
  }
  return {};
}

// One process of the balancer. The destructor kills it.
class BalancerProcess {
 public:
  using Variables = std::vector<std::pair<std::string, std::string>>;

  // `log_path`: receives the process's standard error.
  BalancerProcess(const std::string& root, const Variables& variables, const std::string& log_path) {
    auto command = deploy_command(root, "run");
    if (command.empty()) return;
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the balancer does not outlive the case
    if (chdir(root.c_str()) != 0) _exit(127);
    int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, 1);
    dup2(log, 2);
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  ~BalancerProcess() {
    if (running()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  BalancerProcess(const BalancerProcess&) = delete;
  BalancerProcess& operator=(const BalancerProcess&) = delete;

  void signal(int number) {
    if (running()) kill(pid_, number);
  }
  // Whether the process has not ended yet.
  bool running() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  // Kills the process outright and waits for its end.
  void kill_outright() {
    if (!running()) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  pid_t pid_ = -1;
};

// Whether `GET /-/ready` answers 200 within `limit_ms`.
inline bool wait_until_ready(const Address& balancer, double limit_ms) {
  for (double end_ms = now_ms() + limit_ms; now_ms() < end_ms; sleep_ms(50)) {
    auto socket = connect_to(balancer, 200);
    if (!socket) continue;
    if (!send_all(socket, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n", 500)) continue;
    std::string bytes;
    while (read_some(socket, bytes, 500) == ReadResult::bytes)
      if (auto head = take_head(bytes)) {
        if (head->status() == 200) return true;
        break;
      }
  }
  return false;
}

}  // namespace review
