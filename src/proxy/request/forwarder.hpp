// The way of a request through the proxy: admitted at the edge, decided on by the policy, attempted at
// upstreams, responded to. Hands the events of a turn to the policy, and then carries out the actions that it
// decided on.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "policy/policy.hpp"
#include "proxy/downstream/connections.hpp"
#include "proxy/endpoint/directory.hpp"
#include "proxy/graceful_shutdown.hpp"
#include "proxy/logger.hpp"
#include "proxy/metrics.hpp"
#include "proxy/proxy_settings.hpp"
#include "proxy/request/admission.hpp"
#include "proxy/request/filter.hpp"
#include "proxy/request/table.hpp"
#include "proxy/upstream/upstreams.hpp"
#include "transport/due_times.hpp"

namespace meadowgauge::proxy {

class RequestForwarder final : RequestActions {
 public:
  // What it works with; all of it outlives the forwarder.
  struct Parts {
    const ProxySettings& settings;
    const double& now_ms;  // the turn's reading of the clock, in ms
    transport::DueTimes& due_times;
    Policy& policy;
    Upstreams& upstreams;
    DownstreamConnections& downstream;
    const EndpointDirectory& endpoints;
    const GracefulShutdown& shutdown;
    RequestCounters& counters;
  };

  RequestForwarder(const Parts& parts, Logger log);

  // Asked for each request before the policy is; outlives this. None: nothing is asked.
  void set_request_filter(RequestFilter* filter) { request_filter_ = filter; }

  // Events of a turn. Those of upstreams come first: what they free is there for requests that have just
  // come.
  void upstream_event(AttemptEvent& event);
  void downstream_event(DownstreamEvent& event);
  // The time has come at which the policy wanted to be asked again about a request.
  void decision_due(RequestNumber number) { requests_.decision_due(number, now_ms_); }
  // The endpoint list has changed: what waits to be sent to a server may no longer be allowed there.
  void endpoints_updated() { requests_.endpoints_updated(); }
  // Carries out what the policy has decided since the last call.
  void carry_out();
  [[nodiscard]] bool has_commands() const { return !commands_.empty(); }

  // At the end of the process: responds with a failure to each request that has no final response yet.
  void fail_unanswered();
  // Whether a request in flight has been attempted there, whatever came of it.
  [[nodiscard]] bool has_attempted(EndpointIndex endpoint) const { return requests_.has_attempted(endpoint); }

 private:
  // A request's client, and its bytes as long as an attempt may need them. Its state is RequestTable's.
  struct InFlightRequest {
    ClientId client = 0;
    SharedMessage message;
    double budget_ms = 0, due_ms = 0;
    int request_class = 0;
    int latest_attempt = -1;     // the one that responds, once one does
    bool body_incoming = false;  // the rest of its body is still to come
    int failure_status = 0;      // the status that tells best how its attempts went; 0: none has ended
  };

  // What is to be carried out, in the order in which it was decided on.
  struct StartAttempt {
    RequestNumber request;
    int attempt;
    EndpointIndex endpoint;
    double limit_ms;
    double send_by_ms;
  };
  struct StartProbe {
    EndpointIndex endpoint;
  };
  struct CancelAttempt {
    RequestNumber request;
    int attempt;
  };
  struct SendResponse {  // a complete one
    ClientId client;
    SharedMessage response;
  };
  struct BeginResponse {  // one that streams
    ClientId client;
    SharedMessage response;
  };
  struct ContinueResponse {
    ClientId client;
  };
  struct AbortResponse {  // its upstream broke
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
  using Command = std::variant<StartAttempt, StartProbe, CancelAttempt, SendResponse, BeginResponse,
                               ContinueResponse, AbortResponse, Reject, Fail>;

  // RequestActions: each is queued as a command.
  void start_attempt(RequestNumber number, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override;
  void reject(RequestNumber number, double retry_after_ms, RejectionReason reason) override;
  void fail(RequestNumber number, RejectionReason reason) override;
  void cancel_attempt(RequestNumber number, int attempt) override;
  void withdraw_attempt(RequestNumber number, int attempt) override;
  void probe(EndpointIndex endpoint) override;
  void released(RequestNumber number) override;

  void execute(const StartAttempt& command);
  void execute(const StartProbe& command);
  void execute(const CancelAttempt& command);
  void execute(const SendResponse& command);
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
  void client_gone(ClientId client);

  // From upstreams.
  void response_started(AttemptEvent& event);
  void attempt_ended(AttemptEvent& event);
  [[nodiscard]] LoadReport load_report(const AttemptEvent& event) const;

  // The log; a rejection is counted there too.
  void log_rejection(RequestNumber number, std::string_view how, RejectionReason reason);
  void log_failed_attempt(RequestNumber number, int attempt, const AttemptEvent& event) const;
  void log_client_gone(RequestNumber number) const;
  [[nodiscard]] double due_for(double budget_ms) const;
  // The client of a request that is not done; absent where there is none.
  [[nodiscard]] std::optional<ClientId> waiting_client(RequestNumber number) const;
  ClientId close_request(RequestNumber number);
  void abandon_unsent_attempts(RequestNumber number);

  const ProxySettings& settings_;
  const double& now_ms_;
  Policy& policy_;
  Upstreams& upstreams_;
  DownstreamConnections& downstream_;
  const EndpointDirectory& endpoints_;
  const GracefulShutdown& shutdown_;
  RequestCounters& counters_;
  Logger log_;
  RequestAdmission admission_;
  RequestTable requests_;
  std::vector<std::string_view> load_report_columns_;
  RequestFilter* request_filter_ = nullptr;

  std::unordered_map<RequestNumber, InFlightRequest> in_flight_;
  std::unordered_map<ClientId, RequestNumber> unanswered_;  // by client
  std::unordered_set<std::string_view> unanswered_ids_;     // in the bytes of their messages
  std::vector<Command> commands_;
  std::uint64_t next_number_ = 1;
  std::optional<RequestNumber> last_rejected_;
};

}  // namespace meadowgauge::proxy
