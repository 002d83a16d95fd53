/// Reads a scenario file: parses the TOML and runs the readers of its parts.
#include "scenario.hpp"

#include <toml++/toml.h>

#include <sstream>

#include "random_faults.hpp"
#include "scenario_expectations.hpp"
#include "scenario_sections.hpp"
#include "scenario_steps.hpp"
#include "table_reader.hpp"

namespace wingslip::lab {
namespace {

toml::table parseFile(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << path << ":" << error.source().begin.line << ":" << error.source().begin.column
        << ": not TOML: " << error.description();
    throw InvalidScenario(out.str());
  }
}

}  // namespace

Scenario readScenario(const std::string& path, int gatekeepers, int workers, std::uint64_t seed) {
  const toml::table file = parseFile(path);
  const TableReader reader(path);
  reader.onlyKeys(file, {"name", "length_s", "fleet", "load", "idle_clients", "worker", "store", "replica",
                         "rough_clients", "rough_workers", "system", "step", "expect", "random"});
  Scenario scenario;
  scenario.name = file["name"].value_or(std::string("unnamed"));
  scenario.lengthS = reader.number(file, "length_s", scenario.lengthS, 1, 3600);
  readSections(reader, file, {gatekeepers, workers}, scenario);
  readSteps(reader, file, scenario);
  readExpectations(reader, file, scenario);
  addRandomFaults(reader, file, seed, scenario);
  return scenario;
}

}  // namespace wingslip::lab
