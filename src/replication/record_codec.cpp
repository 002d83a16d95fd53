#include "replication/record_codec.hpp"

namespace wingslip::replication {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxArrayItems = 8192;

}  // namespace

json toJson(const MemberRecord& member) {
  return json::array({member.name, member.address, member.generation, member.incarnation,
                      static_cast<unsigned>(member.state)});
}

json toJson(const Row& row) {
  return json::array({row.table, row.key, json::binary({row.value.begin(), row.value.end()}),
                      row.timestamp.physicalMs, row.timestamp.counter, row.timestamp.origin, row.tombstone});
}

std::string boundedStringFromJson(const json& value, const char* field) {
  auto out = value.get<std::string>();
  if (out.size() > kMaxNameBytes)
    throw DecodeError(std::string("replica: ") + field + " exceeds the maximum length");
  return out;
}

MemberRecord memberFromJson(const json& value) {
  MemberRecord out;
  out.name = boundedStringFromJson(value.at(0), "member name");
  out.address = boundedStringFromJson(value.at(1), "member address");
  out.generation = value.at(2).get<std::uint64_t>();
  out.incarnation = value.at(3).get<std::uint64_t>();
  const auto state = value.at(4).get<unsigned>();
  if (state > static_cast<unsigned>(MemberState::left)) throw DecodeError("replica: unknown member state");
  if (out.name.empty()) throw DecodeError("replica: member record has an empty name");
  out.state = static_cast<MemberState>(state);
  return out;
}

Row rowFromJson(const json& value) {
  Row out;
  out.table = boundedStringFromJson(value.at(0), "table name");
  out.key = boundedStringFromJson(value.at(1), "row key");
  const auto& bytes = value.at(2).get_binary();
  if (bytes.size() > kMaxValueBytes) throw DecodeError("replica: row value exceeds the maximum length");
  out.value.assign(bytes.begin(), bytes.end());
  out.timestamp.physicalMs = value.at(3).get<std::int64_t>();
  out.timestamp.counter = value.at(4).get<std::uint32_t>();
  out.timestamp.origin = boundedStringFromJson(value.at(5), "timestamp origin");
  out.tombstone = value.at(6).get<bool>();
  if (out.table.empty() || out.timestamp.physicalMs < 0)
    throw DecodeError("replica: row has an empty table name or a negative timestamp");
  return out;
}

const json& arrayAt(const json& object, const char* key) {
  const json& out = object.at(key);
  if (!out.is_array() || out.size() > kMaxArrayItems)
    throw DecodeError(std::string("replica: ") + key + " is not an array or has too many items");
  return out;
}

std::vector<MemberRecord> membersFromJson(const json& object, const char* key) {
  std::vector<MemberRecord> out;
  for (const json& value : arrayAt(object, key)) out.push_back(memberFromJson(value));
  return out;
}

std::vector<Row> rowsFromJson(const json& object, const char* key) {
  std::vector<Row> out;
  for (const json& value : arrayAt(object, key)) out.push_back(rowFromJson(value));
  return out;
}

}  // namespace wingslip::replication
