#include "distribution/message.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>

#include "codec/cbor.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

constexpr unsigned kFormat = 1;
constexpr std::size_t kChecksumBytes = 8;
constexpr const char* kSnapshotMagic = "burlwind-distribution 1 ";
constexpr std::size_t kMaxSnapshotHeadBytes = 80;

json parse(const std::uint8_t* bytes, std::size_t size) {
  try {
    return parseCbor(bytes, size);
  } catch (const CborError& error) {
    throw CodecError(error.what());
  }
}

std::uint64_t unsignedOf(const json& value) {
  if (!value.is_number_unsigned()) throw CodecError("a field is no unsigned number");
  return value.get<std::uint64_t>();
}

std::uint32_t smallOf(const json& value) {
  const std::uint64_t number = unsignedOf(value);
  if (number > UINT32_MAX) throw CodecError("a number is too large");
  return static_cast<std::uint32_t>(number);
}

Milliseconds timeOf(const json& value) {
  const std::uint64_t number = unsignedOf(value);
  if (number > INT64_MAX) throw CodecError("a time is too large");
  return static_cast<Milliseconds>(number);
}

bool boolOf(const json& value) {
  if (!value.is_boolean()) throw CodecError("a field is no boolean");
  return value.get<bool>();
}

std::string textOf(const json& value, std::size_t maxBytes, const char* what) {
  if (!value.is_string()) throw CodecError(std::string(what) + " is no text");
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > maxBytes) throw CodecError(std::string(what) + " is too long");
  return text;
}

const json& arrayOf(const json& value, std::size_t maxItems, const char* what) {
  if (!value.is_array()) throw CodecError(std::string(what) + " is no array");
  if (value.size() > maxItems) throw CodecError(std::string(what) + " is too long");
  return value;
}

const json& tupleOf(const json& value, std::size_t items, const char* what) {
  if (!value.is_array() || value.size() != items) throw CodecError(std::string(what) + " has a wrong shape");
  return value;
}

EntryKind kindOf(const json& value) {
  const std::uint64_t kind = unsignedOf(value);
  if (kind >= kEntryKinds) throw CodecError("an unknown kind of entry");
  return static_cast<EntryKind>(kind);
}

EntryKey keyOf(const json& kind, const json& name) {
  EntryKey key{kindOf(kind), textOf(name, kMaxNameBytes, "a name")};
  if (key.name.empty()) throw CodecError("an entry without a name");
  return key;
}

