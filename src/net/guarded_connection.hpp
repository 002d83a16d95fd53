/// Base class of connections whose asynchronous operations may complete after the connection has ended.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <utility>

namespace wingslip {

/// Suppresses completion handlers after the end of the connection. `Connection` derives from
/// GuardedConnection<Connection> and is owned by a std::shared_ptr.
template <class Connection>
class GuardedConnection : public std::enable_shared_from_this<Connection> {
 protected:
  /// @return a completion handler that keeps the connection alive and calls `handler(error, bytes)` unless
  /// the connection has ended. Suitable for operations with and without a byte count; without one, `bytes` is
  /// 0.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = this->shared_from_this(), handler = std::move(handler)](
               const boost::system::error_code& error, std::size_t bytes = 0) {
      if (!self->ended()) handler(error, bytes);
    };
  }

  /// Marks the connection as ended: its guarded handlers do nothing from now on.
  void markEnded() { ended_ = true; }

 public:
  /// @return whether `markEnded` was called.
  bool ended() const { return ended_; }

 private:
  bool ended_ = false;
};

}  // namespace wingslip
