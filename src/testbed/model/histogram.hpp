// A log-linear histogram of times in the form of HdrHistogram (http://hdrhistogram.org): each power of two of
// microseconds has 128 equal buckets, so that the relative error of a quantile is under 1/128. Memory is
// bounded by 4,000 counts.
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
  static constexpr double max_trackable_ms = 68'719'476.0;  // 2^36 us; larger times count as this

  // Negative times count as 0.
  void add(double ms, std::uint64_t times = 1) {
    auto at = bucket(ms);
    if (at >= counts_.size()) counts_.resize(at + 1);
    counts_[at] += times;
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
  [[nodiscard]] double quantile(double share) const {
    auto wanted =
        static_cast<std::uint64_t>(std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(count_)));
    wanted = std::max<std::uint64_t>(wanted, 1);
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i)
      if ((seen += counts_[i]) >= wanted) return std::min(upper_ms(i), max_);
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
    int dropped_bits = static_cast<int>(std::bit_width(us)) - 1 - sub_buckets_log2;
    return static_cast<std::size_t>((static_cast<std::uint64_t>(dropped_bits) + 1) * sub_buckets +
                                    (us >> dropped_bits) - sub_buckets);
  }
  static double upper_ms(std::size_t bucket) {
    const auto row = bucket >> sub_buckets_log2;
    const auto column = bucket & (sub_buckets - 1);
    if (row == 0) return static_cast<double>(column + 1) / 1000;
    return static_cast<double>((sub_buckets + column + 1) << (row - 1)) / 1000;
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t count_ = 0;
  double sum_ = 0, max_ = 0;
};

}  // namespace meadowgauge::testbed
