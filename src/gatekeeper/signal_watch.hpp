/// Passes the process's signals to the event loop.
///
/// A signal's handler sets a flag and writes to a pipe; the loop wakes by the pipe and reads the
/// flags, so that an interrupted or short read or write of the pipe loses no signal. Asio's own signal_set
/// takes the number from the pipe and loses it where the read is interrupted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <initializer_list>

namespace wingslip {

/// At most one at a time in a process: signal handlers are global.
class SignalWatch {
 public:
  /// `onSignal(number)` is called from the loop, once for all signals of that number that came together.
  /// Throws std::runtime_error where there is no pipe or a handler cannot be set.
  SignalWatch(boost::asio::io_context& io, std::initializer_list<int> numbers,
              std::function<void(int)> onSignal);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  void wait();
  void drainPipe();
  void dispatchPending();

  const std::function<void(int)> onSignal_;
  boost::asio::posix::stream_descriptor wake_;
};

}  // namespace wingslip
