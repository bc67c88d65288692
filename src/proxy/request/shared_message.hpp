// Shared ownership of a message that is forwarded while it is still being received.
#pragma once

#include <memory>

#include "protocol/http.hpp"

namespace meadowgauge::proxy {

// Owned by the connection that receives the message and by the connection that forwards it.
using SharedMessage = std::shared_ptr<protocol::Message>;

}  // namespace meadowgauge::proxy
