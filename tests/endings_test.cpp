// Where something ends while something is still owed: two events in one turn of the loop (the program is
// stopped meanwhile), or in an order that seldom comes. Each test is a row of docs/design/endings.md; the
// verdict is what clients and upstreams got.
#include <sys/stat.h>

#include <map>
#include <random>

#include "service.hpp"

namespace meadow::test {
namespace {

std::string id_of(const std::string& visit) {
  auto at = visit.find("X-Call-Id: ");
  return at == visit.npos ? "" : visit.substr(at, visit.find('\r', at) - at);
}

// Until then on this machine's clock: time itself is what the test is about.
void pass(Clock::time_point until) {
  while (Clock::now() < until) std::this_thread::sleep_until(until);
}
std::chrono::milliseconds ms(int n) { return std::chrono::milliseconds(n); }

// The client ends its sending, and has its answer: the program knows that it has left.
void leaves(Peer& client) {
  client.end_sending();
  EXPECT_EQ(status_of(client.hear()), 500);
}

// Whatever comes at that server next is this visit, and it is served.
void next_there_is(Peer& up, const std::string& said, Peer& client) {
  EXPECT_EQ(id_of(up.hear()), id_of(said));
  up.say(ok);
  EXPECT_EQ(status_of(client.hear()), 200);
}

Options with(bool cancelling, const std::string& settings = "") {
  return {.upstreams = 1, .settings = settings, .cancelling = cancelling};
}

// --- A client that has left --------------------------------------------------------------------------------

// Where cancels are forbidden its visit went out when the dial came up, a second later.
TEST(Endings, AVisitWhoseClientHasLeftIsNotSentWhenItsDialComesUp) {
  for (bool cancelling : {true, false}) {
    Vanished back;
    Service s(with(cancelling), listing(1, true, {host(0, back.door.address())}));
    auto client = s.connect();
    client.say(visit("/pay"));
    EXPECT_EQ(s.ask("/-/ready"), 200);  // the visit has been read by then
    leaves(client);
    auto first = back.door.open();  // there is room now: the next try of the dial comes up
    auto up = back.door.open();
    auto other = s.connect();
    auto said = visit("/pay");
    other.say(said);
    next_there_is(up, said, other);
  }
}

// The same for one that was turned away elsewhere before.
TEST(Endings, ARetryWhoseClientHasLeftIsNotSentWhenItsDialComesUp) {
  for (bool cancelling : {true, false}) {
    Vanished back;
    Service s(with(cancelling));
    auto d = s.discovery.open();
    d.hear();
    auto client = s.connect();
    client.say(visit("/pay"));
    auto up = s.upstreams[0].open();
    up.hear();
    auto line = listing(2, false, {host(1, back.door.address()), R"({"host":"mark","health":"odd"})"}) + "\n";
    d.say(sized("HTTP/1.1 200 OK", line + std::string(9, '\n')));
    s.logged("mark: unknown health");
    up.say(rejected);
    EXPECT_EQ(s.ask("/-/ready"), 200);
    leaves(client);
    auto first = back.door.open();
    auto late = back.door.open();
    // Both are tried by what comes next; the departed one's visit is at neither.
    for (int i = 0; i < 2; ++i) {
      auto other = s.connect();
      auto said = visit("/pay");
      other.say(said);
      while (up.quiet() && late.quiet()) {
      }
      next_there_is(up.quiet() ? late : up, said, other);
    }
  }
}

TEST(Endings, AVisitThatWaitsForProbesIsNotSentOnceItsClientHasLeft) {
  for (bool cancelling : {true, false}) {
    Service s(with(cancelling, R"(,"replicas_of_me":400,"limits":{"probes":true,"max_backend_fetches":3},)"
                               R"("report":{"columns":["concurrent","depth"],"how":"on_probe"})"));
    auto client = s.connect();
    client.say(visit("/pay"));
    auto up = s.upstreams[0].open();
    EXPECT_TRUE(up.hear().starts_with("GET /-/load "));
    leaves(client);
    auto idle = sized("HTTP/1.1 200 OK", "inflight=0,queue=0");
    up.say(idle);
    auto other = s.connect();
    auto said = visit("/pay");
    other.say(said);
    EXPECT_TRUE(up.hear().starts_with("GET /-/load "));
    up.say(idle);
    next_there_is(up, said, other);
  }
}

// A visit and its client's end that come in one turn: nothing of it is sent, over an idle connection or a
// dial.
TEST(Endings, AVisitThatComesWithItsClientsEndIsNotSent) {
  for (bool cancelling : {true, false})
    for (bool idle : {true, false})
      for (int how : {0, 1}) {
        Service s(with(cancelling));
        Peer up;
        if (idle) {
          auto before = s.connect();
          before.say(visit("/pay"));
          up = answered(s.upstreams[0], ok);
          EXPECT_EQ(status_of(before.hear()), 200);
        }
        auto client = s.connect();
        EXPECT_EQ(s.ask("/-/ready"), 200);
        s.stop();
        client.say(visit("/pay"));
        how == 0 ? client.end_sending() : client.reset();
        s.go();
        auto other = s.connect();
        auto said = visit("/pay");
        other.say(said);
        if (!idle) up = s.upstreams[0].open();
        next_there_is(up, said, other);
      }
}

// The end is told once, while the answer before is on its way: the visit behind it was served to nobody.
TEST(Endings, AnEndThatComesWhileAnAnswerIsOnItsWayCountsForTheVisitBehindIt) {
  for (bool cancelling : {true, false}) {
    Service s(with(cancelling));
    auto client = s.connect();
    client.say(visit("/pay"));
    auto up = s.upstreams[0].open();
    up.hear();
    std::string big(16 << 20, 'x');  // more than sockets hold
    std::thread sends([&] { up.say(sized("HTTP/1.1 200 OK", big)); });
    EXPECT_TRUE(client.some());
    client.say(visit("/pay"));
    client.end_sending();
    EXPECT_EQ(s.ask("/-/ready"), 200);
    EXPECT_EQ(status_and_body(client.hear()).second.size(), big.size());
    EXPECT_EQ(status_of(client.hear()), 500);
    sends.join();
    auto other = s.connect();
    auto said = visit("/pay");
    other.say(said);
    next_there_is(up, said, other);
  }
}

// An answer and its client's end in one turn, in both orders: one answer at most, and the connection is as
// good as before.
TEST(Endings, AnAnswerAndItsClientsEndInOneTurn) {
  for (bool cancelling : {true, false})
    for (bool answer_first : {true, false})
      for (bool reset : {true, false}) {
        Service s(with(cancelling));
        auto client = s.connect();
        client.say(visit("/pay"));
        auto up = s.upstreams[0].open();
        up.hear();
        s.stop();
        if (answer_first) up.say(ok);
        reset ? client.reset() : client.end_sending();
        if (!answer_first) up.say(ok);
        s.go();
        if (!reset) {
          auto status = status_of(client.hear());
          EXPECT_TRUE(status == 200 || status == 500) << status;
          EXPECT_EQ(client.rest(), "");
        }
        auto other = s.connect();
        auto said = visit("/pay");
        other.say(said);
        while (up.quiet() && !s.upstreams[0].dialled()) {
        }
        if (s.upstreams[0].dialled()) up = s.upstreams[0].open();  // called off
        next_there_is(up, said, other);
      }
}

// --- A fetch -----------------------------------------------------------------------------------------------

// An answer that is here when the time is up counts, and there is one answer.
TEST(Endings, AnAnswerAndTheTimeOutOfItsFetchInOneTurn) {
  Service s(with(true));
  auto client = s.connect();
  auto from = Clock::now();
  client.say(visit("/pay", 600));
  auto up = s.upstreams[0].open();
  up.hear();
  s.stop();
  pass(from + ms(900));
  up.say(ok);
  s.go();
  EXPECT_EQ(status_of(client.hear()), 200);
  auto said = visit("/pay");
  client.say(said);
  next_there_is(up, said, client);
}

// A dial that comes up as the time of who waited for it is over: nothing is sent that would be given up at
// once.
TEST(Endings, ADialThatComesUpAsTheVisitsTimeIsOverIsNotUsedForIt) {
  Vanished back;
  Service s(with(true), listing(1, true, {host(0, back.door.address())}));
  auto client = s.connect();
  auto from = Clock::now();
  client.say(visit("/pay", 700));
  // Read by the first answer, and carried out by the second.
  for (int i = 0; i < 2; ++i) EXPECT_EQ(s.ask("/-/ready"), 200);
  s.stop();
  auto first = back.door.open();
  auto up = back.door.open();  // by the system, about a second after the first try
  pass(from + ms(1200));
  s.go();
  EXPECT_EQ(status_of(client.hear()), 503);  // it never ran
  auto said = visit("/pay");
  client.say(said);
  next_there_is(up, said, client);
}

// Two fetches of one visit and one reset each in one turn: one answer, and what is owed is the answer alone.
TEST(Endings, AResetAndTheClientsEndInOneTurn) {
  for (bool cancelling : {true, false})
    for (bool reset_first : {true, false}) {
      Service s({.upstreams = 2, .cancelling = cancelling});
      auto client = s.connect();
      client.say("GET /view HTTP/1.1\r\nHost: b\r\nX-Call-Id: gone" + std::to_string(reset_first) +
                 "\r\n\r\n");
      auto at = static_cast<std::size_t>(dialled(s));
      auto up = s.upstreams[at].open();
      up.hear();
      s.stop();
      if (reset_first) up.reset();
      client.end_sending();
      if (!reset_first) up.reset();
      s.go();
      EXPECT_EQ(status_of(client.hear()), 500);
      EXPECT_EQ(client.rest(), "");
      auto other = s.connect();
      auto said = visit("/pay");
      other.say(said);
      auto to = static_cast<std::size_t>(dialled(s));
      auto there = s.upstreams[to].open();
      next_there_is(there, said, other);
    }
}

// More wait for a server than are dialled for at a time: each gets its dial, and none its time-out.
TEST(Endings, WhoWaitsBeyondTheDialsAtATimeIsDialledForNext) {
  // A deeper tier, where nothing is turned away for want of room.
  Service s({.upstreams = 1, .settings = R"(,"stage":1,"stages":["front","back"])"});
  constexpr int all = 14;
  std::vector<Peer> clients, ups;
  for (int i = 0; i < all; ++i) clients.push_back(s.connect());
  EXPECT_EQ(s.ask("/-/ready"), 200);
  s.stop();
  for (auto& c : clients) c.say(visit("/pay"));
  s.go();
  for (int i = 0; i < all; ++i) {
    ups.push_back(s.upstreams[0].open());
    ups.back().hear();
  }
  for (auto& up : ups) up.say(ok);
  for (auto& c : clients) EXPECT_EQ(status_of(c.hear()), 200);
}

// An answer of unknown length that never ends is cut by the client timeout, so that its client can tell.
TEST(Endings, AnAnswerThatNeverEndsIsCutAtTheClientTimeout) {
  for (bool chunked : {true, false}) {
    Service s(with(true));
    auto client = s.connect();
    auto from = Clock::now();
    client.say(visit("/pay", 1200));
    auto up = s.upstreams[0].open();
    up.hear();
    up.say(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
                   : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
    auto all = client.rest();
    EXPECT_FALSE(all.ends_with("0\r\n\r\n")) << all;
    EXPECT_TRUE(up.ended());
    EXPECT_GT(Clock::now() - from, ms(1000));
    EXPECT_LT(Clock::now() - from, ms(8000));  // it was ten seconds more
  }
}

// --- Time that is up for a connection whose visit has just come --------------------------------------------

// One turn tells of 256 connections: the time of the others was up before what they had sent was read.
TEST(Endings, AVisitThatIsHereWhenItsConnectionsTimeIsUpIsTaken) {
  Service s({.upstreams = 1, .sockets = 1000});
  std::vector<Peer> clients;
  for (int i = 0; i < 400; ++i) clients.push_back(s.connect());
  EXPECT_EQ(s.ask("/-/ready"), 200);
  auto from = Clock::now();
  s.stop();
  pass(from + ms(2700));
  for (auto& c : clients) c.say("GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  s.go();
  int answered = 0;
  for (auto& c : clients) answered += status_of(c.hear()) == 200;
  EXPECT_EQ(answered, 400);
}

// --- The watch ---------------------------------------------------------------------------------------------

// --- The process -------------------------------------------------------------------------------------------

// The configuration comes through a pipe, so that the program is known to be reading it.
struct Starting {
  explicit Starting(const std::string& agent) {
    char path[] = "/tmp/meadowgauge-test-XXXXXX";
    folder = mkdtemp(path);
    config = folder + "/config";
    if (mkfifo(config.c_str(), 0600) != 0) std::abort();
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) std::abort();
    pid = fork();
    if (pid == 0) {
      dup2(ends[1], 2);
      setenv("GW_NAME", "n0", 1);
      setenv("GW_LISTEN", "127.0.0.1:0", 1);
      setenv("GW_DISCOVERY", agent.c_str(), 1);
      setenv("GW_CONFIG", config.c_str(), 1);
      execl(MEADOWGAUGE_PROGRAM, "meadowgauge", "serve", nullptr);
      _exit(127);
    }
    ::close(ends[1]);
    log = ends[0];
    pipe = open(config.c_str(), O_WRONLY | O_CLOEXEC);  // returns once the program reads
  }
  ~Starting() {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    ::close(log);
    std::filesystem::remove_all(folder);
  }
  void configured() {
    const std::string text = R"({"settings":{"path_prefixes":[{"name":"pay","client_timeout_ms":500}]}})";
    std::filesystem::remove(config);
    std::ofstream(config) << text;  // for when it is read again
    EXPECT_EQ(write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(pipe);
  }
  std::string said() {
    std::string all;
    char bytes[4096];
    for (ssize_t n; (n = read(log, bytes, sizeof bytes)) > 0;) all.append(bytes, static_cast<std::size_t>(n));
    return all;
  }
  int ended() {
    int status = 0;
    waitpid(std::exchange(pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  pid_t pid = -1;
  int log = -1, pipe = -1;
  std::string folder, config;
};

TEST(Endings, ASignalWhileTheConfigurationIsReadWaitsForItsTurn) {
  Door agent;
  {
    Starting s(agent.address());
    kill(s.pid, SIGTERM);
    s.configured();
    EXPECT_EQ(s.ended(), 0);
    EXPECT_EQ(s.said().find("serves on"), std::string::npos);
  }
  Starting s(agent.address());
  kill(s.pid, SIGHUP);
  s.configured();
  auto d = agent.open();
  kill(s.pid, SIGTERM);
  EXPECT_EQ(s.ended(), 0);
  EXPECT_NE(s.said().find("configuration read again"), std::string::npos);
}

// New connections go on coming for 0.4 s after SIGTERM, however short client timeouts are; a second signal
// changes nothing.
TEST(Endings, APlannedEndTakesNewConnectionsWhileTheyStillCome) {
  Service s(
      {.upstreams = 1,
       .settings = R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":60.0}])",
       .leave_ms = ""});
  auto idle = s.connect();
  EXPECT_EQ(s.ask("/-/ready"), 200);
  auto from = Clock::now();
  s.terminate();
  s.terminate();
  s.hang_up();
  EXPECT_TRUE(idle.ended());  // it closes what is idle when it stops accepting
  EXPECT_GT(Clock::now() - from, ms(400));
  EXPECT_EQ(s.exit_status(), 0);
}

// What is given up at the end is answered before it: what the client had sent behind its visit is unread
// then, and an end in the same turn resets the connection, answer and all.
TEST(Endings, TheLastAnswersAreTakenBeforeTheProcessEnds) {
  Service s(
      {.upstreams = 1,
       .settings = R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":60.0}])",
       .leave_ms = "0"});
  auto client = s.connect();
  client.say(visit("/pay", 60000));
  auto up = s.upstreams[0].open();
  up.hear();
  client.say(visit("/pay", 60000));
  EXPECT_EQ(s.ask("/-/ready"), 200);
  s.terminate();
  s.logged("ending: visits given up: 1");
  EXPECT_TRUE(up.ended());
  kill(s.pid(), 0);
  auto answer = client.hear();
  EXPECT_EQ(status_of(answer), 500);
  EXPECT_EQ(client.rest(), "");
  EXPECT_FALSE(client.was_reset());
  client.close();
  EXPECT_EQ(s.exit_status(), 0);
}

// A visit that comes in the last moments is told how little time is left, and so is its server.
TEST(Endings, AVisitTakenWhileTheProcessEndsIsOwedBeforeIt) {
  Service s(
      {.upstreams = 1,
       .settings = R"(,"path_prefixes":[{"name":"pay","repeat":"at_most_once","client_timeout_ms":900.0}])",
       .leave_ms = "100000"});
  auto client = s.connect();
  client.say(visit("/pay"));
  auto up = answered(s.upstreams[0], ok);
  EXPECT_EQ(status_of(client.hear()), 200);
  s.terminate();
  s.logged("ending");
  client.say(visit("/pay", 9000));
  auto got = up.hear();
  auto at = got.find("X-Budget-Ms: ");
  ASSERT_NE(at, got.npos);
  EXPECT_LE(std::stoi(got.substr(at + 13)), 1450);
}

}  // namespace
}  // namespace meadow::test
