// SIGTERM in the first milliseconds of a process, while it reads its configuration, starts to listen or waits
// for its first endpoint list. Clients connect as soon as it listens.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <thread>

#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_run.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {

// One run, derived from a seed: the start of the process, a series of signals, and its exit.
class EarlyTermination {
 public:
  explicit EarlyTermination(std::uint32_t seed) : run_(seed, false) {
    run_.discovery.hold_answers_until(started_at_ + ms(run_.random.below(4) * 40));
  }

  void run() {
    await_termination_time();
    auto terminated_at = Clock::now();
    send_signals();
    run_.await_exit(terminated_at);
    expect_served_while_clients_connect(Clock::now() - terminated_at);
    expect_requests_answered(run_.requests);
  }

 private:
  // New connections may arrive for this long after SIGTERM.
  static constexpr auto new_connection_period = std::chrono::milliseconds(400);

  // Waits for the time of the signals: in half of the runs it counts from the start of the process, in the
  // others from the log line that it listens.
  void await_termination_time() {
    bool waits_for_listener = run_.random.below(2) == 0;
    auto delay = ms(run_.random.below(waits_for_listener ? 12 : 150));
    std::optional<Clock::time_point> until;
    if (!waits_for_listener) until = started_at_ + delay;
    auto give_up_at = started_at_ + ms(wait_limit_ms);
    while (Clock::now() < until.value_or(give_up_at)) {
      turn();
      if (!until && run_.proxy.is_listening()) until = Clock::now() + delay;
    }
  }

  void turn() {
    if (run_.proxy.is_listening()) return run_.turn();
    run_.discovery.serve();
    std::this_thread::sleep_for(ms(1));
  }

  void send_signals() {
    int series = run_.random.below(4);
    if (series == 0) run_.proxy.reload();
    run_.proxy.terminate();
    if (series == 1) run_.proxy.terminate();
    if (series == 2) run_.proxy.reload();
  }

  // A process that has not listened may end at once or be killed by the signal, because no client could reach
  // it.
  void expect_served_while_clients_connect(Clock::duration exit_delay) {
    bool has_listened = run_.proxy.is_listening();
    int status = run_.proxy.exit_status();
    if (!has_listened) {
      EXPECT_LE(status, 0);
      return;
    }
    EXPECT_EQ(status, 0);
    EXPECT_GE(exit_delay, new_connection_period) << "ended while new connections may still arrive";
  }

  Clock::time_point started_at_ = Clock::now();
  SoakRun run_;
};

}  // namespace meadowgauge::test
