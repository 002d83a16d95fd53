/// The lifecycle of a request: received from a client, sent to workers as the decision module directs,
/// answered exactly once.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cmath>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/gatekeeper_limits.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::AttemptOutcome;
using decision::AttemptResult;
using decision::RequestId;
using decision::Time;
using decision::WorkerId;

// Part of the client's deadline that is reserved for returning the response to the client. Of it,
// this process takes 0.4 ms at the 99th percentile.
constexpr Time kResponseReserveMs = 10;
// From the deadline until a response without a length must progress like a long one. The final answer of any
// other response is due 500 ms after the deadline.
constexpr Time kShortResponseGraceMs = 400;
constexpr Time kShortResponseRecheckMs = 100;
constexpr Time kMaxUploadMs = 30 * 60 * 1000;     // longer than the slowest client takes to send a body
constexpr Time kRetryAfterBeforeServingMs = 250;  // Retry-After of requests rejected before serving starts

// `Req-Id` as a number; it has 16 hexadecimal digits.
std::uint64_t requestIdNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number, 16);
  return number;
}

invariant::RequestState stateOf(http::status status) {
  if (status == http::status::ok) return invariant::RequestState::answered;
  const bool rejected =
      status == http::status::too_many_requests || status == http::status::service_unavailable;
  return rejected ? invariant::RequestState::rejected : invariant::RequestState::failed;
}

}  // namespace

// --- Clients -----------------------------------------------------------------------------------------------

void Gatekeeper::onRequest(RequestId id, const ParsedRequest& parsed, ClientMessage&& message,
                           const std::shared_ptr<Responder>& responder) {
  const Time now = clock_.now();
  RequestInFlight& request = requests_.try_emplace(id, io_).first->second;
  request.classCounts = &countsOf(parsed.classIndex);
  request.message = std::move(message);
  request.responder = responder;
  request.responseDueAfterMs = std::max(0.0, parsed.clientWaitMs - kResponseReserveMs);
  request.body = {!parsed.bodyComplete, parsed.contentLength};
  request.bodyArriving = request.body.streamed;
  // The deadline counts from the request's last byte. While a streamed body arrives, kMaxUploadMs is an upper
  // bound, and the deadline timer follows the body's lag (`remainingMs`).
  const Time uploadMs = request.bodyArriving ? kMaxUploadMs : 0;
  const decision::ClassSettings& requestClass = config_.settings.classes[parsed.classIndex];
  request.recordsSends = requestClass.idempotency != decision::Idempotency::idempotent;
  request.sentId = requestIdNumber(toStringView(request.message["Req-Id"]));
  request.trace.requestId = std::string(toStringView(request.message["Req-Id"]));
  request.trace.idempotency = requestClass.idempotency;
  request.trace.idempotencyWindowMs = requestClass.idempotencyWindowMs;
  request.trace.maxAttempts = config_.settings.maxAttempts;
  request.trace.deadline = now + parsed.clientWaitMs + uploadMs;
  monitor_.requestReceived(request.trace, now);
  request.responseDueAt = now + request.responseDueAfterMs + uploadMs;
  startDeadlineTimer(id, request);
  overloadManager_.onActivity();
  const decision::Request decisionRequest{id,
                                          parsed.classIndex,
                                          parsed.planIndex,
                                          parsed.customer,
                                          request.responseDueAt,
                                          parsed.units,
                                          parsed.customerGatewayCount,
                                          static_cast<double>(parsed.memoryBytes),
                                          earlierAttemptOf(id, request)};
  if (serving_) return gateway_.onRequest(now, decisionRequest);
  earlyRequests_.emplace(id, decisionRequest);
}

