#include "testbed/runner.hpp"

#include <sched.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <memory>
#include <thread>
#include <tuple>

#include "testbed/load_generator.hpp"
#include "testbed/server_fleet.hpp"
#include "transport/clock.hpp"
#include "transport/listener.hpp"

namespace meadowgauge::testbed {

namespace {

// From readiness to the first request; the balancers' discovery watches connect meanwhile.
constexpr double start_delay_ms = 150;
constexpr double progress_interval_ms = 250;
constexpr auto poll_interval = std::chrono::milliseconds(2);

// Returns a port that is free at present. All listeners of a run use this port on different loopback
// addresses.
int free_port() {
  struct Ignore final : transport::EventHandler {
    void ready(std::uint32_t) override {}
  } ignore;
  transport::Loop loop;
  transport::Listener listener(loop, *transport::Address::parse("127.0.0.1:0"), ignore);
  auto text = listener.address().text();
  return std::stoi(text.substr(text.rfind(':') + 1));
}

void pin_thread(int cpu) {
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(static_cast<std::size_t>(cpu), &set);
  sched_setaffinity(0, sizeof set, &set);
}

// Returns the processor time of the calling thread.
double thread_cpu_ms() {
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  auto ms = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
  };
  return ms(usage.ru_utime) + ms(usage.ru_stime);
}

// One run. Starts the balancers while this process has a single thread, because it forks; then starts the
// threads and polls the balancers until the load generator has finished.
class Runner {
 public:
  Runner(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed, const RunOptions& options)
      : experiment_(experiment),
        build_(build),
        seed_(seed),
        options_(options),
        servers_context_(clock_),
        servers_(servers_context_, experiment, seed, addresses_),
        balancers_(experiment, build, seed, addresses_,
                   {.folder = options.folder, .first_cpu = options.pin ? 1 + experiment.workers : -1},
                   [this](int tier, int balancer) { return servers_.endpoint_list(tier, balancer); }) {}
  // Makes the threads end if run() has thrown.
  ~Runner() { servers_stop_ = load_stop_ = true; }
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  RunResult run() {
    balancers_.start_all();
    result_.experiment = experiment_.name;
    result_.build = build_.name;
    result_.seed = seed_;
    result_.duration_ms = experiment_.ms();
    result_.contract = experiment_.contract(build_.fleet);
    result_.begin_ms = clock_.now() + start_delay_ms;
    create_workers();
    start_threads();
    watch_until_finished();
    balancers_.stop_all();
    servers_stop_ = true;
    threads_.clear();
    collect();
    return std::move(result_);
  }

 private:
  struct Worker {
    explicit Worker(const transport::Clock& clock) : context(clock) {}
    TestbedContext context;
    std::unique_ptr<LoadGenerator> load;
    std::atomic<bool> finished{false};
    double cpu_ms = 0;
  };

  // Returns the targets of clients: the balancers of the first tier, or the servers themselves.
  [[nodiscard]] std::vector<HttpClient::Target> client_targets() const {
    std::vector<HttpClient::Target> targets;
    const auto& tier = experiment_.tiers.front();
    int zones = static_cast<int>(tier.zones.size());
    if (build_.program.empty())
      for (int s = 0; s < tier.servers; ++s)
        targets.push_back({addresses_.server(0, s, 0), experiment_.zone_of(0, s)});
    else
      for (int b = 0; b < tier.balancers; ++b) targets.push_back({addresses_.balancer(0, b), b % zones});
    return targets;
  }

  void create_workers() {
    for (int w = 0; w < experiment_.workers; ++w) {
      auto& worker = *workers_.emplace_back(std::make_unique<Worker>(clock_));
      worker.load = std::make_unique<LoadGenerator>(worker.context, experiment_, seed_, client_targets(),
                                                    counts_, LoadWorker{w, experiment_.workers});
    }
  }

  void start_threads() {
    threads_.emplace_back([this] { run_servers(); });
    for (std::size_t w = 0; w < workers_.size(); ++w) threads_.emplace_back([this, w] { run_worker(w); });
  }

