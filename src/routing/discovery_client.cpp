#include "routing/discovery_client.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>

#include "protocol/names.hpp"

namespace meadow::routing {

using protocol::Message;
using transport::due_key;
using transport::Stream;

namespace {
// A sign of life comes every 2 s; without one the watch is taken up anew, and early enough that a drain which
// was told right after the last sign is still heard of in time. All watches may fall silent at one moment:
// up to this share less, drawn each time, keeps their dials apart.
constexpr double silent_ms = 3400, silent_spread = 0.2;
// The agent is on this machine: if its first bytes, or a whole list, are not here by then it is asked again.
constexpr double answer_ms = 1500;
constexpr std::size_t longest_list = protocol::Lines::longest;
constexpr double first_retry_ms = 100, last_retry_ms = 2000;
}  // namespace

DiscoveryClient::DiscoveryClient(transport::Loop& loop, transport::Pool& pool, transport::DueTimes& due,
                                 const double& now, std::optional<transport::Address> agent,
                                 std::int64_t after, std::uint64_t seed, Say say)
    : loop_(loop),
      pool_(pool),
      due_(due),
      now_(now),
      agent_(std::move(agent)),
      after_(after),
      rng_(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      say_(std::move(say)),
      answer_(pool, Message::Kind::answer, Message::Body::streamed) {}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::connect() {
  if (!agent_) return;
  auto fd = Stream::dial(*agent_);
  if (!fd) return lost(std::strerror(errno));
  stream_ = std::make_unique<Stream>(loop_, pool_, std::move(fd), *this);
  up_ = false;
  due_.set(due_key(due_kind, 0), due_at_, now_ + answer_ms);
}

void DiscoveryClient::move(std::optional<transport::Address> agent) {
  drop();
  due_.set(due_key(due_kind, 0), due_at_, transport::DueTimes::none);
  agent_ = std::move(agent);
  // Its versions need not be those of the one before, nor tell of what left in between.
  whole_ = true;
  failures_ = 0;
  connect();
}

bool DiscoveryClient::ask() {
  answer_.reset();
  lines_ = {};
  list_.clear();
  missed_ = false;
  std::string target(protocol::names::list);
  if (!whole_) target.append("?watch=1&after=").append(std::to_string(after_));
  return protocol::write_get(stream_->out(), agent_->text(), target);
}

void DiscoveryClient::fell_due() {
  due_.set(due_key(due_kind, 0), due_at_, transport::DueTimes::none);
  if (stream_)
    lost(missed_ ? "a line could not be read" : "nothing heard for long");
  else
    connect();
}

void DiscoveryClient::ready(std::uint32_t events) {
  if (!up_) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    if (int error = stream_->dial_error()) return lost(std::strerror(error));
    up_ = true;
    if (!ask()) return lost("out of buffers");
  }
  if (!stream_->flush()) return lost("the connection broke");
  for (;;) {
    auto got = stream_->fill();
    if (got == Stream::Got::nothing) return;
    if (got != Stream::Got::bytes) return lost("the connection ended");
    if (!whole_ && !missed_) hear_by(silent_ms);
    stream_->consume(answer_.feed(stream_->bytes()));
    if (answer_.fault() != protocol::Fault::none) return lost("the answer makes no sense");
    if (answer_.head_whole()) {
      if (answer_.status() != 200)
        return lost(std::string("status ").append(std::to_string(answer_.status())));
      if (whole_)
        list_ += answer_.take_body();
      else
        lines_.feed(answer_.take_body(), [this](std::string_view line) { heard(line); });
      if (list_.size() > longest_list) return lost("the list is too long");
    }
    if (!answer_.whole()) continue;
    if (!whole_) return lost("the watch ended");
    listed();
    if (whole_) return lost("no list came");
    if (!answer_.keep_alive()) {
      drop();
      return connect();
    }
    if (!ask() || !stream_->flush()) return lost("the connection broke");
  }
}

void DiscoveryClient::heard(std::string_view line) {
  if (line.empty()) return;
  std::string why = "no list";
  auto value = protocol::Json::parse(line, &why);
  auto listing = value ? protocol::read_listing(*value) : std::nullopt;
  if (!listing) {
    // What it told is asked for again, from the last line that could be read, but not at once: an agent that
    // tells nothing else would be asked without end.
    if (!whole_ && !missed_) hear_by(answer_ms);
    missed_ = true;
    return say_(Level::warning, "discovery: a line is skipped: " + why);
  }
  for (const auto& wrong : listing->skipped) say_(Level::warning, "discovery: skipped: " + wrong);
  failures_ = 0;
  if (!missed_) after_ = listing->seq;
  news_.push_back(std::move(listing));
}

// The whole list that was asked for has come: the watch goes on from it.
void DiscoveryClient::listed() {
  auto before = news_.size();
  heard(list_);
  if (news_.size() == before) return;
  news_.back()->whole = true;
  whole_ = false;
}

void DiscoveryClient::hear_by(double ms) {
  due_.set(due_key(due_kind, 0), due_at_, now_ + ms * (1 - silent_spread * chance()));
}

double DiscoveryClient::chance() { return static_cast<double>(rng_() % 1000) / 1000; }

void DiscoveryClient::drop() {
  if (!stream_) return;
  stream_->close();
  buried_.push_back(std::move(stream_));
}

void DiscoveryClient::lost(std::string_view why) {
  say_(failures_ == 0 ? Level::info : Level::debug, std::string("discovery: ").append(why));
  drop();
  double wait = std::min(first_retry_ms * std::exp2(failures_), last_retry_ms);
  failures_ = std::min(failures_ + 1, 10);
  wait *= 0.75 + 0.5 * chance();
  due_.set(due_key(due_kind, 0), due_at_, now_ + wait);
  news_.emplace_back();
}

}  // namespace meadow::routing
