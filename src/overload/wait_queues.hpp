/// Statistics of the queues in which connections, requests and messages wait: length, age and rejections.
/// Performs no I/O and reads no clock.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wingslip {

/// A stage at which work waits.
enum class WaitQueue : unsigned {
  acceptBacklog,       ///< connections that the kernel has established and the gatekeeper has not accepted
  freeConnection,      ///< accepted connections that wait while all connections are busy
  incompleteRequest,   ///< requests whose header or next piece of the body is still arriving
  pausedRead,          ///< reads that are paused for lack of memory
  fullBuffer,          ///< reads of clients that are paused because their input buffer or body window is full
  inFlight,            ///< requests in the decision module
  connecting,          ///< attempts whose connection is being established
  awaitingResponse,    ///< attempts that are sent and not answered
  requestBodyWindow,   ///< pieces of streamed request bodies that the worker has not received
  responseBodyWindow,  ///< pieces of streamed responses that the client has not received
  responseWrite,       ///< responses that are being written to the client
  operatorCall,        ///< connections of operators
  discoveryMessage,    ///< incomplete messages of service discovery
  eventLoop,           ///< handlers that are ready to run
};
constexpr std::size_t kWaitQueues = static_cast<std::size_t>(WaitQueue::eventLoop) + 1;
/// Queue names as in the `svc.wait` metrics, the log and docs/design.md, in the order of `WaitQueue`.
constexpr std::array<std::string_view, kWaitQueues> kWaitQueueNames{
    "accept_queue", "no_room",    "half_read",      "paused_read", "full_buffer",
    "held",         "connecting", "attempt_out",    "body_window", "answer_window",
    "answer_write", "ops_caller", "discovery_line", "loop"};
static_assert(!kWaitQueueNames.back().empty(), "every queue has a name");

/// Counts the entries of each queue; it schedules nothing. Owned by the OverloadManager and used from the
/// event loop's thread only.
class WaitQueues {
 public:
  using Time = double;  ///< milliseconds of any monotonic clock

  /// The statistics of one queue.
  struct Statistics {
    std::size_t waiting = 0;       ///< present length
    std::size_t peak = 0;          ///< greatest length so far; for `eventLoop` the greatest lag in ms
    Time oldestMs = 0;             ///< age of the oldest entry
    std::uint64_t rejections = 0;  ///< entries that were rejected for waiting here
  };

  /// Membership of its owner in at most one queue; ends on destruction. Must not outlive the WaitQueues.
  class QueueEntry
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    QueueEntry() = default;
    QueueEntry(const QueueEntry&) = delete;
    QueueEntry& operator=(const QueueEntry&) = delete;
    ~QueueEntry() { leave(); }
    /// Moves to `queue` from the present queue, if any.
    /// @param now start of the wait
    void enter(WaitQueues& queues, WaitQueue queue, Time now);
    /// Ends the membership; no effect if there is none.
    void leave();
    /// @return when the present or last wait started.
    Time since() const { return since_; }
    /// @return whether it is a member of `queue` now.
    bool isIn(WaitQueue queue) const { return queues_ && queue_ == queue; }

   private:
    WaitQueues* queues_ = nullptr;
    WaitQueue queue_ = WaitQueue::inFlight;
    Time since_ = 0;
  };

  /// Returns the statistics of a queue that is counted elsewhere.
  using ExternalSource = std::function<Statistics(Time now)>;
  /// Sets the source of the statistics of a queue that is counted elsewhere (by the kernel or the event
  /// loop); null removes it.
  void setExternalSource(WaitQueue queue, ExternalSource externalSource);
  /// Adds rejections to the queue's count.
  void countRejection(WaitQueue queue, std::uint64_t count = 1) { record(queue).rejections += count; }

  /// @return the queue's statistics, combined with those of its external source.
  Statistics statistics(WaitQueue queue, Time now) const;
  /// @return the number of entries, without those that an external source counts.
  std::size_t waiting(WaitQueue queue) const { return record(queue).waiting; }
  /// @return whether the queue has ever had an entry or has an external source.
  bool isReported(WaitQueue queue) const { return record(queue).everEntered || record(queue).externalSource; }

  std::string telemetry(Time now) const;  ///< the `svc.wait` metrics, one per line
  /// @return a pair `wait.NAME=LENGTH/PEAK/OLDEST_MS/REJECTIONS` for each queue with entries or rejections.
  std::string logLine(Time now) const;

 private:
  using Entries = boost::intrusive::list<QueueEntry, boost::intrusive::constant_time_size<false>>;
  struct Record {
    Entries entries;  // oldest first
    std::size_t waiting = 0;
    std::size_t peak = 0;
    std::uint64_t rejections = 0;
    bool everEntered = false;
    ExternalSource externalSource;
  };
  Record& record(WaitQueue queue) { return records_[static_cast<std::size_t>(queue)]; }
  const Record& record(WaitQueue queue) const { return records_[static_cast<std::size_t>(queue)]; }

  std::array<Record, kWaitQueues> records_;
};

}  // namespace wingslip
