/// Signals of the process, told to the loop.
///
/// A signal's handler notes it in a flag and writes to a pipe; the loop wakes by the pipe and reads the
/// flags, so that an interrupted or short read or write of the pipe loses no signal. Asio's own signal_set
/// takes the number from the pipe and loses it where the read is interrupted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <initializer_list>

namespace wingslip {

/// One for a process, while it lives: the handlers are the process's.
class SignalWatch {
 public:
  /// `told(number)` is called from the loop, once for all signals of that number that came together.
  /// Throws std::runtime_error where there is no pipe or a handler cannot be set.
  SignalWatch(boost::asio::io_context& io, std::initializer_list<int> numbers, std::function<void(int)> told);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  void wait();
  void emptyPipe();
  void tell();

  const std::function<void(int)> told_;
  boost::asio::posix::stream_descriptor wake_;
};

}  // namespace wingslip
