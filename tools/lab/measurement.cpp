#include "measurement.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace wingslip::lab {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::optional<RunKind> kindFromName(const std::string& name) {
  for (const RunKind kind : {RunKind::core, RunKind::simulated, RunKind::real})
    if (name == nameOf(kind)) return kind;
  return std::nullopt;
}

json toJson(const Measurement& m) {
  return {{"mechanism", m.mechanism}, {"figure", m.figure}, {"unit", m.unit},  {"varies", m.varies},
          {"kind", nameOf(m.kind)},   {"size", m.size},     {"value", m.value}};
}

Measurement measurementFromJson(const json& line) {
  Measurement out;
  out.mechanism = line.at("mechanism").get<std::string>();
  out.figure = line.at("figure").get<std::string>();
  out.unit = line.at("unit").get<std::string>();
  out.varies = line.at("varies").get<std::string>();
  out.size = line.at("size").get<double>();
  out.value = line.at("value").get<double>();
  const auto kind = kindFromName(line.at("kind").get<std::string>());
  if (!kind) throw InvalidMeasurements("unknown kind");
  out.kind = *kind;
  if (!(out.size >= 1)) throw InvalidMeasurements("size is below 1");
  if (!(out.value >= 0)) throw InvalidMeasurements("value is below 0");
  return out;
}

std::ofstream openForWriting(const fs::path& path) {
  std::ofstream out(path);
  if (!out) throw std::runtime_error("cannot write " + path.string());
  return out;
}

std::ifstream openForReading(const fs::path& path) {
  std::ifstream in(path);
  if (!in)
    throw InvalidMeasurements(path.string() + ": cannot be read; `wingslip-lab scale --out` writes it");
  return in;
}

void forEachLine(const fs::path& path, const std::function<void(const json&)>& consume) {
  std::ifstream in = openForReading(path);
  std::string line;
  for (int lineNumber = 1; std::getline(in, line); ++lineNumber) {
    try {
      consume(json::parse(line));
    } catch (const json::exception& error) {
      throw InvalidMeasurements(path.string() + ":" + std::to_string(lineNumber) + ": " + error.what());
    } catch (const InvalidMeasurements& error) {
      throw InvalidMeasurements(path.string() + ":" + std::to_string(lineNumber) + ": " + error.what());
    }
  }
}

}  // namespace

const char* nameOf(RunKind kind) {
  switch (kind) {
    case RunKind::core:
      return "core";
    case RunKind::simulated:
      return "hollow";
    case RunKind::real:
      return "real";
  }
  return "";
}

void writeSet(const fs::path& folder, const MeasurementSet& set) {
  fs::create_directories(folder);
  std::ofstream measurements = openForWriting(folder / kMeasurementsFile);
  for (const Measurement& m : set.measurements) measurements << toJson(m).dump() << "\n";
  std::ofstream notes = openForWriting(folder / kNotesFile);
  for (const Note& note : set.notes)
    notes << json{{"mechanism", note.mechanism}, {"text", note.text}}.dump() << "\n";
  openForWriting(folder / kRunFile) << json{{"form", set.form}}.dump() << "\n";
}

MeasurementSet readSet(const fs::path& folder) {
  MeasurementSet out;
  forEachLine(folder / kRunFile, [&](const json& line) { out.form = line.at("form").get<std::string>(); });
  forEachLine(folder / kMeasurementsFile,
              [&](const json& line) { out.measurements.push_back(measurementFromJson(line)); });
  forEachLine(folder / kNotesFile, [&](const json& line) {
    out.notes.push_back({line.at("mechanism").get<std::string>(), line.at("text").get<std::string>()});
  });
  if (out.measurements.empty())
    throw InvalidMeasurements((folder / kMeasurementsFile).string() + ": holds no measurement");
  return out;
}

std::vector<Sample> samplesOf(const MeasurementSet& set, const std::string& mechanism,
                              const std::string& figure) {
  std::vector<Sample> out;
  for (const Measurement& m : set.measurements)
    if (m.mechanism == mechanism && m.figure == figure) out.push_back({m.size, m.value});
  if (out.empty()) throw InvalidMeasurements("no measurement of " + mechanism + ", " + figure);
  std::sort(out.begin(), out.end(), [](const Sample& a, const Sample& b) { return a.size < b.size; });
  return out;
}

std::vector<Series> seriesOf(const MeasurementSet& set) {
  std::vector<Series> out;
  for (const Measurement& m : set.measurements) {
    const bool known = std::any_of(out.begin(), out.end(), [&](const Series& series) {
      return series.first.mechanism == m.mechanism && series.first.figure == m.figure;
    });
    if (known || m.unit == kBooleanUnit) continue;
    Series series;
    series.first = m;
    series.samples = samplesOf(set, m.mechanism, m.figure);
    series.fit = bestFit(series.samples);
    out.push_back(std::move(series));
  }
  return out;
}

}  // namespace wingslip::lab
