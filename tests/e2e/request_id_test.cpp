// Request ids that come again while the effect of their request may still come. The test acts as the clients
// and the upstreams.
#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_checks.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/responding_upstream.hpp"
#include "fixtures/upgrade_pair.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

int status_of_request(TcpConnection client, const std::string& request) {
  client.send(request);
  return status_of(client.receive_message());
}

// Guards against a second run of a request whose client leaves and sends it again on a new connection: while
// the first attempt is out, after it was cancelled, and after it has ended.
TEST(RequestId, IsNotRunAgainAfterItsClientHasLeft) {
  for (bool cancelling : {true, false}) {
    ProxyProcess proxy(one_upstream(cancelling));
    const auto request = http_request("/pay");
    auto client = proxy.connect();
    client.send(request);
    auto upstream = proxy.upstreams[0].accept();
    upstream.receive_message();
    client.close();
    EXPECT_EQ(status_of_request(proxy.connect(), request), 409);
    if (cancelling)
      upstream.receive_until_end();
    else
      upstream.send(ok_response);
    EXPECT_EQ(proxy.get_status("/-/ready"), 200);
    EXPECT_EQ(status_of_request(proxy.connect(), request), 409);
    EXPECT_FALSE(proxy.upstreams[0].has_pending_connection());
  }
}

// Guards against holding an id whose request is known not to have run: its client may send it again.
TEST(RequestId, IsFreeOnceItsRequestIsKnownNotToHaveRun) {
  std::atomic<bool> rejects = true;
  ProxyProcess proxy({.upstreams = 1});
  RespondingUpstream upstream(proxy.upstreams[0],
                              [&](const std::string&) { return rejects ? rejected_response : ok_response; });
  const auto request = http_request("/pay");
  EXPECT_EQ(status_of_request(proxy.connect(), request), 503);
  rejects = false;
  EXPECT_EQ(status_of_request(proxy.connect(), request), 200);
}

// Guards against a second run at the other process of an upgrade, in either direction.
TEST(RequestId, IsNotRunAgainAtTheOtherProcessOfAnUpgrade) {
  UpgradePair pair;
  auto kept = pair.old.connect();
  kept.send(http_request("/-/ready"));
  kept.receive_message();
  const auto first = http_request("/pay"), second = http_request("/pay");
  auto client = pair.old.connect();
  client.send(first);
  auto upstream = pair.upstream.accept();
  upstream.receive_message();
  pair.start_next();
  pair.wait_until_next_serves();
  client.close();
  EXPECT_EQ(status_of_request(pair.next->connect(), first), 409);
  auto next_client = pair.next->connect();
  next_client.send(second);
  auto next_upstream = pair.upstream.accept();
  next_upstream.receive_message();
  next_client.close();
  kept.send(second);
  EXPECT_EQ(status_of(kept.receive_message()), 409);
  EXPECT_FALSE(pair.upstream.has_pending_connection());
}

}  // namespace
}  // namespace meadowgauge::test
