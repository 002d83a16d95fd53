/// The steps of a scenario file: faults and repairs at their times.
#pragma once

#include <toml++/toml.h>

#include <string>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Whether a fault of this name is done to a gatekeeper.
bool isGatekeeperFault(const std::string& what);

/// Reads all `[[step]]` tables into the scenario, whose sections have been read.
/// @throws BadScenario for the first fault.
void readSteps(const TableReader& reader, const toml::table& file, Scenario& scenario);

}  // namespace wingslip::lab
