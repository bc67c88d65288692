// Clients that disconnect before their request has ended: in the same turn of the event loop as another event
// (the test pauses the program to force this), or in a rare order. Each test is a row of
// docs/design/endings.md and runs with cancellation of attempts allowed and forbidden. The test acts as the
// clients and the upstreams.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

// Half-closes the connection and waits for the 500, which shows that the program has read the client's FIN.
void half_close(TcpConnection& client) {
  client.end_sending();
  EXPECT_EQ(status_of(client.receive_message()), 500);
}

// Guards against sending an abandoned request on a connection that is established 1 s after its client has
// disconnected.
TEST(ClientDisconnect, LateConnectionGetsNoAbandonedRequest) {
  for (bool cancelling : {true, false}) {
    UnresponsiveHost unresponsive_host;
    ProxyProcess proxy(one_upstream(cancelling),
                       endpoint_list(1, true, {endpoint_entry(0, unresponsive_host.listener.address())}));
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);  // the program has read the request
    half_close(client);
    auto first = unresponsive_host.listener.accept();  // frees the backlog: the next SYN is accepted
    auto upstream = unresponsive_host.listener.accept();
    expect_serves_new_client(proxy, upstream);
  }
}

// Guards against the same for a retry, after another upstream has rejected the request.
TEST(ClientDisconnect, LateConnectionGetsNoAbandonedRetry) {
  for (bool cancelling : {true, false}) {
    UnresponsiveHost unresponsive_host;
    ProxyProcess proxy(one_upstream(cancelling));
    auto discovery = proxy.discovery.accept();
    discovery.receive_message();
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    auto line =
        endpoint_list(2, false, {endpoint_entry(1, unresponsive_host.listener.address()), marker_entry}) +
        "\n";
    discovery.send(http_message("HTTP/1.1 200 OK", line + std::string(9, '\n')));
    proxy.wait_for_log(marker_log);
    upstream.send(rejected_response);
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);
    half_close(client);
    auto first = unresponsive_host.listener.accept();
    auto late = unresponsive_host.listener.accept();
    // The next two requests use both connections. Neither connection carries the abandoned request.
    for (int i = 0; i < 2; ++i) {
      auto other = proxy.connect();
      auto request = http_request("/pay");
      other.send(request);
      EXPECT_TRUE(eventually([&] { return !upstream.quiet() || !late.quiet(); }));
      expect_next_request(upstream.quiet() ? late : upstream, request, other);
    }
  }
}

// Guards against retries for clients that have left: thirty clients disconnect together, and 0.1 s later the
// upstream rejects all their requests. Only requests of clients that stay are retried at the second upstream.
TEST(ClientDisconnect, RetriesNoneOfThirtyThatDisconnectTogether) {
  for (bool cancelling : {true, false})
    for (bool disconnect : {true, false}) {
      ListeningSocket second;
      ProxyProcess proxy(one_upstream(cancelling, R"(,"stage":1,"stages":["front","pay"])"));
      auto discovery = proxy.discovery.accept();
      discovery.receive_message();
      std::vector<TcpConnection> clients, attempts;
      for (int i = 0; i < 30; ++i) {
        clients.push_back(proxy.connect());
        clients.back().send(http_request("/pay"));
        attempts.push_back(proxy.upstreams[0].accept());
        attempts.back().receive_message();
      }
      auto line = endpoint_list(2, false, {endpoint_entry(1, second.address()), marker_entry}) + "\n";
      discovery.send(http_message("HTTP/1.1 200 OK", line + std::string(9, '\n')));
      proxy.wait_for_log(marker_log);
      for (auto& client : clients)
        if (disconnect) client.close();
      sleep_until(Clock::now() + ms(100));
      for (auto& upstream : attempts) upstream.send(rejected_response);
      for (int i = 0; i < 3; ++i) EXPECT_EQ(proxy.get_status("/-/ready"), 200);
      if (disconnect)
        EXPECT_FALSE(second.has_pending_connection());
      else
        EXPECT_TRUE(eventually([&] { return second.has_pending_connection(); }));
    }
}

// Guards against sending an abandoned request once the load report that it waited for has arrived.
TEST(ClientDisconnect, DoesNotSendARequestThatWaitsForProbes) {
  for (bool cancelling : {true, false}) {
    ProxyProcess proxy(
        one_upstream(cancelling, R"(,"replicas_of_me":400,"limits":{"probes":true,"max_backend_fetches":3},)"
                                 R"("report":{"columns":["concurrent","depth"],"how":"on_probe"})"));
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = proxy.upstreams[0].accept();
    EXPECT_TRUE(upstream.receive_message().starts_with("GET /-/load "));
    half_close(client);
    auto idle = http_message("HTTP/1.1 200 OK", "inflight=0,queue=0");
    upstream.send(idle);
    auto other = proxy.connect();
    auto request = http_request("/pay");
    other.send(request);
    EXPECT_TRUE(upstream.receive_message().starts_with("GET /-/load "));
    upstream.send(idle);
    expect_next_request(upstream, request, other);
  }
}

