// A client's request: builds it, sends it on a connection of its own and reads the answer.
#pragma once

#include <string>

#include "http.hpp"

namespace review {

struct ClientRequest {
  std::string method = "GET";
  std::string target;
  std::string id;
  std::string key;  // Idempotency-Key; empty: none
  double budget_ms = 1000;
  std::string body;  // of a POST

  // The whole request as it is sent.
  [[nodiscard]] std::string text() const;
};

// The course of one request as its client saw it. Times are in ms of now_ms().
struct ClientOutcome {
  Io sent = Io::broken;         // of the whole request
  double sent_at_ms = 0;        // when its last byte was written
  Io answered = Io::timed_out;  // of the answer
  double answered_at_ms = 0;    // when its last byte, or the end, came
  int status = 0;               // 0: no head of an answer has come
  std::string body;
};

// Sends the request on a new connection and waits for the answer until `patience_ms` after its last byte.
ClientOutcome send_request(const std::string& balancer, const ClientRequest& request, double send_timeout_ms,
                           double patience_ms);

// A 16-digit hexadecimal id that no other call of this process returns.
std::string new_id();

}  // namespace review
