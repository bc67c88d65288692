#include <algorithm>
#include <array>
#include <sstream>

#include "testbed/balancer_config.hpp"

namespace meadowgauge::testbed {

namespace {

std::string quoted(const std::string& text) { return "\"" + text + "\""; }
std::string quoted(const std::vector<std::string>& texts) {
  std::string list;
  for (const auto& text : texts) list += (list.empty() ? "" : ", ") + quoted(text);
  return "[" + list + "]";
}

// Writes the file table by table, in the order of the operators' documentation.
class Writer {
 public:
  Writer(const Experiment& experiment, const BuildSpec& build, int balancer,
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
  void line(const char* key, const T& value) {
    out_ << key << " = " << value << "\n";
  }

  void write_top(std::uint64_t seed) {
    line("name", quoted("b" + std::to_string(balancer_)));
    line("listen", quoted(addresses_.listen));
    line("discovery", quoted(addresses_.discovery));
    line("zone", zone_of(balancer_));
    line("zones", quoted(tier_.zones));
    line("balancers_in_zone", balancers_in_zone(tier_, balancer_));
    line("number", balancer_ / zones());
    line("seed", quoted(balancer_seed(seed, 0, balancer_)));
  }

  void write_limits() {
    const auto& limits = experiment_.limits;
    out_ << "[limits]\n";
    line("memory_mb", limits.memory_mb);
    line("sockets", limits.sockets);
    line("fetches", limits.max_attempts);
    line("second_copies", limits.second_copies);
    line("cancelling", limits.cancelling);
    line("probes", limits.probes);
    line("retry_after_ms", limits.retry_after_ms);
    line("conn_idle_ms", tier_.idle_ms);
    if (!build_.fleet) return;
    for (const auto& limit : fleet_.limits) {
      out_ << "[[limits.fleet]]\n";
      if (!limit.tenant.empty()) line("tenant", quoted(limit.tenant));
      if (!limit.request_class.empty()) line("prefix", quoted(limit.request_class));
      line("rate", limit.rate);
      line("burst", limit.burst);
    }
  }

  void write_rules() {
    const auto& server = tier_.server;
    out_ << "[rules]\n";
    line("drain_grace_ms", experiment_.drain_grace_ms);
    line("cold_share", server.slow_start_speed);
    line("warm_after_ms", server.slow_start_ms);
    line("overload_factor", server.overload_factor);
    line("overload_for_ms", server.overload_ms);
    if (tier_.load_report_columns.empty()) return;
    out_ << "[reports]\n";
    line("how", quoted("inline"));
    line("columns", quoted(tier_.load_report_columns));
  }

  void write_request_classes() {
    constexpr std::array idempotency_words{"read-like", "tagged", "mutating"};
    constexpr std::array scope_words{"all", "zone", "block"};
    for (const auto& spec : experiment_.request_classes) {
      out_ << "[[path_prefixes]]\n";
      line("name", quoted(spec.name));
      line("repeat", quoted(idempotency_words[static_cast<std::size_t>(spec.idempotency)]));
      line("group", quoted(scope_words[static_cast<std::size_t>(spec.scope)]));
      line("key_window_ms", spec.deduplication_window_ms);
      line("target_latency_ms", spec.latency_objective_ms);
      line("client_timeout_ms", spec.timeout_ms);
      line("earnings", spec.priority_weight);
    }
  }

  void write_tenants() {
    for (const auto& tenant : experiment_.tenants) {
      out_ << "[[tenants]]\n";
      line("name", quoted(tenant.name));
      line("share", normalized_share(experiment_, tenant));
      line("quota", tenant.quota);
    }
  }

  void write_fleet() {
    out_ << "[fleet]\n";
    line("name", quoted("b" + std::to_string(balancer_)));
    line("listen", quoted(addresses_.datagrams));
    line("lease_ms", fleet_.lease_ms);
    line("every_ms", fleet_.gossip_interval_ms);
    line("verdicts", fleet_.verdicts && build_.verdicts);
    line("fanout", fleet_.fanout);
  }

  void write_peers(const std::vector<int>& members) {
    auto listed = [&](int balancer) {
      return std::find(members.begin(), members.end(), balancer) != members.end();
    };
    // A balancer outside `members` joins later and lists all balancers.
    bool all = members.empty() || !listed(balancer_);
    for (int peer = 0; peer < tier_.balancers; ++peer) {
      if (!all && !listed(peer)) continue;
      auto index = static_cast<std::size_t>(peer);
      out_ << "[[fleet.peers]]\n";
      line("name", quoted("b" + std::to_string(peer)));
      line("address", quoted(addresses_.peers[index]));
      line("zone", zone_of(peer));
      if (index < fleet_.parts.size()) line("part", fleet_.parts[index]);
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
  return Writer(experiment, build, balancer, addresses).write(seed, members);
}

}  // namespace meadowgauge::testbed
