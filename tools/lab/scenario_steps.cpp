/// Reads and validates the `[[step]]` tables.
#include "scenario_steps.hpp"

#include <set>

namespace wingslip::lab {
namespace {

const std::set<std::string> kGatekeeperFaults{
    "kill",        "stop",       "cont",        "term",       "restart",      "upgrade",
    "hup",         "agent_down", "agent_up",    "invalidate", "exclude",      "include",
    "pause",       "finish",     "finish_kill", "watch_end",  "watch_silent", "discovery_crowded",
    "discovery_ok"};
const std::set<std::string> kStoreFaults{"store_stop",   "store_start", "store_wipe",
                                         "store_save",   "store_old",   "store_silent",
                                         "store_errors", "store_lose",  "store_ok"};
const std::set<std::string> kLinkFaults{"cut", "blackhole", "oneway", "delay", "throttle", "heal"};
const std::set<std::string> kLinks{"discovery", "store", "peers"};
const std::set<std::string> kWorkerFaults{"drain", "silent", "revive", "restart_worker"};
const std::set<std::string> kSystemFaults{"calls", "clock_step", "disk"};

/// Reads one `[[step]]` table and validates it against the scenario.
class StepReader {
 public:
  StepReader(const TableReader& reader, const toml::table& table, Scenario& scenario)
      : reader_(reader), table_(table), scenario_(scenario) {}

  /// @param earliestS time of the preceding step in seconds; steps must be in order of time.
  Step read(double earliestS) {
    reader_.onlyKeys(table_, {"at_s", "do", "gatekeeper", "worker", "zone", "link", "below", "delay_ms",
                              "bytes_per_s", "patch", "call", "share", "step_ms", "error", "for_ms"});
    step_.line = static_cast<int>(table_.source().begin.line);
    readTime(earliestS);
    kind_ = table_.get("do");
    if (!kind_ || !kind_->is_string()) reader_.fail(table_.source(), "a step has no do = \"...\"");
    step_.kind = *kind_->value<std::string>();
    readTargets();
    checkTargets();
    checkKind();
    if (step_.kind == "throttle" && !(step_.bytesPerS > 0)) fail("throttle needs bytes_per_s");
    if (step_.kind == "delay" && !(step_.delayMs > 0)) fail("delay needs delay_ms above 0");
    return step_;
  }

 private:
  [[noreturn]] void fail(const std::string& message) const { reader_.fail(kind_->source(), message); }

  bool isOnWorkers() const { return step_.worker || step_.zone; }

  void readTime(double earliestS) {
    const toml::node* time = table_.get("at_s");
    if (!time) reader_.fail(table_.source(), "a step has no at_s");
    step_.atS = reader_.number(table_, "at_s", 0.0, -1e9, 1e9);
    if (step_.atS < earliestS)
      reader_.fail(time->source(), "at_s " + std::to_string(step_.atS) + " is before the preceding step");
    if (step_.atS > scenario_.lengthS) reader_.fail(time->source(), "at_s is after the end of the run");
  }

  void readTargets() {
    const toml::node* target = table_.get("gatekeeper");
    if (scenario_.store && target && target->is_string()) {
      step_.role = reader_.oneOf(table_, "gatekeeper", {"holder", "former"});
      step_.gatekeeper = 0;
    } else {
      step_.gatekeeper = reader_.index(table_, "gatekeeper", scenario_.gatekeepers, "gatekeeper");
    }
    step_.worker = reader_.index(table_, "worker", scenario_.workers, "worker");
    step_.zone = reader_.zone(table_, scenario_.zones);
    step_.delayMs = reader_.number(table_, "delay_ms", 0.0, 0, 60000);
    step_.bytesPerS = reader_.number(table_, "bytes_per_s", 0.0, 1, 1e9);
    step_.link = reader_.oneOf(table_, "link", kLinks);
    step_.patch = reader_.jsonObject(table_, "patch");
  }

