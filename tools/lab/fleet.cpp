#include "fleet.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "expectations.hpp"
#include "front.hpp"
#include "gatekeeper_config.hpp"
#include "idle_clients.hpp"
#include "links.hpp"
#include "net.hpp"
#include "open_load.hpp"
#include "process.hpp"
#include "rough_clients.hpp"
#include "run_clock.hpp"
#include "run_report.hpp"
#include "store.hpp"

namespace wingslip::lab {
namespace fs = std::filesystem;
using Error = boost::system::error_code;
using nlohmann::json;

namespace {

constexpr double kTailS = 2;  // after the load, for the last answers
constexpr double kFiguresEveryS = 0.5;
constexpr double kShortPauseMs = 200;        // a process that stands still for less is held to every rule
constexpr double kFrontNoticesS = 0.3;       // after SIGTERM: until when new connections go on coming
constexpr double kEndsAfterTermS = 0.7 + 3;  // the platform's SIGKILL, at the longest deadline counted
constexpr int kLinksBesideWorkers = 4;
constexpr int kWorkersUsed = 48;  // by one gatekeeper of a large fleet
constexpr int kEachConnection = 3;
constexpr int kOtherDescriptors = 500;  // of the lab, beside those of idle clients
constexpr double kThrottledMs = 300;    // a request takes that long over a throttled link
constexpr std::uint64_t kRoughSeed = 0x2545f4914f6cdd1dULL;
constexpr std::uint64_t kIdleSeedStep = 104729;  // between the seeds of two runs' idle clients

// The lab's own descriptors: listeners of the fleet's links, three for each connection that a gatekeeper
// holds to a worker, one for each client. Throws where its limit does not hold them, and raises the soft one
// to it.
void checkDescriptors(const Scenario& s) {
  const int crowded = s.idle.gatekeeper ? 1 : s.gatekeepers;
  const long links =
      static_cast<long>(s.gatekeepers) * ((s.directWorkers ? 0 : s.workers) + kLinksBesideWorkers) +
      s.workers;
  const long connections = static_cast<long>(s.gatekeepers) * std::min(s.workers, kWorkersUsed);
  const long requests = std::lround(s.rate * s.deadlineMs / 1000);
  const auto needed =
      static_cast<rlim_t>(s.idle.each * crowded + links + kEachConnection * connections +
                          std::min<long>(requests, s.mostInFlight) + s.rough.clients + kOtherDescriptors);
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < needed)
    throw std::runtime_error("this fleet needs some " + std::to_string(needed) +
                             " descriptors of the lab, and its limit is " + std::to_string(limit.rlim_max) +
                             ": fewer gatekeepers, workers or clients");
  if (limit.rlim_cur >= needed) return;
  limit.rlim_cur = needed;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

// What gatekeepers' logs say of broken invariants. One that answers late because the lab stopped its process
// for long is not to blame for that.
std::vector<std::string> brokenInvariants(const fs::path& log, bool stoppedForLong) {
  std::vector<std::string> out;
  std::ifstream in(log);
  for (std::string line; std::getline(in, line);) {
    const auto at = line.find("invariant broken: ");
    if (at == std::string::npos) continue;
    if (stoppedForLong && line.find("request_unanswered", at) != std::string::npos) continue;
    out.push_back(log.stem().string() + ": " + line.substr(at));
  }
  return out;
}

class Fleet {
 public:
  Fleet(const Scenario& s, const RunOptions& o)
      : s_(s),
        o_(o),
        judge_(s.attemptsCap),
        ports_(io_),
        links_(io_, s),
        clock_(io_),
        observed_{{}, {}, {}, {}, Figures(expectedFigures(s))},
        front_(io_, gatekeepers_, clock_),
        load_(io_, s, gatekeepers_, clock_, judge_, o.seed),
        rough_(io_, s, gatekeepers_, clock_, judge_, o.seed ^ kRoughSeed) {
    double delay = 0;
    for (const Step& step : s.steps)
      if (step.what == "delay" || step.what == "throttle")
        delay = std::max(delay, step.delayMs + kThrottledMs);
    judge_.linksDelay(delay);
    judge_.lateIsExcusedWhileDown(s.clientsMayWait);
  }

