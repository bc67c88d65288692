// What staff use day by day, wired to the balancer: the door, servers out by hand, and an upgrade, in which
// two processes of one balancer serve side by side.
#pragma once

#include <optional>

#include "handover/outs.hpp"
#include "handover/seats.hpp"
#include "management/door.hpp"
#include "routing/balancer.hpp"

namespace meadow::program {

// What another process of the balancer is told and tells; there before the balancer itself.
class Shift {
 public:
  // `folder` is for what lasts over an upgrade; empty: nothing does.
  Shift(const std::string& folder, const std::string& name);
  // Another process serves already.
  [[nodiscard]] bool relieves() const { return others.older > 0; }

  handover::Place place;
  handover::Seats seats;
  handover::Seats::Others others;
  double began;
};

class Office final : management::Desk {
 public:
  // Throws where the door's address can't be listened on.
  Office(transport::Loop& loop, routing::Balancer& balancer, Shift& shift, const transport::Address& at,
         routing::Say say);
  [[nodiscard]] transport::Address address() const { return door_.address(); }
  void tick();
  void ended();  // the process is to end: SIGTERM

 private:
  bool ready() override { return balancer_.ready(); }
  routing::Figures figures() override { return balancer_.figures(); }
  bool take(const std::string& id, bool out, double& wait) override;
  void share();

  routing::Balancer& balancer_;
  Shift& shift_;
  routing::Say say_;
  transport::Clock clock_;
  handover::Outs outs_;
  management::Door door_;
  bool ending_ = false;
  double tell_at_ = 0;
};

}  // namespace meadow::program
