#include "program/fleet_metrics.hpp"

#include <array>

namespace meadowgauge::program {

using membership::DropReason;
using membership::MemberStatus;

namespace {

using Metrics = std::vector<std::pair<std::string, double>>;

double to_double(std::uint64_t count) { return static_cast<double>(count); }

void append_members(Metrics& metrics, const membership::MemberTable& members, double now_ms) {
  constexpr std::size_t status_count = 3;
  std::array<int, status_count> by_status{};
  for (auto peer : members.members()) ++by_status[static_cast<std::size_t>(members.status(peer, now_ms))];
  auto count = [&](MemberStatus status) { return by_status[static_cast<std::size_t>(status)]; };
  metrics.emplace_back("fleet.alive", count(MemberStatus::alive));
  metrics.emplace_back("fleet.suspected", count(MemberStatus::suspected));
  metrics.emplace_back("fleet.gone", count(MemberStatus::gone));
}

void append_datagrams(Metrics& metrics, const membership::DatagramCounters& datagrams) {
  metrics.emplace_back("fleet.sent", to_double(datagrams.sent));
  metrics.emplace_back("fleet.sent_bytes", to_double(datagrams.sent_bytes));
  metrics.emplace_back("fleet.came", to_double(datagrams.received));
  metrics.emplace_back("fleet.came_bytes", to_double(datagrams.received_bytes));
  metrics.emplace_back("fleet.unsent", to_double(datagrams.unsent));
}

void append_leases(Metrics& metrics, const LeaseExchange& leases) {
  const auto& counters = leases.counters();
  metrics.emplace_back("fleet.asks", to_double(counters.requests_sent));
  metrics.emplace_back("fleet.grants", to_double(counters.grants_received));
  metrics.emplace_back("fleet.answers", to_double(counters.grants_sent));
  metrics.emplace_back("fleet.held_back", to_double(leases.over_budget()));
}

void append_drops(Metrics& metrics, const membership::DatagramCounters& datagrams) {
  for (std::size_t reason = 0; reason < datagrams.dropped.size(); ++reason) {
    std::string name("fleet.dropped.");
    for (char c : membership::name_of(static_cast<DropReason>(reason))) name += c == ' ' ? '_' : c;
    metrics.emplace_back(name, to_double(datagrams.dropped[reason]));
  }
}

void append_limits(Metrics& metrics, const fleet::SharedLimits& limits, double now_ms) {
  for (int i = 0; i < limits.size(); ++i) {
    const auto& quota = limits.quota(i);
    const auto prefix = "fleet.limit." + limits.limit(i).name + ".";
    metrics.emplace_back(prefix + "right", quota.available_rate(now_ms));
    metrics.emplace_back(prefix + "lent", quota.lent(now_ms));
    metrics.emplace_back(prefix + "borrowed", quota.borrowed(now_ms));
    metrics.emplace_back(prefix + "asked_for", quota.demand(now_ms));
  }
}

}  // namespace

Metrics fleet_metrics(const FleetMetricsSource& source, double now_ms) {
  const auto& datagrams = source.socket.counters();
  Metrics metrics;
  append_members(metrics, source.members, now_ms);
  metrics.emplace_back("fleet.address", source.socket.is_open());
  metrics.emplace_back("fleet.agreed", source.limits.in_force());
  metrics.emplace_back("fleet.servers_held", to_double(source.ejected_servers));
  append_datagrams(metrics, datagrams);
  append_leases(metrics, source.leases);
  metrics.emplace_back("fleet.turned_away", to_double(source.rejected_requests));
  append_drops(metrics, datagrams);
  append_limits(metrics, source.limits, now_ms);
  return metrics;
}

}  // namespace meadowgauge::program
