// A client of the balancer: one request on a connection of its own, as the protocol page has it.
#pragma once

#include <string>

#include "sockets.hpp"

namespace review {

// What a client saw of the answer to one request.
struct Answer {
  enum class End {
    whole,         // the answer arrived to its last byte
    closed_early,  // the connection ended or was reset before
    stalled        // no byte came for the time that the client was ready to wait
  };
  End end = End::closed_early;
  int status = 0;
  Head head;
  std::string body;
  double sent_at_ms = 0;
  double first_byte_at_ms = 0;
  double last_byte_at_ms = 0;
  double ended_at_ms = 0;
};

inline std::string end_name(Answer::End end) {
  if (end == Answer::End::whole) return "whole";
  return end == Answer::End::stalled ? "stalled" : "ended early";
}

// Takes the chunks that are complete from `bytes` to `body`. True once the last chunk and its end have come.
inline bool take_chunks(std::string& bytes, std::string& body) {
  while (true) {
    auto line_end = bytes.find("\r\n");
    if (line_end == std::string::npos) return false;
    auto size = std::strtoul(bytes.c_str(), nullptr, 16);
    if (bytes.size() < line_end + 2 + size + 2) return false;
    body.append(bytes, line_end + 2, size);
    bytes.erase(0, line_end + 2 + size + 2);
    if (size == 0) return true;
  }
}

// Moves what has arrived of the body from `bytes` to the answer. True once the body is whole.
inline bool take_body(Answer& answer, std::string& bytes) {
  if (answer.head.field("transfer-encoding") == "chunked") return take_chunks(bytes, answer.body);
  auto length = static_cast<std::size_t>(std::atol(answer.head.field("content-length").c_str()));
  answer.body += bytes;
  bytes.clear();
  return answer.body.size() >= length;
}

// Sends a request on an open connection and reads its answer. Waits `first_byte_ms` for the first byte, then
// at most `stall_ms` between two bytes.
inline Answer ask_on(const Socket& socket, const std::string& request, double first_byte_ms,
                     double stall_ms) {
  Answer answer;
  answer.sent_at_ms = now_ms();
  if (!socket || !send_all(socket, request, 1000)) {
    answer.ended_at_ms = now_ms();
    return answer;
  }
  std::string bytes;
  bool has_head = false;
  while (true) {
    auto result = read_some(socket, bytes, answer.first_byte_at_ms > 0 ? stall_ms : first_byte_ms);
    answer.ended_at_ms = now_ms();
    if (result == ReadResult::nothing) answer.end = Answer::End::stalled;
    if (result != ReadResult::bytes) return answer;
    answer.last_byte_at_ms = now_ms();
    if (answer.first_byte_at_ms == 0) answer.first_byte_at_ms = now_ms();
    if (!has_head) {
      auto head = take_head(bytes);
      if (!head) continue;
      has_head = true;
      answer.head = std::move(*head);
      answer.status = answer.head.status();
    }
    if (!take_body(answer, bytes)) continue;
    answer.end = Answer::End::whole;
    return answer;
  }
}

// The same on a new connection.
inline Answer ask(const Address& balancer, const std::string& request, double first_byte_ms,
                  double stall_ms) {
  auto socket = connect_to(balancer, 1000);
  return ask_on(socket, request, first_byte_ms, stall_ms);
}

// A client that keeps its connection. A connection that ends under a request, with no byte of an answer, may
// have crossed it between two requests: then the client sends the request once more on a new one.
class KeptConnection {
 public:
  explicit KeptConnection(const Address& balancer) : balancer_(balancer) {}

  Answer ask(const std::string& request, double first_byte_ms, double stall_ms) {
    double start_ms = now_ms();
    bool is_new = !socket_;
    if (is_new) socket_ = connect_to(balancer_, 1000);
    auto answer = ask_on(socket_, request, first_byte_ms, stall_ms);
    bool crossed = !is_new && answer.end == Answer::End::closed_early && answer.first_byte_at_ms == 0;
    if (crossed) {
      socket_ = connect_to(balancer_, 1000);
      answer = ask_on(socket_, request, first_byte_ms - (now_ms() - start_ms), stall_ms);
    }
    bool stays_open = answer.end == Answer::End::whole && answer.head.field("connection") != "close";
    if (!stays_open) socket_.close();
    return answer;
  }

 private:
  Address balancer_;
  Socket socket_;
};

// The head of a request without a body (GET), or with one (POST).
inline std::string request_text(const std::string& method, const std::string& target, const std::string& id,
                                int budget_ms, const std::string& further_fields = "",
                                const std::string& body = "") {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: " + id +
                     "\r\nX-Budget-Ms: " + std::to_string(budget_ms) + "\r\n" + further_fields;
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace review
