/// Conversion of member records and rows to and from JSON values, which messages and snapshots encode as
/// CBOR.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "codec/cbor.hpp"
#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// Each record is an array of its fields in a fixed order.
nlohmann::json toJson(const MemberRecord& member);
nlohmann::json toJson(const Row& row);

template <class Record>
nlohmann::json toJson(const std::vector<Record>& records) {
  nlohmann::json out = nlohmann::json::array();
  for (const Record& record : records) out.push_back(toJson(record));
  return out;
}

/// Parse and validate a record, or the array of records at `key` of an object.
/// @throws DecodeError or an nlohmann::json exception if a record is invalid.
MemberRecord memberFromJson(const nlohmann::json& value);
Row rowFromJson(const nlohmann::json& value);
std::vector<MemberRecord> membersFromJson(const nlohmann::json& object, const char* key);
std::vector<Row> rowsFromJson(const nlohmann::json& object, const char* key);

/// Returns a string of at most `kMaxNameBytes`.
/// @param field name of the field for the error message.
/// @throws DecodeError if the string is longer.
std::string boundedStringFromJson(const nlohmann::json& value, const char* field);

/// Returns the array at `key`.
/// @throws DecodeError if the value is not an array or exceeds the limit of items.
const nlohmann::json& arrayAt(const nlohmann::json& object, const char* key);

/// Returns the result of `parse`; converts CBOR and JSON exceptions to DecodeError, with `prefix` before the
/// text.
template <class Parse>
auto withDecodeErrors(const std::string& prefix, Parse parse) {
  try {
    return parse();
  } catch (const CborError& error) {
    throw DecodeError(prefix + error.what());
  } catch (const nlohmann::json::exception& error) {
    throw DecodeError(prefix + error.what());
  }
}

}  // namespace wingslip::replication
