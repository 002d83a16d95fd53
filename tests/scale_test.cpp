/// Tests of scale runs: the fits, the measurement files, the runner's limits, and how the cost of each
/// mechanism grows at small sizes. Only counts of messages, bytes, rows and calls are checked, no times.
#include "scale.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>

#include "measurement.hpp"
#include "scale_plot.hpp"

namespace wingslip::lab {
namespace {

namespace fs = std::filesystem;

std::vector<Sample> samplesFrom(const std::function<double(double)>& value) {
  std::vector<Sample> out;
  for (const double size : {500.0, 1000.0, 2000.0, 4000.0, 8000.0, 16000.0})
    out.push_back({size, value(size)});
  return out;
}

fs::path folderFor(const std::string& name) {
  const fs::path out = fs::path(::testing::TempDir()) / ("scale_" + std::to_string(::getpid()) + "_" + name);
  fs::remove_all(out);
  fs::create_directories(out);
  return out;
}

Measurement measurementOf(double size, double value) {
  Measurement out;
  out.mechanism = "choice";
  out.figure = "processor";
  out.unit = "s";
  out.varies = "workers listed";
  out.size = size;
  out.value = value;
  return out;
}

// The message of the InvalidMeasurements that `read` throws, or "" if it throws nothing.
std::string errorOf(const std::function<void()>& read) {
  try {
    read();
  } catch (const InvalidMeasurements& error) {
    return error.what();
  }
  return "";
}

TEST(Fit, FindsEachShape) {
  EXPECT_EQ(bestFit(samplesFrom([](double) { return 7.0; })).shape, Shape::constant);
  EXPECT_EQ(bestFit(samplesFrom([](double n) { return 3 * std::log2(n); })).shape, Shape::logarithmic);
  EXPECT_EQ(bestFit(samplesFrom([](double n) { return 5 + 3 * n; })).shape, Shape::linear);
  EXPECT_EQ(bestFit(samplesFrom([](double n) { return 1e-9 * n * n; })).shape, Shape::quadratic);
  const std::vector<Sample> wide{{2, 2}, {16, 64}, {256, 2048}, {65536, 1048576}};
  EXPECT_EQ(bestFit(wide).shape, Shape::linearithmic);
}

TEST(Fit, ReportsOffsetSlopeAndValue) {
  const Fit fit = fitShape(samplesFrom([](double n) { return 5 + 3 * n; }), Shape::linear);
  EXPECT_NEAR(fit.offset, 5, 1e-3);
  EXPECT_NEAR(fit.slope, 3, 1e-6);
  EXPECT_NEAR(fit.residual, 0, 1e-9);
  EXPECT_NEAR(fit.at(86000), 258005, 1);
}

// Noise of about 10 % must not turn a linear fit into a quadratic one.
TEST(Fit, PrefersTheSimplerShapeUnderNoise) {
  int sign = 1;
  const auto samples = samplesFrom([&](double n) {
    sign = -sign;
    return 3 * n * (1 + 0.1 * sign);
  });
  EXPECT_EQ(bestFit(samples).shape, Shape::linear);
}

TEST(Fit, NeitherOffsetNorSlopeIsNegative) {
  for (const Shape shape : kShapes) {
    const Fit falling = fitShape(samplesFrom([](double n) { return 1e6 / n; }), shape);
    EXPECT_GE(falling.slope, 0) << nameOf(shape);
    EXPECT_GE(falling.offset, 0) << nameOf(shape);
  }
}

TEST(Fit, ValueAtMeasuredSizeIsTheSample) {
  const std::vector<Sample> samples{{1000, 2}, {4000, 9}, {16000, 100}};
  const Fit fit = fitShape(samples, Shape::linear);
  EXPECT_EQ(valueAt(samples, fit, 4000), 9);
  EXPECT_NEAR(valueAt(samples, fit, 2000), std::sqrt(18.0), 1e-9) << "half way on logarithmic axes";
  EXPECT_NEAR(valueAt(samples, fit, 32000), 100 * fit.at(32000) / fit.at(16000), 1e-9);
  EXPECT_EQ(valueAt(samples, fit, 500), fit.at(500));
}

TEST(Fit, RejectsInvalidSamples) {
  EXPECT_THROW(bestFit({}), InvalidSamples);
  EXPECT_THROW(bestFit({{0, 1}}), InvalidSamples);
  EXPECT_THROW(bestFit({{1, -1}}), InvalidSamples);
  EXPECT_THROW(bestFit({{1, std::nan("")}}), InvalidSamples);
}

TEST(Measurements, RoundTripThroughFiles) {
  const fs::path folder = folderFor("files");
  MeasurementSet set;
  set.form = "quick";
  set.measurements = {measurementOf(2000, 0.5), measurementOf(1000, 0.25)};
  set.notes = {{"choice", "ended early"}};
  writeSet(folder, set);
  const MeasurementSet read = readSet(folder);
  EXPECT_EQ(read.form, "quick");
  ASSERT_EQ(read.notes.size(), 1u);
  EXPECT_EQ(read.notes[0].text, "ended early");
  const std::vector<Sample> samples = samplesOf(read, "choice", "processor");
  ASSERT_EQ(samples.size(), 2u);
  EXPECT_EQ(samples[0].size, 1000);
  EXPECT_EQ(samples[1].value, 0.5);
}

TEST(Measurements, MissingFileIsNamedInError) {
  const fs::path folder = folderFor("missing");
  EXPECT_NE(errorOf([&] { readSet(folder); }).find("run.json: cannot be read"), std::string::npos);
}

TEST(Measurements, InvalidLineIsNamedInErrorWithNumber) {
  const fs::path folder = folderFor("bad");
  MeasurementSet set;
  set.form = "quick";
  set.measurements = {measurementOf(1000, 0.25)};
  const std::string fields =
      R"({"mechanism":"a","figure":"b","unit":"s","varies":"n","kind":"core","size":1,"value":)";
  const std::vector<std::string> badLines{"nonsense", "{}", "[1]", fields + "-1}", fields + "\"1\"}"};
  for (const std::string& bad : badLines) {
    writeSet(folder, set);
    std::ofstream(folder / kMeasurementsFile, std::ios::app) << bad << "\n";
    EXPECT_NE(errorOf([&] { readSet(folder); }).find("measurements.jsonl:2: "), std::string::npos) << bad;
  }
  std::filesystem::resize_file(folder / kMeasurementsFile, 0);
  EXPECT_NE(errorOf([&] { readSet(folder); }).find("holds no measurement"), std::string::npos);
}

TEST(Measurements, UnmeasuredFigureIsNamedInError) {
  MeasurementSet set;
  set.measurements = {measurementOf(1000, 0.25)};
  EXPECT_EQ(errorOf([&] { samplesOf(set, "choice", "held"); }), "no measurement of choice, held");
}

ScaleOptions smallOptions() {
  ScaleOptions out;
  out.form = ScaleForm::check;
  out.caseSeconds = 60;
  out.totalSeconds = 600;
  out.memoryBytes = maxMemoryBytes();
  out.processes = 4;
  out.out = folderFor("run");
  return out;
}

ScaleCase caseOf(std::function<std::vector<Figure>(std::size_t, const CaseLimits&)> measure) {
  ScaleCase out;
  out.mechanism = "m";
  out.varies = "items";
  out.checkSizes = {1, 2, 4, 8};
  out.measure = std::move(measure);
  return out;
}

TEST(ScaleRunner, ThrowingCaseEndsSeriesWithNote) {
  const auto set = runScale({caseOf([](std::size_t size, const CaseLimits&) -> std::vector<Figure> {
                              if (size > 2) throw std::runtime_error("too many items");
                              return {{"held", "B", static_cast<double>(size)}};
                            })},
                            smallOptions());
  EXPECT_EQ(set.measurements.size(), 2u);
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "ended at 4 items: too many items");
}

TEST(ScaleRunner, ExitingCaseEndsSeriesWithNote) {
  const auto set = runScale(
      {caseOf([](std::size_t, const CaseLimits&) -> std::vector<Figure> { ::_exit(1); })}, smallOptions());
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "ended at 1 items: the child process ended without figures");
}

