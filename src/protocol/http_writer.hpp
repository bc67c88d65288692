// Writers of HTTP/1.1 messages: forwarded messages, and the balancer's own responses. Each writer appends to
// `out`. False: the pool has no buffers; `out` may hold a partial message, and the connection can't be used
// further. Nothing here throws or keeps references.
#pragma once

#include <string_view>

#include "protocol/http.hpp"
#include "transport/pool.hpp"

namespace meadowgauge::protocol {

// The last chunk of a body, without trailer.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

// A complete request for the next hop: without hop-by-hop fields, and with `budget_ms` as its time budget
// (rounded down to whole ms, at least 0).
bool write_request(transport::Chain& out, const Message& request, double budget_ms);

// The head of a request with a streamed body. Sets `chunked`: whether the body must be sent as chunks, as it
// has no length.
bool write_request_head(transport::Chain& out, const Message& request, double budget_ms, bool& chunked);

// A GET request without further fields.
bool write_get(transport::Chain& out, std::string_view host, std::string_view target);

// A complete response with status 200. `close`: adds `Connection: close`.
bool write_response(transport::Chain& out, const Message& response, bool close);

// The head of a streamed response; `chunked` as above. For a client of HTTP/1.0 (`to_http_1_0`) a body of
// unknown length has no framing and ends with the connection.
bool write_response_head(transport::Chain& out, const Message& response, bool close, bool to_http_1_0,
                         bool& chunked);

// A response of the balancer itself. `extra_headers`: complete header lines, each with \r\n. `head_only`:
// states the body's length without the body, for HEAD.
bool write_local_response(transport::Chain& out, int status, std::string_view extra_headers,
                          std::string_view body, bool close, bool head_only = false);

}  // namespace meadowgauge::protocol