// The attempt of an earlier request with the same id. While that request is in flight, its attempt may be
// about to be sent even if none is recorded.
std::optional<decision::EarlierAttempt> Gatekeeper::earlierAttemptOf(RequestId id, RequestInFlight& request) {
  if (!request.recordsSends) return std::nullopt;
  const bool isInFlight = !recordedIds_.try_emplace(request.sentId, id).second;
  const auto sent = sentRequests_.find(request.sentId);
  if (!sent && !isInFlight) return std::nullopt;
  request.sendRecorded = true;
  request.mayHaveRun = true;
  ++metrics_.repeatedIds;
  requestLog_.warn("id has come before: request=" + std::string(toStringView(request.message["Req-Id"])) +
                   (isInFlight ? " (in flight)" : ""));
  return decision::EarlierAttempt{sent ? sent->sentAt : clock_.now(), sent ? sent->worker : 0, isInFlight};
}

void Gatekeeper::recordSend(RequestInFlight& request, WorkerId worker) {
  if (!request.recordsSends || std::exchange(request.sendRecorded, true)) return;
  sentRequests_.add(request.sentId, {clock_.now(), worker});
}

// Removes a request that has its final response, or needs none.
void Gatekeeper::releaseRequest(RequestTable::iterator request) {
  const auto recorded = recordedIds_.find(request->second.sentId);
  if (recorded != recordedIds_.end() && recorded->second == request->first) recordedIds_.erase(recorded);
  earlyRequests_.erase(request->first);
  requests_.erase(request);
}

ClassCounts& Gatekeeper::countsOf(unsigned classIndex) {
  const auto found = metrics_.classes.find(config_.host.classes[classIndex]);
  return found == metrics_.classes.end() ? overflowClassCounts_ : found->second;
}

void Gatekeeper::onRequestRejected(unsigned classIndex) {
  ++finalResponses_.rejected;
  ++countsOf(classIndex).rejected;
}

void Gatekeeper::onClosedUnanswered(CloseReason reason) {
  monitor_.connectionClosedUnanswered(std::string(kCloseReasonNames[static_cast<std::size_t>(reason)]),
                                      clock_.now());
}

// Time until the response is due. While a body arrives, this is the time if the client has already sent the
// last byte; it is extended whenever the client turns out not to have sent it.
Time Gatekeeper::remainingMs(const RequestInFlight& request) const {
  if (request.bodyArriving) return request.responseDueAfterMs - request.responder->bodyLagMs();
  return request.responseDueAt - clock_.now();
}

void Gatekeeper::startDeadlineTimer(RequestId id, RequestInFlight& request) {
  request.deadlineTimer.expires_after(toDuration(remainingMs(request)));
  request.deadlineTimer.async_wait([this, id](const Error& error) {
    if (!error) onDeadlineTimer(id);
  });
}

// The timer of a body that arrives was set for the lag that the body had then. If the gatekeeper has since
// waited for the client, the deadline is later.
void Gatekeeper::onDeadlineTimer(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.responseStarted) return;
  RequestInFlight& request = found->second;
  if (request.bodyArriving) {
    if (remainingMs(request) > 0) return startDeadlineTimer(id, request);
    const Time now = clock_.now();
    setDeadline(request, now);
    gateway_.onDeadlineChange(id, now);
  }
  onDeadline(id);
}

void Gatekeeper::setDeadline(RequestInFlight& request, Time responseDueAt) {
  request.bodyArriving = false;
  request.responseDueAt = responseDueAt;
  request.trace.deadline = responseDueAt + kResponseReserveMs;
}

// For the checks of the invariant monitor, while the body arrives. A response that has started has no
// deadline.
void Gatekeeper::updateTraceDeadline(RequestInFlight& request) const {
  if (request.bodyArriving && !request.responseStarted)
    request.trace.deadline = clock_.now() + remainingMs(request) + kResponseReserveMs;
}

