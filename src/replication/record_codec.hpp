/// Members and rows as the JSON values that messages and snapshots carry in CBOR.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "codec/cbor.hpp"
#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

nlohmann::json toJson(const MemberRecord& member);
nlohmann::json toJson(const Row& row);

template <class Record>
nlohmann::json toJson(const std::vector<Record>& records) {
  nlohmann::json out = nlohmann::json::array();
  for (const Record& record : records) out.push_back(toJson(record));
  return out;
}

/// The readers throw DecodeError, or nlohmann's exceptions, on anything else than such a value.
MemberRecord memberFromJson(const nlohmann::json& value);
Row rowFromJson(const nlohmann::json& value);
std::vector<MemberRecord> membersFromJson(const nlohmann::json& object, const char* key);
std::vector<Row> rowsFromJson(const nlohmann::json& object, const char* key);

/// A string of at most kMaxNameBytes. `what`: the field, with its article, for the error.
std::string nameFromJson(const nlohmann::json& value, const char* what);

/// The array at `key`, of a bounded number of items.
const nlohmann::json& arrayAt(const nlohmann::json& object, const char* key);

/// Runs `parse`; errors of CBOR and JSON become DecodeError whose text starts with `prefix`.
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
