#include "figures.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string_view>

namespace wingslip::lab {
namespace {

constexpr std::string_view kPrefix = "svc.";

}  // namespace

std::map<std::string, long> readFigures(const std::string& telemetry) {
  std::map<std::string, long> out;
  std::istringstream lines(telemetry);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (!line.starts_with(kPrefix) || colon == std::string::npos) continue;
    long value = 0;
    const char* const end = line.data() + line.size();
    const auto [past, error] = std::from_chars(line.data() + colon + 1, end, value);
    if (error != std::errc() || past == end || *past != '|') continue;
    out[line.substr(kPrefix.size(), colon - kPrefix.size())] = value;
  }
  return out;
}

void Figures::addSamples(int gatekeeper, double atMs, const std::string& telemetry) {
  const std::map<std::string, long> figures = readFigures(telemetry);
  for (const std::string& name : names_) {
    const auto found = figures.find(name);
    if (found != figures.end()) samples_.push_back({gatekeeper, atMs, name, found->second});
  }
}

std::optional<long> Figures::maximum(const std::string& name, int gatekeeper, double afterMs,
                                     double beforeMs) const {
  std::optional<long> out;
  for (const Sample& sample : samples_) {
    const bool matches = sample.gatekeeper == gatekeeper && sample.name == name;
    if (matches && sample.atMs >= afterMs && sample.atMs < beforeMs)
      out = std::max(out.value_or(sample.value), sample.value);
  }
  return out;
}

}  // namespace wingslip::lab
