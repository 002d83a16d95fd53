/// `wingslip-lab capacity`: computes the tables of the capacity page from measurements and inserts them into
/// it.
#pragma once

#include <filesystem>
#include <string>

#include "measurement.hpp"

namespace wingslip::lab {

/// The markers in the page that enclose the tables.
constexpr const char* kCapacityBegin = "<!-- capacity: begin (written by `wingslip-lab capacity`) -->";
constexpr const char* kCapacityEnd = "<!-- capacity: end -->";

/// Returns the text between the markers: arithmetic, days, rows, slopes, notes and the ranking. Throws
/// InvalidMeasurements if a required figure is missing.
std::string capacityText(const MeasurementSet& set);

/// Returns `page` with `text` between the markers. Throws InvalidMeasurements if a marker is missing or they
/// are out of order.
std::string withCapacity(const std::string& page, const std::string& text);

/// Reads the measurements of `folder` and rewrites the page. Throws InvalidMeasurements on invalid
/// measurements or a page that cannot be read or lacks the markers, and std::runtime_error if the page cannot
/// be written.
void writeCapacity(const std::filesystem::path& folder, const std::filesystem::path& page);

}  // namespace wingslip::lab