json binary(const std::string& bytes) {
  return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string valueOf(const json& value) {
  if (!value.is_binary()) throw CodecError("a value is no byte string");
  const auto& bytes = value.get_binary();
  if (bytes.size() > kMaxValueBytes) throw CodecError("a value is too long");
  return {bytes.begin(), bytes.end()};
}

json toJson(const Entry& entry) {
  return json::array({static_cast<unsigned>(entry.key.kind), entry.key.name, binary(entry.value),
                      entry.version, entry.term});
}

EntryPointer entryOf(const json& value) {
  const json& fields = tupleOf(value, 5, "an entry");
  return makeEntry(keyOf(fields[0], fields[1]), valueOf(fields[2]), unsignedOf(fields[3]),
                   unsignedOf(fields[4]));
}

json toJson(const LoggedEdit& edit) {
  const Entry& entry = *edit.entry;
  return json::array({static_cast<unsigned>(entry.key.kind), entry.key.name,
                      edit.removes ? json(nullptr) : binary(entry.value)});
}

LoggedEdit editOf(const json& value, Version version, Term term) {
  const json& fields = tupleOf(value, 3, "an edit");
  LoggedEdit edit;
  edit.removes = fields[2].is_null();
  edit.entry = makeEntry(keyOf(fields[0], fields[1]), edit.removes ? "" : valueOf(fields[2]), version, term);
  return edit;
}

json toJson(const ChangeRecord& record) {
  json edits = json::array();
  for (const LoggedEdit& edit : record.edits) edits.push_back(toJson(edit));
  return json::array({record.version, record.term, record.requestId, record.rootHash, std::move(edits)});
}

RecordPointer recordOf(const json& value) {
  const json& fields = tupleOf(value, 5, "a record");
  auto record = std::make_shared<ChangeRecord>();
  record->version = unsignedOf(fields[0]);
  record->term = unsignedOf(fields[1]);
  record->requestId = textOf(fields[2], kMaxRequestIdBytes, "a request id");
  record->rootHash = unsignedOf(fields[3]);
  for (const json& edit : arrayOf(fields[4], kMaxEditsPerChange, "a list of edits"))
    record->edits.push_back(editOf(edit, record->version, record->term));
  for (std::size_t i = 0; i < record->edits.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (record->edits[i].entry->key == record->edits[j].entry->key)
        throw CodecError("two edits of one entry");
  if (record->version == 0 || record->term == 0) throw CodecError("a record without version or term");
  return record;
}

json toJson(const std::vector<RecordPointer>& records) {
  json list = json::array();
  for (const RecordPointer& record : records) list.push_back(toJson(*record));
  return list;
}

// Records must follow each other.
std::vector<RecordPointer> recordsOf(const json& value, std::size_t maxRecords) {
  std::vector<RecordPointer> records;
  for (const json& item : arrayOf(value, maxRecords, "a list of records")) {
    records.push_back(recordOf(item));
    if (records.size() < 2) continue;
    const ChangeRecord& before = *records[records.size() - 2];
    if (records.back()->version != before.version + 1) throw CodecError("records out of order");
    if (records.back()->term < before.term) throw CodecError("a record of an older term than the one before");
  }
  return records;
}

json toJson(const RangeContent& content) {
  json entries = json::array();
  if (content.range)
    for (const EntryPointer& entry : content.range->entries) entries.push_back(toJson(*entry));
  return json::array({content.index, std::move(entries)});
}

std::vector<EntryPointer> entriesOf(const json& value, std::size_t maxEntries) {
  std::vector<EntryPointer> entries;
  for (const json& item : arrayOf(value, maxEntries, "a list of entries")) entries.push_back(entryOf(item));
  return entries;
}

RangeContent contentOf(const json& value) {
  const json& fields = tupleOf(value, 2, "a range");
  RangeContent content;
  content.index = smallOf(fields[0]);
  if (content.index >= EntryTable::kRanges) throw CodecError("no such range");
  content.range = makeRange(entriesOf(fields[1], kMaxEntriesPerRange));
  if (!content.range) return content;
  const auto& entries = content.range->entries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (EntryTable::rangeOf(entries[i]->key) != content.index) throw CodecError("an entry of another range");
    if (i > 0 && entries[i - 1]->key == entries[i]->key) throw CodecError("an entry is there twice");
  }
  return content;
}

json hashesToJson(const std::vector<Hash>& hashes) {
  json::binary_t::container_type bytes(hashes.size() * sizeof(Hash));
  for (std::size_t i = 0; i < bytes.size(); ++i)
    bytes[i] = static_cast<std::uint8_t>(hashes[i / sizeof(Hash)] >> (8 * (i % sizeof(Hash))));
  return json::binary(std::move(bytes));
}

std::vector<Hash> hashesOf(const json& value) {
  if (!value.is_binary()) throw CodecError("hashes are no byte string");
  const auto& bytes = value.get_binary();
  if (bytes.empty()) return {};
  if (bytes.size() != EntryTable::kRanges * sizeof(Hash)) throw CodecError("a wrong number of hashes");
  std::vector<Hash> hashes(EntryTable::kRanges, 0);
  for (std::size_t i = 0; i < bytes.size(); ++i)
    hashes[i / sizeof(Hash)] |= static_cast<Hash>(bytes[i]) << (8 * (i % sizeof(Hash)));
  return hashes;
}

json toJson(const std::vector<Refusal>& refusals) {
  json list = json::array();
  for (const Refusal& refusal : refusals) list.push_back(json::array({refusal.version, refusal.reason}));
  return list;
}

std::vector<Refusal> refusalsOf(const json& value) {
  std::vector<Refusal> refusals;
  for (const json& item : arrayOf(value, kMaxRefusals, "a list of refusals")) {
    tupleOf(item, 2, "a refusal");
    refusals.push_back({unsignedOf(item[0]), textOf(item[1], kMaxReasonBytes, "a reason")});
  }
  return refusals;
}

json fieldsOf(const Subscribe& m) { return json::array({m.version, m.term, m.build}); }
json fieldsOf(const Acknowledge& m) {
  return json::array({m.version, m.transfer, m.nextPart, toJson(m.refusals)});
}
json fieldsOf(const Changes& m) {
  return json::array({m.previousVersion, m.previousTerm, toJson(m.records), m.committed, m.rootHash,
                      static_cast<std::uint64_t>(m.writerTime)});
}
json fieldsOf(const RangeRequest& m) {
  return json::array({m.version, m.term, m.transfer, hashesToJson(m.hashes)});
}
json fieldsOf(const RangeContents& m) {
  json ranges = json::array();
  for (const RangeContent& content : m.ranges) ranges.push_back(toJson(content));
  return json::array({m.transfer, m.part, m.last, m.version, m.term, m.rootHash, std::move(ranges)});
}
json fieldsOf(const Refused& m) {
  return json::array({static_cast<unsigned>(m.code), static_cast<std::uint64_t>(m.retryAfter)});
}
json fieldsOf(const Claim& m) { return json::array({m.term, m.committed}); }
json fieldsOf(const Promise& m) {
  return json::array({m.term, m.accepted, m.lastVersion, m.lastTerm, m.committed, toJson(m.records)});
}
json fieldsOf(const Append& m) {
  return json::array({m.term, m.previousVersion, m.previousTerm, toJson(m.records), m.committed,
                      static_cast<std::uint64_t>(m.writerTime), static_cast<std::uint64_t>(m.sentAt)});
}
json fieldsOf(const Appended& m) {
  return json::array({m.term, m.accepted, m.version, static_cast<std::uint64_t>(m.sentAt)});
}
json fieldsOf(const Fetch& m) { return json::array({m.version, m.term}); }

Message subscribeOf(const json& fields) {
  tupleOf(fields, 3, "Subscribe");
  return Subscribe{unsignedOf(fields[0]), unsignedOf(fields[1]),
                   textOf(fields[2], kMaxBuildBytes, "a build")};
}
Message acknowledgeOf(const json& fields) {
  tupleOf(fields, 4, "Acknowledge");
  return Acknowledge{unsignedOf(fields[0]), unsignedOf(fields[1]), smallOf(fields[2]), refusalsOf(fields[3])};
}
Message changesOf(const json& fields) {
  tupleOf(fields, 6, "Changes");
  return Changes{unsignedOf(fields[0]), unsignedOf(fields[1]), recordsOf(fields[2], kMaxRecordsPerMessage),
                 unsignedOf(fields[3]), unsignedOf(fields[4]), timeOf(fields[5])};
}
Message rangeRequestOf(const json& fields) {
  tupleOf(fields, 4, "RangeRequest");
  return RangeRequest{unsignedOf(fields[0]), unsignedOf(fields[1]), unsignedOf(fields[2]),
                      hashesOf(fields[3])};
}
Message rangeContentsOf(const json& fields) {
  tupleOf(fields, 7, "RangeContents");
  RangeContents m{unsignedOf(fields[0]),
                  smallOf(fields[1]),
                  boolOf(fields[2]),
                  unsignedOf(fields[3]),
                  unsignedOf(fields[4]),
                  unsignedOf(fields[5]),
                  {}};
  for (const json& item : arrayOf(fields[6], EntryTable::kRanges, "a list of ranges"))
    m.ranges.push_back(contentOf(item));
  return m;
}
Message refusedOf(const json& fields) {
  tupleOf(fields, 2, "Refused");
  const std::uint64_t code = unsignedOf(fields[0]);
  if (code >= kRefusalCodes) throw CodecError("an unknown reason of refusal");
  return Refused{static_cast<RefusalCode>(code), timeOf(fields[1])};
}
Message claimOf(const json& fields) {
  tupleOf(fields, 2, "Claim");
  return Claim{unsignedOf(fields[0]), unsignedOf(fields[1])};
}
Message promiseOf(const json& fields) {
  tupleOf(fields, 6, "Promise");
  return Promise{unsignedOf(fields[0]), boolOf(fields[1]),     unsignedOf(fields[2]),
                 unsignedOf(fields[3]), unsignedOf(fields[4]), recordsOf(fields[5], kMaxRecordsPerMessage)};
}
Message appendOf(const json& fields) {
  tupleOf(fields, 7, "Append");
  return Append{unsignedOf(fields[0]), unsignedOf(fields[1]),
                unsignedOf(fields[2]), recordsOf(fields[3], kMaxRecordsPerMessage),
                unsignedOf(fields[4]), timeOf(fields[5]),
                timeOf(fields[6])};
}
Message appendedOf(const json& fields) {
  tupleOf(fields, 4, "Appended");
  return Appended{unsignedOf(fields[0]), boolOf(fields[1]), unsignedOf(fields[2]), timeOf(fields[3])};
}
Message fetchOf(const json& fields) {
  tupleOf(fields, 2, "Fetch");
  return Fetch{unsignedOf(fields[0]), unsignedOf(fields[1])};
}

using Decoder = Message (*)(const json&);
// In the order of the alternatives of Message.
constexpr std::array<Decoder, std::variant_size_v<Message>> kDecoders{
    subscribeOf, acknowledgeOf, changesOf, rangeRequestOf, rangeContentsOf, refusedOf,
    claimOf,     promiseOf,     appendOf,  appendedOf,     fetchOf};

std::uint64_t checksumOf(const std::uint8_t* bytes, std::size_t size) { return XXH64(bytes, size, 0); }

json entryList(const EntryTable& table) {
  json list = json::array();
  table.forEach([&list](const EntryPointer& entry) { list.push_back(toJson(*entry)); });
  return list;
}

json toJson(const HeldBackEntry& held) {
  return json::array({static_cast<unsigned>(held.key.kind), held.key.name,
                      held.lastGood ? toJson(*held.lastGood) : json(nullptr), held.refused});
}

HeldBackEntry heldBackOf(const json& value) {
  const json& fields = tupleOf(value, 4, "a held-back entry");
  HeldBackEntry held{keyOf(fields[0], fields[1]), nullptr, unsignedOf(fields[3])};
  if (!fields[2].is_null()) held.lastGood = entryOf(fields[2]);
  return held;
}

Snapshot snapshotOf(const json& body) {
  const json& fields = tupleOf(body, 11, "a snapshot");
  Snapshot out;
  out.version = unsignedOf(fields[0]);
  out.term = unsignedOf(fields[1]);
  std::vector<std::vector<EntryPointer>> ranges(EntryTable::kRanges);
  for (EntryPointer& entry : entriesOf(fields[3], SIZE_MAX))
    ranges[EntryTable::rangeOf(entry->key)].push_back(std::move(entry));
  for (std::size_t i = 0; i < ranges.size(); ++i) out.table.replaceRange(i, makeRange(std::move(ranges[i])));
  if (out.table.rootHash() != unsignedOf(fields[2]))
    throw CodecError("the snapshot's table has another hash");
  for (const json& held : arrayOf(fields[4], SIZE_MAX, "a list of held-back entries"))
    out.heldBack.push_back(heldBackOf(held));
  out.promisedTerm = unsignedOf(fields[5]);
  out.logBase = unsignedOf(fields[6]);
  out.logBaseTerm = unsignedOf(fields[7]);
  out.records = recordsOf(fields[8], SIZE_MAX);
  out.refusals = refusalsOf(fields[9]);
  out.build = textOf(fields[10], kMaxBuildBytes, "a build");
  if (!out.records.empty() && out.records.front()->version != out.logBase + 1)
    throw CodecError("the snapshot's log does not follow its base");
  return out;
}

}  // namespace

