/// Typed reading of the JSON values that messages and snapshots carry in CBOR. Pure functions.
///
/// Each throws CodecError on a value of another type or beyond its limit; `what` names the field in the
/// error.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "distribution/codec_error.hpp"
#include "distribution/entry.hpp"

namespace wingslip::distribution {

/// The document in `size` bytes of CBOR.
nlohmann::json parseDocument(const std::uint8_t* bytes, std::size_t size);
/// The checksum of messages and snapshots.
std::uint64_t checksum64(const std::uint8_t* bytes, std::size_t size);

std::uint64_t readUnsigned(const nlohmann::json& value);
std::uint32_t readUint32(const nlohmann::json& value);
Milliseconds readTime(const nlohmann::json& value);
bool readBool(const nlohmann::json& value);
std::string readText(const nlohmann::json& value, std::size_t maxBytes, const char* what);
const nlohmann::json& requireArray(const nlohmann::json& value, std::size_t maxItems, const char* what);
/// An array of exactly `items` values.
const nlohmann::json& requireTuple(const nlohmann::json& value, std::size_t items, const char* what);
EntryKey readKey(const nlohmann::json& kind, const nlohmann::json& name);
/// An entry's value, a byte string.
std::string readValue(const nlohmann::json& value);
nlohmann::json toBinary(const std::string& bytes);

}  // namespace wingslip::distribution
