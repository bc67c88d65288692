#include "testbed/model/datagram_fault.hpp"

#include <algorithm>
#include <utility>

namespace meadowgauge::testbed {

namespace {

constexpr int corrupted_bytes = 3;

// An empty selection selects all balancers.
bool is_selected(const std::vector<int>& balancers, int balancer) {
  return balancers.empty() || std::find(balancers.begin(), balancers.end(), balancer) != balancers.end();
}

}  // namespace

bool DatagramFault::applies(int sender, int receiver, double now_ms) const {
  if (now_ms < at_ms || now_ms >= at_ms + for_ms) return false;
  return (is_selected(from, sender) && is_selected(to, receiver)) ||
         (both && is_selected(from, receiver) && is_selected(to, sender));
}

std::vector<DatagramPath::Delivery> DatagramPath::send(std::string bytes, double now_ms) {
  using Kind = DatagramFault::Kind;
  double delay_ms = 0;
  double duplicate_after_ms = -1;
  for (const auto& fault : *faults_) {
    if (!fault.applies(from_, to_, now_ms)) continue;
    if (fault.kind == Kind::cut) return {};
    if (uniform(rng_) >= fault.share) continue;
    switch (fault.kind) {
      case Kind::cut:
      case Kind::drop:
        return {};
      case Kind::delay:
        delay_ms += fault.ms;
        break;
      case Kind::reorder:
        delay_ms += fault.ms * uniform(rng_);
        break;
      case Kind::duplicate:
        duplicate_after_ms = fault.ms;
        break;
      case Kind::corrupt:
        for (int i = 0; i < corrupted_bytes && !bytes.empty(); ++i)
          bytes[rng_() % bytes.size()] = static_cast<char>(rng_());
        break;
    }
  }
  std::vector<Delivery> deliveries{{now_ms + delay_ms, bytes}};
  if (duplicate_after_ms >= 0)
    deliveries.push_back({now_ms + delay_ms + duplicate_after_ms, std::move(bytes)});
  return deliveries;
}

}  // namespace meadowgauge::testbed
