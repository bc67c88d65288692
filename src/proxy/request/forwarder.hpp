// Forwards requests from admission to the final response. Passes the events of a loop turn to the policy,
// then executes the resulting commands on the client and upstream connections.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "policy/policy.hpp"
#include "proxy/discovery/initial_list.hpp"
#include "proxy/downstream/connections.hpp"
#include "proxy/endpoint/directory.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/logger.hpp"
#include "proxy/metrics.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/request/admission.hpp"
#include "proxy/request/filter.hpp"
#include "proxy/request/request_ids.hpp"
#include "proxy/request/table.hpp"
#include "proxy/upstream/upstreams.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

// Connects DownstreamConnections, the policy and Upstreams. Owns the requests in flight.
class RequestForwarder final : RequestActions {
 public:
  // All parts outlive the forwarder.
  struct Parts {
    const ProxySettings& settings;
    const double& now_ms;  // time of the loop turn
    transport::DueTimes& due_times;
    Policy& policy;
    Upstreams& upstreams;
    DownstreamConnections& downstream;
    const EndpointDirectory& endpoints;
    const GracefulShutdown& shutdown;
    const InitialList& initial_list;
    RequestCounters& counters;
  };

  RequestForwarder(const Parts& parts, Logger log);

  // `filter`: checked for each request before the policy decides; outlives the forwarder. Null: no check.
  void set_request_filter(RequestFilter* filter) { request_filter_ = filter; }

  // Shares the ids of requests whose effect may still come with other processes, see RequestIds::share().
  void share_request_ids(std::span<RequestIds::Slot> slots) { request_ids_.share(slots); }

  // Events of a loop turn. The caller passes upstream events first, because they free capacity for new
  // requests.
  void upstream_event(AttemptEvent& event);
  void downstream_event(DownstreamEvent& event);
  // The request's next decision is due.
  void decision_due(RequestNumber number) { requests_.decision_due(number, now_ms_); }
  // The endpoint list has changed: withdraws unsent attempts at endpoints that are no longer permitted.
  void endpoints_updated() { requests_.endpoints_updated(); }
  // Executes the commands queued since the last call.
  void carry_out();
  [[nodiscard]] bool has_commands() const { return !commands_.empty(); }

  // At the end of a graceful shutdown: responds with status 500 to each unanswered request.
  void fail_unanswered();
  // Whether any request in flight has an attempt at `endpoint`, in flight or ended.
  [[nodiscard]] bool has_attempted(EndpointIndex endpoint) const { return requests_.has_attempted(endpoint); }

 private:
  // A request's client, and its bytes as long as an attempt may need them. RequestTable holds the request's
  // state.
  struct InFlightRequest {
    ClientId client = 0;
    std::string id = {};
    SharedMessage message = {};  // null once no further attempt can follow: its buffers serve other requests
    double budget_ms = 0;
    double due_ms = 0;  // when the final response is due
    int request_class = 0;
    int latest_attempt = -1;       // started last; -1: none
    int streaming_attempt = -1;    // whose response streams to the client; -1: none
    bool body_incoming = false;    // part of the body has not been received yet
    bool must_not_repeat = false;  // its id is in request_ids_
    bool client_left = false;
    bool effect_may_come = false;  // an attempt that has ended here may take effect, or has done so unnoticed
    int failure_status = 0;        // HTTP status for the outcome of the last ended attempt; 0: none has ended
  };

