// Guards against a request that is executed twice. Runs random sequences of events, called days: the policy,
// the request table and the upstream connections against stand-in servers on loopback, whose records are
// checked. The test sets the clock; dials and responses stay pending in turns without socket events. Seeds
// are fixed.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>
#include <string>

#include "fixtures/rule_checker.hpp"
#include "protocol/http.hpp"
#include "proxy/request/table.hpp"
#include "proxy/upstream/idempotency_judge.hpp"
#include "proxy/upstream/upstreams.hpp"

namespace meadowgauge::test {
namespace {

constexpr int server_count = 6, place_count = 3;
constexpr std::uint64_t day_count = 32;
constexpr int turns = 400, max_final_turns = 300;
constexpr double dial_timeout_ms = 3000;  // exceeds the longest time without socket events
constexpr double max_body_ms = 3600000;

// Rules that the program is made to break, to test the judge.
enum class Fault : std::uint8_t { none, ignores_window, ignores_group, long_retry_after };

// One random sequence of events. Times are in ms.
class IdempotencyDay final : proxy::RequestActions {
 public:
  explicit IdempotencyDay(std::uint64_t seed, Fault fault = Fault::none)
      : random_(seed * 7919 + 3),
        fault_(fault),
        has_hedging_(seed % 2 == 0),
        key_ttl_ms_(key_ttl_ms(fault, random_.uniform())),
        policy_(settings(), seed, now_ms_) {
    for (int i = 0; i < server_count; ++i) {
      servers_.push_back(std::make_unique<StandIn>(loop_, judge, random_));
      EndpointIndex endpoint = upstreams_.index_of("s" + std::to_string(i));
      upstreams_.update_address(endpoint, servers_.back()->address(), 0, true);
      endpoint_entries_.push_back(
          {.endpoint = endpoint, .zone = i % place_count, .cell = i / 2, .weight = 1, .id = 1000u + i});
    }
    policy_.update_endpoints(EndpointListUpdate::full, endpoint_entries_, now_ms_);
  }

  void run() {
    for (int turn = 0; turn < turns && judge.breach.empty(); ++turn) {
      // A loop turn may take long: due times during the turn are handled late.
      turn_ms_ = random_.bernoulli(0.02) ? random_.between(50, 400) : random_.between(1, 15);
      now_ms_ += turn_ms_;
      if (random_.bernoulli(0.06)) no_socket_events_until_ms_ = now_ms_ + random_.between(50, 1500);
      if (random_.bernoulli(0.08)) move_server();
      take_turn(now_ms_ >= no_socket_events_until_ms_ && random_.bernoulli(0.8));
      for (int n = random_.below(3); n > 0; --n) add_request();
      run_servers();
    }
    for (int turn = 0; turn < max_final_turns && requests_.size() > 0 && judge.breach.empty(); ++turn) {
      now_ms_ += turn_ms_ = 20;
      take_turn(true);
      run_servers();
    }
    judge.over();
  }

  Judge judge;
  int withdrawn = 0;

 private:
  struct InFlight {
    std::shared_ptr<protocol::Message> message;
    std::string rest = {};  // part of the body that is not received yet
    double budget_ms = 0;
  };

  [[nodiscard]] Settings settings() const {
    auto s = settings_of({.dedup_window_ms = key_ttl_ms_, .copies = has_hedging_});
    s["limits.retry_after"] = "true";
    s["limits.max_retry_after_ms"] = "2000";
    return s;
  }

  // Log-uniform from 100 ms to 30 s. With a fault that ignores the window from 1 to 2 s: long enough for a
  // further attempt, and shorter than the time that the attempt may wait for its connection.
  static double key_ttl_ms(Fault fault, double uniform) {
    return fault == Fault::ignores_window ? 1000 * std::pow(2, uniform) : 100 * std::pow(300, uniform);
  }

  // Handles socket events, then outcomes, due times and clients, then requests to send: the balancer's order.
  void take_turn(bool has_socket_events) {
    if (has_socket_events) {
      loop_.wait(0);
      loop_.dispatch();
    }
    handle_events_and_due_times();
    if (now_ms_ >= tick_at_ms_) {
      static_cast<void>(policy_.tick(now_ms_));
      tick_at_ms_ = now_ms_ + policy_.tick_interval_ms();
    }
    continue_bodies();
    upstreams_.send_requests();
    handle_events_and_due_times();
    upstreams_.destroy_closed();
  }

