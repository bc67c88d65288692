// One instance of a fleet: wires its datagrams, the member table, the shared limits and the verdicts on
// servers. There only where the operator's file has [fleet].
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

// Owns the timer and all state of the fleet in this process; acts on its timer and on datagrams. What is
// decided stands in src/fleet; LeaseExchange, FleetVerdicts and FleetDatagrams carry it out.
class FleetCoordinator final : public proxy::RequestFilter, transport::Ready {
 public:
  // `loop` outlives this. Throws std::system_error where the system refuses a timer. While another process
  // has the address, binding is retried.
  FleetCoordinator(transport::Loop& loop, fleet::FleetConfig config, std::uint64_t seed, proxy::Logger log);
  ~FleetCoordinator();
  FleetCoordinator(const FleetCoordinator&) = delete;
  FleetCoordinator& operator=(const FleetCoordinator&) = delete;

  double try_acquire(int tenant, int request_class) override;
  void release(int tenant, int request_class) override;
  void record_success(std::uint32_t server) override;
  void leave() override;
  // The balancer whose servers the verdicts are on. It outlives this.
  void set_balancer(proxy::Balancer& balancer) { verdicts_.set_balancer(balancer); }

  // The configuration read again: members and limits as a whole. Without a value the file has no [fleet] any
  // more, and nothing is limited from now on.
  void reload(const std::optional<fleet::FleetConfig>& config);
  // Names and values for the admin endpoint; the names are those of docs/operate/fleet.md.
  [[nodiscard]] std::vector<std::pair<std::string, double>> metrics() const;

 private:
  enum class State : std::uint8_t {
    enabled,
    disabled,  // the file has no [fleet] now
  };
  // When something is due next, or was last done, in ms by the clock.
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
  [[nodiscard]] fleet::SharedLimits fresh_limits() const;
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
  std::uint64_t token_;  // of the timer in the loop
  State state_ = State::enabled;
  bool address_handed_over_ = false;  // to a successor; final
  bool gossip_is_urgent_ = false;     // a server has begun to fail
  std::uint64_t rejected_requests_ = 0;
  Schedule due_;
};

}  // namespace meadowgauge::program
