// The graceful shutdown as a state machine, which returns the actions to carry out. Does no I/O; all times
// are passed in, in ms of one clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace meadowgauge::proxy {

// The settings from which the durations of the phases follow.
struct GracefulShutdownSettings {
  double max_client_timeout_ms = 0;  // over all request classes
  // Duration of the draining phase; absent: the maximum client timeout, within bounds.
  std::optional<double> drain_ms;
};

// Decides when a stopping process closes its listener, fails its unanswered requests and exits.
class GracefulShutdown {
 public:
  static constexpr double never = std::numeric_limits<double>::infinity();

  enum class Phase : std::uint8_t {
    serving,
    draining,  // accepts and serves new connections, but reports itself as not ready
    closing,   // no new connections; each response is the last of its connection
    finished,  // the process may exit
  };
  // Actions that the owner carries out at once.
  struct Actions {
    bool close_listener = false;   // and idle connections
    bool fail_unanswered = false;  // requests without a response get an error response
  };

  explicit GracefulShutdown(GracefulShutdownSettings settings) : settings_(settings) {}

  // Starts draining; further calls have no effect. A process that has neither listened nor handed over to a
  // successor finishes at once.
  void begin(double now_ms, bool has_served);
  // A successor accepts the new connections, so a shutdown finishes when the last open connection closes.
  void handed_over() { handed_over_ = true; }
  // Called in each loop turn after begin(). The owner calls connections_closed() after it has carried out the
  // actions.
  [[nodiscard]] Actions advance(double now_ms, std::size_t open_connections);
  void connections_closed(double now_ms, std::size_t open_connections);

  [[nodiscard]] static std::string_view name_of(Phase phase);
  [[nodiscard]] Phase phase() const { return phase_; }
  [[nodiscard]] bool serving() const { return phase_ == Phase::serving; }
  [[nodiscard]] bool finished() const { return phase_ == Phase::finished; }
  [[nodiscard]] bool has_handed_over() const { return handed_over_; }
  // By when advance() must be called next; `never` while serving.
  [[nodiscard]] double next_due_ms() const { return phase_until_ms_; }
  // The time by which all requests are answered; `never` while serving.
  [[nodiscard]] double responses_due_ms() const { return responses_due_ms_; }

 private:
  GracefulShutdownSettings settings_;
  Phase phase_ = Phase::serving;
  bool handed_over_ = false;
  double phase_until_ms_ = never;
  double responses_due_ms_ = never;
  double finished_at_ms_ = never;  // finishes then even with open connections
};

}  // namespace meadowgauge::proxy
