/// Tests of the capacity page: the model's arithmetic, the tables, their insertion into the page, and errors
/// on invalid input.
#include "capacity.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>

#include "capacity_model.hpp"
#include "scale_test_set.hpp"

namespace wingslip::lab {
namespace {

// The message of the InvalidMeasurements that `read` throws, or "" if it throws nothing.
std::string errorOf(const std::function<void()>& read) {
  try {
    read();
  } catch (const InvalidMeasurements& error) {
    return error.what();
  }
  return "";
}

const Row& rowOf(const std::vector<Row>& rows, const std::string& mechanism) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.mechanism == mechanism; });
  if (found == rows.end()) throw std::runtime_error("no row " + mechanism);
  return *found;
}

const Day& dayOf(const std::vector<Day>& days, const std::string& name) {
  return *std::find_if(days.begin(), days.end(), [&](const Day& day) { return day.name == name; });
}

TEST(CapacityModel, DaysMatchOperatorsFigures) {
  const std::vector<Day> days = allDays();
  EXPECT_EQ(days.size(), 7u);
  EXPECT_EQ(days.front().name, "ordinary");
  EXPECT_NEAR(days.front().requests, 167, 0.5);
  EXPECT_NEAR(days.front().configurationChanges, 0.336, 0.001);
  EXPECT_NEAR(dayOf(days, "a release").listChanges, 17000 / 3600.0 * 3 * 86000 / 94400, 0.7);
  EXPECT_EQ(dayOf(days, "a zone").gatekeepers, 8400 - 467);
  EXPECT_EQ(dayOf(days, "control machines fail").controlMachines, 1);
}

TEST(CapacityModel, TenantsPerGatekeeperGrowWithSpread) {
  EXPECT_NEAR(tenantsPerGatekeeper(1, 8400), 82, 0.5);
  EXPECT_NEAR(tenantsPerGatekeeper(32, 8400), 2629, 1);
  EXPECT_EQ(tenantsPerGatekeeper(8400, 8400), 690000);
  EXPECT_EQ(tenantsPerGatekeeper(20000, 8400), 690000);
}

TEST(CapacityModel, DimensionFurthestOverBudgetIsReported) {
  Budget budget;
  budget.bytesPerS = 17000;
  budget.coreShare = 0.028;
  Need need;
  need.bytesPerS = 34000;
  need.coreShare = 0.014;
  need.memoryBytes = 1e12;  // no budget is stated
  const OverBudget over = overBudget(need, budget);
  EXPECT_EQ(over.dimension, "bytes/s");
  EXPECT_EQ(over.times, 2);
  EXPECT_EQ(overBudget(need, Budget{}).dimension, "");
}

TEST(CapacityModel, NeedsFollowMeasuredSlopes) {
  const std::vector<Row> rows = allRows(sampleSet());
  const Day day = allDays().front();
  const Need need = rowOf(rows, "distribution of configuration, whole at each change").need(day);
  EXPECT_NEAR(need.bytesPerS, 29000 / 86400.0 * 64000 * 120, 1000) << "a class has 120 bytes in sampleSet()";
  EXPECT_NEAR(rowOf(rows, "choice of a worker for a request").need(day).coreShare,
              1.4e6 / 8400 * 2 * 86000 * 1e-8, 1e-3);
}

TEST(CapacityModel, MeasuredCapLimitsItems) {
  const std::vector<Row> rows = allRows(sampleSet());
  EXPECT_EQ(rowOf(rows, "customers held").budget.items, 4096);
  EXPECT_EQ(rowOf(rows, "the whole list of workers").budget.items, 5000);
  MeasurementSet unbounded = sampleSet();
  for (Measurement& m : unbounded.measurements)
    if (m.mechanism == "customer_cap") m.value = m.size;
  EXPECT_EQ(rowOf(allRows(unbounded), "customers held").budget.items, kNoLimit);
}

