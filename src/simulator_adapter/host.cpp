#include "simulator_adapter/host.hpp"

#include <cstdio>
#include <exception>

#include "simulator_adapter/wire_messages.hpp"

namespace meadowgauge::simulator_adapter {

std::string_view Host::handle(const Batch& batch) {
  reply_.clear();
  batch_instances_.clear();
  selected_.reset();
  try {
    for (std::size_t i = 0; i < batch.size(); ++i) handle_event(batch, batch[i]);
    update_timers(batch.now_ms());
  } catch (const FrameError&) {
    throw;
  } catch (const std::exception& error) {
    reply_.report_fault(error.what());
  }
  return reply_.frame();
}

// Handles the events of the host itself and passes all others to the selected instance.
void Host::handle_event(const Batch& batch, Record record) {
  switch (static_cast<EventCode>(record.code())) {
    case EventCode::select_instance:
      return select_instance(read_select_instance(record));
    case EventCode::endpoint_list: {
      const auto message = read_endpoint_list(record);
      endpoint_lists_[message.list] =
          batch.tail(message.entries.start, message.entries.length, endpoint_entry_size);
      return;
    }
    case EventCode::start_instance:
      return start_instance(batch, record);
    case EventCode::stop_instance:
      if (selected_) instances_.erase(*selected_);
      return;
    default:
      return handle_instance_event(batch, record);
  }
}

void Host::handle_instance_event(const Batch& batch, Record record) {
  const auto code = static_cast<EventCode>(record.code());
  if (code < EventCode::request_arrived || code > EventCode::stop_instance) {
    std::fprintf(stderr, "meadowgauge-simulator-adapter: unknown event code %d skipped\n", record.code());
    return;
  }
  // Ignores events that were in transit when their instance stopped.
  const auto it = selected_ ? instances_.find(*selected_) : instances_.end();
  if (it == instances_.end()) return;
  auto& instance = it->second;
  const double now_ms = batch.now_ms();
  switch (code) {
    case EventCode::request_arrived:
      return instance.request_arrived(read_request_arrived(record, now_ms), now_ms);
    case EventCode::attempt_started:
      return instance.attempt_started(read_attempt_started(record), now_ms);
    case EventCode::attempt_ended:
      return instance.attempt_ended(read_attempt_ended(record), now_ms);
    case EventCode::client_gone:
      return instance.client_gone(read_client_gone(record), now_ms);
    case EventCode::probe_done:
      return instance.probe_done(read_probe_done(record), now_ms);
    case EventCode::gossip: {
      const auto gossip = read_gossip(record);
      return instance.gossip_received(batch.tail(gossip.start, gossip.length), now_ms);
    }
    case EventCode::timer:
      return instance.timer_expired(read_timer(record), now_ms);
    case EventCode::endpoint_update:
      return update_endpoints(instance, record, now_ms);
    default:
      return;  // events of the host, see handle_event()
  }
}

void Host::select_instance(InstanceId id) {
  selected_ = id;
  reply_.select_instance(id);
  batch_instances_.insert(id);
}

void Host::start_instance(const Batch& batch, Record record) {
  if (!selected_) throw FrameError(FrameFault::no_instance_selected);
  const auto message = read_start_instance(record);
  const auto settings = parse_settings(batch.tail(message.settings.start, message.settings.length));
  instances_.erase(*selected_);
  instances_.try_emplace(*selected_, settings, message.seed, batch.now_ms(), reply_);
}

void Host::update_endpoints(Instance& instance, Record record, double now_ms) {
  const auto update = read_endpoint_update(record);
  std::string_view entries;
  if (update.has_list()) {
    const auto list = endpoint_lists_.find(update.list);
    if (list == endpoint_lists_.end()) throw FrameError(FrameFault::unknown_endpoint_list);
    entries = list->second;
  }
  instance.endpoints_updated(update, entries, now_ms);
}

void Host::update_timers(double now_ms) {
  for (const auto id : batch_instances_) {
    const auto it = instances_.find(id);
    if (it == instances_.end()) continue;
    reply_.select_instance(id);
    it->second.update_timer(now_ms);
  }
}

}  // namespace meadowgauge::simulator_adapter
