// One request: taken from its client, sent to workers as the module asks, answered once.
#include <algorithm>
#include <boost/asio/post.hpp>
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
using namespace std::chrono_literals;

constexpr Time kWayBack =
    10;  // ms kept for the way back; measured within the program: 0.4 at the 99th percentile
constexpr Time kMostUpload = 30 * 60 * 1000;  // past any time that the slowest client takes for a body
constexpr Time kEarlyRetry = 250;  // ms advised to what came before the first list and could not wait for it
// Bytes of an attempt beside its client's header and body: the request line, the fields that are set here, a
// chunk's frame; and of each field beside its name and value.
constexpr std::size_t kOwnFields = 160, kFieldFrame = 4;

invariant::RequestState stateOf(http::status status) {
  if (status == http::status::ok) return invariant::RequestState::answered;
  const bool refused =
      status == http::status::too_many_requests || status == http::status::service_unavailable;
  return refused ? invariant::RequestState::refused : invariant::RequestState::failed;
}

}  // namespace

// --- From the clients ------------------------------------------------------------------------------------

void Gatekeeper::take(RequestId id, const Call& call, ClientMessage&& message,
                      const std::shared_ptr<Responder>& responder) {
  const Time now = clock_.now();
  Held& held = held_.try_emplace(id, io_).first->second;
  held.counts = &countsOf(call.klass);
  held.message = std::move(message);
  held.responder = responder;
  held.patience = std::max(0.0, call.patience - kWayBack);
  held.streamed = !call.whole;
  const decision::ClassSettings& klass = config_.settings.classes[call.klass];
  held.trace.name = std::string(view(held.message["Req-Id"]));
  held.trace.repeat = klass.idempotency;
  held.trace.window = klass.idempotencyWindowMs;
  held.trace.cap = config_.settings.maxAttempts;
  held.trace.deadline = now + call.patience + (held.streamed ? kMostUpload : 0);
  monitor_.taken(held.trace, now);
  held.length = call.length;
  // The time of one whose last byte is still to come has not begun; the clients' side bounds the wait for it.
  held.expires = now + held.patience + (held.streamed ? kMostUpload : 0);
  if (!held.streamed) setDeadline(id, held);
  pressure_.activity();
  const decision::Request request{id,           call.klass, call.plan,    call.customer,
                                  held.expires, call.units, call.setSize, static_cast<double>(call.holds)};
  if (settled_) return gateway_.onRequest(now, request);
  early_.push_back(request);
}

ClassCounts& Gatekeeper::countsOf(unsigned klass) {
  const auto found = metrics_.classes.find(config_.host.classes[klass]);
  return found == metrics_.classes.end() ? uncounted_ : found->second;
}

void Gatekeeper::turnedAway(unsigned klass) {
  ++refused_;
  ++countsOf(klass).busy;
}

void Gatekeeper::closedUnanswered(CloseReason reason) {
  monitor_.closedUnanswered(std::string(kCloseReasonNames[static_cast<std::size_t>(reason)]), clock_.now());
}

void Gatekeeper::setDeadline(RequestId id, Held& held) {
  held.deadline.expires_after(span(held.expires - clock_.now()));
  held.deadline.async_wait([this, id](const Error& error) {
    if (!error) expire(id);
  });
}

void Gatekeeper::pull(RequestId id, AttemptRequest::BodyPieceHandler take) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  found->second.pulled = true;
  std::string().swap(found->second.message.body());
  found->second.responder->pull([this, id, take = std::move(take)](std::string&& piece, bool last) {
    const auto held = held_.find(id);
    if (held == held_.end()) return;
    if (last) becameWhole(id, held->second);
    take(std::move(piece), last);
  });
}

void Gatekeeper::becameWhole(RequestId id, Held& held) {
  const Time now = clock_.now();
  held.expires = now + held.patience;
  held.trace.deadline = held.expires + kWayBack;
  setDeadline(id, held);
  gateway_.onRequestComplete(now, id, held.expires);
}

void Gatekeeper::left(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  ++found->second.counts->failure;
  monitor_.clientLeft(found->second.trace, clock_.now());
  held_.erase(found);
  gateway_.onClientDisconnect(clock_.now(), id);
  if (auto end = pool_.cancelAttempt(id, AttemptResult::cancelled)) ended(std::move(*end));
}

// The deadline: an attempt that is out has timed out. The answer goes out now, whatever the module says.
void Gatekeeper::expire(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end() || found->second.answering) return;
  if (!settled_) return reject(id, kEarlyRetry);
  if (auto end = pool_.cancelAttempt(id, AttemptResult::timeout)) {
    end->outcome.requestFinished = false;
    noteEnd(end->outcome);
    gateway_.onAttemptOutcome(std::max(clock_.now(), found->second.expires), end->outcome);
  }
  if (!held_.contains(id)) return;
  fail(id);
  gateway_.onClientDisconnect(clock_.now(), id);
}

