/// The cases of `wingslip-lab scale`, grouped by the component under test.
#pragma once

#include <string>
#include <vector>

#include "scale.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::lab {

std::vector<ScaleCase> decisionCases();           // decision module, called directly
std::vector<ScaleCase> readingCases();            // parsing of worker lists and configuration files
std::vector<ScaleCase> replicaCases();            // replicated state, with simulated members
std::vector<ScaleCase> electionCases();           // leader election, on the stand-in coordination store
std::vector<ScaleCase> watchCases();              // watches of one discovery by all gatekeepers
std::vector<ScaleCase> gatekeeperProcessCases();  // gatekeeper processes on loopback

// Sizes and inputs shared by several cases.

/// Gatekeepers and zones in the target fleet.
constexpr unsigned kTargetGatekeepers = 8400;
constexpr unsigned kZones = 18;
/// Returns `count` ready workers, evenly spread over the zones.
std::vector<decision::Endpoint> workersFor(std::size_t count);
/// Returns the settings of a gatekeeper in a fleet of the target size, with `classes` request classes.
decision::Settings settingsWith(std::size_t classes);
/// Returns the id of worker `index`, in the form of a service name and a number of eight digits.
std::string workerName(std::size_t index);
/// Returns a list of workers as the JSON text that discovery sends, with ids and addresses of realistic
/// length.
std::string listText(std::size_t workers);
/// Returns a configuration file with `classes` request classes. Nothing listens on its addresses.
std::string configurationText(std::size_t classes);

}  // namespace wingslip::lab
