// Faults of the datagrams between balancers, by time and by random draws from the run's seed. Values only;
// times are milliseconds from the begin of the run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/model/random.hpp"

namespace meadowgauge::testbed {

struct DatagramFault {
  enum class Kind : std::uint8_t {
    cut,        // no datagram is delivered
    drop,       // a share of the datagrams is lost
    delay,      // a share is delivered `ms` later
    duplicate,  // a share is delivered a second time, `ms` later
    reorder,    // a share is delivered with a random delay of up to `ms`
    corrupt     // a share has some of its bytes changed
  };
  Kind kind = Kind::cut;
  std::vector<int> from, to;  // balancers; empty: all
  bool both = false;          // the opposite direction as well
  double at_ms = 0, for_ms = 0;
  double share = 1, ms = 0;
  [[nodiscard]] bool applies(int sender, int receiver, double now_ms) const;
};

// The one-way path between two balancers.
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
        rng_(mixed(seed, "letters",
                   static_cast<std::uint64_t>(from) * 1000 + static_cast<std::uint64_t>(to))) {}
  // Returns the deliveries of a datagram sent at `now_ms`: none, one, or two.
  std::vector<Delivery> send(std::string bytes, double now_ms);

 private:
  const std::vector<DatagramFault>* faults_;
  int from_, to_;
  Rng rng_;
};

}  // namespace meadowgauge::testbed
