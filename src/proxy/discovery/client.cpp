#include "proxy/discovery/client.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <string>
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
// Maximum duration of a call for the complete list, even if the list keeps making progress.
constexpr double max_complete_list_ms = 5000;
// Delay before a line that was unreadable more than once is requested again.
constexpr double repeated_reread_interval_ms = 1500;

double retry_after_ms(const Message& response) {
  auto text = response.find("Retry-After");
  double seconds = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  return error == std::errc{} && end == text.data() + text.size() && seconds > 0 ? seconds * 1000 : 0;
}

}  // namespace

DiscoveryClient::DiscoveryClient(const Parts& parts, std::optional<transport::Address> agent,
                                 std::int64_t last_version, std::uint64_t seed, Logger log,
                                 const WatchPacingSettings& pacing_settings)
    : loop_(parts.loop),
      pool_(parts.pool),
      due_times_(parts.due_times),
      now_ms_(parts.now_ms),
      agent_(std::move(agent)),
      last_version_(last_version),
      log_(std::move(log)),
      pacing_(pacing_settings, seed),
      started_at_ms_(parts.now_ms),
      response_(parts.pool, Message::Kind::response, Message::Body::endless) {}

DiscoveryClient::~DiscoveryClient() = default;

void DiscoveryClient::start() {
  if (!agent_) return;
  double delay_ms = pacing_.first_call_delay_ms(now_ms_);
  if (delay_ms <= 0) return connect();
  set_deadline_in(delay_ms);
}

void DiscoveryClient::set_agent(std::optional<transport::Address> agent) {
  close();
  clear_deadline();
  agent_ = std::move(agent);
  // The new agent may count versions independently, and its watch does not report endpoints that left before
  // the watch began.
  call_ = pacing_.is_pushed() ? Call::complete_list : Call::watch;
  complete_list_at_ms_ = pacing_.is_pushed() ? DueTimes::none : now_ms_ + pacing_.complete_list_delay_ms();
  pacing_.record_success();
  connect();
}

void DiscoveryClient::deadline_reached() {
  bool line_overdue = line_overdue_at_deadline_;
  clear_deadline();
  if (line_overdue && !pacing_.is_pushed()) return replace_silent_watch();
  if (state_ != State::disconnected && !needs_reread_) return fail(DiscoveryError::watch_timed_out);
  reconnect();
}

// --- Calls -----------------------------------------------------------------------------------------------

void DiscoveryClient::connect() {
  if (!agent_) return;
  called_at_ms_ = now_ms_;
  ++counters_.calls;
  if (!counters_.first_call_after_ms) counters_.first_call_after_ms = now_ms_ - started_at_ms_;
  auto fd = Stream::dial(*agent_);
  if (!fd) return fail(DiscoveryError::connect_failed, {.system_error = errno});
  stream_ = std::make_unique<Stream>(loop_, pool_, std::move(fd), *this);
  state_ = State::connecting;
  set_deadline_in(pacing_.call_timeout_ms());
}

void DiscoveryClient::ready(std::uint32_t events) {
  if (state_ != State::receiving && !finish_connect(events)) return;
  if (!stream_->flush()) return fail(DiscoveryError::connection_broken);
  while (true) {
    auto got = stream_->fill();
    if (got == Stream::ReadResult::nothing) return;
    if (got != Stream::ReadResult::bytes) return fail(DiscoveryError::connection_closed);
    if (!process_response()) return;
  }
}

bool DiscoveryClient::finish_connect(std::uint32_t events) {
  if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return false;
  if (int error = stream_->dial_error()) {
    fail(DiscoveryError::connect_failed, {.system_error = error});
    return false;
  }
  state_ = State::receiving;
  if (send_request()) return true;
  fail(DiscoveryError::buffers_exhausted);
  return false;
}

bool DiscoveryClient::send_request() {
  response_.reset();
  watch_reader_ = {};
  complete_list_.clear();
  needs_reread_ = false;
  called_at_ms_ = now_ms_;
  renew_at_ms_ = now_ms_ + pacing_.first_line_timeout_ms();
  std::string target(protocol::names::endpoint_list);
  if (call_ == Call::watch) target.append("?watch=1&after=").append(std::to_string(last_version_));
  return protocol::write_get(stream_->out(), agent_->text(), target);
}

