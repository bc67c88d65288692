// The log lines of RequestForwarder. Each line names the request by its id or number. Lines below the log
// level are not formatted.
#include <array>
#include <cmath>
#include <string>

#include "proxy/request/forwarder.hpp"

namespace meadowgauge::proxy {

namespace {

std::string_view outcome_name(Outcome outcome) {
  constexpr std::array<std::string_view, 8> outcome_names = {
      "succeeded", "error", "rejected", "timed out", "unreachable", "reset", "cancelled", "superseded"};
  return outcome_names[static_cast<std::size_t>(outcome)];
}

std::string rounded_ms(double ms) { return std::to_string(std::lround(ms)) + " ms"; }

}  // namespace

// Logs the client's request id, because it is the same at every balancer that the request passes. Also counts
// the reason.
void RequestForwarder::log_rejection(RequestNumber number, std::string_view outcome, RejectionReason reason) {
  const auto& request = in_flight_.at(number);
  auto request_class = static_cast<std::size_t>(request.request_class);
  ++counters_.request_classes[request_class].reasons[static_cast<std::size_t>(reason)];
  if (!log_.wants(Level::debug)) return;
  auto reason_name = reason_names[static_cast<std::size_t>(reason)];
  const std::string_view id = request.id;
  const auto& class_name = settings_.request_classes[request_class].name;
  log_(Level::debug,
       std::string("request ").append(id) + " of " + class_name + " " + std::string(outcome) + ": " +
           std::string(reason_name) + ", " + std::to_string(requests_.size()) + " in flight",
       {{"request_id", id},
        {"class", class_name},
        {"reason", reason_name},
        {"in_flight", static_cast<double>(requests_.size())}});
}

void RequestForwarder::log_failed_attempt(RequestNumber number, int attempt,
                                          const AttemptEvent& event) const {
  if (!log_.wants(Level::debug)) return;
  const auto& endpoint = upstreams_.endpoints().name(event.endpoint);
  double duration_ms = now_ms_ - event.started_at_ms;
  log_(Level::debug,
       std::string("attempt ").append(std::to_string(attempt)) + " of request " +
           std::to_string(to_integer(number)) + " to " + endpoint + ": " +
           std::string(outcome_name(event.outcome)) + " after " + rounded_ms(duration_ms),
       {{"request", static_cast<double>(to_integer(number))},
        {"attempt", static_cast<double>(attempt)},
        {"endpoint", endpoint},
        {"outcome", outcome_name(event.outcome)},
        {"duration_ms", duration_ms}});
}

// Logs why a retry or hedged request was allowed. Together with the line logged when an attempt's last byte
// is sent (upstream/exchange.cpp), it explains why a request was executed twice.
void RequestForwarder::log_further_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                                           const AttemptTimeout& timeout) const {
  if (attempt == 0 || !log_.wants(Level::debug)) return;
  auto judgement = requests_.repeat_judgement(number, now_ms_);
  auto basis = repeat_basis_names[static_cast<std::size_t>(judgement.basis)];
  const std::string_view id = in_flight_.at(number).id;
  const auto& name = upstreams_.endpoints().name(endpoint);
  log_(Level::debug,
       std::string("request ").append(id) + ": attempt " + std::to_string(attempt) + " to " + name +
           " allowed: " + std::string(basis) + ", group " + std::string(judgement.group) + " (zone " +
           std::to_string(judgement.zone) + ", cell " + std::to_string(judgement.cell) +
           "), the earliest that may have run " + rounded_ms(judgement.earliest_age_ms) + " ago, window " +
           rounded_ms(judgement.window_ms),
       {{"request_id", id},
        {"attempt", static_cast<double>(attempt)},
        {"endpoint", name},
        {"allowed_by", basis},
        {"group", judgement.group},
        {"zone", static_cast<double>(judgement.zone)},
        {"cell", static_cast<double>(judgement.cell)},
        {"earliest_age_ms", judgement.earliest_age_ms},
        {"window_ms", judgement.window_ms},
        {"send_by_ms", timeout.send_by_ms}});
}

void RequestForwarder::log_client_gone(RequestNumber number) const {
  if (!log_.wants(Level::debug)) return;
  auto describe = [this](EndpointIndex endpoint, double sent_at_ms) {
    return " " + upstreams_.endpoints().name(endpoint) + " for " + rounded_ms(now_ms_ - sent_at_ms);
  };
  log_(Level::debug,
       std::string("request ").append(std::to_string(to_integer(number))) +
           ": client disconnected; attempts in flight:" + requests_.describe_attempts(number, describe),
       {{"request", static_cast<double>(to_integer(number))}});
}

}  // namespace meadowgauge::proxy
