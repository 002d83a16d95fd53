#include "distribution/subscriber.hpp"

#include <algorithm>

namespace wingslip::distribution {
namespace {

constexpr unsigned kMaxDoublings = 10;

std::string cutTo(std::string text, std::size_t maxBytes) {
  if (text.size() > maxBytes) text.resize(maxBytes);
  return text;
}

}  // namespace

Subscriber::Subscriber(const SubscriberLimits& limits, const std::vector<std::string>& replicas,
                       const std::string& build, Validator validator, std::uint64_t seed, Outside& outside)
    : limits_(limits),
      replicas_(replicas),
      build_(build),
      validator_(std::move(validator)),
      outside_(outside),
      random_(seed),
      log_([&outside](const std::string& line) { outside.log(line); }) {}

void Subscriber::restore(const Snapshot& snapshot) {
  version_ = snapshot.version;
  term_ = snapshot.term;
  table_ = snapshot.table;
  std::vector<EntryPointer> entries;
  table_.forEach([&entries](const EntryPointer& entry) { entries.push_back(entry); });
  const auto faults = findFaultyVersions(entries);
  const bool sameBuild = snapshot.build == build_;
  for (const HeldBackEntry& held : snapshot.heldBack)
    if (sameBuild || faults.contains(held.refused)) holdBack(held.key, held.lastGood, held.refused);
  for (const EntryPointer& entry : entries)
    if (faults.contains(entry->version) && !heldBack_.contains(entry->key))
      holdBack(entry->key, nullptr, entry->version);
  for (const Refusal& refusal : snapshot.refusals)
    if (heldBackOf_.contains(refusal.version)) addRefusal(refusal.version, refusal.reason);
  for (const auto& [version, reason] : faults) addRefusal(version, reason);
}

Snapshot Subscriber::snapshot() const {
  Snapshot out;
  out.version = version_;
  out.term = term_;
  out.table = table_;
  for (const auto& [key, held] : heldBack_) out.heldBack.push_back({key, held.lastGood, held.refused});
  for (const auto& [version, reason] : refusals_) out.refusals.push_back({version, reason});
  out.build = build_;
  out.logBase = version_;
  out.logBaseTerm = term_;
  return out;
}

void Subscriber::start(Milliseconds now) {
  state_ = State::waiting;
  connectAt_ = now;
}

void Subscriber::tick(Milliseconds now) {
  if (state_ == State::waiting) {
    if (now >= connectAt_) subscribe(now);
    return;
  }
  if (state_ == State::connecting) {
    if (now - askedAt_ >= limits_.connectTimeout) fail(now, "no answer");
    return;
  }
  if (now - heardAt_ >= limits_.silenceTimeout) return fail(now, "silence");
  if (rank_ > 0 && now >= homeAt_ && !repair_) {
    rank_ = 0;
    return subscribe(now);
  }
  if (now - acknowledgedAt_ >= limits_.acknowledgeInterval) acknowledge(now);
}

Milliseconds Subscriber::nextAt() const {
  if (state_ == State::waiting) return connectAt_;
  if (state_ == State::connecting) return askedAt_ + limits_.connectTimeout;
  Milliseconds at =
      std::min(heardAt_ + limits_.silenceTimeout, acknowledgedAt_ + limits_.acknowledgeInterval);
  if (rank_ > 0 && !repair_) at = std::min(at, homeAt_);
  return at;
}

void Subscriber::receiveBytes(Milliseconds now, const std::string& from, const std::uint8_t* bytes,
                              std::size_t size) {
  try {
    receive(now, from, decode(bytes, size));
  } catch (const CodecError& error) {
    ++counts_.malformed;
    log_.line(now, "event=message_refused from=" + from + " reason=\"" + error.what() + "\"");
  }
}

void Subscriber::receive(Milliseconds now, const std::string& from, const Message& message) {
  if (state_ == State::waiting || from != replica()) return unexpected(now);
  std::visit([&](const auto& typed) { handle(now, typed); }, message);
}

EntryPointer Subscriber::find(const EntryKey& key) const {
  const auto held = heldBack_.find(key);
  return held == heldBack_.end() ? table_.find(key) : held->second.lastGood;
}

void Subscriber::handle(Milliseconds now, const Changes& message) {
  writerTime_ = std::max(writerTime_, message.writerTime);
  // Only parts count as life during a repair: the request for them may have been lost.
  if (repair_) return;
  heardAt_ = now;
  if (state_ == State::connecting) {
    state_ = State::connected;
    attempts_ = 0;
    homeAt_ = now + limits_.homeInterval +
              std::uniform_int_distribution<Milliseconds>(0, limits_.homeInterval)(random_);
  }
  if (message.previousVersion == version_ && message.previousTerm != term_) {
    ++counts_.conflictingHistories;
    return fail(now, "another history");
  }
  std::vector<InForceChange> changes;
  Step step = Step::applied;
  const Version before = version_;
  for (const RecordPointer& record : message.records) {
    step = take(*record, changes);
    if (step != Step::applied && step != Step::doubled) break;
  }
  if (version_ != before) outside_.applied(version_, changes);
  if (step == Step::conflict) return fail(now, "another history");
  const bool sameVersion = version_ == message.committed;
  if (step == Step::damaged || (sameVersion && table_.rootHash() != message.rootHash)) {
    ++counts_.hashDiffers;
    log_.line(now, "event=copy_differs version=" + std::to_string(version_));
    return requestRepair(now);
  }
  if (!message.records.empty()) acknowledge(now);
  if (step == Step::gap) resubscribe(now);
}

Subscriber::Step Subscriber::take(const ChangeRecord& record, std::vector<InForceChange>& changes) {
  if (record.version == version_ && record.term != term_) {
    ++counts_.conflictingHistories;
    return Step::conflict;
  }
  if (record.version <= version_) {
    ++counts_.doubled;
    return Step::doubled;
  }
  if (record.version != version_ + 1) {
    ++counts_.gaps;
    return Step::gap;
  }
  if (record.term < term_) {
    ++counts_.oldTerms;
    return Step::conflict;
  }
  if (table_.rootHashAfter(record.edits) != record.rootHash) return Step::damaged;
  const auto fault = findFault(record);
  if (fault) {
    ++counts_.refusedChanges;
    for (const LoggedEdit& edit : record.edits)
      holdBack(edit.entry->key, find(edit.entry->key), record.version);
    addRefusal(record.version, *fault);
  } else {
    for (const LoggedEdit& edit : record.edits) {
      release(edit.entry->key);
      changes.push_back({edit.entry->key, edit.removes ? nullptr : edit.entry});
    }
  }
  table_.apply(record);
  version_ = record.version;
  term_ = record.term;
  ++counts_.applied;
  return Step::applied;
}

std::optional<std::string> Subscriber::findFault(const ChangeRecord& record) const {
  for (const LoggedEdit& edit : record.edits) {
    if (edit.removes) continue;
    if (auto fault = validator_(*edit.entry)) return fault;
  }
  return std::nullopt;
}

void Subscriber::handle(Milliseconds now, const RangeContents& message) {
  heardAt_ = now;
  if (!repair_) return unexpected(now);
  const TransferStep step = repair_->take(message);
  if (step == TransferStep::damaged) {
    ++counts_.repairsDamaged;
    repair_.reset();
    staged_.reset();
    return fail(now, "a damaged transfer");
  }
  acknowledge(now);
  if (step != TransferStep::complete) return;
  const std::unique_ptr<TransferReceiver> done = std::move(repair_);
  staged_.reset();
  if (done->version() < version_) return fail(now, "an old transfer");
  ++counts_.repairsDone;
  adopt(done->table(), done->version(), done->term());
  subscribe(now);
}

void Subscriber::handle(Milliseconds now, const Refused& message) {
  heardAt_ = now;
  if (message.code == RefusalCode::behind_horizon && !repair_) return requestRepair(now);
  if (message.code == RefusalCode::different_history) ++counts_.conflictingHistories;
  fail(now, nameOf(message.code));
}

void Subscriber::subscribe(Milliseconds now) {
  state_ = State::connecting;
  askedAt_ = now;
  outside_.send(replica(), Subscribe{version_, term_, build_});
}

void Subscriber::resubscribe(Milliseconds now) {
  if (now - askedAt_ < limits_.resubscribeInterval) return;
  askedAt_ = now;
  outside_.send(replica(), Subscribe{version_, term_, build_});
}

void Subscriber::fail(Milliseconds now, const char* why) {
  log_.line(now, "event=replica_left replica=" + replica() + " reason=\"" + why + "\"");
  dropRepair();
  ++counts_.failovers;
  rank_ = (rank_ + 1) % replicas_.size();
  const Milliseconds most =
      std::min(limits_.backoffCap, limits_.backoffBase << std::min(attempts_, kMaxDoublings));
  ++attempts_;
  state_ = State::waiting;
  connectAt_ = now + std::uniform_int_distribution<Milliseconds>(0, most)(random_);
}

void Subscriber::acknowledge(Milliseconds now) {
  acknowledgedAt_ = now;
  Acknowledge message;
  message.version = version_;
  if (repair_) {
    message.transfer = repair_->id();
    message.nextPart = repair_->nextPart();
  }
  for (const auto& [version, reason] : refusals_) message.refusals.push_back({version, reason});
  outside_.send(replica(), std::move(message));
}

void Subscriber::requestRepair(Milliseconds now) {
  if (!staged_) staged_ = table_;
  RangeRequest request;
  request.version = version_;
  request.term = term_;
  request.transfer = random_() | 1;
  if (staged_->size() > 0) request.hashes = staged_->rangeHashes();
  repair_ = std::make_unique<TransferReceiver>(request.transfer, *staged_);
  state_ = State::connected;
  heardAt_ = now;
  ++counts_.repairs;
  outside_.send(replica(), std::move(request));
}

void Subscriber::dropRepair() {
  if (!repair_) return;
  staged_ = repair_->table();
  repair_.reset();
}

void Subscriber::unexpected(Milliseconds now) {
  ++counts_.unexpected;
  log_.line(now, "event=message_unexpected");
}

void Subscriber::adopt(const EntryTable& table, Version version, Term term) {
  std::vector<InForceChange> changes;
  std::vector<EntryPointer> entries;
  for (std::size_t i = 0; i < EntryTable::kRanges; ++i)
    if (table_.rangeHash(i) != table.rangeHash(i))
      compareRange(table_.range(i), table.range(i), entries, changes);
  const auto faults = findFaultyVersions(entries);
  for (const EntryPointer& entry : entries) {
    if (faults.contains(entry->version)) {
      holdBack(entry->key, find(entry->key), entry->version);
      addRefusal(entry->version, faults.at(entry->version));
      continue;
    }
    release(entry->key);
    changes.push_back({entry->key, entry});
  }
  table_ = table;
  version_ = version;
  term_ = term;
  outside_.applied(version_, changes);
}

void Subscriber::compareRange(const RangePointer& before, const RangePointer& after,
                              std::vector<EntryPointer>& entries, std::vector<InForceChange>& changes) {
  std::map<EntryKey, Hash> old;
  if (before)
    for (const EntryPointer& entry : before->entries) old[entry->key] = entry->hash;
  if (after) {
    for (const EntryPointer& entry : after->entries) {
      const auto held = old.find(entry->key);
      const bool same = held != old.end() && held->second == entry->hash;
      if (held != old.end()) old.erase(held);
      if (!same) entries.push_back(entry);
    }
  }
  for (const auto& [key, hash] : old) {
    release(key);
    changes.push_back({key, nullptr});
  }
}

std::map<Version, std::string> Subscriber::findFaultyVersions(
    const std::vector<EntryPointer>& entries) const {
  std::map<Version, std::string> faults;
  for (const EntryPointer& entry : entries)
    if (auto fault = validator_(*entry)) faults.emplace(entry->version, std::move(*fault));
  return faults;
}

void Subscriber::holdBack(const EntryKey& key, const EntryPointer& lastGood, Version refused) {
  // The count first: releasing the key's older refusal must not settle this one.
  ++heldBackOf_[refused];
  release(key);
  heldBack_[key] = {lastGood, refused};
}

void Subscriber::release(const EntryKey& key) {
  const auto held = heldBack_.find(key);
  if (held == heldBack_.end()) return;
  const Version refused = held->second.refused;
  heldBack_.erase(held);
  if (--heldBackOf_[refused] > 0) return;
  heldBackOf_.erase(refused);
  refusals_.erase(refused);
}

void Subscriber::addRefusal(Version version, const std::string& reason) {
  refusals_[version] = cutTo(reason, kMaxReasonBytes);
  if (refusals_.size() > kMaxRefusals) refusals_.erase(refusals_.begin());
}

}  // namespace wingslip::distribution
