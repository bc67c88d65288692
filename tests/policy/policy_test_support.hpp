// Settings and helpers shared by the tests of the policy.
#pragma once

#include <map>

#include "fixtures/policy_harness.hpp"

namespace meadowgauge::test {

// Settings of one balancer of many that learns the load of servers from probes only.
inline const Settings probes_only{{"replicas_of_me", "400"},
                                  {"limits.probes", "true"},
                                  {"report.how", "on_probe"},
                                  {"report.columns", "concurrent,depth"},
                                  {"limits.second_copies", "false"}};

// Settings of one balancer of many that learns the load of servers from reports in responses and from gossip.
inline const Settings depth_reported{{"replicas_of_me", "1000"},       {"my_number", "3"},
                                     {"limits.peer_messages", "true"}, {"specifics.warm_keys", "true"},
                                     {"report.how", "inline"},         {"report.columns", "mean_ms,depth"},
                                     {"limits.second_copies", "false"}};

// Makes `good` attempts succeed and then `bad` attempts end as rejected. All end at the same time, so they
// fall into one bucket of the outcome window.
inline void feed(PolicyHarness& harness, int good, int bad) {
  for (int i = 0; i < good + bad; ++i) {
    int id = harness.submit(1, 5000);
    harness.end(id, 0, i < good ? Outcome::succeeded : Outcome::rejected);
  }
}

// Returns the sum of the counts of the endpoints from `from` up to but excluding `to`.
inline int sum_of(const std::map<int, int>& counts, int from, int to) {
  int sum = 0;
  for (auto [endpoint, count] : counts) sum += endpoint >= from && endpoint < to ? count : 0;
  return sum;
}

}  // namespace meadowgauge::test
