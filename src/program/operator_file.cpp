#include "program/operator_file.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace meadowgauge::program {

using settings::Problem;
using settings::Reader;

namespace {

constexpr double max_duration_ms = 3600000;
constexpr std::size_t max_report_columns = 4;
constexpr int default_max_attempts = 3;

// Formats a number for the decision module's settings.
std::string format_number(double value) {
  constexpr int significant_digits = 15;
  std::ostringstream text;
  text.precision(significant_digits);
  text << value;
  return text.str();
}

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) text.append(text.empty() ? "" : ",").append(name);
  return text;
}

void add_once(std::vector<std::string>& names, const std::string& name) {
  if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
}

double read_number(Reader& table, std::string_view key, double fallback, double min_value, double max_value) {
  table.get(key, fallback, min_value, max_value);
  return fallback;
}

double read_duration(Reader& table, std::string_view key, double fallback_ms, double min_ms = 0) {
  return read_number(table, key, fallback_ms, min_ms, max_duration_ms);
}

bool read_bool(Reader& table, std::string_view key, bool fallback) {
  table.get(key, fallback);
  return fallback;
}

// Reads the required `name`, which must not be in `taken` and must be valid in a path and a header.
std::string read_unique_name(Reader& table, std::set<std::string>& taken) {
  std::string name;
  table.require_key("name");
  table.get("name", name);
  if (name.empty()) return name;
  if (name.find_first_of("/?#%;, \\\t\r\n\"") != std::string::npos)
    table.report_problem("name", "contains an invalid character");
  table.require_unique("name", name, taken);
  return name;
}

// Maps a column of a load report to its name in the decision module; other names are unchanged.
std::string report_column(const std::string& name) {
  using Names = std::pair<std::string_view, std::string_view>;
  constexpr std::array module_names{Names{"inflight", "concurrent"}, Names{"queue", "depth"},
                                    Names{"util", "load_share"}, Names{"latency_ms", "mean_ms"}};
  const auto* it = std::find_if(module_names.begin(), module_names.end(),
                                [&](const auto& names) { return names.first == name; });
  return it == module_names.end() ? name : std::string(it->second);
}

// Reads one file. The function of each table writes the decision module's settings directly, so that a key
// of the file and its setting appear on one line.
class OperatorFileReader {
 public:
  explicit OperatorFileReader(std::vector<Problem>& problems) : problems_(problems) {}

  proxy::Setup read(const settings::Node& node, std::uint64_t seed) {
    Reader file(node, "", problems_);
    setup_.seed = seed;
    read_identity(file);
    read_placement(file);
    file.get("seed", setup_.seed);
    read_list_source(file);
    file.table("limits", [this](Reader& table) { read_limits(table); });
    file.table("rules", [this](Reader& table) { read_rules(table); });
    file.table("reports", [this](Reader& table) { read_reports(table); });
    file.require_key("path_prefixes");
    file.each("path_prefixes", [this](Reader& table) { read_request_class(table); });
    file.each("tenants", [this](Reader& table) { read_tenant(table); });
    file.each("servers", [this](Reader& table) { read_server(table); });
    setup_.fleet = fleet_.read(file, tenants_, request_classes_);
    file.end();
    set_zones();
    set_constants();
    if (setup_.name.empty()) setup_.name = "meadowgauge";
    return std::move(setup_);
  }

 private:
  void set(const std::string& name, const std::string& value) {
    setup_.settings.insert_or_assign(name, value);
  }
  void set(const std::string& name, const char* value) { set(name, std::string(value)); }
  void set(const std::string& name, double value) { set(name, format_number(value)); }
  void set(const std::string& name, int value) { set(name, format_number(value)); }
  void set(const std::string& name, std::size_t value) { set(name, std::to_string(value)); }
  void set(const std::string& name, bool value) { set(name, std::string(value ? "true" : "false")); }

  void read_identity(Reader& file) {
    file.require_key("listen");
    file.get("name", setup_.name);
    file.get_parsed("listen", setup_.listen);
    if (!file.has("mgmt")) return;
    setup_.mgmt.emplace();
    file.get_parsed("mgmt", *setup_.mgmt);
  }

