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

constexpr double kLagIntervalMs = 10;   // between two samples
constexpr auto kOverloadTick = 50ms;    // while there is an overload
constexpr auto kPeerCheckTick = 250ms;  // while reads are paused only
constexpr double kPeerCheckIntervalMs = 250;
constexpr std::size_t kMaxFailedResumes = 4;  // of an account at a time
constexpr double kMinUsageForResume = 0.5;    // below this no connection waits for memory

std::uint64_t figureOf(OverloadLevel level) { return static_cast<std::uint64_t>(level); }

// As in the log.
const char* nameOf(OverloadLevel level) {
  static constexpr std::array<const char*, kOverloadLevels> kNames{"none", "slow", "shed"};
  return kNames[static_cast<std::size_t>(level)];
}

}  // namespace

OverloadManager::OverloadManager(asio::io_context& io, const MemoryBudget::Shares& shares,
                                 const OverloadState::Limits& limits)
    : io_(io), memory_(shares), state_(limits), tickTimer_(io), lagTimer_(io) {
  memory_.observe(
      limits.memory.low, limits.memory.high, [this] { evaluateSoon(); }, [this] { resumeSoon(); });
  waitQueues_.setReader(WaitQueue::eventLoop, [this](double) {
    WaitQueues::Figures figures;
    figures.waiting = lagMeasuring_;
    figures.oldestMs = lagMs_;
    figures.peak = static_cast<std::size_t>(peakLagMs_);
    return figures;
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

void OverloadManager::noteActivity() {
  if (!lagMeasuring_ && now() - lagStartedAt_ >= kLagIntervalMs) measureLag();
}

// A timer that is due at once runs after the handlers that are ready and those of the sockets that the loop
// then finds ready. A posted handler would not include the time spent on new sockets.
void OverloadManager::measureLag() {
  lagMeasuring_ = true;
  lagStartedAt_ = now();
  lagTimer_.expires_after(0ms);
  lagTimer_.async_wait([this](const Error& error) {
    if (error) return;
    lagMeasuring_ = false;
    const double measuredAt = now();
    onLagMeasured(measuredAt, measuredAt - lagStartedAt_);
  });
}

void OverloadManager::onLagMeasured(double measuredAt, double lagMs) {
  lagMs_ = lagMs;
  peakLagMs_ = std::max(peakLagMs_, lagMs);
  const bool wasNormal = state_.isNormal();
  state_.onLoopDelay(measuredAt, lagMs);
  if (!wasNormal || !state_.isNormal()) evaluate();
}

void OverloadManager::noteDescriptorUse() {
  const bool aboveMark = descriptorUsage_ && descriptorUsage_() >= state_.limits().descriptors.high;
  if (aboveMark != areDescriptorsOverloaded()) evaluateSoon();
}

void OverloadManager::evaluateSoon() {
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
  if (memoryWasOverloaded && !isMemoryOverloaded()) resumeSoon();
  if (!state_.isNormal()) startTick();
}

// --- Paused reads ----------------------------------------------------------------------------------------

void OverloadManager::pauseUntilMemory(PausedReader& reader, Account account, std::weak_ptr<void> owner,
                                       std::function<bool()> resume, std::function<void()> checkPeer) {
  if (reader.isPaused() && reader.resume_) return;  // it keeps its turn
  reader.clear();
  reader.owner_ = std::move(owner);
  reader.resume_ = std::move(resume);
  reader.checkPeer_ = std::move(checkPeer);
  reader.queueEntry_.enter(waitQueues_, WaitQueue::pausedRead, now());
  pausedReaders_[static_cast<std::size_t>(account)].push_back(reader);
  startTick();
}

void OverloadManager::watchPeer(PausedReader& reader, std::weak_ptr<void> owner,
                                std::function<void()> checkPeer) {
  if (reader.isPaused() && !reader.resume_) return;
  reader.clear();
  reader.owner_ = std::move(owner);
  reader.resume_ = nullptr;
  reader.checkPeer_ = std::move(checkPeer);
  watchedReaders_.push_back(reader);
  startTick();
}

bool OverloadManager::anyPaused() const {
  return std::any_of(pausedReaders_.begin(), pausedReaders_.end(),
                     [](const Readers& readers) { return !readers.empty(); });
}

void OverloadManager::resumeSoon() {
  if (resuming_ || resumePosted_ || (!anyPaused() && !connectionRetry_)) return;
  if (!anyPaused() && memory_.highestUsage().share() < kMinUsageForResume) return;
  resumePosted_ = true;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) resumeReaders();
  });
}

