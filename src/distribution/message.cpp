#include "distribution/message.hpp"

#include <array>
#include <nlohmann/json.hpp>

#include "distribution/field_reader.hpp"
#include "distribution/record_codec.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

constexpr unsigned kFormat = 1;
constexpr std::size_t kChecksumBytes = 8;

json fieldsOf(const Subscribe& message) {
  return json::array({message.version, message.term, message.build});
}
json fieldsOf(const Acknowledge& message) {
  return json::array({message.version, message.transfer, message.nextPart, toJson(message.rejectedChanges)});
}
json fieldsOf(const Changes& message) {
  return json::array({message.previousVersion, message.previousTerm, toJson(message.records),
                      message.committed, message.rootHash, static_cast<std::uint64_t>(message.writerTime)});
}
json fieldsOf(const RangeRequest& message) {
  return json::array({message.version, message.term, message.transfer, hashesToJson(message.hashes)});
}
json fieldsOf(const RangeContents& message) {
  json ranges = json::array();
  for (const RangeContent& content : message.ranges) ranges.push_back(toJson(content));
  return json::array({message.transfer, message.part, message.last, message.version, message.term,
                      message.rootHash, std::move(ranges)});
}
json fieldsOf(const Rejection& message) {
  return json::array({static_cast<unsigned>(message.code), static_cast<std::uint64_t>(message.retryAfter)});
}
json fieldsOf(const Prepare& message) { return json::array({message.term, message.committed}); }
json fieldsOf(const Promise& message) {
  return json::array({message.term, message.accepted, message.lastVersion, message.lastTerm,
                      message.committed, toJson(message.records)});
}
json fieldsOf(const Append& message) {
  return json::array({message.term, message.previousVersion, message.previousTerm, toJson(message.records),
                      message.committed, static_cast<std::uint64_t>(message.writerTime),
                      static_cast<std::uint64_t>(message.sentAt)});
}
json fieldsOf(const AppendResponse& message) {
  return json::array(
      {message.term, message.accepted, message.version, static_cast<std::uint64_t>(message.sentAt)});
}
json fieldsOf(const Fetch& message) { return json::array({message.version, message.term}); }

Message readSubscribe(const json& fields) {
  requireTuple(fields, 3, "Subscribe");
  return Subscribe{readUnsigned(fields[0]), readUnsigned(fields[1]),
                   readText(fields[2], kMaxBuildBytes, "build")};
}
Message readAcknowledge(const json& fields) {
  requireTuple(fields, 4, "Acknowledge");
  return Acknowledge{readUnsigned(fields[0]), readUnsigned(fields[1]), readUint32(fields[2]),
                     readRejectedChanges(fields[3])};
}
Message readChanges(const json& fields) {
  requireTuple(fields, 6, "Changes");
  return Changes{
      readUnsigned(fields[0]), readUnsigned(fields[1]), readRecords(fields[2], kMaxRecordsPerMessage),
      readUnsigned(fields[3]), readUnsigned(fields[4]), readTime(fields[5])};
}
Message readRangeRequest(const json& fields) {
  requireTuple(fields, 4, "RangeRequest");
  return RangeRequest{readUnsigned(fields[0]), readUnsigned(fields[1]), readUnsigned(fields[2]),
                      readHashes(fields[3])};
}
Message readRangeContents(const json& fields) {
  requireTuple(fields, 7, "RangeContents");
  RangeContents message{readUnsigned(fields[0]),
                        readUint32(fields[1]),
                        readBool(fields[2]),
                        readUnsigned(fields[3]),
                        readUnsigned(fields[4]),
                        readUnsigned(fields[5]),
                        {}};
  for (const json& item : requireArray(fields[6], EntryTable::kRanges, "range list"))
    message.ranges.push_back(readRange(item));
  return message;
}
Message readRejection(const json& fields) {
  requireTuple(fields, 2, "Rejection");
  const std::uint64_t code = readUnsigned(fields[0]);
  if (code >= kRejectionCodes) throw CodecError("unknown rejection code");
  return Rejection{static_cast<RejectionCode>(code), readTime(fields[1])};
}
Message readPrepare(const json& fields) {
  requireTuple(fields, 2, "Prepare");
  return Prepare{readUnsigned(fields[0]), readUnsigned(fields[1])};
}
Message readPromise(const json& fields) {
  requireTuple(fields, 6, "Promise");
  return Promise{readUnsigned(fields[0]), readBool(fields[1]),
                 readUnsigned(fields[2]), readUnsigned(fields[3]),
                 readUnsigned(fields[4]), readRecords(fields[5], kMaxRecordsPerMessage)};
}
Message readAppend(const json& fields) {
  requireTuple(fields, 7, "Append");
  return Append{readUnsigned(fields[0]), readUnsigned(fields[1]),
                readUnsigned(fields[2]), readRecords(fields[3], kMaxRecordsPerMessage),
                readUnsigned(fields[4]), readTime(fields[5]),
                readTime(fields[6])};
}
Message readAppendResponse(const json& fields) {
  requireTuple(fields, 4, "AppendResponse");
  return AppendResponse{readUnsigned(fields[0]), readBool(fields[1]), readUnsigned(fields[2]),
                        readTime(fields[3])};
}
Message readFetch(const json& fields) {
  requireTuple(fields, 2, "Fetch");
  return Fetch{readUnsigned(fields[0]), readUnsigned(fields[1])};
}

using Reader = Message (*)(const json&);
// Indexed by the alternative of Message.
constexpr std::array<Reader, std::variant_size_v<Message>> kReaders{
    readSubscribe, readAcknowledge, readChanges, readRangeRequest,   readRangeContents, readRejection,
    readPrepare,   readPromise,     readAppend,  readAppendResponse, readFetch};

}  // namespace

const char* nameOf(RejectionCode code) {
  static constexpr std::array<const char*, kRejectionCodes> kNames{
      "behind_horizon", "subscriber_ahead", "different_history", "busy", "not_serving"};
  return kNames[static_cast<std::size_t>(code)];
}

std::vector<std::uint8_t> encode(const Message& message) {
  const json fields = std::visit([](const auto& typed) { return fieldsOf(typed); }, message);
  std::vector<std::uint8_t> bytes = json::to_cbor(json::array({kFormat, message.index(), fields}));
  const std::uint64_t checksum = checksum64(bytes.data(), bytes.size());
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  return bytes;
}

Message decode(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMaxMessageBytes) throw CodecError("message is too large");
  if (size <= kChecksumBytes) throw CodecError("message is shorter than its checksum");
  const std::size_t bodySize = size - kChecksumBytes;
  std::uint64_t checksum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    checksum |= static_cast<std::uint64_t>(bytes[bodySize + i]) << (8 * i);
  if (checksum64(bytes, bodySize) != checksum) throw CodecError("message checksum does not match");
  try {
    const json body = parseDocument(bytes, bodySize);
    requireTuple(body, 3, "message");
    if (readUnsigned(body[0]) != kFormat) throw CodecError("unsupported message format");
    const std::uint64_t type = readUnsigned(body[1]);
    if (type >= kReaders.size()) throw CodecError("unknown message type");
    return kReaders[type](body[2]);
  } catch (const json::exception&) {
    throw CodecError("message is malformed");
  }
}

}  // namespace wingslip::distribution
