#include "testbed/stand_ins/server.hpp"

#include <charconv>

#include "protocol/names.hpp"
#include "protocol/target.hpp"
#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace names = protocol::names;
using Result = ServerRecord::Result;

Server::Server(TestbedContext& context, Environment& environment, Config config, ServerModelSpec spec,
               std::vector<ServerRecord>& records)
    : Component(context),
      environment_(environment),
      config_(std::move(config)),
      spec_(spec),
      records_(records),
      http_(context, *this) {
  spec_.speed *= config_.speed;
  http_.set_idle_timeout(config_.idle_ms);
}

void Server::start(const std::vector<transport::Address>& listen_at, bool slow_start) {
  for (const auto& address : listen_at) http_.listen(address);
  started_at_ms_ = context_.now_ms;
  ++incarnation_;
  auto seed = derive_seed(config_.seed, "server", static_cast<std::uint64_t>(incarnation_));
  model_ = std::make_unique<ServerModel>(spec_, seed, started_at_ms_, slow_start);
  arm();
}

void Server::stop() {
  http_.close_all();
  receptions_.clear();
  requests_.clear();
  model_.reset();
  arm();
}

void Server::on_first_byte(ConnectionId connection, int listener) {
  receptions_[connection] = {context_.now_ms, listener, 0};
}

std::string Server::load_report() const {
  if (config_.load_report_columns.empty()) return {};
  std::string text;
  for (const auto& column : config_.load_report_columns) {
    double value = 0;
    if (column == "inflight" || column == "concurrent") value = model_->running() + model_->waiting();
    if (column == "queue" || column == "depth") value = model_->waiting();
    if (column == "util" || column == "load_share") value = model_->utilization();
    text += formatted("%s%s=%.3f", text.empty() ? "" : ",", column.c_str(), value);
  }
  return std::string(names::load_report) + ": " + text + "\r\n";
}

void Server::answer_probe(ConnectionId connection, bool with_body) {
  receptions_.erase(connection);
  bool healthy = model_ && !model_->crashed();
  auto report = load_report();
  http_.respond(connection, healthy ? 200 : 503, report, with_body ? report : "");
}

void Server::on_request(ConnectionId connection, int listener, const protocol::Message& message, bool first) {
  auto path = protocol::path_of(message.target());
  if (path == names::upstream_health || path == names::upstream_load)
    return answer_probe(connection, path == names::upstream_load);
  const auto* request_class = environment_.request_class(protocol::first_segment(path));
  if (message.find(names::request_id).empty() || request_class == nullptr) {
    receptions_.erase(connection);
    return http_.respond(connection, 404, "", "");
  }
  auto& request = record_request(connection, listener, message, *request_class);
  auto key = message.find(names::idempotency_key);
  auto cache =
      key.empty() ? nullptr : environment_.deduplication_cache(*request_class, config_.tier, config_.server);
  auto admission = model_->arrive(receptions_[connection].job, work_ms_of(request, first), key,
                                  request_class->deduplication_window_ms, context_.now_ms, cache.get());
  on_admission(request, admission);
}

Server::Request& Server::record_request(ConnectionId connection, int listener,
                                        const protocol::Message& message,
                                        const RequestClassSpec& request_class) {
  auto& reception = receptions_[connection];
  reception.job = next_job_++;
  records_.push_back({.id = std::string(message.find(names::request_id)),
                      .key = std::string(message.find(names::idempotency_key)),
                      .tier = config_.tier,
                      .server = config_.server,
                      .incarnation = incarnation_,
                      .balancer = listener,
                      .first_byte_ms = reception.first_byte_ms,
                      .last_byte_ms = context_.now_ms,
                      .result = Result::queued,
                      .turn_late_ms = context_.turns().current().late_ms});
  double budget_ms = request_class.timeout_ms;
  auto text = message.find(names::time_budget);
  std::from_chars(text.data(), text.data() + text.size(), budget_ms);
  return requests_[reception.job] = {.connection = connection,
                                     .record = records_.size() - 1,
                                     .request_class = &request_class,
                                     .id = records_.back().id,
                                     .deadline_ms = context_.now_ms + budget_ms,
                                     .calls_left = request_class.downstream_calls};
}

// Derives the work from the request id alone, so that all compared builds get the same work, whichever server
// they choose. The part of the id after the last dot is the attempt number, which is ignored.
double Server::work_ms_of(const Request& request, bool first) const {
  auto request_id = std::string_view(request.id).substr(0, request.id.rfind('.'));
  const auto& spec = *request.request_class;
  double work_ms = spec.work_ms * log_normal_factor(derive_seed(0, request_id), spec.spread);
  return first ? work_ms + spec_.connection_setup_ms : work_ms;
}