  // Delivers all written bytes to the servers in their present zones and cells.
  void run_servers() {
    for (auto& server : servers_) server->receive(now_ms_);
    for (std::size_t i = 0; i < servers_.size(); ++i)
      servers_[i]->process_requests(
          endpoint_entries_[i].zone, endpoint_entries_[i].cell, now_ms_, [this](RequestId request_id) {
            return !has_hedging_ &&
                   std::ranges::any_of(servers_, [&](const auto& s) { return s->is_processing(request_id); });
          });
  }

  void handle_events_and_due_times() {
    do {
      for (auto& event : std::exchange(upstreams_.events(), {})) handle_upstream_event(event);
      while (auto key = due_.first(now_ms_))
        if (transport::kind_of(*key) == proxy::RequestTable::due_kind)
          requests_.decision_due(proxy::RequestNumber{transport::number_of(*key)}, now_ms_);
        else
          upstreams_.deadline_reached(*key);
    } while (!upstreams_.events().empty());
  }

  void add_request() {
    int request_class = random_.below(5);
    auto request_id = next_request_id_++;
    double budget_ms = random_.between(200, 6000);
    std::string body(static_cast<std::size_t>(random_.below(4000)), 'b');
    auto message = std::make_shared<protocol::Message>(pool_, protocol::Message::Kind::request,
                                                       protocol::Message::Body::streaming);
    message->feed("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: " + std::to_string(request_id) +
                  "\r\nIdempotency-Key: k\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    auto received_size = random_.bernoulli(0.1) ? static_cast<std::size_t>(random_.below(10)) : body.size();
    message->feed(body.substr(0, received_size));
    bool incoming = !message->complete();
    Request request{.request_class = request_class,
                    .arrived_ms = now_ms_,
                    .deadline_ms = now_ms_ + (incoming ? max_body_ms : budget_ms),
                    .large_body = incoming,
                    .body_incoming = incoming};
    judge.requests[request_id] = {
        .request_class = request_class, .due_ms = request.deadline_ms, .key_ttl_ms = key_ttl_ms_};
    in_flight_[request_id] = {.message = std::move(message),
                              .rest = incoming ? body.substr(received_size) : "",
                              .budget_ms = budget_ms};
    requests_.request_arrived(proxy::RequestNumber{request_id}, request, now_ms_);
  }

  // Receives the rest of the body of some requests.
  void continue_bodies() {
    for (auto& [request_id, in_flight] : in_flight_) {
      if (in_flight.rest.empty() || !random_.bernoulli(0.1)) continue;
      in_flight.message->feed(std::exchange(in_flight.rest, {}));
      double due_ms = now_ms_ + in_flight.budget_ms;
      judge.requests[request_id].due_ms = due_ms;
      auto attempt = attempt_id(request_id, last_attempt_[request_id]);
      upstreams_.set_limit(attempt,
                           requests_.body_complete(proxy::RequestNumber{request_id}, due_ms, now_ms_));
      upstreams_.continue_request(attempt);
    }
  }

  void move_server() {
    auto& entry = endpoint_entries_[static_cast<std::size_t>(random_.below(server_count))];
    entry.zone = random_.below(place_count);
    entry.cell = random_.below(place_count);
    policy_.update_endpoints(EndpointListUpdate::delta, {&entry, 1}, now_ms_);
    requests_.endpoints_updated();
  }

  void handle_upstream_event(const proxy::AttemptEvent& event) {
    if (event.kind != proxy::AttemptEvent::Kind::completed) return;
    auto request_id = event.attempt >> 3;
    bool open = requests_.is_open(proxy::RequestNumber{request_id}),
         succeeded = event.outcome == Outcome::succeeded;
    if (auto in_flight = in_flight_.find(request_id);
        in_flight != in_flight_.end() && in_flight->second.message->partly_forwarded())
      requests_.body_forwarded(proxy::RequestNumber{request_id});
    if (open && succeeded) answered(request_id, -1);
    requests_.attempt_ended(proxy::RequestNumber{request_id},
                            {.attempt = static_cast<int>(event.attempt & 7),
                             .outcome = event.outcome,
                             .request_closed = !open || succeeded,
                             .load_report = {}},
                            now_ms_);
  }

  void answered(RequestId request_id, double retry_after_ms) {
    judge.answered(request_id, now_ms_, turn_ms_, retry_after_ms);
    for (int number = 0; number < max_attempts; ++number)
      upstreams_.abandon_unsent(attempt_id(request_id, number));
  }

  static proxy::AttemptId attempt_id(RequestId request_id, int number) {
    return request_id << 3 | static_cast<proxy::AttemptId>(number);
  }

  // RequestActions.
  void start_attempt(proxy::RequestNumber request, int number, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override {
    auto request_id = to_integer(request);
    last_attempt_[request_id] = number;
    auto& in_flight = in_flight_.at(request_id);
    double send_by_ms = timeout.send_by_ms;
    if (fault_ == Fault::ignores_window) send_by_ms = never;
    upstreams_.start(
        attempt_id(request_id, number), endpoint, in_flight.message,
        {.limit_ms = timeout.limit_ms, .send_by_ms = send_by_ms, .streaming_budget_ms = in_flight.budget_ms});
  }
  void reject(proxy::RequestNumber request, double retry_after_ms, RejectionReason) override {
    answered(to_integer(request),
             fault_ == Fault::long_retry_after ? retry_after_ms + key_ttl_ms_ : retry_after_ms);
  }
  void fail(proxy::RequestNumber request, RejectionReason) override { answered(to_integer(request), -1); }
  void cancel_attempt(proxy::RequestNumber request, int number) override {
    auto id = attempt_id(to_integer(request), number);
    if (upstreams_.cancel(id)) upstreams_.events().push_back({.attempt = id, .outcome = Outcome::cancelled});
  }
  void limit_sending(proxy::RequestNumber request, int number, double send_by_ms) override {
    if (fault_ == Fault::ignores_window) return;
    upstreams_.limit_sending(attempt_id(to_integer(request), number), send_by_ms);
  }
  void withdraw_attempt(proxy::RequestNumber request, int number) override {
    if (fault_ == Fault::ignores_group) return;
    auto events = upstreams_.events().size();
    upstreams_.abandon_unsent(attempt_id(to_integer(request), number));
    if (upstreams_.events().size() > events) ++withdrawn;
  }
  void probe(EndpointIndex) override {}
  void released(proxy::RequestNumber request) override { in_flight_.erase(to_integer(request)); }

  double now_ms_ = 100000, tick_at_ms_ = now_ms_, turn_ms_ = 0;
  double no_socket_events_until_ms_ = 0;  // socket events are handled from this time on
  RandomSource random_;
  Fault fault_;
  bool has_hedging_;
  double key_ttl_ms_;
  transport::Loop loop_;
  transport::Pool pool_{4096};
  transport::DueTimes due_;
  Policy policy_;
  std::vector<std::unique_ptr<StandIn>> servers_;
  std::vector<EndpointEntry> endpoint_entries_;
  std::map<RequestId, InFlight> in_flight_;
  std::map<RequestId, int> last_attempt_;
  proxy::Upstreams upstreams_{{.loop = loop_, .buffers = pool_, .due_times = due_, .now_ms = now_ms_},
                              {.dial_timeout_ms = dial_timeout_ms},
                              proxy::Logger(),
                              [] { return false; }};
  proxy::RequestTable requests_{policy_, due_, *this};
  RequestId next_request_id_ = 1;
};

// Guards against a second execution outside the group or the window of the idempotency key, and against a
// request without exactly one final answer.
TEST(IdempotencyDays, NoSecondRunOutsideGroupOrWindowOneAnswerEach) {
  int repeated_runs = 0, rejected_after_run = 0, withdrawn = 0;
  for (std::uint64_t seed = 1; seed <= day_count; ++seed) {
    IdempotencyDay day(seed);
    day.run();
    ASSERT_EQ(day.judge.breach, "") << "seed " << seed;
    repeated_runs += day.judge.repeated_runs;
    rejected_after_run += day.judge.rejected_after_run;
    withdrawn += day.withdrawn;
  }
  // The days contain every case that the judge checks.
  EXPECT_GT(repeated_runs, 100);
  EXPECT_GT(rejected_after_run, 10);
  EXPECT_GT(withdrawn, 10);
}

// A broken rule, and the breach that the judge must report.
struct FaultCase {
  Fault fault;
  const char* expected_breach;
};

class TheJudge : public testing::TestWithParam<FaultCase> {};

// A day shows the breach only if an attempt waits for a connection at the right moment, one day in 25 or
// fewer.
constexpr std::uint64_t max_judged_days = 400;

// Guards against a judge that misses breaches.
TEST_P(TheJudge, ReportsTheBrokenRule) {
  for (std::uint64_t seed = 1; seed <= max_judged_days; ++seed) {
    IdempotencyDay day(seed, GetParam().fault);
    day.run();
    if (day.judge.breach.find(GetParam().expected_breach) != std::string::npos) return;
  }
  ADD_FAILURE() << "breach not reported: " << GetParam().expected_breach;
}

INSTANTIATE_TEST_SUITE_P(Days, TheJudge,
                         testing::Values(FaultCase{Fault::ignores_window, "ran past its window"},
                                         FaultCase{Fault::ignores_group, "ran in another"},
                                         FaultCase{Fault::long_retry_after,
                                                   "told to retry past its window"}));

}  // namespace
}  // namespace meadowgauge::test