TEST(ScaleRunner, HangingCaseIsKilledAtTimeBudget) {
  ScaleOptions options = smallOptions();
  options.caseSeconds = 0.2;
  const auto set = runScale({caseOf([](std::size_t, const CaseLimits&) -> std::vector<Figure> {
                              std::this_thread::sleep_for(std::chrono::seconds(60));
                              return {};
                            })},
                            options);
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "ended at 1 items: the time budget ended");
}

TEST(ScaleRunner, SizeProjectedOverBudgetIsNotStarted) {
  ScaleOptions options = smallOptions();
  options.caseSeconds = 1;
  const auto set = runScale({caseOf([](std::size_t, const CaseLimits&) -> std::vector<Figure> {
                              std::this_thread::sleep_for(std::chrono::milliseconds(400));
                              return {{"held", "B", 1}};
                            })},
                            options);
  EXPECT_EQ(set.measurements.size(), 1u) << "1.6 s are projected for the next size";
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_NE(set.notes[0].text.find("does not hold 2 items"), std::string::npos);
}

TEST(ScaleRunner, CaseOverMemoryLimitIsKilled) {
  ScaleOptions options = smallOptions();
  options.memoryBytes = 1;
  const auto set = runScale({caseOf([](std::size_t, const CaseLimits&) -> std::vector<Figure> {
                              std::this_thread::sleep_for(std::chrono::seconds(60));
                              return {};
                            })},
                            options);
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "ended at 1 items: the memory bound was reached");
}

