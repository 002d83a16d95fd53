// `wingslip-lab capacity`: the tables of the capacity page from measurements, and their place in the page.
#pragma once

#include <filesystem>
#include <string>

#include "measurement.hpp"

namespace wingslip::lab {

constexpr const char* kCapacityBegin = "<!-- capacity: begin (written by `wingslip-lab capacity`) -->";
constexpr const char* kCapacityEnd = "<!-- capacity: end -->";

// The text between the markers: arithmetic, days, rows, slopes, notes and the ranking. Throws
// InvalidMeasurements where a figure is missing.
std::string capacityText(const MeasurementSet& set);

// `page` with `text` between the markers. Throws InvalidMeasurements where they are missing or out of order.
std::string withCapacity(const std::string& page, const std::string& text);

// Reads the measurements of `folder` and rewrites the page. Throws InvalidMeasurements on bad input, and
// std::runtime_error where the page cannot be written.
void writeCapacity(const std::filesystem::path& folder, const std::filesystem::path& page);

}  // namespace wingslip::lab
