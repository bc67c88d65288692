#include "testbed/checker.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <tuple>
#include <unordered_map>

namespace meadowgauge::testbed {

std::string_view rule_name(Rule rule) {
  constexpr auto names = std::to_array<std::string_view>({"no request is lost", "no duplicate effect",
                                                          "drains are respected", "slow start is respected",
                                                          "no balancer crashes", "fleet limits are kept"});
  return names[static_cast<std::size_t>(rule)];
}

namespace {

using Result = ServerRecord::Result;

// Returns whether a balancer must assume that the server executed the request: the request arrived completely
// and the server did not reject it.
bool may_have_executed(const ServerRecord& record) {
  return record.last_byte_ms != never && record.result != Result::rejected &&
         record.result != Result::incomplete;
}

// Returns the name, or `all` if the name is empty.
std::string name_or(const std::string& name, const char* all) { return name.empty() ? all : name; }

// Checks one history against one contract; both outlive the checker.
class Checker {
 public:
  Checker(const History& history, const Contract& contract) : history_(history), contract_(contract) {
    for (const auto& record : history.server_records) records_by_id_[record.id].push_back(&record);
    for (auto& [id, records] : records_by_id_)
      std::sort(records.begin(), records.end(),
                [](auto* a, auto* b) { return a->last_byte_ms < b->last_byte_ms; });
    for (const auto& notification : history.notifications)
      notifications_[{notification.tier, notification.balancer, notification.server}].push_back(
          &notification);
    for (auto& [key, notifications] : notifications_)
      std::stable_sort(notifications.begin(), notifications.end(),
                       [](auto* a, auto* b) { return a->at_ms < b->at_ms; });
  }

  Verdict check_all() {
    for (const auto& attempt : history_.attempts) {
      check_lost(attempt);
      check_duplicate_effect(attempt);
    }
    for (const auto& record : history_.server_records) check_drain(record);
    check_crashes();
    check_fleet_limits();
    std::stable_sort(verdict_.violations.begin(), verdict_.violations.end(),
                     [](const Violation& a, const Violation& b) { return a.at_ms < b.at_ms; });
    return std::move(verdict_);
  }

 private:
  using Records = std::vector<const ServerRecord*>;

  void add_violation(Rule rule, double at_ms, std::string description) {
    ++verdict_.count[static_cast<int>(rule)];
    verdict_.violations.push_back({rule, at_ms, std::move(description)});
  }

  // A balancer process may exit only when the experiment ends it. A server that crashes during slow start was
  // sent more requests than its slow start allows.
  void check_crashes() {
    for (const auto& crash : history_.server_crashes)
      add_violation(Rule::slow_start_respected, crash.at_ms,
                    "server " + std::to_string(crash.server) + " of tier " + std::to_string(crash.tier) +
                        " crashed during slow start");
    for (const auto& exit : history_.balancer_exits)
      if (exit.cause == BalancerExit::Cause::crashed)
        add_violation(Rule::no_crash, exit.at_ms,
                      "balancer " + std::to_string(exit.balancer) + " of tier " + std::to_string(exit.tier));
  }

  // In no window may the balancers together admit more requests than a fleet limit allows.
  void check_fleet_limits() {
    for (const auto& limit : contract_.limits)
      if (auto admitted = admission_history(history_, contract_, limit); admitted.max_excess > 0)
        add_violation(Rule::fleet_limits_kept, admitted.excess_at_ms,
                      "limit of " + name_or(limit.tenant, "all tenants") + " on " +
                          name_or(limit.request_class, "all path prefixes") + ": " +
                          std::to_string(static_cast<long>(std::ceil(admitted.max_excess))) +
                          " requests over the bound");
  }

  // Returns whether the experiment killed or paused the balancer while the attempt was in flight there, give
  // or take the slack. A graceful shutdown is no excuse: the balancer must answer all accepted requests
  // before it exits.
  [[nodiscard]] bool is_excused(const Attempt& attempt) const {
    const double slack = contract_.slack_ms;
    bool paused = std::any_of(
        history_.balancer_pauses.begin(), history_.balancer_pauses.end(), [&](const BalancerPause& pause) {
          return pause.tier == attempt.tier && pause.balancer == attempt.balancer &&
                 attempt.written_ms <= pause.until_ms + slack &&
                 std::min(attempt.ended_ms, attempt.deadline_ms) >= pause.from_ms - slack;
        });
    return paused || std::any_of(history_.balancer_exits.begin(), history_.balancer_exits.end(),
                                 [&](const BalancerExit& exit) {
                                   return exit.cause == BalancerExit::Cause::killed &&
                                          exit.tier == attempt.tier && exit.balancer == attempt.balancer &&
                                          attempt.written_ms <= exit.exited_ms + slack &&
                                          attempt.ended_ms >= exit.at_ms - slack;
                                 });
  }

