/// Driver of overload control on the event loop. See docs/design.md, "Back-pressure".
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "overload/memory_budget.hpp"
#include "overload/overload_state.hpp"
#include "overload/wait_queues.hpp"

namespace wingslip {

/// Owns the memory budget, the overload state and the wait queues; measures the event loop's lag; resumes
/// reads that are paused until there is memory; reports changes of the overload. Used from the event loop's
/// thread only. Its timer runs only while a read is paused or there is an overload.
class OverloadManager {
 public:
  /// Busy connections as a share of those allowed, of the side where it is higher.
  using DescriptorUsage = std::function<double()>;
  /// The level or the reject share has changed, or `excessBytes` above 0 must be freed.
  using OnChange = std::function<void(double excessBytes)>;

  /// A read that is paused until there is memory, or whose peer is watched. Ends with its owner.
  class PausedReader
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    PausedReader() = default;
    ~PausedReader() { clear(); }
    void clear() {
      unlink();
      queueEntry_.leave();
      owner_.reset();
    }
    bool isPaused() const { return is_linked(); }

   private:
    friend class OverloadManager;
    std::weak_ptr<void> owner_;
    std::function<bool()> resume_;     // true: it reads again, or does not need to any more
    std::function<void()> checkPeer_;  // whether its peer has closed
    WaitQueues::QueueEntry queueEntry_;
  };

  OverloadManager(boost::asio::io_context& io, const MemoryBudget::Shares& shares,
                  const OverloadState::Limits& limits);
  ~OverloadManager();
  OverloadManager(const OverloadManager&) = delete;
  OverloadManager& operator=(const OverloadManager&) = delete;

  MemoryBudget& memory() { return memory_; }
  WaitQueues& waitQueues() { return waitQueues_; }
  const OverloadState& state() const { return state_; }
  static double now();  ///< ms of the steady clock

  void start(DescriptorUsage descriptorUsage, OnChange onChange);
  void setLimits(const OverloadState::Limits& limits) { state_.setLimits(limits); }
  /// @param retry called when there may be memory for a connection again; null: nobody waits any more
  void setConnectionRetry(std::function<void()> retry) { connectionRetry_ = std::move(retry); }

  /// A connection, a request or a response has arrived: measures the loop's lag, at most every 10 ms.
  void noteActivity();
  /// A connection has become busy or has ended.
  void noteDescriptorUse();

  /// Pauses a read. It keeps its turn if it is paused already.
  /// @param resume tried when memory is freed or memory overload ends, in order of arrival within the account
  /// @param checkPeer called four times a second; may be null. Neither is called before this returns.
  void pauseUntilMemory(PausedReader& reader, Account account, std::weak_ptr<void> owner,
                        std::function<bool()> resume, std::function<void()> checkPeer);
  /// For a read that is stopped for another reason: only `checkPeer` is called.
  void watchPeer(PausedReader& reader, std::weak_ptr<void> owner, std::function<void()> checkPeer);

  /// Request bodies are not to be read ahead.
  bool isMemoryOverloaded() const { return state_.level(OverloadSource::memory) != OverloadLevel::none; }
  bool areDescriptorsOverloaded() const {
    return state_.level(OverloadSource::descriptors) != OverloadLevel::none;
  }

  std::string telemetry() const;  ///< `svc.` lines
  void logReport();

 private:
  using Readers = boost::intrusive::list<PausedReader, boost::intrusive::constant_time_size<false>>;
  struct OwnedReader {
    std::shared_ptr<void> owner;  // null: the owner is gone, and the reader with it
    PausedReader* reader;
  };

  static std::vector<OwnedReader> ownedReaders(Readers& readers);
  static void checkPeers(Readers& readers);

  void measureLag();
  void onLagMeasured(double measuredAt, double lagMs);
  void evaluateSoon();
  void evaluate();
  void resumeSoon();
  void resumeReaders();
  void resumeAccount(Account account);
  void startTick();
  void onTick();
  bool anyPaused() const;

  boost::asio::io_context& io_;
  MemoryBudget memory_;
  OverloadState state_;
  WaitQueues waitQueues_;
  DescriptorUsage descriptorUsage_;
  OnChange onChange_;
  std::function<void()> connectionRetry_;
  std::array<Readers, kAccounts> pausedReaders_;
  Readers watchedReaders_;
  boost::asio::steady_timer tickTimer_;
  boost::asio::steady_timer lagTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // guards handlers that run after the end
  bool tickStarted_ = false;
  bool lagMeasuring_ = false;
  bool evaluationPosted_ = false;
  bool resumePosted_ = false;
  bool resuming_ = false;
  double lagStartedAt_ = 0;
  double peersCheckedAt_ = 0;
  double lagMs_ = 0;
  double peakLagMs_ = 0;
  OverloadLevel reportedLevel_ = OverloadLevel::none;
  double reportedRejectShare_ = 0;
};

}  // namespace wingslip
