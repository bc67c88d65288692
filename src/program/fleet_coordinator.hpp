// One instance of a fleet, wired: its datagrams, the member table, the shared limits and the verdicts on
// servers. Carries out what src/fleet decides. There only where the operator's file has [fleet].
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/config.hpp"
#include "fleet/datagram_budget.hpp"
#include "fleet/outlier_verdicts.hpp"
#include "fleet/shared_limits.hpp"
#include "membership/datagram_socket.hpp"
#include "membership/member_table.hpp"
#include "proxy/balancer.hpp"
#include "proxy/logger.hpp"
#include "transport/clock.hpp"

namespace meadowgauge::program {

// Owns the socket, the timer and all state of the fleet in this process; acts on its timer and on datagrams.
class FleetCoordinator final : public proxy::RequestFilter, transport::Ready {
 public:
  // `loop` outlives this. Throws std::system_error where there is no timer to be had. An address that is in
  // use is tried again until it is free.
  FleetCoordinator(transport::Loop& loop, fleet::FleetConfig config, std::uint64_t seed, proxy::Logger log);
  ~FleetCoordinator();
  FleetCoordinator(const FleetCoordinator&) = delete;
  FleetCoordinator& operator=(const FleetCoordinator&) = delete;

  double try_acquire(int tenant, int request_class) override;
  void release(int tenant, int request_class) override;
  void record_success(std::uint32_t server) override;
  void leave() override;
  // The balancer whose servers the verdicts are on. It outlives this.
  void set_balancer(proxy::Balancer& balancer) { balancer_ = &balancer; }

  // A new file: members and limits as a whole. None: it has no [fleet] any more, and nothing is limited from
  // now on.
  void reload(const std::optional<fleet::FleetConfig>& config);
  // Names and values for the admin endpoint; the names are those of docs/operate/fleet.md.
  [[nodiscard]] std::vector<std::pair<std::string, double>> metrics() const;

 private:
  // When something is due next, or was last done, in ms by the clock.
  struct Schedule {
    double next_bind = 0;
    double next_gossip = 0;
    double last_gossip = 0;
    double next_lease_requests = 0;
    double next_urgent_requests = 0;  // where requests were rejected lately
    double next_verdicts = 0;
    double next_drop_log = 0;
  };
  // Totals since the start.
  struct Counters {
    std::uint64_t lease_requests = 0;
    std::uint64_t leases_received = 0;
    std::uint64_t lease_answers = 0;
    std::uint64_t rejected = 0;
  };
  using DropCounts = std::array<std::uint64_t, static_cast<std::size_t>(membership::DropReason::count)>;

  void ready(std::uint32_t events) override;
  void receive(membership::PeerIndex peer, const membership::Datagram& datagram, double now_ms);
  void merge_states(membership::PeerIndex peer, const membership::Datagram& datagram, double now_ms);
  void answer_request(membership::PeerIndex peer, const membership::Datagram& request, double now_ms);
  void accept_grant(membership::PeerIndex peer, const membership::Datagram& grant, double now_ms);
  void set_members();
  void tick(double now_ms);
  void bind_address();
  [[nodiscard]] fleet::SharedLimits fresh_limits() const;
  void send_gossip(double now_ms);
  void send_lease_requests(double now_ms);
  void update_verdicts(double now_ms);
  void update_members(double now_ms);
  void log_drops(double now_ms);
  [[nodiscard]] bool may_send_lease_datagram(double now_ms);
  [[nodiscard]] membership::Datagram new_datagram(membership::DatagramKind kind);
  void append_limit_figures(std::vector<std::pair<std::string, double>>& metrics, double now_ms) const;

  transport::Loop& loop_;
  transport::Clock clock_;
  fleet::FleetConfig config_;
  proxy::Logger log_;
  double started_at_ms_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;  // of the last datagram
  std::uint64_t config_digest_;
  membership::MemberTable members_;
  fleet::SharedLimits limits_;
  fleet::OutlierVerdicts verdicts_;
  fleet::DatagramBudget lease_datagrams_;
  proxy::Balancer* balancer_ = nullptr;
  std::vector<fleet::ServerId> ejected_;  // as told to the balancer
  membership::DatagramSocket socket_;
  transport::Fd timer_;
  std::uint64_t token_;            // of the timer in the loop
  bool disabled_ = false;          // the file has no [fleet] now
  bool left_ = false;              // a successor has the address
  bool gossip_is_urgent_ = false;  // a server fails that did not
  bool limits_in_force_ = true;    // as logged
  std::string bind_error_;         // as logged; why the address can't be had
  Schedule due_;
  Counters counters_;
  std::vector<membership::MemberStatus> logged_status_;  // by peer
  DropCounts logged_drops_{};
};

}  // namespace meadowgauge::program
