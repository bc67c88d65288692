// Reads an experiment file: each table into its struct, then the checks between tables. The keys are an
// interface for users and do not change; the structs use the usual terms of load balancing.
#include <set>
#include <sstream>

#include "protocol/text.hpp"
#include "testbed/experiment.hpp"
#include "testbed/experiment_validation.hpp"

namespace meadowgauge::testbed {

using settings::Problem;
using settings::Reader;

namespace {

constexpr double max_run_s = 3600;
constexpr double max_ms = max_run_s * 1000;
constexpr int max_server_number = 100000;
// In the order of FaultSpec::Kind.
const std::initializer_list<std::string_view> fault_names = {"kill",
                                                             "roll",
                                                             "drain",
                                                             "slow",
                                                             "fail",
                                                             "silent",
                                                             "stall",
                                                             "discovery",
                                                             "mark",
                                                             "kill_balancer",
                                                             "restart_balancer",
                                                             "freeze_balancer",
                                                             "reload_balancer"};

// Reads a key in seconds as milliseconds.
void read_seconds(Reader& r, std::string_view key, double& ms) {
  double seconds = ms / 1000;
  r.get(key, seconds, 0, max_run_s);
  ms = seconds * 1000;
}

// Reads a list of numbers and ranges, "N" or "N-M", as the numbers that it names.
std::vector<int> read_numbers(Reader& r, std::string_view key) {
  std::vector<std::string> texts;
  std::vector<int> numbers;
  r.get(key, texts);
  for (const auto& text : texts) {
    std::istringstream in(text);
    int from = -1;
    int to = -1;
    char dash = 0;
    in >> from;
    to = from;
    if (in >> dash) in >> to;
    if (from < 0 || to < from || to > max_server_number) {
      r.report_problem(key, "must hold items N or N-M, not: " + text);
      continue;
    }
    for (int i = from; i <= to; ++i) numbers.push_back(i);
  }
  return numbers;
}

// Reads the share of traffic of each zone.
std::vector<double> read_zone_shares(Reader& r) {
  std::vector<std::string> texts;
  std::vector<double> shares;
  r.get("zone_shares", texts);
  for (const auto& text : texts) {
    std::istringstream in(text);
    double share = -1;
    if (!(in >> share) || share < 0)
      r.report_problem("zone_shares", "must hold shares of at least 0, not: " + text);
    shares.push_back(share);
  }
  return shares;
}

// Reads the required key `name`.
std::string read_name(Reader& r) {
  std::string name;
  r.require_key("name");
  r.get("name", name);
  return name;
}

void read_server_model(Reader& r, ServerModelSpec& server) {
  r.get("cores", server.cores, 1, 1024);
  r.get("speed", server.speed, 0.001, 1000);
  r.get("queue", server.queue, 0, 100000);
  r.get("cold_share", server.slow_start_speed, 0.01, 1);
  r.get("warm_ms", server.slow_start_ms, 0, max_ms);
  r.get("overload_factor", server.overload_factor, 0, 1000);
  r.get("overload_for_ms", server.overload_ms, 1, max_ms);
  r.get("choke_from", server.slowdown_threshold, 0, 1e6);
  r.get("choke_slope", server.slowdown_slope, 0, 1000);
  r.get("dial_work_ms", server.connection_setup_ms, 0, max_ms);
}

TierSpec read_tier(Reader& r) {
  TierSpec tier;
  r.get("name", tier.name);
  r.get("servers", tier.servers, 1, 5000);
  r.get("balancers", tier.balancers, 1, 32);
  r.get("zones", tier.zones);
  if (tier.zones.empty()) r.report_problem("zones", "must not be empty");
  read_server_model(r, tier.server);
  r.get("block", tier.block, 0, 5000);
  r.get("idle_ms", tier.idle_ms, 1, max_ms);
  r.get("news_ms", tier.notification_delay_ms, 0, max_ms);
  r.get("report", tier.load_report_columns);
  r.get("relays", tier.relays);
  r.each("kinds", [&](Reader& k) {
    ServerKindSpec kind{.name = read_name(k)};
    k.get("share", kind.share, 0, 1e6);
    k.get("speed", kind.speed, 0.001, 1000);
    tier.kinds.push_back(kind);
  });
  return tier;
}

RequestClassSpec read_request_class(Reader& r) {
  RequestClassSpec spec;
  spec.name = read_name(r);
  r.get("share", spec.share, 0, 1e6);
  r.require_key("repeat");
  r.choose("repeat", spec.idempotency, {"read-like", "tagged", "mutating"});
  r.choose("group", spec.scope, {"all", "zone", "block"});
  r.get("key_window_ms", spec.deduplication_window_ms, 0, max_ms);
  if (spec.idempotency == Idempotency::deduplicated && spec.deduplication_window_ms <= 0)
    r.report_problem("repeat", "is tagged, which needs key_window_ms");
  r.get("work_ms", spec.work_ms, 0, max_ms);
  r.get("spread", spec.spread, 0, 10);
  r.get("target_latency_ms", spec.latency_objective_ms, 1, max_ms);
  r.get("client_timeout_ms", spec.timeout_ms, 1, max_ms);
  r.get("earnings", spec.priority_weight, 0, 1e6);
  r.get("body", spec.request_body_bytes, 0, 60000);
  r.get("answer", spec.response_body_bytes, 0, 60000);
  r.get("calls", spec.downstream_calls, 0, 100);
  r.get("calls_to", spec.downstream_class);
  if (spec.downstream_calls > 0 && spec.downstream_class.empty())
    r.report_problem("calls", "needs calls_to, a path prefix");
  return spec;
}

TenantSpec read_tenant(Reader& r) {
  TenantSpec tenant{.name = read_name(r)};
  r.get("share", tenant.share, 0, 1e6);
  r.get("quota", tenant.quota, 0, 1e7);
  return tenant;
}

PhaseSpec read_phase(Reader& r) {
  PhaseSpec phase;
  r.require_key("at");
  read_seconds(r, "at", phase.at_ms);
  double duration_ms = 1000;
  read_seconds(r, "for", duration_ms);
  phase.until_ms = phase.at_ms + duration_ms;
  r.get("times", phase.from, 0, 1000);
  phase.to = phase.from;
  r.get("to_times", phase.to, 0, 1000);
  r.get("tenant", phase.tenant);
  if (duration_ms <= 0) r.report_problem("for", "must be above 0");
  return phase;
}

ZoneChangeSpec read_zone_change(Reader& r) {
  ZoneChangeSpec change;
  r.require_key("at");
  read_seconds(r, "at", change.at_ms);
  change.zones = read_zone_shares(r);
  if (change.zones.empty()) r.report_problem("zone_shares", "must not be empty");
  return change;
}

void read_traffic(Reader& r, TrafficSpec& traffic) {
  r.get("rate", traffic.rate, 0.01, 1e6);
  r.get("poisson", traffic.poisson);
  r.each("phases", [&](Reader& p) { traffic.phases.push_back(read_phase(p)); });
}

void read_clients(Reader& r, Experiment& experiment) {
  r.get("retries", experiment.retries.max_retries, 0, 100);
  r.get("backoff_ms", experiment.retries.backoff_ms, 0, max_ms);
  r.get("heed_advice", experiment.retries.honor_retry_after);
  r.get("after_errors", experiment.retries.retry_failures);
  r.get("marked", experiment.retries.mark_retries);
  r.get("connections", experiment.connections, 0, 100000);
  r.get("fresh_connections", experiment.connection_per_request);
  r.get("most_connections", experiment.max_connections, 1, 100000);
  r.get("workers", experiment.workers, 1, 64);
  experiment.traffic.zones = read_zone_shares(r);
  r.each("moves", [&](Reader& m) { experiment.traffic.zone_changes.push_back(read_zone_change(m)); });
}

void read_limits(Reader& r, BalancerLimitsSpec& limits) {
  r.get("fetches", limits.max_attempts, 1, 8);
  r.get("memory_mb", limits.memory_mb, 8, 1 << 20);
  r.get("sockets", limits.sockets, 64, 1 << 20);
  r.get("second_copies", limits.second_copies);
  r.get("cancelling", limits.cancelling);
  r.get("probes", limits.probes);
  r.get("retry_after_ms", limits.retry_after_ms, 0, max_ms);
}

BuildSpec read_build(Reader& r) {
  BuildSpec build;
  build.name = read_name(r);
  bool direct = false;
  r.get("direct", direct);
  r.get("fleet", build.fleet);
  r.get("verdicts", build.verdicts);
  r.get("program", build.program);
  r.get("args", build.args);
  std::vector<std::string> settings;
  r.get("set", settings);
  for (const auto& setting : settings) {
    if (const auto named = protocol::named_value(setting))
      build.settings.emplace_back(named->name, named->value);
    else
      r.report_problem("set", "must hold items name=value, not: " + setting);
  }
  if (direct == !build.program.empty())
    r.report_problem("program", "must be set, or direct = true, but not both");
  return build;
}

FleetLimit read_fleet_limit(Reader& r) {
  FleetLimit limit;
  r.get("tenant", limit.tenant);
  r.get("prefix", limit.request_class);
  r.require_key("rate");
  r.get("rate", limit.rate, 0.001, 1e7);
  r.require_key("burst");
  r.get("burst", limit.burst, 1, 1e7);
  return limit;
}

void read_fleet(Reader& r, FleetSpec& fleet) {
  r.get("lease_ms", fleet.lease_ms, 100, 60000);
  r.get("every_ms", fleet.gossip_interval_ms, 20, 10000);
  r.get("fanout", fleet.fanout, 1, 64);
  r.get("verdicts", fleet.verdicts);
  fleet.members = read_numbers(r, "members");
  std::vector<std::string> parts;
  r.get("parts", parts);
  for (const auto& part : parts) fleet.parts.push_back(std::strtod(part.c_str(), nullptr));
  r.each("limits", [&](Reader& l) { fleet.limits.push_back(read_fleet_limit(l)); });
}

DatagramFault read_datagram_fault(Reader& r, double run_ms) {
  DatagramFault fault;
  r.require_key("what");
  r.choose("what", fault.kind, {"cut", "lose", "delay", "twice", "reorder", "garble"});
  fault.from = read_numbers(r, "from");
  fault.to = read_numbers(r, "to");
  r.get("both", fault.both);
  read_seconds(r, "at", fault.at_ms);
  fault.for_ms = run_ms;
  read_seconds(r, "for", fault.for_ms);
  r.get("share", fault.share, 0, 1);
  r.get("ms", fault.ms, 0, max_ms);
  return fault;
}

FaultSpec read_fault(Reader& r, double run_ms) {
  FaultSpec fault;
  r.require_key("what");
  r.choose("what", fault.kind, fault_names);
  r.require_key("at");
  read_seconds(r, "at", fault.at_ms);
  read_seconds(r, "for", fault.for_ms);
  r.get("tier", fault.tier, 0, 15);
  fault.targets = read_numbers(r, "which");
  fault.members = read_numbers(r, "members");
  r.get("some", fault.drawn_share, 0, 1);
  r.get("times", fault.times, 0.001, 1e6);
  r.get("share", fault.share, 0, 1);
  r.get("at_once", fault.at_once, 1, 5000);
  r.get("drain_ms", fault.drain_ms, 0, max_ms);
  r.get("down_ms", fault.down_ms, 0, max_ms);
  if (fault.at_ms >= run_ms) r.report_problem("at", "is after the end of the run");
  return fault;
}

std::vector<FaultInjection> read_injections(Reader& r) {
  std::vector<std::string> texts;
  std::vector<FaultInjection> injections;
  r.get("strikes", texts);
  for (const auto& text : texts) {
    auto parsed = FaultInjection::parse(text);
    if (const auto* error = std::get_if<FaultInjectionError>(&parsed))
      r.report_problem("strikes", "holds an invalid fault '" + text + "': " + error->text());
    else
      injections.push_back(std::get<FaultInjection>(std::move(parsed)));
  }
  return injections;
}

void read_seeds(Reader& r, Experiment& experiment) {
  int count = 1;
  r.get("seeds", count, 1, 1000);
  std::uint64_t first = 1;
  r.get("first_seed", first);
  experiment.seeds.clear();
  for (int i = 0; i < count; ++i) experiment.seeds.push_back(first + static_cast<std::uint64_t>(i));
}

void read_builds(Reader& r, Experiment& experiment) {
  std::set<std::string> names;
  r.each("builds", [&](Reader& b) {
    auto build = read_build(b);
    if (!names.insert(build.name).second) b.report_problem("name", "is used twice: " + build.name);
    experiment.builds.push_back(std::move(build));
  });
  if (experiment.builds.empty())
    experiment.builds.push_back(
        {.name = "module", .program = "build/meadowgauge", .args = {}, .settings = {}});
}

void read_experiment(Reader& r, Experiment& experiment) {
  r.get("name", experiment.name);
  r.get("about", experiment.about);
  r.get("seconds", experiment.seconds, 0.1, max_run_s);
  read_seeds(r, experiment);
  r.get("repetitions", experiment.repetitions, 1, 1000);
  r.get("recovered_share", experiment.recovered_share, 0, 1);
  r.get("recovered_tail", experiment.recovered_tail, 0, 100);
  r.get("drain_grace_ms", experiment.drain_grace_ms, 0, max_ms);
  r.get("front_notices_ms", experiment.front_detection_delay_ms, 0, max_ms);
  r.require_key("tiers");
  r.each("tiers", [&](Reader& t) { experiment.tiers.push_back(read_tier(t)); });
  r.require_key("path_prefixes");
  r.each("path_prefixes", [&](Reader& p) { experiment.request_classes.push_back(read_request_class(p)); });
  r.each("tenants", [&](Reader& t) { experiment.tenants.push_back(read_tenant(t)); });
  if (experiment.tenants.empty()) experiment.tenants.push_back({"acme", 1, 0});
  r.table("traffic", [&](Reader& t) { read_traffic(t, experiment.traffic); });
  r.table("clients", [&](Reader& c) { read_clients(c, experiment); });
  r.table("limits", [&](Reader& l) { read_limits(l, experiment.limits); });
  read_builds(r, experiment);
  r.each("faults", [&](Reader& f) { experiment.faults.push_back(read_fault(f, experiment.ms())); });
  if (r.has("fleet")) r.table("fleet", [&](Reader& f) { read_fleet(f, experiment.fleet.emplace()); });
  r.each("letters",
         [&](Reader& l) { experiment.datagram_faults.push_back(read_datagram_fault(l, experiment.ms())); });
  if (!experiment.datagram_faults.empty() && !experiment.fleet) r.report_problem("letters", "need a [fleet]");
  experiment.injections = read_injections(r);
  validate(r, experiment);
  r.end();
}

// Returns the name of a file without its folders and its extension.
std::string base_name(const std::string& path) {
  auto slash = path.rfind('/');
  auto name = path.substr(slash == std::string::npos ? 0 : slash + 1);
  return name.substr(0, name.rfind(".toml"));
}

}  // namespace

std::string FaultSpec::text() const {
  std::string text(fault_names.begin()[static_cast<int>(kind)]);
  return tier > 0 ? text + " in tier " + std::to_string(tier) : text;
}

Experiment Experiment::read(const settings::Node& file, const std::string& name,
                            std::vector<Problem>& problems) {
  Experiment experiment;
  experiment.file = name;
  experiment.name = base_name(name);
  Reader reader(file, "", problems);
  read_experiment(reader, experiment);
  return experiment;
}

Experiment Experiment::read(const std::string& path) {
  std::vector<Problem> problems;
  auto experiment = read(settings::read_file(path), path, problems);
  settings::throw_first_problem(path, std::move(problems));
  return experiment;
}

}  // namespace meadowgauge::testbed
