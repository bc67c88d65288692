// Reads the operator's TOML configuration file into the same setup as the platform's file.
// docs/operate/config.md lists the keys.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "proxy/balancer.hpp"
#include "settings/tree.hpp"

namespace meadowgauge::program {

// Appends each problem with its line and column to `problems`; the setup is valid only if none was appended.
// `seed` applies if the file sets none.
proxy::Setup read_operator_file(const settings::Node& file, std::uint64_t seed,
                                std::vector<settings::Problem>& problems);

// Reads the file at `path`. Throws settings::BadFile with the first problem by line.
proxy::Setup read_operator_file(const std::string& path, std::uint64_t seed);

}  // namespace meadowgauge::program
