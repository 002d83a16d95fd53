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

constexpr int kMaxSignal = 64;

// All that a signal's handler touches. The pipe's write end is open as long as the watch lives.
std::array<std::atomic<bool>, kMaxSignal + 1> pending{};
std::atomic<int> pipeWriteEnd{-1};

void recordSignal(int number) {
  const int savedErrno = errno;
  pending[static_cast<std::size_t>(number)].store(true);
  const char byte = 0;
  // A full pipe wakes the loop already.
  while (::write(pipeWriteEnd.load(), &byte, 1) < 0 && errno == EINTR) {
  }
  errno = savedErrno;
}

}  // namespace

SignalWatch::SignalWatch(boost::asio::io_context& io, std::initializer_list<int> numbers,
                         std::function<void(int)> onSignal)
    : onSignal_(std::move(onSignal)), wake_(io) {
  int ends[2];
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
  wake_.assign(ends[0]);
  pipeWriteEnd.store(ends[1]);
  wait();
  for (const int number : numbers) {
    struct sigaction action {};
    action.sa_handler = recordSignal;
    action.sa_flags = SA_RESTART;
    ::sigfillset(&action.sa_mask);
    if (::sigaction(number, &action, nullptr) != 0) throw std::runtime_error("cannot handle a signal");
  }
}

// The handlers stay and write nowhere: a signal that comes while the process ends does not kill it.
SignalWatch::~SignalWatch() { ::close(pipeWriteEnd.exchange(-1)); }

void SignalWatch::wait() {
  wake_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
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
    n = ::read(wake_.native_handle(), bytes, sizeof bytes);
  } while (n > 0 || (n < 0 && errno == EINTR));
}

void SignalWatch::dispatchPending() {
  for (int number = 1; number <= kMaxSignal; ++number)
    if (pending[static_cast<std::size_t>(number)].exchange(false)) onSignal_(number);
}

}  // namespace wingslip
