#include "run_report.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wingslip::lab {
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

constexpr double kServedQuantiles[] = {0.5, 0.9, 0.99};

void writeEvents(const fs::path& file, const RunVerifier& verifier) {
  std::ofstream events(file);
  for (const auto& [id, r] : verifier.requests())
    events << json{{"id", id},           {"gatekeeper", r.gatekeeper}, {"sent_ms", r.sentMs},
                   {"end_ms", r.endMs},  {"fate", nameOf(r.outcome)},  {"status", r.status},
                   {"excused", r.exempt}}
                  .dump()
           << "\n";
}

void writePlot(const fs::path& file, const Scenario& s, const RunVerifier& verifier,
               const std::vector<PlotMark>& marks) {
  std::vector<Request> all;
  all.reserve(verifier.requests().size());
  for (const auto& [id, r] : verifier.requests()) all.push_back(r);
  std::ofstream(file) << plotSvg({s.name, s.lengthS, s.gatekeepers, marks}, all);
}

// Processor time (s) and peak memory (kB) of the lab's own process so far.
json labResourceUse() {
  rusage self{};
  ::getrusage(RUSAGE_SELF, &self);
  return json{{"cpu_s", self.ru_utime.tv_sec + self.ru_stime.tv_sec +
                            (self.ru_utime.tv_usec + self.ru_stime.tv_usec) / 1e6},
              {"most_kb", self.ru_maxrss}};
}

json outcomeCounts(const RunVerifier& verifier) {
  json out;
  for (RequestOutcome outcome :
       {RequestOutcome::served, RequestOutcome::refused, RequestOutcome::failed, RequestOutcome::closed,
        RequestOutcome::unreachable, RequestOutcome::timedOut, RequestOutcome::wrongBody,
        RequestOutcome::closedUndelivered, RequestOutcome::clientDisconnected})
    out[nameOf(outcome)] = verifier.count(outcome);
  return out;
}

json servedQuantiles(const RunVerifier& verifier) {
  std::vector<double> times = verifier.servedLatenciesMs();
  std::sort(times.begin(), times.end());
  json out;
  for (const double q : kServedQuantiles)
    out["p" + std::to_string(static_cast<int>(q * 100))] =
        times.empty() ? 0.0 : times[static_cast<std::size_t>(q * (times.size() - 1))];
  return out;
}

json stepsJson(const std::vector<ExecutedStep>& steps) {
  json out = json::array();
  for (const ExecutedStep& step : steps)
    out.push_back({{"at_s", step.atS}, {"do", step.what}, {"line", step.line}});
  return out;
}

json storeJson(const StoreLoad& store) {
  const auto& seconds = store.callsBySecond;
  json claims = json::array();
  for (const Claim& claim : store.claims)
    claims.push_back({{"at_ms", claim.atMs}, {"gatekeeper", claim.gatekeeper}, {"token", claim.token}});
  return json{
      {"calls", store.calls},
      {"most_calls_a_second", seconds.empty() ? 0 : *std::max_element(seconds.begin(), seconds.end())},
      {"calls_by_second", seconds},
      {"claims", claims}};
}

json idleClientsJson(const std::map<int, IdleClientCounts>& all) {
  json out = json::array();
  for (const auto& [gatekeeper, counts] : all)
    out.push_back({{"gatekeeper", gatekeeper},
                   {"opened", counts.opened},
                   {"closed_by_gatekeeper", counts.closed},
                   {"refused", counts.refused}});
  return out;
}

json figuresJson(const std::vector<FigureMaximum>& figures) {
  json out = json::array();
  for (const FigureMaximum& f : figures)
    out.push_back({{"line", f.line}, {"name", f.name}, {"most", f.most ? json(*f.most) : json()}});
  return out;
}

