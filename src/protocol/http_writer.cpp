#include "protocol/http_writer.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "protocol/names.hpp"
#include "protocol/text.hpp"

namespace meadowgauge::protocol {
namespace {

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

void add_field(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

// Appends the end-to-end fields of `message`, except the field `replaced`.
void add_forwarded_fields(std::string& head, const Message& message, std::string_view replaced) {
  for (const auto& field : message.fields())
    if (message.is_forwarded(field) && !equals_ignoring_case(field.name, replaced))
      add_field(head, field.name, field.value);
}

std::string request_head(const Message& request, double budget_ms) {
  std::string head;
  head.append(request.method()).append(" ").append(request.target()).append(" HTTP/1.1\r\n");
  add_forwarded_fields(head, request, names::time_budget);
  if (request.count("Host") == 0) add_field(head, "Host", "");  // required by HTTP/1.1, but not by HTTP/1.0
  add_field(head, names::time_budget, std::to_string(std::max(0L, std::lround(std::floor(budget_ms)))));
  return head;
}

// The head of a forwarded response, without the load report, which is for the balancer. Only responses with
// status 200 are forwarded.
std::string response_head(const Message& response, bool close) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  add_forwarded_fields(head, response, names::load_report);
  if (close) add_field(head, "Connection", "close");
  return head;
}

// Appends the framing of a streamed body and ends the head.
void add_framing(std::string& head, const Message& message, bool& chunked) {
  chunked = !message.length();
  if (chunked)
    add_field(head, "Transfer-Encoding", "chunked");
  else
    add_field(head, "Content-Length", std::to_string(*message.length()));
  head += "\r\n";
}

// Adds the length of the buffered body, ends the head, and appends head and body to `out`.
bool append_with_body(transport::Chain& out, std::string& head, const Message& message) {
  if (message.no_body()) {  // a response to HEAD has the length of the response to GET
    if (auto length = message.find("Content-Length"); !length.empty())
      add_field(head, "Content-Length", length);
  } else if (message.body_size() > 0 || message.method() != "GET") {
    add_field(head, "Content-Length", std::to_string(message.body_size()));
  }
  head += "\r\n";
  bool appended = out.append(head);
  message.for_each_body_segment([&](std::string_view piece) { appended = appended && out.append(piece); });
  return appended;
}

}  // namespace

bool write_request(transport::Chain& out, const Message& request, double budget_ms) {
  auto head = request_head(request, budget_ms);
  return append_with_body(out, head, request);
}

bool write_request_head(transport::Chain& out, const Message& request, double budget_ms, bool& chunked) {
  auto head = request_head(request, budget_ms);
  add_framing(head, request, chunked);
  return out.append(head);
}

bool write_get(transport::Chain& out, std::string_view host, std::string_view target) {
  std::string head;
  head.append("GET ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
  return out.append(head);
}

bool write_response(transport::Chain& out, const Message& response, bool close) {
  auto head = response_head(response, close);
  return append_with_body(out, head, response);
}

bool write_response_head(transport::Chain& out, const Message& response, bool close, bool to_http_1_0,
                         bool& chunked) {
  // HTTP/1.0 has no chunked coding, so a body of unknown length ends when the connection closes.
  bool ends_with_connection = to_http_1_0 && !response.length();
  auto head = response_head(response, close || ends_with_connection);
  if (ends_with_connection) {
    chunked = false;
    return out.append(head += "\r\n");
  }
  add_framing(head, response, chunked);
  return out.append(head);
}

bool write_local_response(transport::Chain& out, int status, std::string_view extra_headers,
                          std::string_view body, bool close, bool head_only) {
  std::string head = "HTTP/1.1 ";
  head.append(std::to_string(status))
      .append(" ")
      .append(reason_phrase(status))
      .append("\r\n")
      .append(extra_headers);
  if (close) add_field(head, "Connection", "close");
  add_field(head, "Content-Length", std::to_string(body.size()));
  head.append("\r\n").append(head_only ? std::string_view{} : body);
  return out.append(head);
}

}  // namespace meadowgauge::protocol