bool DiscoveryClient::process_response() {
  bool head_is_new = !response_.head_complete();
  stream_->consume(response_.feed(stream_->bytes()));
  if (response_.fault() != protocol::Fault::none) {
    fail(DiscoveryError::malformed_response);
    return false;
  }
  if (!response_.head_complete()) return true;
  if (response_.status() != 200) {
    fail(DiscoveryError::unexpected_status,
         {.status = response_.status(), .retry_after_ms = retry_after_ms(response_)});
    return false;
  }
  if (!process_body(head_is_new)) return false;
  return !response_.complete() || process_response_end();
}

// Only a response head or a complete line extends the watch's deadline: an agent that never ends a line
// counts as unresponsive.
bool DiscoveryClient::process_body(bool head_is_new) {
  if (call_ == Call::complete_list) {
    complete_list_ += response_.extract_body();
    set_deadline_in(std::min(pacing_.call_timeout_ms(), called_at_ms_ + max_complete_list_ms - now_ms_));
    if (complete_list_.size() <= max_list_bytes) return true;
    fail(DiscoveryError::list_too_long);
    return false;
  }
  if (head_is_new) set_deadline_in(pacing_.first_line_timeout_ms());
  for (auto& event : watch_reader_.feed(response_.extract_body())) handle_watch_event(std::move(event));
  if (!is_renewal_due()) return true;
  if (is_complete_list_due()) call_ = Call::complete_list;
  reconnect();
  return false;
}

// After a complete list the client opens a watch from the version of that list. The response to a watch has
// no regular end, so the end of a watch is a failure.
bool DiscoveryClient::process_response_end() {
  if (call_ == Call::watch) {
    fail(DiscoveryError::watch_ended);
    return false;
  }
  auto parsed = protocol::parse_endpoint_list(complete_list_);
  if (auto* unreadable = std::get_if<protocol::UnreadableEndpointList>(&parsed)) {
    request_reread(unreadable->reason);
    fail(DiscoveryError::malformed_list);
    return false;
  }
  auto& list = std::get<protocol::EndpointList>(parsed);
  list.full = true;
  handle_list(std::move(list));
  call_ = Call::watch;
  complete_list_at_ms_ = DueTimes::none;
  if (!response_.keep_alive()) {
    reconnect();
    return false;
  }
  if (send_request() && stream_->flush()) return true;
  fail(DiscoveryError::connection_broken);
  return false;
}

// --- Watch events ----------------------------------------------------------------------------------------

void DiscoveryClient::handle_watch_event(protocol::WatchEvent&& event) {
  if (auto* list = std::get_if<protocol::EndpointList>(&event))
    handle_list(std::move(*list));
  else if (auto* unreadable = std::get_if<protocol::UnreadableEndpointList>(&event))
    request_reread(unreadable->reason);
  else if (std::holds_alternative<protocol::EndpointListIncomplete>(event))
    set_deadline_in(pacing_.reread_delay_ms());
  else if (!needs_reread_) {
    set_deadline_in(pacing_.silence_timeout_ms(now_ms_));
    line_overdue_at_deadline_ = true;
  }
}

void DiscoveryClient::handle_list(protocol::EndpointList&& list) {
  for (const auto& reason : list.skipped) log_skipped_entry(list.seq, reason);
  record_list();
  pacing_.record_success();
  renew_at_ms_ = now_ms_ + pacing_.first_line_timeout_ms();
  // A version below the requested one shows that the new agent counts versions independently.
  bool complete_list_pending = complete_list_at_ms_ < DueTimes::none;
  if (call_ == Call::watch && complete_list_pending && list.seq < last_version_)
    complete_list_at_ms_ = now_ms_;
  if (!needs_reread_) {
    if (list.seq != last_version_) reread_count_ = 0;
    last_version_ = list.seq;
  }
  updates_.emplace_back(std::move(list));
}

// The unreadable line may contain a drain, so the watch is reopened from the last readable version. Repeated
// requests are rate-limited, because the agent may send the same line each time.
void DiscoveryClient::request_reread(const std::string& reason) {
  if (call_ == Call::watch && !needs_reread_)
    set_deadline_in(reread_count_++ == 0 ? pacing_.reread_delay_ms() : repeated_reread_interval_ms);
  needs_reread_ = true;
  std::string call = call_ == Call::watch ? "watch" : "complete list";
  log_(Level::warning,
       "discovery " + call + " unreadable after version " + std::to_string(last_version_) + ": " + reason,
       {{"call", std::string_view(call)},
        {"version", static_cast<double>(last_version_)},
        {"reason", std::string_view(reason)}});
}

