#include "net/overload_manager.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstddef>
#include <utility>
#include <vector>

#include "net/log.hpp"

namespace wingslip {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr double kLagEvery = 10;       // ms between two samples of the loop's lag
constexpr auto kTick = 50ms;           // while a stage is on
constexpr auto kLookTick = 250ms;      // while only paused reads are watched
constexpr double kLookEvery = 250;     // ms between looks at whether a paused peer has left
constexpr std::size_t kMostSteps = 4;  // of an account's paused reads that fail in one wake

// Whether the kernel tells at least the first `least` bytes of it.
bool tcpInfo(int descriptor, tcp_info& info, std::size_t least) {
  socklen_t size = sizeof info;
  return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && size >= least;
}

bool tcpInfo(int descriptor, tcp_info& info) { return tcpInfo(descriptor, info, sizeof info.tcpi_state); }

}  // namespace

bool hasLeft(tcp::socket& socket) {
  tcp_info info{};
  return socket.is_open() && tcpInfo(socket.native_handle(), info) && info.tcpi_state != TCP_ESTABLISHED;
}

bool endedBehind(tcp::socket& socket) {
  pollfd one{socket.native_handle(), POLLRDHUP, 0};
  int ready = 0;
  do {
    ready = poll(&one, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready == 1 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::chrono::milliseconds sinceLastData(tcp::socket& socket) {
  tcp_info info{};
  constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (!socket.is_open() || !tcpInfo(socket.native_handle(), info, kNeeded)) return 0ms;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

std::size_t queuedAt(tcp::acceptor& acceptor) {
  tcp_info info{};
  const bool told = acceptor.is_open() && tcpInfo(acceptor.native_handle(), info);
  return told && info.tcpi_state == TCP_LISTEN ? info.tcpi_unacked : 0;
}

OverloadManager::OverloadManager(asio::io_context& io, const MemoryBudget::Shares& shares,
                                 const Pressure::Limits& limits)
    : io_(io), ledger_(shares), pressure_(limits), tick_(io), lagTimer_(io) {
  ledger_.watch(
      limits.memory.low, limits.memory.high, [this] { evaluateSoon(); }, [this] { wakeSoon(); });
  places_.read(WaitAt::loop, [this](double) {
    WaitQueues::Figures out;
    out.waiting = measuring_;
    out.oldest = lag_;
    out.most = static_cast<std::size_t>(mostLag_);
    return out;
  });
}

OverloadManager::~OverloadManager() { *alive_ = false; }

double OverloadManager::now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void OverloadManager::begin(Descriptors descriptors, Changed changed) {
  descriptors_ = std::move(descriptors);
  changed_ = std::move(changed);
}

void OverloadManager::activity() {
  if (!measuring_ && now() - lagDueAt_ >= kLagEvery) measureLag();
}

// A timer that is due at once: when it runs, the handlers that were ready have run, and those of the sockets
// that the loop then found ready as well. A handler that is only put behind the ready ones would not see what
// the loop spends on new sockets.
void OverloadManager::measureLag() {
  measuring_ = true;
  lagDueAt_ = now();
  lagTimer_.expires_after(0ms);
  lagTimer_.async_wait([this](const Error& error) {
    if (error) return;
    measuring_ = false;
    const double at = now();
    takeLag(at, at - lagDueAt_);
  });
}

void OverloadManager::takeLag(double at, double lag) {
  lag_ = lag;
  mostLag_ = std::max(mostLag_, lag);
  const bool wasCalm = pressure_.calm();
  pressure_.loopDelay(at, lag);
  if (!wasCalm || !pressure_.calm()) evaluate();
}

void OverloadManager::noteDescriptors() {
  const bool full = descriptors_ && descriptors_() >= pressure_.limits().descriptors.high;
  if (full != fewDescriptors()) evaluateSoon();
}

void OverloadManager::evaluateSoon() {
  if (std::exchange(evaluating_, true)) return;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) evaluate();
  });
}

void OverloadManager::evaluate() {
  evaluating_ = false;
  const double at = now();
  const bool wasSlow = slow();
  const MemoryBudget::Fill fill = ledger_.fullest();
  pressure_.level(at, Source::memory, static_cast<double>(fill.held), static_cast<double>(fill.reach));
  if (descriptors_) pressure_.level(at, Source::descriptors, descriptors_(), 1);
  const bool news = pressure_.stage() != toldStage_ || pressure_.share() != toldShare_;
  toldStage_ = pressure_.stage();
  toldShare_ = pressure_.share();
  const double excess = pressure_.takeExcess(at);
  if ((news || excess > 0) && changed_) changed_(excess);
  if (wasSlow && !slow()) wakeSoon();
  if (!pressure_.calm()) tickLater();
}

void OverloadManager::waitForRoom(Paused& paused, Account account, std::weak_ptr<void> owner,
                                  std::function<bool()> again, std::function<void()> look) {
  if (paused.waits() && paused.again_) return;  // it keeps its turn
  paused.clear();
  paused.owner_ = std::move(owner);
  paused.again_ = std::move(again);
  paused.look_ = std::move(look);
  paused.place_.enter(places_, WaitAt::pausedRead, now());
  paused_[static_cast<std::size_t>(account)].push_back(paused);
  tickLater();
}

void OverloadManager::watch(Paused& paused, std::weak_ptr<void> owner, std::function<void()> look) {
  if (paused.waits() && !paused.again_) return;
  paused.clear();
  paused.owner_ = std::move(owner);
  paused.again_ = nullptr;
  paused.look_ = std::move(look);
  watched_.push_back(paused);
  tickLater();
}

bool OverloadManager::anyPaused() const {
  return std::any_of(paused_.begin(), paused_.end(), [](const List& list) { return !list.empty(); });
}

void OverloadManager::wakeSoon() {
  if (inWake_ || waking_ || (!anyPaused() && !room_)) return;
  if (!anyPaused() && ledger_.fullest().part() < 0.5) return;  // nobody can be short of room
  waking_ = true;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) wake();
  });
}

