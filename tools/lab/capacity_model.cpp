#include "capacity_model.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <utility>

#include "leader_election/membership_record.hpp"

namespace wingslip::lab {
namespace {

using namespace target;

constexpr double kHeartbeatPerS = 0.5, kHeartbeatBytes = 6;  // heartbeat of a watch: an empty HTTP chunk
constexpr double kReportBytes = 100;  // a gatekeeper's report of its configuration version
constexpr double kMachines = kGatekeepers + kWorkers;
constexpr double kGatekeeperShare = kGatekeepers / kMachines;

// Estimates figures at any size from a set of measurements. Caches the fit of each figure.
class Slopes {
 public:
  explicit Slopes(MeasurementSet set) : set_(std::move(set)) {}

  // The value of a figure at `size`, in the unit of the figure; see `valueAt`.
  double at(const std::string& mechanism, const std::string& figure, double size) {
    const auto key = std::make_pair(mechanism, figure);
    auto found = seriesCache_.find(key);
    if (found == seriesCache_.end()) {
      FittedSamples known;
      known.samples = samplesOf(set_, mechanism, figure);
      known.fit = bestFit(known.samples);
      found = seriesCache_.emplace(key, std::move(known)).first;
    }
    return valueAt(found->second.samples, found->second.fit, size);
  }
  // The capacity of a mechanism: the number of items that it stored at the largest measured size, or kNoLimit
  // if it stored all of them.
  double capOf(const std::string& mechanism, const std::string& figure) const {
    const Sample largest = samplesOf(set_, mechanism, figure).back();
    return largest.value < largest.size ? largest.value : kNoLimit;
  }
  // The largest size up to which a `kBooleanUnit` figure is 1, if it is 0 at a larger size; else kNoLimit.
  double largestTrue(const std::string& mechanism, const std::string& figure) const {
    double largest = 0;
    for (const Sample& sample : samplesOf(set_, mechanism, figure)) {
      if (sample.value < 1) return largest;
      largest = sample.size;
    }
    return kNoLimit;
  }

 private:
  struct FittedSamples {
    std::vector<Sample> samples;
    Fit fit;
  };
  MeasurementSet set_;
  std::map<std::pair<std::string, std::string>, FittedSamples> seriesCache_;
};

using SharedSlopes = std::shared_ptr<Slopes>;

Budget gatekeeperBudget() {
  Budget out;
  out.bytesPerS = kBytesPerS;
  out.coreShare = kCoreShare;
  out.memoryBytes = kMemoryBytes;
  return out;
}

Budget controlBudget() {
  Budget out;
  out.bytesPerS = kControlBytesPerS;
  out.coreShare = kControlCores;
  out.memoryBytes = kControlMemoryBytes;
  return out;
}

Budget storeBudget() {
  Budget out = controlBudget();
  out.messagesPerS = kStoreCallsPerS;
  return out;
}

Budget budgetWithItems(double items, Budget budget = gatekeeperBudget()) {
  budget.items = items;
  return budget;
}

double configurationBytes(Slopes& slopes) { return slopes.at("configuration", "text", kRoutes); }

Row choiceRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "choice of a worker for a request";
  row.implementedBy = "`src/decision/load_balancer.cpp`";
  row.measured = {"choice", "whole_list"};
  // The added latency allowed per request, times the requests per second of one gatekeeper.
  row.budget.coreShare = kAddedSeconds * kRequestsPerS / kGatekeepers;
  row.need = [slopes](const Day& day) {
    Need need;
    need.coreShare = day.requests * (slopes->at("choice", "processor", kWorkers) +
                                     slopes->at("choice", "answer_processor", kWorkers));
    need.stateBytes = slopes->at("whole_list", "held", kWorkers);
    need.memoryBytes = need.stateBytes;
    need.items = kWorkers;
    return need;
  };
  return row;
}

Row changedWorkerRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "one changed worker";
  row.implementedBy = "`src/endpoint_watch/`, `Gateway::onEndpoints`";
  row.measured = {"worker_change", "list_text"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = day.listChanges;
    need.bytesPerS = day.listChanges * slopes->at("list_text", "text", kWorkers) / kWorkers;
    need.coreShare = day.listChanges * slopes->at("worker_change", "processor", kWorkers);
    need.items = 1;
    return need;
  };
  return row;
}

