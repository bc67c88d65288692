// RequestAdmission: which parsed messages are admitted, and with which reason and status the others are
// refused.
#include <gtest/gtest.h>

#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

#include "proxy/request/admission.hpp"

namespace meadowgauge::proxy {
namespace {

using protocol::Message;

// Returns the wait time that the test sets, and counts the calls.
struct ScriptedFleetLimits final : RequestFilter {
  double wait_ms = 0;
  int acquire_calls = 0;
  double try_acquire(int, int) override {
    ++acquire_calls;
    return wait_ms;
  }
  void release(int, int) override {}
  void record_success(std::uint32_t) override {}
  void leave() override {}
};

class RequestAdmissionTest : public testing::Test {
 protected:
  // Admits a request. `head`: the request line and header lines, without line ends; a Host line is added.
  AdmissionResult admit(const std::vector<std::string>& head, const std::string& body = "") {
    std::string bytes;
    for (const auto& line : head) bytes += line + "\r\n";
    bytes += "Host: b\r\n";
    Message message(pool_, Message::Kind::request, Message::Body::streaming);
    message.feed(bytes + "\r\n" + body);
    EXPECT_EQ(message.fault(), protocol::Fault::none);
    EXPECT_TRUE(message.head_complete());
    return admission_.admit(
        message, {.unanswered_ids = unanswered_ids_, .at_capacity = at_capacity_, .fleet_limits = &limits_});
  }
  // Returns the refusal; the test fails if the request is not refused.
  Refusal admit_refused(const std::vector<std::string>& head, const std::string& body = "") {
    auto result = admit(head, body);
    EXPECT_TRUE(std::holds_alternative<Refusal>(result));
    return std::holds_alternative<Refusal>(result) ? std::get<Refusal>(result) : Refusal{};
  }
  void expect_refused(const std::vector<std::string>& head, RefusalReason reason, int status,
                      const std::string& body = "") {
    SCOPED_TRACE(testing::PrintToString(head));
    auto refusal = admit_refused(head, body);
    EXPECT_EQ(refusal.reason, reason);
    EXPECT_EQ(refusal.status(), status);
    EXPECT_TRUE(refusal.closes_connection());
    EXPECT_EQ(limits_.acquire_calls, 0);
  }

