// Discovery of the soak: sends the endpoint list on a watch or as a response, drains one upstream, and moves
// one to the other cell.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "e2e/soak/cell_groups.hpp"
#include "e2e/soak/soak_settings.hpp"
#include "fixtures/discovery_stand_in.hpp"
#include "fixtures/http_messages.hpp"
#include "fixtures/proxy_process.hpp"
#include "fixtures/waiting.hpp"

namespace meadowgauge::test {

class SoakDiscovery {
 public:
  SoakDiscovery(const ProxyProcess& proxy, RandomDraws& random, CellPlacement& cells)
      : proxy_(proxy), random_(random), cells_(cells) {}

  // Does not accept or answer calls before `time`.
  void hold_answers_until(Clock::time_point time) { answers_from_ = time; }

  void serve() {
    if (Clock::now() < answers_from_) return;
    while (proxy_.discovery.has_pending_connection()) watches_.push_back(proxy_.discovery.accept());
    for (auto& watch : watches_) {
      while (watch.is_open() && !watch.quiet() && watch.receive_some()) {
      }
      while (auto message = watch.take_message()) answer_call(watch, *message);
    }
  }

  // Serves until the program has opened a watch and is ready.
  void await_endpoint_list() {
    auto until = Clock::now() + ms(wait_limit_ms);
    while (!is_watch_ && Clock::now() < until) serve();
    while (proxy_.get_status("/-/ready") != 200 && Clock::now() < until) {
    }
  }

  // Publishes the drain of a random upstream, once in a run.
  void drain_random_upstream() {
    if (!can_publish() || !drained_at_.empty()) return;
    auto upstream = static_cast<std::size_t>(random_.below(upstream_count));
    drained_at_[upstream] = Clock::now();
    ++list_version_;
    publish(watches_.back(), current_list());
  }

  // Publishes the move of a random upstream to the other cell, once in a run.
  void move_random_upstream() {
    if (!can_publish() || cells_.has_moved()) return;
    auto upstream = static_cast<std::size_t>(random_.below(upstream_count));
    cells_.move(upstream, 1 - cells_.cell_of(upstream));
    ++list_version_;
    publish(watches_.back(), current_list());
  }

  void reset_watch() {
    if (!watches_.empty()) watches_.back().reset();
  }

  // When each draining upstream was published as such, by upstream.
  [[nodiscard]] const std::map<std::size_t, Clock::time_point>& drained_at() const { return drained_at_; }

 private:
  [[nodiscard]] bool can_publish() const {
    return is_watch_ && !watches_.empty() && watches_.back().is_open() && watches_.back().alive();
  }

  void answer_call(TcpConnection& watch, const std::string& request) {
    is_watch_ = request.find("watch=1") != std::string::npos;
    if (!is_watch_) return watch.send(http_message("HTTP/1.1 200 OK", current_list()));
    watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    publish(watch, current_list());
  }

  [[nodiscard]] std::string current_list() const {
    std::vector<std::string> entries;
    for (std::size_t n = 0; n < proxy_.upstreams.size(); ++n)
      entries.push_back(endpoint_entry(static_cast<int>(n), proxy_.upstreams[n].address(),
                                       drained_at_.contains(n) ? "leaving" : "active", 0, cells_.cell_of(n)));
    return endpoint_list(list_version_, true, entries);
  }

  const ProxyProcess& proxy_;
  RandomDraws& random_;
  CellPlacement& cells_;
  std::vector<TcpConnection> watches_;
  std::map<std::size_t, Clock::time_point> drained_at_;
  int list_version_ = 2;
  bool is_watch_ = false;
  Clock::time_point answers_from_;
};

}  // namespace meadowgauge::test
