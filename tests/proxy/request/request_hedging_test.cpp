// RequestTable with hedged requests: the latest time at which an attempt may be sent if it is still waiting
// for its connection.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "proxy/request/table.hpp"

namespace meadowgauge::proxy {
namespace {

constexpr double window_ms = 500;  // servers remember an idempotency key for this time

// Two endpoints, and one request class with an idempotency key. Records the latest time at which each attempt
// of the hedged request may be sent.
class RequestHedgingTest : public testing::Test, protected RequestActions {
 protected:
  RequestHedgingTest() {
    const std::vector<EndpointEntry> endpoints{{.endpoint = EndpointIndex{0}, .weight = 1},
                                               {.endpoint = EndpointIndex{1}, .weight = 1}};
    policy_.update_endpoints(EndpointListUpdate::full, endpoints, 0);
  }

  void start_attempt(RequestNumber request, int attempt, EndpointIndex endpoint,
                     const AttemptTimeout& timeout) override {
    endpoints_[request] = endpoint;
    if (request == hedged) send_by_ms_[attempt] = now_ms_ + timeout.send_by_ms;
  }
  void limit_sending(RequestNumber request, int attempt, double send_by_ms) override {
    if (request == hedged) send_by_ms_[attempt] = now_ms_ + send_by_ms;
  }
  void reject(RequestNumber, double, RejectionReason) override {}
  void fail(RequestNumber, RejectionReason) override {}
  void cancel_attempt(RequestNumber, int) override {}
  void probe(EndpointIndex) override {}

  // Sends another request. It is answered at once, unless it goes to the unresponsive endpoint.
  void serve_other_request() {
    RequestNumber number{next_number_++};
    table_.request_arrived(number, {.arrived_ms = now_ms_, .deadline_ms = now_ms_ + 5000}, now_ms_);
    if (endpoints_[number] == endpoints_[hedged]) return;
    table_.attempt_ended(number, {.attempt = 0, .request_closed = true, .load_report = {}}, now_ms_);
  }

  static constexpr RequestNumber hedged{1};
  Policy policy_{{{"path_prefixes.count", "1"},
                  {"path_prefixes.0.repeat", "deduplicated"},
                  {"path_prefixes.0.group", "all"},
                  {"path_prefixes.0.key_ttl_ms", "500"},
                  {"path_prefixes.0.target_latency_ms", "2000"},
                  {"path_prefixes.0.client_timeout_ms", "6000"},
                  {"path_prefixes.0.earnings", "1"},
                  {"limits.max_backend_fetches", "4"},
                  {"limits.second_copies", "true"},
                  {"discovery", "subscribe"}},
                 1,
                 0};
  transport::DueTimes due_;
  RequestTable table_{policy_, due_, *this};
  double now_ms_ = 0;
  std::uint64_t next_number_ = 2;
  std::map<RequestNumber, EndpointIndex> endpoints_;
  std::map<int, double> send_by_ms_;  // by attempt of the hedged request, in ms of the test's clock
};

// Guards against a request that is executed twice: the first attempt waits for a connection while the hedge
// runs, and is sent after the servers have forgotten the idempotency key of the hedge.
TEST_F(RequestHedgingTest, FirstAttemptIsNotSentAfterWindowOfHedge) {
  constexpr double step_ms = 7;  // the endpoint counts as unresponsive a little after the first due time
  table_.request_arrived(hedged, {.arrived_ms = 0, .deadline_ms = 5000}, 0);
  while (send_by_ms_.size() < 2 && now_ms_ < 2000) {
    now_ms_ += step_ms;
    serve_other_request();
    while (auto key = due_.first(now_ms_))
      table_.decision_due(RequestNumber{transport::number_of(*key)}, now_ms_);
  }
  ASSERT_EQ(send_by_ms_.size(), 2U) << "the request was not hedged";
  EXPECT_LE(send_by_ms_.at(0), now_ms_ + window_ms);
  EXPECT_LE(send_by_ms_.at(1), window_ms);
}

}  // namespace
}  // namespace meadowgauge::proxy
