/// Delivers the process's signals on the event loop.
///
/// The signal handler sets a flag per signal and writes a byte to a pipe. The pipe only wakes the event loop,
/// which then reads the flags, so that an interrupted or short read or write of the pipe loses no signal.
/// Asio's signal_set reads the signal number from the pipe and loses it if the read is interrupted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <initializer_list>

namespace wingslip {

/// At most one instance may exist at a time, since signal handlers are global to the process.
class SignalWatch {
 public:
  /// @param onSignal called on the event loop with the signal's number, once for all signals of that number
  /// that arrived since the last call
  /// @throws std::runtime_error if the pipe cannot be created or a signal handler cannot be installed.
  SignalWatch(boost::asio::io_context& io, std::initializer_list<int> signals,
              std::function<void(int)> onSignal);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  void wait();
  void drainPipe();
  void dispatchPending();

  const std::function<void(int)> onSignal_;
  boost::asio::posix::stream_descriptor wakePipe_;
};

}  // namespace wingslip