void Gatekeeper::giveUpAll() {
  std::vector<RequestId> ids;
  for (const auto& [id, held] : held_)
    if (!held.answering) ids.push_back(id);  // what has begun goes on to the end
  for (const RequestId id : ids) {
    if (!settled_) {
      reject(id, kEarlyRetry);
      continue;
    }
    fail(id);
    gateway_.onClientDisconnect(clock_.now(), id);
    if (auto end = pool_.cancelAttempt(id, AttemptResult::cancelled)) ended(std::move(*end));
  }
}

// --- From the workers ------------------------------------------------------------------------------------

void Gatekeeper::noteEnd(const AttemptOutcome& outcome) {
  const auto found = held_.find(outcome.id);
  if (found == held_.end()) return;
  found->second.lastResult = outcome.result;
  monitor_.ended(found->second.trace, outcome.worker, outcome.result, clock_.now());
}

void Gatekeeper::ended(AttemptEnd&& end) {
  AttemptOutcome& outcome = end.outcome;
  noteEnd(outcome);
  const bool mine = held_.contains(outcome.id);
  outcome.requestFinished = !mine || outcome.result == AttemptResult::ok;
  pressure_.activity();
  if (mine && held_.at(outcome.id).answering) {
    finishStream(end);
  } else if (mine && outcome.result == AttemptResult::ok) {
    Answer served;
    served.body = std::move(end.body);
    served.contentType = std::move(end.contentType);
    served.room = std::move(end.bodyMemory);
    ++served_;
    ++held_.at(outcome.id).counts->success;
    answer(outcome.id, std::move(served));
  }
  gateway_.onAttemptOutcome(clock_.now(), outcome);
}

void Gatekeeper::began(RequestId id, const std::string& contentType, std::optional<std::uint64_t> length) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  found->second.answering = true;
  found->second.deadline.cancel();
  monitor_.streaming(found->second.trace, clock_.now());
  gateway_.onResponseStarted(clock_.now(), id);
  found->second.responder->begin({contentType, length});
}

void Gatekeeper::passOn(RequestId id, std::string&& piece) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto responder = found->second.responder;
  responder->pass(std::move(piece), false, [this, id] { pool_.resumeResponse(id); });
}

// The end of an answer that was passed on as it came, or what could be had of it.
void Gatekeeper::finishStream(AttemptEnd& end) {
  end.outcome.requestFinished = true;
  const auto found = held_.find(end.outcome.id);
  const bool whole = end.outcome.result == AttemptResult::ok;
  ++(whole ? served_ : failed_);
  ++(whole ? found->second.counts->success : found->second.counts->failure);
  const auto responder =
      conclude(end.outcome.id, whole ? invariant::RequestState::answered : invariant::RequestState::cut);
  if (whole) {
    responder->keep(std::move(end.bodyMemory));
    responder->pass(std::move(end.body), true, nullptr);
  } else {
    responder->cut();
  }
}

// --- What the module asks for ----------------------------------------------------------------------------
// These are called from within an event, so none of them feeds the module another.

void Gatekeeper::startAttempt(RequestId id, WorkerId worker, Time timeout) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  const Time now = clock_.now();
  const Time left = held.expires - now;
  // A read may not have told yet, or wait for room. Its connection is ended from a handler of its own.
  const bool gone = held.responder->gone();
  if (gone) asio::post(io_, [responder = held.responder] { responder->leave(); });
  if (gone || left <= 0 || held.pulled) return reportMoot(id, held.attempts++, worker);
  const bool early = timeout > 0 && timeout < left;
  if (held.attempts > 0) metrics_.retries.add(held.lastResult);
  held.attemptUntil = early ? now + timeout : held.expires;
  monitor_.connecting(held.trace, worker, now);
  pool_.startAttempt(id, held.attempts++, worker, attemptRequest(id, held, worker),
                     early ? std::optional(span(timeout)) : std::nullopt);
}

// Between the module's choice and the first byte a connection may have had to come up.
SendRefusal Gatekeeper::refusalOf(RequestId id, WorkerId worker, Time now) const {
  const auto found = held_.find(id);
  if (found == held_.end()) return SendRefusal::request_over;
  if (found->second.responder->gone()) return SendRefusal::client_gone;
  if (found->second.expires <= now) return SendRefusal::time_over;
  if (!listed_.contains(worker)) return SendRefusal::worker_left;
  if (excluded_.contains(worker)) return SendRefusal::worker_excluded;
  return SendRefusal::none;
}

