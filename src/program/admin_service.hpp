// Operation of a running balancer: executes the commands of the admin server, stores manual drains, and runs
// the takeover at a hot restart, during which two processes of one balancer listen on the same address.
#pragma once

#include <optional>
#include <string>

#include "admin/server.hpp"
#include "hot_restart/instance_locks.hpp"
#include "hot_restart/manual_drain_file.hpp"
#include "hot_restart/shared_memory.hpp"
#include "hot_restart/takeover.hpp"
#include "program/fleet_coordinator.hpp"
#include "proxy/balancer.hpp"

namespace meadowgauge::program {

// State shared by the processes of one balancer: the state directory and the locks that identify the running
// processes. Created before the balancer, which needs to know whether other processes may share its address.
struct SharedState {
  // `folder` keeps the state across hot restarts; if it is empty, no state is kept. `name` is unique in the
  // folder.
  SharedState(const std::string& folder, const std::string& name);
  hot_restart::StateDirectory directory;
  hot_restart::InstanceLocks locks;
  std::optional<hot_restart::SharedMemory> request_ids;  // absent without a folder
};

// Owns the admin server, the manual drains and the takeover state of this process.
class AdminService final : admin::CommandHandler {
 public:
  // All references outlive the service; `fleet` may be null. If another process of this balancer is already
  // running, starts a takeover. Throws std::system_error if it cannot listen on `address` or on the
  // balancer's address for clients.
  AdminService(transport::Loop& loop, proxy::Balancer& balancer, SharedState& shared,
               const transport::Address& address, proxy::Logger log, const FleetCoordinator* fleet);
  // The bound address of the admin server.
  [[nodiscard]] transport::Address address() const { return server_.address(); }
  // To be called periodically: applies timeouts of the admin server, manual drains set by other processes and
  // the next step of a takeover.
  void tick();
  // Begins the graceful shutdown, on SIGTERM.
  void begin_shutdown();

 private:
  bool ready() override { return balancer_.ready(); }
  proxy::Metrics metrics() override;
  admin::DrainResult set_offline(const std::string& server_id, bool offline) override;
  void share_request_ids();
  void advance_takeover();

  proxy::Balancer& balancer_;
  SharedState& shared_;
  proxy::Logger log_;
  const FleetCoordinator* fleet_;  // null if the configuration has no [fleet]
  transport::Clock clock_;
  hot_restart::ManualDrainFile drains_;
  hot_restart::Takeover takeover_;
  admin::Server server_;
};

}  // namespace meadowgauge::program
