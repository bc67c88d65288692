#include "fleet/config.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "membership/datagram.hpp"

namespace meadowgauge::fleet {

using settings::Reader;

namespace {

constexpr std::size_t max_members = 2048;
constexpr std::string_view other_tenants_name = "(others)";  // all tenants that the file does not name

// Formats with up to ten significant digits. The digest covers this text, so all instances must format a
// value identically.
std::string to_text(double value) {
  std::ostringstream text;
  text.precision(10);
  text << value;
  return text.str();
}

// Returns the position of `name`, or -1 if it is absent.
int index_in(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

int tenant_index(const Limit& limit, const std::vector<std::string>& tenants) {
  if (limit.tenant_name.empty()) return match_any;
  if (limit.tenant_name == other_tenants_name) return match_others;
  int index = index_in(tenants, limit.tenant_name);
  return index >= 0 ? index : match_none;
}

int request_class_index(const Limit& limit, const std::vector<std::string>& request_classes) {
  if (limit.request_class_name.empty()) return match_any;
  int index = index_in(request_classes, limit.request_class_name);
  return index >= 0 ? index : match_none;
}

// Reads [[fleet.peers]] and checks that the names and addresses are unique.
class MemberReader {
 public:
  void read(Reader& table) {
    FleetMember member;
    table.require_key("name");
    table.get("name", member.name);
    if (member.name.size() > membership::max_name_bytes)
      table.report_problem("name", "is longer than " + std::to_string(membership::max_name_bytes));
    table.require_unique("name", member.name, names_);
    table.require_key("address");
    table.get_parsed("address", member.address);
    table.require_unique("address", member.address.text(), addresses_);
    table.get("zone", member.zone);
    table.get("region", member.region);
    table.get("part", member.weight, 0.001, 1e6);
    members_.push_back(std::move(member));
  }
  [[nodiscard]] bool has(const std::string& name) const { return names_.contains(name); }
  [[nodiscard]] std::vector<FleetMember> members() const { return members_; }

 private:
  std::vector<FleetMember> members_;
  std::set<std::string> names_;
  std::set<std::string> addresses_;
};

// Reads the keys of [fleet], which docs/operate/fleet.md describes.
void read_fleet(Reader& table, FleetConfig& config) {
  table.require_key("name");
  table.get("name", config.name);
  table.require_key("listen");
  table.get_parsed("listen", config.listen);
  table.get("lease_ms", config.terms.lease_ms, 100, 60000);
  table.get("every_ms", config.timing.interval_ms, 20, 10000);
  table.get("fanout", config.timing.fanout, 1, 64);
  table.get("verdicts", config.verdicts);
  table.get("letters_per_s", config.lease_datagrams_per_s, 1, 100000);
  table.get("suspected_ms", config.timing.suspected_after_ms, 100, 600000);
  table.get("gone_ms", config.timing.gone_after_ms, 100, 3600000);
  if (config.timing.gone_after_ms < config.timing.suspected_after_ms)
    table.report_problem("gone_ms", "is below suspected_ms");
  MemberReader members;
  table.require_key("peers");
  table.each("peers", [&](Reader& peer) { members.read(peer); });
  config.members = members.members();
  if (!config.name.empty() && !members.has(config.name))
    table.report_problem("name", "is not among the peers: " + config.name);
  if (config.members.size() > max_members)
    table.report_problem("peers", "exceed the maximum of " + std::to_string(max_members));
}

// Sets this instance's share of each limit: its weight divided by the sum of all weights.
void set_own_share(FleetConfig& config) {
  double total = 0;
  for (const auto& member : config.members) total += member.weight;
  for (const auto& member : config.members)
    if (member.name == config.name) config.terms.share = member.weight / total;
  config.terms.instances = std::max(1, static_cast<int>(config.members.size()));
}

void check_limits(Reader& root, const LimitTerms& terms) {
  std::set<std::string> names;
  for (const auto& limit : terms.limits) {
    if (!names.insert(limit.name).second) root.report_problem("limits", "contain a duplicate: " + limit.name);
    // A request takes a whole token at the instance where it arrives, so its bucket must hold at least
    // one token without leases.
    if (fixed_burst_share * limit.burst / terms.instances < 1)
      root.report_problem("limits", "leave less than one request at each instance: burst of " + limit.name +
                                        " is below " +
                                        to_text(std::ceil(terms.instances / fixed_burst_share)));
  }
  if (terms.limits.size() > membership::max_limits)
    root.report_problem("limits",
                        "of the fleet exceed the maximum of " + std::to_string(membership::max_limits));
}

}  // namespace

std::uint64_t FleetConfig::digest() const {
  std::string text = to_text(terms.lease_ms);
  // Sorted by name, since files may list the same peers in different orders.
  std::vector<std::string> lines;
  for (const auto& member : members) lines.push_back(member.name + "=" + to_text(member.weight));
  std::sort(lines.begin(), lines.end());
  for (const auto& line : lines) text += "\n" + line;
  for (const auto& limit : terms.limits)
    text += "\n" + limit.name + " " + to_text(limit.rate) + " " + to_text(limit.burst);
  return membership::digest(text);
}

std::vector<std::string> FleetConfig::describe_bounds() const {
  std::vector<std::string> lines;
  double quarantine_ms = std::ceil(terms.lease_ms * (1 + lease_drift_ratio));
  for (const auto& limit : terms.limits) {
    std::ostringstream line;
    line << "limit " << limit.name << ": over any W ms the fleet admits at most "
         << to_text(limit.rate / 1000) << " * W + " << to_text(limit.burst)
         << "; alone, this instance goes on with " << to_text(limit.rate * terms.share) << " a second, "
         << to_text(quarantine_ms) << " ms after a cut or a start at the latest; at rest it holds "
         << to_text(fixed_burst_share * limit.burst / terms.instances) << " of the burst";
    lines.push_back(line.str());
  }
  return lines;
}

std::vector<std::string> FleetConfig::resolve_names(
    const std::vector<std::string>& tenants_at_start,
    const std::vector<std::string>& request_classes_at_start) {
  std::vector<std::string> unresolved;
  tenants = tenants_at_start;
  request_classes = request_classes_at_start;
  for (auto& limit : terms.limits) {
    limit.tenant = tenant_index(limit, tenants);
    limit.request_class = request_class_index(limit, request_classes);
    if (limit.tenant != match_none && limit.request_class != match_none) continue;
    limit.tenant = match_none;
    unresolved.push_back(limit.name);
  }
  return unresolved;
}

void FleetConfigReader::read_limit(Reader& table) {
  Limit limit;
  table.get("tenant", limit.tenant_name);
  table.get("prefix", limit.request_class_name);
  if (limit.tenant_name.empty() && limit.request_class_name.empty())
    table.report_problem("tenant", "or prefix is required");
  limit.name = limit.tenant_name.empty() ? "*" : limit.tenant_name;
  limit.name += "/" + (limit.request_class_name.empty() ? "*" : limit.request_class_name);
  table.require_key("rate");
  table.get("rate", limit.rate, 0.001, 1e7);
  table.require_key("burst");
  table.get("burst", limit.burst, 0, 1e7);
  int kind = 0;
  table.choose("kind", kind, {"hard"});
  limits_.push_back(std::move(limit));
}

std::optional<FleetConfig> FleetConfigReader::read(Reader& root, const std::vector<std::string>& tenants,
                                                   const std::vector<std::string>& request_classes) {
  if (!root.has("fleet")) {
    if (!limits_.empty())
      root.report_problem("limits", "contain fleet limits, but the file has no [fleet] table");
    return {};
  }
  FleetConfig config;
  root.table("fleet", [&](Reader& table) { read_fleet(table, config); });
  set_own_share(config);
  config.terms.limits = limits_;
  for (const auto& name : config.resolve_names(tenants, request_classes))
    root.report_problem("limits", "name a tenant or a path prefix that is not there: " + name);
  check_limits(root, config.terms);
  return config;
}

}  // namespace meadowgauge::fleet
