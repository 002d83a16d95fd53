/// Entries, log records, ranges and hashes as the JSON values that messages and snapshots carry in CBOR.
/// The readers throw CodecError.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "distribution/message.hpp"

namespace wingslip::distribution {

nlohmann::json toJson(const Entry& entry);
nlohmann::json toJson(const std::vector<RecordPointer>& records);
nlohmann::json toJson(const RangeContent& content);
nlohmann::json toJson(const std::vector<RejectedChange>& rejectedChanges);
nlohmann::json hashesToJson(const std::vector<Hash>& hashes);

EntryPointer readEntry(const nlohmann::json& value);
std::vector<EntryPointer> readEntries(const nlohmann::json& value, std::size_t maxEntries);
/// Records whose versions follow each other and whose terms do not decrease.
std::vector<RecordPointer> readRecords(const nlohmann::json& value, std::size_t maxRecords);
/// A range whose entries are distinct and belong to it.
RangeContent readRange(const nlohmann::json& value);
/// Empty, or one hash for each range of a table.
std::vector<Hash> readHashes(const nlohmann::json& value);
std::vector<RejectedChange> readRejectedChanges(const nlohmann::json& value);

}  // namespace wingslip::distribution
