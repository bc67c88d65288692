#include "testbed/stand_ins/discovery.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/names.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {
namespace {

constexpr double heartbeat_interval_ms = 2000;  // of the empty lines that keep a watch alive

std::string chunk(const std::string& line) { return formatted("%zx\r\n", line.size()) + line + "\r\n"; }

nlohmann::json endpoint_json(const DiscoveryEndpoint& endpoint, int balancer) {
  constexpr std::array health_names{"active", "leaving", "left"};
  return {{"host", endpoint.host},   {"dial", endpoint.addresses[static_cast<std::size_t>(balancer)]},
          {"site", endpoint.zone},   {"class", endpoint.kind},
          {"block", endpoint.block}, {"health", health_names[static_cast<std::size_t>(endpoint.health)]},
          {"share", endpoint.share}, {"born_ms", std::floor(endpoint.started_ms)}};
}

// Returns N of `after=N` in a watch's request target; 0 if there is none.
std::uint64_t requested_version(std::string_view target) {
  constexpr std::string_view key = "after=";
  std::uint64_t version = 0;
  auto at = target.find(key);
  if (at != std::string_view::npos)
    std::from_chars(target.data() + at + key.size(), target.data() + target.size(), version);
  return version;
}

}  // namespace

Discovery::Discovery(TestbedContext& context, const std::vector<transport::Address>& listen_at,
                     const std::vector<DiscoveryEndpoint>& endpoints, NotificationSink on_notified)
    : Component(context),
      http_(context, *this),
      on_notified_(std::move(on_notified)),
      next_heartbeat_ms_(context_.now_ms + heartbeat_interval_ms) {
  for (const auto& address : listen_at) {
    http_.listen(address);
    agents_.push_back({endpoints, std::vector<std::uint64_t>(endpoints.size(), 1), 1, {}});
  }
  arm();
}

std::string Discovery::list_json(int balancer, std::uint64_t after, bool complete) const {
  const auto& agent = agents_[static_cast<std::size_t>(balancer)];
  auto hosts = nlohmann::json::array();
  for (std::size_t i = 0; i < agent.endpoints.size(); ++i) {
    const auto& endpoint = agent.endpoints[i];
    bool is_omitted =
        complete ? endpoint.health == DiscoveryEndpoint::Health::left : agent.changed_at[i] <= after;
    if (!is_omitted) hosts.push_back(endpoint_json(endpoint, balancer));
  }
  return nlohmann::json({{"seq", agent.version}, {"whole", complete}, {"hosts", hosts}}).dump();
}

std::string Discovery::complete_list(int balancer) const { return list_json(balancer, 0, true); }

void Discovery::report_notified(int balancer, std::uint64_t after) {
  const auto& at = agent(balancer);
  for (std::size_t i = 0; i < at.endpoints.size(); ++i)
    if (at.changed_at[i] > after) on_notified_(balancer, static_cast<int>(i), at.endpoints[i].health);
}

void Discovery::on_request(ConnectionId connection, int listener, const protocol::Message& request, bool) {
  if (silent_) return;  // the connection stays open without a response
  auto target = request.target();
  if (target.substr(0, target.find('?')) != protocol::names::endpoint_list)
    return http_.respond(connection, 404, "", "");
  if (target.find("watch=1") != std::string_view::npos)
    return start_watch(connection, listener, requested_version(target));
  http_.respond(connection, 200, "Content-Type: application/json\r\n", complete_list(listener));
  report_notified(listener, 0);
}

void Discovery::start_watch(ConnectionId connection, int balancer, std::uint64_t after) {
  if (!http_.write(connection,
                   "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return;
  auto& at = agent(balancer);
  bool complete = after == 0 || after > at.version;
  at.watches.push_back({connection, complete ? at.version : after});
  if (!complete) return notify_watches(balancer);
  if (http_.write(connection, chunk(complete_list(balancer) + "\n"))) report_notified(balancer, 0);
}

void Discovery::on_disconnect(ConnectionId connection) {
  for (auto& at : agents_)
    std::erase_if(at.watches, [&](const Watch& watch) { return watch.connection == connection; });
}

void Discovery::notify_watches(int balancer) {
  if (silent_) return;
  auto& at = agent(balancer);
  // Iterates over a copy: a failed write closes the connection, and on_disconnect() removes its watch.
  auto watches = at.watches;
  for (const auto& watch : watches) {
    if (watch.sent_version >= at.version) continue;
    if (!http_.write(watch.connection, chunk(list_json(balancer, watch.sent_version, false) + "\n")))
      continue;
    report_notified(balancer, watch.sent_version);
    for (auto& current : at.watches)
      if (current.connection == watch.connection) current.sent_version = at.version;
  }
}

void Discovery::notify_all_watches() {
  for (int balancer = 0; balancer < static_cast<int>(agents_.size()); ++balancer) notify_watches(balancer);
}

void Discovery::update(int server, DiscoveryEndpoint::Health health, double started_ms,
                       const std::vector<double>& delay_ms) {
  for (std::size_t b = 0; b < agents_.size(); ++b) {
    double delay = delay_ms.empty() ? 0 : delay_ms.size() == 1 ? delay_ms[0] : delay_ms[b];
    pending_.push_back({context_.now_ms + delay, static_cast<int>(b), server, health, started_ms});
  }
  on_timer(0);
}

void Discovery::apply(const PendingUpdate& update) {
  auto& at = agent(update.balancer);
  auto server = static_cast<std::size_t>(update.server);
  auto& endpoint = at.endpoints[server];
  endpoint.health = update.health;
  if (update.started_ms > 0) endpoint.started_ms = update.started_ms;
  at.changed_at[server] = ++at.version;
}

void Discovery::set_silent(bool on) {
  silent_ = on;
  if (!on) notify_all_watches();
}

// Applies the pending updates that are due, in order of time. Returns whether there were any. While discovery
// is silent, all updates stay pending.
bool Discovery::apply_due_updates() {
  std::stable_sort(pending_.begin(), pending_.end(),
                   [](const PendingUpdate& a, const PendingUpdate& b) { return a.at_ms < b.at_ms; });
  std::size_t applied = 0;
  while (!silent_ && applied < pending_.size() && pending_[applied].at_ms <= context_.now_ms)
    apply(pending_[applied++]);
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(applied));
  return applied > 0;
}

void Discovery::send_heartbeats() {
  for (auto& at : agents_) {
    auto watches = at.watches;
    for (const auto& watch : watches) http_.write(watch.connection, chunk("\n"));
  }
}

void Discovery::on_timer(std::uint64_t) {
  if (apply_due_updates()) notify_all_watches();
  if (context_.now_ms >= next_heartbeat_ms_) {
    next_heartbeat_ms_ = context_.now_ms + heartbeat_interval_ms;
    if (!silent_) send_heartbeats();
  }
  arm();
}

void Discovery::arm() {
  double next_ms = next_heartbeat_ms_;
  if (!silent_)
    for (const auto& update : pending_) next_ms = std::min(next_ms, update.at_ms);
  set_timer(0, timer_, next_ms);
}

}  // namespace meadowgauge::testbed
