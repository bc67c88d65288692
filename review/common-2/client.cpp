#include "client.hpp"

#include <atomic>

#include "record.hpp"

namespace review {

std::string ClientRequest::text() const {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
                     "\r\nX-Caller: acme\r\nX-Budget-Ms: " + std::to_string(static_cast<long>(budget_ms)) +
                     "\r\n";
  if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
  if (method != "POST") return text + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ClientOutcome send_request(const std::string& balancer, const ClientRequest& request, double send_timeout_ms,
                           double patience_ms) {
  ClientOutcome outcome;
  Socket socket = connect_to(balancer, now_ms() + send_timeout_ms);
  if (!socket.open()) return outcome;
  outcome.sent = socket.send_all(request.text(), now_ms() + send_timeout_ms);
  outcome.sent_at_ms = now_ms();
  if (outcome.sent == Io::broken) return outcome;
  Message answer;
  outcome.answered = MessageReader(socket).read(answer, now_ms() + patience_ms);
  outcome.answered_at_ms = now_ms();
  outcome.status = answer.status();
  outcome.body = answer.body;
  return outcome;
}

std::string new_id() {
  static std::atomic<unsigned long> next = 1;
  char text[17];
  std::snprintf(text, sizeof text, "%016lx", next++ * 0x9e3779b97f4a7c15UL);
  return text;
}

}  // namespace review
