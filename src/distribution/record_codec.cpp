#include "distribution/record_codec.hpp"

#include "distribution/field_reader.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

json toJson(const LoggedEdit& edit) {
  const Entry& entry = *edit.entry;
  return json::array({static_cast<unsigned>(entry.key.kind), entry.key.name,
                      edit.removes ? json(nullptr) : toBinary(entry.value)});
}

LoggedEdit readEdit(const json& value, Version version, Term term) {
  const json& fields = requireTuple(value, 3, "edit");
  LoggedEdit edit;
  edit.removes = fields[2].is_null();
  edit.entry =
      makeEntry(readKey(fields[0], fields[1]), edit.removes ? "" : readValue(fields[2]), version, term);
  return edit;
}

json toJson(const ChangeRecord& record) {
  json edits = json::array();
  for (const LoggedEdit& edit : record.edits) edits.push_back(toJson(edit));
  return json::array({record.version, record.term, record.requestId, record.rootHash, std::move(edits)});
}

void requireDistinctKeys(const std::vector<LoggedEdit>& edits) {
  for (std::size_t i = 0; i < edits.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (edits[i].entry->key == edits[j].entry->key) throw CodecError("duplicate entry key in a record");
}

RecordPointer readRecord(const json& value) {
  const json& fields = requireTuple(value, 5, "record");
  auto record = std::make_shared<ChangeRecord>();
  record->version = readUnsigned(fields[0]);
  record->term = readUnsigned(fields[1]);
  record->requestId = readText(fields[2], kMaxRequestIdBytes, "request id");
  record->rootHash = readUnsigned(fields[3]);
  for (const json& edit : requireArray(fields[4], kMaxEditsPerChange, "edit list"))
    record->edits.push_back(readEdit(edit, record->version, record->term));
  requireDistinctKeys(record->edits);
  if (record->version == 0 || record->term == 0) throw CodecError("record version or term is 0");
  return record;
}

}  // namespace

json toJson(const Entry& entry) {
  return json::array({static_cast<unsigned>(entry.key.kind), entry.key.name, toBinary(entry.value),
                      entry.version, entry.term});
}

EntryPointer readEntry(const json& value) {
  const json& fields = requireTuple(value, 5, "entry");
  return makeEntry(readKey(fields[0], fields[1]), readValue(fields[2]), readUnsigned(fields[3]),
                   readUnsigned(fields[4]));
}

json toJson(const std::vector<RecordPointer>& records) {
  json list = json::array();
  for (const RecordPointer& record : records) list.push_back(toJson(*record));
  return list;
}

std::vector<RecordPointer> readRecords(const json& value, std::size_t maxRecords) {
  std::vector<RecordPointer> records;
  for (const json& item : requireArray(value, maxRecords, "record list")) {
    records.push_back(readRecord(item));
    if (records.size() < 2) continue;
    const ChangeRecord& previous = *records[records.size() - 2];
    if (records.back()->version != previous.version + 1)
      throw CodecError("record versions are not consecutive");
    if (records.back()->term < previous.term)
      throw CodecError("record term is older than that of the previous record");
  }
  return records;
}

json toJson(const RangeContent& content) {
  json entries = json::array();
  if (content.range)
    for (const EntryPointer& entry : content.range->entries) entries.push_back(toJson(*entry));
  return json::array({content.index, std::move(entries)});
}

std::vector<EntryPointer> readEntries(const json& value, std::size_t maxEntries) {
  std::vector<EntryPointer> entries;
  for (const json& item : requireArray(value, maxEntries, "entry list")) entries.push_back(readEntry(item));
  return entries;
}

RangeContent readRange(const json& value) {
  const json& fields = requireTuple(value, 2, "range");
  RangeContent content;
  content.index = readUint32(fields[0]);
  if (content.index >= EntryTable::kRanges) throw CodecError("range index is out of bounds");
  content.range = makeRange(readEntries(fields[1], kMaxEntriesPerRange));
  if (!content.range) return content;
  const auto& entries = content.range->entries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (EntryTable::rangeOf(entries[i]->key) != content.index)
      throw CodecError("entry key does not belong to the range");
    if (i > 0 && entries[i - 1]->key == entries[i]->key) throw CodecError("duplicate entry key in a range");
  }
  return content;
}

json hashesToJson(const std::vector<Hash>& hashes) {
  json::binary_t::container_type bytes(hashes.size() * sizeof(Hash));
  for (std::size_t i = 0; i < bytes.size(); ++i)
    bytes[i] = static_cast<std::uint8_t>(hashes[i / sizeof(Hash)] >> (8 * (i % sizeof(Hash))));
  return json::binary(std::move(bytes));
}

std::vector<Hash> readHashes(const json& value) {
  if (!value.is_binary()) throw CodecError("range hashes are not a byte string");
  const auto& bytes = value.get_binary();
  if (bytes.empty()) return {};
  if (bytes.size() != EntryTable::kRanges * sizeof(Hash))
    throw CodecError("number of range hashes does not match the table");
  std::vector<Hash> hashes(EntryTable::kRanges, 0);
  for (std::size_t i = 0; i < bytes.size(); ++i)
    hashes[i / sizeof(Hash)] |= static_cast<Hash>(bytes[i]) << (8 * (i % sizeof(Hash)));
  return hashes;
}

json toJson(const std::vector<RejectedChange>& rejectedChanges) {
  json list = json::array();
  for (const RejectedChange& change : rejectedChanges)
    list.push_back(json::array({change.version, change.reason}));
  return list;
}

std::vector<RejectedChange> readRejectedChanges(const json& value) {
  std::vector<RejectedChange> rejectedChanges;
  for (const json& item : requireArray(value, kMaxRejectedChanges, "list of rejected changes")) {
    requireTuple(item, 2, "rejected change");
    rejectedChanges.push_back(
        {readUnsigned(item[0]), readText(item[1], kMaxReasonBytes, "rejection reason")});
  }
  return rejectedChanges;
}

}  // namespace wingslip::distribution
