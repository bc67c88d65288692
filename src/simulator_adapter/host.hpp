// Many simulated balancers in one process: dispatches each event of a batch to its instance.
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

class Host {
 public:
  Host() = default;
  ~Host() = default;
  // Instances refer to the reply of their host.
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Handles all events of a batch in their order. Returns the reply frame, valid until the next call. Throws
  // FrameError for a damaged batch; any other error of an instance becomes an action of the reply.
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

  Reply reply_;  // instances write into it, so it is declared before them
  std::optional<InstanceId> selected_;
  std::set<InstanceId> touched_;  // selected in this batch
  std::map<InstanceId, Instance> instances_;
  std::map<ListId, std::string> endpoint_lists_;  // as bytes of the wire
};

}  // namespace meadowgauge::simulator_adapter
