#include "replication/replica.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wingslip::replication {
namespace {

// Limit of consecutive sync exchanges with one member while the differing rows exceed one message.
constexpr unsigned kMaxConsecutiveSyncs = 8;
constexpr double kSyncTimeoutInProbePeriods = 2;
constexpr double kLostMemberContactInProbePeriods = 3;  // mean interval between contacts with lost members

}  // namespace

Replica::Replica(const Timing& timing, const std::string& fleet, const MemberRecord& self,
                 const std::map<std::string, std::string>& seeds, std::uint64_t seed,
                 Environment& environment)
    : timing_(timing),
      fleet_(fleet),
      environment_(environment),
      random_(seed),
      membership_(self, seeds, environment) {}

void Replica::restore(const std::vector<MemberRecord>& members, const std::vector<Row>& rows) {
  membership_.restore(members);
  table_.restore(rows);
  for (const auto& [key, entry] : table_.entries()) environment_.onRowChanged(entry.row);
}

void Replica::start(Time now) {
  started_ = true;
  membership_.announceSelf();
  nextLostMemberContactAt_ = now + randomBetween(0, timing_.gossipPeriodMs);
  nextProbeAt_ = now + randomBetween(0, timing_.probePeriodMs);
  nextAntiEntropyAt_ = now + randomBetween(0, timing_.probePeriodMs);
  nextGossipAt_ = now;
  tick(now);
}

// --- Sending ---------------------------------------------------------------------------------------------

Message Replica::composeMessage(MessageKind kind, const std::string& recipient) {
  Message out;
  out.fleet = fleet_;
  out.kind = kind;
  out.sender = membership_.self();
  out.members = membership_.takeUpdates(recipient);
  out.rows = table_.takeUpdates();
  return out;
}

void Replica::send(const std::string& recipient, MessageKind kind, const std::string& target) {
  Message message = composeMessage(kind, recipient);
  message.target = target;
  if (kind == MessageKind::sync) message.digest = digest();
  sendMessage(recipient, std::move(message));
}

void Replica::sendMessage(const std::string& recipient, Message&& message) {
  if (isSuperseded()) return;
  OutgoingRequest request;
  request.id = ++lastRequestId_;
  request.recipient = recipient;
  request.address = membership_.addressOf(recipient);
  if (request.address.empty()) return;
  request.timeoutMs = timeoutMs(message.kind);
  pendingRequests_[request.id] = {recipient, message.kind, message.target};
  request.message = std::move(message);
  ++counts_.sent;
  environment_.send(request);
}

Time Replica::timeoutMs(MessageKind kind) const {
  const bool carriesRanges = kind == MessageKind::sync || kind == MessageKind::push;
  return carriesRanges ? kSyncTimeoutInProbePeriods * timing_.probePeriodMs : timing_.probeTimeoutMs();
}

// --- Receiving -------------------------------------------------------------------------------------------

std::optional<Message> Replica::onRequest(Time now, const Message& request) {
  if (!isRunning() || request.fleet != fleet_ || request.sender.name == self().name) {
    ++counts_.rejectedForeign;
    return std::nullopt;
  }
  if (membership_.isStale(request.sender)) {
    ++counts_.rejectedStale;
    return std::nullopt;
  }
  merge(now, request);
  if (request.kind == MessageKind::probeRequest && membership_.find(request.target)) {
    failureDetector_.addProbeRequest(request.target, request.sender.name);
    send(request.target, MessageKind::probe, request.target);
  }
  if (request.kind == MessageKind::indirectAck) failureDetector_.acknowledge(request.target);
  Message response = composeMessage(request.kind, request.sender.name);
  if (request.kind == MessageKind::sync) {
    response.differingRanges = differingRanges(digest(), request.digest);
    addRangeContents(response.differingRanges, response);
  }
  return response;
}

void Replica::onResponse(Time now, std::uint64_t id, const std::optional<Message>& response) {
  const auto found = pendingRequests_.find(id);
  if (found == pendingRequests_.end()) return;
  const PendingRequest request = std::move(found->second);
  pendingRequests_.erase(found);
  if (!isRunning()) return;
  if (response && accepts(request, *response)) {
    merge(now, *response);
    if (request.kind == MessageKind::probe) onAcknowledgement(request.recipient);
    if (request.kind == MessageKind::sync) onSyncResponse(now, request.recipient, *response);
  } else {
    onRequestFailed(request);
  }
  tick(now);
}

// Whether the response is from this fleet and from the current process of the request's recipient.
bool Replica::accepts(const PendingRequest& request, const Message& response) {
  if (response.fleet != fleet_) {
    ++counts_.rejectedForeign;
    return false;
  }
  if (response.sender.name != request.recipient || membership_.isStale(response.sender)) {
    ++counts_.rejectedStale;
    return false;
  }
  return true;
}

void Replica::onRequestFailed(const PendingRequest& request) {
  ++counts_.failed;
  const bool isDirectProbe = request.kind == MessageKind::probe && request.target.empty();
  if (!isDirectProbe || !failureDetector_.isAwaiting(request.recipient)) return;
  // Only the path to the member may have failed, so other members probe it before it is suspected.
  for (const std::string& helper : membership_.randomLive(timing_.indirectProbes, random_, request.recipient))
    send(helper, MessageKind::probeRequest, request.recipient);
}

