/// The signal handler, and the reading end of its pipe. See signal_watch.hpp.
#include "gatekeeper/signal_watch.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace wingslip {
namespace {

constexpr int kMaxSignal = 64;  // highest signal number of Linux

// The only state that the signal handler accesses. The pipe's write end is open while the SignalWatch exists.
std::array<std::atomic<bool>, kMaxSignal + 1> pendingSignals{};
std::atomic<int> pipeWriteEnd{-1};

void recordSignal(int number) {
  const int savedErrno = errno;
  pendingSignals[static_cast<std::size_t>(number)].store(true);
  const char byte = 0;
  // EAGAIN is ignored: a full pipe already wakes the event loop.
  while (::write(pipeWriteEnd.load(), &byte, 1) < 0 && errno == EINTR) {
  }
  errno = savedErrno;
}

}  // namespace

SignalWatch::SignalWatch(boost::asio::io_context& io, std::initializer_list<int> signals,
                         std::function<void(int)> onSignal)
    : onSignal_(std::move(onSignal)), wakePipe_(io) {
  int pipeEnds[2];
  if (::pipe2(pipeEnds, O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create the pipe for signals");
  wakePipe_.assign(pipeEnds[0]);
  pipeWriteEnd.store(pipeEnds[1]);
  wait();
  for (const int number : signals) {
    struct sigaction action {};
    action.sa_handler = recordSignal;
    action.sa_flags = SA_RESTART;
    ::sigfillset(&action.sa_mask);
    if (::sigaction(number, &action, nullptr) != 0)
      throw std::runtime_error("cannot install a signal handler");
  }
}

// The signal handlers stay installed, and their writes fail: a signal during the process's exit does not kill
// it.
SignalWatch::~SignalWatch() { ::close(pipeWriteEnd.exchange(-1)); }

void SignalWatch::wait() {
  wakePipe_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [this](const boost::system::error_code& error) {
                         if (error) return;
                         drainPipe();
                         wait();
                         dispatchPending();
                       });
}

void SignalWatch::drainPipe() {
  char bytes[64];
  ssize_t n = 0;
  do {
    n = ::read(wakePipe_.native_handle(), bytes, sizeof bytes);
  } while (n > 0 || (n < 0 && errno == EINTR));
}

void SignalWatch::dispatchPending() {
  for (int number = 1; number <= kMaxSignal; ++number)
    if (pendingSignals[static_cast<std::size_t>(number)].exchange(false)) onSignal_(number);
}

}  // namespace wingslip
