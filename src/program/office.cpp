#include "program/office.hpp"

namespace meadow::program {

Office::Office(transport::Loop& loop, routing::Balancer& balancer, const transport::Address& at,
               const std::string& folder, const std::string& name, routing::Say say)
    : balancer_(balancer), place_(folder, name), outs_(place_, say), door_(loop, at, *this) {
  balancer_.take_out(outs_.names());
}

bool Office::take(const std::string& id, bool out, double&) {
  if (!balancer_.lists(id) && !outs_.names().contains(id)) return false;
  if (!outs_.change(id, out)) return false;
  balancer_.take_out(outs_.names());
  return true;
}

void Office::tick() {
  if (outs_.refresh()) balancer_.take_out(outs_.names());
  door_.tick();
}

}  // namespace meadow::program
