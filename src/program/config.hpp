// What a balancer is told: four variables at its start, and the file that one of them names, again on SIGHUP.
#pragma once

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "routing/balancer.hpp"

namespace meadow::program {

// One line that names what is wrong.
struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Variable = std::function<std::optional<std::string>(const char* name)>;

// Throws BadConfig. What can be done without goes to `say` and is left at its default.
routing::Setup read_config(const Variable& variable, const routing::Say& say);

// The same from the text of the file.
void read_config_text(std::string_view text, routing::Setup& into, const routing::Say& say);

}  // namespace meadow::program
