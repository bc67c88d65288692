// Tests of the HTTP parser, with its input split at every byte.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "protocol/http.hpp"

namespace meadowgauge::protocol {
namespace {

using transport::Pool;

// Renders the result of parsing as one text, to compare messages.
std::string render(const Message& m) {
  if (m.fault() != Fault::none) return "fault " + std::to_string(static_cast<int>(m.fault()));
  if (!m.complete()) return "incomplete";
  std::string t = std::string(m.method()) + " " + std::string(m.target()) + " " + std::to_string(m.status());
  for (const auto& f : m.fields()) t += "|" + std::string(f.name) + "=" + std::string(f.value);
  t += m.keep_alive() ? "|keep|" : "|close|";
  m.for_each_body_segment([&](std::string_view piece) { t += piece; });
  return t;
}

// Parses the `pieces` of one message and renders the result. `consumed`: the number of bytes consumed.
std::string parse_and_render(Message::Kind kind, const std::vector<std::string>& pieces,
                             std::size_t* consumed = nullptr) {
  Pool pool(8);
  Message m(pool, kind);
  std::size_t all = 0;
  for (const auto& p : pieces) all += m.feed(p);
  if (consumed) *consumed = all;
  return render(m);
}

const std::vector<std::string> requests = {
    "GET /view?x=1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\n\r\n",
    "\r\nPOST /pay HTTP/1.1\r\nHost:b\r\nContent-Length:  11 \r\nConnection: Keep-Alive, "
    "Close\r\n\r\nhello\r\n end",
    "POST /pay HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: "
    "chunked\r\n\r\n5\r\nhello\r\nA;ext=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
    "POST /pay HTTP/1.0\r\nContent-Length: 2\r\n\r\nok",
    "POST /pay HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloo\r\n",
    "GET / HTTP/1.1\r\nHost: b\r\nX : 1\r\n\r\n",
};

// Guards against results that depend on how the network splits a message.
TEST(HttpParser, SplitInputParsesTheSame) {
  for (const auto& r : requests) {
    auto whole = parse_and_render(Message::Kind::request, {r});
    EXPECT_NE(whole, "incomplete") << r;
    for (std::size_t at = 0; at <= r.size(); ++at)
      EXPECT_EQ(parse_and_render(Message::Kind::request, {r.substr(0, at), r.substr(at)}), whole)
          << r << " split at " << at;
    std::vector<std::string> bytes;
    for (char c : r) bytes.emplace_back(1, c);
    EXPECT_EQ(parse_and_render(Message::Kind::request, bytes), whole) << r;
  }
  const std::string answer =
      "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nTransfer-Encoding: "
      "chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
  for (std::size_t at = 0; at <= answer.size(); ++at)
    EXPECT_EQ(parse_and_render(Message::Kind::response, {answer.substr(0, at), answer.substr(at)}),
              "  503|X-Rejected=1|Transfer-Encoding=chunked|keep|x");
}

TEST(HttpParser, ReadsMethodTargetFieldsAndBody) {
  EXPECT_EQ(parse_and_render(Message::Kind::request, {requests[0]}),
            "GET /view?x=1 0|Host=b|X-Call-Id=1|keep|");
  EXPECT_EQ(parse_and_render(Message::Kind::request, {requests[2]}),
            "POST /pay 0|Host=b|Transfer-Encoding=chunked|keep|hello0123456789");
  EXPECT_EQ(parse_and_render(Message::Kind::request, {requests[3]}), "POST /pay 0|Content-Length=2|close|ok");
}

TEST(HttpParser, ConsumesOneMessageAndLeavesTheNext) {
  std::size_t consumed = 0;
  parse_and_render(Message::Kind::request, {requests[0] + requests[3]}, &consumed);
  EXPECT_EQ(consumed, requests[0].size());
}

// Guards against request smuggling: if balancer and server disagree on where a message ends, a client can
// hide a second request in the body of the first.
TEST(HttpParser, RejectsAmbiguousMessages) {
  const std::string head = "POST / HTTP/1.1\r\nHost: b\r\n";
  const std::pair<int, std::string> cases[] = {
      {400, head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n"},
      {400, head + "Content-Length: 1, 1\r\n\r\n"},
      {400, head + "Content-Length: +1\r\n\r\n"},
      {400, head + "Content-Length: 0x1\r\n\r\n"},
      {400, head + "Content-Length:\r\n\r\n"},
      {400, head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {400, head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {400, head + "Transfer-Encoding: xchunked\r\n\r\n"},
      {400, head + "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n"},
      {400, head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n"},
      {400, head + "Transfer-Encoding: chunked\r\n\r\n\r\n"},
      {400, head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(300, 'x')},
      {413, head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"},
      {413, head + "Transfer-Encoding: chunked\r\n\r\n10001\r\n"},
      {413, head + "Content-Length: 65537\r\n\r\n"},
      {400, head + "Host: c\r\n\r\n"},
      {400, "POST / HTTP/1.1\r\n\r\n"},
      {400, "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {400, head + "A: 1\n\r\n"},
      {400, head + "A: 1\r2\r\n\r\n"},
      {400, head + "A: 1\r\n 2\r\n\r\n"},
      {400, head + ": 1\r\n\r\n"},
      {400, head + std::string("A: \0\r\n\r\n", 8)},
      {400, "POST  / HTTP/1.1\r\n"},
      {400, "POST /a b HTTP/1.1\r\n"},
      {400, "POST http://b/ HTTP/1.1\r\n"},
      {400, "CONNECT / HTTP/1.1\r\n"},
      {400, "POST / HTTP/2.0\r\n"},
      {400, "\r\n\r\n"},
      {431, "POST /" + std::string(transport::buffer_size, 'x')},
      {431, head +
                [] {
                  std::string many;
                  for (int i = 0; i <= 100; ++i) many += "A: 1\r\n";
                  return many;
                }()},
  };
  for (const auto& [status, text] : cases)
    EXPECT_EQ(parse_and_render(Message::Kind::request, {text}), "fault " + std::to_string(status))
        << text.substr(0, 120);
  for (std::string bad :
       {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/2 200 OK\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n"})
    EXPECT_EQ(parse_and_render(Message::Kind::response, {bad}), "fault 400") << bad;
}

// Guards against crashes and against results that depend on the split, for random sequences of message parts.
TEST(HttpParser, SplitRandomInputParsesTheSame) {
  bool ok = rc::check([] {
    // Mostly valid parts, so that the parser reaches its later states.
    auto piece = rc::gen::element<std::string>("GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "Host: b\r\n",
                                               "\r\n", "Content-Length: 3\r\n",
                                               "Transfer-Encoding: chunked\r\n", "abc", "3\r\n", "0\r\n",
                                               "\n", "\r", std::string(1, '\0'), std::string(9000, 'y'));
    auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
    auto kind = *rc::gen::element(Message::Kind::request, Message::Kind::response);
    std::string whole;
    for (const auto& p : pieces) whole += p;
    RC_ASSERT(parse_and_render(kind, pieces) == parse_and_render(kind, {whole}));
  });
  EXPECT_TRUE(ok);
}

TEST(HttpParser, ReportsPoolWithoutBuffers) {
  Pool pool(0);
  Message m(pool, Message::Kind::request);
  m.feed("GET / HTTP/1.1\r\n");
  EXPECT_EQ(m.fault(), Fault::out_of_buffers);
}

// Guards against a message that is complete in spite of a fault in its framing fields.
TEST(HttpParser, FaultyMessageIsNotComplete) {
  for (std::string text : {"GET / HTTP/1.1\r\nHost: b\r\nHost: c\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
                           "GET / HTTP/1.1\r\nHost: b\r\nContent-Length: x\r\n\r\n",
                           "GET / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: x\r\n\r\n"}) {
    Pool pool(8);
    Message m(pool, Message::Kind::request);
    m.feed(text);
    EXPECT_EQ(m.fault(), Fault::malformed) << text;
    EXPECT_FALSE(m.complete()) << text;
  }
}

}  // namespace
}  // namespace meadowgauge::protocol
