// A log-linear histogram of times, as in HdrHistogram (http://hdrhistogram.org): each power of two of
// microseconds has 128 equal buckets, so that the relative error of a quantile is below 1/128. A histogram
// holds at most 4,000 counts.
#pragma once

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <vector>

namespace meadowgauge::testbed {

class Histogram {
 public:
  static constexpr int sub_buckets_log2 = 7;
  static constexpr double max_trackable_ms = 68'719'476.0;  // 2^36 us; larger times fall into the last bucket

  // Adds a time `times` times; a negative time counts as 0.
  void add(double ms, std::uint64_t times = 1) {
    auto index = bucket(ms);
    if (index >= counts_.size()) counts_.resize(index + 1);
    counts_[index] += times;
    count_ += times;
    sum_ += std::max(ms, 0.0) * static_cast<double>(times);
    max_ = std::max(max_, ms);
  }
  void merge(const Histogram& other) {
    if (other.counts_.size() > counts_.size()) counts_.resize(other.counts_.size());
    for (std::size_t i = 0; i < other.counts_.size(); ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    sum_ += other.sum_;
    max_ = std::max(max_, other.max_);
  }
  // Returns the quantile in ms as the upper end of its bucket; 0 if the histogram is empty.
  [[nodiscard]] double quantile(double fraction) const {
    auto target_rank =
        static_cast<std::uint64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(count_)));
    target_rank = std::max<std::uint64_t>(target_rank, 1);
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i)
      if ((cumulative_count += counts_[i]) >= target_rank) return std::min(upper_ms(i), max_);
    return 0;
  }
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] double mean() const { return count_ > 0 ? sum_ / static_cast<double>(count_) : 0; }
  [[nodiscard]] double max() const { return max_; }

 private:
  static constexpr std::uint64_t sub_buckets = 1U << sub_buckets_log2;

  static std::size_t bucket(double ms) {
    auto us = static_cast<std::uint64_t>(std::clamp(ms, 0.0, max_trackable_ms) * 1000);
    if (us < sub_buckets) return static_cast<std::size_t>(us);
    int shift = static_cast<int>(std::bit_width(us)) - 1 - sub_buckets_log2;
    return static_cast<std::size_t>((static_cast<std::uint64_t>(shift) + 1) * sub_buckets + (us >> shift) -
                                    sub_buckets);
  }
  static double upper_ms(std::size_t bucket) {
    const auto octave = bucket >> sub_buckets_log2;
    const auto sub_bucket = bucket & (sub_buckets - 1);
    if (octave == 0) return static_cast<double>(sub_bucket + 1) / 1000;
    return static_cast<double>((sub_buckets + sub_bucket + 1) << (octave - 1)) / 1000;
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t count_ = 0;
  double sum_ = 0, max_ = 0;
};

}  // namespace meadowgauge::testbed