void Gatekeeper::readBody(RequestId id, AttemptRequest::BodyPieceHandler onPiece) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.bodyForwarded = true;
  std::string().swap(found->second.message.body());
  found->second.responder->readBody([this, id, onPiece = std::move(onPiece)](std::string&& piece, bool last) {
    const auto request = requests_.find(id);
    if (request == requests_.end()) return;
    // A worker starts a request at its last byte, so after the deadline it must not get that byte.
    if (last && remainingMs(request->second) <= 0) return onDeadlineTimer(id);
    if (last) onRequestComplete(id, request->second);
    onPiece(std::move(piece), last);
  });
}

void Gatekeeper::onRequestComplete(RequestId id, RequestInFlight& request) {
  const Time now = clock_.now();
  setDeadline(request, now + remainingMs(request));
  startDeadlineTimer(id, request);
  gateway_.onRequestComplete(now, id, request.responseDueAt);
}

void Gatekeeper::onRequestEnded(RequestId id, RequestEnd end) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const bool rejected = end == RequestEnd::bodyWithoutMemory;
  finalResponses_.rejected += rejected;
  ++(rejected ? found->second.classCounts->rejected : found->second.classCounts->failure);
  monitor_.clientClosed(found->second.trace, clock_.now());
  releaseRequest(found);
  gateway_.onClientDisconnect(clock_.now(), id);
  if (auto attempt = pool_.cancelAttempt(id, AttemptResult::cancelled)) onAttemptDone(std::move(*attempt));
}

// A response that has begun and may be long, by its header, is passed on from now on. Any other
// attempt in flight is reported to the decision module as timed out, at a time that is never before the
// deadline. The client gets a response now, even if the decision module then starts another attempt, which
// `fail` cancels.
void Gatekeeper::onDeadline(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.responseStarted) return;
  if (!serving_) return reject(id, kRetryAfterBeforeServingMs);
  if (pool_.streamUnfinishedResponse(id)) return void(++metrics_.startedWithoutEnd);
  if (auto end = pool_.cancelAttempt(id, AttemptResult::timeout)) {
    end->outcome.requestFinished = false;
    recordAttemptEnd(end->outcome);
    gateway_.onAttemptOutcome(std::max(clock_.now(), found->second.responseDueAt), end->outcome);
  }
  if (!requests_.contains(id)) return;
  fail(id);
  gateway_.onClientDisconnect(clock_.now(), id);
}

void Gatekeeper::failRemaining() {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_)
    if (!request.responseStarted) ids.push_back(id);  // a response being streamed may finish
  for (const RequestId id : ids) {
    if (!serving_) {
      reject(id, kRetryAfterBeforeServingMs);
      continue;
    }
    fail(id);
    gateway_.onClientDisconnect(clock_.now(), id);
    if (auto end = pool_.cancelAttempt(id, AttemptResult::cancelled)) onAttemptDone(std::move(*end));
  }
}

// --- Workers -----------------------------------------------------------------------------------------------

// The id and the last states of a request whose course is not the ordinary one.
void Gatekeeper::logRequest(const RequestInFlight& request, const std::string& event) {
  requestLog_.warn(event + ": " + request.trace.text(clock_.now()));
}

void Gatekeeper::recordAttemptEnd(const AttemptOutcome& outcome) {
  const auto found = requests_.find(outcome.id);
  if (found == requests_.end()) return;
  RequestInFlight& request = found->second;
  request.lastAttemptResult = outcome.result;
  if (!decision::provesNotRun(outcome.result)) request.mayHaveRun = true;
  if (!request.mayHaveRun && std::exchange(request.sendRecorded, false)) sentRequests_.remove(request.sentId);
  monitor_.attemptEnded(request.trace, outcome.worker, outcome.result, clock_.now());
  const bool headerReceived = std::exchange(request.responseHeaderReceived, false);
  if (headerReceived && !request.responseStarted && outcome.result == AttemptResult::timeout)
    logRequest(request, "answer begun and not passed on: timed out");
}