  int run() {
    fs::create_directories(o_.out);
    endLeftBehind(fs::path(o_.out) / "pids");
    clock_.restart();
    if (s_.store) startStore();
    for (int w = 0; w < s_.workers; ++w)
      workers_.push_back(std::make_unique<Worker>(
          io_, w, s_, judge_, links_.origins(), [this] { return clock_.nowMs(); }, o_.seed * 1000 + w));
    if (s_.replica) addPeerLinks();
    for (int g = 0; g < s_.gatekeepers; ++g) {
      std::vector<Agent::Entry> list;
      for (int w = 0; w < s_.workers; ++w) {
        const unsigned short port =
            s_.directWorkers ? workers_[w]->port() : links_.addToWorker(g, workers_[w]->port());
        list.push_back({std::string("w").append(std::to_string(w)), "127.0.0.1:" + std::to_string(port),
                        s_.zones[s_.zoneOf(w)], "Ready", 0});
      }
      agents_.push_back(std::make_unique<Agent>(io_, g, list, judge_, [this] { return clock_.nowMs(); }));
      gatekeepers_.push_back(configured(g));
    }
    for (Gatekeeper& gk : gatekeepers_) launch(gk);
    if (s_.idle.each > 0) addIdleClients();
    health();
    // The load begins once every gatekeeper is in the front, or after 15 s with those that are.
    waitForFront();
    clock_.restart();
    for (const Step& step : s_.steps) clock_.at(step.atS, [this, step] { apply(step); });
    load_.arrive();
    rough_.start();
    playIdleClients();
    askFigures();
    progress();
    if (store_) clock_.at(s_.lengthS + 0.5, [this] { askRosters(); });
    if (s_.replica) clock_.at(s_.lengthS + 0.5, [this] { askCopies(); });
    clock_.at(s_.lengthS + s_.deadlineMs / 1000 + kTailS, [this] { finish(); });
    io_.run();
    return verdict();
  }

 private:
  void startStore() {
    store_ = std::make_unique<Store>(io_, [from = Clock::now()] {
      return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
    });
    store_->onSet = [this](const std::string& key, const std::string& value,
                           const std::vector<std::string>& members) {
      const json record = json::parse(value, nullptr, false);
      if (key != "lab/duties/roster/record" || !record.is_object()) return;
      const std::string holder = record.value("holder", "");
      if (judge_.recorded(record.value("token", std::uint64_t{0}), holder, clock_.nowMs())) {
        // members/gN/INSTANCE names the gatekeeper behind the instance.
        int gatekeeper = -1;
        for (const std::string& member : members)
          if (member.ends_with("/" + holder))
            gatekeeper = std::atoi(member.c_str() + std::string("lab/members/g").size());
        spdlog::info("event=claim token={} gatekeeper={} at_ms={:.0f}", record["token"].dump(), gatekeeper,
                     clock_.nowMs());
        holder_ = std::max(0, gatekeeper);
        observed_.noted.push_back({"claims", gatekeeper, clock_.nowMs()});
        claims_.push_back({clock_.nowMs(), gatekeeper, record["token"].get<std::uint64_t>()});
        record_.marks.push_back({clock_.nowMs() / 1000, "g" + std::to_string(gatekeeper) + " holds"});
      }
      const json roster = json::parse(record.value("data", ""), nullptr, false);
      if (!roster.is_object()) return;
      std::map<std::string, long> counts;
      for (const auto& [name, row] : roster["rows"].items()) ++counts[row[0].get<std::string>()];
      observed_.rosters.push_back({clock_.nowMs(), counts});
      rosterVersion_ = roster.value("version", std::uint64_t{0});
    };
  }

  // Whether every gatekeeper tells its operators the roster as last recorded.
  void askRosters() {
    for (const Gatekeeper& gk : gatekeepers_)
      if (gk.now.pid > 0)
        askOps(io_, gk.now.ops, "roster", [this, g = gk.index](const std::string& answer) {
          const std::string version = " version=" + std::to_string(rosterVersion_) + " ";
          if (answer.rfind("200" + version, 0) == 0)
            observed_.noted.push_back({"roster_agreed", g, clock_.nowMs()});
        });
  }

