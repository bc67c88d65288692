// The open-loop load generator: sends each request at its scheduled time, independent of earlier responses,
// and measures latency from that time. Each instance belongs to one thread; a run may have several.
#pragma once

#include <atomic>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "testbed/balancer_events.hpp"
#include "testbed/experiment.hpp"
#include "testbed/model/front_balancer.hpp"
#include "testbed/model/histogram.hpp"
#include "testbed/stand_ins/http_client.hpp"
#include "transport/fd.hpp"

namespace meadowgauge::testbed {

// Progress counters for other threads, shared by all workers of a run.
struct LoadCounts {
  std::atomic<std::uint64_t> sent{0}, answered{0}, succeeded{0};
};

// One of several workers that share the traffic of a run.
struct LoadWorker {
  int index = 0;
  int count = 1;
};

class LoadGenerator final : HttpClient::Handler, transport::EventHandler, TestbedContext::Component {
 public:
  // `targets`: the balancers of the first tier, or its servers. `context`, `experiment` and `counts` outlive
  // the generator. Throws std::system_error if the timer cannot be created.
  LoadGenerator(TestbedContext& context, const Experiment& experiment, std::uint64_t seed,
                std::vector<HttpClient::Target> targets, LoadCounts& counts, LoadWorker worker = {});
  ~LoadGenerator() override;
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Schedules requests from `begin_ms` for the duration of the run. Returns at once; the loop sends them.
  void begin(double begin_ms);
  // Returns whether all requests are sent and none is in flight or waits for a retry.
  [[nodiscard]] bool finished() const;
  // Availability events of the first tier's balancers; another thread may publish them.
  [[nodiscard]] BalancerEventQueue& balancer_events() { return balancer_events_; }

  [[nodiscard]] std::vector<Attempt>& attempts() { return attempts_; }
  // How long after its scheduled time each request was sent, ms: the load generator's own error.
  [[nodiscard]] const Histogram& send_delay() const { return send_delay_; }
  [[nodiscard]] std::uint64_t connections_opened() const { return client_.connections_opened(); }

  void on_timer(std::uint64_t token) override;

 private:
  // What all attempts of a request have in common.
  struct Request {
    std::uint64_t number = 0;
    int request_class = 0, tenant = 0, zone = 0;
    double deadline_ms = 0;
  };
  void ready(std::uint32_t events) override;  // the timer of the next arrival has expired
  void on_result(std::uint64_t token, const HttpClient::Result& result) override;
  void on_extra_bytes(std::uint64_t token) override { attempts_[token].extra_bytes = true; }
  int pick_target(int group) override;
  // Updates the front balancer with the availability events received since the last call.
  void apply_balancer_events();
  // Sends all requests that are due.
  void send_due();
  // Sends one attempt; `intended_ms` is its scheduled send time.
  void send(const Request& request, int attempt_number, double intended_ms);
  // Schedules the next attempt if the retry policy allows one.
  void schedule_retry(std::uint64_t token);
  // Sets the timer to the next arrival.
  void arm_timer();
  // Opens this worker's part of the experiment's persistent connections, spread evenly over the zones.
  void open_persistent_connections(int workers);
  [[nodiscard]] double next_arrival_ms() const { return begin_ms_ + next_arrival_.at_ms; }

  const Experiment& experiment_;
  std::uint64_t seed_;
  Traffic traffic_;
  RetryPolicy retries_;
  FrontBalancer front_balancer_;
  LoadCounts& counts_;
  BalancerEventQueue balancer_events_;
  HttpClient client_;
  std::vector<Attempt> attempts_;
  std::vector<int> zones_;                                  // zone of the client, by attempt index
  std::unordered_map<std::uint64_t, double> retry_timers_;  // due time of the next attempt, by attempt index
  Histogram send_delay_;
  Arrival next_arrival_;
  double begin_ms_ = 0, end_ms_ = 0;
  std::uint64_t in_flight_ = 0;
  transport::Fd timer_;
  std::uint64_t timer_token_ = 0;
  bool has_begun_ = false;
};

}  // namespace meadowgauge::testbed
