// Hedged requests whose two responses are too large to be buffered: one of them is forwarded. The test acts
// as the clients and the upstreams.
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/responding_upstream.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {
namespace {

constexpr std::size_t body_bytes = 2'000'000;

std::string view_request(const std::string& path, int number) {
  return "GET /view/" + path +
         " HTTP/1.1\r\nHost: b\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\nX-Call-Id: " + path +
         std::to_string(number) + "\r\n\r\n";
}

// Three upstreams. The upstream that receives the hedged request first responds only when another one has
// received it as well, or `second_large` is false: then the other response fits in the buffer.
class HedgedStream : public testing::TestWithParam<std::pair<bool, bool>> {
 protected:
  std::string respond(const std::string& request) {
    if (!request.starts_with("GET /view/hedged")) return ok_response;
    int attempt = attempts_++;
    if (attempt == 0) eventually([this] { return attempts_ >= 2; });
    if (attempt > 0) both_began_ = true;
    eventually([this] { return both_began_.load(); });
    auto size = attempt == 0 || GetParam().second ? body_bytes : 1000;
    return http_message("HTTP/1.1 200 OK", std::string(size, static_cast<char>('a' + attempt)));
  }

  std::atomic<int> attempts_ = 0;
  std::atomic<bool> both_began_ = false;
};

// Guards against a response that is not passed on to its end because another attempt's response begins, or
// completes, meanwhile.
TEST_P(HedgedStream, ClientGetsOneResponseWhole) {
  auto [cancelling, second_large] = GetParam();
  ProxyProcess proxy({.upstreams = 3,
                      .settings = std::string(R"(,"limits":{"max_backend_fetches":3,"most_held":20000,)") +
                                  R"("second_copies":true,"dial_timeout_ms":1000.0,"cancelling":)" +
                                  (cancelling ? "true}" : "false}")});
  auto respond_to = [this](const std::string& request) { return respond(request); };
  RespondingUpstream first(proxy.upstreams[0], respond_to);
  RespondingUpstream second(proxy.upstreams[1], respond_to);
  RespondingUpstream third(proxy.upstreams[2], respond_to);
  auto serve_others = [&](int from, int count) {
    auto client = proxy.connect();
    for (int i = from; i < from + count; ++i) {
      client.send(view_request("other", i));
      client.receive_message();
      std::this_thread::sleep_for(ms(5));
    }
  };
  serve_others(0, 60);
  auto client = proxy.connect();
  client.send(view_request("hedged", 0));
  std::atomic<bool> done = false;
  std::thread others([&] {
    for (int i = 1; !done; ++i) serve_others(100 * i, 10);
  });
  EXPECT_TRUE(eventually([&] { return attempts_ >= 2; })) << "the request was not hedged";
  auto [status, body] = status_and_body(client.receive_message());
  EXPECT_EQ(status, 200);
  ASSERT_FALSE(body.empty());
  EXPECT_EQ(body.size(), body[0] == 'a' || second_large ? body_bytes : 1000);
  EXPECT_EQ(body.find_first_not_of(body[0]), std::string::npos);
  done = true;
  others.join();
}

INSTANTIATE_TEST_SUITE_P(CancellingAndSize, HedgedStream,
                         testing::Values(std::pair(true, true), std::pair(false, true),
                                         std::pair(true, false), std::pair(false, false)));

}  // namespace
}  // namespace meadowgauge::test
