// The cells of the soak's upstreams, and the check of requests whose key is known in one cell only.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "e2e/soak/soak_settings.hpp"
#include "fixtures/tcp_connection.hpp"

namespace meadowgauge::test {

// An endpoint list announces a move. For this time, until the program has read the list and requests in
// transit have arrived, the former cell is valid as well.
constexpr auto move_known_after = drain_grace + tolerance;

// The upstreams in two cells, 0 and 1. One random upstream starts in cell 1, the others in cell 0. One
// upstream may move once.
class CellPlacement {
 public:
  explicit CellPlacement(RandomDraws& random) {
    cells_[static_cast<std::size_t>(random.below(upstream_count))] = 1;
  }

  [[nodiscard]] std::vector<int> current_cells() const { return {cells_.begin(), cells_.end()}; }
  [[nodiscard]] int cell_of(std::size_t upstream) const { return cells_.at(upstream); }
  [[nodiscard]] bool has_moved() const { return has_moved_; }
  void move(std::size_t upstream, int cell) {
    has_moved_ = true;
    moved_upstream_ = upstream;
    former_cell_ = cells_.at(upstream);
    moved_at_ = Clock::now();
    cells_.at(upstream) = cell;
  }
  // The cells to which the program may assign the upstream at present.
  [[nodiscard]] std::set<int> possible_cells(std::size_t upstream) const {
    std::set<int> possible{cells_.at(upstream)};
    bool moved_lately =
        has_moved_ && upstream == moved_upstream_ && Clock::now() - moved_at_ < move_known_after;
    if (moved_lately) possible.insert(former_cell_);
    return possible;
  }

 private:
  std::array<int, upstream_count> cells_{};
  bool has_moved_ = false;
  std::size_t moved_upstream_ = 0;
  int former_cell_ = 0;
  Clock::time_point moved_at_;
};

// Expects each attempt of a `hold` request to share a cell with every earlier attempt of the request that may
// have executed.
class CellGroupVerdict {
 public:
  explicit CellGroupVerdict(const CellPlacement& cells) : cells_(cells) {}

  void attempt_received(const std::string& request_id, std::size_t upstream) {
    if (request_id.find(": hold") == std::string::npos) return;
    auto possible = cells_.possible_cells(upstream);
    auto& attempts = attempts_[request_id];
    for (const auto& earlier : attempts)
      EXPECT_TRUE(earlier.rejected || have_common_cell(earlier.cells, possible))
          << request_id << " may have executed at upstream " << earlier.upstream
          << " and was sent to upstream " << upstream << " of another cell";
    attempts.push_back({.upstream = upstream, .cells = possible, .rejected = false});
  }

  // Records that the upstream rejected its latest attempt of the request, so that the attempt did not
  // execute.
  void attempt_rejected(const std::string& request_id, std::size_t upstream) {
    auto attempts = attempts_.find(request_id);
    if (attempts == attempts_.end()) return;
    auto& all = attempts->second;
    auto latest = std::find_if(all.rbegin(), all.rend(),
                               [&](const Attempt& attempt) { return attempt.upstream == upstream; });
    if (latest != all.rend()) latest->rejected = true;
  }

 private:
  struct Attempt {
    std::size_t upstream;
    std::set<int> cells;
    bool rejected;
  };

  static bool have_common_cell(const std::set<int>& first, const std::set<int>& second) {
    return std::ranges::any_of(first, [&](int cell) { return second.contains(cell); });
  }

  const CellPlacement& cells_;
  std::map<std::string, std::vector<Attempt>> attempts_;
};

}  // namespace meadowgauge::test
