// A child process with its own environment, and the readiness check of a balancer that it runs.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "transport/address.hpp"

namespace meadowgauge::testbed {

class Process {
 public:
  struct Options {
    std::string program;
    std::vector<std::string> args;
    std::vector<std::pair<std::string, std::string>> variables;  // added to the environment of this process
    std::string log;  // standard output and error are appended to this file
    int cpu = -1;     // pins the process to this core; -1: no pinning
  };
  explicit Process(Options options) : options_(std::move(options)) {}
  ~Process();  // kills the process and waits for its exit
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  // Throws std::system_error if fork fails. A missing program exits at once with status 127.
  void start();
  // Does nothing if the process is not running.
  void signal(int number) const;
  // Returns true once after the exit; status(), cpu_ms() and peak_kb() are valid from then on.
  bool take_exit();
  void wait();  // for the exit
  [[nodiscard]] bool running() const { return pid_ > 0; }
  // The exit status of the last run, or the negative number of the signal that ended the process.
  [[nodiscard]] int status() const { return status_; }
  // Processor time of all runs that have exited.
  [[nodiscard]] double cpu_ms() const { return cpu_ms_; }
  // The maximum resident set size over these runs, KiB.
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

// Polls `GET /-/ready` until the response is 200, for at most `timeout_ms` or until the process exits.
// Blocks; for use before a run begins.
bool becomes_ready(const transport::Address& at, double timeout_ms, Process& process);
// Sends one `GET /-/ready`; blocks for at most 50 ms at each step.
bool is_ready(const transport::Address& at);

}  // namespace meadowgauge::testbed
