// Checks the records of servers against the rule that no effect happens twice. Follows the wording of the
// rule and shares no code with the policy. Times are in ms.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace meadowgauge::test {

using CallId = std::uint64_t;

// The zone and the cell of a server.
struct Place {
  int zone = 0;
  int cell = 0;
};

// Whether a request may be executed twice, and which servers know its idempotency key.
enum class Effect : std::uint8_t {
  idempotent,
  mutating,
  key_known_to_all,
  key_known_to_zone,
  key_known_to_cell
};

// The last byte of an attempt that the server did not reject: from its receipt on the request may have run.
struct LastByte {
  Place place;          // of the server when the last byte was received
  double at_ms = 0;     // when the last byte was received
  double pause_ms = 0;  // between the balancer's reading of its clock and the write
};

// Whether the window is extended by the time for which the balancer was paused.
enum class PauseAllowance : std::uint8_t { none, granted };

// Collects the events of a run; the checks follow at its end.
class RepeatChecker {
 public:
  explicit RepeatChecker(double window_ms) : window_ms_(window_ms) {}

  void request_arrived(CallId id, Effect effect) { calls_[id].effect = effect; }
  void record_last_byte(CallId id, const LastByte& last_byte) { calls_.at(id).runs.push_back(last_byte); }
  // The client has its final answer. A rejected client may repeat the request from `repeat_at_ms` on.
  void answered(CallId id) { ++calls_.at(id).final_answers; }
  void rejected(CallId id, double repeat_at_ms, double pause_ms) {
    auto& call = calls_.at(id);
    ++call.final_answers;
    call.is_rejected = true;
    call.repeat_at_ms = repeat_at_ms;
    call.answer_pause_ms = pause_ms;
  }
  void client_left(CallId id) { calls_.at(id).client_has_left = true; }

  // One text per request that breaks the rule.
  [[nodiscard]] std::vector<std::string> breaches(PauseAllowance allowance) const {
    std::vector<std::string> found;
    for (const auto& [id, call] : calls_)
      if (auto breach = breach_of(call, allowance); !breach.empty())
        found.push_back("request " + std::to_string(id) + ": " + breach);
    return found;
  }
  // The first request that breaks the rule; absent if none does.
  [[nodiscard]] std::optional<CallId> first_call_in_breach(PauseAllowance allowance) const {
    for (const auto& [id, call] : calls_)
      if (!breach_of(call, allowance).empty()) return id;
    return {};
  }
  // Number of further runs of requests with an idempotency key.
  [[nodiscard]] int repeated_runs() const {
    int count = 0;
    for (const auto& [id, call] : calls_)
      if (has_key(call.effect)) count += std::max(0, static_cast<int>(call.runs.size()) - 1);
    return count;
  }
  [[nodiscard]] int rejected_after_run() const {
    return static_cast<int>(std::ranges::count_if(
        calls_, [](const auto& entry) { return entry.second.is_rejected && !entry.second.runs.empty(); }));
  }

 private:
  struct Call {
    Effect effect = Effect::mutating;
    std::vector<LastByte> runs;
    int final_answers = 0;
    bool client_has_left = false;
    bool is_rejected = false;
    double repeat_at_ms = 0;
    double answer_pause_ms = 0;
  };

  static bool has_key(Effect effect) { return effect != Effect::idempotent && effect != Effect::mutating; }

  [[nodiscard]] std::string breach_of(const Call& call, PauseAllowance allowance) const {
    int expected_answers = call.client_has_left ? 0 : 1;
    if (call.final_answers != expected_answers) return "final answers: " + std::to_string(call.final_answers);
    if (call.effect == Effect::idempotent) return "";
    auto runs = call.runs;
    std::ranges::stable_sort(runs, {}, &LastByte::at_ms);
    for (std::size_t later = 1; later < runs.size(); ++later)
      for (std::size_t earlier = 0; earlier < later; ++earlier)
        if (auto breach = rerun_breach(call.effect, runs[earlier], runs[later], allowance); !breach.empty())
          return breach;
    return call.is_rejected ? rejection_breach(call, allowance) : "";
  }

  [[nodiscard]] std::string rerun_breach(Effect effect, const LastByte& earlier, const LastByte& later,
                                         PauseAllowance allowance) const {
    if (effect == Effect::mutating) return "ran twice";
    if (effect == Effect::key_known_to_zone && earlier.place.zone != later.place.zone)
      return "ran in another zone";
    if (effect == Effect::key_known_to_cell && earlier.place.cell != later.place.cell)
      return "ran in another cell";
    if (is_past_window(earlier, later.at_ms, later.pause_ms, allowance))
      return "ran past its window: " + std::to_string(later.at_ms - earlier.at_ms) + " ms of " +
             std::to_string(window_ms_) + ", paused " + std::to_string(later.pause_ms) + " ms";
    return "";
  }

  // The client's repetition may reach any server.
  [[nodiscard]] std::string rejection_breach(const Call& call, PauseAllowance allowance) const {
    for (const auto& run : call.runs) {
      if (call.effect != Effect::key_known_to_all) return "rejected though it may have run";
      if (is_past_window(run, call.repeat_at_ms, call.answer_pause_ms, allowance))
        return "rejected past its window";
    }
    return "";
  }

  [[nodiscard]] bool is_past_window(const LastByte& earlier, double at_ms, double pause_ms,
                                    PauseAllowance allowance) const {
    double allowed_ms = window_ms_ + (allowance == PauseAllowance::granted ? pause_ms : 0);
    return at_ms - earlier.at_ms > allowed_ms;
  }

  double window_ms_;
  std::map<CallId, Call> calls_;
};

}  // namespace meadowgauge::test
