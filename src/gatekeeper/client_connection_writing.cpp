/// The writing side of a client connection: the handler's responses and the server's own.
#include <boost/asio/post.hpp>
#include <string>
#include <utility>
#include <variant>

#include "gatekeeper/client_connection.hpp"
#include "net/socket_io.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {

// --- The handler's responses -------------------------------------------------------------------------------

void ClientServer::Connection::respond(ClientResponse&& response) {
  if (state_ != State::inFlight) return;
  responseMemory_ = std::move(response.bodyMemory);
  closeAfterResponse_ = closeAfterResponse_ || overflow_ || mustCloseAfterResponse() ||
                        (server_.overloadManager_.isMemoryOverloaded() && !bodyDone_);
  state_ = State::responding;
  recordWait(WaitQueue::responseWrite);
  bodyPieceHandler_ = nullptr;
  releaseRequestMemory();
  output_.addResponse(response, !closeAfterResponse_);
  write();
}

// Whether bytes that the client sent behind the request have been read or wait to be read. After a close they
// would get no answer.
bool ClientServer::Connection::hasInputBehindRequest() {
  if (!bodyDone_) return false;  // they belong to the request's own body
  Error error;
  return input_.size() > 0 || socket_.available(error) > 0;
}

bool ClientServer::Connection::mustCloseAfterResponse() {
  if (!server_.draining_ && !server_.overloadManager_.areDescriptorsOverloaded()) return false;
  return !hasInputBehindRequest();
}

// Whether the client has been told, or is being told, that its connection is closed after this response.
bool ClientServer::Connection::announcedClose() const {
  return closeAfterResponse_ && bodyDone_ && (state_ == State::streaming || state_ == State::responding);
}

void ClientServer::Connection::startStream(const StreamedResponseHead& head) {
  if (state_ != State::inFlight) return;
  output_.chooseFraming(head, requestVersion_);
  closeAfterResponse_ =
      closeAfterResponse_ || !output_.isDelimited() || (server_.draining_ && !hasInputBehindRequest());
  state_ = State::streaming;
  responseStreamed_ = true;
  recordWait(WaitQueue::responseBodyWindow);
  bodyPieceHandler_ = nullptr;
  releaseRequestMemory();
  output_.addStreamHead(head, !closeAfterResponse_);
  write();
}

void ClientServer::Connection::sendPiece(std::string&& piece, bool last,
                                         std::function<void()> onPieceWritten) {
  if (state_ != State::streaming) return;
  output_.addPiece(std::move(piece), last);
  if (last) state_ = State::responding;
  onPieceWritten_ = std::move(onPieceWritten);
  if (output_.hasPending()) return write();
  if (!output_.isWriting()) asio::post(socket_.get_executor(), guardPosted([this] { onWritten(); }));
}

void ClientServer::Connection::chargeFinalPiece(MemoryBudget::Charge&& memory) {
  if (state_ != State::closed) responseMemory_ = std::move(memory);
}

// The client detects the truncation of a delimited body by its missing end; otherwise the connection is
// reset.
void ClientServer::Connection::abortStream() {
  if (state_ != State::streaming) return;
  Error ignored;
  if (!output_.isDelimited()) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close(CloseReason::responseTruncated);
}

// --- Responses without the handler -------------------------------------------------------------------------

void ClientServer::Connection::respondReadiness(http::verb method) {
  if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
  const bool ready = server_.handler_.ready() && !server_.draining_;
  reject({ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready"});
}

// Responds to a request that the handler has not received or has already ended.
void ClientServer::Connection::reject(const ImmediateResponse& rejection, decision::Time retryAfterMs) {
  server_.stats_.rejected += rejection.status != http::status::ok;
  if (rejection.status == http::status::request_timeout) {
    bodyDone_ = true;
    closeAfterResponse_ = true;
  }
  if (!bodyDone_ && !parser_->is_header_done()) bodyDone_ = true;
  state_ = State::inFlight;
  ClientResponse response;
  response.status = rejection.status;
  response.body = std::string(rejection.message) + "\n";
  response.retryAfterMs = retryAfterMs;
  respond(std::move(response));
}

void ClientServer::Connection::rejectForCapacity(WaitQueue queue) {
  countRejection(queue);
  if (parser_->is_header_done()) {
    const auto parsed = parseClientRequest(parser_->get(), statesBody(), server_.config_);
    if (const auto* request = std::get_if<ParsedRequest>(&parsed))
      server_.handler_.onRequestRejected(request->classIndex);
  }
  rejectRest(kNoCapacity, server_.rejectionRetryAfterMs());
}

// Ends a request in flight whose streamed body is not read on. It has not run: no worker has its last byte.
void ClientServer::Connection::rejectBody(RequestEnd end, const ImmediateResponse& rejection,
                                          decision::Time retryAfterMs) {
  server_.handler_.onRequestEnded(requestId_, end);
  rejectRest(rejection, retryAfterMs);
}

// No more of the request is awaited.
void ClientServer::Connection::rejectRest(const ImmediateResponse& rejection, decision::Time retryAfterMs) {
  bodyDone_ = true;
  closeAfterResponse_ = true;
  reject(rejection, retryAfterMs);
}

// --- Output ------------------------------------------------------------------------------------------------

void ClientServer::Connection::write() {
  if (output_.isWriting() || !output_.hasPending()) return;
  const auto bytes = output_.startWrite();
  if (state_ == State::responding || state_ == State::streaming) armTimer(server_.limits_.writeTimeout);
  asyncWriteAll(
      socket_, bytes, [self = shared_from_this(), this] { return state_ != State::closed; },
      [self = shared_from_this(), this](const Error& error) {
        if (error) return close(closeReasonOf(error));
        onWritten();
      });
  unacknowledgedBytes_ = unacknowledgedBytes(socket_);
}

// A write may take longer than the timeout although the client reads all the time: the kernel reports room
// only when a third of its buffer is free.
bool ClientServer::Connection::hasClientTakenBytes() {
  if (state_ != State::streaming && state_ != State::responding) return false;
  const std::size_t before = std::exchange(unacknowledgedBytes_, unacknowledgedBytes(socket_));
  return unacknowledgedBytes_ < before;
}

void ClientServer::Connection::onWritten() {
  output_.finishWrite();
  if (output_.hasPending()) return write();
  if (state_ == State::streaming) {
    timer_.cancel();
    if (const auto callback = std::exchange(onPieceWritten_, nullptr)) callback();
    return;
  }
  if (state_ != State::responding) return;
  onPieceWritten_ = nullptr;
  responseMemory_.release();
  // Without a 100 Continue, the client does not send the body.
  if (!bodyDone_ && !continueHandled_ && expectsContinue_) {
    bodyDone_ = true;
    closeAfterResponse_ = true;
  }
  if (bodyDone_ || (closeAfterResponse_ && server_.overloadManager_.isMemoryOverloaded()))
    return finishExchange();
  state_ = State::discardingBody;
  recordWait(WaitQueue::incompleteRequest);
  armTimer(server_.limits_.bodyDiscardTimeout);
  processInput();
  if (state_ != State::closed) read();
}

}  // namespace wingslip