Row zoneRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "a zone's workers, lost and back";
  row.implementedBy = "`src/endpoint_watch/`, `Gateway::onEndpoints`";
  row.measured = {"zone_change", "list_text"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = 2 * day.zoneLists;
    need.bytesPerS = need.messagesPerS * slopes->at("list_text", "text", kZoneWorkers);
    need.coreShare = day.zoneLists * (slopes->at("zone_change", "processor", kWorkers) +
                                      2 * slopes->at("list_text", "processor", kZoneWorkers));
    need.memoryBytes = slopes->at("list_text", "peak", kZoneWorkers);
    need.items = kZoneWorkers;
    return need;
  };
  return row;
}

Row wholeListRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "the whole list of workers";
  row.implementedBy = "`src/endpoint_watch/`, `Gateway::onEndpoints`";
  row.measured = {"whole_list", "list_text", "process"};
  row.budget = budgetWithItems(slopes->largestTrue("process", "taken"));
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = day.wholeLists;
    need.bytesPerS = day.wholeLists * slopes->at("list_text", "text", kWorkers);
    need.coreShare = day.wholeLists * (slopes->at("whole_list", "processor", kWorkers) +
                                       slopes->at("list_text", "processor", kWorkers));
    need.stateBytes = slopes->at("whole_list", "held", kWorkers);
    need.memoryBytes = need.stateBytes + slopes->at("list_text", "text", kWorkers) +
                       slopes->at("list_text", "peak", kWorkers);
    need.items = kWorkers;
    return need;
  };
  return row;
}

Row settingsRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "changed settings taken in, a class a route";
  row.implementedBy = "`src/config/config.cpp` at SIGHUP, `Gateway::onSettings`";
  row.measured = {"settings", "configuration", "class_cap"};
  row.budget = budgetWithItems(slopes->capOf("class_cap", "classes"));
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = day.configurationChanges;
    need.coreShare = day.configurationChanges * (slopes->at("settings", "processor", kRoutes) +
                                                 slopes->at("configuration", "processor", kRoutes));
    need.stateBytes = configurationBytes(*slopes);
    need.memoryBytes = slopes->at("configuration", "peak", kRoutes);
    need.items = kRoutes;
    return need;
  };
  return row;
}

Row customersRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "customers held";
  row.implementedBy = "`src/decision/customer_table.hpp`";
  row.measured = {"customers", "customer_cap"};
  row.budget = budgetWithItems(slopes->capOf("customer_cap", "rows"));
  row.need = [slopes](const Day& day) {
    Need need;
    need.items = tenantsPerGatekeeper(kSpread, day.gatekeepers);
    need.stateBytes = slopes->at("customers", "held", need.items);
    need.memoryBytes = need.stateBytes;
    return need;
  };
  return row;
}

Row membershipRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "membership of the gatekeepers (SWIM)";
  row.implementedBy = "`src/replication/`";
  row.measured = {"membership", "member_cap"};
  row.budget = budgetWithItems(slopes->capOf("member_cap", "alive"));
  row.need = [slopes](const Day& day) {
    const auto at = [&](const char* figure) { return slopes->at("membership", figure, day.gatekeepers); };
    Need need;
    need.messagesPerS = at("messages") + day.memberChanges * at("restart_messages");
    need.bytesPerS = at("bytes") + day.memberChanges * at("restart_bytes");
    need.coreShare = at("processor") + day.memberChanges * at("restart_processor");
    need.stateBytes = at("held");
    need.memoryBytes = need.stateBytes;
    need.items = day.gatekeepers;
    return need;
  };
  return row;
}

Row replicatedRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "replicated rows, a row a route";
  row.implementedBy = "`src/replication/`";
  row.measured = {"rows", "row_cap", "membership"};
  row.budget = budgetWithItems(slopes->capOf("row_cap", "rows"));
  row.need = [slopes](const Day& day) {
    const auto each = [&](const char* figure) {
      return day.configurationChanges * slopes->at("membership", figure, day.gatekeepers);
    };
    Need need;
    need.messagesPerS = each("row_messages");
    need.bytesPerS = each("row_bytes") + slopes->at("rows", "bytes", kRoutes);
    need.coreShare = each("row_processor") + slopes->at("rows", "processor", kRoutes);
    need.stateBytes = slopes->at("rows", "held", kRoutes);
    need.memoryBytes = need.stateBytes;
    need.items = kRoutes;
    return need;
  };
  return row;
}

