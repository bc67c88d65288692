// A model of a balancer on a simulated clock: the real policy, request table and upstream attempts with
// simulated servers, connections and clients. Uses no sockets and does not sleep. Times are in ms.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "proxy/request/table.hpp"
#include "proxy/upstream/attempt.hpp"
#include "proxy/upstream/idempotency_judge.hpp"
#include "proxy/upstream/repeat_checker.hpp"

namespace meadowgauge::test {

// Faults for tests of the checker: disabled parts of the balancer, and one that no balancer can prevent.
enum class ModelFault : std::uint8_t {
  none,
  no_send_deadline,  // AttemptTimeout::send_by_ms is ignored
  no_withdrawal,     // attempts continue although their server has moved to another group
  long_retry_after,  // rejected clients are told to retry after the window
  late_last_byte,    // a slow server reads the last byte long after it was written
};

// When a request is written to a connection that became ready in a turn of the loop.
enum class WriteOrder : std::uint8_t {
  on_socket_event,  // at once, before the list and the due times of the same turn
  after_due_times,  // after both
};

// The order of the balancer's loop; must match Balancer::run().
constexpr WriteOrder balancer_write_order = WriteOrder::after_due_times;

struct ModelSettings {
  std::uint64_t seed = 0;
  double min_window_ms = 300;  // the window is drawn log-uniformly from this range
  double max_window_ms = 30000;
  double max_pause_ms = 150;  // maximum pause between the reading of the clock and the write
  bool hedging = true;
  double parts_share = 0.3;          // share of the requests that are written in parts
  double pause_share = 0.05;         // probability of a pause at each point of a turn where one is possible
  bool lists_in_write_turns = true;  // lists may arrive in a turn in which a connection becomes ready
  WriteOrder write_order = balancer_write_order;
  ModelFault fault = ModelFault::none;
  double configured_window_ratio = 1;  // the policy's window setting as a share of the window
  int requests = 50;                   // without repetitions by clients
  bool keeps_history = false;
};

constexpr proxy::RequestNumber request_of(proxy::AttemptId id) {
  return proxy::RequestNumber{id >> proxy::attempt_number_bits};
}
constexpr proxy::AttemptId attempt_id(proxy::RequestNumber number, int attempt) {
  return to_integer(number) << proxy::attempt_number_bits | static_cast<proxy::AttemptId>(attempt);
}

// Runs one random sequence of events, determined by the seed.
class IdempotencyModel final : proxy::RequestActions {
 public:
  explicit IdempotencyModel(const ModelSettings& settings);

  // Runs until all requests are over.
  void run();

  [[nodiscard]] const RepeatChecker& checker() const { return checker_; }
  [[nodiscard]] double window_ms() const { return window_ms_; }
  [[nodiscard]] int request_count() const { return static_cast<int>(next_call_ - 1); }
  // The events of a request, one line each; empty unless `keeps_history` is set.
  [[nodiscard]] const std::string& history(CallId call) { return history_[call]; }

  int withdrawn = 0;                  // attempts withdrawn because of a list
  int hedged = 0;                     // hedged attempts
  int unsent_at_send_deadline = 0;    // attempts that ended as never sent at their send deadline
  int lists_in_connection_turns = 0;  // dials that succeeded in the turn of a list that changes their server

 private:
  static constexpr int server_count = 8, zone_count = 2, cell_count = 3;
  static constexpr std::uint8_t attempt_due_kind = 1, connection_due_kind = 2;

  // A name in the endpoint list, and the process that serves under this name.
  struct Server {
    Place place;
    bool is_listed = true;
    bool is_draining = false;
    double up_since_ms = 0;
    int process = 0;                // the running process
    int listed_process = 0;         // the process in the balancer's list
    std::size_t reached = 0;        // the server that a dial to this server's address reaches
    double receiving_until_ms = 0;  // when the last byte under way to the server is received
    bool has_unlisted_change = false;

    [[nodiscard]] bool accepts_attempts() const { return is_listed && !is_draining; }
  };
  struct Connection {
    enum class State : std::uint8_t { dialling, settling, idle, in_flight };
    enum class Event : std::uint8_t { none, dial_succeeded, writable, response, broken };
    State state = State::dialling;
    std::size_t server = 0;
    int listed_process = 0;   // the server's listed process at the dial
    std::size_t reached = 0;  // the server that accepted the connection
    int process = 0;          // the process that accepted the connection
    proxy::AttemptId attempt = 0;
    Event event = Event::none;  // the next event of the socket
    double event_at_ms = never;
    Outcome outcome = Outcome::succeeded;  // of the response
    double due_ms = never;                 // end of the dial or of settling
  };
  struct ActiveAttempt {
    proxy::UpstreamAttempt value;
    int parts_left = 1;  // parts of the request still to be written
    double send_by_ms = never;
  };
  struct Call {
    Request request;
    double client_leaves_at_ms = never;
  };
  struct Command {
    proxy::RequestNumber request{0};
    int attempt = 0;
    EndpointIndex endpoint = no_endpoint;  // no_endpoint: cancels the attempt
    AttemptTimeout timeout;
  };
  struct AttemptEnd {
    proxy::AttemptId attempt = 0;
    Outcome outcome = Outcome::error;
  };
  using Connections = std::map<proxy::ConnectionId, Connection>;
  using Attempts = std::map<proxy::AttemptId, ActiveAttempt>;

