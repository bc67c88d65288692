// Fleet-wide rate limits, checked before the policy decides.
#pragma once

#include <cstdint>

namespace meadowgauge::proxy {

class RequestFilter {
 public:
  // Returns 0 if the request is admitted and has consumed quota, otherwise the ms until a retry. `tenant` and
  // `request_class` as in Request. Reads the clock itself: a process resumed after a pause must not use quota
  // that expired meanwhile.
  virtual double try_acquire(int tenant, int request_class) = 0;
  // Returns the quota of an admitted request that the policy rejected on arrival.
  virtual void release(int tenant, int request_class) = 0;
  // Records a successful response. `server`: the endpoint's number, the same at every balancer.
  virtual void record_success(std::uint32_t server) = 0;
  // On a takeover by a successor: releases the filter's own address.
  virtual void leave() = 0;

 protected:
  ~RequestFilter() = default;
};

}  // namespace meadowgauge::proxy