  void checkTargets() {
    if (!step_.patch.empty() && step_.kind != "hup") fail("only hup takes a patch");
    if (isOnWorkers() && !step_.link.empty()) fail("a link fault takes either worker or zone, or link");
    step_.below = reader_.number(table_, "below", 0, 1, scenario_.gatekeepers - 1);
    const bool namesPeers = step_.gatekeeper || step_.below != 0;
    if (step_.link == "peers" && (!scenario_.replica || !namesPeers))
      fail("link = \"peers\" needs [replica], and gatekeeper or below");
    const bool isOperatorsCall = step_.kind == "exclude" || step_.kind == "include";
    if (isOperatorsCall && !step_.worker) fail(step_.kind + " needs a worker");
    const bool needsStore =
        kStoreFaults.contains(step_.kind) || step_.kind == "invalidate" || step_.link == "store";
    if (needsStore && !scenario_.store) fail(step_.kind + " needs a [store]");
  }

  void checkKind() {
    if (kStoreFaults.contains(step_.kind)) return checkStoreFault();
    if (kGatekeeperFaults.contains(step_.kind)) return checkGatekeeperFault();
    if (kSystemFaults.contains(step_.kind)) return readSystemFault();
    const bool isNamedLink = kLinkFaults.contains(step_.kind) && !step_.link.empty();
    if (isNamedLink) return;  // the gatekeeper is optional
    if (kLinkFaults.contains(step_.kind)) return checkLinkFault();
    if (kWorkerFaults.contains(step_.kind)) return checkWorkerFault();
    fail("unknown fault " + step_.kind);
  }

  void checkStoreFault() const {
    if (step_.gatekeeper || isOnWorkers())
      fail(step_.kind + " applies to the store: it takes no gatekeeper, worker or zone");
  }

  void checkGatekeeperFault() {
    if (!step_.gatekeeper) fail(step_.kind + " needs a gatekeeper");
    step_.forMs = reader_.number(table_, "for_ms", 100.0, 1, 60000);
    if (step_.kind == "upgrade" && !scenario_.inheritedSockets)
      fail("upgrade needs fleet.held_sockets = true");
  }

  void checkLinkFault() const {
    if (scenario_.directWorkers)
      fail(step_.kind + " needs fault proxies, and fleet.direct_workers = true has none");
    if (!isOnWorkers()) fail(step_.kind + " needs a worker or a zone");
  }

  void checkWorkerFault() const {
    if (!isOnWorkers()) fail(step_.kind + " needs a worker or a zone");
    if (step_.gatekeeper) fail(step_.kind + " applies to workers: it takes no gatekeeper");
  }

  void readSystemFault() {
    if (isOnWorkers()) fail(step_.kind + " applies to gatekeepers: it takes no worker or zone");
    scenario_.faultLibrary = true;
    if (step_.kind == "calls") readFailingCalls();
    step_.stepMs = reader_.number(table_, "step_ms", 0.0, -1e9, 1e9);
    if (step_.kind == "disk") readDiskError();
  }

  void readFailingCalls() {
    const std::string name = table_["call"].value_or(std::string());
    step_.call = callFaultOf(name);
    if (!step_.call)
      reader_.fail(table_.source(),
                   "calls needs call = \"...\", a kind of system call; unknown kind " + name);
    step_.share = reader_.number(table_, "share", 0.0, 0, 1);
  }

  void readDiskError() {
    const std::optional<int> error = diskErrorOf(table_["error"].value_or(std::string()));
    if (!error) reader_.fail(table_.source(), "disk needs error = none, ENOSPC or EIO");
    step_.diskError = *error;
  }

  const TableReader& reader_;
  const toml::table& table_;
  Scenario& scenario_;
  const toml::node* kind_ = nullptr;  ///< value of the key `do`, whose position error messages name
  Step step_;
};

}  // namespace

bool isGatekeeperFault(const std::string& kind) { return kGatekeeperFaults.contains(kind); }

void readSteps(const TableReader& reader, const toml::table& file, Scenario& scenario) {
  const toml::array* steps = file["step"].as_array();
  if (!steps) return;
  double earliestS = 0;
  for (const toml::node& node : *steps) {
    const toml::table* table = node.as_table();
    if (!table) reader.fail(node.source(), "a step must be a table: [[step]]");
    const Step step = StepReader(reader, *table, scenario).read(earliestS);
    earliestS = step.atS;
    scenario.steps.push_back(step);
  }
}

}  // namespace wingslip::lab
