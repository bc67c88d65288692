#include "policy/outcome_window.hpp"

#include <algorithm>
#include <cmath>

namespace meadowgauge {

OutcomeWindow::OutcomeWindow(int buckets, double bucket_ms, double now_ms)
    : bucket_ms_(bucket_ms), started_at_ms_(now_ms), ring_(static_cast<std::size_t>(buckets)) {}

std::int64_t OutcomeWindow::slot_at(double now_ms) const {
  return static_cast<std::int64_t>(std::floor(std::max(0.0, now_ms - started_at_ms_) / bucket_ms_));
}

std::size_t OutcomeWindow::index_of(std::int64_t slot) const {
  return static_cast<std::size_t>(slot) % ring_.size();
}

OutcomeWindow::Bucket& OutcomeWindow::current(double now_ms) {
  auto slot = slot_at(now_ms);
  auto& bucket = ring_[index_of(slot)];
  if (bucket.slot != slot) bucket = {.slot = slot};
  return bucket;
}

void OutcomeWindow::add_accepted(double now_ms) {
  auto& bucket = current(now_ms);
  ++bucket.total;
  ++bucket.accepts;
}

void OutcomeWindow::add_failed(double now_ms) {
  auto& bucket = current(now_ms);
  ++bucket.total;
  ++bucket.failures;
}

void OutcomeWindow::add_dropped(double now_ms) { ++current(now_ms).total; }

OutcomeWindow::Sums OutcomeWindow::sums(double now_ms) const {
  Sums sums;
  bool all_failed = true;
  bool all_worked = true;
  auto newest = slot_at(now_ms);
  auto oldest = newest - static_cast<std::int64_t>(ring_.size()) + 1;
  for (auto slot = newest; slot >= std::max<std::int64_t>(0, oldest); --slot) {
    const auto& bucket = ring_[index_of(slot)];
    if (bucket.slot != slot) continue;
    sums.total += bucket.total;
    sums.accepts += bucket.accepts;
    if (bucket.accepts > 0) all_failed = false;
    if (bucket.failures > 0) all_worked = false;
    if (all_failed && bucket.failures > 0) ++sums.failing;
    if (all_worked && bucket.accepts > 0) ++sums.working;
  }
  return sums;
}

}  // namespace meadowgauge
