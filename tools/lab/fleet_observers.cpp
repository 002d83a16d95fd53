/// Monitoring of the running fleet: the store's records, operators' calls and resource usage.
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "fleet_run.hpp"

namespace wingslip::lab {
using nlohmann::json;

namespace {

constexpr double kFigurePollPeriodS = 0.5;

}  // namespace

void Fleet::startStore() {
  store_ = std::make_unique<Store>(io_, [from = Clock::now()] {
    return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
  });
  store_->onSet = [this](const std::string& key, const std::string& value,
                         const std::vector<std::string>& members) {
    const json record = json::parse(value, nullptr, false);
    if (key != "lab/duties/roster/record" || !record.is_object()) return;
    const std::string holder = record.value("holder", "");
    if (verifier_.dutyRecordWritten(record.value("token", std::uint64_t{0}), holder, clock_.nowMs())) {
      // The holder is an instance; the key members/gN/INSTANCE maps it to its gatekeeper.
      int gatekeeper = -1;
      for (const std::string& member : members)
        if (member.ends_with("/" + holder))
          gatekeeper = std::atoi(member.c_str() + std::string("lab/members/g").size());
      spdlog::info("event=claim token={} gatekeeper={} at_ms={:.0f}", record["token"].dump(), gatekeeper,
                   clock_.nowMs());
      leader_ = std::max(0, gatekeeper);
      observed_.events.push_back({"claims", gatekeeper, clock_.nowMs()});
      claims_.push_back({clock_.nowMs(), gatekeeper, record["token"].get<std::uint64_t>()});
      runRecord_.marks.push_back({clock_.nowMs() / 1000, "g" + std::to_string(gatekeeper) + " holds"});
    }
    const json roster = json::parse(record.value("data", ""), nullptr, false);
    if (!roster.is_object()) return;
    std::map<std::string, long> counts;
    for (const auto& [name, row] : roster["rows"].items()) ++counts[row[0].get<std::string>()];
    observed_.rosters.push_back({clock_.nowMs(), counts});
    rosterVersion_ = roster.value("version", std::uint64_t{0});
  };
}

void Fleet::queryRosters() {
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    if (gatekeeper.current.pid > 0)
      callOperatorsPort(io_, gatekeeper.current.ops, "roster",
                        [this, g = gatekeeper.index](const std::string& answer) {
                          const std::string version = " version=" + std::to_string(rosterVersion_) + " ";
                          if (answer.rfind("200" + version, 0) == 0)
                            observed_.events.push_back({"roster_agreed", g, clock_.nowMs()});
                        });
}

void Fleet::queryCopies() {
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    if (gatekeeper.current.pid > 0)
      callOperatorsPort(io_, gatekeeper.current.ops, "replica", [this](const std::string& answer) {
        if (answer.rfind("200 copy=", 0) == 0) ++observed_.copies[answer.substr(9, 16)];
      });
}

void Fleet::pollFigures() {
  if (runIsEnding_ || !observed_.figures.hasSelection()) return;
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    if (gatekeeper.current.pid > 0)
      callOperatorsPort(io_, gatekeeper.current.ops, "telemetry",
                        [this, g = gatekeeper.index](const std::string& answer) {
                          observed_.figures.addSamples(g, clock_.nowMs(), answer);
                        });
  clock_.at(clock_.nowMs() / 1000 + kFigurePollPeriodS, [this] { pollFigures(); });
}

void Fleet::logProgress() {
  clock_.at(clock_.nowMs() / 1000 + 10, [this] {
    if (runIsEnding_) return;
    ProcessUse all;
    int running = 0;
    for (const Gatekeeper& gatekeeper : gatekeepers_) {
      if (gatekeeper.current.pid <= 0) continue;
      const ProcessUse use = readProcessUse(gatekeeper.current.pid);
      all.residentKb += use.residentKb, all.descriptors += use.descriptors;
      ++running;
    }
    const double n = std::max(1, running);
    spdlog::info(
        "event=progress at_s={:.0f} of_s={} sent={} in_flight={} not_sent={} running={} each_kb={:.0f} "
        "each_descriptors={:.1f}",
        clock_.nowMs() / 1000, scenario_.lengthS, verifier_.requests().size(), load_.inFlight(),
        load_.notSent(), running, static_cast<double>(all.residentKb) / n,
        static_cast<double>(all.descriptors) / n);
    logProgress();
  });
}

std::map<std::string, std::uint64_t> Fleet::failedCalls() const {
  std::map<std::string, std::uint64_t> out;
  for (const Gatekeeper& gatekeeper : gatekeepers_) {
    if (!gatekeeper.faults) continue;
    for (const auto& [kind, n] : gatekeeper.faults->injected())
      out[kCallFaultNames[static_cast<std::size_t>(kind)]] += n;
    if (const std::uint64_t n = gatekeeper.faults->diskFailed()) out["disk"] += n;
  }
  return out;
}

void Fleet::recordUsage(const Gatekeeper& gatekeeper) {
  if (gatekeeper.current.pid <= 0) return;
  const ProcessUse use = readProcessUse(gatekeeper.current.pid);
  runRecord_.maxPeakKb = std::max(runRecord_.maxPeakKb, use.peakKb);
  runRecord_.maxDescriptors = std::max(runRecord_.maxDescriptors, use.descriptors);
  ++runRecord_.measuredGatekeepers;
  runRecord_.totalUse.cpuS += use.cpuS, runRecord_.totalUse.peakKb += use.peakKb,
      runRecord_.totalUse.descriptors += use.descriptors;
}

}  // namespace wingslip::lab
