// Shared ownership of a message that is received and forwarded at the same time.
#pragma once

#include <memory>

#include "protocol/http.hpp"

namespace meadowgauge::proxy {

// One connection receives into the message while another forwards from it. Both own it.
using SharedMessage = std::shared_ptr<protocol::Message>;

}  // namespace meadowgauge::proxy
