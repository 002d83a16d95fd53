/// The sections of a scenario file but its steps and expectations.
#pragma once

#include <toml++/toml.h>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Fleet sizes given by the caller; 0: those of the file.
struct FleetSize {
  int gatekeepers = 0;
  int workers = 0;
};

/// Reads `[fleet]`, `[load]`, `[idle_clients]`, `[worker]`, `[store]`, `[replica]`, `[rough_clients]`,
/// `[rough_workers]` and `[system]` into the scenario.
/// @throws BadScenario for the first fault.
void readSections(const TableReader& reader, const toml::table& file, FleetSize size, Scenario& scenario);

}  // namespace wingslip::lab
