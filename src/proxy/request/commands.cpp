// RequestForwarder: executing the policy's decisions on the client and upstream connections.
#include <utility>

#include "protocol/names.hpp"
#include "proxy/request/attempt_ids.hpp"
#include "proxy/request/forwarder.hpp"
#include "proxy/request/retry_after.hpp"

namespace meadowgauge::proxy {

namespace names = protocol::names;

namespace {

// Timeout of a health check or load probe.
constexpr double probe_limit_ms = 1000;

}  // namespace

void RequestForwarder::carry_out() {
  for (auto& command : std::exchange(commands_, {})) std::visit([this](auto& c) { execute(c); }, command);
}

void RequestForwarder::execute(const StartAttempt& command) {
  auto id = attempt_id(command.request, command.attempt);
  // Later in the turn of the decision, the request was answered or its client left.
  if (!requests_.is_open(command.request)) {
    upstreams_.events().push_back({.attempt = id,
                                   .endpoint = command.endpoint,
                                   .outcome = Outcome::superseded,
                                   .started_at_ms = now_ms_});
    return;
  }
  auto& request = in_flight_.at(command.request);
  upstreams_.start(id, command.endpoint, request.message,
                   {.limit_ms = command.limit_ms,
                    .send_by_ms = command.send_by_ms,
                    .streaming_budget_ms = request.budget_ms});
}

void RequestForwarder::execute(const LimitSending& command) {
  upstreams_.limit_sending(attempt_id(command.request, command.attempt), command.send_by_ms);
}

void RequestForwarder::execute(const StartProbe& command) {
  upstreams_.start_health_check(probe_bit | static_cast<AttemptId>(command.endpoint), command.endpoint,
                                settings_.load_probes ? names::upstream_load : names::upstream_health,
                                probe_limit_ms);
}

// Reports `cancelled` only if the attempt was still in flight: a completed attempt has its own event.
void RequestForwarder::execute(const CancelAttempt& command) {
  auto id = attempt_id(command.request, command.attempt);
  if (upstreams_.cancel(id))
    upstreams_.events().push_back({.attempt = id, .endpoint = no_endpoint, .outcome = Outcome::cancelled});
}

void RequestForwarder::execute(SendResponse& command) {
  downstream_.send_response(command.client, std::move(command.response));
}

void RequestForwarder::execute(BeginResponse& command) {
  downstream_.begin_response(command.client, std::move(command.response));
}

void RequestForwarder::execute(const ContinueResponse& command) {
  downstream_.continue_response(command.client);
}

void RequestForwarder::execute(const AbortResponse& command) { downstream_.abort_response(command.client); }

void RequestForwarder::execute(const Reject& command) {
  downstream_.respond(command.client, 503,
                      command.retry_after_ms > 0 ? retry_after_header(command.retry_after_ms) : "", "");
}

void RequestForwarder::execute(const Fail& command) {
  downstream_.respond(command.client, command.status, "", "");
}

}  // namespace meadowgauge::proxy
