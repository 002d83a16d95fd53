/// Reader of a scenario file's sections, all except steps, expectations and random faults.
#pragma once

#include <toml++/toml.h>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Fleet size that overrides the file's; 0: the file's value applies.
struct FleetSize {
  int gatekeepers = 0;
  int workers = 0;
};

/// Reads `[fleet]`, `[load]`, `[idle_clients]`, `[worker]`, `[store]`, `[replica]`, `[rough_clients]`,
/// `[rough_workers]` and `[system]` into the scenario.
/// @throws InvalidScenario for the first error in the file.
void readSections(const TableReader& reader, const toml::table& file, FleetSize size, Scenario& scenario);

}  // namespace wingslip::lab
