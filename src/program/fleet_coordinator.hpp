// One instance of a fleet: connects the datagram exchange, the member table, the shared limits and the
// verdicts on servers. Exists only if the operator's file has [fleet].
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/config.hpp"
#include "fleet/shared_limits.hpp"
#include "membership/member_table.hpp"
#include "program/fleet_datagrams.hpp"
#include "program/fleet_log.hpp"
#include "program/fleet_verdicts.hpp"
#include "program/lease_exchange.hpp"
#include "proxy/balancer.hpp"
#include "proxy/logger.hpp"
#include "transport/clock.hpp"

namespace meadowgauge::program {

// Owns the timer and all fleet state of this process; acts on the timer and on received datagrams. The
// decisions are made in src/fleet; LeaseExchange, FleetVerdicts and FleetDatagrams carry them out.
class FleetCoordinator final : public proxy::RequestFilter, transport::EventHandler {
 public:
  // `loop` outlives the coordinator. Throws std::system_error if no timer can be created. Retries binding
  // while another process holds the address.
  FleetCoordinator(transport::Loop& loop, fleet::FleetConfig config, std::uint64_t seed, proxy::Logger log);
  ~FleetCoordinator();
  FleetCoordinator(const FleetCoordinator&) = delete;
  FleetCoordinator& operator=(const FleetCoordinator&) = delete;

  double try_acquire(int tenant, int request_class) override;
  void release(int tenant, int request_class) override;
  void record_success(std::uint32_t server) override;
  void leave() override;
  // Sets the balancer that the verdicts on servers apply to. The balancer outlives the coordinator.
  void set_balancer(proxy::Balancer& balancer) { verdicts_.set_balancer(balancer); }

  // Applies a reloaded configuration: replaces all members and limits. Without a value, the file no longer
  // has [fleet] and the limits are no longer enforced.
  void reload(const std::optional<fleet::FleetConfig>& config);
  // Names and values for the admin server's DUMP command; docs/operate/fleet.md lists the names.
  [[nodiscard]] std::vector<std::pair<std::string, double>> metrics() const;

 private:
  enum class State : std::uint8_t {
    enabled,
    disabled,  // the configuration no longer has [fleet]
  };
  // Times, in ms of `clock_`, when periodic work is next due or was last done.
  struct Schedule {
    double next_bind = 0;
    double next_gossip = 0;
    double last_gossip = 0;
    double next_drop_log = 0;
  };

  void ready(std::uint32_t events) override;
  void receive(membership::PeerIndex peer, const membership::Datagram& datagram, double now_ms);
  void merge_states(membership::PeerIndex peer, const membership::Datagram& datagram, double now_ms);
  void disable();
  void set_members();
  void forget_unlisted(const std::vector<std::string>& listed_names);
  void tick(double now_ms);
  void tick_online(double now_ms);
  void bind_address();
  [[nodiscard]] fleet::SharedLimits new_limits() const;
  [[nodiscard]] bool gossip_is_due(double now_ms) const;
  void send_gossip(double now_ms);
  void update_members(double now_ms);
  void log_drops(double now_ms);

  transport::Loop& loop_;
  transport::Clock clock_;
  fleet::FleetConfig config_;
  FleetLog log_;
  double started_at_ms_;
  std::uint64_t incarnation_;
  membership::MemberTable members_;
  fleet::SharedLimits limits_;
  FleetVerdicts verdicts_;
  FleetDatagrams datagrams_;
  LeaseExchange leases_;
  transport::Fd timer_;
  std::uint64_t token_;  // registration of the timer in the loop
  State state_ = State::enabled;
  bool address_handed_over_ = false;  // to a successor; never reset
  bool gossip_is_urgent_ = false;     // a server is newly failing
  std::uint64_t rejected_requests_ = 0;
  Schedule schedule_;
};

}  // namespace meadowgauge::program
