// Day-to-day operation of the balancer: carries out the admin server's commands, keeps the servers that
// operators have drained, and runs an upgrade, during which two processes of one balancer listen side by
// side.
#pragma once

#include "admin/server.hpp"
#include "hot_restart/instance_locks.hpp"
#include "hot_restart/manual_drain_file.hpp"
#include "hot_restart/takeover.hpp"
#include "program/fleet_coordinator.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// State shared by the processes of one balancer: a state directory, and locks that tell them apart. Created
// before the balancer, which needs to know whether it shares its address.
struct SharedState {
  // `folder` holds the state that outlives an upgrade; empty: none does. `name` is unique in that folder.
  SharedState(const std::string& folder, const std::string& name)
      : directory(folder, name), locks(directory) {}
  hot_restart::StateDirectory directory;
  hot_restart::InstanceLocks locks;
};

class AdminService final : admin::CommandHandler {
 public:
  // All references outlive the service; `fleet` may be null. Takes over from a process that is listening
  // already. Throws std::system_error where it cannot listen on `address` or on the clients' address.
  AdminService(transport::Loop& loop, proxy::Balancer& balancer, SharedState& shared,
               const transport::Address& address, proxy::Logger log, const FleetCoordinator* fleet);
  // The admin server's address as bound.
  [[nodiscard]] transport::Address address() const { return server_.address(); }
  // Called periodically: timeouts of the admin server, drains set by other processes, steps of an upgrade.
  void tick();
  // Begins the graceful shutdown, on SIGTERM.
  void begin_shutdown();

 private:
  bool ready() override { return balancer_.ready(); }
  proxy::Metrics metrics() override;
  admin::DrainResult set_offline(const std::string& server_id, bool offline) override;
  void advance_takeover();

  proxy::Balancer& balancer_;
  SharedState& shared_;
  proxy::Logger log_;
  const FleetCoordinator* fleet_;  // null without [fleet] in the file
  transport::Clock clock_;
  hot_restart::ManualDrainFile drains_;
  hot_restart::Takeover takeover_;
  admin::Server server_;
};

}  // namespace meadowgauge::program
