// The host of all simulated balancers of one process.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "simulator_adapter/codec.hpp"
#include "simulator_adapter/instance.hpp"

namespace meadowgauge::simulator_adapter {

// Owns the simulated balancers (instances) and dispatches the events of a batch to them.
class Host {
 public:
  Host() = default;
  ~Host() = default;
  // Not copyable, because the instances refer to the reply of their host.
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Handles all events of a batch in order. Returns the reply frame, which is valid until the next call.
  // Throws FrameError for a damaged batch; any other exception becomes a report_fault action of the reply.
  std::string_view handle(const Batch& batch);

 private:
  using InstanceId = std::uint16_t;
  using ListId = std::uint16_t;

  void handle_event(const Batch& batch, Record record);
  void handle_instance_event(const Batch& batch, Record record);
  void select_instance(InstanceId id);
  void start_instance(const Batch& batch, Record record);
  void update_endpoints(Instance& instance, Record record, double now_ms);
  void update_timers(double now_ms);

  Reply reply_;  // declared before the instances, which write to it
  std::optional<InstanceId> selected_;
  std::set<InstanceId> batch_instances_;  // the instances selected in this batch
  std::map<InstanceId, Instance> instances_;
  std::map<ListId, std::string> endpoint_lists_;  // in the wire format
};

}  // namespace meadowgauge::simulator_adapter
