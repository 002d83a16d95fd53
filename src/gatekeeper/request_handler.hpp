/// What the clients' side and the gatekeeper call on each other for a request. All on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "gatekeeper/client_request.hpp"
#include "gatekeeper/client_response.hpp"
#include "gatekeeper/close_reason.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The connection that a request came on, as its handler sees it. Calls after the request's end do nothing.
class Responder {
 public:
  using BodyPieceHandler = std::function<void(std::string&& piece, bool last)>;

  virtual ~Responder() = default;
  /// The final response, once for each request.
  virtual void respond(ClientResponse&& response) = 0;
  /// Or a streamed one: its head, then its pieces, each after `onWritten` was called for the one before.
  virtual void startStream(const StreamedResponseHead& head) = 0;
  virtual void sendPiece(std::string&& piece, bool last, std::function<void()> onWritten) = 0;
  /// Accounts for the last piece until it is written.
  virtual void holdMemory(MemoryBudget::Charge&& memory) = 0;
  /// Ends a streamed response that cannot be completed, so that the client can tell.
  virtual void abortStream() = 0;
  /// Asks for the next piece of a streamed request body. Called back later; never, if the client disconnects.
  virtual void readBody(BodyPieceHandler onPiece) = 0;
  /// Whether the client has disconnected, also behind bytes that nobody has read.
  virtual bool hasDisconnected() = 0;
  /// After `hasDisconnected`: closes the connection.
  virtual void closeDisconnected() = 0;
};

/// Receives the requests of clients, on the event loop.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Whether requests are served, for the readiness endpoint.
  virtual bool ready() const = 0;
  virtual decision::RequestId nextRequestId() = 0;
  /// Takes over a request. The responder is answered once, maybe before this returns.
  virtual void onRequest(decision::RequestId id, const ParsedRequest& request, ClientMessage&& message,
                         const std::shared_ptr<Responder>& responder) = 0;
  /// The client has disconnected: no answer is wanted.
  virtual void onClientDisconnect(decision::RequestId id) = 0;
  /// A request of this class was rejected here and never reached `onRequest`.
  virtual void onRequestRejected(unsigned classIndex) = 0;
  /// A connection was closed with a request read and not answered, while its client was still connected.
  virtual void onClosedUnanswered(CloseReason reason) = 0;
};

}  // namespace wingslip