// What frees memory or completes soonest first: endpoint lists, responses, requests.
void OverloadManager::resumeReaders() {
  resumePosted_ = false;
  resuming_ = true;
  for (const Account account : {Account::discovery, Account::workers, Account::clients, Account::operators})
    resumeAccount(account);
  resuming_ = false;
  if (connectionRetry_) connectionRetry_();
}

// In order of arrival. A few that find too little memory do not block those behind them, which may need less.
void OverloadManager::resumeAccount(Account account) {
  std::size_t failed = 0;
  for (const auto& [owner, reader] : ownedReaders(pausedReaders_[static_cast<std::size_t>(account)])) {
    if (failed >= kMaxFailedResumes) return;
    if (!owner || !reader->isPaused()) continue;  // its owner has gone on meanwhile
    const auto resume = reader->resume_;
    if (!resume())
      ++failed;
    else if (reader->isPaused())
      reader->clear();
  }
}

// Guards against a callback that ends readers of the list: the copy keeps their owners alive.
std::vector<OverloadManager::OwnedReader> OverloadManager::ownedReaders(Readers& readers) {
  std::vector<OwnedReader> owned;
  for (PausedReader& reader : readers) owned.push_back({reader.owner_.lock(), &reader});
  return owned;
}

void OverloadManager::checkPeers(Readers& readers) {
  for (const auto& [owner, reader] : ownedReaders(readers)) {
    if (!owner || !reader->isPaused() || !reader->checkPeer_) continue;
    const auto checkPeer = reader->checkPeer_;
    checkPeer();
  }
}

// --- Timer -----------------------------------------------------------------------------------------------

void OverloadManager::startTick() {
  if (std::exchange(tickStarted_, true)) return;
  tickTimer_.expires_after(state_.isNormal() ? kPeerCheckTick : kOverloadTick);
  tickTimer_.async_wait([this](const Error& error) {
    if (!error) onTick();
  });
}

void OverloadManager::onTick() {
  tickStarted_ = false;
  if (!state_.isNormal()) {
    if (!lagMeasuring_) measureLag();
    evaluate();
  }
  if (now() - peersCheckedAt_ >= kPeerCheckIntervalMs) {
    peersCheckedAt_ = now();
    for (Readers& readers : pausedReaders_) checkPeers(readers);
    checkPeers(watchedReaders_);
  }
  if (anyPaused() && !isMemoryOverloaded()) resumeSoon();
  if (!state_.isNormal() || anyPaused() || !watchedReaders_.empty()) startTick();
}

// --- Figures ---------------------------------------------------------------------------------------------

std::string OverloadManager::telemetry() const {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  line("memory.budget", memory_.total(), "g");
  line("memory.held", memory_.used(), "g");
  line("memory.most", memory_.peak(), "g");
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const std::string name(kAccountNames[i]);
    line("memory.held." + name, memory_.used(static_cast<Account>(i)), "g");
    line("memory.refused." + name, memory_.refusals(static_cast<Account>(i)), "c");
  }
  line("pressure.stage", figureOf(state_.level()), "g");
  line("pressure.memory", figureOf(state_.level(OverloadSource::memory)), "g");
  line("pressure.descriptors", figureOf(state_.level(OverloadSource::descriptors)), "g");
  line("pressure.loop", figureOf(state_.level(OverloadSource::eventLoop)), "g");
  line("pressure.slowed", state_.enteredCount(OverloadLevel::throttling), "c");
  line("pressure.shed", state_.enteredCount(OverloadLevel::shedding), "c");
  return out + waitQueues_.telemetry(now());
}

void OverloadManager::logReport() {
  processLog().info(
      "event=pressure stage={} memory={} descriptors={} loop={} held_bytes={} budget_bytes={} most_bytes={} "
      "{}",
      nameOf(state_.level()), nameOf(state_.level(OverloadSource::memory)),
      nameOf(state_.level(OverloadSource::descriptors)), nameOf(state_.level(OverloadSource::eventLoop)),
      memory_.used(), memory_.total(), memory_.peak(), waitQueues_.logLine(now()));
}

}  // namespace wingslip
