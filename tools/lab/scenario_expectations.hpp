/// Reader of a scenario file's expectations: bounds of counts, checked after the run.
#pragma once

#include <toml++/toml.h>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Reads all `[[expect]]` tables into the scenario, whose sections must have been read before.
/// @throws InvalidScenario for the first error in the file.
void readExpectations(const TableReader& reader, const toml::table& file, Scenario& scenario);

}  // namespace wingslip::lab
