#include "replication/message.hpp"

#include "replication/record_codec.hpp"

namespace wingslip::replication {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;

MessageKind kindFromJson(const json& value) {
  const auto kind = value.get<unsigned>();
  if (kind > static_cast<unsigned>(MessageKind::push)) throw DecodeError("replica: unknown message kind");
  return static_cast<MessageKind>(kind);
}

template <class Number>
std::vector<Number> numbersFromJson(const json& object, const char* key) {
  std::vector<Number> out;
  for (const json& value : arrayAt(object, key)) out.push_back(value.get<Number>());
  return out;
}

Message messageFromJson(const json& value) {
  if (value.at("v").get<int>() != kFormatVersion)
    throw DecodeError("replica: unsupported message format version");
  Message out;
  out.fleet = boundedStringFromJson(value.at("fleet"), "fleet name");
  out.kind = kindFromJson(value.at("kind"));
  out.sender = memberFromJson(value.at("self"));
  out.target = boundedStringFromJson(value.at("target"), "target");
  out.members = membersFromJson(value, "members");
  out.rows = rowsFromJson(value, "rows");
  out.digest = numbersFromJson<std::uint64_t>(value, "digest");
  out.differingRanges = numbersFromJson<unsigned>(value, "differ");
  out.truncated = value.at("more").get<bool>();
  return out;
}

}  // namespace

std::vector<std::uint8_t> encode(const Message& message) {
  return json::to_cbor(json{{"v", kFormatVersion},
                            {"fleet", message.fleet},
                            {"kind", static_cast<unsigned>(message.kind)},
                            {"self", toJson(message.sender)},
                            {"target", message.target},
                            {"members", toJson(message.members)},
                            {"rows", toJson(message.rows)},
                            {"digest", message.digest},
                            {"differ", message.differingRanges},
                            {"more", message.truncated}});
}

Message decode(const std::uint8_t* bytes, std::size_t size) {
  return withDecodeErrors("replica: ", [&] { return messageFromJson(parseCbor(bytes, size)); });
}

}  // namespace wingslip::replication
