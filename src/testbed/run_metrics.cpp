#include "testbed/run_metrics.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace meadowgauge::testbed {

namespace {

constexpr double recovery_window_ms = 1000;  // share and tail latency must recover over a window this long
constexpr double before_window_ms = 4000;    // the reference window before a fault
constexpr double lease_settling_ms = 2000;   // from the run's start until the quota leases match the traffic
constexpr double worst_window_ms = 2000;     // length of the window of the worst weighted success
constexpr double rounding_tolerance_ms = 1e-6;  // tolerance for comparing window and slice boundaries
constexpr double unbounded_tail_ms = 1e9;    // tail latency to recover to if no requests preceded the fault
constexpr double tail_latency_share = 0.99;  // quantile of the latency that counts as the tail latency

// Converts a count to a divisor; zero becomes 1.
double positive_count(std::uint64_t count) { return std::max<double>(1, static_cast<double>(count)); }

// The first and the last attempt of a request.
struct RequestAttempts {
  const Attempt* first = nullptr;
  const Attempt* last = nullptr;
};

// Share of requests within the objective, and tail latency, over consecutive slices.
struct Window {
  double share = 1, tail_ms = 0;
  std::uint64_t offered = 0;
};

// Adds an outcome to a row, with the latency if the request succeeded.
void count_outcome(OutcomeRow& row, Outcome outcome, double latency_ms) {
  switch (outcome) {
    case Outcome::succeeded:
      ++row.succeeded;
      row.latency.add(latency_ms);
      break;
    case Outcome::rejected:
      ++row.rejected;
      break;
    case Outcome::failed:
      ++row.failed;
      break;
    default:
      ++row.other;
  }
}

// Computes the metrics of one run; experiment and run outlive the builder.
class MetricsBuilder {
 public:
  MetricsBuilder(const Experiment& experiment, const RunResult& run) : experiment_(experiment), run_(run) {}

  RunMetrics build() {
    metrics_.verdict = check_history(run_.history, run_.contract);
    metrics_.stopped = run_.stopped;
    create_slices();
    for (const auto& tenant : experiment_.tenants) metrics_.tenants.push_back({.name = tenant.name});
    for (const auto& spec : experiment_.request_classes)
      metrics_.request_classes.push_back({.name = spec.name});
    add_balancer_rows();
    add_server_rows();
    add_requests();
    find_worst_window();
    for (const auto& fault : experiment_.faults) add_recovery(fault);
    add_costs();
    add_limits();
    return std::move(metrics_);
  }

 private:
  void create_slices() {
    auto count = static_cast<std::size_t>(std::ceil(run_.duration_ms / metrics_.slice_ms));
    metrics_.slices.resize(std::max<std::size_t>(1, count));
    for (std::size_t i = 0; i < metrics_.slices.size(); ++i)
      metrics_.slices[i].at_ms = static_cast<double>(i) * metrics_.slice_ms;
  }

  // Returns the index of the slice at `at_ms` from the run's start; the last slice for times after the end.
  [[nodiscard]] std::size_t slice_at(double at_ms) const {
    auto index = static_cast<std::size_t>(std::max(0.0, at_ms / metrics_.slice_ms));
    return std::min(metrics_.slices.size() - 1, index);
  }

  void add_balancer_rows() {
    std::map<std::pair<int, int>, OutcomeRow> rows;
    for (const auto& usage : run_.balancers) {
      auto& row = rows[{usage.tier, usage.balancer}];
      row.name = "b-" + std::to_string(usage.tier) + "-" + std::to_string(usage.balancer);
      row.cpu_ms = usage.cpu_ms;
      row.peak_kb = usage.peak_kb;
    }
    for (const auto& attempt : run_.history.attempts) {
      auto it = rows.find({attempt.tier, attempt.balancer});
      if (it == rows.end()) continue;
      ++it->second.received;
      count_outcome(it->second, attempt.outcome, attempt.ended_ms - attempt.intended_ms);
    }
    for (auto& [key, row] : rows) metrics_.balancers.push_back(std::move(row));
  }

  // Adds a server's record to its row. The latency is the server's own, from the request's last byte to the
  // answer.
  static void count_record(OutcomeRow& row, const ServerRecord& record) {
    ++row.received;
    const bool received_complete = record.last_byte_ms != never;
    if (received_complete && record.result == ServerRecord::Result::rejected)
      ++row.rejected;
    else if (received_complete && record.result == ServerRecord::Result::failed)
      ++row.failed;
    else if (received_complete && record.answered_ms != never)
      count_outcome(row, Outcome::succeeded, record.answered_ms - record.last_byte_ms);
    else
      ++row.other;
  }

