/// The queues in which work waits: how many wait, for how long, and how many were rejected. No I/O and no
/// clock.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wingslip {

enum class WaitQueue : unsigned {
  acceptBacklog,       ///< connections in the kernel that are not accepted yet
  freeConnection,      ///< accepted, and all connections are busy
  incompleteRequest,   ///< a request, or the next piece of its body, that is still arriving
  pausedRead,          ///< a read for which there is no memory
  inFlight,            ///< a request in the decision module
  connecting,          ///< an attempt whose connection is being established
  awaitingResponse,    ///< an attempt that is sent
  requestBodyWindow,   ///< a piece of a streamed body, until its worker has taken it
  responseBodyWindow,  ///< a piece of a streamed response, until its client has taken it
  responseWrite,       ///< a response that is being written to its client
  operatorCall,
  discoveryMessage,  ///< a message of service discovery that is not complete
  eventLoop,         ///< handlers that are ready to run
};
constexpr std::size_t kWaitQueues = static_cast<std::size_t>(WaitQueue::eventLoop) + 1;
/// As the `svc.wait` figures, the log and docs/design.md name them, in the order of `WaitQueue`.
constexpr std::array<std::string_view, kWaitQueues> kWaitQueueNames{
    "accept_queue", "no_room",        "half_read",   "paused_read",   "held",
    "connecting",   "attempt_out",    "body_window", "answer_window", "answer_write",
    "ops_caller",   "discovery_line", "loop"};
static_assert(!kWaitQueueNames.back().empty(), "every queue has a name");

/// Statistics only: nothing is scheduled here. Used from the event loop's thread only.
class WaitQueues {
 public:
  using Time = double;  ///< ms of any steady clock

  struct Figures {
    std::size_t waiting = 0;
    std::size_t peak = 0;  ///< most that have waited at once
    Time oldestMs = 0;     ///< how long the first of them has waited
    std::uint64_t rejections = 0;
  };

  /// Membership of one owner in at most one queue; it ends with the owner. Must not outlive the queues.
  class QueueEntry
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    QueueEntry() = default;
    QueueEntry(const QueueEntry&) = delete;
    QueueEntry& operator=(const QueueEntry&) = delete;
    ~QueueEntry() { leave(); }
    /// Leaves the present queue, if any.
    void enter(WaitQueues& queues, WaitQueue queue, Time now);
    void leave();
    Time since() const { return since_; }
    bool isIn(WaitQueue queue) const { return queues_ && queue_ == queue; }

   private:
    WaitQueues* queues_ = nullptr;
    WaitQueue queue_ = WaitQueue::inFlight;
    Time since_ = 0;
  };

  using Reader = std::function<Figures(Time now)>;
  /// For a queue that somebody else counts (the kernel, the event loop); null: nobody does any more.
  void setReader(WaitQueue queue, Reader reader);
  void countRejection(WaitQueue queue, std::uint64_t count = 1) { record(queue).rejections += count; }

  Figures figures(WaitQueue queue, Time now) const;
  std::size_t waiting(WaitQueue queue) const { return record(queue).waiting; }
  /// Whether an entry was ever in it, or it has a reader.
  bool isReported(WaitQueue queue) const { return record(queue).everEntered || record(queue).reader; }

  std::string telemetry(Time now) const;  ///< `svc.wait` lines
  std::string logLine(Time now) const;    ///< one line, of queues that have entries or rejections

 private:
  using Entries = boost::intrusive::list<QueueEntry, boost::intrusive::constant_time_size<false>>;
  struct Record {
    Entries entries;  // in order of entry
    std::size_t waiting = 0;
    std::size_t peak = 0;
    std::uint64_t rejections = 0;
    bool everEntered = false;
    Reader reader;
  };
  Record& record(WaitQueue queue) { return records_[static_cast<std::size_t>(queue)]; }
  const Record& record(WaitQueue queue) const { return records_[static_cast<std::size_t>(queue)]; }

  std::array<Record, kWaitQueues> records_;
};

}  // namespace wingslip
