// The cases of `wingslip-lab scale`, by what they call.
#pragma once

#include <string>
#include <vector>

#include "scale.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::lab {

std::vector<ScaleCase> decisionCases();  // the module called directly: choice, lists, settings, customers
std::vector<ScaleCase> readingCases();   // texts: lists of workers, configuration files
std::vector<ScaleCase> replicaCases();   // hollow members of the shared state
std::vector<ScaleCase> electionCases();  // candidates before the stand-in coordination store
std::vector<ScaleCase> watchCases();     // watches before one discovery
std::vector<ScaleCase> processCases();   // gatekeeper processes on loopback

// What several cases are run on.
constexpr unsigned kTargetGatekeepers = 8400;
constexpr unsigned kZones = 18;
// `count` ready workers over all zones.
std::vector<decision::Endpoint> workersFor(std::size_t count);
// Settings of a gatekeeper in a fleet of the target's size with this many classes.
decision::Settings settingsWith(std::size_t classes);
// The id of a worker, of the usual length.
std::string workerName(std::size_t index);
// A list of workers as discovery tells it, with ids and addresses of the usual length.
std::string listText(std::size_t workers);
// A configuration file with this many classes and no addresses that anything listens at.
std::string configurationText(std::size_t classes);

}  // namespace wingslip::lab
