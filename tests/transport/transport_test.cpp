// Tests of buffers, due times, the event loop and connections, without HTTP.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <system_error>

#include "transport/address.hpp"
#include "transport/due_times.hpp"
#include "transport/listener.hpp"
#include "transport/stream.hpp"
#include "transport/turn_times.hpp"

namespace meadowgauge::transport {
namespace {

// Guards against measuring the work or the delay of a turn from the wrong point in time.
TEST(TurnMeter, MeasuresWorkAndDelay) {
  TurnMeter turns(1000);
  turns.turn_began(1020, 1035);  // became due during the wait
  EXPECT_EQ(turns.current().late_ms, 15);
  turns.turn_ended(1065);
  EXPECT_EQ(turns.current().work_ms, 30);
  EXPECT_EQ(turns.time_until(1100), 35);  // from the end of the turn, not from its begin
  turns.turn_began(1050, 1070);           // was due before the start of the wait
  EXPECT_EQ(turns.current().late_ms, 5);
  EXPECT_EQ(turns.current().gap_ms, 35);
  turns.turn_ended(1071);
  turns.turn_began(1100, 1080);  // an event ended the wait early
  EXPECT_EQ(turns.current().late_ms, 0);
  EXPECT_EQ(turns.longest().late_ms, 15);
  EXPECT_EQ(turns.longest().work_ms, 30);
}

TEST(Pool, EnforcesItsLimitAndReusesBuffers) {
  Pool pool(2);
  auto a = pool.take();
  auto* at = a.data();
  {
    auto b = pool.take();
    EXPECT_TRUE(b);
    EXPECT_FALSE(pool.take());
  }
  EXPECT_EQ(pool.out(), 1u);
  a = {};
  EXPECT_EQ(pool.out(), 0u);
  EXPECT_EQ(pool.take().data(), at);  // the buffer that was returned last
}

// Guards against bodies that take the buffers which connections need for heads and short messages.
TEST(Pool, KeepsItsReserveForEssentialUses) {
  Pool pool(4);
  pool.set_reserve(3);
  auto shared = pool.take(BufferUse::shared);
  EXPECT_TRUE(shared);
  EXPECT_FALSE(pool.take(BufferUse::shared));
  std::vector<Buffer> essential;
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(essential.emplace_back(pool.take()));
  EXPECT_FALSE(pool.take());
  shared = {};
  EXPECT_TRUE(pool.take(BufferUse::shared));
}

struct CountingWaiter final : BufferWaiter {
  int n = 0;
  void buffer_available() override { ++n; }
};

// Guards against a waiter that is passed over, and against waiters that ask in each turn.
TEST(Pool, NotifiesAWaiterForEachAvailableBufferInOrder) {
  Pool pool(2);
  CountingWaiter first, second, third;
  auto a = pool.take();
  auto b = pool.take();
  for (auto* waiter : {&first, &first, &second, &third}) pool.wait(*waiter);
  pool.notify_waiters();
  EXPECT_EQ(first.n, 0);
  b = {};
  pool.stop_waiting(second);
  pool.notify_waiters();
  EXPECT_EQ(first.n, 1);
  EXPECT_EQ(third.n, 0);
  pool.notify_waiters();
  EXPECT_EQ(third.n, 1);
  EXPECT_EQ(first.n + second.n, 1);
}

TEST(Pool, TrimFreesIdleBuffers) {
  Pool pool(1000);
  {
    std::vector<Buffer> all;
    for (int i = 0; i < 1000; ++i) all.push_back(pool.take());
  }
  EXPECT_EQ(pool.spare(), 1000u);
  for (int i = 0; i < 12; ++i) pool.trim();
  EXPECT_LE(pool.spare(), 16u);
}

TEST(Chain, BehavesLikeAString) {
  bool ok = rc::check([] {
    Pool pool(8);
    {
      Chain chain(pool);
      std::string model;
      auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 40000)));
      for (auto [what, n] : steps) {
        auto size = static_cast<std::size_t>(n);
        if (what == 0) {
          std::string more(size, static_cast<char>('a' + n % 26));
          if (chain.append(more)) model += more;
        } else if (what == 1) {
          chain.consume(size);
          model.erase(0, size);
        } else if (what == 2) {
          chain.truncate_to(size);
          model.resize(std::min(model.size(), size));
        } else if (what == 3) {
          auto from = std::min(size / 2, model.size());
          chain.erase(from, size);
          model.erase(from, size);
        } else if (what == 4) {
          auto space = chain.ensure_space(1 + size % buffer_size, BufferUse::shared);
          if (space > 0) {
            std::string more(space, 'r');
            RC_ASSERT(chain.append(more));
            model += more;
          }
        } else {
          std::string from;
          chain.each(size, [&](std::string_view piece) { from += piece; });
          RC_ASSERT(from == (size < model.size() ? model.substr(size) : std::string()));
        }
        RC_ASSERT(chain.size() == model.size());
        RC_ASSERT(model.starts_with(chain.front()));
        RC_ASSERT(chain.front().empty() == model.empty());
      }
    }
    RC_ASSERT(pool.out() == 0u);
  });
  EXPECT_TRUE(ok);
}

