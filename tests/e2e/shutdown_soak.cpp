// Random shutdowns under load, each derived from a seed: some clients use their open connections until the
// kill, others send many requests and disconnect, signals arrive in series, upstreams fail and hang, and
// endpoint lists are pushed or polled. The test checks what clients and upstreams observe.
//
//   meadowgauge_soak [FIRST_SEED [SEEDS [STEPS]]]
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "e2e/soak/early_termination.hpp"
#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_run.hpp"

namespace meadowgauge::test {
namespace {

// One run: load with random events, a series of signals, and the exit of the process.
class ShutdownSoak {
 public:
  explicit ShutdownSoak(std::uint32_t seed)
      : has_idle_crowd_(seed % 4 == 1), has_floods_(seed % 5 < 3), run_(seed) {}

  void run(int steps) {
    run_.discovery.await_endpoint_list();
    if (has_idle_crowd_) run_.clients.connect_crowd();
    if (has_floods_) run_.floods.enable();
    for (int i = 0; i < steps; ++i) {
      if (i % 8 == 7) trigger_random_event();
      run_.turn();
    }
    auto terminated_at = Clock::now();
    send_signals();
    run_.await_exit(terminated_at);
    EXPECT_EQ(run_.proxy.exit_status(), 0);
    expect_requests_answered(run_.requests);
  }

 private:
  void trigger_random_event() {
    switch (run_.random.below(8)) {
      case 0:
        return run_.proxy.reload();
      case 1:
        return run_.pause_and_resume();
      case 2:
        return run_.discovery.drain_random_upstream();
      case 3:
        return run_.discovery.reset_watch();
      case 4:
        return run_.discovery.move_random_upstream();
      default:
        return;
    }
  }

  // Sends one of several series of signals. The first SIGTERM of each starts the shutdown.
  void send_signals() {
    int series = run_.random.below(6);
    if (series == 0) run_.proxy.reload();
    if (series <= 1) run_.proxy.reload();
    run_.proxy.terminate();
    if (series == 2) run_.proxy.terminate();
    if (series == 3) run_.proxy.reload();
    if (series == 4) run_.pause_and_resume();
  }

  bool has_idle_crowd_;
  bool has_floods_;
  SoakRun run_;
};

// Command-line argument number `index` as an integer, or `fallback` if there is none.
int argument(int index, int fallback) {
  const auto& arguments = testing::internal::GetArgvs();
  auto position = static_cast<std::size_t>(index);
  return position < arguments.size() ? std::atoi(arguments[position].c_str()) : fallback;
}

int first_seed() { return argument(1, 1); }
int end_of_seeds() { return first_seed() + argument(2, 12); }

// Guards against lost and repeated requests of clients that continue to send after SIGTERM.
TEST(ShutdownSoak, NoRequestIsLostWhileClientsUseTheirConnections) {
  int steps = argument(3, 300);
  for (int seed = first_seed(); seed < end_of_seeds(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed) + ", steps " + std::to_string(steps));
    ShutdownSoak(static_cast<std::uint32_t>(seed)).run(steps);
  }
}

// Guards against requests lost by a process that gets SIGTERM before its first endpoint list, or as it starts
// to listen.
TEST(ShutdownSoak, SigtermInTheFirstMilliseconds) {
  for (int seed = first_seed(); seed < end_of_seeds(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    EarlyTermination(static_cast<std::uint32_t>(seed)).run();
  }
}

}  // namespace
}  // namespace meadowgauge::test
