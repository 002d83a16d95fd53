// The driver of back-pressure on the loop: it owns the ledger of memory, the stages and the figures of the
// places, wakes reads that wait for room, and tells the module. See docs/design.md.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "overload/memory_budget.hpp"
#include "overload/overload_state.hpp"
#include "overload/wait_queues.hpp"

namespace wingslip {

// Whether the other side has ended the connection. Asked of TCP, so that nothing has to be read for it.
bool hasLeft(boost::asio::ip::tcp::socket& socket);
// Whether the other side has ended its sending, also behind bytes that nobody has read.
bool endedBehind(boost::asio::ip::tcp::socket& socket);
// How long ago the other side's last bytes came to this machine, read or not; 0 where it does not say.
std::chrono::milliseconds sinceLastData(boost::asio::ip::tcp::socket& socket);
// Connections that wait in the kernel at this listener; 0 where it does not say.
std::size_t queuedAt(boost::asio::ip::tcp::acceptor& acceptor);

class OverloadManager {
 public:
  // How full the descriptors are: busy connections of what there may be, the fuller side's.
  using Descriptors = std::function<double()>;

  // A side that reads and may have to wait, with what it waits for. It is forgotten with its owner.
  class Paused
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Paused() = default;
    ~Paused() { clear(); }
    void clear() {
      unlink();
      place_.leave();
      owner_.reset();
    }
    bool waits() const { return is_linked(); }

   private:
    friend class OverloadManager;
    std::weak_ptr<void> owner_;
    std::function<bool()> again_;  // true: it reads again, or needs no more to
    std::function<void()> look_;   // whether its peer has left
    WaitQueues::Waiting place_;
  };

  OverloadManager(boost::asio::io_context& io, const MemoryBudget::Shares& shares,
                  const Pressure::Limits& limits);
  ~OverloadManager();
  OverloadManager(const OverloadManager&) = delete;
  OverloadManager& operator=(const OverloadManager&) = delete;

  MemoryBudget& ledger() { return ledger_; }
  WaitQueues& places() { return places_; }
  const Pressure& pressure() const { return pressure_; }
  static double now();  // ms of the steady clock

  // Who is told when the stage or what is to be shed has changed, and what is asked for the descriptors.
  using Changed = std::function<void(double excess)>;
  void begin(Descriptors descriptors, Changed changed);
  void retune(const Pressure::Limits& limits) { pressure_.retune(limits); }
  // Called when there may be room for a connection again.
  void whenRoom(std::function<void()> retry) { room_ = std::move(retry); }

  /// A connection, a request or an answer has come: measures the loop's lag, at most every 10 ms.
  void activity();
  // A connection has turned busy or ended.
  void noteDescriptors();

  // `again` is tried when memory is freed or a stage ends, in the order of coming within the account; `look`
  // four times a second. Neither is called from within this.
  void waitForRoom(Paused& paused, Account account, std::weak_ptr<void> owner, std::function<bool()> again,
                   std::function<void()> look);
  // Reads nothing for a reason of its own; only `look` is called.
  void watch(Paused& paused, std::weak_ptr<void> owner, std::function<void()> look);

  // Long bodies are not read on.
  bool slow() const { return pressure_.stage(Source::memory) != Stage::none; }
  bool fewDescriptors() const { return pressure_.stage(Source::descriptors) != Stage::none; }

  std::string telemetry() const;  // svc. lines
  void report();                  // the bounded log line, where there is anything to say

 private:
  using List = boost::intrusive::list<Paused, boost::intrusive::constant_time_size<false>>;

  void measureLag();
  void takeLag(double at, double lag);
  void evaluateSoon();
  void evaluate();
  void wakeSoon();
  void wake();
  void tickLater();
  bool anyPaused() const;
  void lookAround(List& list);

  boost::asio::io_context& io_;
  MemoryBudget ledger_;
  Pressure pressure_;
  WaitQueues places_;
  Descriptors descriptors_;
  Changed changed_;
  std::function<void()> room_;
  std::array<List, kAccounts> paused_;
  List watched_;
  boost::asio::steady_timer tick_, lagTimer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool ticking_ = false, measuring_ = false, evaluating_ = false, waking_ = false, inWake_ = false;
  double lagDueAt_ = 0, lookedAt_ = 0;
  double lag_ = 0, mostLag_ = 0;  // of the loop, ms
  Stage toldStage_ = Stage::none;
  double toldShare_ = 0;
};

}  // namespace wingslip
