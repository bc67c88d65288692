// Availability events of balancers, sent from the thread that runs their processes to one other thread.
#pragma once

#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

namespace meadowgauge::testbed {

// Thread-safe for one reader and any number of writers.
class BalancerEventQueue {
 public:
  struct Event {
    int tier = 0, balancer = 0;
    bool up = false;
  };
  void publish(const Event& event) {
    std::lock_guard lock(mutex_);
    events_.push_back(event);
    has_events_ = true;
  }
  // Returns all events since the last call, in order. Takes no lock if there are none: one atomic load.
  std::vector<Event> take() {
    if (!has_events_.load(std::memory_order_relaxed)) return {};
    std::lock_guard lock(mutex_);
    has_events_ = false;
    return std::exchange(events_, {});
  }

 private:
  std::mutex mutex_;
  std::vector<Event> events_;
  std::atomic<bool> has_events_{false};
};

}  // namespace meadowgauge::testbed
