// The discovery client: watches the endpoint list and reopens a watch that fails. The last received list
// stays in use until then.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "protocol/http.hpp"
#include "protocol/watch_reader.hpp"
#include "proxy/discovery/call_counters.hpp"
#include "proxy/discovery/error.hpp"
#include "proxy/discovery/watch_pacing.hpp"
#include "proxy/logger.hpp"
#include "transport/due_times.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

// Reported when a call failed, was refused or timed out, or when the watch ended.
struct WatchFailed {
  DiscoveryError error;
};
using DiscoveryUpdate = std::variant<protocol::EndpointList, WatchFailed>;

// Makes one call at a time, for the complete list or for a watch on changes. Times are in ms of the loop
// turn's clock. Failures do not throw: the client reports them in updates() and calls again after a backoff.
class DiscoveryClient final : public transport::EventHandler {
 public:
  static constexpr std::uint8_t due_kind = 3;

  // All parts outlive the client.
  struct Parts {
    transport::Loop& loop;
    transport::Pool& pool;
    transport::DueTimes& due_times;
    const double& now_ms;  // time of the loop turn
  };

  // `agent`: address of the discovery server or of its local agent; the client is inactive without an
  // address. `last_version`: version of the list that the process starts with.
  DiscoveryClient(const Parts& parts, std::optional<transport::Address> agent, std::int64_t last_version,
                  std::uint64_t seed, Logger log, const WatchPacingSettings& pacing_settings);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Opens the first watch: at once, or at the balancer's place in the frame in a large fleet that polls.
  void start();
  // Moves the watch to `agent`; stops the watch if `agent` is absent. Where lists are pushed, the complete
  // list is fetched first. A polled watch continues from the last version, and the complete list is fetched
  // after a random delay, or at once if the new agent's versions are lower.
  void set_agent(std::optional<transport::Address> agent);
  // Handles the due time that the client has registered in `due_times`.
  void deadline_reached();
  // Destroys the connections that were closed in this loop turn.
  void destroy_closed() { closed_.clear(); }

  // Updates in order of arrival; the caller clears them.
  [[nodiscard]] std::vector<DiscoveryUpdate>& updates() { return updates_; }
  [[nodiscard]] const DiscoveryCallCounters& counters() const { return counters_; }

 private:
  enum class Call : std::uint8_t { complete_list, watch };
  enum class State : std::uint8_t {
    disconnected,  // the deadline is the time of the next call
    connecting,
    receiving,  // the request is sent; the deadline is the latest time of the agent's next line
  };

  void ready(std::uint32_t events) override;
  void connect();
  bool finish_connect(std::uint32_t events);
  bool send_request();
  // The next three functions return false if the connection was closed or replaced.
  bool process_response();
  bool process_body(bool head_is_new);
  bool process_response_end();

  void handle_watch_event(protocol::WatchEvent&& event);
  void handle_list(protocol::EndpointList&& list);
  void request_reread(const std::string& reason);
  [[nodiscard]] bool is_complete_list_due() const { return now_ms_ >= complete_list_at_ms_; }
  [[nodiscard]] bool is_renewal_due() const;

  void set_deadline_in(double ms);
  void clear_deadline();
  void close();
  void reconnect();
  // Opens a new watch at once: the timeout of a silent watch already ends at the balancer's place.
  void replace_silent_watch();
  void fail(DiscoveryError error, const DiscoveryErrorDetail& detail = {});
  void record_list();
  void log_failure(DiscoveryError error, const DiscoveryErrorDetail& detail) const;
  void log_first_list() const;
  void log_skipped_entry(std::int64_t version, const std::string& reason) const;

  transport::Loop& loop_;
  transport::Pool& pool_;
  transport::DueTimes& due_times_;
  const double& now_ms_;
  std::optional<transport::Address> agent_;
  std::int64_t last_version_;
  Logger log_;
  WatchPacing pacing_;
  DiscoveryCallCounters counters_;
  double started_at_ms_;

  std::unique_ptr<transport::Stream> stream_;
  std::vector<std::unique_ptr<transport::Stream>> closed_;
  State state_ = State::disconnected;
  Call call_ = Call::watch;  // the call in progress, or the next call

  protocol::Message response_;
  std::string complete_list_;  // the part received so far
  protocol::WatchReader watch_reader_;
  bool line_overdue_at_deadline_ = false;  // the deadline is the latest time of the watch's next line
  bool needs_reread_ = false;              // the present call received an unreadable line
  int reread_count_ = 0;                   // consecutive, from the same version
  double called_at_ms_ = 0;
  double renew_at_ms_ = 0;  // when a pushed watch is reopened; postponed by each list
  double complete_list_at_ms_ = transport::DueTimes::none;  // when the watch is replaced by a complete list
  double deadline_ms_ = transport::DueTimes::none;
  std::vector<DiscoveryUpdate> updates_;
};

}  // namespace meadowgauge::proxy
