/// Typed readers of the JSON values that messages and snapshots encode as CBOR. Pure functions.
///
/// Each reader throws CodecError if the value has another type or exceeds its limit; `fieldName` names the
/// field in the error.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "distribution/codec_error.hpp"
#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// Parses `size` bytes of CBOR.
nlohmann::json parseDocument(const std::uint8_t* bytes, std::size_t size);
/// 64-bit checksum used by messages and snapshots.
std::uint64_t checksum64(const std::uint8_t* bytes, std::size_t size);

std::uint64_t readUnsigned(const nlohmann::json& value);
std::uint32_t readUint32(const nlohmann::json& value);
/// Time or duration in milliseconds, not negative.
Milliseconds readTime(const nlohmann::json& value);
bool readBool(const nlohmann::json& value);
std::string readText(const nlohmann::json& value, std::size_t maxBytes, const char* fieldName);
/// Returns `value` if it is an array of at most `maxItems` values.
const nlohmann::json& requireArray(const nlohmann::json& value, std::size_t maxItems, const char* fieldName);
/// Returns `value` if it is an array of exactly `items` values.
const nlohmann::json& requireTuple(const nlohmann::json& value, std::size_t items, const char* fieldName);
/// Key of an entry; the name must not be empty.
EntryKey readKey(const nlohmann::json& kind, const nlohmann::json& name);
/// Value of an entry: a byte string of at most kMaxValueBytes.
std::string readValue(const nlohmann::json& value);
/// Encodes bytes as a byte string.
nlohmann::json toBinary(const std::string& bytes);

}  // namespace wingslip::distribution