  // Describes the attempt's timing, so that a reader can tell a delay of the balancer from one of the client.
  static std::string describe_timing(const Attempt& attempt) {
    auto ms = [](double value) {
      return std::isfinite(value) ? std::to_string(std::lround(value)) + " ms" : "never";
    };
    std::string text = " (balancer " + std::to_string(attempt.balancer) + "; ended " +
                       ms(attempt.ended_ms - attempt.deadline_ms) + " after its deadline";
    if (attempt.arrived_ms != never)
      text += ", its last bytes arrived " + ms(attempt.arrived_ms - attempt.deadline_ms) + " after it";
    return text + "; the client's turn was " + ms(attempt.turn_late_ms) + " late, its request written " +
           ms(attempt.write_delay_ms) + " late)";
  }

  // Records a lost request, as excused if the experiment killed or paused the attempt's balancer.
  void add_lost_attempt(const Attempt& attempt, double at_ms, const char* description) {
    if (is_excused(attempt))
      ++verdict_.excused;
    else
      add_violation(Rule::no_request_lost, at_ms, attempt.id + description + describe_timing(attempt));
  }

  // Returns the servers' records of the attempt, or null if no server received it.
  [[nodiscard]] const Records* find_records(const Attempt& attempt) const {
    auto it = records_by_id_.find(attempt.id);
    return it == records_by_id_.end() ? nullptr : &it->second;
  }

  // Returns whether a server answered before the client received the response, with 1 ms tolerance between
  // the clock readings of two threads. `ended_ms` is read when the client's loop turn starts, and the
  // response may arrive later in that turn, so the later of `ended_ms` and `received_by_ms` is the bound.
  static bool answered_by_server(const Records* records, const Attempt& attempt) {
    double received_by_ms = std::max(attempt.ended_ms, attempt.received_by_ms);
    return records != nullptr &&
           std::any_of(records->begin(), records->end(), [&](const ServerRecord* record) {
             return record->answered_ms != never && record->answered_ms <= received_by_ms + 1 &&
                    (record->result == Result::executed || record->result == Result::duplicate);
           });
  }

  // Every request that a balancer accepted must end with a response that a server produced for it, before the
  // client timeout. An attempt that was not written completely may fail: the balancer had not accepted it.
  void check_lost(const Attempt& attempt) {
    if (attempt.extra_bytes)
      add_violation(Rule::no_request_lost, attempt.ended_ms,
                    attempt.id + ": bytes followed the final response");
    const auto* records = find_records(attempt);
    switch (attempt.outcome) {
      case Outcome::succeeded:
        if (!answered_by_server(records, attempt))
          add_violation(Rule::no_request_lost, attempt.ended_ms,
                        attempt.id + ": succeeded, but no server answered it");
        check_late(attempt);
        break;
      case Outcome::rejected:
      case Outcome::failed:
        check_late(attempt);
        break;
      case Outcome::corrupted:
        add_violation(Rule::no_request_lost, attempt.ended_ms,
                      attempt.id + ": 200 with a body that no server produced for it");
        break;
      case Outcome::unreachable:
        break;
      case Outcome::keep_alive_race:
        if (!records) break;  // the balancer closed the connection before it accepted the request
        [[fallthrough]];
      case Outcome::connection_lost:
      case Outcome::timed_out:
        if (attempt.written_ms == never) break;
        add_lost_attempt(attempt, std::min(attempt.ended_ms, attempt.deadline_ms),
                         attempt.outcome == Outcome::timed_out
                             ? ": no response before the client timeout"
                             : ": connection ended without a complete response");
        break;
    }
  }

