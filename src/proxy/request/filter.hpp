// Interface to the fleet-wide rate limits, which are checked before the policy decides.
#pragma once

#include <cstdint>

namespace meadowgauge::proxy {

// Admits requests against fleet-wide limits. Its users don't own it.
class RequestFilter {
 public:
  // Consumes quota and returns 0 if the request is admitted; otherwise returns the time until a retry, in ms.
  // `tenant` and `request_class` are indices as in Request. Reads the clock itself, so that a process resumed
  // after a pause does not use quota that expired during the pause.
  virtual double try_acquire(int tenant, int request_class) = 0;
  // Gives back the quota of an admitted request that the policy rejected on arrival.
  virtual void release(int tenant, int request_class) = 0;
  // Records a successful response. `server`: the endpoint's server id, which is equal at every balancer.
  virtual void record_success(std::uint32_t server) = 0;
  // Releases the address that the filter itself uses. Called when a successor takes over.
  virtual void leave() = 0;

 protected:
  ~RequestFilter() = default;
};

}  // namespace meadowgauge::proxy
