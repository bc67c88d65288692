// Forwarding by the running program: requests are passed on unchanged, retried at another upstream, or
// rejected. The test acts as the clients, the upstreams and discovery over loopback.
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"

namespace meadowgauge::test {
namespace {

TEST(Forwarding, PassesRequestsUnchangedAndReusesConnections) {
  ProxyProcess proxy({.upstreams = 1});
  EXPECT_EQ(proxy.get_status("/-/ready"), 200);
  auto client = proxy.connect();
  TcpConnection upstream;
  for (int i = 0; i < 3; ++i) {
    auto request = http_request("/pay/now?x=1");
    client.send(request);
    if (i == 0) upstream = proxy.upstreams[0].accept();
    auto received = upstream.receive_message();
    EXPECT_TRUE(received.starts_with("POST /pay/now?x=1 HTTP/1.1\r\n")) << received;
    auto id = request.substr(request.find("X-Call-Id"));
    EXPECT_NE(received.find(id.substr(0, id.find('\n') + 1)), received.npos);
    EXPECT_TRUE(received.ends_with("\r\n\r\nthe body")) << received;
    auto at = received.find("X-Budget-Ms: ");
    ASSERT_NE(at, received.npos);
    auto left = std::stoi(received.substr(at + 13));
    EXPECT_LE(left, 9000);
    EXPECT_GT(left, 0);
    upstream.send(ok_response);
    auto response = client.receive_message();
    EXPECT_EQ(status_and_body(response), (std::pair<int, std::string>{200, "done"}));
    EXPECT_EQ(response.find("X-Load-Report"), response.npos);
  }
  EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
}

TEST(Forwarding, RetriesElsewhereWhenTheUpstreamRejects) {
  ProxyProcess proxy;
  auto client = proxy.connect();
  client.send(http_request("/pay"));
  auto first = receive_attempt(proxy);
  first.connection.send(rejected_response);
  expect_served(proxy.upstreams[1 - first.upstream], client);
}

TEST(Forwarding, RetriesElsewhereWhenTheConnectionIsRefused) {
  ProxyProcess proxy;
  proxy.upstreams[0].close();
  auto client = proxy.connect();
  for (int i = 0; i < 4; ++i) {
    client.send(http_request("/pay"));
    auto upstream = accept_and_respond(proxy.upstreams[1], ok_and_close);
    EXPECT_EQ(status_of(client.receive_message()), 200);
    EXPECT_TRUE(upstream.wait_for_end());
  }
}

// Guards against a non-idempotent request that executes twice: once its last byte is sent it may have
// executed, so there is no retry and no status that invites the client to repeat it.
TEST(Forwarding, NonIdempotentRequestIsNotRetriedOnceSent) {
  for (std::string how :
       {"reset", "end", "half an answer", "nonsense", "500", "two lengths", "endless", "503"}) {
    ProxyProcess proxy;
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto [first, upstream, message] = receive_attempt(proxy);
    if (how == "reset") upstream.reset();
    if (how == "end") upstream.close();
    if (how == "half an answer") {
      upstream.send(ok_response.substr(0, ok_response.size() - 2));
      upstream.close();
    }
    if (how == "nonsense") upstream.send("what?\r\n\r\n");
    if (how == "500") upstream.send(error_response);
    if (how == "503") upstream.send(http_message("HTTP/1.1 503 Service Unavailable", ""));
    if (how == "two lengths")
      upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok");
    if (how == "endless") upstream.send("HTTP/1.1 200 OK\r\n\r\nok");
    int status = status_of(client.receive_message());
    EXPECT_TRUE(status == 500 || status == 502) << how << ": " << status;
    EXPECT_FALSE(proxy.upstreams[1 - first].has_pending_connection()) << how;
  }
}

TEST(Forwarding, RetriesASafeRequestAfterAReset) {
  ProxyProcess proxy;
  auto client = proxy.connect();
  client.send("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n\r\n");
  auto [first, upstream, message] = receive_attempt(proxy);
  EXPECT_EQ(message.find("Content-Length"), std::string::npos);
  upstream.reset();
  expect_served(proxy.upstreams[1 - first], client);
}

TEST(Forwarding, SilentUpstreamGives504BeforeClientTimeout) {
  ProxyProcess proxy;
  auto client = proxy.connect();
  auto start = Clock::now();
  client.send(http_request("/pay", 1000));
  auto upstream = receive_attempt(proxy).connection;
  EXPECT_EQ(status_of(client.receive_message()), 504);
  // No upper bound, because the response may be late on a busy machine.
  EXPECT_GT(Clock::now() - start, std::chrono::milliseconds(800));
  EXPECT_TRUE(upstream.wait_for_end());  // the program closes the connection of an abandoned attempt
}

TEST(Forwarding, RejectsAtOnceWhenTheBudgetIsSpent) {
  ProxyProcess proxy;
  auto client = proxy.connect();
  client.send(http_request("/pay", 0));
  EXPECT_EQ(status_of(client.receive_message()), 503);
}

TEST(Forwarding, CancelsTheAttemptWhenTheClientDisconnects) {
  ProxyProcess proxy;
  for (bool half_close : {false, true}) {
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = receive_attempt(proxy).connection;
    if (half_close)
      client.end_sending();
    else
      client.close();
    EXPECT_TRUE(upstream.wait_for_end());
    if (half_close) {
      EXPECT_EQ(status_of(client.receive_message()), 500);
    }
  }
}

TEST(Forwarding, AnswersPipelinedRequestsInOrder) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  client.send(http_request("/pay/1") + http_request("/pay/2") + http_request("/pay/3"));
  auto upstream = proxy.upstreams[0].accept();
  for (int i = 1; i <= 3; ++i) {
    EXPECT_NE(upstream.receive_message().find("/pay/" + std::to_string(i)), std::string::npos);
    EXPECT_TRUE(upstream.quiet());
    upstream.send(http_message("HTTP/1.1 200 OK", std::to_string(i)));
    EXPECT_EQ(status_and_body(client.receive_message()).second, std::to_string(i));
  }
}

TEST(Forwarding, PassesLargeBodiesBothWaysInPiecesAndInChunks) {
  ProxyProcess proxy({.upstreams = 1});
  std::string body(std::size_t{64} * 1024, 'x');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i * 31 % 251);
  auto client = proxy.connect();
  auto large_request = http_request("/pay", 9000, body);
  for (std::size_t at = 0; at < large_request.size(); at += 5000) client.send(large_request.substr(at, 5000));
  auto upstream = proxy.upstreams[0].accept();
  auto received = upstream.receive_message();
  EXPECT_TRUE(received.ends_with("\r\n\r\n" + body));
  upstream.send(http_message("HTTP/1.1 200 OK", body));
  EXPECT_EQ(status_and_body(client.receive_message()).second, body);
  client.send(
      "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
  EXPECT_TRUE(upstream.receive_message().ends_with("Content-Length: 5\r\n\r\nabcde"));
  upstream.send(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n");
  EXPECT_EQ(status_and_body(client.receive_message()).second, "wxyz");
}

TEST(Forwarding, SendsContinueWhenTheClientExpectsIt) {
  ProxyProcess proxy({.upstreams = 1});
  auto client = proxy.connect();
  client.send(
      "POST /pay HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  EXPECT_EQ(client.receive_message(), "HTTP/1.1 100 Continue\r\n\r\n");
  client.send("hi");
  auto upstream = proxy.upstreams[0].accept();
  EXPECT_TRUE(upstream.receive_message().ends_with("\r\n\r\nhi"));
  upstream.send(ok_response);
  EXPECT_EQ(status_of(client.receive_message()), 200);
}

TEST(Forwarding, RejectsWithNoUpstreamAndServesWithAThousand) {
  ProxyProcess proxy_without_upstreams({}, endpoint_list(1, true, {}));
  auto client = proxy_without_upstreams.connect();
  client.send(http_request("/pay"));
  EXPECT_EQ(status_of(client.receive_message()), 503);
  ListeningSocket listener;
  std::vector<std::string> hosts;
  for (int i = 0; i < 1000; ++i) hosts.push_back(endpoint_entry(i, listener.address()));
  ProxyProcess proxy_with_many_upstreams({}, endpoint_list(1, true, hosts));
  auto another = proxy_with_many_upstreams.connect();
  another.send(http_request("/pay"));
  expect_served(listener, another);
}

// Guards against picking an upstream without its load report: where only probes give load reports, a request
// waits for the replies to the probes.
TEST(Forwarding, PicksTheUpstreamWhoseProbesReportTheLeastLoad) {
  ProxyProcess proxy({.upstreams = 2,
                      .settings = R"(,"replicas_of_me":400,"limits":{"probes":true,"max_backend_fetches":3},)"
                                  R"("report":{"columns":["concurrent","depth"],"how":"on_probe"})"});
  auto client = proxy.connect();
  std::vector<TcpConnection> probes;
  for (int i = 0; i < 6; ++i) {
    client.send(http_request("/pay"));
    for (std::size_t n = 0; n < 2; ++n) {
      if (i == 0) probes.push_back(proxy.upstreams[n].accept());
      EXPECT_TRUE(probes[n].receive_message().starts_with("GET /-/load HTTP/1.1\r\n")) << i;
      probes[n].send(http_message("HTTP/1.1 200 OK", n == 0 ? "inflight=7,queue=6" : "inflight=0,queue=0"));
    }
    auto received = probes[1].receive_message();
    EXPECT_TRUE(received.starts_with("POST /pay") || received.starts_with("GET /pay")) << received;
    probes[1].send(ok_response);
    EXPECT_EQ(status_of(client.receive_message()), 200);
  }
}

}  // namespace
}  // namespace meadowgauge::test
