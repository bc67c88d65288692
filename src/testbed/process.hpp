// A child process with its own environment, and the readiness check of a balancer.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "transport/address.hpp"

namespace meadowgauge::testbed {

// A program that can be started several times, one process at a time.
class Process {
 public:
  // `variables` are added to the environment of this process and replace those of the same name.
  struct Options {
    std::string program;
    std::vector<std::string> args;
    std::vector<std::pair<std::string, std::string>> variables;
    std::string log;  // standard output and error are appended to this file
    int cpu = -1;     // pins the process to this core; -1: no pinning
  };
  explicit Process(Options options) : options_(std::move(options)) {}
  ~Process();  // kills the process and waits for its exit
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  // Starts the program. Throws std::system_error if fork fails. If the program cannot be executed, the child
  // exits at once with status 127.
  void start();
  // Sends a signal; does nothing if the process is not running.
  void signal(int number) const;
  // Returns true once after the process has exited, without blocking; status(), cpu_ms() and peak_kb()
  // include the exited process from then on.
  bool take_exit();
  // Blocks until the process has exited.
  void wait();
  [[nodiscard]] bool running() const { return pid_ > 0; }
  // The exit status of the last process, or the negative number of the signal that ended it.
  [[nodiscard]] int status() const { return status_; }
  // The processor time of all processes that have exited.
  [[nodiscard]] double cpu_ms() const { return cpu_ms_; }
  // The maximum resident set size of these processes, KiB.
  [[nodiscard]] long peak_kb() const { return peak_kb_; }
  [[nodiscard]] const std::string& log() const { return options_.log; }

 private:
  void record_exit(int status, const rusage& usage);
  Options options_;
  pid_t pid_ = -1;
  int status_ = 0;
  double cpu_ms_ = 0;
  long peak_kb_ = 0;
};

// Polls `GET /-/ready` until the response is 200 and returns true; returns false after `timeout_ms` or when
// the process exits. Blocks, so it must not be called during a run.
bool wait_until_ready(const transport::Address& at, double timeout_ms, Process& process);
// Sends one `GET /-/ready` and returns whether the response is 200. Blocks for at most 50 ms each to connect
// and to receive.
bool is_ready(const transport::Address& at);

}  // namespace meadowgauge::testbed
