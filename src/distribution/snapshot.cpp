#include "distribution/snapshot.hpp"

#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>

#include "distribution/field_reader.hpp"
#include "distribution/record_codec.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

constexpr const char* kMagic = "burlwind-distribution 1 ";
constexpr std::size_t kMaxHeaderBytes = 80;

json entriesToJson(const EntryTable& table) {
  json list = json::array();
  table.forEach([&list](const EntryPointer& entry) { list.push_back(toJson(*entry)); });
  return list;
}

json toJson(const RejectedEntry& rejected) {
  return json::array({static_cast<unsigned>(rejected.key.kind), rejected.key.name,
                      rejected.lastKnownGood ? toJson(*rejected.lastKnownGood) : json(nullptr),
                      rejected.rejectedVersion});
}

RejectedEntry readRejectedEntry(const json& value) {
  const json& fields = requireTuple(value, 4, "rejected entry");
  RejectedEntry rejected{readKey(fields[0], fields[1]), nullptr, readUnsigned(fields[3])};
  if (!fields[2].is_null()) rejected.lastKnownGood = readEntry(fields[2]);
  return rejected;
}

EntryTable readTable(const json& value) {
  std::vector<std::vector<EntryPointer>> ranges(EntryTable::kRanges);
  for (EntryPointer& entry : readEntries(value, SIZE_MAX))
    ranges[EntryTable::rangeOf(entry->key)].push_back(std::move(entry));
  EntryTable table;
  for (std::size_t i = 0; i < ranges.size(); ++i) table.replaceRange(i, makeRange(std::move(ranges[i])));
  return table;
}

Snapshot readSnapshot(const json& body) {
  const json& fields = requireTuple(body, 11, "snapshot");
  Snapshot out;
  out.version = readUnsigned(fields[0]);
  out.term = readUnsigned(fields[1]);
  out.table = readTable(fields[3]);
  if (out.table.rootHash() != readUnsigned(fields[2]))
    throw CodecError("snapshot table does not match its root hash");
  for (const json& rejected : requireArray(fields[4], SIZE_MAX, "list of rejected entries"))
    out.rejectedEntries.push_back(readRejectedEntry(rejected));
  out.promisedTerm = readUnsigned(fields[5]);
  out.logBase = readUnsigned(fields[6]);
  out.logBaseTerm = readUnsigned(fields[7]);
  out.records = readRecords(fields[8], SIZE_MAX);
  out.rejectedChanges = readRejectedChanges(fields[9]);
  out.build = readText(fields[10], kMaxBuildBytes, "build");
  if (!out.records.empty() && out.records.front()->version != out.logBase + 1)
    throw CodecError("snapshot log does not start after its base");
  return out;
}

}  // namespace

std::string encodeSnapshot(const Snapshot& snapshot) {
  json rejectedEntries = json::array();
  for (const RejectedEntry& rejected : snapshot.rejectedEntries) rejectedEntries.push_back(toJson(rejected));
  const std::vector<std::uint8_t> body = json::to_cbor(
      json::array({snapshot.version, snapshot.term, snapshot.table.rootHash(), entriesToJson(snapshot.table),
                   std::move(rejectedEntries), snapshot.promisedTerm, snapshot.logBase, snapshot.logBaseTerm,
                   toJson(snapshot.records), toJson(snapshot.rejectedChanges), snapshot.build}));
  char header[kMaxHeaderBytes];
  std::snprintf(header, sizeof header, "%s%016llx %zu\n", kMagic,
                static_cast<unsigned long long>(checksum64(body.data(), body.size())), body.size());
  std::string bytes = header;
  bytes.append(body.begin(), body.end());
  return bytes;
}

Snapshot decodeSnapshot(const std::string& bytes) {
  if (bytes.size() > kMaxSnapshotBytes) throw CodecError("snapshot is too large");
  const std::size_t headerEnd = bytes.find('\n');
  if (bytes.rfind(kMagic, 0) != 0 || headerEnd >= kMaxHeaderBytes)
    throw CodecError("not a snapshot, or an unsupported format");
  unsigned long long checksum = 0;
  std::size_t size = 0;
  if (std::sscanf(bytes.c_str() + std::strlen(kMagic), "%16llx %zu", &checksum, &size) != 2)
    throw CodecError("snapshot header is malformed");
  if (bytes.size() - headerEnd - 1 != size) throw CodecError("snapshot length does not match its header");
  const auto* body = reinterpret_cast<const std::uint8_t*>(bytes.data()) + headerEnd + 1;
  if (checksum64(body, size) != checksum) throw CodecError("snapshot checksum does not match");
  try {
    return readSnapshot(parseDocument(body, size));
  } catch (const json::exception&) {
    throw CodecError("snapshot body is malformed");
  }
}

}  // namespace wingslip::distribution
