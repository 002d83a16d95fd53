/// Overload control on the event loop. See docs/design.md, "Back-pressure".
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

/// Owns the memory budget, the overload state and the wait queues. Measures the event loop's lag, resumes
/// reads that are paused for lack of memory, and reports changes of the overload. Owned by the Gatekeeper and
/// used from the event loop's thread only. Its timer runs only during an overload or while a read is paused
/// or a peer is watched.
class OverloadManager {
 public:
  /// Returns the busy connections as a share (0 to 1) of the permitted ones, for clients or workers,
  /// whichever share is higher.
  using DescriptorUsage = std::function<double()>;
  /// Called when the level or the reject share has changed, or when `excessBytes` above 0 must be freed.
  using OnChange = std::function<void(double excessBytes)>;

  /// Registration of a read that is paused for lack of memory, or whose peer is only watched. A member of the
  /// read's owner; its destructor ends the registration.
  class PausedRead
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    PausedRead() = default;
    ~PausedRead() { clear(); }
    /// Ends the registration, if there is one.
    void clear() {
      unlink();
      queueEntry_.leave();
      owner_.reset();
    }
    /// @return whether it is registered, as paused or as watched.
    bool isRegistered() const { return is_linked(); }
    /// @return whether it is registered as paused for lack of memory.
    bool awaitsMemory() const { return is_linked() && resume_; }

   private:
    friend class OverloadManager;
    std::weak_ptr<void> owner_;
    std::function<bool()> resume_;     // returns true if the read resumed or is no longer needed
    std::function<void()> checkPeer_;  // checks whether the peer has closed; may be null
    WaitQueues::QueueEntry queueEntry_;
  };

  /// @param io must outlive this object
  /// @param shares the sizes of the memory budget and of its reserves
  /// @param limits the overload thresholds and the watermarks of the memory budget
  OverloadManager(boost::asio::io_context& io, const MemoryBudget::Shares& shares,
                  const OverloadState::Limits& limits);
  ~OverloadManager();
  OverloadManager(const OverloadManager&) = delete;
  OverloadManager& operator=(const OverloadManager&) = delete;

  MemoryBudget& memory() { return memory_; }
  WaitQueues& waitQueues() { return waitQueues_; }
  const OverloadState& state() const { return state_; }
  static double now();  ///< milliseconds of std::chrono::steady_clock

  /// Sets the callbacks. Descriptor usage is not evaluated until then.
  void start(DescriptorUsage descriptorUsage, OnChange onChange);
  /// Replaces the overload thresholds; the memory budget's watermarks stay unchanged.
  void setLimits(const OverloadState::Limits& limits) { state_.setLimits(limits); }
  /// @param retry called when memory for a waiting connection may be available; null if no connection waits
  void setConnectionRetry(std::function<void()> retry) { connectionRetry_ = std::move(retry); }

  /// To be called when a connection, a request or a response has arrived. Measures the event loop's lag, at
  /// most every 10 ms.
  void onActivity();
  /// To be called when a connection has become busy or has ended. Posts an evaluation if the descriptor
  /// overload may have started or ended.
  void onDescriptorUsageChanged();

  /// Pauses a read until memory is available. A read that is already paused retains its position. Neither
  /// callback is called before this function returns, nor after the owner is destroyed.
  /// @param resume called when memory is freed or the memory overload ends, in order of arrival within the
  /// account; returns true if the read resumed or is no longer needed
  /// @param checkPeer called every 250 ms; may be null
  void pauseUntilMemory(PausedRead& reader, Account account, std::weak_ptr<void> owner,
                        std::function<bool()> resume, std::function<void()> checkPeer);
  /// Watches the peer of a read that is paused because its buffer is full: only `checkPeer` is called, every
  /// 250 ms.
  void watchPeer(PausedRead& reader, std::weak_ptr<void> owner, std::function<void()> checkPeer);

  /// @return whether memory is overloaded; request bodies must then not be read ahead.
  bool isMemoryOverloaded() const { return state_.level(OverloadSource::memory) != OverloadLevel::none; }
  /// @return whether descriptors are overloaded.
  bool areDescriptorsOverloaded() const {
    return state_.level(OverloadSource::descriptors) != OverloadLevel::none;
  }

  std::string telemetry() const;  ///< metrics, one `svc.` line each
  /// Logs one line with the overload levels, the memory use and the wait queues.
  void logStatus();

 private:
  using Readers = boost::intrusive::list<PausedRead, boost::intrusive::constant_time_size<false>>;
  struct OwnedReader {
    std::shared_ptr<void> owner;  // null if the owner is destroyed; `reader` is then dangling
    PausedRead* reader;
  };

  static std::vector<OwnedReader> lockOwners(Readers& readers);
  static void checkPeers(Readers& readers);

  void measureLag();
  void onLagMeasured(double measuredAt, double lagMs);
  void postEvaluation();
  void evaluate();
  void postResume();
  void resumeReaders();
  void resumeAccount(Account account);
  void scheduleTick();
  void onTick();
  bool hasPausedReads() const;

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
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  // false once destroyed, for posted handlers that run later
  bool tickScheduled_ = false;
  bool isMeasuringLag_ = false;
  bool evaluationPosted_ = false;
  bool resumePosted_ = false;
  bool resuming_ = false;
  double lagMeasurementStartedAt_ = 0;
  double peersCheckedAt_ = 0;
  double lagMs_ = 0;
  double peakLagMs_ = 0;
  OverloadLevel reportedLevel_ = OverloadLevel::none;
  double reportedRejectShare_ = 0;
};

}  // namespace wingslip
