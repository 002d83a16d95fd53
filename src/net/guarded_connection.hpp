/// The base class of a connection whose asynchronous operations may complete after it has ended.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace wingslip {

/// `Connection` derives from GuardedConnection<Connection> and is held by a std::shared_ptr.
template <class Connection>
class GuardedConnection : public std::enable_shared_from_this<Connection> {
 protected:
  /// A completion handler that keeps the connection alive, and calls `handler(error, bytes)` unless the
  /// connection has ended by then. Fits operations with and without a count of bytes.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = this->shared_from_this(), handler = std::move(handler)](
               const boost::system::error_code& error, std::size_t bytes = 0) {
      if (!self->ended()) handler(error, bytes);
    };
  }

  /// From now on no guarded handler does anything.
  void markEnded() { ended_ = true; }

 public:
  bool ended() const { return ended_; }

 private:
  bool ended_ = false;
};

}  // namespace wingslip
