// Implementation of overload control on the event loop.
#include "net/overload_manager.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstddef>

#include "net/log.hpp"

namespace wingslip {
namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr double kLagIntervalMs = 10;           // minimum time between two lag samples
constexpr auto kOverloadTickInterval = 50ms;    // timer interval during an overload
constexpr auto kPeerCheckTickInterval = 250ms;  // timer interval otherwise, for paused or watched reads
constexpr double kPeerCheckIntervalMs = 250;
// Reads of an account for which memory may be insufficient before a pass over its paused reads ends.
constexpr std::size_t kMaxFailedResumes = 4;
constexpr double kMinUsageForResume = 0.5;  // below this usage share no connection waits for memory

std::uint64_t metricValueOf(OverloadLevel level) { return static_cast<std::uint64_t>(level); }

// The level's name in the log.
const char* nameOf(OverloadLevel level) {
  static constexpr std::array<const char*, kOverloadLevels> kNames{"none", "slow", "shed"};
  return kNames[static_cast<std::size_t>(level)];
}

}  // namespace

OverloadManager::OverloadManager(asio::io_context& io, const MemoryBudget::Shares& shares,
                                 const OverloadState::Limits& limits)
    : io_(io), memory_(shares), state_(limits), tickTimer_(io), lagTimer_(io) {
  memory_.setCallbacks(
      limits.memory.low, limits.memory.high, [this] { postEvaluation(); }, [this] { postResume(); });
  waitQueues_.setExternalSource(WaitQueue::eventLoop, [this](double) {
    WaitQueues::Statistics statistics;
    statistics.waiting = isMeasuringLag_;
    statistics.oldestMs = lagMs_;
    statistics.peak = static_cast<std::size_t>(peakLagMs_);
    return statistics;
  });
}

OverloadManager::~OverloadManager() { *alive_ = false; }

double OverloadManager::now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void OverloadManager::start(DescriptorUsage descriptorUsage, OnChange onChange) {
  descriptorUsage_ = std::move(descriptorUsage);
  onChange_ = std::move(onChange);
}

// --- Overload --------------------------------------------------------------------------------------------

void OverloadManager::onActivity() {
  if (!isMeasuringLag_ && now() - lagMeasurementStartedAt_ >= kLagIntervalMs) measureLag();
}

// Measures with a timer that is already due: it runs after the ready handlers and those of the sockets that
// the event loop then finds ready. A posted handler would not include the time spent on the latter.
void OverloadManager::measureLag() {
  isMeasuringLag_ = true;
  lagMeasurementStartedAt_ = now();
  lagTimer_.expires_after(0ms);
  lagTimer_.async_wait([this](const Error& error) {
    if (error) return;
    isMeasuringLag_ = false;
    const double measuredAt = now();
    onLagMeasured(measuredAt, measuredAt - lagMeasurementStartedAt_);
  });
}

void OverloadManager::onLagMeasured(double measuredAt, double lagMs) {
  lagMs_ = lagMs;
  peakLagMs_ = std::max(peakLagMs_, lagMs);
  const bool wasNormal = state_.isNormal();
  state_.onLoopDelay(measuredAt, lagMs);
  if (!wasNormal || !state_.isNormal()) evaluate();
}

void OverloadManager::onDescriptorUsageChanged() {
  const bool aboveMark = descriptorUsage_ && descriptorUsage_() >= state_.limits().descriptors.high;
  if (aboveMark != areDescriptorsOverloaded()) postEvaluation();
}

void OverloadManager::postEvaluation() {
  if (std::exchange(evaluationPosted_, true)) return;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) evaluate();
  });
}

void OverloadManager::evaluate() {
  evaluationPosted_ = false;
  const double evaluatedAt = now();
  const bool memoryWasOverloaded = isMemoryOverloaded();
  const MemoryBudget::Usage usage = memory_.highestUsage();
  state_.onUsage(evaluatedAt, OverloadSource::memory, static_cast<double>(usage.used),
                 static_cast<double>(usage.limit));
  if (descriptorUsage_) state_.onUsage(evaluatedAt, OverloadSource::descriptors, descriptorUsage_(), 1);
  const bool changed = state_.level() != reportedLevel_ || state_.rejectShare() != reportedRejectShare_;
  reportedLevel_ = state_.level();
  reportedRejectShare_ = state_.rejectShare();
  const double excessBytes = state_.takeExcessBytes(evaluatedAt);
  if ((changed || excessBytes > 0) && onChange_) onChange_(excessBytes);
  if (memoryWasOverloaded && !isMemoryOverloaded()) postResume();
  if (!state_.isNormal()) scheduleTick();
}

// --- Paused reads ----------------------------------------------------------------------------------------

void OverloadManager::pauseUntilMemory(PausedRead& reader, Account account, std::weak_ptr<void> owner,
                                       std::function<bool()> resume, std::function<void()> checkPeer) {
  if (reader.isRegistered() && reader.resume_) return;  // retains its position in the order of arrival
  reader.clear();
  reader.owner_ = std::move(owner);
  reader.resume_ = std::move(resume);
  reader.checkPeer_ = std::move(checkPeer);
  reader.queueEntry_.enter(waitQueues_, WaitQueue::pausedRead, now());
  pausedReaders_[static_cast<std::size_t>(account)].push_back(reader);
  scheduleTick();
}