Row candidateRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "duties, as a candidate";
  row.implementedBy = "`src/leader_election/`";
  row.measured = {"duties"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    const auto each = [&](const char* figure) {
      return slopes->at("duties", figure, day.gatekeepers) / day.gatekeepers;
    };
    Need need;
    need.messagesPerS = each("calls");
    need.bytesPerS = each("bytes");
    need.items = 1;
    return need;
  };
  return row;
}

Row rosterRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "the roster, as the one that holds the duty";
  row.implementedBy = "`src/leader_election/`";
  row.measured = {"duties"};
  row.budget = budgetWithItems(static_cast<double>(wingslip::leader_election::MembershipRecord::kMaxMembers));
  row.need = [slopes](const Day& day) {
    Need need;
    need.stateBytes = slopes->at("duties", "registered_bytes", day.gatekeepers);
    need.memoryBytes = need.stateBytes;
    need.messagesPerS = day.memberChanges;
    need.bytesPerS =
        day.memberChanges * need.stateBytes;  // each change triggers a response with all registrations
    need.items = day.gatekeepers;
    return need;
  };
  return row;
}

Row watchRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "the watch itself";
  row.implementedBy = "`src/endpoint_watch/`";
  row.measured = {"watch"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS =
        day.discoveryRejects ? slopes->at("watch", "calls_each", day.gatekeepers) : kHeartbeatPerS;
    need.bytesPerS = kHeartbeatPerS * kHeartbeatBytes;
    need.coreShare = slopes->at("watch", "processor", day.gatekeepers);
    need.items = 1;
    return need;
  };
  return row;
}

Row processRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "the process, idle, with the list of workers";
  row.implementedBy = "`wingslip-gatekeeper`";
  row.measured = {"process"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day&) {
    Need need;
    need.coreShare = slopes->at("process", "idle_processor", kWorkers);
    need.stateBytes = slopes->at("process", "resident", kWorkers);
    need.memoryBytes = slopes->at("process", "peak", kWorkers);
    return need;
  };
  return row;
}

Row distributionRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "distribution of configuration, whole at each change";
  row.measured = {"configuration"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = day.configurationChanges;
    need.bytesPerS = day.configurationChanges * configurationBytes(*slopes);
    need.coreShare = day.configurationChanges * slopes->at("configuration", "processor", kRoutes);
    need.stateBytes = configurationBytes(*slopes);
    need.memoryBytes = slopes->at("configuration", "peak", kRoutes);
    need.items = kRoutes;
    return need;
  };
  return row;
}

Row reportRow() {
  Row row;
  row.role = "gatekeeper";
  row.mechanism = "which configuration is in force where";
  row.budget = gatekeeperBudget();
  row.need = [](const Day& day) {
    Need need;
    need.messagesPerS = day.configurationChanges;
    need.bytesPerS = day.configurationChanges * kReportBytes;
    need.items = 1;
    return need;
  };
  return row;
}

Row serviceListsRow(const SharedSlopes& slopes) {
  Row row = wholeListRow(slopes);
  row.mechanism = "lists of workers by service";
  row.implementedBy = "";
  row.substitute = "the whole list";
  row.measured = {"list_text"};
  row.budget = gatekeeperBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.bytesPerS = day.listChanges * slopes->at("list_text", "text", kWorkers) / kWorkers;
    need.stateBytes = slopes->at("list_text", "text", kWorkers);
    need.memoryBytes = need.stateBytes;
    need.items = kServices;
    return need;
  };
  return row;
}

Row sourceRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "control machine";
  row.mechanism = "source of configuration for its part of the gatekeepers";
  row.measured = {"configuration"};
  row.budget = controlBudget();
  row.need = [slopes](const Day& day) {
    const double served = day.gatekeepers / day.controlMachines;
    Need need;
    need.messagesPerS = day.configurationChanges * served;
    need.bytesPerS = need.messagesPerS * configurationBytes(*slopes);
    need.stateBytes = configurationBytes(*slopes);
    need.memoryBytes = need.stateBytes;
    need.items = kRoutes;
    return need;
  };
  return row;
}