// Whether an open watch is replaced by the call for the complete list or, if lists are pushed and none has
// arrived for first_line_timeout_ms(), by a new watch. A pushed drain takes effect as soon as the agent knows
// of it, so the client must not rely on a watch that may have missed the drain.
bool DiscoveryClient::is_renewal_due() const {
  return is_complete_list_due() || (pacing_.is_pushed() && now_ms_ >= renew_at_ms_);
}

// --- Deadlines and failures ------------------------------------------------------------------------------

void DiscoveryClient::set_deadline_in(double ms) {
  line_overdue_at_deadline_ = false;
  due_times_.set(due_key(due_kind, 0), deadline_ms_, now_ms_ + ms);
}

void DiscoveryClient::clear_deadline() {
  line_overdue_at_deadline_ = false;
  due_times_.set(due_key(due_kind, 0), deadline_ms_, DueTimes::none);
}

void DiscoveryClient::close() {
  if (!stream_) return;
  stream_->close();
  closed_.push_back(std::move(stream_));
  state_ = State::disconnected;
}

void DiscoveryClient::reconnect() {
  close();
  connect();
}

void DiscoveryClient::replace_silent_watch() {
  counters_.count(DiscoveryError::watch_timed_out);
  log_failure(DiscoveryError::watch_timed_out, {});
  pacing_.record_silence();
  updates_.emplace_back(WatchFailed{DiscoveryError::watch_timed_out});
  reconnect();
}

void DiscoveryClient::fail(DiscoveryError error, const DiscoveryErrorDetail& detail) {
  counters_.count(error);
  log_failure(error, detail);
  close();
  // A complete list that fails must not delay the watch on changes.
  if (call_ == Call::complete_list && !pacing_.is_pushed()) {
    call_ = Call::watch;
    complete_list_at_ms_ = now_ms_ + pacing_.complete_list_delay_ms();
  }
  set_deadline_in(pacing_.backoff_ms(
      {.called_at_ms = called_at_ms_, .failed_at_ms = now_ms_, .retry_after_ms = detail.retry_after_ms}));
  updates_.emplace_back(WatchFailed{error});
}

void DiscoveryClient::record_list() {
  ++counters_.lists;
  if (counters_.first_list_after_ms) return;
  counters_.first_list_after_ms = now_ms_ - started_at_ms_;
  log_first_list();
}

// Shows whether the first list was late because of a late first call or because discovery failed calls.
void DiscoveryClient::log_first_list() const {
  if (!log_.wants(Level::info)) return;
  double call_ms = counters_.first_call_after_ms.value_or(0);
  double list_ms = *counters_.first_list_after_ms;
  log_(Level::info,
       "discovery: first list " + std::to_string(std::lround(list_ms)) + " ms after the start, first call " +
           std::to_string(std::lround(call_ms)) + " ms after it; calls refused: " +
           std::to_string(counters_.refused) + ", timed out: " + std::to_string(counters_.timed_out) +
           ", failed: " + std::to_string(counters_.failed),
       {{"first_list_ms", list_ms},
        {"first_call_ms", call_ms},
        {"calls", static_cast<double>(counters_.calls)},
        {"refused", static_cast<double>(counters_.refused)},
        {"timed_out", static_cast<double>(counters_.timed_out)},
        {"failed", static_cast<double>(counters_.failed)}});
}

// Logs the first of consecutive failures at info, the others at debug.
void DiscoveryClient::log_failure(DiscoveryError error, const DiscoveryErrorDetail& detail) const {
  Level level = pacing_.has_failed() ? Level::debug : Level::info;
  if (!log_.wants(level)) return;
  auto message = message_of(error, detail);
  log_(level, message,
       {{"agent", std::string_view(agent_->text())},
        {"version", static_cast<double>(last_version_)},
        {"system_error", static_cast<double>(detail.system_error)},
        {"status", static_cast<double>(detail.status)}});
}

void DiscoveryClient::log_skipped_entry(std::int64_t version, const std::string& reason) const {
  log_(Level::warning, "discovery list " + std::to_string(version) + ": entry skipped: " + reason,
       {{"version", static_cast<double>(version)}, {"reason", std::string_view(reason)}});
}

}  // namespace meadowgauge::proxy