void OverloadManager::watchPeer(PausedRead& reader, std::weak_ptr<void> owner,
                                std::function<void()> checkPeer) {
  if (reader.isRegistered() && !reader.resume_) return;
  reader.clear();
  reader.owner_ = std::move(owner);
  reader.resume_ = nullptr;
  reader.checkPeer_ = std::move(checkPeer);
  reader.queueEntry_.enter(waitQueues_, WaitQueue::fullBuffer, now());
  watchedReaders_.push_back(reader);
  scheduleTick();
}

bool OverloadManager::hasPausedReads() const {
  return std::any_of(pausedReaders_.begin(), pausedReaders_.end(),
                     [](const Readers& readers) { return !readers.empty(); });
}

void OverloadManager::postResume() {
  if (resuming_ || resumePosted_ || (!hasPausedReads() && !connectionRetry_)) return;
  if (!hasPausedReads() && memory_.highestUsage().share() < kMinUsageForResume) return;
  resumePosted_ = true;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) resumeReaders();
  });
}

// Resumes reads that free memory or complete soonest first: endpoint lists, then responses, then requests.
void OverloadManager::resumeReaders() {
  resumePosted_ = false;
  resuming_ = true;
  for (const Account account : {Account::discovery, Account::workers, Account::clients, Account::operators})
    resumeAccount(account);
  resuming_ = false;
  if (connectionRetry_) connectionRetry_();
}

// Resumes reads in order of arrival. Continues after a few reads for which memory was insufficient, because
// later ones may need less.
void OverloadManager::resumeAccount(Account account) {
  std::size_t failed = 0;
  for (const auto& [owner, reader] : lockOwners(pausedReaders_[static_cast<std::size_t>(account)])) {
    if (failed >= kMaxFailedResumes) return;
    if (!owner || !reader->isRegistered()) continue;  // destroyed or ended by an earlier callback
    const auto resume = reader->resume_;
    if (!resume())
      ++failed;
    else if (reader->isRegistered())
      reader->clear();
  }
}

// Copies the list and locks the owners, because a callback may remove readers from the list or drop their
// owners.
std::vector<OverloadManager::OwnedReader> OverloadManager::lockOwners(Readers& readers) {
  std::vector<OwnedReader> lockedReaders;
  for (PausedRead& reader : readers) lockedReaders.push_back({reader.owner_.lock(), &reader});
  return lockedReaders;
}

void OverloadManager::checkPeers(Readers& readers) {
  for (const auto& [owner, reader] : lockOwners(readers)) {
    if (!owner || !reader->isRegistered() || !reader->checkPeer_) continue;
    const auto checkPeer = reader->checkPeer_;
    checkPeer();
  }
}

// --- Timer -----------------------------------------------------------------------------------------------

void OverloadManager::scheduleTick() {
  if (std::exchange(tickScheduled_, true)) return;
  tickTimer_.expires_after(state_.isNormal() ? kPeerCheckTickInterval : kOverloadTickInterval);
  tickTimer_.async_wait([this](const Error& error) {
    if (!error) onTick();
  });
}

void OverloadManager::onTick() {
  tickScheduled_ = false;
  if (!state_.isNormal()) {
    if (!isMeasuringLag_) measureLag();
    evaluate();
  }
  if (now() - peersCheckedAt_ >= kPeerCheckIntervalMs) {
    peersCheckedAt_ = now();
    for (Readers& readers : pausedReaders_) checkPeers(readers);
    checkPeers(watchedReaders_);
  }
  if (hasPausedReads() && !isMemoryOverloaded()) postResume();
  if (!state_.isNormal() || hasPausedReads() || !watchedReaders_.empty()) scheduleTick();
}

// --- Metrics ---------------------------------------------------------------------------------------------

std::string OverloadManager::telemetry() const {
  std::string out;
  const auto addMetric = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  addMetric("memory.budget", memory_.total(), "g");
  addMetric("memory.held", memory_.used(), "g");
  addMetric("memory.most", memory_.peak(), "g");
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const std::string name(kAccountNames[i]);
    addMetric("memory.held." + name, memory_.used(static_cast<Account>(i)), "g");
    addMetric("memory.refused." + name, memory_.refusals(static_cast<Account>(i)), "c");
  }
  addMetric("pressure.stage", metricValueOf(state_.level()), "g");
  addMetric("pressure.memory", metricValueOf(state_.level(OverloadSource::memory)), "g");
  addMetric("pressure.descriptors", metricValueOf(state_.level(OverloadSource::descriptors)), "g");
  addMetric("pressure.loop", metricValueOf(state_.level(OverloadSource::eventLoop)), "g");
  addMetric("pressure.slowed", state_.enteredCount(OverloadLevel::throttling), "c");
  addMetric("pressure.shed", state_.enteredCount(OverloadLevel::shedding), "c");
  return out + waitQueues_.telemetry(now());
}

void OverloadManager::logStatus() {
  processLog().info(
      "event=pressure stage={} memory={} descriptors={} loop={} held_bytes={} budget_bytes={} most_bytes={} "
      "{}",
      nameOf(state_.level()), nameOf(state_.level(OverloadSource::memory)),
      nameOf(state_.level(OverloadSource::descriptors)), nameOf(state_.level(OverloadSource::eventLoop)),
      memory_.used(), memory_.total(), memory_.peak(), waitQueues_.logLine(now()));
}

}  // namespace wingslip