Row reportsRow() {
  Row row;
  row.role = "control machine";
  row.mechanism = "what its part of the gatekeepers report";
  row.budget = controlBudget();
  row.need = [](const Day& day) {
    Need need;
    need.messagesPerS = day.configurationChanges * day.gatekeepers / day.controlMachines;
    need.bytesPerS = need.messagesPerS * kReportBytes;
    need.stateBytes = kReportBytes * day.gatekeepers;
    need.memoryBytes = need.stateBytes;
    need.items = day.gatekeepers;
    return need;
  };
  return row;
}

Row agentRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "discovery agent";
  row.mechanism = "the list, told to its gatekeeper";
  row.implementedBy = "the platform's agent";
  row.measured = {"list_text"};
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = day.listChanges + kHeartbeatPerS;
    need.bytesPerS = day.listChanges * slopes->at("list_text", "text", kWorkers) / kWorkers +
                     day.wholeLists * slopes->at("list_text", "text", kWorkers);
    need.stateBytes = slopes->at("list_text", "text", kWorkers);
    need.memoryBytes = need.stateBytes;
    need.items = kWorkers;
    return need;
  };
  return row;
}

Row sharedDiscoveryRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "discovery agent";
  row.mechanism = "calls at a discovery that all share and that turns them away";
  row.implementedBy = "`src/endpoint_watch/` paces them";
  row.measured = {"watch"};
  row.budget = storeBudget();
  row.need = [slopes](const Day& day) {
    Need need;
    need.messagesPerS = slopes->at("watch", "calls", day.gatekeepers);
    need.items = day.gatekeepers;
    return need;
  };
  return row;
}

Row meterRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "meter";
  row.mechanism = "readings of all tenants";
  row.implementedBy = "the platform's meter, read from answers";
  row.measured = {"customers"};
  row.need = [slopes](const Day&) {
    Need need;
    need.messagesPerS = kRequestsPerS;
    need.items = kTenants;
    need.stateBytes = slopes->at("customers", "held", kTenants);
    need.memoryBytes = need.stateBytes;
    return need;
  };
  return row;
}

Row storeRow(const SharedSlopes& slopes) {
  Row row;
  row.role = "coordination store";
  row.mechanism = "sessions, locks and registrations";
  row.implementedBy = "the platform's store, `src/leader_election/`";
  row.measured = {"duties"};
  row.budget = storeBudget();
  row.need = [slopes](const Day& day) {
    const auto at = [&](const char* figure) { return slopes->at("duties", figure, day.gatekeepers); };
    const double takeOvers = day.leaderFails ? 1 / at("take_over") : 0;
    Need need;
    need.messagesPerS = at("calls") + takeOvers * at("take_over_calls");
    need.bytesPerS =
        at("bytes") + takeOvers * at("take_over_bytes") + day.memberChanges * at("registered_bytes");
    need.stateBytes = at("registered_bytes");
    need.memoryBytes = need.stateBytes;
    need.items = day.gatekeepers;
    return need;
  };
  return row;
}

Day ordinaryDay() {
  constexpr double kMachinesPerS = kMachinesPerDay / kSecondsPerDay;
  Day day;
  day.name = "ordinary";
  day.configurationChanges = kChangesPerDay / kSecondsPerDay;
  day.listChanges = kMachinesPerS * (1 - kGatekeeperShare) * kListChangesPerMachine;
  day.memberChanges = kMachinesPerS * kGatekeeperShare;
  day.wholeLists = kMachinesPerS / kMachines;  // per gatekeeper: it receives one at each of its starts
  return day;
}

Day withMachines(Day day, const std::string& name, double machinesPerS) {
  day.name = name;
  day.listChanges += machinesPerS * (1 - kGatekeeperShare) * kListChangesPerMachine;
  day.memberChanges += machinesPerS * kGatekeeperShare;
  return day;
}

Day zoneDay() {
  Day day = ordinaryDay();
  day.name = "a zone";
  day.gatekeepers -= kZoneGatekeepers;
  day.requests = kRequestsPerS / day.gatekeepers;
  day.zoneLists = 1 / kInForceSeconds;
  day.memberChanges += kZoneGatekeepers / kInForceSeconds;
  return day;
}

