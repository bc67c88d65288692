// The subcommands that read a configuration. Each returns the exit status and throws std::exception with a
// one-line reason if the program cannot start.
#pragma once

#include "program/options.hpp"

namespace meadowgauge::program {

// Runs the load balancer until its graceful shutdown has finished. Logs to standard error.
int serve(const Options& options);

// Validates the configuration and prints a summary. If an operator's file is invalid, prints all its problems
// to standard error and returns 1.
int check(const Options& options);

}  // namespace meadowgauge::program
