#include "replication/snapshot.hpp"

#include <cstdio>
#include <cstring>

#include "codec/hash.hpp"
#include "replication/record_codec.hpp"

namespace wingslip::replication {
namespace {

using nlohmann::json;

constexpr const char* kFormatPrefix = "burlwind-replica 1 ";
constexpr std::size_t kMaxHeaderBytes = 63;

Snapshot snapshotFromJson(const json& value) {
  Snapshot out;
  out.writtenAtUnixMs = value.at("at").get<std::int64_t>();
  out.generation = value.at("generation").get<std::uint64_t>();
  out.members = membersFromJson(value, "members");
  out.rows = rowsFromJson(value, "rows");
  return out;
}

}  // namespace

std::string encodeSnapshot(const Snapshot& snapshot) {
  const std::vector<std::uint8_t> encoded = json::to_cbor(json{{"at", snapshot.writtenAtUnixMs},
                                                               {"generation", snapshot.generation},
                                                               {"members", toJson(snapshot.members)},
                                                               {"rows", toJson(snapshot.rows)}});
  const std::string body(encoded.begin(), encoded.end());
  char header[kMaxHeaderBytes + 1];
  std::snprintf(header, sizeof header, "%s%016llx %zu\n", kFormatPrefix,
                static_cast<unsigned long long>(hash64(body)), body.size());
  return header + body;
}

Snapshot decodeSnapshot(const std::string& bytes) {
  const auto headerEnd = bytes.find('\n');
  if (bytes.rfind(kFormatPrefix, 0) != 0 || headerEnd == std::string::npos || headerEnd > kMaxHeaderBytes)
    throw DecodeError("snapshot: unsupported format version or no header line");
  unsigned long long hash = 0;
  std::size_t size = 0;
  if (std::sscanf(bytes.c_str() + std::strlen(kFormatPrefix), "%16llx %zu", &hash, &size) != 2)
    throw DecodeError("snapshot: header line lacks a valid checksum and body length");
  const std::string body = bytes.substr(headerEnd + 1);
  if (body.size() != size)
    throw DecodeError("snapshot: body length differs from the header; file truncated or extended");
  if (hash64(body) != hash) throw DecodeError("snapshot: checksum mismatch; body corrupted");
  return withDecodeErrors("snapshot: ", [&] {
    return snapshotFromJson(parseCbor(reinterpret_cast<const std::uint8_t*>(body.data()), body.size()));
  });
}

}  // namespace wingslip::replication