  // The copy of the shared state that each gatekeeper tells its operators of.
  void askCopies() {
    for (const Gatekeeper& gk : gatekeepers_)
      if (gk.now.pid > 0)
        askOps(io_, gk.now.ops, "replica", [this](const std::string& answer) {
          if (answer.rfind("200 copy=", 0) == 0) ++observed_.copies[answer.substr(9, 16)];
        });
  }

  // What gatekeepers tell operators of the figures expected: asked of all of them in every period.
  void askFigures() {
    if (finishing_ || !observed_.figures.wanted()) return;
    for (const Gatekeeper& gk : gatekeepers_)
      if (gk.now.pid > 0)
        askOps(io_, gk.now.ops, "telemetry", [this, g = gk.index](const std::string& answer) {
          observed_.figures.told(g, clock_.nowMs(), answer);
        });
    clock_.at(clock_.nowMs() / 1000 + kFiguresEveryS, [this] { askFigures(); });
  }

  void addIdleClients() {
    for (const Gatekeeper& gk : gatekeepers_)
      if (!s_.idle.gatekeeper || *s_.idle.gatekeeper == gk.index)
        idleClients_[gk.index] =
            std::make_unique<IdleClients>(io_, gk.port, s_.idle, o_.seed * kIdleSeedStep + gk.index);
  }

  void playIdleClients() {
    for (const auto& [gatekeeper, clients] : idleClients_) {
      clock_.at(s_.idle.fromS, [&clients = *clients] { clients.start(); });
      clock_.at(s_.idle.untilS, [&clients = *clients] { clients.stop(); });
    }
  }

  void storeFault(const std::string& what) {
    if (what == "store_stop") store_->stop();
    if (what == "store_start") store_->startAgain();
    if (what == "store_wipe") store_->wipe();
    if (what == "store_save") store_->save();
    if (what == "store_old") store_->restore();
    if (what == "store_silent") store_->set(Store::Mode::silent);
    if (what == "store_errors") store_->set(Store::Mode::errors);
    if (what == "store_lose") store_->set(Store::Mode::losesAnswers);
    if (what == "store_ok") store_->set(Store::Mode::well);
  }

  void addPeerLinks() {
    std::vector<unsigned short> ports;
    ports.reserve(s_.gatekeepers);
    for (int g = 0; g < s_.gatekeepers; ++g) ports.push_back(ports_.peers(g));
    links_.addBetweenPeers(ports);
  }

  // The ports of a gatekeeper whose agent runs; adds its links to that and to the store.
  GatekeeperPorts addPorts(int g) {
    GatekeeperPorts out;
    out.listen = ports_.listen(g);
    out.discovery = links_.addToAgent(g, agents_[g]->port());
    if (store_) out.store = links_.addToStore(g, store_->port());
    if (!s_.replica) return out;
    out.listenPeers = ports_.peers(g);
    for (int other = 0; other < s_.gatekeepers; ++other)
      if (other != g) out.peers[other] = links_.toPeer(g, other);
    return out;
  }

  // The gatekeeper's files, and its listening socket where the lab holds it.
  Gatekeeper configured(int g) {
    Gatekeeper gk;
    const fs::path out = fs::absolute(o_.out);
    const std::string name = "g" + std::to_string(g);
    gk.index = g, gk.port = ports_.listen(g);
    gk.config = out / (name + ".json"), gk.log = out / (name + ".log");
    fs::remove(gk.log);  // of an earlier run in this folder
    if (s_.faultLibrary) gk.faults = std::make_shared<FaultFile>(out / (name + ".faults"), s_.system);
    if (s_.heldSockets) {
      gk.held = holdSocket(gk.port);
    }
    if (s_.heldSockets || s_.stateFolders) {
      gk.state = out / (name + ".state");
      fs::remove_all(gk.state);
      fs::create_directories(gk.state);
    }
    // As before the first step, at each start.
    const json known = json::parse(agents_[g]->listJson(true, {}));
    std::ofstream(gk.config) << gatekeeperConfig(s_, g, addPorts(g), known, o_.seed).dump(1);
    return gk;
  }

