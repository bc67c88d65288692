#include "proxy/discovery/client.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

#include "protocol/http_writer.hpp"
#include "protocol/names.hpp"

namespace meadowgauge::proxy {

using protocol::Message;
using transport::due_key;
using transport::DueTimes;
using transport::Stream;

namespace {

constexpr std::size_t max_list_bytes = protocol::WatchReader::max_list_bytes;
// A complete list that comes slowly is not given up while it makes progress, up to this time.
constexpr double max_complete_list_ms = 5000;
// A line that can't be read again and again is asked for no more often than this.
constexpr double repeated_reread_ms = 1500;

double retry_after_ms(const Message& response) {
  auto text = response.find("Retry-After");
  double seconds = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  return error == std::errc{} && end == text.data() + text.size() && seconds > 0 ? seconds * 1000 : 0;
}

}  // namespace

DiscoveryClient::DiscoveryClient(transport::Loop& loop, transport::Pool& pool, DueTimes& due,
                                 const double& now_ms, std::optional<transport::Address> agent,
                                 std::int64_t last_version, std::uint64_t seed, Logger log,
                                 const WatchTerms& terms)
    : loop_(loop),
      pool_(pool),
      due_(due),
      now_ms_(now_ms),
      agent_(std::move(agent)),
      last_version_(last_version),
      log_(std::move(log)),
      pacing_(terms, seed),
      response_(pool, Message::Kind::response, Message::Body::endless) {}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::start() {
  if (!agent_) return;
  double delay_ms = pacing_.first_call_ms();
  if (delay_ms <= 0) return connect();
  set_deadline_in(delay_ms);
}

void DiscoveryClient::set_agent(std::optional<transport::Address> agent) {
  close();
  clear_deadline();
  agent_ = std::move(agent);
  // Its versions need not be those of the one before, nor tell of what left in between.
  call_ = pacing_.pushed() ? Call::complete_list : Call::watch;
  complete_list_at_ms_ = pacing_.pushed() ? DueTimes::none : now_ms_ + pacing_.complete_list_delay_ms();
  pacing_.answered();
  connect();
}

void DiscoveryClient::deadline_reached() {
  clear_deadline();
  if (stream_ && !reread_needed_) return fail("nothing heard for long");
  reconnect();
}

// --- Calls -----------------------------------------------------------------------------------------------

void DiscoveryClient::connect() {
  if (!agent_) return;
  auto fd = Stream::dial(*agent_);
  if (!fd) return fail(std::strerror(errno));
  stream_ = std::make_unique<Stream>(loop_, pool_, std::move(fd), *this);
  connected_ = false;
  set_deadline_in(pacing_.answer_limit_ms());
}

void DiscoveryClient::ready(std::uint32_t events) {
  if (!connected_ && !connected(events)) return;
  if (!stream_->flush()) return fail("the connection broke");
  while (true) {
    auto got = stream_->fill();
    if (got == Stream::Got::nothing) return;
    if (got != Stream::Got::bytes) return fail("the connection ended");
    if (!response_received()) return;
  }
}

bool DiscoveryClient::connected(std::uint32_t events) {
  if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return false;
  if (int error = stream_->dial_error()) {
    fail(std::strerror(error));
    return false;
  }
  connected_ = true;
  if (send_request()) return true;
  fail("out of buffers");
  return false;
}

bool DiscoveryClient::send_request() {
  response_.reset();
  watch_reader_ = {};
  complete_list_.clear();
  reread_needed_ = false;
  called_at_ms_ = now_ms_;
  renew_at_ms_ = now_ms_ + pacing_.silence_limit_ms();
  std::string target(protocol::names::endpoint_list);
  if (call_ == Call::watch) target.append("?watch=1&after=").append(std::to_string(last_version_));
  return protocol::write_get(stream_->out(), agent_->text(), target);
}

bool DiscoveryClient::response_received() {
  bool head_is_new = !response_.head_complete();
  stream_->consume(response_.feed(stream_->bytes()));
  if (response_.fault() != protocol::Fault::none) {
    fail("the answer makes no sense");
    return false;
  }
  if (!response_.head_complete()) return true;
  if (response_.status() != 200) {
    fail(std::string("status ").append(std::to_string(response_.status())), retry_after_ms(response_));
    return false;
  }
  if (!body_received(head_is_new)) return false;
  return !response_.complete() || response_ended();
}

// A head or a complete line is a sign of life; bytes alone kept a watch up that never ended a line.
bool DiscoveryClient::body_received(bool head_is_new) {
  if (call_ == Call::complete_list) {
    complete_list_ += response_.extract_body();
    set_deadline_in(std::min(pacing_.answer_limit_ms(), called_at_ms_ + max_complete_list_ms - now_ms_));
    if (complete_list_.size() <= max_list_bytes) return true;
    fail("the list is too long");
    return false;
  }
  if (head_is_new) set_deadline_in(pacing_.silence_limit_ms());
  for (auto& event : watch_reader_.feed(response_.extract_body())) watch_event(std::move(event));
  if (!renewal_due()) return true;
  if (complete_list_due()) call_ = Call::complete_list;
  reconnect();
  return false;
}

// The complete list has come, and the watch goes on from it; a watch does not end.
bool DiscoveryClient::response_ended() {
  if (call_ == Call::watch) {
    fail("the watch ended");
    return false;
  }
  auto parsed = protocol::parse_endpoint_list(complete_list_);
  if (auto* wrong = std::get_if<protocol::UnreadableEndpointList>(&parsed)) {
    unreadable(wrong->reason);
    fail("no list came");
    return false;
  }
  auto& list = std::get<protocol::EndpointList>(parsed);
  list.full = true;
  list_received(std::move(list));
  call_ = Call::watch;
  complete_list_at_ms_ = DueTimes::none;
  if (!response_.keep_alive()) {
    reconnect();
    return false;
  }
  if (send_request() && stream_->flush()) return true;
  fail("the connection broke");
  return false;
}

// --- What a watch tells ----------------------------------------------------------------------------------

void DiscoveryClient::watch_event(protocol::WatchEvent&& event) {
  if (auto* list = std::get_if<protocol::EndpointList>(&event))
    list_received(std::move(*list));
  else if (auto* wrong = std::get_if<protocol::UnreadableEndpointList>(&event))
    unreadable(wrong->reason);
  else if (std::holds_alternative<protocol::EndpointListIncomplete>(event))
    set_deadline_in(pacing_.reread_limit_ms());
  else if (!reread_needed_)
    set_deadline_in(pacing_.silence_limit_ms());
}

void DiscoveryClient::list_received(protocol::EndpointList&& list) {
  for (const auto& wrong : list.skipped) log_(Level::warning, "discovery: skipped: " + wrong);
  pacing_.answered();
  renew_at_ms_ = now_ms_ + pacing_.silence_limit_ms();
  // Lower than what was asked for: the agent's versions are not those of the one before.
  bool moved = complete_list_at_ms_ < DueTimes::none;
  if (call_ == Call::watch && moved && list.seq < last_version_) complete_list_at_ms_ = now_ms_;
  if (!reread_needed_) {
    if (list.seq != last_version_) rereads_ = 0;
    last_version_ = list.seq;
  }
  updates_.emplace_back(std::move(list));
}

// What it told is asked for again, from the last line that could be read. It may have been a drain, which
// binds soon; but an agent that tells nothing else would be asked without end.
void DiscoveryClient::unreadable(const std::string& reason) {
  if (call_ == Call::watch && !reread_needed_)
    set_deadline_in(rereads_++ == 0 ? pacing_.reread_limit_ms() : repeated_reread_ms);
  reread_needed_ = true;
  log_(Level::warning, "discovery: a line is skipped: " + reason);
}

// A watch that is alive ends here for the complete list, or, where lists are pushed, when it told nothing for
// as long as a silent one is given: it is taken up anew from the last version, as what the agent has binds.
bool DiscoveryClient::renewal_due() const {
  return complete_list_due() || (pacing_.pushed() && now_ms_ >= renew_at_ms_);
}

// --- Deadlines and ends ----------------------------------------------------------------------------------

void DiscoveryClient::set_deadline_in(double ms) {
  due_.set(due_key(due_kind, 0), deadline_ms_, now_ms_ + ms);
}

void DiscoveryClient::clear_deadline() { due_.set(due_key(due_kind, 0), deadline_ms_, DueTimes::none); }

void DiscoveryClient::close() {
  if (!stream_) return;
  stream_->close();
  closed_.push_back(std::move(stream_));
}

void DiscoveryClient::reconnect() {
  close();
  connect();
}

void DiscoveryClient::fail(std::string_view reason, double retry_after_ms) {
  log_(pacing_.failed_before() ? Level::debug : Level::info, std::string("discovery: ").append(reason));
  close();
  // Changes are not held up by a complete list that can't be had for now.
  if (call_ == Call::complete_list && !pacing_.pushed()) {
    call_ = Call::watch;
    complete_list_at_ms_ = now_ms_ + pacing_.complete_list_delay_ms();
  }
  set_deadline_in(pacing_.backoff_ms(retry_after_ms));
  updates_.emplace_back(WatchFailed{});
}

}  // namespace meadowgauge::proxy
