#include "capacity.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <vector>

#include "capacity_model.hpp"

namespace wingslip::lab {
namespace {

// The numbers of gatekeepers per tenant (`spread`) for which the page lists the tenants per gatekeeper.
constexpr std::array<double, 6> kSpreads{1, 8, 32, 64, 256, 8400};

constexpr double kMinShown = 1e-7;     // smaller values are printed as 0, in any unit
constexpr double kPoorResidual = 0.5;  // relative residual above which a fit is marked as poor

void dropTrailingZeros(std::string& number) {
  if (number.find('.') == std::string::npos) return;
  while (number.back() == '0') number.pop_back();
  if (number.back() == '.') number.pop_back();
}

// Formats a number with three significant digits, thousands separators and no exponent.
std::string formatNumber(double value) {
  if (value < kMinShown) return "0";
  if (!std::isfinite(value)) return "none";
  std::ostringstream out;
  const int decimals = std::max(0, 2 - static_cast<int>(std::floor(std::log10(value))));
  out << std::fixed << std::setprecision(std::min(decimals, 9)) << value;
  std::string text = out.str();
  dropTrailingZeros(text);
  const auto point = text.find('.');
  std::size_t end = point == std::string::npos ? text.size() : point;
  for (; end > 3; end -= 3) text.insert(end - 3, 1, ',');
  return text;
}

// A unit with its prefix, such as "MB", and its size in the base unit.
struct Prefix {
  double factor;
  const char* name;
};

// Formats a value in the first unit that it reaches, or in the last one. `prefixes` must be in descending
// order.
std::string withPrefix(double value, const std::array<Prefix, 4>& prefixes) {
  if (value == 0) return "0";
  for (const Prefix& prefix : prefixes)
    if (value >= prefix.factor) return formatNumber(value / prefix.factor) + " " + prefix.name;
  return formatNumber(value / prefixes.back().factor) + " " + prefixes.back().name;
}

std::string bytesText(double value) {
  return withPrefix(value, {{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}}});
}

std::string shareText(double share) { return share == 0 ? "0" : formatNumber(100 * share) + " %"; }

std::string timesText(const OverBudget& over) {
  return over.dimension.empty() ? "not stated" : formatNumber(over.times) + " (" + over.dimension + ")";
}

std::string nameOrNone(const std::string& name) { return name.empty() ? "**none**" : name; }

// Returns the largest measured size of a mechanism and the kind of run, such as
// "rows to 4,096 rows (hollow)".
std::string measuredText(const MeasurementSet& set, const std::string& mechanism) {
  double largest = 0;
  std::string varies, kind;
  for (const Measurement& m : set.measurements) {
    if (m.mechanism != mechanism || m.size <= largest) continue;
    largest = m.size;
    varies = m.varies;
    kind = nameOf(m.kind);
  }
  return mechanism + " to " + formatNumber(largest) + " " + varies + " (" + kind + ")";
}

std::string basisText(const MeasurementSet& set, const Row& row) {
  if (row.measured.empty()) return "worked out";
  std::string out;
  for (const std::string& mechanism : row.measured)
    out += (out.empty() ? "slopes of " : "; ") + measuredText(set, mechanism);
  return out;
}

void writeArithmetic(std::ostream& out) {
  using namespace target;
  out << "### Arithmetic that the rows share\n\n";
  out << "- " << formatNumber(kRequestsPerS / kGatekeepers) << " requests/s a gatekeeper at the peak ("
      << formatNumber(kRequestsPerS) << " over " << formatNumber(kGatekeepers) << ").\n";
  out << "- " << formatNumber(kChangesPerDay / kSecondsPerDay)
      << " configuration changes a second on average (" << formatNumber(kChangesPerDay)
      << " a day); the peak is assumed to be " << formatNumber(kPeakOverMean) << " times that, "
      << formatNumber(kPeakOverMean * kChangesPerDay / kSecondsPerDay) << " a second.\n";
  out << "- " << formatNumber(kMachinesPerDay / kSecondsPerDay) << " machine changes a second ("
      << formatNumber(kMachinesPerDay) << " a day), each assumed to be "
      << formatNumber(kListChangesPerMachine) << " changes of the list (leaving, gone, ready).\n";
  out << "- " << formatNumber(kZoneGatekeepers) << " gatekeepers and " << formatNumber(kZoneWorkers)
      << " workers a zone (" << formatNumber(kZones) << " zones).\n";
  out << "- Tenants that one gatekeeper meets, by `spread` (gatekeepers that a tenant's requests come "
         "through): ";
  for (const double spread : kSpreads)
    out << (spread == kSpreads.front() ? "" : "; ")
        << formatNumber(tenantsPerGatekeeper(spread, kGatekeepers)) << " at " << formatNumber(spread);
  out << ". The rows assume " << formatNumber(kSpread) << ".\n";
  out << "- Budget of a gatekeeper for control: " << shareText(kCoreShare) << " of a core, "
      << bytesText(kMemoryBytes) << ", " << bytesText(kBytesPerS) << "/s. Assumed for one of the "
      << formatNumber(kControlMachines) << " control machines: " << formatNumber(kControlCores) << " cores, "
      << bytesText(kControlMemoryBytes) << ", " << bytesText(kControlBytesPerS)
      << "/s; for a store or a shared discovery " << formatNumber(kStoreCallsPerS) << " calls/s.\n\n";
}

void writeDays(std::ostream& out, const std::vector<Day>& days) {
  out << "### The days\n\nRates are a second; on bad days over the worst "
      << formatNumber(target::kInForceSeconds) << " s. A rack is assumed to be "
      << formatNumber(target::kMachinesPerRack) << " machines.\n\n";
  out << "| day | gatekeepers | requests a gatekeeper | configuration changes | list changes one by one | "
         "whole lists a gatekeeper | gatekeepers changed | control machines |\n"
      << "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";
  for (const Day& day : days)
    out << "| " << day.name << " | " << formatNumber(day.gatekeepers) << " | " << formatNumber(day.requests)
        << " | " << formatNumber(day.configurationChanges) << " | " << formatNumber(day.listChanges) << " | "
        << formatNumber(day.wholeLists) << " | " << formatNumber(day.memberChanges) << " | "
        << formatNumber(day.controlMachines) << " |\n";
  out << "\n";
}

std::string budgetText(const Budget& budget) {
  std::string out;
  const auto add = [&](double value, const std::string& text) {
    if (std::isfinite(value)) out += (out.empty() ? "" : ", ") + text;
  };
  add(budget.coreShare, shareText(budget.coreShare));
  add(budget.memoryBytes, bytesText(budget.memoryBytes));
  add(budget.bytesPerS, bytesText(budget.bytesPerS) + "/s");
  add(budget.messagesPerS, formatNumber(budget.messagesPerS) + " calls/s");
  add(budget.items, formatNumber(budget.items) + " items");
  return out.empty() ? "not stated" : out;
}

void writeRows(std::ostream& out, const MeasurementSet& set, const std::vector<Row>& rows,
               const std::vector<Day>& days) {
  out << "### Needs on an ordinary day\n\nProcessor is a share of one core, of a second. Items are what the "
         "mechanism has to hold, against the number at which it ends.\n\n";
  out << "| role | mechanism | state | messages/s | bytes/s | processor | memory | items | budget | need "
         "over "
         "budget | carried by | measured, worked out |\n"
      << "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- | ---: | --- | --- |\n";
  for (const Row& row : rows) {
    const Need need = row.need(days.front());
    out << "| " << row.role << " | " << row.mechanism << " | " << bytesText(need.stateBytes) << " | "
        << formatNumber(need.messagesPerS) << " | " << bytesText(need.bytesPerS) << " | "
        << shareText(need.coreShare) << " | " << bytesText(need.memoryBytes) << " | "
        << formatNumber(need.items) << " | " << budgetText(row.budget) << " | "
        << timesText(overBudget(need, row.budget)) << " | " << nameOrNone(row.implementedBy);
    if (!row.substitute.empty()) out << "; " << row.substitute << " stands in";
    out << " | " << basisText(set, row) << " |\n";
  }
  out << "\n";
}

void writeBadDays(std::ostream& out, const std::vector<Row>& rows, const std::vector<Day>& days) {
  out << "### Need over budget on the bad days\n\n| role | mechanism |";
  for (const Day& day : days) out << " " << day.name << " |";
  out << "\n| --- | --- |";
  for (std::size_t i = 0; i < days.size(); ++i) out << " ---: |";
  out << "\n";
  for (const Row& row : rows) {
    out << "| " << row.role << " | " << row.mechanism << " |";
    for (const Day& day : days) out << " " << timesText(overBudget(row.need(day), row.budget)) << " |";
    out << "\n";
  }
  out << "\n";
}

// Writes the needs of each row on each day except the ordinary one, which is the first.
void writeBadDayNeeds(std::ostream& out, const std::vector<Row>& rows, const std::vector<Day>& days) {
  out << "### Needs on the bad days\n\nMessages/s, bytes/s, processor, memory.\n\n| role | mechanism |";
  for (std::size_t i = 1; i < days.size(); ++i) out << " " << days[i].name << " |";
  out << "\n| --- | --- |";
  for (std::size_t i = 1; i < days.size(); ++i) out << " --- |";
  out << "\n";
  for (const Row& row : rows) {
    out << "| " << row.role << " | " << row.mechanism << " |";
    for (std::size_t i = 1; i < days.size(); ++i) {
      const Need need = row.need(days[i]);
      out << " " << formatNumber(need.messagesPerS) << "; " << bytesText(need.bytesPerS) << "; "
          << shareText(need.coreShare) << "; " << bytesText(need.memoryBytes) << " |";
    }
    out << "\n";
  }
  out << "\n";
}

std::string valueText(double value, const std::string& unit) {
  if (unit == "B") return bytesText(value);
  if (unit == "B/s") return bytesText(value) + "/s";
  if (unit == "s") return withPrefix(value, {{{1, "s"}, {1e-3, "ms"}, {1e-6, "us"}, {1e-9, "ns"}}});
  if (unit == "s/s") return shareText(value) + " of a core";
  return formatNumber(value) + " " + unit;
}

std::string growthText(const Fit& fit, const std::string& unit) {
  const std::string offset = valueText(fit.offset, unit);
  if (fit.shape == Shape::constant) return offset;
  std::ostringstream slope;
  slope << std::setprecision(3) << fit.slope;
  return offset + " + " + slope.str() + " " + unit + " x " + nameOf(fit.shape);
}

void writeSlopes(std::ostream& out, const MeasurementSet& set) {
  out << "### Slopes\n\nThe value at the target is the measured one where that size was measured, else the "
         "largest measured "
         "one times the fit's growth from there. The residual is relative; `(poor)`: it is above 0.5. "
         "`(few)`: measured at fewer than "
      << kMinSamples
      << " sizes, so the shape is a guess. Figures named `..._cap` are where a mechanism ends, with no value "
         "at the target.\n\n";
  out << "| mechanism | figure | run | sizes | shape | value = offset + slope | residual | value at the "
         "target |\n| --- | --- | --- | --- | --- | --- | ---: | ---: |\n";
  for (const Series& series : seriesOf(set)) {
    const Measurement& first = series.first;
    const bool isLimit = first.mechanism.ends_with("_cap");
    out << "| " << first.mechanism << " | " << first.figure << " | " << nameOf(first.kind) << " | "
        << series.samples.size() << ": " << formatNumber(series.samples.front().size) << " to "
        << formatNumber(series.samples.back().size) << " " << first.varies << " | "
        << nameOf(series.fit.shape) << (series.samples.size() < kMinSamples && !isLimit ? " (few)" : "")
        << (series.fit.residual > kPoorResidual ? " (poor)" : "") << " | "
        << growthText(series.fit, first.unit) << " | " << formatNumber(series.fit.residual) << " | ";
    const Sample& largest = series.samples.back();
    if (isLimit)
      out << (largest.value < largest.size ? "ends at " + formatNumber(largest.value) : "no end met");
    else
      out << valueText(valueAt(series.samples, series.fit, targetSizeOf(first.varies)), first.unit) << " at "
          << formatNumber(targetSizeOf(first.varies));
    out << " |\n";
  }
  out << "\n";
}

void writeNotes(std::ostream& out, const MeasurementSet& set) {
  out << "### What the run left out\n\nThe " << set.form << " form.\n\n";
  if (set.notes.empty()) out << "Nothing.\n";
  for (const Note& note : set.notes) out << "- " << note.mechanism << ": " << note.text << ".\n";
  out << "\n";
}

void writeRanking(std::ostream& out, const std::vector<Row>& rows) {
  const std::vector<Gap> gaps = rankedGaps(rows);
  out << "### The rule, and its outcome\n\nAmong the rows with no mechanism in the tree at all, the one with "
         "the "
         "largest need over budget that nothing else can stand in for.\n\n";
  out << "| role | mechanism | ordinary day | worst day |\n| --- | --- | ---: | --- |\n";
  for (const Gap& gap : gaps)
    out << "| " << gap.row.role << " | " << gap.row.mechanism << " | " << timesText(gap.ordinary) << " | "
        << timesText(gap.worst) << ", " << gap.worstDay << " |\n";
  if (gaps.empty()) return;
  out << "\nOutcome: **" << gaps.front().row.mechanism << "** (" << gaps.front().row.role << "), "
      << formatNumber(gaps.front().ordinary.times) << " times its budget of "
      << gaps.front().ordinary.dimension << " on an ordinary day.\n";
}

}  // namespace

