// Requests that the running program refuses: malformed messages, ambiguous requests and unknown paths. The
// test acts as the clients and one or two upstreams over loopback.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

// Guards against forwarding a malformed or oversized message, and against reusing its connection.
TEST(RequestValidation, AnswersMalformedMessagesByStatusAndCloses) {
  ProxyProcess proxy;
  const std::string head = "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n";
  const std::pair<int, std::string> cases[] = {
      {400, "nonsense\r\n\r\n"},
      {400, head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
      {400, head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {400, head + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
      {400, head + "Content-Length: -1\r\n\r\n"},
      {400, head + " folded: 1\r\n\r\n"},
      {413, head + "Content-Length: 34603009\r\n\r\n"},
      {413, head + "Content-Length: 99999999999999999999\r\n\r\n"},
      {431, head + "Big: " + std::string(20000, 'x') + "\r\n\r\n"},
  };
  for (const auto& [status, text] : cases) {
    auto client = proxy.connect();
    client.send(text);
    auto response = client.receive_message();
    EXPECT_EQ(status_of(response), status) << text.substr(0, 200);
    EXPECT_NE(response.find("Connection: close"), response.npos);
    EXPECT_TRUE(client.wait_for_end());
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection() || proxy.upstreams[1].has_pending_connection());
}

// Guards against forwarding unknown paths, and against refusing unknown tenants.
TEST(RequestValidation, AnswersUnknownPathsAndServesUnknownTenants) {
  ProxyProcess proxy({.upstreams = 1});
  EXPECT_EQ(proxy.get_status("/elsewhere"), 404);
  EXPECT_EQ(proxy.get_status("/"), 404);
  EXPECT_EQ(proxy.get_status("/-/other"), 404);
  auto client = proxy.connect();
  client.send("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nX-Caller: nobody\r\n\r\n");
  auto upstream = accept_and_respond(proxy.upstreams[0], ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

// Guards against forwarding invalid requests, and requests that the program and a server may interpret
// differently.
TEST(RequestValidation, RefusesInvalidAndAmbiguousRequests) {
  ProxyProcess proxy(
      {.upstreams = 1,
       .settings = R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once"},)"
                   R"({"name":"view","repeat":"idempotent"},{"name":"put","repeat":"deduplicated"}])"});
  auto open = proxy.connect();
  open.send("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: open\r\nContent-Length: 0\r\n\r\n");
  auto upstream = proxy.upstreams[0].accept();
  upstream.receive_message();
  const std::string pay = "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n", key = "Idempotency-Key: k\r\n";
  const std::string view = "GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n";
  const std::pair<int, std::string> cases[] = {
      {400, pay + "X-Budget-Ms: soon\r\n"},
      {400, pay + "X-Budget-Ms: -5\r\n"},
      {400, pay + "X-Budget-Ms: 4.5\r\n"},
      {400, pay + "X-Budget-Ms: 1e3\r\n"},
      {400, pay + "X-Budget-Ms: \r\n"},
      {400, pay + "X-Budget-Ms: 99999999999\r\n"},
      {400, pay + "X-Budget-Ms: 500\r\nx-budget-ms: 500\r\n"},
      {400, pay + "X-Call-Id: 2\r\n"},
      {400, pay + "X-Caller: a\r\nX-Caller: b\r\n"},
      {400, "GET /view HTTP/1.1\r\nHost: b\r\n"},
      {409, "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: open\r\n"},
      {400, pay + key},
      {400, pay + "Connection: x-call-id\r\n"},
      {400, view + key},
      {400, "POST /put HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {405, "GET /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {405, "POST /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {405, "HEAD /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {404, "POST /elsewhere HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {400, view + "Content-Length: 2\r\n\r\nhi"},
      // A server that resolves the dot segments would execute these under `pay`.
      {400, "GET /view/../pay/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {400, "GET /view/%2e%2e/pay/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {400, "GET /view/..%2Fpay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {404, "GET /view\\..\\pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
      {400, "GET /view/a\\..\\..\\pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n"},
  };
  for (const auto& [status, text] : cases) {
    auto client = proxy.connect();
    client.send(text.ends_with("hi") ? text : text + "Content-Length: 0\r\n\r\n");
    EXPECT_EQ(status_of(client.receive_message()), status) << text;
    EXPECT_TRUE(client.wait_for_end()) << text;
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
  upstream.send(ok_response);
  EXPECT_EQ(status_of(open.receive_message()),
            200);  // the refused duplicate did not release the id; from now on the id is free
  open.send("POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: open\r\nContent-Length: 0\r\n\r\n");
  upstream.receive_message();
  upstream.send(ok_response);
  EXPECT_EQ(status_of(open.receive_message()), 200);
}

}  // namespace
}  // namespace meadowgauge::test
