#include "testbed/fault_relay.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string_view>

#include "testbed/stand_ins/command_server.hpp"
#include "testbed/stand_ins/relay.hpp"

namespace meadowgauge::testbed {

namespace {

transport::Address read_address(const std::string& option, const std::string& text) {
  auto address = transport::Address::parse(text);
  if (!address) throw std::runtime_error(option + " is not an address with a port: " + text);
  return *address;
}

std::optional<transport::Address> read_control_address(const std::string& text) {
  if (text.empty()) return {};
  auto address = read_address("--control", text);
  if (!address.text().starts_with("127.") && !address.text().starts_with("[::1]"))
    throw std::runtime_error("--control is not a loopback address: " + text);
  return address;
}

std::vector<FaultInjection> read_injections(const std::vector<std::string>& texts) {
  std::vector<FaultInjection> injections;
  for (const auto& text : texts) {
    auto parsed = FaultInjection::parse(text);
    if (const auto* error = std::get_if<FaultInjectionError>(&parsed))
      throw std::runtime_error("fault '" + text + "': " + error->text());
    injections.push_back(std::get<FaultInjection>(std::move(parsed)));
  }
  if (injections.size() > InjectionPlan::max_entries)
    throw std::runtime_error("more than the maximum of " + std::to_string(InjectionPlan::max_entries) +
                             " faults");
  return injections;
}

// Returns a line that describes an injected fault.
std::string describe(const InjectionPlan& plan, const InjectedFault& fault) {
  const auto* injection = plan.find(fault.entry);
  return "connection " + std::to_string(fault.connection) + ", way " +
         (fault.direction == Direction::to_server ? "server" : "client") + ", after byte " +
         std::to_string(fault.byte) + " and message " + std::to_string(fault.message) + ": " +
         (injection ? injection->text() : "cleared since");
}

// Handles the commands of the command socket.
class CommandHandler {
 public:
  CommandHandler(TestbedContext& context, InjectionPlan& plan, const Relay& relay, double begin_ms)
      : context_(context), plan_(plan), relay_(relay), begin_ms_(begin_ms) {}

  std::string operator()(const std::string& line) {
    // `strike` is the name of `inject` in the previous release; it is accepted until the next release.
    constexpr auto inject_prefixes = std::to_array<std::string_view>({"inject ", "strike "});
    if (line == "clear") {
      plan_.clear();
      return "ok\n";
    }
    if (line == "status") return status();
    for (auto command : inject_prefixes)
      if (line.starts_with(command)) return add(std::string_view(line).substr(command.size()));
    return "no: unknown command, use inject, clear or status\n";
  }

 private:
  [[nodiscard]] std::string status() const {
    std::string text = "connections " + std::to_string(relay_.connections()) + ", bytes to server " +
                       std::to_string(relay_.bytes_passed(Direction::to_server)) + ", to client " +
                       std::to_string(relay_.bytes_passed(Direction::to_client)) + "\n";
    for (const auto& fault : relay_.injected()) text += describe(plan_, fault) + "\n";
    return text + "ok\n";
  }

  // Adds a fault to the plan. A command's times count from now and the plan's from the relay's start, so the
  // times are shifted.
  std::string add(std::string_view text) {
    auto parsed = FaultInjection::parse(text);
    if (const auto* error = std::get_if<FaultInjectionError>(&parsed)) return "no: " + error->text() + "\n";
    auto& injection = std::get<FaultInjection>(parsed);
    double since_begin_ms = context_.now_ms - begin_ms_;
    injection.from_ms += since_begin_ms;
    if (injection.until_ms > 0) injection.until_ms += since_begin_ms;
    if (injection.position == FaultInjection::Position::time)
      injection.n += static_cast<std::uint64_t>(since_begin_ms);
    if (plan_.add(std::move(injection))) return "ok\n";
    return "no: the plan holds " + std::to_string(InjectionPlan::max_entries) +
           " faults already, clear them first\n";
  }

  TestbedContext& context_;
  InjectionPlan& plan_;
  const Relay& relay_;
  double begin_ms_;
};

// Writes the injected faults that are not written yet, except those whose records the relay has dropped.
void write_new_faults(const Relay& relay, const InjectionPlan& plan, std::uint64_t& written_count,
                      std::ostream& out) {
  const auto& injected = relay.injected();
  auto new_count = std::min<std::uint64_t>(relay.injection_count() - written_count, injected.size());
  for (auto i = injected.size() - new_count; i < injected.size(); ++i)
    out << describe(plan, injected[i]) << std::endl;
  written_count = relay.injection_count();
}

}  // namespace

int run_fault_relay(const FaultRelayOptions& options, std::ostream& out, const std::atomic<bool>& stop) {
  auto listen = read_address("--listen", options.listen);
  auto to = read_address("--to", options.to);
  auto control_at = read_control_address(options.control);
  InjectionPlan plan(read_injections(options.injections), options.seed);
  transport::Clock clock;
  TestbedContext context(clock);
  Relay relay(context, listen, to, plan, context.now_ms);
  std::unique_ptr<CommandServer> control;
  if (control_at)
    control = std::make_unique<CommandServer>(context, *control_at,
                                              CommandHandler(context, plan, relay, context.now_ms));
  out << "relays " << relay.address().text() << " to " << to.text();
  if (control) out << ", commands at " << control->address().text();
  out << std::endl;
  std::uint64_t written_count = 0;
  context.run([&] {
    write_new_faults(relay, plan, written_count, out);
    return stop.load();
  });
  return 0;
}

}  // namespace meadowgauge::testbed
