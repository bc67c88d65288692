// The states of a request in RequestTable: which events change the state, and when the request is erased.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/request/table.hpp"

namespace meadowgauge::proxy {
namespace {

constexpr RequestNumber number{7};
constexpr Request request{.arrived_ms = 0, .deadline_ms = 5000};

// One request class with idempotent requests, and two endpoints. Records the actions of the table as text.
class RequestTableTest : public testing::Test, protected RequestActions {
 protected:
  RequestTableTest() {
    const std::vector<EndpointEntry> endpoints{{.endpoint = EndpointIndex{0}, .weight = 1},
                                               {.endpoint = EndpointIndex{1}, .weight = 1}};
    policy_.update_endpoints(EndpointListUpdate::full, endpoints, 0);
  }

  void start_attempt(RequestNumber, int attempt, EndpointIndex endpoint, const AttemptTimeout&) override {
    actions_ += "start" + std::to_string(attempt) + " ";
    endpoint_ = endpoint;
  }
  void reject(RequestNumber, double, RejectionReason) override { actions_ += "reject "; }
  void fail(RequestNumber, RejectionReason) override { actions_ += "fail "; }
  void cancel_attempt(RequestNumber, int attempt) override {
    actions_ += "cancel" + std::to_string(attempt) + " ";
  }
  void probe(EndpointIndex) override {}
  void released(RequestNumber) override { actions_ += "released "; }

  Policy policy_{{{"path_prefixes.count", "1"},
                  {"path_prefixes.0.repeat", "idempotent"},
                  {"path_prefixes.0.target_latency_ms", "2000"},
                  {"path_prefixes.0.client_timeout_ms", "6000"},
                  {"path_prefixes.0.earnings", "1"},
                  {"limits.max_backend_fetches", "4"},
                  {"limits.cancelling", "true"},
                  {"discovery", "subscribe"}},
                 1,
                 0};
  transport::DueTimes due_;
  RequestTable table_{policy_, due_, *this};
  std::string actions_;
  EndpointIndex endpoint_ = no_endpoint;
};

TEST_F(RequestTableTest, RequestIsOpenUntilSuccessThenErased) {
  EXPECT_FALSE(table_.is_open(number));
  table_.request_arrived(number, request, 0);
  EXPECT_TRUE(table_.is_open(number));
  EXPECT_FALSE(table_.is_responding(number));
  EXPECT_TRUE(table_.has_attempted(endpoint_));
  EXPECT_FALSE(table_.has_attempted(endpoint_ == EndpointIndex{0} ? EndpointIndex{1} : EndpointIndex{0}));
  table_.request_arrived(number, request, 1);  // a number already in the table has no effect
  table_.attempt_ended(number, {.attempt = 0, .request_closed = true, .load_report = {}}, 10);
  EXPECT_EQ(actions_, "start0 released ");
  EXPECT_FALSE(table_.is_open(number));
  EXPECT_FALSE(table_.has_attempted(endpoint_));
  EXPECT_EQ(table_.size(), 0U);
  EXPECT_EQ(due_.next(), transport::DueTimes::none);
}

TEST_F(RequestTableTest, RespondingRequestKeepsItsStateUntilDone) {
  table_.request_arrived(number, request, 0);
  table_.response_started(number, 0, 5);
  EXPECT_TRUE(table_.is_open(number));
  EXPECT_TRUE(table_.is_responding(number));
  table_.decision_due(number, 6);
  EXPECT_TRUE(table_.is_responding(number));
  table_.client_left(number, 7);
  EXPECT_FALSE(table_.is_open(number));
  EXPECT_FALSE(table_.is_responding(number));
  table_.response_started(number, 0, 8);  // no effect on a request that is done
  EXPECT_FALSE(table_.is_responding(number));
  EXPECT_EQ(table_.size(), 1U);  // the attempt has not ended
  table_.attempt_ended(number, {.attempt = 0, .outcome = Outcome::cancelled, .load_report = {}}, 9);
  EXPECT_EQ(actions_, "start0 cancel0 released ");
}

TEST_F(RequestTableTest, FailedAttemptIsRetried) {
  table_.request_arrived(number, request, 0);
  auto first = endpoint_;
  table_.attempt_ended(number, {.attempt = 0, .outcome = Outcome::unreachable, .load_report = {}}, 10);
  EXPECT_TRUE(table_.is_open(number));
  EXPECT_EQ(actions_, "start0 start1 ");
  EXPECT_TRUE(table_.has_attempted(first));
}

TEST_F(RequestTableTest, EventsOfUnknownRequestHaveNoEffect) {
  table_.attempt_ended(number, {.attempt = 0, .load_report = {}}, 1);
  table_.response_started(number, 0, 1);
  table_.client_left(number, 1);
  table_.body_forwarded(number);
  table_.decision_due(number, 1);
  EXPECT_EQ(table_.body_complete(number, 5000, 1), 0);
  EXPECT_EQ(actions_, "");
  EXPECT_EQ(table_.size(), 0U);
}

}  // namespace
}  // namespace meadowgauge::proxy
