/// Generates faults at random times from a seed.
#pragma once

#include <toml++/toml.h>

#include <cstdint>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Reads the optional table `[random]` and adds the faults that it describes to the steps of the scenario,
/// each with the step that repairs it. Afterwards the steps are sorted by time. These faults never overlap on
/// one target.
/// @throws InvalidScenario for the first error in the table.
void addRandomFaults(const TableReader& reader, const toml::table& file, std::uint64_t seed,
                     Scenario& scenario);

}  // namespace wingslip::lab
