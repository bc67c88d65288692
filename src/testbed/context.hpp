// What the components of one thread share: event loop, buffers, timers, and one clock reading per turn. A run
// has one context for the servers and one for each worker of the load generator.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "transport/clock.hpp"
#include "transport/due_times.hpp"
#include "transport/loop.hpp"
#include "transport/pool.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::testbed {

class TestbedContext {
 public:
  // `clock` is shared by all contexts of a run and outlives them. `buffers`: size of the buffer pool.
  explicit TestbedContext(const transport::Clock& clock, std::size_t buffers = 32768)
      : pool(buffers), clock_(clock), turns_(clock.now()), now_ms(clock.now()) {}
  TestbedContext(const TestbedContext&) = delete;
  TestbedContext& operator=(const TestbedContext&) = delete;
  ~TestbedContext() = default;

  // A component with timers, and with members that may be destroyed only between turns, because the loop may
  // still hold events for them. The context outlives the component.
  class Component {
   public:
    explicit Component(TestbedContext& context) : context_(context), index_(context.components_.size()) {
      context.components_.push_back(this);
    }
    Component(const Component&) = delete;
    Component& operator=(const Component&) = delete;
    // Called when timer `number` has expired. It stays due until the component sets or clears it.
    virtual void on_timer(std::uint64_t /*number*/) {}
    // Destroys the members closed during this turn.
    virtual void cleanup() {}

   protected:
    virtual ~Component() {
      context_.components_[index_] = nullptr;
      std::erase(context_.cleanups_, this);
    }
    // Sets timer `number`, below 2^40, to `at_ms`; DueTimes::none clears it. `current_ms` is the caller's
    // variable that holds the timer's current time; it is updated.
    void set_timer(std::uint64_t number, double& current_ms, double at_ms) {
      context_.timers_.set(index_ << number_bits | number, current_ms, at_ms);
    }
    // Schedules cleanup() for the end of this turn.
    void schedule_cleanup() {
      if (std::exchange(cleanup_scheduled_, true)) return;
      context_.cleanups_.push_back(this);
    }
    TestbedContext& context_;

   private:
    friend class TestbedContext;
    std::uint64_t index_;
    bool cleanup_scheduled_ = false;
  };

  // Runs one turn: waits at most `max_wait_ms` for events, then handles events, timers and cleanups.
  void run_once(double max_wait_ms) {
    wait(max_wait_ms);
    handle_turn();
  }
  // The two parts of run_once().
  void wait(double max_wait_ms) {
    due_ms_ = cleanups_.empty() ? std::min(now_ms + max_wait_ms, timers_.next()) : now_ms;
    loop.wait(turns_.time_until(due_ms_));
  }
  // The thread may be descheduled between the end of the wait and the clock reading. If timers are due by
  // this reading, the loop is polled again first, so that a response that arrived in time is read before its
  // request times out.
  void handle_turn() {
    now_ms = clock_.now();
    turns_.turn_began(due_ms_, now_ms);
    loop.dispatch();
    if (timers_.first(now_ms)) {
      loop.wait(0);
      loop.dispatch();
    }
    while (auto key = timers_.first(now_ms))
      components_[*key >> number_bits]->on_timer(*key & ((std::uint64_t{1} << number_bits) - 1));
    for (auto* component : std::exchange(cleanups_, {})) {
      component->cleanup_scheduled_ = false;
      component->cleanup();
    }
    turns_.turn_ended(clock_.now());
  }
  // Runs turns until `is_done` returns true; it is called at least every 50 ms, unless a turn takes longer.
  template <class Predicate>
  void run(Predicate&& is_done) {
    while (!is_done()) run_once(max_turn_ms);
  }

  // Returns the current time, which may be well after `now_ms` within a long turn.
  [[nodiscard]] double read_clock() const { return clock_.now(); }
  // Returns the measured turns of this thread's loop.
  [[nodiscard]] const transport::TurnMeter& turns() const { return turns_; }

  transport::Loop loop;
  transport::Pool pool;

 private:
  static constexpr int number_bits = 40;
  static constexpr double max_turn_ms = 50;

  const transport::Clock& clock_;
  transport::TurnMeter turns_;
  double due_ms_ = 0;  // when the wait should end
  transport::DueTimes timers_;
  std::vector<Component*> components_, cleanups_;

 public:
  double now_ms;  // the clock reading at the start of this turn
};

}  // namespace meadowgauge::testbed