const char* nameOf(RefusalCode code) {
  static constexpr std::array<const char*, kRefusalCodes> kNames{"behind_horizon", "subscriber_ahead",
                                                                 "different_history", "busy", "not_serving"};
  return kNames[static_cast<std::size_t>(code)];
}

std::vector<std::uint8_t> encode(const Message& message) {
  const json fields = std::visit([](const auto& m) { return fieldsOf(m); }, message);
  std::vector<std::uint8_t> bytes = json::to_cbor(json::array({kFormat, message.index(), fields}));
  const std::uint64_t checksum = checksumOf(bytes.data(), bytes.size());
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  return bytes;
}

Message decode(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMaxMessageBytes) throw CodecError("the message is too large");
  if (size <= kChecksumBytes) throw CodecError("the message is cut short");
  const std::size_t bodySize = size - kChecksumBytes;
  std::uint64_t checksum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    checksum |= static_cast<std::uint64_t>(bytes[bodySize + i]) << (8 * i);
  if (checksumOf(bytes, bodySize) != checksum) throw CodecError("the message is damaged");
  try {
    const json body = parse(bytes, bodySize);
    tupleOf(body, 3, "the message");
    if (unsignedOf(body[0]) != kFormat) throw CodecError("a message of another format");
    const std::uint64_t type = unsignedOf(body[1]);
    if (type >= kDecoders.size()) throw CodecError("an unknown type of message");
    return kDecoders[type](body[2]);
  } catch (const json::exception&) {
    throw CodecError("the message is malformed");
  }
}

