// Consistency checks between the tables of an experiment file.
#pragma once

#include "settings/tree.hpp"
#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// Reports each inconsistency as a problem of `reader`, the reader of the file's top-level table.
void validate(settings::Reader& reader, const Experiment& experiment);

}  // namespace meadowgauge::testbed
