/// Scale cases of parsing: lists of workers and configuration files.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config.hpp"
#include "endpoint_watch/endpoint_list.hpp"
#include "endpoint_watch/json_object_framer.hpp"
#include "probe.hpp"
#include "scale_cases.hpp"

namespace wingslip::lab {
namespace {

using nlohmann::json;

constexpr int kRepeats = 3;
constexpr std::size_t kWorkersPerService = 34;        // mean in the target fleet
constexpr std::size_t kFirstWorkerNumber = 10000000;  // all worker numbers have eight digits

// Returns the growth of the peak resident memory while `call` runs, in bytes.
template <class Call>
double peakBytesDuring(Call call) {
  resetPeakResidentSize();
  const double before = statusBytes("self", "VmHWM");
  call();
  return std::max(0.0, statusBytes("self", "VmHWM") - before);
}

json instanceOf(std::size_t index) {
  const std::string host = "10." + std::to_string(index / 65536 % 256) + "." +
                           std::to_string(index / 256 % 256) + "." + std::to_string(index % 256);
  return {{"instanceId", workerName(index)},
          {"hostPort", host + ":8080"},
          {"zone", "z" + std::to_string(index % kZones)},
          {"machineType", "m"},
          {"cell", 0},
          {"lifecycle", "Ready"},
          {"startedAtMs", 1700000000000.0}};
}

std::vector<Figure> measureListText(std::size_t workers, const CaseLimits&) {
  const std::string text = listText(workers);
  const double peak = peakBytesDuring([&] { wingslip::parseEndpointList(text); });
  const double parseSeconds = minProcessorSeconds(kRepeats, [&] { wingslip::parseEndpointList(text); });
  const double framingSeconds = minProcessorSeconds(kRepeats, [&] {
    wingslip::JsonObjectFramer framer;
    framer.next(text);
  });
  return {{"text", "B", static_cast<double>(text.size())},
          {"peak", "B", peak},
          {"processor", "s", parseSeconds + framingSeconds}};
}

std::vector<Figure> measureConfiguration(std::size_t classes, const CaseLimits&) {
  const std::string text = configurationText(classes);
  const double peak = peakBytesDuring([&] { wingslip::parseConfig(text); });
  const double parseSeconds = minProcessorSeconds(kRepeats, [&] { wingslip::parseConfig(text); });
  return {
      {"text", "B", static_cast<double>(text.size())}, {"peak", "B", peak}, {"processor", "s", parseSeconds}};
}

bool isAccepted(std::size_t classes) {
  try {
    wingslip::parseConfig(configurationText(classes));
    return true;
  } catch (const std::runtime_error&) {
    return false;
  }
}

// Finds the largest accepted number of classes in a configuration, up to `maxClasses`, by doubling and
// bisection.
std::vector<Figure> measureClassCap(std::size_t maxClasses, const CaseLimits&) {
  std::size_t accepted = 0, rejected = 1;
  while (rejected <= maxClasses && isAccepted(rejected)) {
    accepted = rejected;
    rejected *= 2;
  }
  while (rejected <= maxClasses && rejected - accepted > 1) {
    const std::size_t middle = accepted + (rejected - accepted) / 2;
    (isAccepted(middle) ? accepted : rejected) = middle;
  }
  return {{"classes", "classes", static_cast<double>(accepted)}};
}

}  // namespace

std::string workerName(std::size_t index) {
  return "svc" + std::to_string(index / kWorkersPerService) + "-" +
         std::to_string(kFirstWorkerNumber + index);
}

std::string listText(std::size_t workers) {
  json instances = json::array();
  for (std::size_t i = 0; i < workers; ++i) instances.push_back(instanceOf(i));
  return json{{"generation", 1}, {"reset", true}, {"instances", std::move(instances)}}.dump();
}

std::string configurationText(std::size_t classes) {
  json profiles = json::array();
  for (std::size_t i = 0; i < classes; ++i)
    profiles.push_back({{"name", "class" + std::to_string(i)},
                        {"aim", 1000},
                        {"deadline", 3000},
                        {"repeat", "safe"},
                        {"dedupScope", "zone"},
                        {"window", 0},
                        {"worth", 1},
                        {"lateWorth", 0.5}});
  const json settings{{"me", 0},
                      {"nInstances", kTargetGatekeepers},
                      {"permissions", {{"attemptsCap", 3}, {"maxRetryAfter", 2000}}},
                      {"rules", {{"stopSendingWithin", 2000}}},
                      {"profiles", std::move(profiles)},
                      {"plans", json::array({{{"name", "plan"}, {"unitsPerS", 1e6}, {"depth", 1e6}}})}};
  return json{{"name", "g0"},
              {"listen", "127.0.0.1:1"},
              {"discovery", "127.0.0.1:1"},
              {"limits", {{"sockets", 256}, {"memory_mb", 256}}},
              {"settings", settings}}
      .dump();
}

std::vector<ScaleCase> readingCases() {
  return {
      {"list_text",
       "workers listed",
       RunKind::core,
       {50, 100, 200, 400},
       {500, 1000, 2000, 4000, 8000},
       {1000, 2000, 5000, 10000, 20000, 40000, 86000},
       measureListText},
      {"configuration",
       "classes",
       RunKind::core,
       {25, 50, 100, 200},
       {250, 500, 1000, 2000, 4000},
       {250, 500, 1000, 2000, 4000, 8000, 16000},
       measureConfiguration},
      {"class_cap", "classes tried", RunKind::core, {8192}, {65536}, {65536}, measureClassCap},
  };
}

}  // namespace wingslip::lab