  void add_server_rows() {
    std::map<std::pair<int, int>, OutcomeRow> rows;
    for (std::size_t t = 0; t < experiment_.tiers.size(); ++t)
      for (int s = 0; s < experiment_.tiers[t].servers; ++s)
        rows[{static_cast<int>(t), s}].name = "s-" + std::to_string(t) + "-" + std::to_string(s);
    std::vector<std::uint64_t> complete_attempts(experiment_.tiers.size());
    for (const auto& record : run_.history.server_records) {
      count_record(rows[{record.tier, record.server}], record);
      if (record.last_byte_ms != never) ++complete_attempts[static_cast<std::size_t>(record.tier)];
    }
    for (auto& [key, row] : rows) metrics_.servers.push_back(std::move(row));
    for (auto count : complete_attempts) metrics_.attempts_per_tier.push_back(static_cast<double>(count));
  }

  // Counts the clients' requests. The first attempt gives a request's scheduled time, the last its outcome.
  void add_requests() {
    std::map<std::uint64_t, RequestAttempts> requests;
    std::uint64_t attempts = 0;
    for (const auto& attempt : run_.history.attempts) {
      if (attempt.tier != 0) continue;
      ++attempts;
      auto& request = requests[attempt.request];
      if (!request.first || attempt.number < request.first->number) request.first = &attempt;
      if (!request.last || attempt.number > request.last->number) request.last = &attempt;
    }
    for (const auto& [number, request] : requests) add_request(request);
    double count = positive_count(metrics_.requests);
    metrics_.attempts_per_request = static_cast<double>(attempts) / count;
    for (auto& per_request : metrics_.attempts_per_tier) per_request /= count;
    metrics_.goodput = static_cast<double>(metrics_.within_objective) / run_.duration_ms * 1000;
    metrics_.weighted_success = offered_weight_ > 0 ? earned_weight_ / offered_weight_ : 0;
  }

  void add_request(const RequestAttempts& request) {
    const auto& first = *request.first;
    const auto& spec = experiment_.request_classes[static_cast<std::size_t>(first.request_class)];
    auto& slice = metrics_.slices[slice_at(first.intended_ms - run_.begin_ms)];
    double latency_ms = request.last->ended_ms - first.intended_ms;
    auto outcome = request.last->outcome;
    ++metrics_.requests;
    ++slice.offered;
    slice.offered_weight += spec.priority_weight;
    offered_weight_ += spec.priority_weight;
    for (auto* row : {&metrics_.tenants[static_cast<std::size_t>(first.tenant)],
                      &metrics_.request_classes[static_cast<std::size_t>(first.request_class)]}) {
      ++row->received;
      count_outcome(*row, outcome, latency_ms);
    }
    switch (outcome) {
      case Outcome::succeeded:
        return add_success(slice, spec, latency_ms);
      case Outcome::rejected:
        ++metrics_.rejected;
        ++slice.rejected;
        return;
      case Outcome::failed:
        ++metrics_.failed;
        ++slice.failed;
        return;
      default:
        ++metrics_.unserved;
        ++slice.failed;
    }
  }

  void add_success(Slice& slice, const RequestClassSpec& spec, double latency_ms) {
    metrics_.latency.add(latency_ms);
    slice.latency.add(latency_ms);
    if (latency_ms > spec.latency_objective_ms) {
      ++metrics_.late;
      ++slice.late;
      return;
    }
    ++metrics_.within_objective;
    ++slice.within_objective;
    slice.earned_weight += spec.priority_weight;
    earned_weight_ += spec.priority_weight;
  }

  // Finds the lowest weighted success over all windows of `worst_window_ms` with offered requests.
  void find_worst_window() {
    const auto& slices = metrics_.slices;
    auto width = std::max<std::size_t>(1, static_cast<std::size_t>(worst_window_ms / metrics_.slice_ms));
    metrics_.worst_weighted_success = metrics_.weighted_success;
    for (std::size_t begin = 0; begin + width <= slices.size(); ++begin) {
      double offered = 0;
      double earned = 0;
      for (std::size_t i = begin; i < begin + width; ++i) {
        offered += slices[i].offered_weight;
        earned += slices[i].earned_weight;
      }
      if (offered > 0)
        metrics_.worst_weighted_success = std::min(metrics_.worst_weighted_success, earned / offered);
    }
  }

  // Summarizes the slices that lie completely between two times, which count from the run's start.
  [[nodiscard]] Window window(double from_ms, double until_ms) const {
    Window window;
    Histogram latency;
    std::uint64_t within_objective_count = 0;
    for (const auto& slice : metrics_.slices) {
      if (slice.at_ms < from_ms - rounding_tolerance_ms ||
          slice.at_ms + metrics_.slice_ms > until_ms + rounding_tolerance_ms)
        continue;
      window.offered += slice.offered;
      within_objective_count += slice.within_objective;
      latency.merge(slice.latency);
    }
    if (window.offered > 0)
      window.share = static_cast<double>(within_objective_count) / static_cast<double>(window.offered);
    window.tail_ms = latency.quantile(tail_latency_share);
    return window;
  }

  // Rounds a time down to the start of its slice.
  [[nodiscard]] double slice_begin(double ms) const {
    return std::floor(ms / metrics_.slice_ms) * metrics_.slice_ms;
  }

