// A model of a server: cores that execute jobs, a bounded queue, slow start, and injected faults. Takes
// events with their time and returns the progress of jobs. No socket and no clock; random draws come from the
// seed. Times are milliseconds on the caller's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

struct ServerModelSpec {
  int cores = 4;
  double speed = 1;               // work of 1 ms takes 1 / speed ms
  int queue = 64;                 // jobs that may wait for a core; further ones are rejected
  double slow_start_speed = 0.3;  // the share of full speed at the start
  double slow_start_ms = 8000;    // the time of the linear ramp to full speed
  // A server in slow start crashes for the rest of the run if the work offered within `overload_ms` exceeds
  // `overload_factor` times its capacity over that time.
  double overload_factor = 2.5, overload_ms = 2000;
  double slowdown_threshold = 0;  // jobs per core, queued ones included, above which jobs slow down; 0: never
  double slowdown_slope = 0.1;    // slowdown per further job per core
  double connection_setup_ms = 0;  // additional work of a connection's first request
};

// The idempotency keys that the servers of one deduplication scope have accepted within the window.
class DeduplicationCache {
 public:
  // Returns true if the key was recorded within the last `window_ms`; records the key otherwise.
  bool seen(std::string_view key, double window_ms, double now_ms);
  [[nodiscard]] std::size_t size() const { return expiry_by_key_.size(); }

 private:
  std::unordered_map<std::string, double> expiry_by_key_;
  std::deque<std::pair<double, std::string>> by_expiry_;
};

using JobId = std::uint64_t;

class ServerModel {
 public:
  enum class Admission : std::uint8_t {
    started,      // executes at once
    queued,       // executes later, unless abandoned before
    queue_full,   // rejected, never executes
    draining,     // rejected, never executes
    duplicate,    // its key is a duplicate: answered like the first, never executes
    failed,       // answered with an error, never executes
    black_holed,  // accepted and never answered; may have executed
    crashed       // the server is down
  };
  struct Progress {
    JobId job = 0;
    bool started = false;  // true: a queued job starts; false: a job has finished
  };

  // `slow_start`: the ramp begins at `started_at_ms`.
  ServerModel(const ServerModelSpec& spec, std::uint64_t seed, double started_at_ms, bool slow_start);

  // Admits a complete request. `work_ms`: the duration at full speed on an idle server. `cache`: holds the
  // idempotency keys of the scope; may be null.
  Admission arrive(JobId job, double work_ms, std::string_view key, double deduplication_window_ms,
                   double now_ms, DeduplicationCache* cache = nullptr);
  // The client has disconnected: removes the job if it is still queued.
  void abandon(JobId job);
  // The time of the next advance(); infinity if no job can start or finish before the next arrival.
  [[nodiscard]] double next_event_ms() const;
  // Returns the jobs that have started or finished by `now_ms`, in order of time.
  std::vector<Progress> advance(double now_ms);

  // Faults. slow() multiplies durations, fail() fails a share of the requests.
  void drain(bool on) { draining_ = on; }
  void slow(double multiplier) { slow_ = multiplier; }
  void fail(double share) { fail_share_ = share; }
  void silent(bool on) { silent_ = on; }
  void stall(double until_ms);  // no job starts or finishes before `until_ms`

  [[nodiscard]] bool crashed() const { return crashed_; }
  [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
  [[nodiscard]] int waiting() const { return static_cast<int>(queue_.size()); }
  // The share of full speed at that time, in slow start below 1.
  [[nodiscard]] double warmup_factor(double at_ms) const;
  // The share of busy cores.
  [[nodiscard]] double utilization() const;
  [[nodiscard]] const ServerModelSpec& spec() const { return spec_; }
  // Holds after every call; checked by tests.
  [[nodiscard]] bool invariants_hold() const;

 private:
  struct Job {
    JobId job;
    double work_ms, ends_ms;
  };
  void start(JobId job, double work_ms, double now_ms);
  bool overloads(double work_ms, double now_ms);
  [[nodiscard]] bool core_free() const { return static_cast<int>(running_.size()) < spec_.cores; }

  ServerModelSpec spec_;
  Rng rng_;
  double started_at_ms_;
  bool slow_start_;
  std::vector<Job> running_;
  std::deque<Job> queue_;
  std::deque<std::pair<double, double>> offered_;  // arrival time and work, both ms, in slow start
  double offered_sum_ms_ = 0;
  bool draining_ = false, silent_ = false, crashed_ = false;
  double slow_ = 1, fail_share_ = 0, stalled_until_ms_ = 0;
};

}  // namespace meadowgauge::testbed
