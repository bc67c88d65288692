// Faults of the datagrams between balancers. Each fault has a time range; random draws come from the run's
// seed, so that a seed repeats them. No socket and no clock: times are milliseconds from the start of the
// run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

// One fault of an experiment's `letters`.
struct DatagramFault {
  enum class Kind : std::uint8_t {
    cut,        // drops all datagrams
    drop,       // drops a share of the datagrams
    delay,      // delays a share by `ms`
    duplicate,  // delivers a share a second time, `ms` after the first
    reorder,    // delays each datagram of a share by a random time of up to `ms`
    corrupt     // overwrites some bytes of each datagram of a share
  };
  Kind kind = Kind::cut;
  std::vector<int> from, to;  // senders and receivers, by balancer index; empty: all
  bool both = false;          // also applies from `to` to `from`
  double at_ms = 0, for_ms = 0;
  double share = 1, ms = 0;  // share: the probability of the fault for each datagram
  // Whether the fault is active at `now_ms` for datagrams from `sender` to `receiver`.
  [[nodiscard]] bool applies(int sender, int receiver, double now_ms) const;
};

// The one-way path of datagrams from one balancer to another, with its faults.
class DatagramPath {
 public:
  struct Delivery {
    double at_ms = 0;
    std::string bytes;
  };
  // `faults` outlives the path.
  DatagramPath(const std::vector<DatagramFault>& faults, int from, int to, std::uint64_t seed)
      : faults_(&faults),
        from_(from),
        to_(to),
        rng_(derive_seed(seed, "letters",
                         static_cast<std::uint64_t>(from) * 1000 + static_cast<std::uint64_t>(to))) {}
  // Returns the deliveries of a datagram sent at `now_ms`: none if it is dropped, two if it is duplicated,
  // otherwise one. Delays of several faults add up.
  std::vector<Delivery> send(std::string bytes, double now_ms);

 private:
  const std::vector<DatagramFault>* faults_;
  int from_, to_;
  Rng rng_;
};

}  // namespace meadowgauge::testbed