  void launch(Gatekeeper& gk) {
    gk.now = start(gk, ports_, o_.gatekeeperProgram);
    agents_[gk.index]->gatekeeperStarts();
    gk.stopped = false, gk.inFront = false, gk.finishing = false, gk.misses = 0;
    std::ofstream(fs::path(o_.out) / "pids", std::ios::app) << gk.now.pid << "\n";
  }

  // A process of the same gatekeeper beside the one that runs; when it says that it is ready, the old one is
  // told to end.
  void upgrade(Gatekeeper& gk) {
    if (gk.old.pid > 0) return;  // one upgrade at a time
    gk.old = std::exchange(gk.now, start(gk, ports_, o_.gatekeeperProgram));
    std::ofstream(fs::path(o_.out) / "pids", std::ios::app) << gk.now.pid << "\n";
    awaitReady(gk.index, gk.now.pid);
  }

  void awaitReady(int g, pid_t pid) {
    askOps(io_, gatekeepers_[g].now.ops, "readyz", [this, g, pid](const std::string& answer) {
      Gatekeeper& gk = gatekeepers_[g];
      if (finishing_ || gk.now.pid != pid) return;
      if (answer.rfind("200", 0) == 0) {
        spdlog::info("event=upgraded gatekeeper={} at_ms={:.0f}", g, clock_.nowMs());
        if (gk.old.pid > 0) ::kill(gk.old.pid, SIGTERM);
        return;
      }
      clock_.at(clock_.nowMs() / 1000 + 0.05, [this, g, pid] { awaitReady(g, pid); });
    });
  }

  // Reads its configuration file again, with the step's patch.
  void hup(Gatekeeper& gk, const std::string& patch) {
    if (!patch.empty()) patchConfig(gk.config, patch);
    signal(gk, SIGHUP);
  }

  // Held up by its machine for a moment.
  void pause(Gatekeeper& gk, double forMs) {
    if (gk.now.pid <= 0 || gk.stopped) return;
    if (forMs > kShortPauseMs) stoppedForLong_.insert(gk.index);
    signal(gk, SIGSTOP);
    clock_.at(clock_.nowMs() / 1000 + forMs / 1000, [this, &gk, pid = gk.now.pid] {
      if (gk.now.pid == pid && !gk.stopped) signal(gk, SIGCONT);
    });
  }

  // Told to end as a platform does it: clients go on coming for a moment, and nothing is excused.
  void finishInOrder(Gatekeeper& gk) {
    if (gk.now.pid <= 0 || gk.finishing) return;
    ended_.insert(gk.index);
    gk.finishing = true;
    signal(gk, SIGTERM);
    const pid_t pid = gk.now.pid;
    clock_.at(clock_.nowMs() / 1000 + kFrontNoticesS, [&gk, pid] {
      if (gk.now.pid == pid) gk.inFront = false;
    });
    clock_.at(clock_.nowMs() / 1000 + kEndsAfterTermS, [this, &gk, pid] {
      if (gk.now.pid != pid || finishing_) return;
      record_.crashes.push_back("gatekeeper " + std::to_string(gk.index) + " still runs after SIGTERM and " +
                                std::to_string(kEndsAfterTermS) + " s");
    });
  }

  void signal(Gatekeeper& gk, int number) {
    if (gk.now.pid > 0) ::kill(gk.now.pid, number);
  }

  // Reaps the gatekeepers that ended; one that ended by itself, not by the lab's fault, crashed.
  void reap() {
    for (Gatekeeper& gk : gatekeepers_) {
      int status = 0;
      if (gk.old.pid > 0 && ::waitpid(gk.old.pid, &status, WNOHANG) == gk.old.pid) {
        gk.old = {};
        if (status == 0)
          observed_.noted.push_back({"upgrades", gk.index, clock_.nowMs()});
        else
          record_.crashes.push_back("upgrade of gatekeeper " + std::to_string(gk.index) +
                                    ": the old process ended with " + std::to_string(status));
      }
      if (gk.now.pid <= 0 || ::waitpid(gk.now.pid, &status, WNOHANG) != gk.now.pid) continue;
      gk.now = {};
      if (gk.finishing) {
        judge_.down(gk.index, clock_.nowMs());
        if (status != 0)
          record_.crashes.push_back("gatekeeper " + std::to_string(gk.index) +
                                    " was told to end and ended with status " + std::to_string(status));
      }
      const bool byLab = ended_.contains(gk.index);
      if (!byLab && !finishing_) {
        record_.crashes.push_back("gatekeeper " + std::to_string(gk.index) + " ended by itself, status " +
                                  std::to_string(status));
        judge_.down(gk.index, clock_.nowMs());
      }
    }
  }

