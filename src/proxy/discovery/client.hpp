// The client of discovery: watches the endpoint list and keeps the watch up. The list in use stays valid
// while nothing is received.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/endpoint_list.hpp"
#include "protocol/http.hpp"
#include "protocol/watch_reader.hpp"
#include "proxy/discovery/watch_pacing.hpp"
#include "proxy/logger.hpp"
#include "transport/due_times.hpp"
#include "transport/stream.hpp"

namespace meadowgauge::proxy {

// A call failed, was refused or given up, or the watch ended.
struct WatchFailed {};
using DiscoveryUpdate = std::variant<protocol::EndpointList, WatchFailed>;

// One call at a time, on one connection: the complete list, or the watch on changes. All references have to
// outlive it; times are in milliseconds.
class DiscoveryClient final : public transport::Ready {
 public:
  static constexpr std::uint8_t due_kind = 3;

  // `now` is the clock reading of the loop's turn. `agent`: where discovery is called; none: it does nothing.
  // `last_version`: of the list that the process starts with.
  DiscoveryClient(transport::Loop& loop, transport::Pool& pool, transport::DueTimes& due,
                  const double& now_ms, std::optional<transport::Address> agent, std::int64_t last_version,
                  std::uint64_t seed, Logger log, const WatchTerms& terms);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Opens the watch of a new process, at once or spread over a large fleet that polls.
  void start();
  // Watches that agent from now on; none: watches nothing. Its complete list is fetched first where lists are
  // pushed. Where they are polled the watch goes on from the last version, and the complete list follows when
  // the fleet's calls for it are spread, or at once if the agent's versions turn out to be others.
  void set_agent(std::optional<transport::Address> agent);
  // The time that it registered with `due` has come.
  void deadline_reached();
  // Destroys connections that were closed in this turn of the loop.
  void destroy_closed() { closed_.clear(); }

  // What has been received since the caller last emptied it, in order.
  [[nodiscard]] std::vector<DiscoveryUpdate>& updates() { return updates_; }

 private:
  enum class Call : std::uint8_t { complete_list, watch };

  void ready(std::uint32_t events) override;
  void connect();
  bool connected(std::uint32_t events);
  bool send_request();
  // False, as for the next three: this connection is done with.
  bool response_received();
  bool body_received(bool head_is_new);
  bool response_ended();

  void watch_event(protocol::WatchEvent&& event);
  void list_received(protocol::EndpointList&& list);
  void unreadable(const std::string& reason);
  [[nodiscard]] bool complete_list_due() const { return now_ms_ >= complete_list_at_ms_; }
  [[nodiscard]] bool renewal_due() const;

  void set_deadline_in(double ms);
  void clear_deadline();
  void close();
  void reconnect();
  void fail(std::string_view reason, double retry_after_ms = 0);

  transport::Loop& loop_;
  transport::Pool& pool_;
  transport::DueTimes& due_;
  const double& now_ms_;
  std::optional<transport::Address> agent_;
  std::int64_t last_version_;
  Logger log_;
  WatchPacing pacing_;

  std::unique_ptr<transport::Stream> stream_;
  std::vector<std::unique_ptr<transport::Stream>> closed_;
  bool connected_ = false;
  Call call_ = Call::watch;  // in progress, or the next one

  protocol::Message response_;
  std::string complete_list_;  // as far as it has come
  protocol::WatchReader watch_reader_;
  bool reread_needed_ = false;  // something of this watch could not be read
  int rereads_ = 0;             // in a row, from the same version
  double called_at_ms_ = 0;
  double renew_at_ms_ = 0;                                  // this watch, unless it tells a change before
  double complete_list_at_ms_ = transport::DueTimes::none;  // the watch is interrupted for it then
  double deadline_ms_ = transport::DueTimes::none;  // of a sign of life while connected, or the next call
  std::vector<DiscoveryUpdate> updates_;
};

}  // namespace meadowgauge::proxy
