/// Construction of the fleet, the course of a run and its report.
#include "fleet.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "fleet_run.hpp"

namespace wingslip::lab {
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

constexpr double kDrainS = 2;           // extra time after the last request's deadline for answers to arrive
constexpr int kLinksBesideWorkers = 4;  // links of a gatekeeper to agent, store and peers, estimated
constexpr int kWorkersUsed = 48;        // workers that one gatekeeper of a large fleet connects to
constexpr int kDescriptorsPerConnection = 3;  // the proxy's two sockets and the worker's
constexpr int kOtherDescriptors = 500;        // other descriptors of the lab
constexpr double kThrottledMs = 300;          // longest delay of a request by a throttled link
constexpr std::uint64_t kMisbehavingClientsSeed = 0x2545f4914f6cdd1dULL;  // XORed with the run's seed
constexpr std::uint64_t kIdleSeedStep = 104729;  // factor of the run's seed in its idle clients' seeds

// Estimates the lab's own descriptors: a listener for each link, three descriptors for each connection
// between gatekeeper and worker, one for each client. Raises the soft limit to the estimate, and throws
// std::runtime_error if the hard limit is below it.
void ensureDescriptorLimit(const Scenario& s) {
  const int gatekeepersWithIdle = s.idle.gatekeeper ? 1 : s.gatekeepers;
  const long links =
      static_cast<long>(s.gatekeepers) * ((s.directWorkers ? 0 : s.workers) + kLinksBesideWorkers) +
      s.workers;
  const long connections = static_cast<long>(s.gatekeepers) * std::min(s.workers, kWorkersUsed);
  const long requests = std::lround(s.rate * s.deadlineMs / 1000);
  const auto needed = static_cast<rlim_t>(
      s.idle.each * gatekeepersWithIdle + links + kDescriptorsPerConnection * connections +
      std::min<long>(requests, s.mostInFlight) + s.misbehavingLoad.clients + kOtherDescriptors);
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < needed)
    throw std::runtime_error("this fleet needs about " + std::to_string(needed) +
                             " file descriptors in the lab, and the hard limit is " +
                             std::to_string(limit.rlim_max) + ": use fewer gatekeepers, workers or clients");
  if (limit.rlim_cur >= needed) return;
  limit.rlim_cur = needed;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// Reads the broken invariants from a gatekeeper's log. `request_unanswered` is ignored if the lab stopped the
// process, or paused it for longer than kShortPauseMs, which delays its answers.
std::vector<std::string> brokenInvariants(const fs::path& log, bool longStopped) {
  std::vector<std::string> out;
  std::ifstream in(log);
  for (std::string line; std::getline(in, line);) {
    const auto at = line.find("invariant broken: ");
    if (at == std::string::npos) continue;
    if (longStopped && line.find("request_unanswered", at) != std::string::npos) continue;
    out.push_back(log.stem().string() + ": " + line.substr(at));
  }
  return out;
}

}  // namespace

Fleet::Fleet(const Scenario& scenario, const RunOptions& options)
    : scenario_(scenario),
      options_(options),
      verifier_(scenario.attemptsCap),
      ports_(io_),
      links_(io_, scenario),
      clock_(io_),
      observed_{{}, {}, {}, {}, Figures(expectedFigures(scenario))},
      loadBalancer_(io_, gatekeepers_, clock_),
      load_(io_, scenario, gatekeepers_, clock_, verifier_, options.seed),
      misbehavingClients_(io_, scenario, gatekeepers_, clock_, verifier_,
                          options.seed ^ kMisbehavingClientsSeed) {
  double delay = 0;
  for (const Step& step : scenario.steps)
    if (step.kind == "delay" || step.kind == "throttle") delay = std::max(delay, step.delayMs + kThrottledMs);
  verifier_.setLinkDelay(delay);
  verifier_.exemptLateAnswersWhileDown(scenario.toleratesLateAnswers);
}

int Fleet::run() {
  fs::create_directories(options_.out);
  killOrphans(fs::path(options_.out) / "pids");
  clock_.restart();
  if (scenario_.store) startStore();
  for (int w = 0; w < scenario_.workers; ++w)
    workers_.push_back(std::make_unique<Worker>(
        io_, w, scenario_, verifier_, links_.origins(), [this] { return clock_.nowMs(); },
        options_.seed * 1000 + w));
  if (scenario_.replica) addPeerLinks();
  for (int g = 0; g < scenario_.gatekeepers; ++g) {
    std::vector<Agent::Entry> list;
    for (int w = 0; w < scenario_.workers; ++w) {
      const unsigned short port =
          scenario_.directWorkers ? workers_[w]->port() : links_.addToWorker(g, workers_[w]->port());
      list.push_back({std::string("w").append(std::to_string(w)), "127.0.0.1:" + std::to_string(port),
                      scenario_.zones[scenario_.zoneOf(w)], "Ready", 0});
    }
    agents_.push_back(std::make_unique<Agent>(io_, g, list, verifier_, [this] { return clock_.nowMs(); }));
    gatekeepers_.push_back(makeGatekeeper(g));
  }
  for (Gatekeeper& gatekeeper : gatekeepers_) launch(gatekeeper);
  if (scenario_.idle.each > 0) addIdleClients();
  checkHealth();
  // The load starts when every gatekeeper is in rotation, or after 15 s with those that are.
  waitForRotation();
  clock_.restart();
  for (const Step& step : scenario_.steps) clock_.at(step.atS, [this, step] { apply(step); });
  load_.scheduleNextArrival();
  misbehavingClients_.start();
  scheduleIdleClients();
  pollFigures();
  logProgress();
  if (store_) clock_.at(scenario_.lengthS + 0.5, [this] { queryRosters(); });
  if (scenario_.replica) clock_.at(scenario_.lengthS + 0.5, [this] { queryCopies(); });
  clock_.at(scenario_.lengthS + scenario_.deadlineMs / 1000 + kDrainS, [this] { finish(); });
  io_.run();
  return reportResults();
}

