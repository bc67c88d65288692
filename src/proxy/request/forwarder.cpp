#include "proxy/request/forwarder.hpp"

#include <algorithm>
#include <utility>

#include "protocol/load_report.hpp"
#include "protocol/names.hpp"
#include "protocol/target.hpp"
#include "proxy/request/attempt_ids.hpp"
#include "proxy/request/retry_after.hpp"

namespace meadowgauge::proxy {

namespace names = protocol::names;

namespace {

// Time reserved for a response to reach the client after its last byte is written.
constexpr double delivery_delay_ms = 2;
// Deadline while a request's body is being received. DownstreamConnections enforces the client's progress.
constexpr double max_body_ms = 3600000;
// An endpoint may run an attempt this long after it has ended here: longer than endpoints hang.
constexpr double effect_delay_ms = 30000;

// Whether the endpoint may be running an attempt that ended here with this outcome.
bool may_run_yet(Outcome outcome) {
  return outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

// The HTTP status of the final response if the last attempt had this outcome.
int failure_status(Outcome outcome) {
  if (outcome == Outcome::timeout) return 504;
  return outcome == Outcome::error ? 500 : 502;
}

}  // namespace

RequestForwarder::RequestForwarder(const Parts& parts, Logger log)
    : settings_(parts.settings),
      now_ms_(parts.now_ms),
      policy_(parts.policy),
      upstreams_(parts.upstreams),
      downstream_(parts.downstream),
      endpoints_(parts.endpoints),
      shutdown_(parts.shutdown),
      initial_list_(parts.initial_list),
      counters_(parts.counters),
      log_(std::move(log)),
      admission_(settings_.request_classes, settings_.tenants),
      requests_(policy_, parts.due_times, *this),
      load_report_columns_(settings_.load_report_columns.begin(), settings_.load_report_columns.end()) {}

// --- From clients ----------------------------------------------------------------------------------------

void RequestForwarder::downstream_event(DownstreamEvent& event) {
  switch (event.kind) {
    case DownstreamEvent::request_received:
      return request_received(event);
    case DownstreamEvent::body_received:
      return body_received(event.client);
    case DownstreamEvent::response_taken:
      return response_taken(event.client);
    case DownstreamEvent::response_due:
      return response_due(event.client);
    case DownstreamEvent::client_gone:
      return client_gone(event.client);
  }
}

void RequestForwarder::request_received(DownstreamEvent& event) {
  bool at_capacity = static_cast<double>(in_flight_.size()) >= settings_.max_in_flight ||
                     unanswered_.size() >= downstream_.max_served();
  auto result = admission_.admit(*event.message, {.unanswered_ids = unanswered_ids_,
                                                  .effective_ids = &request_ids_,
                                                  .now_ms = now_ms_,
                                                  .at_capacity = at_capacity,
                                                  .endpoints_unknown = !initial_list_.may_serve(),
                                                  .fleet_limits = request_filter_});
  if (std::holds_alternative<LocalPathRequest>(result)) return respond_to_local_path(event);
  if (const auto* refusal = std::get_if<Refusal>(&result)) return refuse(event.client, *refusal);
  dispatch(event, std::get<AdmittedRequest>(result));
}

void RequestForwarder::respond_to_local_path(const DownstreamEvent& event) {
  downstream_.set_request_class(event.client, -1);
  auto path = protocol::path_of(event.message->target());
  if (path != names::local_ready) return downstream_.respond(event.client, 404, "", "");
  if (shutdown_.serving() && !initial_list_.may_serve())
    return downstream_.respond(event.client, 503, "", "no endpoint list\n");
  if (shutdown_.serving()) return downstream_.respond(event.client, 200, "", "ready\n");
  downstream_.respond(event.client, 503, "", "ending\n");
}

void RequestForwarder::refuse(ClientId client, const Refusal& refusal) {
  downstream_.set_request_class(client, refusal.request_class);
  if (refusal.closes_connection()) return downstream_.respond_and_close(client, refusal.status());
  downstream_.respond(client, refusal.status(),
                      refusal.retry_after_ms > 0 ? retry_after_header(refusal.retry_after_ms) : "", "");
}

void RequestForwarder::dispatch(DownstreamEvent& event, const AdmittedRequest& admitted) {
  const auto& rules = admission_.classes()[static_cast<std::size_t>(admitted.request_class)];
  bool must_not_repeat = rules.repeat != RepeatRule::idempotent;
  if (must_not_repeat && !request_ids_.acquire(event.message->find(names::request_id), now_ms_,
                                               now_ms_ + admitted.budget_ms + effect_delay_ms))
    return refuse(event.client,
                  {.reason = RefusalReason::id_in_flight, .request_class = admitted.request_class});
  downstream_.set_request_class(event.client, admitted.request_class);
  Request request{.request_class = admitted.request_class,
                  .tenant = admitted.tenant,
                  .arrived_ms = now_ms_,
                  .deadline_ms = admitted.body_incoming ? now_ms_ + max_body_ms
                                                        : response_due_ms(now_ms_, admitted.budget_ms),
                  .client_retry = admitted.client_retry,
                  .work_ms = admitted.work_ms,
                  .key = admitted.key,
                  .large_body = admitted.body_incoming,
                  .body_incoming = admitted.body_incoming};
  RequestNumber number{next_number_++};
  auto& in_flight = in_flight_[number];
  in_flight = {.client = event.client,
               .id = std::string(event.message->find(names::request_id)),
               .message = std::move(event.message),
               .budget_ms = admitted.budget_ms,
               .due_ms = request.deadline_ms,
               .request_class = admitted.request_class,
               .body_incoming = admitted.body_incoming,
               .must_not_repeat = must_not_repeat};
  unanswered_ids_.insert(in_flight.id);
  unanswered_[event.client] = number;
  if (admitted.body_incoming)
    downstream_.set_response_budget(event.client, admitted.budget_ms - delivery_delay_ms);
  requests_.request_arrived(number, request, now_ms_);
  if (request_filter_ && last_rejected_ == number)
    request_filter_->release(admitted.tenant, admitted.request_class);
}

// A graceful shutdown fails unanswered requests before the process exits. The policy and the endpoint must
// see the time that is left until that failure, not the client's whole budget.
double RequestForwarder::response_due_ms(double arrived_ms, double budget_ms) const {
  return std::min(arrived_ms + budget_ms - delivery_delay_ms, shutdown_.responses_due_ms());
}

// Forwards newly received bytes of the request's body. The time budget starts with the last byte, which may
// have lain in the socket for a while before it was read.
void RequestForwarder::body_received(ClientId client) {
  auto it = unanswered_.find(client);
  // What a client sent before it left is not forwarded any more; client_gone follows.
  if (it == unanswered_.end() || downstream_.has_left(client)) return;
  auto number = it->second;
  auto& request = in_flight_.at(number);
  auto id = attempt_id(number, request.latest_attempt);
  if (request.body_incoming && request.message->complete()) {
    request.body_incoming = false;
    request.due_ms = response_due_ms(downstream_.body_arrived_at_ms(client), request.budget_ms);
    upstreams_.set_limit(id, requests_.body_complete(number, request.due_ms, now_ms_));
  }
  upstreams_.continue_request(id);
  downstream_.request_body_forwarded(client);
}

void RequestForwarder::response_taken(ClientId client) {
  auto it = unanswered_.find(client);
  if (it == unanswered_.end()) return;
  upstreams_.resume_response(attempt_id(it->second, in_flight_.at(it->second).streaming_attempt));
}

// The response is due before the endpoint has taken the request's body. The attempt's last byte is not
// written, so it ends as never sent.
void RequestForwarder::response_due(ClientId client) {
  auto it = unanswered_.find(client);
  if (it == unanswered_.end()) return;
  auto number = it->second;
  const auto& request = in_flight_.at(number);
  requests_.deadline_passed(number, now_ms_);
  bool expired = request.latest_attempt >= 0 && upstreams_.expire(attempt_id(number, request.latest_attempt));
  if (!expired) requests_.decision_due(number, now_ms_);
}

// The client has closed its connection, or its sending side, before the final response.
void RequestForwarder::client_gone(ClientId client) {
  auto it = unanswered_.find(client);
  if (it == unanswered_.end()) return;  // the final response is being sent
  auto number = it->second;
  auto& request = in_flight_.at(number);
  // A streaming body can't complete without the client: cancel its attempt whatever the policy decides.
  int body_attempt = request.body_incoming ? request.latest_attempt : request.streaming_attempt;
  unanswered_.erase(it);
  unanswered_ids_.erase(request.id);
  request.message.reset();
  request.client_left = true;
  log_client_gone(number);
  requests_.client_left(number, now_ms_);
  abandon_unsent_attempts(number);
  if (body_attempt >= 0 && in_flight_.contains(number)) cancel_attempt(number, body_attempt);
  downstream_.respond(client, 500, "", "");  // a half-closed client can still read it
}

void RequestForwarder::fail_unanswered() {
  if (!unanswered_.empty())
    log_(Level::warning,
         "graceful shutdown: unanswered requests failed: " + std::to_string(unanswered_.size()),
         {{"requests", static_cast<double>(unanswered_.size())}});
  for (auto [client, number] : std::exchange(unanswered_, {})) {
    unanswered_ids_.erase(in_flight_.at(number).id);
    requests_.client_left(number, now_ms_);
    abandon_unsent_attempts(number);
    downstream_.respond(client, 500, "", "");
  }
}

// --- From upstreams --------------------------------------------------------------------------------------

void RequestForwarder::upstream_event(AttemptEvent& event) {
  switch (event.kind) {
    case AttemptEvent::Kind::response_started:
      return response_started(event);
    case AttemptEvent::Kind::response_progress:
      if (auto client = unanswered_client(request_number_of(event.attempt)))
        commands_.emplace_back(ContinueResponse{*client});
      return;
    case AttemptEvent::Kind::request_body_drained:
      if (auto client = unanswered_client(request_number_of(event.attempt)))
        downstream_.request_body_forwarded(*client);
      return;
    case AttemptEvent::Kind::completed:
      return attempt_ended(event);
  }
}

std::optional<ClientId> RequestForwarder::unanswered_client(RequestNumber number) const {
  auto it = in_flight_.find(number);
  if (it == in_flight_.end()) return {};
  auto waiting = unanswered_.find(it->second.client);
  if (waiting == unanswered_.end() || waiting->second != number) return {};
  return it->second.client;
}

// The first response that starts to stream is the final one: if it breaks, the request is not retried, and no
// other attempt's response takes its place.
void RequestForwarder::response_started(AttemptEvent& event) {
  auto number = request_number_of(event.attempt);
  int attempt = attempt_number_of(event.attempt);
  auto client = unanswered_client(number);
  if (!client || !requests_.is_open(number) || requests_.is_responding(number))
    return cancel_attempt(number, attempt);
  auto& request = in_flight_.at(number);
  request.streaming_attempt = attempt;
  request.message.reset();  // no further attempt follows
  if (!admission_.classes()[static_cast<std::size_t>(request.request_class)].streamed)
    upstreams_.set_response_due(event.attempt, request.due_ms);
  requests_.response_started(number, attempt, now_ms_);
  abandon_unsent_attempts(number);  // hedged requests that wait for a connection
  commands_.emplace_back(BeginResponse{.client = *client, .response = std::move(event.response)});
}

LoadReport RequestForwarder::load_report(const AttemptEvent& event) const {
  if (!event.response || load_report_columns_.empty()) return {};
  std::string text;
  if (event.response->count(names::load_report) == 1) text = event.response->find(names::load_report);
  if (text.empty() && event.attempt & probe_bit) text = event.response->extract_body();
  auto report = protocol::read_load_report(text, load_report_columns_);
  return {.count = report.count, .values = report.values};
}

void RequestForwarder::attempt_ended(AttemptEvent& event) {
  auto report = load_report(event);
  if (event.attempt & probe_bit)
    return policy_.probe_ended(event.endpoint, event.outcome, now_ms_ - event.started_at_ms, report, now_ms_);
  bool succeeded = event.outcome == Outcome::succeeded;
  if (request_filter_ && succeeded && event.endpoint != no_endpoint)
    request_filter_->record_success(endpoints_.server_id(event.endpoint));
  auto number = request_number_of(event.attempt);
  int attempt = attempt_number_of(event.attempt);
  if (!succeeded && event.endpoint != no_endpoint) log_failed_attempt(number, attempt, event);
  bool responding = requests_.is_responding(number);
  bool streaming = false;
  if (auto it = in_flight_.find(number); it != in_flight_.end()) {
    auto& request = it->second;
    request.failure_status = failure_status(event.outcome);
    request.effect_may_come = request.effect_may_come || (request.client_left ? may_have_run(event.outcome)
                                                                              : may_run_yet(event.outcome));
    if (request.message && request.message->partly_forwarded()) requests_.body_forwarded(number);
    streaming = responding && request.streaming_attempt == attempt;
  }
  bool open = requests_.is_open(number);
  // While another attempt's response streams, this one can't answer the request.
  bool answers = open && (responding ? streaming : succeeded);
  // Forwarding a response needs no policy decision: attempt_ended() below reports the request as closed.
  if (answers && streaming) {
    ClientId client = close_request(number);
    if (succeeded)
      commands_.emplace_back(ContinueResponse{client});
    else
      commands_.emplace_back(AbortResponse{client});
  } else if (answers) {
    commands_.emplace_back(
        SendResponse{.client = close_request(number), .response = std::move(event.response)});
  }
  requests_.attempt_ended(number,
                          {.attempt = attempt,
                           .outcome = event.outcome,
                           .request_closed = !open || answers,
                           .load_report = report},
                          now_ms_);
}

// --- Actions of the policy --------------------------------------------------------------------------------

// Called once the final response to a request is decided: removes the request from the unanswered requests
// and ends its unsent attempts. Returns its client.
ClientId RequestForwarder::close_request(RequestNumber number) {
  auto& request = in_flight_.at(number);
  abandon_unsent_attempts(number);
  unanswered_.erase(request.client);
  unanswered_ids_.erase(request.id);
  request.message.reset();
  return request.client;
}

// Ends the unsent attempts of a request that is answered or whose client has left. Done even if the settings
// forbid cancellation: before the request's last byte the endpoint has nothing to cancel.
void RequestForwarder::abandon_unsent_attempts(RequestNumber number) {
  for (int attempt = 0; attempt < max_attempts; ++attempt)
    upstreams_.abandon_unsent(attempt_id(number, attempt));
}

void RequestForwarder::start_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                                     const AttemptTimeout& timeout) {
  log_further_attempt(number, attempt, endpoint, timeout);
  in_flight_.at(number).latest_attempt = attempt;
  commands_.emplace_back(StartAttempt{.request = number,
                                      .attempt = attempt,
                                      .endpoint = endpoint,
                                      .limit_ms = timeout.limit_ms,
                                      .send_by_ms = timeout.send_by_ms});
}

void RequestForwarder::reject(RequestNumber number, double retry_after_ms, RejectionReason reason) {
  last_rejected_ = number;
  log_rejection(number, "rejected", reason);
  commands_.emplace_back(Reject{.client = close_request(number), .retry_after_ms = retry_after_ms});
}

void RequestForwarder::fail(RequestNumber number, RejectionReason reason) {
  int status = in_flight_.at(number).failure_status;
  log_rejection(number, "failed", reason);
  commands_.emplace_back(Fail{.client = close_request(number), .status = status > 0 ? status : 500});
}

void RequestForwarder::cancel_attempt(RequestNumber number, int attempt) {
  commands_.emplace_back(CancelAttempt{.request = number, .attempt = attempt});
}

void RequestForwarder::limit_sending(RequestNumber number, int attempt, double send_by_ms) {
  commands_.emplace_back(LimitSending{.request = number, .attempt = attempt, .send_by_ms = send_by_ms});
}

void RequestForwarder::withdraw_attempt(RequestNumber number, int attempt) {
  upstreams_.abandon_unsent(attempt_id(number, attempt));
}

void RequestForwarder::probe(EndpointIndex endpoint) { commands_.emplace_back(StartProbe{endpoint}); }

// An endpoint may still run an attempt that has ended here, and a client that has left does not know what has
// become of its request.
void RequestForwarder::released(RequestNumber number) {
  auto it = in_flight_.find(number);
  const auto& request = it->second;
  if (request.must_not_repeat && request.effect_may_come)
    request_ids_.keep(request.id, now_ms_ + effect_delay_ms);
  else if (request.must_not_repeat)
    request_ids_.release(request.id);
  in_flight_.erase(it);
}

}  // namespace meadowgauge::proxy