TEST(CapacityModel, RanksOnlyRowsWithoutMechanismOrSubstitute) {
  const std::vector<Gap> gaps = rankedGaps(allRows(sampleSet()));
  ASSERT_GE(gaps.size(), 2u);
  for (const Gap& gap : gaps) {
    EXPECT_EQ(gap.row.implementedBy, "");
    EXPECT_EQ(gap.row.substitute, "");
  }
  for (std::size_t i = 1; i < gaps.size(); ++i) EXPECT_GE(gaps[i - 1].worst.times, gaps[i].worst.times);
  EXPECT_EQ(gaps[0].row.mechanism, "distribution of configuration, whole at each change");
}

// With measured configuration sizes and times of almost 0, another row becomes the largest gap.
TEST(CapacityModel, RankingFollowsMeasurements) {
  MeasurementSet small = sampleSet();
  for (Measurement& m : small.measurements)
    if (m.mechanism == "configuration") m.value = 1e-9;
  EXPECT_EQ(rankedGaps(allRows(small))[0].row.mechanism, "which configuration is in force where");
}

TEST(CapacityModel, MissingFigureIsNamedInError) {
  const MeasurementSet complete = sampleSet();
  for (const std::string mechanism :
       {"choice", "worker_change", "zone_change", "whole_list", "settings", "customers", "customer_cap",
        "list_text", "configuration", "class_cap", "membership", "member_cap", "rows", "row_cap", "duties",
        "watch", "process"}) {
    MeasurementSet without = complete;
    std::erase_if(without.measurements, [&](const Measurement& m) { return m.mechanism == mechanism; });
    EXPECT_EQ(errorOf([&] { allRows(without); }).rfind("no measurement of " + mechanism + ", ", 0), 0u)
        << mechanism;
  }
}

TEST(CapacityPage, ContainsEachMechanismAndOutcome) {
  const MeasurementSet set = sampleSet();
  const std::string text = capacityText(set);
  for (const Row& row : allRows(set)) {
    const std::string begin = "| " + row.role + " | " + row.mechanism + " | ";
    EXPECT_NE(text.find(begin), std::string::npos) << row.mechanism;
  }
  EXPECT_NE(text.find("Outcome: **distribution of configuration, whole at each change** (gatekeeper)"),
            std::string::npos);
  EXPECT_NE(text.find("- sample: a note."), std::string::npos);
  EXPECT_NE(text.find("ends at 4,096"), std::string::npos);
}

// The rows of each table have as many cells as its header.
TEST(CapacityPage, TableRowsMatchHeaderWidth) {
  const std::string text = capacityText(sampleSet());
  std::size_t cells = 0;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = text.find('\n', at);
    const std::string line = text.substr(at, end - at);
    at = end + 1;
    const auto lineCells = static_cast<std::size_t>(std::count(line.begin(), line.end(), '|'));
    if (line.empty() || line[0] != '|')
      cells = 0;
    else if (cells == 0)
      cells = lineCells;
    else
      EXPECT_EQ(lineCells, cells) << line;
  }
}

TEST(CapacityPage, OnlyTextBetweenMarkersChanges) {
  const std::string page = std::string("before\n") + kCapacityBegin + "\nold\n" + kCapacityEnd + "\nafter\n";
  const std::string once = withCapacity(page, "new\n");
  EXPECT_EQ(once, std::string("before\n") + kCapacityBegin + "\n\nnew\n\n" + kCapacityEnd + "\nafter\n");
  EXPECT_EQ(withCapacity(once, "new\n"), once) << "inserting the same text again must not change the page";
}

TEST(CapacityPage, PageWithoutMarkersIsRejected) {
  const std::string begin = kCapacityBegin, end = kCapacityEnd;
  const std::vector<std::string> pages{"", begin, end, end + begin};
  for (const std::string& page : pages)
    EXPECT_NE(errorOf([&] { withCapacity(page, "new"); }).find("no markers"), std::string::npos) << page;
}

TEST(CapacityPage, MissingFolderIsNamedInError) {
  EXPECT_NE(errorOf([] { writeCapacity("/nonexistent", "/nonexistent/page"); }).find("/nonexistent/run.json"),
            std::string::npos);
}

}  // namespace
}  // namespace wingslip::lab