  [[nodiscard]] Settings policy_settings() const;
  void list_all();

  // The loop. The order of its steps must match Balancer::run() and Balancer::gather_events().
  void take_turn();
  void maybe_pause();
  [[nodiscard]] double next_event_ms() const;
  void socket_events();
  void lists();
  void outcomes();
  void due_times();
  void write_to_ready_connections();
  void new_requests();
  void clients_leave();
  void commands();
  void tick();

  // Whether the balancer may write to the attempt's connection by the clock of this turn.
  [[nodiscard]] bool may_be_written(const ActiveAttempt& attempt) const;

  // Attempts and connections; must match the behaviour of Upstreams.
  void start(proxy::AttemptId id, std::size_t server, const AttemptTimeout& timeout);
  void cancel(proxy::AttemptId id);
  bool abandon_unsent(proxy::AttemptId id);
  void abandon_unsent_attempts(proxy::RequestNumber number);
  void attempt_due(proxy::AttemptId id);
  void release_connection(proxy::AttemptId id);
  void complete(proxy::AttemptId id, Outcome outcome);
  void set_due(proxy::AttemptId id, ActiveAttempt& attempt, double at_ms);
  void dial_for_waiting(std::size_t server);
  void fail_next_waiting(std::size_t server);
  void dial(std::size_t server);
  void socket_ready(proxy::ConnectionId id);
  void dial_succeeded(proxy::ConnectionId id);
  void write_to(proxy::ConnectionId id);
  void connection_due(proxy::ConnectionId id);
  void connection_available(proxy::ConnectionId id);
  void begin_request(proxy::ConnectionId id, proxy::AttemptId attempt);
  void write(proxy::ConnectionId id);
  void connection_ended(proxy::ConnectionId id);
  void close(proxy::ConnectionId id);
  void close_idle(std::size_t server);
  void stop_attempts(std::size_t server);
  void set_connection_due(proxy::ConnectionId id, double at_ms);

  // Servers and clients.
  void last_byte_written(Connection& connection);
  // Draws the response to a request; true if the server rejects the request.
  bool draw_response(Connection& connection, double received_at_ms);
  void servers_change();
  [[nodiscard]] std::size_t server_of_unsent_attempt(std::size_t otherwise) const;
  [[nodiscard]] bool has_ready_connection(std::size_t server) const;
  // The server of a connection that becomes ready in this turn for a retry or a hedged attempt; server_count
  // if there is none.
  [[nodiscard]] std::size_t server_about_to_be_written() const;
  void change(std::size_t index);
  void replace_process(std::size_t index);
  void take_address_of(std::size_t index);
  [[nodiscard]] Place draw_place();
  [[nodiscard]] std::vector<EndpointEntry> entries(bool changed_only) const;
  void request_arrives(int request_class);
  [[nodiscard]] int attempts_in_flight(proxy::RequestNumber number) const;
  void note(proxy::RequestNumber number, const std::string& text);

  // RequestActions.
  void start_attempt(proxy::RequestNumber number, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override;
  void reject(proxy::RequestNumber number, double retry_after_ms, RejectionReason reason) override;
  void fail(proxy::RequestNumber number, RejectionReason reason) override;
  void cancel_attempt(proxy::RequestNumber number, int attempt) override;
  void limit_sending(proxy::RequestNumber number, int attempt, double send_by_ms) override;
  void withdraw_attempt(proxy::RequestNumber number, int attempt) override;
  void probe(EndpointIndex) override {}
  void released(proxy::RequestNumber number) override;

  ModelSettings settings_;
  RandomSource random_;
  double window_ms_;
  double dial_timeout_ms_;
  static constexpr double began_ms = 100000;
  double real_ms_ = began_ms;   // the actual simulated time
  double clock_ms_ = real_ms_;  // the balancer's clock, read at the beginning of the turn
  double pause_ms_ = 0;         // length of the pause in this turn, if any
  double next_request_at_ms_ = real_ms_;
  double next_change_at_ms_ = real_ms_;
  double next_tick_at_ms_ = real_ms_;
  Policy policy_;
  transport::DueTimes due_;
  proxy::RequestTable table_{policy_, due_, *this};
  RepeatChecker checker_;
  std::array<Server, server_count> servers_;
  std::array<std::deque<proxy::AttemptId>, server_count> waiting_;  // for a connection, by server
  Connections connections_;
  Attempts attempts_;
  std::map<proxy::RequestNumber, Call> calls_;          // open requests
  std::vector<std::pair<double, int>> repetitions_;     // time and class of requests that clients repeat
  std::vector<proxy::ConnectionId> ready_connections_;  // to be written to in this turn
  std::vector<AttemptEnd> ends_;
  std::vector<Command> commands_;
  std::map<CallId, std::string> history_;
  proxy::ConnectionId next_connection_ = 1;
  CallId next_call_ = 1;
  int arrivals_ = 0;
};

}  // namespace meadowgauge::test
