#include "program/fleet_log.hpp"

#include <utility>

namespace meadowgauge::program {

using membership::DropReason;
using membership::MemberStatus;
using proxy::Level;

namespace {

constexpr std::array<std::string_view, 3> status_names{"alive", "suspected", "gone"};

std::string_view name_of(MemberStatus status) { return status_names[static_cast<std::size_t>(status)]; }

}  // namespace

void FleetLog::disabled() const {
  log_(Level::warning, "fleet disabled by configuration: limits no longer enforced");
}

void FleetLog::restart_needed() const {
  log_(Level::warning,
       "fleet configuration: changes of name, listen and lease_ms take effect after a restart");
}

void FleetLog::limit_needs_restart(const std::string& limit_name) const {
  log_(Level::warning,
       "fleet limit " + limit_name +
           " names a tenant or path prefix unknown at startup: takes effect after a restart",
       {{"limit", std::string_view(limit_name)}});
}

void FleetLog::reloaded(std::size_t member_count, std::size_t limit_count) const {
  log_(Level::info,
       "fleet configuration reloaded: " + std::to_string(member_count) + " instances, " +
           std::to_string(limit_count) + " limits",
       {{"instances", static_cast<double>(member_count)}, {"limits", static_cast<double>(limit_count)}});
}

void FleetLog::bound(const std::string& instance, const transport::Address& address) const {
  const auto& text = address.text();
  log_(Level::info, "fleet instance " + instance + " bound to " + text,
       {{"instance", std::string_view(instance)}, {"address", std::string_view(text)}});
}

void FleetLog::bind_failed(const transport::Address& address, const std::string& reason) {
  if (std::exchange(bind_error_, reason) == reason) return;
  const auto& text = address.text();
  log_(Level::error, "fleet: cannot bind " + text + ": " + reason + "; retrying, own share of limits unused",
       {{"address", std::string_view(text)}, {"reason", std::string_view(reason)}});
}

void FleetLog::ejected_servers(std::size_t count) const {
  log_(Level::info, "fleet: servers ejected by verdict: " + std::to_string(count),
       {{"servers", static_cast<double>(count)}});
}

void FleetLog::reset_statuses(std::size_t slot_count) { statuses_.assign(slot_count, std::nullopt); }

void FleetLog::update_status(membership::PeerIndex peer, const std::string& name, MemberStatus status) {
  const auto old_status = std::exchange(statuses_[membership::slot(peer)], status);
  if (old_status.value_or(MemberStatus::gone) == status) return;
  const auto old_name = old_status ? name_of(*old_status) : "unknown";
  const auto new_name = name_of(status);
  log_(
      Level::info,
      std::string("fleet member ").append(name).append(": ").append(old_name).append(" -> ").append(new_name),
      {{"member", std::string_view(name)}, {"old_status", old_name}, {"status", new_name}});
}

void FleetLog::update_limits_in_force(bool in_force) {
  const bool were_in_force = std::exchange(limits_in_force_, in_force);
  if (in_force && !were_in_force)
    log_(Level::info, "fleet limits in force: all members have the same configuration");
}

void FleetLog::drops(const membership::DatagramCounters& counters) {
  for (std::size_t i = 0; i < counters.dropped.size(); ++i) {
    const auto count = counters.dropped[i] - std::exchange(drops_[i], counters.dropped[i]);
    if (count == 0) continue;
    const auto reason = membership::name_of(static_cast<DropReason>(i));
    log_(Level::warning,
         "fleet: datagrams dropped in the last minute, " + std::string(reason) + ": " + std::to_string(count),
         {{"reason", reason}, {"datagrams", static_cast<double>(count)}});
  }
}

void FleetLog::still_unbound(const transport::Address& address) const {
  const auto& text = address.text();
  log_(Level::error, "fleet: still cannot bind " + text + ": " + bind_error_,
       {{"address", std::string_view(text)}, {"reason", std::string_view(bind_error_)}});
}

}  // namespace meadowgauge::program