  // Commands, executed in the order in which the policy decided on them.
  struct StartAttempt {
    RequestNumber request;
    int attempt;
    EndpointIndex endpoint;
    double limit_ms;
    double send_by_ms;
  };
  struct LimitSending {
    RequestNumber request;
    int attempt;
    double send_by_ms;
  };
  struct StartProbe {
    EndpointIndex endpoint;
  };
  struct CancelAttempt {
    RequestNumber request;
    int attempt;
  };
  struct SendResponse {  // complete response
    ClientId client;
    SharedMessage response;
  };
  struct BeginResponse {  // streamed response
    ClientId client;
    SharedMessage response;
  };
  struct ContinueResponse {
    ClientId client;
  };
  struct AbortResponse {  // the upstream connection broke
    ClientId client;
  };
  struct Reject {
    ClientId client;
    double retry_after_ms;
  };
  struct Fail {
    ClientId client;
    int status;
  };
  using Command = std::variant<StartAttempt, LimitSending, StartProbe, CancelAttempt, SendResponse,
                               BeginResponse, ContinueResponse, AbortResponse, Reject, Fail>;

  // RequestActions: queue commands.
  void start_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override;
  void reject(RequestNumber number, double retry_after_ms, RejectionReason reason) override;
  void fail(RequestNumber number, RejectionReason reason) override;
  void cancel_attempt(RequestNumber number, int attempt) override;
  void limit_sending(RequestNumber number, int attempt, double send_by_ms) override;
  void withdraw_attempt(RequestNumber number, int attempt) override;
  void probe(EndpointIndex endpoint) override;
  void released(RequestNumber number) override;

  void execute(const StartAttempt& command);
  void execute(const LimitSending& command);
  void execute(const StartProbe& command);
  void execute(const CancelAttempt& command);
  void execute(SendResponse& command);
  void execute(BeginResponse& command);
  void execute(const ContinueResponse& command);
  void execute(const AbortResponse& command);
  void execute(const Reject& command);
  void execute(const Fail& command);

  // From clients.
  void request_received(DownstreamEvent& event);
  void respond_to_local_path(const DownstreamEvent& event);
  void refuse(ClientId client, const Refusal& refusal);
  void dispatch(DownstreamEvent& event, const AdmittedRequest& admitted);
  void body_received(ClientId client);
  void response_taken(ClientId client);
  void response_due(ClientId client);
  void client_gone(ClientId client);

  // From upstreams.
  void response_started(AttemptEvent& event);
  void attempt_ended(AttemptEvent& event);
  [[nodiscard]] LoadReport load_report(const AttemptEvent& event) const;

  // Log lines. log_rejection() also counts the reason.
  void log_rejection(RequestNumber number, std::string_view outcome, RejectionReason reason);
  void log_failed_attempt(RequestNumber number, int attempt, const AttemptEvent& event) const;
  void log_further_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                           const AttemptTimeout& timeout) const;
  void log_client_gone(RequestNumber number) const;
  // When the final response to a request with this budget is due. `arrived_ms`: when its last byte arrived.
  [[nodiscard]] double response_due_ms(double arrived_ms, double budget_ms) const;
  // The client of an unanswered request; absent if the request is answered or its client has left.
  [[nodiscard]] std::optional<ClientId> unanswered_client(RequestNumber number) const;
  ClientId close_request(RequestNumber number);
  void abandon_unsent_attempts(RequestNumber number);

  const ProxySettings& settings_;
  const double& now_ms_;
  Policy& policy_;
  Upstreams& upstreams_;
  DownstreamConnections& downstream_;
  const EndpointDirectory& endpoints_;
  const GracefulShutdown& shutdown_;
  const InitialList& initial_list_;
  RequestCounters& counters_;
  Logger log_;
  RequestAdmission admission_;
  RequestTable requests_;
  std::vector<std::string_view> load_report_columns_;
  RequestFilter* request_filter_ = nullptr;

  std::unordered_map<RequestNumber, InFlightRequest> in_flight_;
  std::unordered_map<ClientId, RequestNumber> unanswered_;  // by client
  std::unordered_set<std::string_view> unanswered_ids_;     // views into in_flight_
  RequestIds request_ids_;
  std::vector<Command> commands_;
  std::uint64_t next_number_ = 1;
  std::optional<RequestNumber> last_rejected_;
};

}  // namespace meadowgauge::proxy
