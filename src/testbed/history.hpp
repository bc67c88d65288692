// The history of one run, recorded on both sides of the balancers: each attempt of a client, each request
// that reached a server, each endpoint change that discovery sent. The checker uses these records only. All
// times are milliseconds on the clock that all threads of the testbed share.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "testbed/model/traffic.hpp"

namespace meadowgauge::testbed {

// The time of an event that has not happened.
inline constexpr double never = std::numeric_limits<double>::infinity();

// How an attempt ended for the client that made it.
enum class Outcome : std::uint8_t {
  succeeded,    // 200 with the body that a server produced for this id
  rejected,     // 429 or 503
  failed,       // any other status
  corrupted,    // 200 with a body that no server produced for this id
  unreachable,  // no connection was established, or it broke before the last byte of the request was written:
                // the balancer has not accepted the request
  keep_alive_race,  // a reused connection ended before the first byte of a response: the balancer may have
                    // closed it while the request was on its way
  connection_lost,  // the connection ended without a complete response
  timed_out         // no complete response before the client gave up
};

// One attempt of a request, by a client or by a server of the previous tier.
struct Attempt {
  std::string id;             // on the wire, unique to the attempt
  std::uint64_t request = 0;  // number of the request
  int tier = 0, number = 1;   // tier called; number of the attempt within the request, from 1
  int request_class = 0, tenant = 0;
  int balancer = -1;          // index in the tier; -1: no balancer was chosen
  double intended_ms = 0;     // scheduled send time
  double written_ms = never;  // time of writing the last byte
  double deadline_ms = 0;     // time when the client timeout expires
  double ended_ms = never;    // clock reading at the start of the client's loop turn that ended it
  double received_by_ms = 0;  // clock reading after the response's last byte; 0: no response
  double arrived_ms = never;  // when the kernel received the response's last bytes; `never`: unknown
  double write_delay_ms = 0;  // from the clock reading that set the time budget to writing the last byte
  double turn_late_ms = 0;    // delay of the turn in which the attempt ended, after its due time
  double turn_gap_ms = 0;     // since the start of the previous turn, which read all that had arrived
  Outcome outcome = Outcome::timed_out;
  int status = 0;             // of the response; 0: no response
  double retry_after_ms = 0;  // from the Retry-After header; 0: none
  bool extra_bytes = false;   // bytes followed the complete response
  bool last = true;           // no further attempt of the request follows
};

// One request at one server, as recorded by the server.
struct ServerRecord {
  enum class Result : std::uint8_t {
    incomplete,  // not all of the request arrived
    rejected,    // answered with a rejection; never executed
    duplicate,   // deduplicated by its idempotency key, and answered
    failed,      // answered with an error; the caller must assume execution
    queued,      // accepted, not started
    abandoned,   // accepted, and its connection ended before it started
    executed     // started, so the request has taken effect
  };
  std::string id, key;
  int tier = 0, server = 0, incarnation = 0;  // incarnation: number of the server's start
  int balancer = -1;
  double first_byte_ms = 0, last_byte_ms = never;  // arrival of the request; `never`: incomplete
  Result result = Result::incomplete;
  double started_ms = never, answered_ms = never;
  double turn_late_ms = 0;  // delay of the turn in which the request became complete, after its due time
};

// Discovery has notified a balancer that a server drains, is removed, or is active again.
struct EndpointNotification {
  int tier = 0, balancer = 0, server = 0;
  bool drains = false;
  double at_ms = 0;
};

// A balancer process was killed or terminated by the experiment, or crashed.
struct BalancerExit {
  enum class Cause : std::uint8_t { killed, planned, crashed };
  int tier = 0, balancer = 0;
  double at_ms = 0;  // time of the signal; for a crash, of its detection
  Cause cause = Cause::killed;
  double exited_ms = 0;  // when the process had exited
};

// A server crashed because it was overloaded during its slow start.
struct ServerCrash {
  int tier = 0, server = 0;
  double at_ms = 0;
};

// The experiment paused a balancer with SIGSTOP.
struct BalancerPause {
  int tier = 0, balancer = 0;
  double from_ms = 0, until_ms = never;
};

// All records of one run.
struct History {
  std::vector<Attempt> attempts;
  std::vector<ServerRecord> server_records;
  std::vector<EndpointNotification> notifications;
  std::vector<BalancerExit> balancer_exits;
  std::vector<ServerCrash> server_crashes;
  std::vector<BalancerPause> balancer_pauses;
};

}  // namespace meadowgauge::testbed
