/// The expectations of a scenario file: counts that a run must reach.
#pragma once

#include <toml++/toml.h>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Reads all `[[expect]]` tables into the scenario, whose sections have been read.
/// @throws BadScenario for the first fault.
void readExpectations(const TableReader& reader, const toml::table& file, Scenario& scenario);

}  // namespace wingslip::lab
