// What staff use day by day, wired to the balancer: the door, servers out by hand, what another process of
// the same balancer is told.
#pragma once

#include <optional>

#include "handover/outs.hpp"
#include "management/door.hpp"
#include "routing/balancer.hpp"

namespace meadow::program {

class Office final : management::Desk {
 public:
  // Throws where the door's address can't be listened on. `folder` is for what lasts over an upgrade.
  Office(transport::Loop& loop, routing::Balancer& balancer, const transport::Address& at,
         const std::string& folder, const std::string& name, routing::Say say);
  [[nodiscard]] transport::Address address() const { return door_.address(); }
  void tick();

 private:
  bool ready() override { return balancer_.ready(); }
  routing::Figures figures() override { return balancer_.figures(); }
  bool take(const std::string& id, bool out, double& wait) override;

  routing::Balancer& balancer_;
  handover::Place place_;
  handover::Outs outs_;
  management::Door door_;
};

}  // namespace meadow::program
