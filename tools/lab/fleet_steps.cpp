/// Applies a scenario's steps to the running fleet.
#include <signal.h>
#include <spdlog/spdlog.h>

#include <chrono>

#include "fleet_run.hpp"

namespace wingslip::lab {

void Fleet::apply(const Step& planned) {
  Step step = planned;
  if (step.role == "holder") roleTarget_ = leader_;
  if (!step.role.empty()) step.gatekeeper = roleTarget_;
  spdlog::info("event=step at_s={} do={} gatekeeper={} worker={} zone={}", step.atS, step.kind,
               step.gatekeeper.value_or(-1), step.worker.value_or(-1), step.zone.value_or("-"));
  runRecord_.steps.push_back({step.atS, step.kind, step.line});
  runRecord_.marks.push_back({step.atS, labelOf(step)});
  if (step.kind.rfind("store_", 0) == 0) return applyStoreFault(step.kind);
  if (const auto mode = linkModeOf(step.kind)) return applyLinkFault(step, *mode);
  if (step.kind == "exclude" || step.kind == "include") return callOperator(step);
  if (step.kind == "calls" || step.kind == "clock_step" || step.kind == "disk") return applySystemFault(step);
  if (step.gatekeeper && !step.worker && !step.zone) return applyGatekeeperFault(step);
  applyWorkerFault(step);
}

void Fleet::applyLinkFault(const Step& step, LinkMode mode) {
  links_.set(step, mode);
  if (step.link == "discovery") setDiscoveryReachable(step, mode);
}

void Fleet::callOperator(const Step& step) {
  const int index = *step.gatekeeper;
  const int worker = *step.worker;
  if (step.kind == "include") verifier_.workerIncluded(index, worker);
  const pid_t pid = gatekeepers_[index].current.pid;
  callOperatorsPort(io_, gatekeepers_[index].current.ops, step.kind + " w" + std::to_string(worker),
                    [this, step, pid](const std::string& answer) { checkOperatorAnswer(step, pid, answer); });
}

void Fleet::checkOperatorAnswer(const Step& step, pid_t pid, const std::string& answer) {
  const int index = *step.gatekeeper;
  const bool accepted = answer.rfind("200", 0) == 0;
  const bool inForce = accepted || answer.find("not kept yet") != std::string::npos;
  if (step.kind == "exclude" && inForce) verifier_.workerExcluded(index, *step.worker, clock_.nowMs());
  const bool processEnded = pid <= 0 || gatekeepers_[index].current.pid != pid || gatekeepers_[index].stopped;
  if (accepted || processEnded || diskFaults_.contains(index)) return;
  runRecord_.crashes.push_back("line " + std::to_string(step.line) + ": " + step.kind +
                               ": the operators' port answered " +
                               (answer.empty() ? "nothing" : answer.substr(0, 60)));
}

void Fleet::applyGatekeeperFault(const Step& step) {
  Gatekeeper& gatekeeper = gatekeepers_[*step.gatekeeper];
  const std::string& kind = step.kind;
  if (kind == "kill") return endByLab(gatekeeper, SIGKILL);
  if (kind == "term") return endByLab(gatekeeper, SIGTERM);
  if (kind == "stop") return stopProcess(gatekeeper);
  if (kind == "cont") return continueProcess(gatekeeper);
  if (kind == "restart") return restartProcess(gatekeeper);
  if (kind == "pause") return pauseProcess(gatekeeper, step.forMs);
  if (kind == "finish") return shutDownGracefully(gatekeeper);
  if (kind == "finish_kill") return shutDownAndKill(gatekeeper);
  if (kind == "hup") return reloadConfig(gatekeeper, step.patch);
  if (kind == "upgrade") return upgrade(gatekeeper);
  if (kind == "invalidate") return store_->invalidate("g" + std::to_string(gatekeeper.index));
  applyAgentFault(*agents_[gatekeeper.index], kind);
}

void Fleet::applyAgentFault(Agent& agent, const std::string& kind) {
  if (kind == "watch_end") agent.endWatches();
  if (kind == "watch_silent") agent.silenceWatches();
  if (kind == "discovery_crowded") agent.setRejecting(true);
  if (kind == "discovery_ok") agent.setRejecting(false);
  if (kind == "agent_down") agent.setDown(true);
  if (kind == "agent_up") agent.setDown(false);
}

void Fleet::applyWorkerFault(const Step& step) {
  for (int w = 0; w < scenario_.workers; ++w) {
    const bool isTarget =
        step.worker ? *step.worker == w : scenario_.zones[scenario_.zoneOf(w)] == *step.zone;
    if (isTarget) applyWorkerFault(step.kind, w);
  }
}

void Fleet::applyWorkerFault(const std::string& kind, int index) {
  Worker& worker = *workers_[index];
  if (kind == "drain" || kind == "revive") {
    worker.mode.draining = kind == "drain";
    worker.mode.silent = false;
    for (auto& agent : agents_) agent->change(index, worker.mode.draining ? "Terminating" : "Ready", 0);
  }
  if (kind == "silent") worker.mode.silent = true;
  if (kind == "restart_worker") {
    worker.restart();
    const double wallMs =
        std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    for (auto& agent : agents_) agent->change(index, "Ready", wallMs);
  }
}

void Fleet::applyStoreFault(const std::string& kind) {
  if (kind == "store_stop") store_->stop();
  if (kind == "store_start") store_->resume();
  if (kind == "store_wipe") store_->wipe();
  if (kind == "store_save") store_->save();
  if (kind == "store_old") store_->restore();
  if (kind == "store_silent") store_->set(Store::Mode::silent);
  if (kind == "store_errors") store_->set(Store::Mode::errors);
  if (kind == "store_lose") store_->set(Store::Mode::losesAnswers);
  if (kind == "store_ok") store_->set(Store::Mode::normal);
}

void Fleet::applySystemFault(const Step& step) {
  for (const Gatekeeper& gatekeeper : gatekeepers_) {
    if (step.gatekeeper && *step.gatekeeper != gatekeeper.index) continue;
    if (step.call) gatekeeper.faults->setShare(*step.call, step.share);
    if (step.kind == "clock_step") gatekeeper.faults->stepWallClock(step.stepMs);
    if (step.kind != "disk") continue;
    gatekeeper.faults->setDiskError(step.diskError);
    step.diskError != 0 ? void(diskFaults_.insert(gatekeeper.index))
                        : void(diskFaults_.erase(gatekeeper.index));
  }
}

void Fleet::setDiscoveryReachable(const Step& step, LinkMode mode) {
  const bool reachable = mode == LinkMode::pass || mode == LinkMode::delay || mode == LinkMode::throttle;
  for (int g = 0; g < scenario_.gatekeepers; ++g)
    if (!step.gatekeeper || *step.gatekeeper == g) agents_[g]->setReachable(reachable);
}

std::string Fleet::labelOf(const Step& step) {
  std::string out = step.kind;
  if (step.gatekeeper) out += " g" + std::to_string(*step.gatekeeper);
  if (step.worker) out += " w" + std::to_string(*step.worker);
  if (step.zone) out += " zone " + *step.zone;
  return out;
}

}  // namespace wingslip::lab
