/// Faults at random times, drawn from a seed.
#pragma once

#include <toml++/toml.h>

#include <cstdint>

#include "scenario.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {

/// Reads `[random]`, where there is one, and adds its faults, each with its repair, to the scenario's steps,
/// which come out sorted by time. No target is in two of these faults at once.
/// @throws BadScenario for the first fault of the table.
void addRandomFaults(const TableReader& reader, const toml::table& file, std::uint64_t seed,
                     Scenario& scenario);

}  // namespace wingslip::lab
