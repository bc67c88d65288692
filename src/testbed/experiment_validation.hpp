// Checks of an experiment across its tables.
#pragma once

#include "settings/tree.hpp"
#include "testbed/experiment.hpp"

namespace meadowgauge::testbed {

// Appends inconsistencies to the problems of `reader`, which reads the file's top table.
void validate(settings::Reader& reader, const Experiment& experiment);

}  // namespace meadowgauge::testbed