TEST(Chain, AppendsAllOrNothing) {
  Pool pool(2);
  Chain chain(pool);
  EXPECT_TRUE(chain.append("first"));
  EXPECT_FALSE(chain.append(std::string(3 * buffer_size, 'x')));
  EXPECT_EQ(chain.front(), "first");
  EXPECT_EQ(pool.out(), 1u);
}

TEST(DueTimes, KeepOneTimePerKeyInOrder) {
  DueTimes due;
  double a = DueTimes::none, b = DueTimes::none;
  due.set(due_key(1, 7), a, 50);
  due.set(due_key(2, 7), b, 40);
  EXPECT_EQ(due.next(), 40);
  EXPECT_FALSE(due.first(39));
  EXPECT_EQ(due.first(60), due_key(2, 7));
  due.set(due_key(2, 7), b, 70);
  EXPECT_EQ(due.first(60), due_key(1, 7));
  due.set(due_key(1, 7), a, DueTimes::none);
  due.set(due_key(2, 7), b, DueTimes::none);
  EXPECT_EQ(due.next(), DueTimes::none);
  EXPECT_EQ(kind_of(due_key(3, 9)), 3);
  EXPECT_EQ(number_of(due_key(3, 9)), 9u);
}

TEST(Address, ParsesNumericAddressesOnly) {
  EXPECT_EQ(Address::parse("127.0.0.1:80")->family(), AF_INET);
  EXPECT_EQ(Address::parse("[::1]:80")->family(), AF_INET6);
  for (const auto* bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:x", "localhost:80", "::1:80", ":80"})
    EXPECT_FALSE(Address::parse(bad)) << bad;
}

// Counts its events, then calls `then`.
struct Counter final : EventHandler {
  int n = 0;
  std::uint32_t seen = 0;
  std::function<void()> then = [] {};
  void ready(std::uint32_t events) override {
    ++n;
    seen |= events;
    then();
  }
};

// Guards against a stale event that reaches the wrong handler: two descriptors are ready in one batch, the
// first handler closes the other descriptor, and a new registration reuses its number.
TEST(Loop, DropsStaleEventsOfAReusedDescriptor) {
  Loop loop;
  int p[2], q[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, p), 0);
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, q), 0);
  Fd first_near(p[0]), first_far(p[1]), second_near(q[0]), second_far(q[1]);
  Counter first, second, later;
  auto a = loop.add(first_near.get(), first, EPOLLIN);
  auto b = loop.add(second_near.get(), second, EPOLLIN);
  Fd r0, r1;
  auto replace = [&](Fd& old, std::uint64_t token) {
    loop.remove(token, old.get());
    old.close();
    int r[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, r), 0);
    r0 = Fd(r[0]);
    r1 = Fd(r[1]);
    loop.add(r0.get(), later, EPOLLIN);
    first.then = second.then = [] {};
  };
  first.then = [&] { replace(second_near, b); };
  second.then = [&] { replace(first_near, a); };
  ASSERT_EQ(write(first_far.get(), "x", 1), 1);
  ASSERT_EQ(write(second_far.get(), "x", 1), 1);
  loop.wait(1000);
  loop.dispatch();
  EXPECT_EQ(first.n + second.n, 1);
  EXPECT_EQ(later.n, 0);
}

TEST(Loop, RepeatsEventsWithoutWaiting) {
  Loop loop;
  int p[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, p), 0);
  Fd first_near(p[0]), first_far(p[1]);
  Counter c;
  auto token = loop.add(first_near.get(), c, EPOLLIN);
  loop.again(token, EPOLLIN);
  loop.wait(60000);
  loop.dispatch();
  EXPECT_EQ(c.n, 1);
  loop.again(token, EPOLLIN);
  loop.remove(token, first_near.get());
  loop.wait(60000);
  loop.dispatch();
  EXPECT_EQ(c.n, 1);
}