  transport::Pool pool_{8};
  ScriptedFleetLimits limits_;
  std::unordered_set<std::string_view> unanswered_ids_;
  bool at_capacity_ = false;
  RequestAdmission admission_{
      {{.name = "view", .repeat = RepeatRule::idempotent, .client_timeout_ms = 800},
       {.name = "book", .repeat = RepeatRule::deduplicated, .client_timeout_ms = 1500},
       {.name = "pay", .repeat = RepeatRule::never, .client_timeout_ms = 3000}},
      {"web", "app"}};
};

TEST_F(RequestAdmissionTest, AdmitsCompleteRequest) {
  auto result = admit({"POST /book/7?x=1 HTTP/1.1", "X-Call-Id: a1", "X-Caller: app", "X-Budget-Ms: 250",
                       "X-Again: 1", "Idempotency-Key: k", "X-Call-Info: work_ms=12", "Content-Length: 2"},
                      "ok");
  ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
  const auto& request = std::get<AdmittedRequest>(result);
  EXPECT_EQ(request.request_class, 1);
  EXPECT_EQ(request.tenant, 1);
  EXPECT_EQ(request.budget_ms, 250);
  EXPECT_TRUE(request.client_retry);
  EXPECT_FALSE(request.body_incoming);
  EXPECT_EQ(limits_.acquire_calls, 1);
}

TEST_F(RequestAdmissionTest, AbsentHeadersTakeDefaults) {
  auto result = admit({"GET /view HTTP/1.1", "X-Call-Id: a1"});
  ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
  const auto& request = std::get<AdmittedRequest>(result);
  EXPECT_EQ(request.request_class, 0);
  EXPECT_EQ(request.tenant, -1);
  EXPECT_EQ(request.budget_ms, 800);
  EXPECT_FALSE(request.client_retry);
  EXPECT_EQ(request.work_ms, 0);
  EXPECT_EQ(request.key, 0u);
}

TEST_F(RequestAdmissionTest, ReportsIncompleteBody) {
  auto result = admit({"POST /pay HTTP/1.1", "X-Call-Id: a1", "Content-Length: 9"}, "part");
  ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
  EXPECT_TRUE(std::get<AdmittedRequest>(result).body_incoming);
}

TEST_F(RequestAdmissionTest, ProxyPathsAreNotAdmitted) {
  for (const auto* line : {"GET /-/ready HTTP/1.1", "POST /-/ HTTP/1.1", "GET /-/other?x HTTP/1.1"})
    EXPECT_TRUE(std::holds_alternative<LocalPathRequest>(admit({line}))) << line;
  EXPECT_EQ(limits_.acquire_calls, 0);
}

TEST_F(RequestAdmissionTest, RefusesUnknownClassAndAmbiguousPath) {
  expect_refused({"GET /other HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::unknown_request_class, 404);
  EXPECT_EQ(admit_refused({"GET /other HTTP/1.1"}).request_class, -1);
  expect_refused({"GET /view/../pay HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::ambiguous_path, 400);
  expect_refused({"GET /view/%2e%2e/pay HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::ambiguous_path, 400);
}

TEST_F(RequestAdmissionTest, RefusesAmbiguousControlHeaders) {
  for (std::string name :
       {"X-Call-Id", "X-Caller", "X-Budget-Ms", "X-Again", "Idempotency-Key", "X-Call-Info"})
    expect_refused({"POST /pay HTTP/1.1", "X-Call-Id: a1", name + ": 1", name + ": 1"},
                   RefusalReason::repeated_control_header, 400);
  expect_refused({"POST /pay HTTP/1.1", "X-Call-Id: a1", "Connection: X-Call-Id"},
                 RefusalReason::control_header_not_forwarded, 400);
  expect_refused(
      {"POST /book HTTP/1.1", "X-Call-Id: a1", "Idempotency-Key: k", "Connection: idempotency-key"},
      RefusalReason::control_header_not_forwarded, 400);
}

TEST_F(RequestAdmissionTest, RefusesMissingIdAndIdInFlight) {
  expect_refused({"GET /view HTTP/1.1"}, RefusalReason::missing_id, 400);
  expect_refused({"GET /view HTTP/1.1", "X-Call-Id:"}, RefusalReason::missing_id, 400);
  unanswered_ids_.insert("a1");
  expect_refused({"GET /view HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::id_in_flight, 409);
  EXPECT_TRUE(std::holds_alternative<AdmittedRequest>(admit({"GET /view HTTP/1.1", "X-Call-Id: a2"})));
}

TEST_F(RequestAdmissionTest, RefusesMethodBodyOrKeyAgainstClassRules) {
  expect_refused({"POST /view HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::wrong_method, 405);
  expect_refused({"HEAD /view HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::wrong_method, 405);
  expect_refused({"GET /pay HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::wrong_method, 405);
  expect_refused({"GET /view HTTP/1.1", "X-Call-Id: a1", "Content-Length: 2"}, RefusalReason::unexpected_body,
                 400, "ok");
  expect_refused({"GET /view HTTP/1.1", "X-Call-Id: a1", "Content-Length: 2"}, RefusalReason::unexpected_body,
                 400);
  expect_refused({"POST /book HTTP/1.1", "X-Call-Id: a1"}, RefusalReason::idempotency_key_mismatch, 400);
  expect_refused({"POST /book HTTP/1.1", "X-Call-Id: a1", "Idempotency-Key:"},
                 RefusalReason::idempotency_key_mismatch, 400);
  expect_refused({"POST /pay HTTP/1.1", "X-Call-Id: a1", "Idempotency-Key: k"},
                 RefusalReason::idempotency_key_mismatch, 400);
  expect_refused({"GET /view HTTP/1.1", "X-Call-Id: a1", "Idempotency-Key:"},
                 RefusalReason::idempotency_key_mismatch, 400);
}

TEST_F(RequestAdmissionTest, RefusesInvalidBudgets) {
  for (std::string text : {"", "x", "-1", "1.5", "1e3", "250ms", "3600001", "99999999999"})
    expect_refused({"GET /view HTTP/1.1", "X-Call-Id: a1", "X-Budget-Ms: " + text},
                   RefusalReason::unreadable_budget, 400);
  for (std::string text : {"0", "3600000"}) {
    auto result = admit({"GET /view HTTP/1.1", "X-Call-Id: a1", "X-Budget-Ms: " + text});
    ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result)) << text;
    EXPECT_EQ(std::get<AdmittedRequest>(result).budget_ms, std::stod(text));
  }
}

TEST_F(RequestAdmissionTest, AtCapacityKeepsConnectionAndTakesNoQuota) {
  at_capacity_ = true;
  auto refusal = admit_refused({"GET /view HTTP/1.1", "X-Call-Id: a1"});
  EXPECT_EQ(refusal.reason, RefusalReason::at_capacity);
  EXPECT_EQ(refusal.status(), 503);
  EXPECT_EQ(refusal.request_class, 0);
  EXPECT_EQ(refusal.retry_after_ms, 0);
  EXPECT_FALSE(refusal.closes_connection());
  EXPECT_EQ(limits_.acquire_calls, 0);
  // A malformed request gets its own reason all the same.
  expect_refused({"GET /view HTTP/1.1"}, RefusalReason::missing_id, 400);
}

TEST_F(RequestAdmissionTest, ExhaustedFleetLimitStatesRetryAfter) {
  limits_.wait_ms = 40;
  auto refusal = admit_refused({"POST /pay HTTP/1.1", "X-Call-Id: a1"});
  EXPECT_EQ(refusal.reason, RefusalReason::fleet_limit);
  EXPECT_EQ(refusal.status(), 429);
  EXPECT_EQ(refusal.request_class, 2);
  EXPECT_EQ(refusal.retry_after_ms, 40);
  EXPECT_FALSE(refusal.closes_connection());
  EXPECT_EQ(limits_.acquire_calls, 1);
}

}  // namespace
}  // namespace meadowgauge::proxy
