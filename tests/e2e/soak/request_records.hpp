// What the soak's clients and upstreams observe of each request, and the checks of it.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "e2e/soak/soak_settings.hpp"
#include "fixtures/tcp_connection.hpp"

namespace meadowgauge::test {

// The outcome of one request.
struct RequestRecord {
  Clock::time_point sent_at;
  int status = 0;          // 0: no response
  bool truncated = false;  // the response ended before it was complete
  // The connection ended without a response, and the request counts as unread: the previous response
  // announced the end, or the request may have crossed the end in transit.
  bool unread = false;
  int received = 0;                          // how often upstreams received the request
  int rejected = 0;                          // how often upstreams rejected it and did not execute it
  bool repeated = false;                     // received again though an earlier attempt may have executed
  bool client_leaves = false;                // the client disconnects without waiting for the response
  std::optional<Clock::time_point> left_at;  // when the client closed its connection
};

// No attempt starts later than this after its client has disconnected. The sum of the allowed
// 100 ms and of the 50 ms that the rule grants to sockets.
constexpr auto max_attempt_delay = std::chrono::milliseconds(100 + 50);

// Fails the test if an upstream receives a request too long after its client has disconnected.
inline void expect_client_present(const std::string& request_id, const RequestRecord& record) {
  if (!record.left_at) return;
  auto disconnected_for =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - *record.left_at);
  EXPECT_LT(disconnected_for, max_attempt_delay + tolerance)
      << request_id << " was sent " << disconnected_for.count() << " ms after its client had left";
}

// Records by the header field with the request's id.
using RequestRecords = std::map<std::string, RequestRecord>;

// Expects a response to every request of a client that stayed, except to requests that are known not to have
// executed, and no status 503 or second execution for requests that may have executed.
inline void expect_requests_answered(const RequestRecords& requests) {
  for (const auto& [id, record] : requests) {
    bool answered = record.status != 0 || record.truncated;
    bool known_not_executed = record.unread && record.received == record.rejected;
    EXPECT_TRUE(answered || known_not_executed || record.client_leaves)
        << id << " has no response; received by upstreams: " << record.received;
    bool is_unsafe = id.find(": pay") != std::string::npos;
    bool has_cell_group = id.find(": hold") != std::string::npos;
    if (!is_unsafe && !has_cell_group) continue;
    if (record.received > record.rejected) {
      EXPECT_NE(record.status, 503) << id << " may have executed and was rejected with 503";
    }
    if (!is_unsafe) continue;
    EXPECT_FALSE(record.repeated) << id << " was sent again though it may have executed";
  }
}

}  // namespace meadowgauge::test