// Guards against memory and work that double with each batch: a handler that waits for a resource asks for
// its event several times in each notification.
TEST(Loop, CombinesRepeatedEventsOfARegistration) {
  Loop loop;
  int p[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, p), 0);
  Fd first_near(p[0]), first_far(p[1]);
  Counter c;
  auto token = loop.add(first_near.get(), c, EPOLLIN);
  c.then = [&] {
    loop.again(token, EPOLLIN);
    loop.again(token, EPOLLOUT);
  };
  c.then();
  for (int batch = 1; batch <= 20; ++batch) {
    c.seen = 0;
    loop.wait(60000);
    loop.dispatch();
    ASSERT_EQ(c.n, batch);
    EXPECT_EQ(c.seen & (EPOLLIN | EPOLLOUT), static_cast<std::uint32_t>(EPOLLIN | EPOLLOUT));
  }
}

// A pair of connected streams over loopback.
struct Pair {
  Pool pool{64};
  Loop loop;
  Counter listening, near, far;
  Listener listener{loop, *Address::parse("127.0.0.1:0"), listening};
  std::unique_ptr<Stream> a, b;
  Pair() {
    a = std::make_unique<Stream>(loop, pool, Stream::dial(listener.address()), near);
    bool full = false;
    Fd fd;
    while (!fd) {
      loop.wait(1000);
      loop.dispatch();
      fd = listener.accept(full);
    }
    b = std::make_unique<Stream>(loop, pool, std::move(fd), far);
  }
};

TEST(Stream, TransfersLargeDataInParts) {
  Pair p;
  std::string sent(40 * buffer_size, 'x');
  for (std::size_t i = 0; i < sent.size(); ++i) sent[i] = static_cast<char>(i * 7 % 255);
  ASSERT_TRUE(p.a->out().append(sent));
  std::string got;
  while (got.size() < sent.size()) {
    ASSERT_TRUE(p.a->flush());
    while (p.b->fill() == Stream::ReadResult::bytes) {
      got += p.b->bytes();
      p.b->consume(p.b->bytes().size());
    }
    p.loop.wait(1);
    p.loop.dispatch();
  }
  EXPECT_EQ(got, sent);
  EXPECT_TRUE(p.a->flushed());
  EXPECT_EQ(p.pool.out(), 0u);
}

// Guards against unread input that holds buffers: without shared buffers it stays in the socket.
TEST(Stream, LeavesUnconsumedInputInTheSocket) {
  Pair p;
  p.pool.set_reserve(64);
  ASSERT_TRUE(p.a->out().append("first second"));
  ASSERT_TRUE(p.a->flush());
  while (p.b->quiet()) {
  }
  ASSERT_EQ(p.b->fill(5), Stream::ReadResult::bytes);
  EXPECT_EQ(p.b->bytes(), "first");
  ASSERT_EQ(p.b->fill(), Stream::ReadResult::bytes);
  EXPECT_EQ(p.b->bytes(), "first second");
  p.b->consume(6);
  EXPECT_EQ(p.b->bytes(), "");
  EXPECT_EQ(p.pool.out(), 0u);
  ASSERT_EQ(p.b->fill(), Stream::ReadResult::bytes);
  EXPECT_EQ(p.b->bytes(), "second");
  p.b->consume(6);
  EXPECT_EQ(p.b->fill(), Stream::ReadResult::nothing);
  EXPECT_TRUE(p.b->drained());
}

TEST(Stream, DetectsTheEndAndRaisesNoSigpipe) {
  Pair p;
  EXPECT_TRUE(p.a->quiet());
  EXPECT_EQ(p.a->fill(), Stream::ReadResult::nothing);
  p.b->close();
  while (p.a->quiet()) {
  }
  EXPECT_EQ(p.a->fill(), Stream::ReadResult::end);
  for (bool ok = true; ok;) {
    if (p.a->out().size() == 0) {
      ASSERT_TRUE(p.a->out().append("x"));
    }
    ok = p.a->flush();
  }
}

TEST(Listener, ErrorNamesTheOccupiedAddress) {
  Pair p;
  try {
    Counter c;
    Listener second(p.loop, p.listener.address(), c);
    FAIL();
  } catch (const std::system_error& e) {
    EXPECT_NE(std::string(e.what()).find(p.listener.address().text()), std::string::npos);
  }
}

}  // namespace
}  // namespace meadowgauge::transport