void Replica::onAcknowledgement(const std::string& member) {
  failureDetector_.acknowledge(member);
  if (const auto requester = failureDetector_.takeProbeRequester(member))
    send(*requester, MessageKind::indirectAck, member);
}

void Replica::onSyncResponse(Time now, const std::string& member, const Message& response) {
  lastSyncAt_ = now;
  if (response.differingRanges.empty()) {
    caughtUp_ = true;
    consecutiveSyncs_ = 0;
    return;
  }
  ++counts_.repaired;
  Message push = composeMessage(MessageKind::push, member);
  addRangeContents(response.differingRanges, push);
  const bool incomplete = response.truncated || push.truncated;
  sendMessage(member, std::move(push));
  if (!response.truncated) caughtUp_ = true;
  if (incomplete && ++consecutiveSyncs_ < kMaxConsecutiveSyncs)
    send(member, MessageKind::sync);
  else
    consecutiveSyncs_ = 0;
}

// Replaces the member updates in the message by the full member list if the ranges include the members;
// appends the rows of the ranges to its row updates.
void Replica::addRangeContents(const std::vector<unsigned>& ranges, Message& message) {
  RangeContents contents = contentsOf(ranges, table_, membership_, random_);
  if (contents.members) message.members = std::move(*contents.members);
  message.rows.insert(message.rows.end(), contents.rows.begin(), contents.rows.end());
  message.truncated = contents.truncated;
}

void Replica::merge(Time now, const Message& message) {
  ++counts_.received;
  membership_.merge(now, message.sender);
  for (const MemberRecord& member : message.members) membership_.merge(now, member);
  for (const Row& row : message.rows) mergeRow(row, RowSource::remote);
}

// --- Rows ------------------------------------------------------------------------------------------------

void Replica::mergeRow(const Row& row, RowSource source) {
  const ReplicatedTable::MergeResult result = table_.merge(row, environment_.unixMs());
  if (result == ReplicatedTable::MergeResult::timestampTooFarAhead) ++counts_.rejectedRows;
  if (result != ReplicatedTable::MergeResult::changed) return;
  table_.scheduleGossip(row, membership_.transmissionLimit());
  if (source == RowSource::local) return;
  ++counts_.merged;
  environment_.onRowChanged(row);
}

void Replica::set(Time now, const std::string& table, const std::string& key, const std::string& value) {
  const Timestamp timestamp = table_.nextTimestamp(environment_.unixMs(), self().name);
  mergeRow({table, key, value, timestamp, false}, RowSource::local);
  tick(now);
}

void Replica::remove(Time now, const std::string& table, const std::string& key) {
  const Timestamp timestamp = table_.nextTimestamp(environment_.unixMs(), self().name);
  mergeRow({table, key, "", timestamp, true}, RowSource::local);
  tick(now);
}

// --- Time ------------------------------------------------------------------------------------------------

void Replica::probeNext(Time now) {
  if (const auto target = failureDetector_.nextTarget(now, membership_, random_))
    send(*target, MessageKind::probe);
}

void Replica::gossip() {
  for (const std::string& name : membership_.randomLive(timing_.fanout, random_))
    send(name, MessageKind::gossip);
}

void Replica::contactLostMember() {
  const std::vector<std::string> lost = membership_.lostMembers();
  if (!lost.empty()) send(lost[random_() % lost.size()], MessageKind::sync);
}

void Replica::tick(Time now) {
  if (!isRunning() || isSuperseded()) return;
  membership_.expireSuspects(now, timing_.probePeriodMs);
  if (now >= nextLostMemberContactAt_) {
    // Without live members, the replica must find the fleet first and contacts lost members more often.
    const double periods = liveCount() == 0 ? 1 : kLostMemberContactInProbePeriods;
    nextLostMemberContactAt_ = now + timing_.probePeriodMs * periods * randomBetween(0.5, 1.5);
    contactLostMember();
  }
  if (now >= nextProbeAt_) {
    nextProbeAt_ = now + timing_.probePeriodMs;
    probeNext(now);
  }
  if (now >= nextAntiEntropyAt_) {
    const Time periodMs = caughtUp_ ? timing_.antiEntropyPeriodMs : timing_.probePeriodMs;
    nextAntiEntropyAt_ = now + periodMs * randomBetween(0.8, 1.2);
    consecutiveSyncs_ = 0;
    for (const std::string& name : membership_.randomLive(1, random_)) send(name, MessageKind::sync);
  }
  if (now >= nextGossipAt_ && hasUpdates()) {
    nextGossipAt_ = now + timing_.gossipPeriodMs;
    gossip();
  }
}

Time Replica::nextTickAt() const {
  if (!isRunning() || isSuperseded()) return std::numeric_limits<Time>::infinity();
  const Time nextAt = std::min({nextProbeAt_, nextAntiEntropyAt_, nextLostMemberContactAt_});
  return hasUpdates() && liveCount() > 0 ? std::min(nextAt, nextGossipAt_) : nextAt;
}

void Replica::leave() {
  if (!isRunning()) return;
  membership_.leave();
  gossip();
  hasLeft_ = true;
}

}  // namespace wingslip::replication
