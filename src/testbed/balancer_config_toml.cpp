#include <algorithm>
#include <array>
#include <sstream>

#include "testbed/balancer_config.hpp"

namespace meadowgauge::testbed {

namespace {

// Returns the text, or the list of texts, as TOML.
std::string quoted(const std::string& text) { return "\"" + text + "\""; }
std::string quoted(const std::vector<std::string>& texts) {
  std::string list;
  for (const auto& text : texts) list += (list.empty() ? "" : ", ") + quoted(text);
  return "[" + list + "]";
}

// Writes the file table by table, in the same order as the operators' documentation.
class ConfigFileWriter {
 public:
  ConfigFileWriter(const Experiment& experiment, const BuildSpec& build, int balancer,
                   const BalancerAddresses& addresses)
      : experiment_(experiment),
        tier_(experiment.tiers.front()),
        fleet_(*experiment.fleet),
        build_(build),
        balancer_(balancer),
        addresses_(addresses) {
    out_ << std::boolalpha;
  }

  std::string write(std::uint64_t seed, const std::vector<int>& members) {
    write_top(seed);
    write_limits();
    write_rules();
    write_request_classes();
    write_tenants();
    if (build_.fleet) {
      write_fleet();
      write_peers(members);
    }
    return out_.str();
  }

 private:
  [[nodiscard]] int zones() const { return static_cast<int>(tier_.zones.size()); }
  [[nodiscard]] std::string zone_of(int balancer) const {
    return quoted(tier_.zones[static_cast<std::size_t>(balancer % zones())]);
  }
  template <class T>
  void write_line(const char* key, const T& value) {
    out_ << key << " = " << value << "\n";
  }

  void write_top(std::uint64_t seed) {
    write_line("name", quoted("b" + std::to_string(balancer_)));
    write_line("listen", quoted(addresses_.listen));
    write_line("discovery", quoted(addresses_.discovery));
    write_line("zone", zone_of(balancer_));
    write_line("zones", quoted(tier_.zones));
    write_line("balancers_in_zone", balancers_in_zone(tier_, balancer_));
    write_line("number", balancer_ / zones());
    write_line("seed", quoted(balancer_seed(seed, 0, balancer_)));
  }

  void write_limits() {
    const auto& limits = experiment_.limits;
    out_ << "[limits]\n";
    write_line("memory_mb", limits.memory_mb);
    write_line("sockets", limits.sockets);
    write_line("fetches", limits.max_attempts);
    write_line("second_copies", limits.second_copies);
    write_line("cancelling", limits.cancelling);
    write_line("probes", limits.probes);
    write_line("retry_after_ms", limits.retry_after_ms);
    write_line("conn_idle_ms", tier_.idle_ms);
    if (!build_.fleet) return;
    for (const auto& limit : fleet_.limits) {
      out_ << "[[limits.fleet]]\n";
      if (!limit.tenant.empty()) write_line("tenant", quoted(limit.tenant));
      if (!limit.request_class.empty()) write_line("prefix", quoted(limit.request_class));
      write_line("rate", limit.rate);
      write_line("burst", limit.burst);
    }
  }

  void write_rules() {
    const auto& server = tier_.server;
    out_ << "[rules]\n";
    write_line("drain_grace_ms", experiment_.drain_grace_ms);
    write_line("cold_share", server.slow_start_speed);
    write_line("warm_after_ms", server.slow_start_ms);
    write_line("overload_factor", server.overload_factor);
    write_line("overload_for_ms", server.overload_ms);
    if (tier_.load_report_columns.empty()) return;
    out_ << "[reports]\n";
    write_line("how", quoted("inline"));
    write_line("columns", quoted(tier_.load_report_columns));
  }

  void write_request_classes() {
    constexpr std::array idempotency_names{"read-like", "tagged", "mutating"};
    constexpr std::array scope_names{"all", "zone", "block"};
    for (const auto& spec : experiment_.request_classes) {
      out_ << "[[path_prefixes]]\n";
      write_line("name", quoted(spec.name));
      write_line("repeat", quoted(idempotency_names[static_cast<std::size_t>(spec.idempotency)]));
      write_line("group", quoted(scope_names[static_cast<std::size_t>(spec.scope)]));
      write_line("key_window_ms", spec.deduplication_window_ms);
      write_line("target_latency_ms", spec.latency_objective_ms);
      write_line("client_timeout_ms", spec.timeout_ms);
      write_line("earnings", spec.priority_weight);
    }
  }

  void write_tenants() {
    for (const auto& tenant : experiment_.tenants) {
      out_ << "[[tenants]]\n";
      write_line("name", quoted(tenant.name));
      write_line("share", normalized_share(experiment_, tenant));
      write_line("quota", tenant.quota);
    }
  }

  void write_fleet() {
    out_ << "[fleet]\n";
    write_line("name", quoted("b" + std::to_string(balancer_)));
    write_line("listen", quoted(addresses_.datagrams));
    write_line("lease_ms", fleet_.lease_ms);
    write_line("every_ms", fleet_.gossip_interval_ms);
    write_line("verdicts", fleet_.verdicts && build_.verdicts);
    write_line("fanout", fleet_.fanout);
  }

  void write_peers(const std::vector<int>& members) {
    auto is_listed = [&](int balancer) {
      return std::find(members.begin(), members.end(), balancer) != members.end();
    };
    // A balancer that is not in `members` joins later, and lists all balancers.
    bool all = members.empty() || !is_listed(balancer_);
    for (int peer = 0; peer < tier_.balancers; ++peer) {
      if (!all && !is_listed(peer)) continue;
      auto index = static_cast<std::size_t>(peer);
      out_ << "[[fleet.peers]]\n";
      write_line("name", quoted("b" + std::to_string(peer)));
      write_line("address", quoted(addresses_.peers[index]));
      write_line("zone", zone_of(peer));
      if (index < fleet_.parts.size()) write_line("part", fleet_.parts[index]);
    }
  }

  const Experiment& experiment_;
  const TierSpec& tier_;
  const FleetSpec& fleet_;
  const BuildSpec& build_;
  int balancer_;
  const BalancerAddresses& addresses_;
  std::ostringstream out_;
};

}  // namespace

std::string balancer_config_toml(const Experiment& experiment, const BuildSpec& build, int balancer,
                                 std::uint64_t seed, const BalancerAddresses& addresses,
                                 const std::vector<int>& members) {
  return ConfigFileWriter(experiment, build, balancer, addresses).write(seed, members);
}

}  // namespace meadowgauge::testbed