std::string capacityText(const MeasurementSet& set) {
  const std::vector<Row> rows = allRows(set);
  const std::vector<Day> days = allDays();
  std::ostringstream out;
  writeArithmetic(out);
  writeDays(out, days);
  writeRows(out, set, rows, days);
  writeBadDays(out, rows, days);
  writeBadDayNeeds(out, rows, days);
  writeSlopes(out, set);
  writeNotes(out, set);
  writeRanking(out, rows);
  return out.str();
}

std::string withCapacity(const std::string& page, const std::string& text) {
  const auto begin = page.find(kCapacityBegin);
  const auto end = page.find(kCapacityEnd);
  if (begin == std::string::npos || end == std::string::npos || end < begin)
    throw InvalidMeasurements(std::string("the page has no markers `") + kCapacityBegin + "` and `" +
                              kCapacityEnd + "` in this order");
  const auto from = begin + std::string(kCapacityBegin).size();
  return page.substr(0, from) + "\n\n" + text + "\n" + page.substr(end);
}

void writeCapacity(const std::filesystem::path& folder, const std::filesystem::path& page) {
  const std::string text = capacityText(readSet(folder));
  std::ifstream in(page);
  if (!in) throw InvalidMeasurements(page.string() + ": cannot be read");
  const std::string before(std::istreambuf_iterator<char>(in), {});
  const std::string after = withCapacity(before, text);
  std::ofstream out(page, std::ios::trunc);
  out << after;
  if (!out.flush()) throw std::runtime_error("cannot write " + page.string());
}

}  // namespace wingslip::lab