  // One line every 10 s of a long run.
  void progress() {
    clock_.at(clock_.nowMs() / 1000 + 10, [this] {
      if (finishing_) return;
      ProcessUse all;
      int running = 0;
      for (const Gatekeeper& gk : gatekeepers_) {
        if (gk.now.pid <= 0) continue;
        const ProcessUse use = useOf(gk.now.pid);
        all.residentKb += use.residentKb, all.descriptors += use.descriptors;
        ++running;
      }
      const double n = std::max(1, running);
      spdlog::info(
          "event=progress at_s={:.0f} of_s={} sent={} in_flight={} not_sent={} running={} each_kb={:.0f} "
          "each_descriptors={:.1f}",
          clock_.nowMs() / 1000, s_.lengthS, judge_.requests().size(), load_.inFlight(), load_.notSent(),
          running, static_cast<double>(all.residentKb) / n, static_cast<double>(all.descriptors) / n);
      progress();
    });
  }

  // Looks at each gatekeeper in every period: its process, and its health for the front.
  void health() {
    reap();
    front_.check();
    if (finishing_) return;
    auto next = std::make_shared<asio::steady_timer>(io_, kHealthEvery);
    next->async_wait([this, next](const Error&) { health(); });
  }

  void waitForFront() {
    const auto limit = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < limit) {
      io_.run_for(std::chrono::milliseconds(100));
      if (front_.allIn()) return;
    }
    spdlog::warn("event=not_all_ready after_s=15");
  }

