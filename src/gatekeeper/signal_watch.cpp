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

constexpr int kMostNumber = 64;

// What a signal's handler may touch. The pipe's writing end lives as long as the watch.
std::array<std::atomic<bool>, kMostNumber + 1> pending{};
std::atomic<int> pipeEnd{-1};

void note(int number) {
  const int before = errno;
  pending[static_cast<std::size_t>(number)].store(true);
  const char byte = 0;
  // A full pipe has a wake on its way already.
  while (::write(pipeEnd.load(), &byte, 1) < 0 && errno == EINTR) {
  }
  errno = before;
}

}  // namespace

SignalWatch::SignalWatch(boost::asio::io_context& io, std::initializer_list<int> numbers,
                         std::function<void(int)> told)
    : told_(std::move(told)), wake_(io) {
  int ends[2];
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
  wake_.assign(ends[0]);
  pipeEnd.store(ends[1]);
  wait();
  for (const int number : numbers) {
    struct sigaction action {};
    action.sa_handler = note;
    action.sa_flags = SA_RESTART;
    ::sigfillset(&action.sa_mask);
    if (::sigaction(number, &action, nullptr) != 0) throw std::runtime_error("cannot handle a signal");
  }
}

// The handlers stay and write nowhere: a signal that comes while the process ends does not kill it.
SignalWatch::~SignalWatch() { ::close(pipeEnd.exchange(-1)); }

void SignalWatch::wait() {
  wake_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                   [this](const boost::system::error_code& error) {
                     if (error) return;
                     emptyPipe();
                     wait();
                     tell();
                   });
}

void SignalWatch::emptyPipe() {
  char bytes[64];
  ssize_t n = 0;
  do {
    n = ::read(wake_.native_handle(), bytes, sizeof bytes);
  } while (n > 0 || (n < 0 && errno == EINTR));
}

void SignalWatch::tell() {
  for (int number = 1; number <= kMostNumber; ++number)
    if (pending[static_cast<std::size_t>(number)].exchange(false)) told_(number);
}

}  // namespace wingslip
