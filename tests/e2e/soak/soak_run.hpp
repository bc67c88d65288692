// One process of the program under load from the soak's clients, with its upstreams and discovery, and its
// exit.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <thread>

#include "e2e/soak/cell_groups.hpp"
#include "e2e/soak/request_records.hpp"
#include "e2e/soak/soak_clients.hpp"
#include "e2e/soak/soak_discovery.hpp"
#include "e2e/soak/soak_floods.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "e2e/soak/soak_upstreams.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {

// Owns the process and all of its stand-ins. The seed determines every random choice.
struct SoakRun {
  explicit SoakRun(std::uint32_t seed, bool wait_until_listening = true)
      : random(seed), cells(random), proxy(options_of(seed, cells.current_cells(), wait_until_listening)) {}

  // Runs about 1 ms of load.
  void turn() {
    std::this_thread::sleep_for(ms(1));
    clients.send_requests();
    floods.turn();
    upstreams.serve();
    clients.receive_responses();
    clients.forget_closed_connections();
    discovery.serve();
  }

  void pause_and_resume() {
    proxy.pause();
    std::this_thread::sleep_for(ms(random.below(150)));
    proxy.resume();
  }

  // Continues the load until the process has exited. If it still runs at the time of the earliest SIGKILL,
  // the test fails and the process is killed.
  void await_exit(Clock::time_point terminated_at) {
    while (!proxy.has_exited() && Clock::now() - terminated_at < kill_delay + tolerance) turn();
    bool has_exited_in_time = proxy.has_exited();
    EXPECT_TRUE(has_exited_in_time) << "still runs at the time of the earliest SIGKILL";
    if (!has_exited_in_time) kill(proxy.pid(), SIGKILL);
    clients.stop_connecting();
    EXPECT_FALSE(proxy.connect().is_open()) << "a new connection is not refused";
    clients.receive_responses();
  }

  RandomDraws random;
  CellPlacement cells;
  ProxyProcess proxy;
  RequestRecords requests;
  SoakClients clients{proxy, random, requests};
  SoakFloods floods{proxy, random, requests};
  SoakDiscovery discovery{proxy, random, cells};
  SoakUpstreams upstreams{proxy, random, requests, discovery, cells};
};

}  // namespace meadowgauge::test
