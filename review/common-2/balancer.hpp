// One balancer as a separate process, started by the command of the deploy file.
#pragma once

#include <sys/types.h>

#include <string>

#include "record.hpp"

namespace review {

// What a balancer is told. `settings` is the JSON object of that name in the configuration.
struct BalancerSetup {
  std::string name = "n1";
  std::string discovery;
  std::string known;
  std::string settings;
};

class Balancer {
 public:
  // Writes the configuration into a temporary folder and starts `command` by /bin/sh -c. Throws
  // std::runtime_error.
  Balancer(const std::string& command, const BalancerSetup& setup, Record& record);
  // Ends the process and removes the folder.
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  [[nodiscard]] const std::string& address() const { return listen_; }
  // Waits until GET /-/ready answers 200. False: it has not within the time, or the process has ended.
  bool wait_ready(double timeout_ms);
  // Sends a signal to the process.
  void signal(int number) const;
  // Whether the process still runs.
  bool running();

 private:
  void write_configuration(const BalancerSetup& setup) const;
  void start(const std::string& command, const BalancerSetup& setup);
  void stop();

  Record& record_;
  std::string folder_;
  std::string listen_;
  pid_t pid_ = -1;
};

}  // namespace review