void Gatekeeper::onAttemptDone(AttemptEnd&& end) {
  AttemptOutcome& outcome = end.outcome;
  recordAttemptEnd(outcome);
  const bool inFlight = requests_.contains(outcome.id);
  outcome.requestFinished = !inFlight || outcome.result == AttemptResult::ok;
  overloadManager_.onActivity();
  if (inFlight && requests_.at(outcome.id).responseStarted) {
    finishStreamedResponse(end);
  } else if (inFlight && outcome.result == AttemptResult::ok) {
    ClientResponse response;
    response.body = std::move(end.body);
    response.contentType = std::move(end.contentType);
    response.bodyMemory = std::move(end.bodyMemory);
    ++finalResponses_.served;
    ++requests_.at(outcome.id).classCounts->success;
    respond(outcome.id, std::move(response));
  }
  gateway_.onAttemptOutcome(clock_.now(), outcome);
}

void Gatekeeper::onResponseHeader(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.responseHeaderReceived = true;
  monitor_.responseBegun(found->second.trace, clock_.now());
}

void Gatekeeper::onResponseStart(RequestId id, const std::string& contentType,
                                 std::optional<std::uint64_t> length) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.responseStarted = true;
  found->second.deadlineTimer.cancel();
  if (!length) startShortResponseTimer(id, found->second);
  monitor_.responseStreaming(found->second.trace, clock_.now());
  gateway_.onResponseStarted(clock_.now(), id);
  found->second.responder->startStream({contentType, length});
}

// Without a length, a response that the worker never ends is told from a long one by its progress alone,
// until it is longer than any short one.
void Gatekeeper::startShortResponseTimer(RequestId id, RequestInFlight& request) {
  const Time endsAt = request.responseDueAt + kResponseReserveMs + kShortResponseGraceMs;
  endShortResponseAfter(endsAt - clock_.now(), id, request);
}

void Gatekeeper::endShortResponseAfter(Time waitMs, RequestId id, RequestInFlight& request) {
  request.deadlineTimer.expires_after(toDuration(waitMs));
  request.deadlineTimer.async_wait([this, id](const Error& error) {
    if (!error) endShortResponse(id);
  });
}

void Gatekeeper::endShortResponse(RequestId id) {
  if (!pool_.endShortResponse(id)) return;
  const auto found = requests_.find(id);
  if (found != requests_.end()) endShortResponseAfter(kShortResponseRecheckMs, id, found->second);
}

void Gatekeeper::forwardPiece(RequestId id, std::string&& piece) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second.trace.streamedBytes += piece.size();
  const auto responder = found->second.responder;
  responder->sendPiece(std::move(piece), false, [this, id] { pool_.resumeResponse(id); });
}

// Ends a streamed response, complete or truncated.
void Gatekeeper::finishStreamedResponse(AttemptEnd& end) {
  end.outcome.requestFinished = true;
  const auto found = requests_.find(end.outcome.id);
  const bool complete = end.outcome.result == AttemptResult::ok;
  found->second.trace.streamedBytes += end.body.size();
  if (!complete) {
    ++metrics_.truncatedResponses;
    logRequest(found->second,
               "answer cut after " + std::to_string(found->second.trace.streamedBytes) + " bytes");
  }
  ++(complete ? finalResponses_.served : finalResponses_.failed);
  ++(complete ? found->second.classCounts->success : found->second.classCounts->failure);
  const auto responder = conclude(
      end.outcome.id, complete ? invariant::RequestState::answered : invariant::RequestState::truncated);
  if (complete) {
    responder->chargeFinalPiece(std::move(end.bodyMemory));
    responder->sendPiece(std::move(end.body), true, nullptr);
  } else {
    responder->abortStream();
  }
}

// --- Attempts and final responses --------------------------------------------------------------------------
// The decision module calls startAttempt, reject, fail, setTimer and log while it handles an event, so none
// of these may pass it another event synchronously.