// Guards against sending a request whose client disconnects in the same turn, on an idle connection or a new
// one.
TEST(ClientDisconnect, DoesNotSendARequestThatArrivesInTheSameTurn) {
  for (bool cancelling : {true, false})
    for (bool idle : {true, false})
      for (bool reset : {false, true}) {
        ProxyProcess proxy(one_upstream(cancelling));
        TcpConnection upstream;
        if (idle) {
          auto before = proxy.connect();
          before.send(http_request("/pay"));
          upstream = expect_served(proxy.upstreams[0], before);
        }
        auto client = proxy.connect();
        EXPECT_EQ(proxy.get_status("/-/ready"), 200);
        proxy.pause();
        client.send(http_request("/pay"));
        reset ? client.reset() : client.end_sending();
        proxy.resume();
        auto other = proxy.connect();
        auto request = http_request("/pay");
        other.send(request);
        if (!idle) upstream = proxy.upstreams[0].accept();
        expect_next_request(upstream, request, other);
      }
}

// Guards against forwarding the pipelined request of a client that has left: epoll reports the client's FIN
// only once, while the first response is being sent.
TEST(ClientDisconnect, DuringAResponseCountsForThePipelinedRequest) {
  for (bool cancelling : {true, false}) {
    ProxyProcess proxy(one_upstream(cancelling));
    auto client = proxy.connect();
    client.send(http_request("/pay"));
    auto upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    std::string large_body(16 << 20, 'x');  // larger than the socket buffers
    std::thread sender([&] { upstream.send(http_message("HTTP/1.1 200 OK", large_body)); });
    EXPECT_TRUE(client.receive_some());
    client.send(http_request("/pay"));
    client.end_sending();
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);
    EXPECT_EQ(status_and_body(client.receive_message()).second.size(), large_body.size());
    EXPECT_EQ(status_of(client.receive_message()), 500);
    sender.join();
    expect_serves_new_client(proxy, upstream);
  }
}

// Guards against two responses, and against an unusable upstream connection, when the client disconnects in
// the same turn as the response arrives. Tests both orders of the events.
TEST(ClientDisconnect, InOneTurnWithTheResponseGivesOneResponseAtMost) {
  for (bool cancelling : {true, false})
    for (bool answer_first : {true, false})
      for (bool reset : {true, false}) {
        ProxyProcess proxy(one_upstream(cancelling));
        auto client = proxy.connect();
        client.send(http_request("/pay"));
        auto upstream = proxy.upstreams[0].accept();
        upstream.receive_message();
        proxy.pause();
        if (answer_first) upstream.send(ok_response);
        reset ? client.reset() : client.end_sending();
        if (!answer_first) upstream.send(ok_response);
        proxy.resume();
        if (!reset) {
          auto status = status_of(client.receive_message());
          EXPECT_TRUE(status == 200 || status == 500) << status;
          EXPECT_EQ(client.receive_until_end(), "");
        }
        auto other = proxy.connect();
        auto request = http_request("/pay");
        other.send(request);
        EXPECT_TRUE(
            eventually([&] { return !upstream.quiet() || proxy.upstreams[0].has_pending_connection(); }));
        if (proxy.upstreams[0].has_pending_connection())
          upstream =
              proxy.upstreams[0].accept();  // the program has cancelled the attempt and closed its connection
        expect_next_request(upstream, request, other);
      }
}

// Guards against two responses, or none, when the upstream resets its connection in the turn in which the
// client half-closes.
TEST(ClientDisconnect, InOneTurnWithAnUpstreamResetGivesOneResponse) {
  for (bool cancelling : {true, false})
    for (bool reset_first : {true, false}) {
      ProxyProcess proxy({.upstreams = 2, .cancelling = cancelling});
      auto client = proxy.connect();
      client.send("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: gone" + std::string(reset_first ? "1" : "0") +
                  "\r\n\r\n");
      auto first_index = wait_for_dialled_upstream(proxy);
      auto upstream = proxy.upstreams[first_index].accept();
      upstream.receive_message();
      proxy.pause();
      if (reset_first) upstream.reset();
      client.end_sending();
      if (!reset_first) upstream.reset();
      proxy.resume();
      EXPECT_EQ(status_of(client.receive_message()), 500);
      EXPECT_EQ(client.receive_until_end(), "");
      auto other = proxy.connect();
      auto request = http_request("/pay");
      other.send(request);
      auto next_index = wait_for_dialled_upstream(proxy);
      auto next_upstream = proxy.upstreams[next_index].accept();
      expect_next_request(next_upstream, request, other);
    }
}

}  // namespace
}  // namespace meadowgauge::test