// Regions reconnect after a partition: the changes accumulated since its start arrive within kInForceSeconds,
// and every gatekeeper reads its whole list again.
Day partitionDay() {
  Day day = ordinaryDay();
  day.name = "regions parted";
  const double backlogFactor = (kPartitionSeconds + kInForceSeconds) / kInForceSeconds;
  day.configurationChanges *= backlogFactor;
  day.listChanges *= backlogFactor;
  day.memberChanges += kGatekeepers * (kRegions - 1) / kRegions / kInForceSeconds;
  day.wholeLists = 1 / kInForceSeconds;
  day.discoveryRejects = true;
  return day;
}

Day controlDay() {
  Day day = ordinaryDay();
  day.name = "control machines fail";
  day.controlMachines = 1;  // all but one have failed
  day.leaderFails = true;
  return day;
}

}  // namespace

std::vector<Day> allDays() {
  Day peak = ordinaryDay();
  peak.name = "peak of changes";
  peak.configurationChanges *= kPeakOverMean;
  return {ordinaryDay(),
          peak,
          withMachines(ordinaryDay(), "a release", kReleaseMachinesPerHour / kSecondsPerHour),
          withMachines(ordinaryDay(), "a rack", kMachinesPerRack / kInForceSeconds),
          zoneDay(),
          partitionDay(),
          controlDay()};
}

double tenantsPerGatekeeper(double spread, double gatekeepers) {
  return kTenants * std::min(1.0, spread / gatekeepers);
}

OverBudget overBudget(const Need& need, const Budget& budget) {
  const std::vector<std::pair<std::string, double>> shares{
      {"items", need.items / budget.items},
      {"bytes/s", need.bytesPerS / budget.bytesPerS},
      {"processor", need.coreShare / budget.coreShare},
      {"memory", need.memoryBytes / budget.memoryBytes},
      {"messages/s", need.messagesPerS / budget.messagesPerS}};
  OverBudget out;
  for (const auto& [dimension, times] : shares)
    if (times > out.times) out = {times, dimension};
  return out;
}

std::vector<Row> allRows(const MeasurementSet& set) {
  const auto slopes = std::make_shared<Slopes>(set);
  std::vector<Row> rows{choiceRow(slopes),
                        changedWorkerRow(slopes),
                        zoneRow(slopes),
                        wholeListRow(slopes),
                        settingsRow(slopes),
                        customersRow(slopes),
                        membershipRow(slopes),
                        replicatedRow(slopes),
                        candidateRow(slopes),
                        rosterRow(slopes),
                        watchRow(slopes),
                        processRow(slopes),
                        distributionRow(slopes),
                        reportRow(),
                        serviceListsRow(slopes),
                        sourceRow(slopes),
                        reportsRow(),
                        agentRow(slopes),
                        sharedDiscoveryRow(slopes),
                        meterRow(slopes),
                        storeRow(slopes)};
  for (const Row& row : rows)
    for (const Day& day : allDays())
      row.need(day);  // so that a missing figure throws here rather than during output
  return rows;
}

std::vector<Gap> rankedGaps(const std::vector<Row>& rows) {
  const std::vector<Day> days = allDays();
  std::vector<Gap> out;
  for (const Row& row : rows) {
    if (!row.implementedBy.empty() || !row.substitute.empty()) continue;
    Gap gap;
    gap.row = row;
    gap.ordinary = overBudget(row.need(days.front()), row.budget);
    for (const Day& day : days) {
      const OverBudget over = overBudget(row.need(day), row.budget);
      if (over.times <= gap.worst.times) continue;
      gap.worst = over;
      gap.worstDay = day.name;
    }
    out.push_back(std::move(gap));
  }
  std::sort(out.begin(), out.end(), [](const Gap& a, const Gap& b) { return a.worst.times > b.worst.times; });
  return out;
}

double targetSizeOf(const std::string& varies) {
  if (varies == "workers listed") return kWorkers;
  if (varies == "classes" || varies == "rows") return kRoutes;
  if (varies == "customers met") return tenantsPerGatekeeper(kSpread, kGatekeepers);
  return kGatekeepers;
}

}  // namespace wingslip::lab