std::string encodeSnapshot(const Snapshot& s) {
  json heldBack = json::array();
  for (const HeldBackEntry& held : s.heldBack) heldBack.push_back(toJson(held));
  const std::vector<std::uint8_t> body = json::to_cbor(json::array(
      {s.version, s.term, s.table.rootHash(), entryList(s.table), std::move(heldBack), s.promisedTerm,
       s.logBase, s.logBaseTerm, toJson(s.records), toJson(s.refusals), s.build}));
  char head[kMaxSnapshotHeadBytes];
  std::snprintf(head, sizeof head, "%s%016llx %zu\n", kSnapshotMagic,
                static_cast<unsigned long long>(checksumOf(body.data(), body.size())), body.size());
  std::string bytes = head;
  bytes.append(body.begin(), body.end());
  return bytes;
}

Snapshot decodeSnapshot(const std::string& bytes) {
  if (bytes.size() > kMaxSnapshotBytes) throw CodecError("the snapshot is too large");
  const std::size_t headEnd = bytes.find('\n');
  if (bytes.rfind(kSnapshotMagic, 0) != 0 || headEnd >= kMaxSnapshotHeadBytes)
    throw CodecError("no snapshot of this format");
  unsigned long long checksum = 0;
  std::size_t size = 0;
  if (std::sscanf(bytes.c_str() + std::strlen(kSnapshotMagic), "%16llx %zu", &checksum, &size) != 2)
    throw CodecError("the snapshot's first line is malformed");
  if (bytes.size() - headEnd - 1 != size) throw CodecError("the snapshot is cut short or too long");
  const auto* body = reinterpret_cast<const std::uint8_t*>(bytes.data()) + headEnd + 1;
  if (checksumOf(body, size) != checksum) throw CodecError("the snapshot is damaged");
  try {
    return snapshotOf(parse(body, size));
  } catch (const json::exception&) {
    throw CodecError("the snapshot is malformed");
  }
}

}  // namespace wingslip::distribution