  // Returns how long the response waited in the client's kernel until the client read it; 0 if unknown. It is
  // at most the time since the client's previous loop turn, which read everything that had arrived by then.
  [[nodiscard]] double read_delay_ms(const Attempt& attempt) const {
    if (attempt.arrived_ms == never) return 0;
    double max_delay_ms = std::min(attempt.turn_gap_ms, contract_.max_client_delay_ms);
    return std::clamp(attempt.ended_ms - attempt.arrived_ms, 0.0, max_delay_ms);
  }

  // Decides whether a response came after the client timeout (deadline plus slack, ms) because of the
  // balancer. The client's own delays are subtracted: the response counts from its arrival in the client's
  // kernel, and its time budget from the request's last byte. Only delays in the attempt's own record count,
  // each up to `max_client_delay_ms`.
  void check_late(const Attempt& attempt) {
    double latest_end_ms = attempt.deadline_ms + contract_.slack_ms;
    if (attempt.ended_ms <= latest_end_ms) return;
    double read_delay = read_delay_ms(attempt);
    double write_delay = std::clamp(attempt.write_delay_ms, 0.0, contract_.max_client_delay_ms);
    if (attempt.ended_ms - read_delay > latest_end_ms + write_delay)
      return add_lost_attempt(attempt, attempt.ended_ms, ": response after the client timeout");
    verdict_.client_delays.push_back({attempt.id, write_delay, read_delay});
  }

  [[nodiscard]] const ServerPlacement& placement_of(const ServerRecord& record) const {
    return contract_.servers[static_cast<std::size_t>(record.tier)][static_cast<std::size_t>(record.server)];
  }

  // Returns whether servers `a` and `b` share a deduplication cache, by the scope of the request class.
  [[nodiscard]] bool shares_deduplication_cache(const RequestClassSpec& request_class, const ServerRecord& a,
                                                const ServerRecord& b) const {
    if (request_class.scope == DeduplicationScope::all) return true;
    const auto& placement_a = placement_of(a);
    const auto& placement_b = placement_of(b);
    if (request_class.scope == DeduplicationScope::zone) return placement_a.zone == placement_b.zone;
    return a.server == b.server || (placement_a.block >= 0 && placement_a.block == placement_b.block);
  }

  // Returns whether the second record is a permitted repetition: the servers share a deduplication cache, and
  // the request arrived again within the deduplication window, ms.
  [[nodiscard]] bool may_repeat(const RequestClassSpec& request_class, const ServerRecord& first,
                                const ServerRecord& again) const {
    return request_class.idempotency == Idempotency::deduplicated &&
           shares_deduplication_cache(request_class, first, again) &&
           again.last_byte_ms - first.last_byte_ms <= request_class.deduplication_window_ms;
  }

  // After a server may have executed an unsafe attempt, the attempt may reach a server again only if that
  // server deduplicates it. A balancer may not reject a non-idempotent attempt that may have been executed,
  // because a rejection tells the client that the attempt was not executed.
  void check_duplicate_effect(const Attempt& attempt) {
    const auto* records = find_records(attempt);
    if (!records) return;
    const auto& request_class = contract_.request_classes[static_cast<std::size_t>(attempt.request_class)];
    if (request_class.idempotency == Idempotency::safe) return;
    const ServerRecord* first = nullptr;
    for (const auto* record : *records) {
      if (record->last_byte_ms == never) continue;
      if (first && !may_repeat(request_class, *first, *record))
        add_violation(Rule::no_duplicate_effect, record->last_byte_ms,
                      attempt.id + ": sent to server " + std::to_string(record->server) + " though server " +
                          std::to_string(first->server) + " may have executed it");
      if (!first && may_have_executed(*record)) first = record;
    }
    if (request_class.idempotency == Idempotency::non_idempotent && attempt.outcome == Outcome::rejected &&
        first && first->last_byte_ms < attempt.ended_ms)
      add_violation(
          Rule::no_duplicate_effect, attempt.ended_ms,
          attempt.id + ": rejected though server " + std::to_string(first->server) + " may have executed it");
  }

  // Returns whether the notified process exited before it could send the request: the process that replaced
  // it never received the notification.
  [[nodiscard]] bool restarted_since(const EndpointNotification& notification,
                                     const ServerRecord& record) const {
    return std::any_of(
        history_.balancer_exits.begin(), history_.balancer_exits.end(), [&](const BalancerExit& exit) {
          return exit.tier == record.tier && exit.balancer == record.balancer &&
                 exit.exited_ms >= notification.at_ms && exit.exited_ms <= record.first_byte_ms;
        });
  }

