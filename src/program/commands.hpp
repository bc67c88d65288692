// The program's subcommands that read a configuration. Each returns the exit status, and throws
// std::exception with a one-line reason where the program cannot start.
#pragma once

#include "program/options.hpp"

namespace meadowgauge::program {

// Runs the load balancer until a graceful shutdown has ended. Logs to standard error.
int serve(const Options& options);

// Reads the configuration and prints a summary. Prints all problems to standard error and returns 1 if
// invalid.
int check(const Options& options);

}  // namespace meadowgauge::program
