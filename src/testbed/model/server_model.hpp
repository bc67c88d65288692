// A model of a server: cores that execute jobs, a bounded queue, slow start, and injected faults. The caller
// reports events with their time and gets the progress of jobs. No socket and no clock; random draws come
// from the seed. Times are milliseconds on the caller's clock.
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

// The capacity of a server and its limits.
struct ServerModelSpec {
  int cores = 4;
  double speed = 1;               // 1 ms of work takes 1 / speed ms
  int queue = 64;                 // jobs that may wait for a core; more are rejected
  double slow_start_speed = 0.3;  // the initial share of full speed
  double slow_start_ms = 8000;    // duration of the linear ramp to full speed
  // A server in slow start crashes for the rest of the run if the work offered within `overload_ms` exceeds
  // `overload_factor` times its capacity over that time.
  double overload_factor = 2.5, overload_ms = 2000;
  double slowdown_threshold = 0;  // jobs per core, queued ones included, above which jobs slow down; 0: never
  double slowdown_slope = 0.1;    // added to the duration factor per job per core above the threshold
  double connection_setup_ms = 0;  // additional work of a connection's first request
};

// The idempotency keys that the servers of one deduplication scope have accepted within the window.
class DeduplicationCache {
 public:
  // Returns whether the key was recorded within the last `window_ms`; if not, records the key.
  bool check_and_record(std::string_view key, double window_ms, double now_ms);
  [[nodiscard]] std::size_t size() const { return expiry_by_key_.size(); }

 private:
  std::unordered_map<std::string, double> expiry_by_key_;
  // Expiry in ms and key. A key that is recorded again after its expiry may have two entries.
  std::deque<std::pair<double, std::string>> by_expiry_;
};

using JobId = std::uint64_t;

// A server whose jobs run on `cores` cores at once. Jobs that find no free core wait in a first-in, first-out
// queue. A job's duration is fixed at its start, from the speed, the slow start and the load at that time.
class ServerModel {
 public:
  enum class Admission : std::uint8_t {
    started,      // executes now
    queued,       // executes later, unless it is abandoned first
    queue_full,   // rejected without execution
    draining,     // rejected without execution
    duplicate,    // the key is known: answered with success, without a second execution
    failed,       // answered with an error, without execution
    black_holed,  // accepted and never answered; may have executed
    crashed       // the server is down
  };
  // A job that has started or finished.
  struct Progress {
    JobId job = 0;
    bool started = false;  // true: a queued job has started; false: a job has finished
  };

  // `slow_start`: whether the server starts slowly, with the ramp from `started_at_ms` on.
  ServerModel(const ServerModelSpec& spec, std::uint64_t seed, double started_at_ms, bool slow_start);

  // Handles the arrival of a complete request. `work_ms`: its duration at full speed on an idle server.
  // `cache`: the idempotency keys of the request's deduplication scope; may be null.
  Admission arrive(JobId job, double work_ms, std::string_view key, double deduplication_window_ms,
                   double now_ms, DeduplicationCache* cache = nullptr);
  // Removes a job whose client has disconnected if it is still queued; a started job runs on.
  void abandon(JobId job);
  // Returns when to call advance() next; infinity if no job can start or finish before the next arrival.
  [[nodiscard]] double next_event_ms() const;
  // Returns the jobs that have started or finished by `now_ms`, in order of time.
  std::vector<Progress> advance(double now_ms);

  // Faults: drain() rejects requests, slow() multiplies durations, fail() fails a share of the requests,
  // silent() never answers requests, stall() lets no job start or finish before `until_ms`.
  void drain(bool on) { is_draining_ = on; }
  void slow(double multiplier) { duration_factor_ = multiplier; }
  void fail(double share) { failure_share_ = share; }
  void silent(bool on) { is_silent_ = on; }
  void stall(double until_ms);

  [[nodiscard]] bool crashed() const { return has_crashed_; }
  [[nodiscard]] int running() const { return static_cast<int>(running_.size()); }
  [[nodiscard]] int waiting() const { return static_cast<int>(queue_.size()); }
  // Returns the share of full speed at that time: below 1 in slow start, otherwise 1.
  [[nodiscard]] double warmup_factor(double at_ms) const;
  // Returns the share of busy cores.
  [[nodiscard]] double utilization() const;
  [[nodiscard]] const ServerModelSpec& spec() const { return spec_; }
  // Whether the internal state is consistent, which tests check after every call.
  [[nodiscard]] bool invariants_hold() const;

 private:
  struct Job {
    JobId job;
    double work_ms, ends_ms;
  };
  void start(JobId job, double work_ms, double now_ms);
  bool exceeds_overload_limit(double work_ms, double now_ms);
  [[nodiscard]] bool has_free_core() const { return static_cast<int>(running_.size()) < spec_.cores; }

  ServerModelSpec spec_;
  Rng rng_;
  double started_at_ms_;
  bool has_slow_start_;
  std::vector<Job> running_;
  std::deque<Job> queue_;
  std::deque<std::pair<double, double>> offered_;  // arrival time and work, both ms, in slow start
  double offered_work_ms_ = 0;
  bool is_draining_ = false, is_silent_ = false, has_crashed_ = false;
  double duration_factor_ = 1, failure_share_ = 0, stalled_until_ms_ = 0;
};

}  // namespace meadowgauge::testbed
