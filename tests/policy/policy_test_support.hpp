// What several tests of the policy share beside the harness that they run it in.
#pragma once

#include <map>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {

// Settings of one balancer of many, which learns the load of servers by probes alone.
inline const Settings probes_only{{"replicas_of_me", "400"},
                                  {"limits.probes", "true"},
                                  {"report.how", "on_probe"},
                                  {"report.columns", "concurrent,depth"},
                                  {"limits.second_copies", "false"}};

// The same by reports in responses, and by gossip.
inline const Settings depth_reported{{"replicas_of_me", "1000"},       {"my_number", "3"},
                                     {"limits.peer_messages", "true"}, {"specifics.warm_keys", "true"},
                                     {"report.how", "inline"},         {"report.columns", "mean_ms,depth"},
                                     {"limits.second_copies", "false"}};

// `good` successes and then `bad` rejections at one moment, so in one bucket.
inline void feed(PolicyHarness& w, int good, int bad) {
  for (int i = 0; i < good + bad; ++i) {
    int id = w.submit(1, 5000);
    w.end(id, 0, i < good ? Outcome::succeeded : Outcome::rejected);
  }
}

// The sum over the endpoints from `from` to before `to`.
inline int sum_of(const std::map<int, int>& counts, int from, int to) {
  int sum = 0;
  for (auto [endpoint, n] : counts) sum += endpoint >= from && endpoint < to ? n : 0;
  return sum;
}

}  // namespace meadowgauge::test