  // Returns the notification in effect at the balancer when it sent this request, or null if there was none.
  // A repeated notification does not restart the grace period, so the first one of a state is returned.
  [[nodiscard]] const EndpointNotification* notification_before(const ServerRecord& record) const {
    auto it = notifications_.find({record.tier, record.balancer, record.server});
    if (it == notifications_.end()) return nullptr;
    const EndpointNotification* last = nullptr;
    for (const auto* notification : it->second) {
      if (notification->at_ms > record.first_byte_ms) break;
      if (restarted_since(*notification, record)) continue;
      if (!last || last->drains != notification->drains) last = notification;
    }
    return last;
  }

  // A balancer may send requests to a draining server only during the grace period after its notification.
  void check_drain(const ServerRecord& record) {
    const auto* last = notification_before(record);
    if (!last || !last->drains ||
        record.first_byte_ms <= last->at_ms + contract_.drain_grace_ms + contract_.slack_ms)
      return;
    add_violation(Rule::drains_respected, record.first_byte_ms,
                  record.id + ": sent to server " + std::to_string(record.server) + " " +
                      std::to_string(static_cast<long>(record.first_byte_ms - last->at_ms)) +
                      " ms after balancer " + std::to_string(record.balancer) + " was notified");
  }

  const History& history_;
  const Contract& contract_;
  Verdict verdict_;
  std::unordered_map<std::string_view, Records> records_by_id_;
  // By tier, balancer and server; each list is sorted by time.
  std::map<std::tuple<int, int, int>, std::vector<const EndpointNotification*>> notifications_;
};

// Maps the ID of each attempt at the first tier to whether it counts against the limit.
std::unordered_map<std::string_view, bool> limit_applies_by_id(const History& history,
                                                               const Contract& contract,
                                                               const FleetLimit& limit) {
  std::unordered_map<std::string_view, bool> limit_applies;
  for (const auto& attempt : history.attempts) {
    if (attempt.tier != 0) continue;
    const auto& request_class = contract.request_classes[static_cast<std::size_t>(attempt.request_class)];
    limit_applies[attempt.id] =
        (limit.tenant.empty() ||
         contract.tenants[static_cast<std::size_t>(attempt.tenant)] == limit.tenant) &&
        (limit.request_class.empty() || request_class.name == limit.request_class);
  }
  return limit_applies;
}

}  // namespace

// A token bucket for the whole fleet, refilled at `limit.rate` tokens per second: its deficit at an admission
// is the excess of the worst window that ends there. The capacity is the burst plus the tokens of
// `admission_to_server_ms`, because admissions may be delayed on their way to the server and arrive together.
AdmissionHistory admission_history(const History& history, const Contract& contract,
                                   const FleetLimit& limit) {
  auto limit_applies = limit_applies_by_id(history, contract, limit);
  std::unordered_map<std::string_view, std::pair<double, int>> first_arrivals;
  for (const auto& record : history.server_records) {
    auto it = limit_applies.find(record.id);
    if (record.tier != 0 || it == limit_applies.end() || !it->second) continue;
    auto [arrival, inserted] = first_arrivals.try_emplace(record.id, record.first_byte_ms, record.balancer);
    if (!inserted && record.first_byte_ms < arrival->second.first)
      arrival->second = {record.first_byte_ms, record.balancer};
  }
  AdmissionHistory admitted;
  for (const auto& [id, arrival] : first_arrivals) admitted.events.push_back(arrival);
  std::sort(admitted.events.begin(), admitted.events.end());
  const double capacity = limit.burst + limit.rate * contract.admission_to_server_ms / 1000;
  double tokens = capacity;
  double last_ms = admitted.events.empty() ? 0 : admitted.events.front().first;
  admitted.max_excess = -capacity;
  for (const auto& [at_ms, balancer] : admitted.events) {
    tokens = std::min(capacity, tokens + limit.rate * (at_ms - last_ms) / 1000) - 1;
    last_ms = at_ms;
    if (-tokens > admitted.max_excess) {
      admitted.max_excess = -tokens;
      admitted.excess_at_ms = at_ms;
    }
  }
  return admitted;
}

Verdict check_history(const History& history, const Contract& contract) {
  return Checker(history, contract).check_all();
}

}  // namespace meadowgauge::testbed
