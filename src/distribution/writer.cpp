#include "distribution/writer.hpp"

#include <algorithm>
#include <tuple>

namespace wingslip::distribution {

Writer::Writer(Milliseconds now, Term term, const std::vector<std::string>& peers, std::size_t maxUncommitted,
               ReplicaState& state, Send send)
    : term_(term),
      maxUncommitted_(maxUncommitted),
      state_(state),
      send_(std::move(send)),
      nextHeartbeat_(now),
      majorityRespondedAt_(now) {
  for (const std::string& peer : peers) peers_[peer] = Progress{};
}

PublishResult Writer::publish(Milliseconds now, Milliseconds unixTime, const std::string& requestId,
                              const std::vector<Edit>& edits) {
  if (requestId.empty() || requestId.size() > kMaxRequestIdBytes)
    return {PublishStatus::invalid, 0, "a request id of a wrong length"};
  if (!ready_) return {PublishStatus::notWriter, 0, "no majority has promised this term yet"};
  if (const auto version = state_.log().findRequest(requestId)) {
    const bool done = *version <= state_.committed();
    return {done ? PublishStatus::committed : PublishStatus::pending, *version, ""};
  }
  if (const auto fault = findFault(edits)) return {PublishStatus::invalid, 0, *fault};
  if (const auto fault = findOversizedRange(edits)) return {PublishStatus::invalid, 0, *fault};
  if (state_.log().lastVersion() - state_.committed() >= maxUncommitted_)
    return {PublishStatus::busy, 0, "too many changes are not yet committed"};
  if (now - majorityRespondedAt_ > kMajorityTimeout)
    return {PublishStatus::busy, 0, "no majority of the replicas answers"};
  const RecordPointer record = state_.makeRecord(term_, requestId, edits);
  state_.append(record);
  broadcast(unixTime);
  advanceCommit(unixTime);
  const bool done = record->version <= state_.committed();
  return {done ? PublishStatus::committed : PublishStatus::pending, record->version, ""};
}

void Writer::tick(Milliseconds now, Milliseconds unixTime) {
  if (now < nextHeartbeat_) return;
  nextHeartbeat_ = now + kHeartbeatInterval;
  if (!ready_) {
    sendPrepare();
    if (peers_.empty()) becomeReady(now, unixTime);
    return;
  }
  if (peers_.empty()) {
    majorityRespondedAt_ = now;
    state_.advanceWriterTime(unixTime);
  }
  // What was sent and not answered is sent again.
  for (auto& [peer, progress] : peers_) progress.sent = progress.matched;
  broadcast(unixTime);
}

void Writer::sendPrepare() {
  for (const auto& [peer, progress] : peers_)
    if (!promised_.contains(peer)) send_(peer, Prepare{term_, state_.committed()});
}

void Writer::receivePromise(Milliseconds now, Milliseconds unixTime, const std::string& from,
                            const Promise& promise) {
  if (ready_ || promise.term != term_ || !promise.accepted) return;
  if (!adoptLog(promise)) return;  // asked again with the next heartbeat
  promised_.insert(from);
  const std::size_t replicas = peers_.size() + 1;
  if (2 * (promised_.size() + 1) > replicas) becomeReady(now, unixTime);
}

// Whether this log is now at least as new as the promiser's.
bool Writer::adoptLog(const Promise& promise) {
  const auto newness = [this] { return std::tuple(state_.log().lastTerm(), state_.log().lastVersion()); };
  const std::tuple promised(promise.lastTerm, promise.lastVersion);
  if (promised <= newness()) return true;
  if (promise.records.empty()) return false;
  if (promise.records.front()->version > state_.committed() + 1) return false;
  // Of an incomplete log only the committed part: the rest would replace records that a majority may hold.
  const bool complete = promise.records.back()->version == promise.lastVersion;
  const Version last = complete ? promise.lastVersion : promise.committed;
  Version taken = 0;
  for (const RecordPointer& record : promise.records) {
    if (record->version > last) break;
    if (!state_.append(record)) return false;
    taken = record->version;
  }
  if (complete) state_.truncateUncommittedAfter(taken);
  if (!state_.commitTo(std::min(promise.committed, taken))) tableDiffers_ = true;
  return promised <= newness();
}

void Writer::becomeReady(Milliseconds now, Milliseconds unixTime) {
  ready_ = true;
  majorityRespondedAt_ = now;
  for (auto& [peer, progress] : peers_) progress.sent = state_.log().lastVersion();
  state_.append(state_.makeRecord(term_, "", {}));
  broadcast(unixTime);
  advanceCommit(unixTime);
}

void Writer::broadcast(Milliseconds unixTime) {
  for (auto& [peer, progress] : peers_) sendAppend(peer, progress, unixTime);
}

void Writer::sendAppend(const std::string& peer, Progress& progress, Milliseconds unixTime) {
  const ChangeLog& log = state_.log();
  // A peer behind the horizon hears of the committed version and repairs its table itself.
  const Version previous = std::clamp(progress.sent, log.base(), log.lastVersion());
  Append append;
  append.term = term_;
  append.previousVersion = previous;
  append.previousTerm = log.termAt(previous).value_or(0);
  append.records = log.after(previous, log.lastVersion(), kMaxAppendBytes);
  append.committed = state_.committed();
  append.writerTime = state_.writerTime();
  append.sentAt = unixTime;
  progress.sent = previous + append.records.size();
  send_(peer, std::move(append));
}

void Writer::receiveAppendResponse(Milliseconds now, Milliseconds unixTime, const std::string& from,
                                   const AppendResponse& appended) {
  const auto found = peers_.find(from);
  if (!ready_ || found == peers_.end() || appended.term != term_) return;
  Progress& progress = found->second;
  progress.answeredRound = std::max(progress.answeredRound, appended.sentAt);
  advanceWriterTime(now);
  const Version version = std::min(appended.version, state_.log().lastVersion());
  if (!appended.accepted) {
    progress.sent = version;
    // A peer behind the horizon repairs its table first; it is asked again with the next heartbeat.
    if (version < state_.log().base()) return;
    sendAppend(from, progress, unixTime);
    return;
  }
  progress.matched = std::max(progress.matched, version);
  progress.sent = std::max(progress.sent, progress.matched);
  if (progress.sent < state_.log().lastVersion()) sendAppend(from, progress, unixTime);
  advanceCommit(unixTime);
}

void Writer::advanceCommit(Milliseconds unixTime) {
  const Version reached = reachedByMajority(state_.log().lastVersion(), &Progress::matched);
  if (reached <= state_.committed() || state_.log().termAt(reached) != term_) return;
  if (!state_.commitTo(reached)) {
    tableDiffers_ = true;
    return;
  }
  broadcast(unixTime);
}

void Writer::advanceWriterTime(Milliseconds now) {
  const Milliseconds round = reachedByMajority(INT64_MAX, &Progress::answeredRound);
  if (round <= state_.writerTime() || round == INT64_MAX) return;
  state_.advanceWriterTime(round);
  majorityRespondedAt_ = now;
}

std::optional<std::string> Writer::findOversizedRange(const std::vector<Edit>& edits) const {
  for (const Edit& edit : edits) {
    if (!edit.value) continue;
    std::size_t bytes = kMaxChangeBytes;
    std::size_t entries = kMaxEditsPerChange;
    if (const RangePointer& range = state_.table().range(EntryTable::rangeOf(edit.key))) {
      entries += range->entries.size();
      for (const EntryPointer& entry : range->entries) bytes += approximateBytes(*entry);
    }
    if (bytes > kMaxRangeBytes || entries > kMaxEntriesPerRange)
      return "the entries of a range would not fit into a message";
  }
  return std::nullopt;
}

template <class Value>
Value Writer::reachedByMajority(Value own, Value Progress::*member) const {
  std::vector<Value> values{own};
  for (const auto& [peer, progress] : peers_) values.push_back(progress.*member);
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace wingslip::distribution