TEST(ScaleRunner, NoCaseStartsAfterTotalTime) {
  ScaleOptions options = smallOptions();
  options.totalSeconds = 0;
  const auto set = runScale({caseOf([](std::size_t, const CaseLimits&) -> std::vector<Figure> {
                              return {{"held", "B", 1}};
                            })},
                            options);
  EXPECT_TRUE(set.measurements.empty());
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "not run: the time of the whole run has ended");
}

TEST(ScaleRunner, RealCasesRequireGatekeeperProgram) {
  ScaleCase scaleCase = caseOf([](std::size_t, const CaseLimits&) { return std::vector<Figure>{}; });
  scaleCase.kind = RunKind::real;
  const auto set = runScale({scaleCase}, smallOptions());
  ASSERT_EQ(set.notes.size(), 1u);
  EXPECT_EQ(set.notes[0].text, "not run: no gatekeeper program was given");
}

// Returns the measurements of one mechanism, or of all for "", in the `check` form. Results are cached.
const MeasurementSet& checkForm(const std::string& mechanism) {
  static std::map<std::string, MeasurementSet> cache;
  const auto [found, inserted] = cache.try_emplace(mechanism);
  if (inserted) {
    ScaleOptions options = smallOptions();
    if (!mechanism.empty()) options.only = {mechanism};
    found->second = runScale(inProcessScaleCases(), options);
  }
  return found->second;
}

Fit shapeOf(const std::string& mechanism, const std::string& figure) {
  return bestFit(samplesOf(checkForm(mechanism), mechanism, figure));
}

TEST(ScaleShape, EveryMechanismIsMeasuredAtFourSizes) {
  for (const Note& note : checkForm("").notes) ADD_FAILURE() << note.mechanism << ": " << note.text;
  for (const Series& series : seriesOf(checkForm(""))) {
    const std::string& name = series.first.mechanism;
    const bool isCap = name.size() > 4 && name.substr(name.size() - 4) == "_cap";
    EXPECT_GE(series.samples.size(), isCap ? 1 : kMinSamples) << name << ", " << series.first.figure;
  }
}

