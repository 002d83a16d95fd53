/// Reader of a scenario file's steps: scheduled faults and repairs.
#pragma once

#include <toml++/toml.h>

#include <string>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Whether steps of this kind target a gatekeeper.
bool isGatekeeperFault(const std::string& kind);

/// Reads all `[[step]]` tables into the scenario, whose sections must have been read before.
/// @throws InvalidScenario for the first error in the file.
void readSteps(const TableReader& reader, const toml::table& file, Scenario& scenario);

}  // namespace wingslip::lab