// The one place from which a request goes to a worker, in the moment in which its first byte may be written.
std::optional<std::string> Gatekeeper::compose(RequestId id, WorkerId worker) {
  const Time now = clock_.now();
  const SendRefusal refusal = refusalOf(id, worker, now);
  sendRefusals_.add(refusal);
  if (refusal != SendRefusal::none) return std::nullopt;
  Held& held = held_.at(id);
  const Time left = held.streamed ? held.patience : std::min(held.attemptUntil, held.expires) - now;
  const Time passedOn = std::max(1.0, std::floor(left));
  monitor_.sending(held.trace, worker, now, passedOn);
  return attemptBytes(held, passedOn);
}

// No time is left for the attempt, or its body is gone: nothing is sent, and the module learns so from a
// handler of its own.
void Gatekeeper::reportMoot(RequestId id, unsigned attempt, WorkerId worker) {
  AttemptEnd end;
  end.outcome.id = id;
  end.outcome.attempt = attempt;
  end.outcome.worker = worker;
  end.outcome.result = AttemptResult::notSent;
  asio::post(io_, [this, end = std::move(end)]() mutable { ended(std::move(end)); });
}

void Gatekeeper::reject(RequestId id, Time retryAfter) {
  Answer refusal;
  refusal.status = http::status::too_many_requests;
  refusal.body = "refused: try again later\n";
  refusal.retryAfter = retryAfter;
  ++refused_;
  if (const auto found = held_.find(id); found != held_.end()) ++found->second.counts->busy;
  dropAttempt(id);
  answer(id, std::move(refusal));
}

void Gatekeeper::fail(RequestId id) {
  Answer failure;
  failure.status = http::status::bad_gateway;
  failure.body = "failed\n";
  ++failed_;
  dropAttempt(id);
  if (const auto found = held_.find(id); found != held_.end()) {
    ++found->second.counts->failure;
    // Its client has the beginning.
    if (found->second.answering) return conclude(id, invariant::RequestState::cut)->cut();
  }
  answer(id, std::move(failure));
}

void Gatekeeper::setTimer(Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), tag](const Error& error) {
    if (!error) gateway_.onTimer(clock_.now(), tag);
  });
}

void Gatekeeper::log(const std::string& line) { processLog().info("event=decisions text=\"{}\"", line); }

// The final answer, whole or cut. What comes later for this request finds nothing.
std::shared_ptr<Responder> Gatekeeper::conclude(RequestId id, invariant::RequestState how) {
  const auto found = held_.find(id);
  if (found == held_.end()) return nullptr;
  monitor_.answered(found->second.trace, how, clock_.now());
  auto responder = std::move(found->second.responder);
  held_.erase(found);
  return responder;
}

void Gatekeeper::answer(RequestId id, Answer&& answer) {
  const auto responder = conclude(id, stateOf(answer.status));
  if (responder) responder->answer(std::move(answer));
}

// The client's request with the time that is left; what concerns only the client's connection stays behind.
std::string Gatekeeper::attemptBytes(const Held& held, Time passedOn) {
  http::request<http::empty_body> head(held.message.base());
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::te,
                           http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
                           http::field::expect, http::field::proxy_connection, http::field::content_length})
    head.erase(field);
  head.version(11);
  const std::string_view target = view(held.message.target());
  if (const auto origin = originForm(target); origin.size() != target.size())
    head.target(std::string(origin));
  head.set("Req-Deadline-Ms", std::to_string(std::lround(passedOn)));
  const std::string& body = held.message.body();
  std::string out;
  if (!held.streamed) {
    if (!body.empty() || head.method() != http::verb::get) head.content_length(body.size());
    appendHead(out, head);
    return out += body;
  }
  if (held.length)
    head.content_length(*held.length);
  else
    head.chunked(true);
  appendHead(out, head);
  if (held.length)
    out += body;
  else
    appendChunk(out, body, false);
  return out;
}

// The bytes are made when they can be written (`compose`).
AttemptRequest Gatekeeper::attemptRequest(RequestId id, const Held& held, WorkerId worker) {
  AttemptRequest out;
  out.serialize = [this, id, worker] { return compose(id, worker); };
  out.maxSerializedBytes = kOwnFields + view(held.message.target()).size() + held.message.body().size();
  for (const auto& field : held.message.base())
    out.maxSerializedBytes += view(field.name_string()).size() + view(field.value()).size() + kFieldFrame;
  if (!held.streamed) return out;
  out.chunkedBody = !held.length;
  out.readBody = [this, id](AttemptRequest::BodyPieceHandler take) { pull(id, std::move(take)); };
  return out;
}

// One that is out for a request that the module has given up on. The module learns its end from a handler of
// its own.
void Gatekeeper::dropAttempt(RequestId id) {
  auto end = pool_.cancelAttempt(id, AttemptResult::cancelled);
  if (!end) return;
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), outcome = std::move(end->outcome)]() mutable {
    if (alive.expired()) return;
    outcome.requestFinished = true;
    gateway_.onAttemptOutcome(clock_.now(), outcome);
  });
}

}  // namespace wingslip
