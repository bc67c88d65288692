// What staff use day by day, wired to the balancer: the door, servers out by hand, and an upgrade, in which
// two processes of one balancer serve side by side.
#pragma once

#include "handover/outs.hpp"
#include "handover/relief.hpp"
#include "handover/seats.hpp"
#include "management/door.hpp"
#include "program/fleet_desk.hpp"
#include "routing/balancer.hpp"

namespace meadow::program {

// What processes of one balancer share; there before the balancer itself.
struct Shift {
  // `folder` is for what lasts over an upgrade; empty: nothing does.
  Shift(const std::string& folder, const std::string& name) : place(folder, name), seats(place) {}
  handover::Place place;
  handover::Seats seats;
};

class Office final : management::Desk {
 public:
  // Throws where the door's address can't be listened on, or the clients'.
  Office(transport::Loop& loop, routing::Balancer& balancer, Shift& shift, const transport::Address& at,
         routing::Say say, const FleetDesk* fleet);
  [[nodiscard]] transport::Address address() const { return door_.address(); }
  void tick();
  void ended();  // the process is to end: SIGTERM

 private:
  bool ready() override { return balancer_.ready(); }
  routing::Figures figures() override;
  bool take(const std::string& id, bool out, double& wait) override;
  void look();

  routing::Balancer& balancer_;
  Shift& shift_;
  routing::Say say_;
  const FleetDesk* fleet_;  // none where the file has no [fleet]
  transport::Clock clock_;
  handover::Outs outs_;
  handover::Relief relief_;
  management::Door door_;
};

}  // namespace meadow::program
