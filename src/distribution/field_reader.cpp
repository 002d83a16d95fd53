#include "distribution/field_reader.hpp"

#include <string_view>

#include "codec/cbor.hpp"
#include "codec/hash.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

EntryKind readKind(const json& value) {
  const std::uint64_t kind = readUnsigned(value);
  if (kind >= kEntryKinds) throw CodecError("unknown entry kind");
  return static_cast<EntryKind>(kind);
}

}  // namespace

json parseDocument(const std::uint8_t* bytes, std::size_t size) {
  try {
    return parseCbor(bytes, size);
  } catch (const CborError& error) {
    throw CodecError(error.what());
  }
}

std::uint64_t readUnsigned(const json& value) {
  if (!value.is_number_unsigned()) throw CodecError("field is not an unsigned integer");
  return value.get<std::uint64_t>();
}

std::uint32_t readUint32(const json& value) {
  const std::uint64_t number = readUnsigned(value);
  if (number > UINT32_MAX) throw CodecError("integer does not fit into 32 bits");
  return static_cast<std::uint32_t>(number);
}

Milliseconds readTime(const json& value) {
  const std::uint64_t number = readUnsigned(value);
  if (number > INT64_MAX) throw CodecError("time does not fit into 63 bits");
  return static_cast<Milliseconds>(number);
}

bool readBool(const json& value) {
  if (!value.is_boolean()) throw CodecError("field is not a boolean");
  return value.get<bool>();
}

std::string readText(const json& value, std::size_t maxBytes, const char* fieldName) {
  if (!value.is_string()) throw CodecError(std::string(fieldName) + " is not a string");
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > maxBytes) throw CodecError(std::string(fieldName) + " is too long");
  return text;
}

const json& requireArray(const json& value, std::size_t maxItems, const char* fieldName) {
  if (!value.is_array()) throw CodecError(std::string(fieldName) + " is not an array");
  if (value.size() > maxItems) throw CodecError(std::string(fieldName) + " is too long");
  return value;
}

const json& requireTuple(const json& value, std::size_t items, const char* fieldName) {
  if (!value.is_array() || value.size() != items)
    throw CodecError(std::string(fieldName) + " is not an array of the expected length");
  return value;
}

EntryKey readKey(const json& kind, const json& name) {
  EntryKey key{readKind(kind), readText(name, kMaxNameBytes, "entry name")};
  if (key.name.empty()) throw CodecError("entry name is empty");
  return key;
}

json toBinary(const std::string& bytes) {
  return json::binary(json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string readValue(const json& value) {
  if (!value.is_binary()) throw CodecError("entry value is not a byte string");
  const auto& bytes = value.get_binary();
  if (bytes.size() > kMaxValueBytes) throw CodecError("entry value is too long");
  return {bytes.begin(), bytes.end()};
}

std::uint64_t checksum64(const std::uint8_t* bytes, std::size_t size) {
  return hash64(std::string_view(reinterpret_cast<const char*>(bytes), size));
}

}  // namespace wingslip::distribution