void Server::on_admission(Request& request, ServerModel::Admission admission) {
  using Admission = ServerModel::Admission;
  auto& result = records_[request.record].result;
  switch (admission) {
    case Admission::started:
      mark_executed(request);
      break;
    case Admission::queued:
      break;
    case Admission::queue_full:
    case Admission::draining:
      result = Result::rejected;
      answer(request, 503, true);
      break;
    case Admission::duplicate:
      result = Result::duplicate;
      answer(request, 200);
      break;
    case Admission::failed:
      result = Result::failed;
      answer(request, 500);
      break;
    case Admission::black_holed:
      mark_executed(request);
      request.black_holed = true;
      break;
    case Admission::crashed:
      return crash();
  }
  arm();
}

void Server::mark_executed(const Request& request) {
  auto& record = records_[request.record];
  record.result = Result::executed;
  record.started_ms = context_.now_ms;
}

// Stops the server for the rest of the run: resets all connections and closes the listeners.
void Server::crash() {
  environment_.on_server_crashed(config_.tier, config_.server);
  stop();
}

void Server::answer(Request& request, int status, bool not_executed) {
  records_[request.record].answered_ms = context_.now_ms;
  auto headers = load_report();
  if (not_executed) headers += std::string(names::not_executed) + ": 1\r\n";
  std::string body;
  if (status == 200) {
    body = request.id + "\n";
    auto size = static_cast<std::size_t>(request.request_class->response_body_bytes);
    if (size > body.size()) body.append(size - body.size(), '.');
  }
  auto connection = request.connection;
  // Erasing the entry destroys `request`.
  if (auto it = receptions_.find(connection); it != receptions_.end()) {
    requests_.erase(it->second.job);
    receptions_.erase(it);
  }
  http_.respond(connection, status, headers, body);
}

void Server::record_incomplete(const Reception& reception) {
  records_.push_back({.id = {},
                      .key = {},
                      .tier = config_.tier,
                      .server = config_.server,
                      .incarnation = incarnation_,
                      .balancer = reception.listener,
                      .first_byte_ms = reception.first_byte_ms});
}

void Server::on_disconnect(ConnectionId connection) {
  auto found = receptions_.find(connection);
  if (found == receptions_.end()) return;
  auto reception = found->second;
  receptions_.erase(found);
  if (reception.job == 0) return record_incomplete(reception);
  auto it = requests_.find(reception.job);
  if (it == requests_.end() || !model_) return;
  auto& request = it->second;
  auto& record = records_[request.record];
  if (record.result == Result::queued) {
    record.result = Result::abandoned;
    model_->abandon(reception.job);
    requests_.erase(it);
    arm();
  } else if (request.black_holed) {
    requests_.erase(it);
  } else {
    request.disconnected = true;  // a started job runs on, without a response at its end
  }
}

void Server::on_timer(std::uint64_t) {
  set_timer(0, timer_, transport::DueTimes::none);
  if (!model_) return;
  for (const auto& progress : model_->advance(context_.now_ms)) {
    auto it = requests_.find(progress.job);
    if (it == requests_.end()) continue;
    if (progress.started)
      mark_executed(it->second);
    else
      on_work_done(progress.job);
    if (!model_) return;
  }
  arm();
}

// Handles a job whose own work is done: makes its downstream calls one after another, then responds.
void Server::on_work_done(JobId job) {
  auto it = requests_.find(job);
  if (it == requests_.end()) return;
  auto& request = it->second;
  if (request.disconnected) {
    requests_.erase(it);
    return;
  }
  if (request.calls_left == 0) return answer(request, 200);
  --request.calls_left;
  if (!environment_.call(*this, job, *request.request_class, request.id, request.calls_made++,
                         request.deadline_ms))
    answer(request, 500);
}

void Server::on_call_finished(JobId job, Outcome outcome) {
  auto it = requests_.find(job);
  if (it == requests_.end()) return;
  if (outcome == Outcome::succeeded) return on_work_done(job);
  if (it->second.disconnected) {
    requests_.erase(it);
    return;
  }
  answer(it->second, 500);
}

void Server::arm() { set_timer(0, timer_, model_ ? model_->next_event_ms() : transport::DueTimes::none); }

}  // namespace meadowgauge::testbed
