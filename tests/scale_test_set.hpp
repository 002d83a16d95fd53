/// A set of measurements that grow linearly, for tests of the capacity model and page.
#pragma once

#include <string>
#include <vector>

#include "measurement.hpp"

namespace wingslip::lab {

/// Adds a figure at four sizes, with the value `perItem` * size.
inline void addLinear(MeasurementSet& set, const std::string& mechanism, const std::string& figure,
                      const std::string& unit, const std::string& varies, double perItem) {
  for (const double size : {500.0, 1000.0, 2000.0, 4000.0}) {
    Measurement m;
    m.mechanism = mechanism;
    m.figure = figure;
    m.unit = unit;
    m.varies = varies;
    m.size = size;
    m.value = perItem * size;
    set.measurements.push_back(m);
  }
}

/// Adds a figure at one size.
inline void addMeasurement(MeasurementSet& set, const std::string& mechanism, const std::string& figure,
                           const std::string& unit, const std::string& varies, double size, double value) {
  Measurement m;
  m.mechanism = mechanism;
  m.figure = figure;
  m.unit = unit;
  m.varies = varies;
  m.size = size;
  m.value = value;
  set.measurements.push_back(m);
}

/// Returns a set with every figure that the capacity model needs.
inline MeasurementSet sampleSet() {
  MeasurementSet set;
  set.form = "check";
  set.notes = {{"sample", "a note"}};
  const std::string workers = "workers listed", classes = "classes", members = "members", rows = "rows";
  addLinear(set, "choice", "processor", "s", workers, 1e-8);
  addLinear(set, "choice", "answer_processor", "s", workers, 1e-8);
  addLinear(set, "worker_change", "processor", "s", workers, 1e-8);
  addLinear(set, "zone_change", "processor", "s", workers, 1e-7);
  addLinear(set, "whole_list", "processor", "s", workers, 1e-7);
  addLinear(set, "whole_list", "held", "B", workers, 300);
  addLinear(set, "settings", "processor", "s", classes, 1e-7);
  addLinear(set, "customers", "held", "B", "customers met", 635);
  addMeasurement(set, "customer_cap", "rows", "rows", "customers met", 20000, 4096);
  addLinear(set, "list_text", "text", "B", workers, 150);
  addLinear(set, "list_text", "peak", "B", workers, 330);
  addLinear(set, "list_text", "processor", "s", workers, 4e-6);
  addLinear(set, "configuration", "text", "B", classes, 120);
  addLinear(set, "configuration", "peak", "B", classes, 500);
  addLinear(set, "configuration", "processor", "s", classes, 1e-5);
  addMeasurement(set, "class_cap", "classes", "classes", "classes tried", 65536, 4096);
  for (const char* figure : {"messages", "bytes", "processor", "held", "row_messages", "row_bytes",
                             "row_processor", "restart_messages", "restart_bytes", "restart_processor"})
    addLinear(set, "membership", figure, "B", members, 0.01);
  addMeasurement(set, "member_cap", "alive", "members", members, 1124, 1025);
  addLinear(set, "rows", "held", "B", rows, 384);
  addLinear(set, "rows", "bytes", "B/s", rows, 0.01);
  addLinear(set, "rows", "processor", "s/s", rows, 1e-7);
  addMeasurement(set, "row_cap", "rows", "rows", rows, 4196, 4096);
  for (const char* figure :
       {"calls", "bytes", "registered_bytes", "take_over", "take_over_calls", "take_over_bytes"})
    addLinear(set, "duties", figure, "calls/s", "candidates", 0.36);
  for (const char* figure : {"calls", "calls_each", "processor"})
    addLinear(set, "watch", figure, "calls/s", "gatekeepers", 1e-5);
  for (const char* figure : {"idle_processor", "resident", "peak"})
    addLinear(set, "process", figure, "B", workers, 1e-6);
  addMeasurement(set, "process", "taken", kBooleanUnit, workers, 5000, 1);
  addMeasurement(set, "process", "taken", kBooleanUnit, workers, 10000, 0);
  return set;
}

}  // namespace wingslip::lab
