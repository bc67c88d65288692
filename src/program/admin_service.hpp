// Day-to-day operation of the balancer: carries out the admin server's commands, keeps the servers that
// operators have taken out, and runs an upgrade, in which two processes of one balancer serve side by side.
#pragma once

#include "admin/server.hpp"
#include "hot_restart/instance_locks.hpp"
#include "hot_restart/manual_drain_file.hpp"
#include "hot_restart/takeover.hpp"
#include "program/fleet_coordinator.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// What the processes of one balancer share: a state directory, and locks that tell them apart. Created before
// the balancer, so that it knows whether it shares its address.
struct SharedState {
  // `folder` is for what outlives an upgrade; empty: nothing does. `name` is the balancer's own in that
  // folder.
  SharedState(const std::string& folder, const std::string& name)
      : directory(folder, name), locks(directory) {}
  hot_restart::StateDirectory directory;
  hot_restart::InstanceLocks locks;
};

class AdminService final : admin::CommandHandler {
 public:
  // All references outlive the service; `fleet` may be null. Takes over from a process that serves already.
  // Throws std::system_error where `address`, or the clients' address, can't be listened on.
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
  const FleetCoordinator* fleet_;  // none where the file has no [fleet]
  transport::Clock clock_;
  hot_restart::ManualDrainFile drains_;
  hot_restart::Takeover takeover_;
  admin::Server server_;
};

}  // namespace meadowgauge::program