  void read_placement(Reader& file) {
    constexpr int max_balancers = 100000;
    constexpr int max_number = 65535;
    file.get("zone", zone_);
    file.get("zones", zones_);
    file.get("balancers_in_zone", balancers_in_zone_, 1, max_balancers);
    int number = 0;
    file.get("number", number, 0, max_number);
    if (number >= balancers_in_zone_) file.report_problem("number", "must be less than balancers_in_zone");
    set("my_number", number);
    set("specifics.warm_keys", read_bool(file, "warm_keys", false));
    set("fees.cross_zone", read_number(file, "crossing_price", 0, 0, 1));
  }

  // The endpoint list must have exactly one source: discovery or [[servers]].
  void read_list_source(Reader& file) {
    const bool from_discovery = file.has("discovery");
    const bool from_file = file.has("servers");
    if (from_discovery) {
      setup_.discovery.emplace();
      file.get_parsed("discovery", *setup_.discovery);
    }
    if (from_discovery && from_file)
      file.report_problem("servers", "and discovery are mutually exclusive: set only one of them");
    if (!from_discovery && !from_file) file.report_problem("discovery", "or [[servers]] must be set");
  }

  void read_limits(Reader& table) {
    read_machine_limits(table);
    set("limits.dial_timeout_ms", read_duration(table, "dial_timeout_ms", 1000, 1));
    set("limits.conn_idle_ms", read_duration(table, "conn_idle_ms", 30000, 1));
    set("limits.settle_ms", read_duration(table, "settle_ms", 20));
    set("limits.most_held", read_number(table, "visits_in_hand", 20000, 1, 1e7));
    int attempts = default_max_attempts;
    table.get("fetches", attempts, 1, max_attempts);
    set("limits.max_backend_fetches", attempts);
    set("limits.second_copies", read_bool(table, "second_copies", false));
    set("limits.probes", read_bool(table, "probes", false));
    set("limits.peer_messages", read_bool(table, "peer_messages", false));
    set("limits.cancelling", read_bool(table, "cancelling", true));
    table.each("fleet", [this](Reader& limit_table) { fleet_.read_limit(limit_table); });
    const double retry_after_ms = read_duration(table, "retry_after_ms", 5000);
    set("limits.retry_after", retry_after_ms > 0);
    set("limits.max_retry_after_ms", retry_after_ms);
  }

  void read_machine_limits(Reader& table) {
    constexpr int max_machine_limit = 1 << 20;
    int memory_mb = static_cast<int>(setup_.memory_mb);
    int descriptors = static_cast<int>(setup_.descriptors);
    table.get("memory_mb", memory_mb, 8, max_machine_limit);
    table.get("sockets", descriptors, 64, max_machine_limit);
    setup_.memory_mb = static_cast<std::size_t>(memory_mb);
    setup_.descriptors = static_cast<std::size_t>(descriptors);
  }

  void read_rules(Reader& table) {
    set("rules.stop_sending_within_ms", read_duration(table, "drain_grace_ms", 400));
    set("rules.cold_share", read_number(table, "cold_share", 0.2, 0.01, 1));
    set("rules.warm_after_ms", read_duration(table, "warm_after_ms", 20000));
    set("rules.overload_factor", read_number(table, "overload_factor", 2, 1, 1000));
    set("rules.overload_for_ms", read_duration(table, "overload_for_ms", 1500));
  }

  void read_reports(Reader& table) {
    constexpr std::array<std::string_view, 3> module_modes{"off", "inline", "on_probe"};
    std::size_t mode = 0;
    table.choose("how", mode, {"off", "inline", "probe"});
    std::vector<std::string> columns;
    table.get("columns", columns);
    for (auto& column : columns) {
      if (column.empty() || column.find(',') != std::string::npos)
        table.report_problem("columns", "contains an invalid column name");
      column = report_column(column);
    }
    if (columns.size() > max_report_columns) table.report_problem("columns", "contains more than four names");
    set("report.how", std::string(module_modes[mode]));
    set("report.columns", join(columns));
  }