  // Compares the requests before and during a fault, and finds the time of recovery after it. Window
  // boundaries are rounded to slices.
  void add_recovery(const FaultSpec& fault) {
    Recovery recovery{.fault = fault.text(),
                      .from_ms = fault.at_ms,
                      .until_ms = std::min(fault.at_ms + fault.for_ms, run_.duration_ms)};
    double from_ms = slice_begin(fault.at_ms);
    auto before = window(std::max(0.0, from_ms - before_window_ms), from_ms);
    recovery.share_before = before.share;
    recovery.tail_before_ms = before.offered == 0 ? 0 : before.tail_ms;
    if (before.offered == 0) before.tail_ms = unbounded_tail_ms;
    double during_end_ms = std::max(slice_begin(recovery.until_ms), from_ms + metrics_.slice_ms);
    recovery.share_during = window(from_ms, during_end_ms).share;
    recovery.after_ms = time_to_recover(recovery.until_ms, before);
    metrics_.recoveries.push_back(std::move(recovery));
  }

  // Returns the time from the fault's end to the first window of `recovery_window_ms` in which the share
  // within the objective and the tail latency are back at their values before the fault, within the
  // experiment's relative tolerances. Empty if there is no such window in the run.
  [[nodiscard]] std::optional<double> time_to_recover(double fault_end_ms, const Window& before) const {
    double min_share = before.share * (1 - experiment_.recovered_share);
    double max_tail_ms = before.tail_ms * (1 + experiment_.recovered_tail);
    double at_ms = std::ceil(fault_end_ms / metrics_.slice_ms) * metrics_.slice_ms;
    for (; at_ms + recovery_window_ms <= run_.duration_ms + rounding_tolerance_ms;
         at_ms += metrics_.slice_ms) {
      auto current = window(at_ms, at_ms + recovery_window_ms);
      if (current.share >= min_share && current.tail_ms <= max_tail_ms) return at_ms - fault_end_ms;
    }
    return {};
  }

  // Computes processor time per request and attempt, and the load generator's delays.
  void add_costs() {
    double requests = positive_count(metrics_.requests);
    metrics_.load_generator_cpu_us =
        run_.load_generator_cpu_ms * 1000 / (requests * metrics_.attempts_per_request);
    double cpu_ms = 0;
    for (const auto& usage : run_.balancers) cpu_ms += usage.cpu_ms;
    metrics_.balancer_cpu_us = cpu_ms * 1000 / requests;
    metrics_.send_delay_p50_ms = run_.send_delay.quantile(0.5);
    metrics_.send_delay_p99_ms = run_.send_delay.quantile(0.99);
    metrics_.send_delay_max_ms = run_.send_delay.max();
    metrics_.load_generator_turns = run_.load_generator_turns;
    metrics_.servers_turns = run_.servers_turns;
  }

  void add_limits() {
    if (!experiment_.fleet) return;
    // Measures the fleet's limits even for builds without a fleet, so that builds can be compared.
    auto contract = experiment_.contract();
    for (const auto& limit : experiment_.fleet->limits)
      metrics_.limits.push_back(limit_row(limit, admission_history(run_.history, contract, limit)));
    double balancer_seconds = experiment_.tiers.front().balancers * run_.duration_ms / 1000;
    metrics_.datagrams_per_s = static_cast<double>(run_.datagrams) / balancer_seconds;
    metrics_.datagram_bytes_per_s = static_cast<double>(run_.datagram_bytes) / balancer_seconds;
  }

  // Returns the admission rates under a limit by slice and balancer. The mean omits `lease_settling_ms` at
  // the start and everything after the run's duration.
  [[nodiscard]] LimitRow limit_row(const FleetLimit& limit, const AdmissionHistory& admitted) const {
    auto name_or_wildcard = [](const std::string& name) { return name.empty() ? std::string("*") : name; };
    std::vector<double> zero_slices(metrics_.slices.size());
    LimitRow row{.name = name_or_wildcard(limit.tenant) + "/" + name_or_wildcard(limit.request_class),
                 .rate = limit.rate,
                 .burst = limit.burst,
                 .max_excess = admitted.max_excess,
                 .slices = zero_slices,
                 .by = std::vector<std::vector<double>>(
                     static_cast<std::size_t>(experiment_.tiers.front().balancers), zero_slices)};
    const double per_slice = 1000 / metrics_.slice_ms;
    const double per_run = 1000 / (run_.duration_ms - lease_settling_ms);
    for (const auto& [time_ms, balancer] : admitted.events) {
      double at_ms = time_ms - run_.begin_ms;
      auto slice = slice_at(at_ms);
      row.slices[slice] += per_slice;
      row.by[static_cast<std::size_t>(balancer)][slice] += per_slice;
      if (at_ms >= lease_settling_ms && at_ms < run_.duration_ms) row.mean += per_run;
    }
    return row;
  }

  const Experiment& experiment_;
  const RunResult& run_;
  RunMetrics metrics_;
  double offered_weight_ = 0, earned_weight_ = 0;
};

}  // namespace

RunMetrics compute_metrics(const Experiment& experiment, const RunResult& run) {
  return MetricsBuilder(experiment, run).build();
}

}  // namespace meadowgauge::testbed