void Gatekeeper::startAttempt(RequestId id, WorkerId worker, Time timeout) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  RequestInFlight& request = found->second;
  const Time now = clock_.now();
  const Time remaining = remainingMs(request);
  // The client may have disconnected although the pending read has not reported it yet. The connection is
  // closed from a posted handler, since closing it passes an event to the decision module.
  const bool disconnected = request.responder->hasDisconnected();
  if (disconnected) asio::post(io_, [responder = request.responder] { responder->closeDisconnected(); });
  const bool unseen = request.responder->mayHaveDisconnected();
  if (unseen) sendRefusals_.add(SendRefusal::clientUnseen);
  if (disconnected || unseen || remaining <= 0 || request.bodyForwarded)
    return reportNotSent(id, request.attemptCount++, worker);
  const bool beforeDeadline = timeout > 0 && timeout < remaining;
  if (request.attemptCount > 0) metrics_.retries.add(request.lastAttemptResult);
  request.attemptExpiresAt = beforeDeadline ? now + timeout : request.responseDueAt;
  monitor_.attemptConnecting(request.trace, worker, now);
  pool_.startAttempt(id, request.attemptCount++, worker, attemptRequest(id, request, worker),
                     beforeDeadline ? std::optional(toDuration(timeout)) : std::nullopt);
}

// `startAttempt` checks only a part of these conditions. All are checked before the first byte is sent:
// establishing a connection may have taken time since the decision.
SendRefusal Gatekeeper::refusalOf(RequestId id, WorkerId worker) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return SendRefusal::requestOver;
  if (found->second.responder->hasDisconnected()) return SendRefusal::clientDisconnected;
  if (found->second.responder->mayHaveDisconnected()) return SendRefusal::clientUnseen;
  if (remainingMs(found->second) <= 0) return SendRefusal::deadlinePassed;
  if (!readyWorkers_.contains(worker)) return SendRefusal::workerNotReady;
  if (excluded_.contains(worker)) return SendRefusal::workerExcluded;
  if (!gateway_.maySend(clock_.now(), id)) return SendRefusal::repeatNotAllowed;
  const RequestInFlight& request = found->second;
  if (request.recordsSends && !request.sendRecorded && sentRequests_.find(request.sentId))
    return SendRefusal::sentElsewhere;
  return SendRefusal::none;
}

// The only place that permits a request to be sent to a worker, called immediately before its first byte is
// written.
// The deadline for the worker is computed here: computed earlier, it would be too long by the time that
// connecting took.
std::optional<std::string> Gatekeeper::authorizeSend(RequestId id, WorkerId worker) {
  const Time now = clock_.now();
  const SendRefusal refusal = refusalOf(id, worker);
  sendRefusals_.add(refusal);
  if (refusal != SendRefusal::none) {
    if (const auto found = requests_.find(id); found != requests_.end())
      logRequest(found->second,
                 "not sent: " + std::string(kSendRefusalNames[static_cast<std::size_t>(refusal)]));
    return std::nullopt;
  }
  RequestInFlight& request = requests_.at(id);
  Time remaining = remainingMs(request);
  if (!request.bodyArriving) remaining = std::min(remaining, request.attemptExpiresAt - now);
  const Time deadlineMs = std::max(1.0, std::floor(remaining));
  updateTraceDeadline(request);
  recordSend(request, worker);
  monitor_.attemptSending(request.trace, worker, now, deadlineMs);
  return serializeAttempt(request.message, request.body, deadlineMs);
}

// Ends an attempt of which nothing is sent. The decision module gets the outcome from a posted handler, since
// it may not get an event during one of its actions.
void Gatekeeper::reportNotSent(RequestId id, unsigned attempt, WorkerId worker) {
  AttemptEnd end;
  end.outcome.id = id;
  end.outcome.attempt = attempt;
  end.outcome.worker = worker;
  end.outcome.result = AttemptResult::notSent;
  asio::post(io_, [this, end = std::move(end)]() mutable { onAttemptDone(std::move(end)); });
}

