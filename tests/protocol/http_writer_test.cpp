// Tests of how messages are forwarded.
#include "protocol/http_writer.hpp"

#include <gtest/gtest.h>

#include "protocol/http.hpp"

namespace meadowgauge::protocol {
namespace {

using transport::Pool;

TEST(HttpWriter, DropsHopByHopFields) {
  Pool pool(8);
  Message m(pool, Message::Kind::request);
  m.feed(
      "POST /pay?a=1 HTTP/1.1\r\nHost: b\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\n"
      "X-Call-Id: 7\r\nX-Budget-Ms: 900\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nok");
  transport::Chain out(pool);
  EXPECT_TRUE(write_request(out, m, 412.7));
  EXPECT_EQ(out.front(),
            "POST /pay?a=1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: 7\r\nIdempotency-Key: k\r\nX-Budget-Ms: 412\r\n"
            "Content-Length: 2\r\n\r\nok");
  Message a(pool, Message::Kind::response);
  a.feed("HTTP/1.1 200 Fine\r\nX-Load-Report: util=1\r\nContent-Type: t\r\nContent-Length: 1\r\n\r\nz");
  out.clear();
  EXPECT_TRUE(write_response(out, a, true));
  EXPECT_EQ(out.front(),
            "HTTP/1.1 200 OK\r\nContent-Type: t\r\nConnection: close\r\nContent-Length: 1\r\n\r\nz");
}

TEST(HttpWriter, AddsHostFieldToHttp10Request) {
  Pool pool(8);
  Message m(pool, Message::Kind::request);
  m.feed("GET /v HTTP/1.0\r\nX-Call-Id: 7\r\n\r\n");
  transport::Chain out(pool);
  EXPECT_TRUE(write_request(out, m, 5));
  EXPECT_EQ(out.front(), "GET /v HTTP/1.1\r\nX-Call-Id: 7\r\nHost: \r\nX-Budget-Ms: 5\r\n\r\n");
}

TEST(HttpWriter, KeepsContentLengthOfResponseToHead) {
  Pool pool(8);
  Message a(pool, Message::Kind::response);
  a.expect_no_body();
  a.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  EXPECT_TRUE(a.complete());
  transport::Chain out(pool);
  EXPECT_TRUE(write_response(out, a, false));
  EXPECT_EQ(out.front(), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
}

}  // namespace
}  // namespace meadowgauge::protocol
