/// The cases of `wingslip-lab scale`, grouped by the component under test.
#pragma once

#include <string>
#include <vector>

#include "scale.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::lab {

std::vector<ScaleCase> decisionCases();  // decision module, called directly
std::vector<ScaleCase> readingCases();   // parsing of worker lists and configuration files
std::vector<ScaleCase> replicaCases();   // simulated members of the replicated state
std::vector<ScaleCase> electionCases();  // candidates on the stand-in coordination store
std::vector<ScaleCase> watchCases();     // watches on one discovery
std::vector<ScaleCase> processCases();   // gatekeeper processes on loopback

/// Sizes and inputs shared by several cases.
constexpr unsigned kTargetGatekeepers = 8400;  // in the target fleet
constexpr unsigned kZones = 18;
/// Returns `count` ready workers, spread over all zones.
std::vector<decision::Endpoint> workersFor(std::size_t count);
/// Returns the settings of a gatekeeper in a fleet of the target size, with `classes` request classes.
decision::Settings settingsWith(std::size_t classes);
/// Returns the id of a worker, of the usual length.
std::string workerName(std::size_t index);
/// Returns a worker list in the format of discovery, with ids and addresses of the usual length.
std::string listText(std::size_t workers);
/// Returns a configuration file with `classes` request classes, whose addresses have no listener.
std::string configurationText(std::size_t classes);

}  // namespace wingslip::lab
