#include "testbed/model/server_model.hpp"

#include <algorithm>
#include <limits>

namespace meadowgauge::testbed {

bool DeduplicationCache::check_and_record(std::string_view key, double window_ms, double now_ms) {
  while (!by_expiry_.empty() && by_expiry_.front().first <= now_ms) {
    auto it = expiry_by_key_.find(by_expiry_.front().second);
    if (it != expiry_by_key_.end() && it->second <= now_ms) expiry_by_key_.erase(it);
    by_expiry_.pop_front();
  }
  auto [it, inserted] = expiry_by_key_.try_emplace(std::string(key), now_ms + window_ms);
  if (!inserted && it->second > now_ms) return true;
  it->second = now_ms + window_ms;
  by_expiry_.emplace_back(it->second, it->first);
  return false;
}

ServerModel::ServerModel(const ServerModelSpec& spec, std::uint64_t seed, double started_at_ms,
                         bool slow_start)
    : spec_(spec), rng_(seed), started_at_ms_(started_at_ms), has_slow_start_(slow_start) {}

double ServerModel::warmup_factor(double at_ms) const {
  if (!has_slow_start_ || spec_.slow_start_ms <= 0) return 1;
  double done = std::clamp((at_ms - started_at_ms_) / spec_.slow_start_ms, 0.0, 1.0);
  return spec_.slow_start_speed + (1 - spec_.slow_start_speed) * done;
}

double ServerModel::utilization() const {
  return std::min(1.0, static_cast<double>(running_.size()) / static_cast<double>(spec_.cores));
}

// Decides whether an arriving job crashes a server in slow start. `work_ms`: the job's work at full speed.
// Limit: work offered in the last `overload_ms` > overload_factor * overload_ms * cores * current speed.
// The checker reports such a crash as a violation of slow start.
bool ServerModel::exceeds_overload_limit(double work_ms, double now_ms) {
  if (!has_slow_start_ || warmup_factor(now_ms) >= 1 || spec_.overload_factor <= 0) return false;
  offered_.emplace_back(now_ms, work_ms);
  offered_work_ms_ += work_ms;
  while (offered_.front().first <= now_ms - spec_.overload_ms) {
    offered_work_ms_ -= offered_.front().second;
    offered_.pop_front();
  }
  double capacity_ms = spec_.overload_ms * spec_.cores * spec_.speed * warmup_factor(now_ms);
  return offered_work_ms_ > spec_.overload_factor * capacity_ms;
}

ServerModel::Admission ServerModel::arrive(JobId job, double work_ms, std::string_view key,
                                           double deduplication_window_ms, double now_ms,
                                           DeduplicationCache* cache) {
  if (has_crashed_) return Admission::crashed;
  if (exceeds_overload_limit(work_ms, now_ms)) {
    has_crashed_ = true;
    running_.clear();
    queue_.clear();
    return Admission::crashed;
  }
  if (is_silent_) return Admission::black_holed;
  if (is_draining_) return Admission::draining;
  if (failure_share_ > 0 && uniform(rng_) < failure_share_) return Admission::failed;
  bool can_start = has_free_core() && now_ms >= stalled_until_ms_;
  if (!can_start && static_cast<int>(queue_.size()) >= spec_.queue) return Admission::queue_full;
  // Records the key only after all rejections: a rejected request has not executed.
  if (cache && !key.empty() && deduplication_window_ms > 0 &&
      cache->check_and_record(key, deduplication_window_ms, now_ms))
    return Admission::duplicate;
  if (can_start) {
    start(job, work_ms, now_ms);
    return Admission::started;
  }
  queue_.push_back({job, work_ms, 0});
  return Admission::queued;
}

void ServerModel::start(JobId job, double work_ms, double now_ms) {
  double jobs_per_core = static_cast<double>(running_.size() + queue_.size() + 1) / spec_.cores;
  double slowdown = spec_.slowdown_threshold > 0
                        ? 1 + spec_.slowdown_slope * std::max(0.0, jobs_per_core - spec_.slowdown_threshold)
                        : 1;
  double duration_ms = work_ms * duration_factor_ * slowdown / (spec_.speed * warmup_factor(now_ms));
  running_.push_back({job, work_ms, now_ms + std::max(duration_ms, 0.0)});
}

void ServerModel::abandon(JobId job) {
  std::erase_if(queue_, [&](const Job& j) { return j.job == job; });
}

void ServerModel::stall(double until_ms) {
  if (until_ms <= stalled_until_ms_) return;
  stalled_until_ms_ = until_ms;
}

double ServerModel::next_event_ms() const {
  double next_ms = std::numeric_limits<double>::infinity();
  if (has_crashed_) return next_ms;
  for (const auto& job : running_) next_ms = std::min(next_ms, job.ends_ms);
  if (!queue_.empty() && has_free_core()) next_ms = std::min(next_ms, stalled_until_ms_);
  return std::max(next_ms, stalled_until_ms_);
}

std::vector<ServerModel::Progress> ServerModel::advance(double now_ms) {
  std::vector<Progress> done;
  if (has_crashed_ || now_ms < stalled_until_ms_) return done;
  for (;;) {
    while (!queue_.empty() && has_free_core()) {
      auto job = queue_.front();
      queue_.pop_front();
      start(job.job, job.work_ms, now_ms);
      done.push_back({job.job, true});
    }
    auto first = std::min_element(running_.begin(), running_.end(),
                                  [](const Job& a, const Job& b) { return a.ends_ms < b.ends_ms; });
    if (first == running_.end() || first->ends_ms > now_ms) return done;
    done.push_back({first->job, false});
    running_.erase(first);
  }
}

bool ServerModel::invariants_hold() const {
  if (has_crashed_) return running_.empty() && queue_.empty();
  return static_cast<int>(running_.size()) <= spec_.cores && static_cast<int>(queue_.size()) <= spec_.queue &&
         offered_work_ms_ >= -1e-6;
}

}  // namespace meadowgauge::testbed