// What is nearest to its end first: news of the workers, answers, requests. Within an account in the order of
// coming; a few that find no room do not keep those behind them, who may need less.
void OverloadManager::wake() {
  waking_ = false;
  inWake_ = true;
  for (const Account account : {Account::discovery, Account::workers, Account::clients, Account::operators}) {
    List& list = paused_[static_cast<std::size_t>(account)];
    std::vector<std::pair<std::shared_ptr<void>, Paused*>> waiting;
    for (Paused& paused : list) waiting.emplace_back(paused.owner_.lock(), &paused);
    std::size_t failed = 0;
    for (const auto& [owner, paused] : waiting) {
      if (failed >= kMostSteps) break;
      if (!owner || !paused->waits()) continue;  // its owner has gone on by itself meanwhile
      const auto again = paused->again_;
      if (!again()) {
        ++failed;
      } else if (paused->waits()) {
        paused->clear();
      }
    }
  }
  inWake_ = false;
  if (room_) room_();
}

void OverloadManager::lookAround(List& list) {
  std::vector<std::pair<std::shared_ptr<void>, Paused*>> waiting;
  for (Paused& paused : list) waiting.emplace_back(paused.owner_.lock(), &paused);
  for (const auto& [owner, paused] : waiting) {
    if (!owner || !paused->waits() || !paused->look_) continue;
    const auto look = paused->look_;
    look();
  }
}

void OverloadManager::tickLater() {
  if (std::exchange(ticking_, true)) return;
  tick_.expires_after(pressure_.calm() ? kLookTick : kTick);
  tick_.async_wait([this](const Error& error) {
    if (error) return;
    ticking_ = false;
    if (!pressure_.calm()) {
      if (!measuring_) measureLag();
      evaluate();
    }
    if (now() - lookedAt_ >= kLookEvery) {
      lookedAt_ = now();
      for (List& list : paused_) lookAround(list);
      lookAround(watched_);
    }
    if (anyPaused() && !slow()) wakeSoon();
    if (!pressure_.calm() || anyPaused() || !watched_.empty()) tickLater();
  });
}

std::string OverloadManager::telemetry() const {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  line("memory.budget", ledger_.total(), "g");
  line("memory.held", ledger_.held(), "g");
  line("memory.most", ledger_.most(), "g");
  for (std::size_t i = 0; i < kAccounts; ++i) {
    const std::string name(kAccountNames[i]);
    line("memory.held." + name, ledger_.held(static_cast<Account>(i)), "g");
    line("memory.refused." + name, ledger_.refused(static_cast<Account>(i)), "c");
  }
  line("pressure.stage", static_cast<std::uint64_t>(pressure_.stage()), "g");
  line("pressure.memory", static_cast<std::uint64_t>(pressure_.stage(Source::memory)), "g");
  line("pressure.descriptors", static_cast<std::uint64_t>(pressure_.stage(Source::descriptors)), "g");
  line("pressure.loop", static_cast<std::uint64_t>(pressure_.stage(Source::loop)), "g");
  line("pressure.slowed", pressure_.entered(Stage::slow), "c");
  line("pressure.shed", pressure_.entered(Stage::shed), "c");
  return out + places_.telemetry(now());
}

void OverloadManager::report() {
  static constexpr std::array<const char*, 3> kNames{"none", "slow", "shed"};
  const auto name = [](Stage stage) { return kNames[static_cast<std::size_t>(stage)]; };
  processLog().info(
      "event=pressure stage={} memory={} descriptors={} loop={} held_bytes={} budget_bytes={} most_bytes={} "
      "{}",
      name(pressure_.stage()), name(pressure_.stage(Source::memory)),
      name(pressure_.stage(Source::descriptors)), name(pressure_.stage(Source::loop)), ledger_.held(),
      ledger_.total(), ledger_.most(), places_.logLine(now()));
}

}  // namespace wingslip
