#include "testbed/load_generator.hpp"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>

#include "testbed/outgoing_request.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace {

// Returns the front balancer's group of each target.
std::vector<int> groups_of(const std::vector<HttpClient::Target>& targets) {
  std::vector<int> groups;
  groups.reserve(targets.size());
  for (const auto& target : targets) groups.push_back(target.group);
  return groups;
}

// Returns the ID that an attempt carries on the wire.
std::string request_id(std::uint64_t seed, std::uint64_t request, int attempt) {
  return formatted("v%llx-%llu.%d", printable(seed), printable(request), attempt);
}

}  // namespace

LoadGenerator::LoadGenerator(TestbedContext& context, const Experiment& experiment, std::uint64_t seed,
                             std::vector<HttpClient::Target> targets, LoadCounts& counts, LoadWorker worker)
    : Component(context),
      experiment_(experiment),
      seed_(seed),
      traffic_(experiment.traffic, experiment.request_classes, experiment.tenants, seed, worker.index,
               worker.count),
      retries_(experiment.retries, seed),
      front_balancer_(groups_of(targets), experiment.front_detection_delay_ms),
      counts_(counts),
      client_(context, std::move(targets), *this,
              {.max_connections = static_cast<std::size_t>(experiment.max_connections),
               .connection_per_request = experiment.connection_per_request,
               .rotate = experiment.connections > 0}),
      timer_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  if (!timer_) throw std::system_error(errno, std::generic_category(), "timerfd_create");
  timer_token_ = context_.loop.add(timer_.get(), *this, EPOLLIN);
  // Reserves space for more than the scheduled requests, so that the vector does not reallocate under load.
  attempts_.reserve(
      static_cast<std::size_t>(experiment.traffic.rate * experiment.seconds * 1.2 / worker.count) + 1000);
  open_persistent_connections(worker.count);
}

LoadGenerator::~LoadGenerator() { context_.loop.remove(timer_token_, timer_.get()); }

void LoadGenerator::open_persistent_connections(int workers) {
  if (experiment_.connections <= 0) return;
  auto zones = std::max<std::size_t>(experiment_.traffic.zones.size(), 1);
  auto worker_connections = static_cast<std::size_t>(experiment_.connections / workers);
  for (std::size_t zone = 0; zone < zones; ++zone)
    client_.open_idle(static_cast<int>(zone), worker_connections / zones);
}

void LoadGenerator::begin(double begin_ms) {
  begin_ms_ = begin_ms;
  end_ms_ = begin_ms + experiment_.ms();
  next_arrival_ = traffic_.next();
  has_begun_ = true;
  arm_timer();
}

bool LoadGenerator::finished() const {
  return has_begun_ && next_arrival_ms() >= end_ms_ && in_flight_ == 0 && retry_timers_.empty();
}

// Uses a timerfd, because epoll_wait rounds its timeout up to whole milliseconds.
void LoadGenerator::arm_timer() {
  double at_ms = next_arrival_ms();
  if (at_ms >= end_ms_) return;
  double wait_ms = std::max(at_ms - context_.now_ms, 0.0);
  itimerspec spec{};
  spec.it_value.tv_sec = static_cast<time_t>(wait_ms / 1000);
  spec.it_value.tv_nsec = std::max(1L, std::lround(std::fmod(wait_ms, 1000) * 1e6));
  timerfd_settime(timer_.get(), 0, &spec, nullptr);
}

void LoadGenerator::ready(std::uint32_t) {
  std::uint64_t expirations = 0;
  [[maybe_unused]] auto n = read(timer_.get(), &expirations, sizeof expirations);
  send_due();
}

void LoadGenerator::apply_balancer_events() {
  for (const auto& event : balancer_events_.take())
    event.up ? front_balancer_.mark_up(event.balancer)
             : front_balancer_.mark_down(event.balancer, context_.now_ms);
}

