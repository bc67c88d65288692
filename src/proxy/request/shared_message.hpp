// A message that two sides work on at a time.
#pragma once

#include <memory>

#include "protocol/http.hpp"

namespace meadowgauge::proxy {

// A message whose bytes one side takes in while the other passes them on: both own it, for as long as they
// need it.
using SharedMessage = std::shared_ptr<protocol::Message>;

}  // namespace meadowgauge::proxy
