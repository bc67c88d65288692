// Admission by limits of the whole fleet, asked before the policy is.
#pragma once

#include <cstdint>

namespace meadowgauge::proxy {

class RequestFilter {
 public:
  // 0: the request is admitted, and its part of the limits is used up. Otherwise ms until it may be tried
  // again. `tenant` and `request_class` as in Request. Takes the time itself: a process that was paused must
  // not use what it had before.
  virtual double try_acquire(int tenant, int request_class) = 0;
  // The policy rejected an admitted request at its arrival: its part of the limits is free again.
  virtual void release(int tenant, int request_class) = 0;
  // A server, by the number it has at every balancer, has responded successfully.
  virtual void record_success(std::uint32_t server) = 0;
  // A successor takes over: the filter gives up its own address.
  virtual void leave() = 0;

 protected:
  ~RequestFilter() = default;
};

}  // namespace meadowgauge::proxy
