/// Reads and validates the `[[expect]]` tables.
#include "scenario_expectations.hpp"

#include <set>

namespace wingslip::lab {
namespace {

const std::set<std::string> kFates{"served",      "refused",        "failed",        "closed",
                                   "unreachable", "lost",           "wrong",         "attempts",
                                   "upgrades",    "claims",         "roster_here",   "roster_draining",
                                   "roster_left", "roster_missing", "roster_agreed", "copies_equal",
                                   "idle_opened", "idle_closed",    "idle_refused",  "figure"};

std::string readFate(const TableReader& reader, const toml::table& table) {
  const toml::node* fate = table.get("fate");
  if (!fate || !fate->is_string() || !kFates.contains(*fate->value<std::string>()))
    reader.fail(
        fate ? fate->source() : table.source(),
        "fate must be one of served, refused, failed, closed, unreachable, lost, wrong, attempts, upgrades, "
        "claims, roster_*, copies_equal, idle_*, figure");
  return *fate->value<std::string>();
}

Expectation readExpectation(const TableReader& reader, const toml::table& table, const Scenario& scenario) {
  reader.onlyKeys(table,
                  {"fate", "figure", "gatekeeper", "worker", "zone", "after_s", "before_s", "min", "max"});
  Expectation expect;
  expect.line = static_cast<int>(table.source().begin.line);
  expect.countName = readFate(reader, table);
  expect.figure = table["figure"].value_or(std::string());
  if (expect.figure.empty() == (expect.countName == "figure"))
    reader.fail(table.source(),
                "figure = \"...\" is required by fate = \"figure\", and permitted only with it");
  if (expect.countName.starts_with("idle_") && scenario.idle.each == 0)
    reader.fail(table.get("fate")->source(), expect.countName + " needs [idle_clients]");
  expect.gatekeeper = reader.index(table, "gatekeeper", scenario.gatekeepers, "gatekeeper");
  expect.worker = reader.index(table, "worker", scenario.workers, "worker");
  expect.zone = reader.zone(table, scenario.zones);
  if ((expect.worker || expect.zone) != (expect.countName == "attempts"))
    reader.fail(table.source(), "fate = \"attempts\" needs a worker or a zone; no other fate takes one");
  expect.afterS = reader.number(table, "after_s", 0.0, 0, 1e9);
  expect.beforeS = reader.number(table, "before_s", 1e9, 0, 1e9);
  if (table.get("min")) expect.min = reader.number(table, "min", 0L, 0, 1e9);
  if (table.get("max")) expect.max = reader.number(table, "max", 0L, 0, 1e9);
  if (!expect.min && !expect.max) reader.fail(table.source(), "an expectation needs min or max");
  return expect;
}

}  // namespace

void readExpectations(const TableReader& reader, const toml::table& file, Scenario& scenario) {
  const toml::array* expects = file["expect"].as_array();
  if (!expects) return;
  for (const toml::node& node : *expects) {
    const toml::table* table = node.as_table();
    if (!table) reader.fail(node.source(), "an expectation must be a table: [[expect]]");
    scenario.expects.push_back(readExpectation(reader, *table, scenario));
  }
}

}  // namespace wingslip::lab
