#include "testbed/balancer_processes.hpp"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "testbed/balancer_config.hpp"

namespace meadowgauge::testbed {

namespace {

using Signal = BalancerLifecycle::Signal;

constexpr double ready_timeout_ms = 10000;

void send(const Process& process, Signal signal) {
  constexpr std::array numbers{0, SIGKILL, SIGTERM, SIGSTOP, SIGCONT, SIGHUP};
  if (signal != Signal::none) process.signal(numbers[static_cast<std::size_t>(signal)]);
}

std::string balancer_name(int balancer) { return "b" + std::to_string(balancer); }

}  // namespace

BalancerProcesses::BalancerProcesses(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                                     const AddressPlan& addresses, Placement placement,
                                     const EndpointList& endpoint_list)
    : experiment_(experiment),
      build_(build),
      seed_(seed),
      addresses_(addresses),
      folder_(std::move(placement.folder)) {
  if (build.program.empty()) return;
  for (int tier = 0; tier < static_cast<int>(experiment.tiers.size()); ++tier)
    for (int b = 0; b < experiment.tiers[static_cast<std::size_t>(tier)].balancers; ++b) {
      int cpu = placement.first_cpu < 0 ? -1 : placement.first_cpu + static_cast<int>(balancers_.size());
      balancers_.push_back({tier, b, Process(process_options(tier, b, endpoint_list(tier, b), cpu))});
    }
  actions_ = schedule_actions(experiment, seed);
  std::erase_if(actions_, [](const Action& action) { return !action.targets_balancer(); });
}

std::string BalancerProcesses::write_config_file(int balancer, const std::vector<int>& members) {
  BalancerAddresses balancer_addresses{.listen = addresses_.balancer(0, balancer).text(),
                                       .discovery = addresses_.discovery(0, balancer).text(),
                                       .datagrams = addresses_.datagrams(balancer).text(),
                                       .peers = {}};
  for (int peer = 0; peer < experiment_.tiers.front().balancers; ++peer)
    balancer_addresses.peers.push_back(peer == balancer ? balancer_addresses.datagrams
                                                        : addresses_.peer(balancer, peer).text());
  auto path = folder_ + "/" + balancer_name(balancer) + ".toml";
  std::ofstream(path) << balancer_config_toml(experiment_, build_, balancer, seed_, balancer_addresses,
                                              members);
  return path;
}

Process::Options BalancerProcesses::process_options(int tier, int balancer, const std::string& endpoint_list,
                                                    int cpu) {
  auto path = folder_ + "/t" + std::to_string(tier) + "-" + balancer_name(balancer);
  auto args = build_.args.empty() ? std::vector<std::string>{"serve"} : build_.args;
  if (experiment_.fleet && tier == 0)
    args.insert(args.end(), {"--config", write_config_file(balancer, experiment_.fleet->members)});
  std::ofstream(path + ".json") << balancer_config_json(experiment_, build_, tier, balancer, seed_,
                                                        endpoint_list);
  std::filesystem::remove(path + ".log");
  return {.program = build_.program,
          .args = args,
          .variables = {{"GW_NAME", balancer_name(balancer)},
                        {"GW_LISTEN", addresses_.balancer(tier, balancer).text()},
                        {"GW_DISCOVERY", addresses_.discovery(tier, balancer).text()},
                        {"GW_CONFIG", path + ".json"}},
          .log = path + ".log",
          .cpu = cpu};
}

void BalancerProcesses::start_all() {
  for (auto& balancer : balancers_) balancer.process.start();
  for (auto& balancer : balancers_) {
    auto address = addresses_.balancer(balancer.tier, balancer.balancer);
    if (!wait_until_ready(address, ready_timeout_ms, balancer.process))
      throw std::runtime_error(build_.program + " did not become ready within " +
                               std::to_string(static_cast<int>(ready_timeout_ms)) + " ms; see " +
                               balancer.process.log());
  }
}

void BalancerProcesses::poll(double begin_ms, double now_ms, const AvailabilitySink& on_availability) {
  for (; next_action_ < actions_.size() && begin_ms + actions_[next_action_].at_ms <= now_ms;
       ++next_action_) {
    const auto& action = actions_[next_action_];
    for (auto& balancer : balancers_)
      if (balancer.tier == action.tier && balancer.balancer == action.target_index)
        apply(balancer, action, begin_ms, now_ms, on_availability);
  }
  for (auto& balancer : balancers_) watch(balancer, now_ms, on_availability);
}

void BalancerProcesses::apply(Balancer& balancer, const Action& action, double begin_ms, double now_ms,
                              const AvailabilitySink& on_availability) {
  auto signal = balancer.lifecycle.apply(action, begin_ms, now_ms);
  // The file must be written completely before SIGHUP makes the process read it.
  if (signal == Signal::reload && experiment_.fleet && balancer.tier == 0)
    write_config_file(balancer.balancer, experiment_.faults[static_cast<std::size_t>(action.value)].members);
  record_pause(balancer, signal, now_ms);
  send(balancer.process, signal);
  if (signal == Signal::kill || signal == Signal::terminate)
    on_availability(balancer.tier, balancer.balancer, false);
}

void BalancerProcesses::record_pause(const Balancer& balancer, Signal signal, double now_ms) {
  if (signal == Signal::pause) pauses_.push_back({balancer.tier, balancer.balancer, now_ms});
  if (signal != Signal::resume) return;
  for (auto& pause : pauses_)
    if (pause.tier == balancer.tier && pause.balancer == balancer.balancer && pause.until_ms == never)
      pause.until_ms = now_ms;
}

void BalancerProcesses::watch(Balancer& balancer, double now_ms, const AvailabilitySink& on_availability) {
  send(balancer.process, balancer.lifecycle.overdue_signal(now_ms));
  if (balancer.process.take_exit()) {
    exits_.push_back(
        balancer.lifecycle.exited(balancer.tier, balancer.balancer, balancer.process.status(), now_ms));
    on_availability(balancer.tier, balancer.balancer, false);
  }
  if (balancer.lifecycle.take_restart(now_ms)) {
    balancer.process.start();
    balancer.starting = true;
  }
  if (balancer.starting && is_ready(addresses_.balancer(balancer.tier, balancer.balancer))) {
    balancer.starting = false;
    on_availability(balancer.tier, balancer.balancer, true);
  }
}

void BalancerProcesses::stop_all() {
  for (auto& balancer : balancers_) balancer.process.signal(SIGKILL);
  for (auto& balancer : balancers_) balancer.process.wait();
}

std::vector<BalancerUsage> BalancerProcesses::usage() const {
  std::vector<BalancerUsage> usage;
  for (const auto& balancer : balancers_)
    usage.push_back({balancer.tier, balancer.balancer, balancer.process.cpu_ms(), balancer.process.peak_kb(),
                     balancer.process.log()});
  return usage;
}

}  // namespace meadowgauge::testbed