void Fleet::addIdleClients() {
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    if (!scenario_.idle.gatekeeper || *scenario_.idle.gatekeeper == gatekeeper.index)
      idleClients_[gatekeeper.index] = std::make_unique<IdleClients>(
          io_, gatekeeper.port, scenario_.idle, options_.seed * kIdleSeedStep + gatekeeper.index);
}

void Fleet::scheduleIdleClients() {
  for (const auto& [gatekeeper, clients] : idleClients_) {
    clock_.at(scenario_.idle.fromS, [&clients = *clients] { clients.start(); });
    clock_.at(scenario_.idle.untilS, [&clients = *clients] { clients.stop(); });
  }
}

void Fleet::addPeerLinks() {
  std::vector<unsigned short> ports;
  ports.reserve(scenario_.gatekeepers);
  for (int g = 0; g < scenario_.gatekeepers; ++g) ports.push_back(ports_.peers(g));
  links_.addBetweenPeers(ports);
}

GatekeeperPorts Fleet::addPorts(int g) {
  GatekeeperPorts out;
  out.listen = ports_.listen(g);
  out.discovery = links_.addToAgent(g, agents_[g]->port());
  if (store_) out.store = links_.addToStore(g, store_->port());
  if (!scenario_.replica) return out;
  out.listenPeers = ports_.peers(g);
  for (int other = 0; other < scenario_.gatekeepers; ++other)
    if (other != g) out.peers[other] = links_.toPeer(g, other);
  return out;
}

Gatekeeper Fleet::makeGatekeeper(int g) {
  Gatekeeper gatekeeper;
  const fs::path out = fs::absolute(options_.out);
  const std::string name = "g" + std::to_string(g);
  gatekeeper.index = g, gatekeeper.port = ports_.listen(g);
  gatekeeper.config = out / (name + ".json"), gatekeeper.log = out / (name + ".log");
  fs::remove(gatekeeper.log);  // an earlier run in this directory may have written it
  if (scenario_.faultLibrary)
    gatekeeper.faults = std::make_shared<FaultFile>(out / (name + ".faults"), scenario_.system);
  if (scenario_.inheritedSockets) {
    gatekeeper.listenFd = openListeningSocket(gatekeeper.port);
  }
  if (scenario_.inheritedSockets || scenario_.stateDirectories) {
    gatekeeper.state = out / (name + ".state");
    fs::remove_all(gatekeeper.state);
    fs::create_directories(gatekeeper.state);
  }
  // Every start, also a restart, uses the list of workers as it was before the first step.
  const json known = json::parse(agents_[g]->listJson(true, {}));
  std::ofstream(gatekeeper.config)
      << gatekeeperConfig(scenario_, g, addPorts(g), known, options_.seed).dump(1);
  return gatekeeper;
}

int Fleet::reportResults() {
  runRecord_.seed = options_.seed;
  runRecord_.notSent = load_.notSent();
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    for (std::string& line : brokenInvariants(gatekeeper.log, longStopped_.contains(gatekeeper.index)))
      runRecord_.invariants.push_back(std::move(line));
  runRecord_.failedCalls = failedCalls();
  for (const auto& worker : workers_) runRecord_.workerConnections += worker->accepted();
  for (const auto& agent : agents_) runRecord_.listBytes += agent->bytesSent();
  if (store_) runRecord_.store = StoreLoad{store_->calls(), store_->callsBySecond(), claims_};
  for (const auto& [g, clients] : idleClients_) observed_.idleClients[g] = clients->counts();
  runRecord_.idleClients = observed_.idleClients;
  const Expectations expectations(scenario_, verifier_, observed_);
  for (const Expectation& e : scenario_.expects)
    if (e.countName == "figure") runRecord_.figures.push_back({e.line, e.figure, expectations.figure(e)});
  runRecord_.unmet = expectations.unmet();
  writeReport(options_.out, scenario_, verifier_, runRecord_);
  return printReport(options_.out);
}

int play(const Scenario& scenario, const RunOptions& options) {
  if (::access(options.gatekeeperProgram.c_str(), X_OK) != 0)
    throw std::runtime_error("no executable gatekeeper program at " + options.gatekeeperProgram +
                             " (set --gatekeeper)");
  ensureDescriptorLimit(scenario);
  ::signal(SIGPIPE, SIG_IGN);
  return Fleet(scenario, options).run();
}

}  // namespace wingslip::lab