  // Reads one table of [[path_prefixes]], which defines a request class by the path.
  void read_request_class(Reader& table) {
    enum class Repeat : std::uint8_t { idempotent, deduplicated, at_most_once };
    constexpr std::array module_repeats{"idempotent", "deduplicated", "at_most_once"};
    constexpr std::array module_groups{"all", "zone", "cell"};
    const auto path = "path_prefixes." + std::to_string(request_classes_.size()) + ".";
    set(path + "name", request_classes_.emplace_back(read_unique_name(table, request_class_names_)));
    auto repeat = Repeat::at_most_once;
    std::size_t group = 0;
    table.require_key("repeat");
    table.choose("repeat", repeat, {"read-like", "tagged", "mutating"});
    set(path + "repeat", module_repeats[static_cast<std::size_t>(repeat)]);
    table.choose("group", group, {"all", "zone", "block"});
    set(path + "group", module_groups[group]);
    set(path + "key_ttl_ms", read_duration(table, "key_window_ms", 0));
    if (repeat == Repeat::deduplicated && !table.has("key_window_ms"))
      table.report_problem("repeat", "is tagged, which requires key_window_ms");
    const double target_ms = read_duration(table, "target_latency_ms", 1000, 1);
    const double timeout_ms = read_duration(table, "client_timeout_ms", 10000, 1);
    if (target_ms > timeout_ms)
      table.report_problem("target_latency_ms", "is greater than client_timeout_ms");
    set(path + "target_latency_ms", target_ms);
    set(path + "client_timeout_ms", timeout_ms);
    set(path + "earnings", read_number(table, "earnings", 1, 0, 1e6));
  }

  void read_tenant(Reader& table) {
    const auto path = "tenants." + std::to_string(tenants_.size()) + ".";
    set(path + "name", tenants_.emplace_back(read_unique_name(table, tenant_names_)));
    set(path + "share", read_number(table, "share", 1, 0, 1));
    set(path + "quota_rps", read_number(table, "quota", 0, 0, 1e7));
  }

  void read_server(Reader& table) {
    constexpr int max_block = 1 << 30;
    protocol::EndpointListEntry entry;
    entry.name = read_unique_name(table, server_names_);
    table.require_key("address");
    table.get("address", entry.dial);
    if (!entry.dial.empty() && !transport::Address::parse(entry.dial))
      table.report_problem("address", "is not a valid address with a port: " + entry.dial);
    table.require_unique("address", entry.dial, server_addresses_);
    entry.zone = zone_;
    table.get("zone", entry.zone);
    table.get("kind", entry.kind);
    entry.block = -1;
    table.get("block", entry.block, 0, max_block);
    entry.weight = read_number(table, "weight", 1, 0.001, 1000);
    if (read_bool(table, "draining", false)) entry.health = protocol::EndpointListEntry::Health::leaving;
    setup_.known.hosts.push_back(std::move(entry));
  }

  // Orders the zones: first `zones` of the file, then this balancer's own zone, then the other zones of
  // servers.
  void set_zones() {
    std::vector<std::string> server_kinds;
    add_once(zones_, zone_);
    for (const auto& entry : setup_.known.hosts) {
      add_once(zones_, entry.zone);
      add_once(server_kinds, entry.kind);
    }
    set("zones", join(zones_));
    set("skus", join(server_kinds));
    set("zone", static_cast<int>(std::find(zones_.begin(), zones_.end(), zone_) - zones_.begin()));
    setup_.known.seq = setup_.discovery ? 0 : 1;
    setup_.known.full = true;
  }

  // Sets the settings that only the platform's file can vary.
  void set_constants() {
    set("path_prefixes.count", request_classes_.size());
    set("tenants.count", tenants_.size());
    set("replicas_of_me", balancers_in_zone_);
    set("discovery", "automatic");
    set("weights", "nominal");
    set("stage", 0);
    set("stages", "front");
  }

  std::vector<Problem>& problems_;
  proxy::Setup setup_;
  std::string zone_ = "here";
  std::vector<std::string> zones_;
  int balancers_in_zone_ = 1;
  // Names in file order; the sets below detect duplicates.
  std::vector<std::string> request_classes_;
  std::vector<std::string> tenants_;
  std::set<std::string> request_class_names_;
  std::set<std::string> tenant_names_;
  std::set<std::string> server_names_;
  std::set<std::string> server_addresses_;
  fleet::FleetConfigReader fleet_;
};

}  // namespace

proxy::Setup read_operator_file(const settings::Node& file, std::uint64_t seed,
                                std::vector<Problem>& problems) {
  return OperatorFileReader(problems).read(file, seed);
}

proxy::Setup read_operator_file(const std::string& path, std::uint64_t seed) {
  std::vector<Problem> problems;
  auto setup = read_operator_file(settings::read_file(path), seed, problems);
  settings::throw_first_problem(path, std::move(problems));
  return setup;
}

}  // namespace meadowgauge::program