TEST(ScaleShape, TextSizesGrowLinearly) {
  EXPECT_EQ(shapeOf("list_text", "text").shape, Shape::linear);
  EXPECT_NEAR(shapeOf("list_text", "text").slope, 149, 15) << "bytes a worker";
  EXPECT_EQ(shapeOf("configuration", "text").shape, Shape::linear);
  EXPECT_NEAR(shapeOf("configuration", "text").slope, 119, 12) << "bytes a class";
}

TEST(ScaleShape, CustomersAreTrackedUpToCap) {
  EXPECT_EQ(shapeOf("customers", "rows").shape, Shape::linear);
  EXPECT_NEAR(shapeOf("customers", "rows").slope, 1, 1e-9);
  EXPECT_EQ(samplesOf(checkForm("customer_cap"), "customer_cap", "rows")[0].value, 4096);
}

TEST(ScaleShape, ClassesAreLimitedByCap) {
  EXPECT_EQ(samplesOf(checkForm("class_cap"), "class_cap", "classes")[0].value, 4096);
}

// The traffic of an idle member does not grow with the fleet; its member table and its cost per changed row
// do.
TEST(ScaleShape, IdleMembershipCostIsIndependentOfFleetSize) {
  EXPECT_EQ(shapeOf("membership", "alive").shape, Shape::linear);
  EXPECT_NEAR(shapeOf("membership", "alive").slope, 1, 1e-9) << "each member considers all others alive";
  EXPECT_EQ(shapeOf("membership", "messages").shape, Shape::constant);
  EXPECT_LT(shapeOf("membership", "messages").offset, 3);
  EXPECT_LT(shapeOf("membership", "bytes").slope, 10) << "bytes a second and member";
  // Each member sends a change 3 * log2(number of members) times (kTransmissionFactor in
  // src/replication/membership.cpp).
  EXPECT_EQ(shapeOf("membership", "row_messages").shape, Shape::logarithmic);
  EXPECT_NEAR(shapeOf("membership", "row_messages").slope, 3, 0.5);
}

TEST(ScaleShape, MembersAndRowsAreLimitedByCaps) {
  EXPECT_EQ(samplesOf(checkForm("member_cap"), "member_cap", "alive")[0].value, 1025)
      << "1,024 others and itself";
  EXPECT_EQ(samplesOf(checkForm("row_cap"), "row_cap", "rows")[0].value, 4096);
}

TEST(ScaleShape, StoreCallsGrowLinearlyWithCandidates) {
  EXPECT_EQ(shapeOf("duties", "calls").shape, Shape::linear);
  EXPECT_LT(shapeOf("duties", "calls").slope, 0.5) << "calls a second and candidate";
  EXPECT_NEAR(shapeOf("duties", "registered").slope, 1, 1e-9);
}

TEST(ScaleShape, CallsPerWatchAreIndependentOfFleetSize) {
  EXPECT_EQ(shapeOf("watch", "calls_each").shape, Shape::constant);
  // docs/design.md: 7.5 s between calls, shortened by up to a sixth. The first call is made at the start of
  // the outage of 60 s.
  constexpr double kMaxCallsPerSecond = 1 / (7.5 * 5 / 6) + 1 / 60.0;
  EXPECT_LT(shapeOf("watch", "calls_each").offset, kMaxCallsPerSecond);
}

TEST(ScalePlot, DrawsOnePanelPerFigure) {
  const std::vector<Series> series = seriesOf(checkForm("membership"));
  const std::string svg = scaleSvg(series);
  std::size_t panels = 0;
  for (std::size_t at = svg.find("fit: "); at != std::string::npos; at = svg.find("fit: ", at + 1)) ++panels;
  EXPECT_EQ(panels, series.size());
  EXPECT_EQ(svg.substr(svg.size() - 7), "</svg>\n");
}

}  // namespace
}  // namespace wingslip::lab
