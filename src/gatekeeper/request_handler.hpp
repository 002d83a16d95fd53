/// The interfaces between the client server and the request handling of the gatekeeper. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatekeeper/client_request.hpp"
#include "gatekeeper/client_response.hpp"
#include "gatekeeper/close_reason.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Writes the response of one request to its client connection, and reads its remaining request body.
/// Calls after the end of the request have no effect.
class Responder {
 public:
  /// Receives body bytes; `last`: the body is complete.
  using BodyPieceHandler = std::function<void(std::string&& piece, bool last)>;

  virtual ~Responder() = default;
  /// Sends the final response. At most once per request, and not together with `startStream`.
  virtual void respond(ClientResponse&& response) = 0;
  /// Starts a streamed response: its head, followed by `sendPiece` for each piece of the body.
  virtual void startStream(const StreamedResponseHead& head) = 0;
  /// Sends a piece of the body. `onWritten` is called when the piece is written, and the next one may be sent
  /// then; it is not called for the last piece.
  virtual void sendPiece(std::string&& piece, bool last, std::function<void()> onWritten) = 0;
  /// Takes over the memory charge for the final piece; released when that piece is written.
  virtual void chargeFinalPiece(MemoryBudget::Charge&& memory) = 0;
  /// Aborts a streamed response that cannot be completed, so that the client detects the truncation.
  virtual void abortStream() = 0;
  /// Requests the next piece of a streamed request body. `onPiece` is called after this returns; it is not
  /// called if the client disconnects.
  virtual void readBody(BodyPieceHandler onPiece) = 0;
  /// The lag of the request's body in ms (`BodyLag`): at least the time since the client sent the last byte,
  /// if it has sent it. Grows by no more than the time that passes, except after the process stood still.
  virtual decision::Time bodyLagMs() = 0;
  /// Whether the client has disconnected, even if bytes sent before that are still unread.
  virtual bool hasDisconnected() = 0;
  /// Whether the end of the client's stream may have been sent and be out of sight, because so much is unread
  /// that the kernel has no room for more, and the client has not been seen connected for a while.
  virtual bool mayHaveDisconnected() = 0;
  /// Closes the connection of a request in flight after `hasDisconnected` has returned true.
  virtual void closeDisconnected() = 0;
};

/// Why a request in flight ends without a response of the handler.
enum class RequestEnd {
  clientDisconnected,
  bodyMalformed,      ///< the rest of the body is malformed or exceeds a limit
  bodyTooSlow,        ///< the client sends the body too slowly, or has stopped
  bodyWithoutMemory,  ///< the rest of the body gets no memory
};

/// Receives the clients' requests. Called on the event loop.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Whether requests are served; reported by the readiness endpoint.
  virtual bool ready() const = 0;
  /// Returns a new id for the next request.
  virtual decision::RequestId nextRequestId() = 0;
  /// Handles a request. `responder` gets one response, possibly before this returns.
  virtual void onRequest(decision::RequestId id, const ParsedRequest& request, ClientMessage&& message,
                         const std::shared_ptr<Responder>& responder) = 0;
  /// A request in flight has ended: the handler's response is no longer needed. Unless the client has
  /// disconnected, the connection responds.
  virtual void onRequestEnded(decision::RequestId id, RequestEnd end) = 0;
  /// A request of this class was rejected by the client server, without a call of `onRequest`.
  virtual void onRequestRejected(unsigned classIndex) = 0;
  /// A connection was closed by the server while a request on it was unanswered.
  virtual void onClosedUnanswered(CloseReason reason) = 0;
};

}  // namespace wingslip
