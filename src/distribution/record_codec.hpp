/// Conversion of entries, log records, ranges and hashes to and from the JSON values that messages and
/// snapshots encode as CBOR. The readers throw CodecError if a value is not valid.
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
/// Requires consecutive versions and terms that do not decrease.
std::vector<RecordPointer> readRecords(const nlohmann::json& value, std::size_t maxRecords);
/// Requires distinct keys, all of which belong to the range.
RangeContent readRange(const nlohmann::json& value);
/// Requires no hashes, or one for each range of a table.
std::vector<Hash> readHashes(const nlohmann::json& value);
std::vector<RejectedChange> readRejectedChanges(const nlohmann::json& value);

}  // namespace wingslip::distribution
