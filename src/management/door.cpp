#include "management/door.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace meadow::management {

namespace {
// A person or a script says its line at once.
constexpr double silent_ms = 2000;
// An answer that is not taken.
constexpr double take_ms = 2000;
constexpr std::size_t most_dropped = 64 * 1024;
}  // namespace

struct Door::Caller final : transport::Ready {
  Caller(Door& owner, std::uint64_t id, transport::Fd given)
      : owner(owner), id(id), fd(std::move(given)), token(owner.loop_.add(fd.get(), *this, events, true)) {}
  ~Caller() { owner.loop_.remove(token, fd.get()); }
  void ready(std::uint32_t happened) override { owner.ready(*this, happened); }

  static constexpr std::uint32_t events = EPOLLIN | EPOLLOUT | EPOLLRDHUP;
  Door& owner;
  std::uint64_t id;
  transport::Fd fd;
  std::uint64_t token;
  std::string in, out;
  std::size_t dropped = 0;
  bool answered = false, ended = false;
  double due = 0;        // closed on then
  double answer_at = 0;  // an answer that waits is given then; 0: none waits
};

Door::Door(transport::Loop& loop, const transport::Address& at, Desk& desk)
    : loop_(loop), desk_(desk), listener_(loop, at, *this, {.first = true}) {}

Door::~Door() = default;

void Door::ready(std::uint32_t) {
  bool full = false;
  while (auto fd = listener_.accept(full)) {
    if (callers_.size() >= most_callers) {
      auto oldest = std::min_element(callers_.begin(), callers_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second->answered, a.first) < std::pair(b.second->answered, b.first);
      });
      close(*oldest->second);
    }
    auto id = next_++;
    auto& c = *callers_.emplace(id, std::make_unique<Caller>(*this, id, std::move(fd))).first->second;
    c.due = clock_.now() + silent_ms;
    ready(c, EPOLLIN);
  }
}

void Door::ready(Caller& c, std::uint32_t) {
  char bytes[longest_call + 3];
  while (!c.ended) {
    auto n = recv(c.fd.get(), bytes, sizeof bytes, 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n < 0) return close(c);
    c.ended = n == 0;
    if (c.answered) {
      // What comes behind a call is read and dropped, up to its answer's end: left unread it would reset it.
      c.dropped += static_cast<std::size_t>(n);
      if (c.dropped > most_dropped) return close(c);
      continue;
    }
    c.in.append(bytes, static_cast<std::size_t>(n));
    auto end = c.in.find('\n');
    if (end == c.in.npos && c.in.size() <= longest_call + 1) continue;
    c.answered = true;
    c.due = clock_.now() + take_ms;
    if (end != c.in.npos && end + 1 < c.in.size())
      say(c, "fail one line to a connection\n");
    else
      heard(c, std::string_view(c.in).substr(0, end));
  }
  if (c.ended && !c.answered) return close(c);  // half a call
  flush(c);
}

void Door::heard(Caller& c, std::string_view line) {
  std::string why;
  auto call = read_call(line, why);
  if (!call) return say(c, "fail " + why + "\n");
  switch (call->verb) {
    case Call::health:
      return say(c, desk_.ready() ? "ok ready\n" : "fail not ready\n");
    case Call::dump:
      return say(c, shown(desk_.figures()));
    case Call::offline:
    case Call::online: {
      double wait = 0;
      if (!desk_.take(call->id, call->verb == Call::offline, wait))
        return say(c, "fail no server " + call->id + "\n");
      say(c, "ok\n");
      if (wait > 0) c.answer_at = clock_.now() + wait;
    }
  }
}

void Door::say(Caller& c, std::string text) { c.out = std::move(text); }

void Door::flush(Caller& c) {
  if (!c.answered || c.answer_at > 0) return;
  while (!c.out.empty()) {
    auto n = send(c.fd.get(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) return close(c);
    c.out.erase(0, static_cast<std::size_t>(n));
  }
  close(c);
}

void Door::tick() {
  buried_.clear();
  double now = clock_.now();
  std::vector<Caller*> all;
  for (auto& [id, c] : callers_) all.push_back(c.get());
  for (auto* c : all) {
    if (c->answer_at > 0 && now >= c->answer_at) {
      c->answer_at = 0;
      flush(*c);
    } else if (now >= c->due) {
      close(*c);
    }
  }
  buried_.clear();
}

// Buried, as it may be told of events still in this batch.
void Door::close(Caller& c) {
  auto it = callers_.find(c.id);
  if (it == callers_.end()) return;
  shutdown(c.fd.get(), SHUT_WR);
  loop_.remove(c.token, c.fd.get());
  c.fd.close();
  buried_.push_back(std::move(it->second));
  callers_.erase(it);
}

}  // namespace meadow::management