void Gatekeeper::reject(RequestId id, Time retryAfter) {
  ClientResponse rejection;
  rejection.status = http::status::too_many_requests;
  rejection.body = "refused: try again later\n";
  rejection.retryAfterMs = retryAfter;
  ++finalResponses_.rejected;
  if (const auto found = requests_.find(id); found != requests_.end()) {
    ++found->second.classCounts->rejected;
    recordRejection(found->second);
  }
  cancelAttempt(id);
  respond(id, std::move(rejection));
}

// A rejection before the first attempt has its reason in `Metrics::rejections`; after one, how the last
// attempt ended tells the reason.
void Gatekeeper::recordRejection(const RequestInFlight& request) {
  if (request.attemptCount == 0) return;
  metrics_.rejectionsAfterAttempt.add(request.lastAttemptResult);
  rejectionLog_.warn("refused after " + std::to_string(request.attemptCount) +
                     " attempts: " + request.trace.text(clock_.now()));
}

void Gatekeeper::fail(RequestId id) {
  ClientResponse failure;
  failure.status = http::status::bad_gateway;
  failure.body = "failed\n";
  ++finalResponses_.failed;
  cancelAttempt(id);
  if (const auto found = requests_.find(id); found != requests_.end()) {
    ++found->second.classCounts->failure;
    if (found->second.responseStarted) return conclude(id, invariant::RequestState::truncated)->abortStream();
  }
  respond(id, std::move(failure));
}

void Gatekeeper::setTimer(Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<asio::steady_timer>(io_, toDuration(wait));
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), tag](const Error& error) {
    if (!error) gateway_.onTimer(clock_.now(), tag);
  });
}

void Gatekeeper::log(const std::string& line) { processLog().info("event=decisions text=\"{}\"", line); }

// The only place where a request gets its final response, complete or truncated. It removes the request, so
// later events for it have no effect and no client gets a second response.
std::shared_ptr<Responder> Gatekeeper::conclude(RequestId id, invariant::RequestState finalState) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return nullptr;
  updateTraceDeadline(found->second);
  monitor_.requestAnswered(found->second.trace, finalState, clock_.now());
  auto responder = std::move(found->second.responder);
  releaseRequest(found);
  return responder;
}

void Gatekeeper::respond(RequestId id, ClientResponse&& response) {
  const auto responder = conclude(id, stateOf(response.status));
  if (responder) responder->respond(std::move(response));
}

// The request is serialized only when it can be written (`authorizeSend`).
AttemptRequest Gatekeeper::attemptRequest(RequestId id, const RequestInFlight& request, WorkerId worker) {
  AttemptRequest out;
  out.serialize = [this, id, worker] { return authorizeSend(id, worker); };
  out.mayComplete = [this, id] { return gateway_.maySend(clock_.now(), id); };
  out.remainingTime = [this, id] {
    const auto found = requests_.find(id);
    return found == requests_.end() ? SteadyTime::duration::zero() : toDuration(remainingMs(found->second));
  };
  out.maxSerializedBytes = maxAttemptBytes(request.message);
  if (!request.body.streamed) return out;
  out.chunkedBody = !request.body.contentLength;
  out.readBody = [this, id](AttemptRequest::BodyPieceHandler onPiece) { readBody(id, std::move(onPiece)); };
  return out;
}

// Cancels the request's attempt in flight, if any, when the request gets its final response. The decision
// module gets the outcome from a posted handler.
void Gatekeeper::cancelAttempt(RequestId id) {
  auto end = pool_.cancelAttempt(id, AttemptResult::cancelled);
  if (!end) return;
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), outcome = std::move(end->outcome)]() mutable {
    if (alive.expired()) return;
    outcome.requestFinished = true;
    gateway_.onAttemptOutcome(clock_.now(), outcome);
  });
}

}  // namespace wingslip
