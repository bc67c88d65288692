// Writers of HTTP/1.1 messages: forwarded messages and the balancer's own responses. Each writer appends to
// `out` and returns false if the pool has no buffers; `out` may then hold a partial message, so the
// connection must be closed. The writers do not throw and keep no references.
#pragma once

#include <string_view>

#include "protocol/http.hpp"
#include "transport/pool.hpp"

namespace meadowgauge::protocol {

// The last chunk of a body, without a trailer.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

// Writes a complete request for the next hop, without hop-by-hop fields and with `budget_ms`, rounded down to
// whole ms and at least 0, as its time budget.
bool write_request(transport::Chain& out, const Message& request, double budget_ms);

// Writes the head of a request with a streamed body. Sets `chunked` if the body has no known length and must
// be sent in chunks.
bool write_request_head(transport::Chain& out, const Message& request, double budget_ms, bool& chunked);

// Writes a GET request with no field but Host.
bool write_get(transport::Chain& out, std::string_view host, std::string_view target);

// Writes a complete response with status 200. `close` adds `Connection: close`.
bool write_response(transport::Chain& out, const Message& response, bool close);

// Writes the head of a response with a streamed body; `chunked` as in write_request_head(). For an HTTP/1.0
// client (`to_http_1_0`), a body of unknown length has no framing and ends when the connection closes.
bool write_response_head(transport::Chain& out, const Message& response, bool close, bool to_http_1_0,
                         bool& chunked);

// Writes a response of the balancer itself. `extra_headers`: complete header lines, each ending with \r\n.
// `head_only`: for a request with HEAD, states the length of `body` but leaves the body out.
bool write_local_response(transport::Chain& out, int status, std::string_view extra_headers,
                          std::string_view body, bool close, bool head_only = false);

}  // namespace meadowgauge::protocol