json summaryOf(const Scenario& s, const RunVerifier& verifier, const RunRecord& record) {
  json out{{"scenario", s.name},
           {"seed", record.seed},
           {"gatekeepers", s.gatekeepers},
           {"workers", s.workers},
           {"faults", stepsJson(record.steps)},
           {"not_sent", record.notSent},
           {"lab", labResourceUse()},
           {"gatekeeper_most", {{"kb", record.maxPeakKb}, {"descriptors", record.maxDescriptors}}},
           {"fates", outcomeCounts(verifier)},
           {"served_ms", servedQuantiles(verifier)},
           {"unmet", record.unmet}};
  if (record.measuredGatekeepers > 0) {
    const double n = record.measuredGatekeepers;
    out["each"] = {{"cpu_s", record.totalUse.cpuS / n},
                   {"peak_kb", static_cast<double>(record.totalUse.peakKb) / n},
                   {"descriptors", static_cast<double>(record.totalUse.descriptors) / n},
                   {"worker_connections", static_cast<double>(record.workerConnections) / n},
                   {"list_bytes", static_cast<double>(record.listBytes) / n}};
  }
  if (!record.failedCalls.empty()) out["failed_calls"] = record.failedCalls;
  if (record.store) out["store"] = storeJson(*record.store);
  if (!record.idleClients.empty()) out["idle_clients"] = idleClientsJson(record.idleClients);
  if (!record.figures.empty()) out["figures"] = figuresJson(record.figures);
  std::map<std::string, long> byRule = verifier.violationsByRule();
  if (!record.crashes.empty()) byRule["process"] = static_cast<long>(record.crashes.size());
  if (!record.invariants.empty()) byRule["invariant"] = static_cast<long>(record.invariants.size());
  out["broken_by_rule"] = byRule;
  std::vector<std::string> broken = verifier.violations();
  broken.insert(broken.end(), record.invariants.begin(), record.invariants.end());
  broken.insert(broken.end(), record.crashes.begin(), record.crashes.end());
  out["broken"] = broken;
  const long brokenCount =
      verifier.violationCount() + static_cast<long>(record.crashes.size() + record.invariants.size());
  out["broken_count"] = brokenCount;
  out["verdict"] = brokenCount == 0 && record.unmet.empty() ? "passed" : "failed";
  return out;
}

}  // namespace

void writeReport(const fs::path& out, const Scenario& scenario, const RunVerifier& verifier,
                 const RunRecord& record) {
  writeEvents(out / "events.jsonl", verifier);
  writePlot(out / "plot.svg", scenario, verifier, record.marks);
  std::ofstream(out / "summary.json") << summaryOf(scenario, verifier, record).dump(1) << "\n";
}

int printReport(const fs::path& out) {
  std::ifstream in(out / "summary.json");
  if (!in) throw std::runtime_error("no summary.json in " + out.string());
  const json s = json::parse(in);
  std::cout << "scenario " << s["scenario"].get<std::string>() << ", seed " << s["seed"] << ", "
            << s["gatekeepers"] << " gatekeepers, " << s["workers"] << " workers\n";
  std::cout << "fates:";
  for (const auto& [outcome, n] : s["fates"].items()) std::cout << " " << outcome << "=" << n;
  std::cout << "\nserved ms: p50=" << s["served_ms"]["p50"] << " p90=" << s["served_ms"]["p90"]
            << " p99=" << s["served_ms"]["p99"] << "\nlab: " << s["lab"]["cpu_s"] << " s of CPU, "
            << s["lab"]["most_kb"] << " kB; a gatekeeper at most " << s["gatekeeper_most"]["kb"] << " kB, "
            << s["gatekeeper_most"]["descriptors"] << " descriptors"
            << (s.contains("store") ? "\nstore: " + s["store"]["calls"].dump() + " calls, at most " +
                                          s["store"]["most_calls_a_second"].dump() + " a second; " +
                                          std::to_string(s["store"]["claims"].size()) + " claims"
                                    : "")
            << "\nfaults: " << s["faults"].size() << ", not sent: " << s["not_sent"] << "\n";
  if (s.contains("failed_calls")) std::cout << "failed calls: " << s["failed_calls"].dump() << "\n";
  if (s.contains("idle_clients"))
    for (const auto& counts : s["idle_clients"])
      std::cout << "idle clients of gatekeeper " << counts["gatekeeper"] << ": " << counts["opened"]
                << " connections opened, " << counts["closed_by_gatekeeper"] << " closed by it, "
                << counts["refused"] << " refused\n";
  if (s.contains("figures"))
    for (const auto& figure : s["figures"])
      std::cout << "figure " << figure["name"].get<std::string>() << " (line " << figure["line"]
                << "): " << figure["most"] << " at most\n";
  for (const auto& line : s["broken"]) std::cout << "broken: " << line.get<std::string>() << "\n";
  for (const auto& line : s["unmet"]) std::cout << "unmet: " << line.get<std::string>() << "\n";
  std::cout << "verdict: " << s["verdict"].get<std::string>() << "\n";
  return s["verdict"] == "passed" ? 0 : 1;
}

}  // namespace wingslip::lab
