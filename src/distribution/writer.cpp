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
    return {PublishStatus::invalid, 0, "request id is empty or too long"};
  if (!ready_) return {PublishStatus::notWriter, 0, "no majority has promised this term yet"};
  if (const auto version = state_.log().findRequest(requestId)) {
    const bool committed = *version <= state_.committed();
    return {committed ? PublishStatus::committed : PublishStatus::pending, *version, ""};
  }
  if (const auto error = validateEdits(edits)) return {PublishStatus::invalid, 0, *error};
  if (const auto error = findOversizedRange(edits)) return {PublishStatus::invalid, 0, *error};
  if (state_.log().lastVersion() - state_.committed() >= maxUncommitted_)
    return {PublishStatus::busy, 0, "too many uncommitted changes"};
  if (now - majorityRespondedAt_ > kMajorityTimeout)
    return {PublishStatus::busy, 0, "no majority of the replicas has responded within the majority timeout"};
  const RecordPointer record = state_.makeRecord(term_, requestId, edits);
  state_.append(record);
  broadcast(unixTime);
  advanceCommit(unixTime);
  const bool committed = record->version <= state_.committed();
  return {committed ? PublishStatus::committed : PublishStatus::pending, record->version, ""};
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
  // Records that have not been acknowledged are sent again.
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
  if (!adoptLog(promise)) return;  // the peer is sent a Prepare again at the next heartbeat
  promised_.insert(from);
  const std::size_t replicas = peers_.size() + 1;
  if (2 * (promised_.size() + 1) > replicas) becomeReady(now, unixTime);
}

bool Writer::adoptLog(const Promise& promise) {
  const auto logPosition = [this] { return std::tuple(state_.log().lastTerm(), state_.log().lastVersion()); };
  const std::tuple peerPosition(promise.lastTerm, promise.lastVersion);
  if (peerPosition <= logPosition()) return true;
  if (promise.records.empty()) return false;
  if (promise.records.front()->version > state_.committed() + 1) return false;
  // If the records do not reach the end of the peer's log, only the committed ones are adopted: the others
  // could replace records that a majority may have appended.
  const bool complete = promise.records.back()->version == promise.lastVersion;
  const Version last = complete ? promise.lastVersion : promise.committed;
  Version lastAppended = 0;
  for (const RecordPointer& record : promise.records) {
    if (record->version > last) break;
    if (!state_.append(record)) return false;
    lastAppended = record->version;
  }
  if (complete) state_.truncateUncommittedAfter(lastAppended);
  if (!state_.commitTo(std::min(promise.committed, lastAppended))) tableDiffers_ = true;
  return peerPosition <= logPosition();
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
  // A peer behind the horizon is sent the records after the base: it cannot append them, fetches from a peer,
  // and repairs its table if the fetch is rejected as behind the horizon.
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
                                   const AppendResponse& response) {
  const auto found = peers_.find(from);
  if (!ready_ || found == peers_.end() || response.term != term_) return;
  Progress& progress = found->second;
  progress.respondedRound = std::max(progress.respondedRound, response.sentAt);
  advanceWriterTime(now);
  const Version version = std::min(response.version, state_.log().lastVersion());
  if (!response.accepted) {
    progress.sent = version;
    // A peer behind the horizon repairs its table first; the next heartbeat retries the append.
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
  const Milliseconds round = reachedByMajority(INT64_MAX, &Progress::respondedRound);
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
      return "the range of an entry could become too large for a message";
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
