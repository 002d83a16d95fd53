/// A client's request from its receipt, before the decision module admits it, to its final answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "gatekeeper/attempt_message.hpp"
#include "gatekeeper/client_request.hpp"
#include "gatekeeper/metrics.hpp"
#include "gatekeeper/request_handler.hpp"
#include "invariant/monitor.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Owned by the gatekeeper's table of requests; its timer runs on the one event loop.
struct RequestInFlight {
  explicit RequestInFlight(boost::asio::io_context& io) : deadlineTimer(io) {}

  ClientMessage message;
  std::shared_ptr<Responder> responder;
  boost::asio::steady_timer deadlineTimer;
  decision::Time expiresAt = 0;
  decision::Time clientWaitMs = 0;  ///< from the request's last byte to the client's deadline
  BodyFraming body;
  bool bodyForwarded = false;    ///< pieces of the body went to a worker: `message` lacks it, no retry
  bool responseStarted = false;  ///< the client has the beginning of a streamed response
  unsigned attemptCount = 0;
  decision::AttemptResult lastAttemptResult = decision::AttemptResult::ok;
  decision::Time attemptExpiresAt = 0;  ///< of the attempt that is out
  ClassCounts* classCounts = nullptr;   ///< in the gatekeeper's metrics
  invariant::RequestTrace trace;
};

}  // namespace wingslip