void LoadGenerator::send_due() {
  apply_balancer_events();
  while (next_arrival_ms() < end_ms_ && next_arrival_ms() <= context_.now_ms) {
    double intended_ms = next_arrival_ms();
    send_delay_.add(context_.now_ms - intended_ms);
    const auto& arrival = next_arrival_;
    const auto& spec = experiment_.request_classes[static_cast<std::size_t>(arrival.request_class)];
    send({.number = arrival.number,
          .request_class = arrival.request_class,
          .tenant = arrival.tenant,
          .zone = arrival.zone,
          .deadline_ms = intended_ms + spec.timeout_ms},
         1, intended_ms);
    counts_.sent.fetch_add(1, std::memory_order_relaxed);
    next_arrival_ = traffic_.next();
  }
  arm_timer();
}

void LoadGenerator::send(const Request& request, int attempt_number, double intended_ms) {
  auto id = request_id(seed_, request.number, attempt_number);
  auto key = "k" + std::to_string(request.number);
  auto message = serialize(
      {.request_class = &experiment_.request_classes[static_cast<std::size_t>(request.request_class)],
       .id = id,
       .key = key,
       .tenant = experiment_.tenants[static_cast<std::size_t>(request.tenant)].name,
       .budget_ms = request.deadline_ms - context_.now_ms,
       .mark_retry = attempt_number > 1 && retries_.mark_retries()});
  auto token = attempts_.size();
  attempts_.push_back({.id = id,
                       .request = request.number,
                       .number = attempt_number,
                       .request_class = request.request_class,
                       .tenant = request.tenant,
                       .intended_ms = intended_ms,
                       .deadline_ms = request.deadline_ms});
  zones_.push_back(request.zone);
  ++in_flight_;
  // The client waits longer than the deadline by the checker's slack, so that a response delayed by a turn of
  // this loop counts as late and not as lost.
  client_.send(token, request.zone, message, std::move(id), request.deadline_ms + Contract{}.slack_ms);
}

void LoadGenerator::on_result(std::uint64_t token, const HttpClient::Result& result) {
  auto& attempt = attempts_[token];
  --in_flight_;
  attempt.outcome = result.outcome;
  attempt.status = result.status;
  attempt.balancer = result.target;
  attempt.written_ms = result.written_ms;
  attempt.ended_ms = result.ended_ms;
  attempt.received_by_ms = result.received_by_ms;
  attempt.arrived_ms = result.arrived_ms;
  attempt.write_delay_ms = result.write_delay_ms;
  attempt.turn_late_ms = result.turn_late_ms;
  attempt.turn_gap_ms = result.turn_gap_ms;
  attempt.retry_after_ms = result.retry_after_ms;
  counts_.answered.fetch_add(1, std::memory_order_relaxed);
  if (attempt.outcome == Outcome::succeeded)
    counts_.succeeded.fetch_add(1, std::memory_order_relaxed);
  else
    schedule_retry(token);
}

void LoadGenerator::schedule_retry(std::uint64_t token) {
  auto& attempt = attempts_[token];
  // An unreachable balancer has not accepted the request, so no server executed it: counts as rejected.
  bool rejected = attempt.outcome == Outcome::rejected || attempt.outcome == Outcome::unreachable;
  const auto& spec = experiment_.request_classes[static_cast<std::size_t>(attempt.request_class)];
  auto wait_ms = retries_.delay_before_retry(attempt.request, attempt.number, rejected,
                                             spec.idempotency == Idempotency::non_idempotent,
                                             attempt.retry_after_ms, attempt.deadline_ms - context_.now_ms);
  if (!wait_ms) return;
  attempt.last = false;
  auto& timer = retry_timers_.emplace(token, transport::DueTimes::none).first->second;
  set_timer(token, timer, context_.now_ms + *wait_ms);
}

// The retry of attempt `token` is due.
void LoadGenerator::on_timer(std::uint64_t token) {
  auto it = retry_timers_.find(token);
  if (it == retry_timers_.end()) return;
  set_timer(token, it->second, transport::DueTimes::none);
  retry_timers_.erase(it);
  const auto& attempt = attempts_[token];
  send({.number = attempt.request,
        .request_class = attempt.request_class,
        .tenant = attempt.tenant,
        .zone = zones_[token],
        .deadline_ms = attempt.deadline_ms},
       attempt.number + 1, context_.now_ms);
}

int LoadGenerator::pick_target(int group) { return front_balancer_.pick(group, context_.now_ms); }

}  // namespace meadowgauge::testbed
