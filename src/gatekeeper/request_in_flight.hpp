/// State of a client's request from its receipt, before the decision module admits it, to its final response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>

#include "gatekeeper/attempt_message.hpp"
#include "gatekeeper/client_request.hpp"
#include "gatekeeper/metrics.hpp"
#include "gatekeeper/request_handler.hpp"
#include "invariant/monitor.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// A request without a final response. Owned by the gatekeeper's request table and used on the event loop
/// only. Times are ms of the decision clock.
struct RequestInFlight {
  explicit RequestInFlight(boost::asio::io_context& io) : deadlineTimer(io) {}

  ClientMessage message;
  std::shared_ptr<Responder> responder;
  boost::asio::steady_timer deadlineTimer;
  decision::Time responseDueAt = 0;       ///< when the response is due; an upper bound while `bodyArriving`
  decision::Time responseDueAfterMs = 0;  ///< from the request's last byte until `responseDueAt`
  BodyFraming body;                       ///< whether the body is streamed, and its length if known
  bool bodyArriving = false;              ///< the last piece of a streamed body has not been delivered
  bool bodyForwarded = false;             ///< streamed body no longer in `message`: no retry possible
  std::uint64_t sentId = 0;               ///< `Req-Id` as a number
  bool recordsSends = false;              ///< its class does not permit free repeats: see `SentRequests`
  bool sendRecorded = false;              ///< an attempt of this or an earlier request of the id is recorded
  bool mayHaveRun = false;                ///< a worker may have run one of its attempts
  bool responseHeaderReceived = false;    ///< of the attempt in flight, whose response is unfinished
  bool responseStarted = false;           ///< a response is being streamed to the client
  unsigned attemptCount = 0;              ///< attempts started, including those not sent
  decision::AttemptResult lastAttemptResult = decision::AttemptResult::ok;
  decision::Time attemptExpiresAt = 0;  ///< when the attempt in flight times out
  ClassCounts* classCounts = nullptr;   ///< counts of its request class, owned by the gatekeeper
  invariant::RequestTrace trace;
};

}  // namespace wingslip