  void apply(const Step& asked) {
    Step step = asked;
    if (step.role == "holder") former_ = holder_;
    if (!step.role.empty()) step.gatekeeper = former_;
    spdlog::info("event=step at_s={} do={} gatekeeper={} worker={} zone={}", step.atS, step.what,
                 step.gatekeeper.value_or(-1), step.worker.value_or(-1), step.zone.value_or("-"));
    record_.steps.push_back({step.atS, step.what, step.line});
    record_.marks.push_back({step.atS, labelOf(step)});
    if (step.what.rfind("store_", 0) == 0) return storeFault(step.what);
    if (const auto mode = linkModeOf(step.what)) {
      links_.set(step, *mode);
      if (step.link == "discovery") setHeard(step, *mode);
      return;
    }
    if (step.what == "exclude" || step.what == "include") {
      const int g = *step.gatekeeper, w = *step.worker;
      if (step.what == "include") judge_.included(g, w);
      askOps(io_, gatekeepers_[g].now.ops, step.what + " w" + std::to_string(w),
             [this, step, g, w, pid = gatekeepers_[g].now.pid](const std::string& answer) {
               const bool inForce =
                   answer.rfind("200", 0) == 0 || answer.find("not kept yet") != std::string::npos;
               if (step.what == "exclude" && inForce) judge_.excluded(g, w, clock_.nowMs());
               const bool ended = pid <= 0 || gatekeepers_[g].now.pid != pid || gatekeepers_[g].stopped;
               if (answer.rfind("200", 0) != 0 && !ended && !diskFails_.contains(g))
                 record_.crashes.push_back("line " + std::to_string(step.line) + ": " + step.what +
                                           " was answered " +
                                           (answer.empty() ? "nothing" : answer.substr(0, 60)));
             });
      return;
    }
    if (step.what == "calls" || step.what == "clock_step" || step.what == "disk") return systemFault(step);
    if (step.gatekeeper && !step.worker && !step.zone) {
      Gatekeeper& gk = gatekeepers_[*step.gatekeeper];
      const int g = gk.index;
      if (step.what == "kill") ended_.insert(g), judge_.down(g, clock_.nowMs()), signal(gk, SIGKILL);
      if (step.what == "term") ended_.insert(g), judge_.down(g, clock_.nowMs()), signal(gk, SIGTERM);
      if (step.what == "stop") judge_.down(g, clock_.nowMs()), signal(gk, SIGSTOP), gk.stopped = true;
      if (step.what == "cont") signal(gk, SIGCONT), judge_.up(g, clock_.nowMs()), gk.stopped = false;
      if (step.what == "pause") pause(gk, step.forMs);
      if (step.what == "finish") finishInOrder(gk);
      if (step.what == "watch_end") agents_[g]->endWatches();
      if (step.what == "watch_silent") agents_[g]->silenceWatches();
      if (step.what == "discovery_crowded" || step.what == "discovery_ok")
        agents_[g]->setCrowded(step.what == "discovery_crowded");
      if (step.what == "stop") stoppedForLong_.insert(g);
      if (step.what == "hup") hup(gk, step.patch);
      if (step.what == "upgrade") upgrade(gk);
      if (step.what == "invalidate") store_->invalidate("g" + std::to_string(g));
      if (step.what == "restart") {
        if (gk.now.pid > 0) signal(gk, SIGKILL), ::waitpid(gk.now.pid, nullptr, 0), gk.now = {};
        ended_.erase(g);
        judge_.down(g, clock_.nowMs());
        launch(gk);
        judge_.up(g, clock_.nowMs());
      }
      if (step.what == "agent_down" || step.what == "agent_up")
        agents_[g]->setDown(step.what == "agent_down");
      return;
    }
    for (int w = 0; w < s_.workers; ++w) {
      if (step.worker ? *step.worker != w : s_.zones[s_.zoneOf(w)] != *step.zone) continue;
      Worker& worker = *workers_[w];
      if (step.what == "drain" || step.what == "revive") {
        worker.mode.draining = step.what == "drain";
        worker.mode.silent = false;
        for (auto& agent : agents_) agent->change(w, worker.mode.draining ? "Terminating" : "Ready", 0);
      }
      if (step.what == "silent") worker.mode.silent = true;
      if (step.what == "restart_worker") {
        worker.restart();
        const double wall =
            std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        for (auto& agent : agents_) agent->change(w, "Ready", wall);
      }
    }
  }

  // Of one gatekeeper's system, or of all.
  void systemFault(const Step& step) {
    for (const Gatekeeper& gk : gatekeepers_) {
      if (step.gatekeeper && *step.gatekeeper != gk.index) continue;
      if (step.call) gk.faults->setShare(*step.call, step.share);
      if (step.what == "clock_step") gk.faults->stepWallClock(step.stepMs);
      if (step.what != "disk") continue;
      gk.faults->setDiskError(step.diskError);
      step.diskError != 0 ? void(diskFails_.insert(gk.index)) : void(diskFails_.erase(gk.index));
    }
  }

  // Calls that the fault library failed, in all gatekeepers.
  std::map<std::string, std::uint64_t> failedCalls() const {
    std::map<std::string, std::uint64_t> out;
    for (const Gatekeeper& gk : gatekeepers_) {
      if (!gk.faults) continue;
      for (const auto& [kind, n] : gk.faults->injected())
        out[kCallFaultNames[static_cast<std::size_t>(kind)]] += n;
      if (const std::uint64_t n = gk.faults->diskFailed()) out["disk"] += n;
    }
    return out;
  }

  // Whether gatekeepers can reach their agents over links in this mode.
  void setHeard(const Step& step, LinkMode mode) {
    const bool heard = mode == LinkMode::pass || mode == LinkMode::delay || mode == LinkMode::throttle;
    for (int g = 0; g < s_.gatekeepers; ++g)
      if (!step.gatekeeper || *step.gatekeeper == g) agents_[g]->setHeard(heard);
  }

