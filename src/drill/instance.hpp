// One balancer on the bench's wire: its module, its visits in hand and its due times.
#pragma once

#include <set>
#include <unordered_map>
#include <utility>

#include "brain/brain.hpp"
#include "drill/codec.hpp"

namespace meadow::drill {

// path=value lines; a line without '=' is skipped.
Settings parse_settings(std::string_view text);

class Instance {
 public:
  Instance(const Settings& settings, std::uint64_t seed, double now, Reply& out);

  void knock(Record r, double now, Reply& out);
  void report_back(Record r, double now, Reply& out);
  void begun(Record r, double now, Reply& out);
  void client_gone(Record r, double now, Reply& out);
  void probe_done(Record r, double now);
  void registry(Record r, std::string_view entries, double now);
  void alarm(Record r, double now, Reply& out);
  // Before the reply closes: asks for the alarm of the next due time.
  void settle(double now, Reply& out);

 private:
  using Job = std::uint64_t;
  struct Held {
    Visit visit;
    double due = never;  // when where() is to be asked again
  };
  using Visits = std::unordered_map<Job, Held>;

  int index_of(std::uint32_t upstream);
  void carry_out(Visits::iterator it, const Answer& a, double now, Reply& out);
  void set_due(Job job, Held& held, double at);
  void release(Visits::iterator it);

  Brain brain_;
  Visits visits_;
  std::unordered_map<std::uint32_t, int> index_;
  std::vector<std::uint32_t> upstreams_;
  std::set<std::pair<double, Job>> due_;
  double alarm_at_ = never;
  std::uint32_t nonce_ = 1;  // 0 is the periodic alarm
  std::vector<Entry> entries_;
};

}  // namespace meadow::drill