  void run_servers() {
    if (options_.pin) pin_thread(0);
    servers_context_.now_ms = clock_.now();
    servers_.begin(result_.begin_ms);
    servers_context_.run([this] { return servers_stop_.load(std::memory_order_relaxed); });
    result_.servers_cpu_ms = thread_cpu_ms();
    result_.servers_turns = servers_context_.turns().longest();
  }

  void run_worker(std::size_t index) {
    auto& worker = *workers_[index];
    if (options_.pin) pin_thread(1 + static_cast<int>(index));
    worker.context.now_ms = clock_.now();
    worker.load->begin(result_.begin_ms);
    worker.context.run([&] { return worker.load->finished() || load_stop_.load(std::memory_order_relaxed); });
    worker.cpu_ms = thread_cpu_ms();
    worker.finished = true;
  }

  // Tells the threads whose clients connect to the balancer: the load workers, or the servers of the previous
  // tier.
  void publish(int tier, int balancer, bool up) {
    if (tier > 0) return servers_.balancer_events().publish({tier, balancer, up});
    for (auto& worker : workers_) worker->load->balancer_events().publish({0, balancer, up});
  }

  // Polls the balancers and reports progress until all load workers have finished.
  void watch_until_finished() {
    auto on_availability = [this](int tier, int balancer, bool up) { publish(tier, balancer, up); };
    double last_progress_ms = 0;
    do {
      std::this_thread::sleep_for(poll_interval);
      double now_ms = clock_.now();
      balancers_.poll(result_.begin_ms, now_ms, on_availability);
      if (options_.on_progress && now_ms >= last_progress_ms + progress_interval_ms) {
        last_progress_ms = now_ms;
        options_.on_progress({now_ms - result_.begin_ms, counts_.sent, counts_.answered, counts_.succeeded});
      }
      if (options_.stop_requested && options_.stop_requested()) load_stop_ = result_.stopped = true;
    } while (!std::all_of(workers_.begin(), workers_.end(),
                          [](const auto& worker) { return worker->finished.load(); }));
  }

  // Collects the results. All threads and processes must have ended.
  void collect() {
    result_.balancers = balancers_.usage();
    result_.history = std::move(servers_.history());
    result_.history.balancer_exits = std::move(balancers_.exits());
    result_.history.balancer_pauses = std::move(balancers_.pauses());
    std::tie(result_.datagrams, result_.datagram_bytes) = servers_.datagrams();
    result_.injected_faults = servers_.injected_faults();
    auto& all = result_.history.attempts;
    for (auto& worker : workers_) {
      auto& attempts = worker->load->attempts();
      all.insert(all.end(), std::make_move_iterator(attempts.begin()),
                 std::make_move_iterator(attempts.end()));
      result_.send_delay.merge(worker->load->send_delay());
      result_.load_generator_cpu_ms += worker->cpu_ms;
      const auto& longest = worker->context.turns().longest();
      result_.load_generator_turns.work_ms = std::max(result_.load_generator_turns.work_ms, longest.work_ms);
      result_.load_generator_turns.late_ms = std::max(result_.load_generator_turns.late_ms, longest.late_ms);
      result_.connections += worker->load->connections_opened();
    }
  }

  const Experiment& experiment_;
  const BuildSpec& build_;
  std::uint64_t seed_;
  const RunOptions& options_;
  transport::Clock clock_;
  AddressPlan addresses_{free_port()};
  TestbedContext servers_context_;
  ServerFleet servers_;
  BalancerProcesses balancers_;
  RunResult result_;
  LoadCounts counts_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<bool> servers_stop_{false}, load_stop_{false};
  std::vector<std::jthread> threads_;  // last member: joined before the members they use are destroyed
};

}  // namespace

RunResult run_experiment(const Experiment& experiment, const BuildSpec& build, std::uint64_t seed,
                         const RunOptions& options) {
  std::filesystem::create_directories(options.folder);
  return Runner(experiment, build, seed, options).run();
}

}  // namespace meadowgauge::testbed