  static std::string labelOf(const Step& step) {
    std::string out = step.what;
    if (step.gatekeeper) out += " g" + std::to_string(*step.gatekeeper);
    if (step.worker) out += " w" + std::to_string(*step.worker);
    if (step.zone) out += " zone " + *step.zone;
    return out;
  }

  void finish() {
    finishing_ = true;
    for (const Gatekeeper& gk : gatekeepers_) measure(gk);
    for (Gatekeeper& gk : gatekeepers_) {
      if (gk.stopped) signal(gk, SIGCONT);
      signal(gk, SIGTERM);
    }
    judge_.close(clock_.nowMs());
    const auto limit = Clock::now() + std::chrono::seconds(5);
    for (Gatekeeper& gk : gatekeepers_) {
      for (Process* one : {&gk.now, &gk.old}) {
        while (one->pid > 0 && Clock::now() < limit && ::waitpid(one->pid, nullptr, WNOHANG) == 0)
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (one->pid > 0 && ::waitpid(one->pid, nullptr, WNOHANG) == 0) {
          spdlog::warn("event=kill_at_end gatekeeper={} pid={}", gk.index, one->pid);
          ::kill(one->pid, SIGKILL);
          ::waitpid(one->pid, nullptr, 0);
        }
        *one = {};
      }
    }
    fs::remove(fs::path(o_.out) / "pids");
    io_.stop();
  }

  // What a gatekeeper that runs has used, from /proc.
  void measure(const Gatekeeper& gk) {
    if (gk.now.pid <= 0) return;
    const ProcessUse use = useOf(gk.now.pid);
    record_.mostKb = std::max(record_.mostKb, use.peakKb);
    record_.mostDescriptors = std::max(record_.mostDescriptors, use.descriptors);
    ++record_.measured;
    record_.all.cpuS += use.cpuS, record_.all.peakKb += use.peakKb,
        record_.all.descriptors += use.descriptors;
  }

  int verdict() {
    record_.seed = o_.seed;
    record_.notSent = load_.notSent();
    for (const Gatekeeper& gk : gatekeepers_)
      for (std::string& line : brokenInvariants(gk.log, stoppedForLong_.contains(gk.index)))
        record_.invariants.push_back(std::move(line));
    record_.failedCalls = failedCalls();
    for (const auto& worker : workers_) record_.workerConnections += worker->accepted();
    for (const auto& agent : agents_) record_.listBytes += agent->bytesSaid();
    if (store_) record_.store = StoreUse{store_->calls(), store_->callsBySecond(), claims_};
    for (const auto& [g, clients] : idleClients_) observed_.idleClients[g] = clients->counts();
    record_.idleClients = observed_.idleClients;
    const Expectations expectations(s_, judge_, observed_);
    for (const Expect& e : s_.expects)
      if (e.fate == "figure") record_.figures.push_back({e.line, e.figure, expectations.figure(e)});
    record_.unmet = expectations.unmet();
    writeReport(o_.out, s_, judge_, record_);
    return printReport(o_.out);
  }

  const Scenario& s_;
  const RunOptions& o_;
  asio::io_context io_;
  Judge judge_;
  Ports ports_;
  Links links_;
  RunClock clock_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::unique_ptr<Store> store_;
  std::vector<Gatekeeper> gatekeepers_;
  std::map<int, std::unique_ptr<IdleClients>> idleClients_;  // by gatekeeper
  Observations observed_;
  Front front_;
  OpenLoad load_;
  RoughClients rough_;
  std::set<int> ended_, stoppedForLong_, diskFails_;  // gatekeepers
  RunRecord record_;
  std::vector<Claim> claims_;
  std::uint64_t rosterVersion_ = 0;
  int holder_ = 0, former_ = 0;  // of the duty: the last that claimed it, and whom the last step meant
  bool finishing_ = false;
};

}  // namespace

int play(const Scenario& scenario, const RunOptions& options) {
  if (::access(options.gatekeeperProgram.c_str(), X_OK) != 0)
    throw std::runtime_error("no program to start at " + options.gatekeeperProgram + " (set --gatekeeper)");
  checkDescriptors(scenario);
  ::signal(SIGPIPE, SIG_IGN);
  return Fleet(scenario, options).run();
}

}  // namespace wingslip::lab
