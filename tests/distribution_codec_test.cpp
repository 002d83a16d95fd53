/// Tests of the encoding of messages and snapshots: round trips and invalid input.
#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "distribution_fixtures.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

// Message with the given body, which may be invalid, and a correct checksum.
Bytes withChecksum(const json& body) {
  Bytes bytes = json::to_cbor(body);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  return bytes;
}

std::string decodeError(const Bytes& bytes) {
  try {
    decode(bytes.data(), bytes.size());
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

std::string snapshotError(const std::string& bytes) {
  try {
    decodeSnapshot(bytes);
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

TEST(DistributionCodec, EncodedMessageDecodesToSameMessage) {
  EntryTable table;
  const auto record = makeRecord(7, 3, table, "name", "value");
  table.apply(*record);
  const std::size_t index = EntryTable::rangeOf(route("name"));
  const std::vector<Message> messages{
      Subscribe{7, 3, "build"},
      Acknowledge{7, 9, 2, {{5, "why"}}},
      Changes{6, 3, {record}, 7, 11, 12},
      RangeRequest{7, 3, 9, table.rangeHashes()},
      RangeContents{
          9, 1, true, 7, 3, 11, {{static_cast<std::uint32_t>(index), table.range(index)}, {3, nullptr}}},
      Rejection{RejectionCode::busy, 500},
      Prepare{3, 6},
      Promise{3, true, 7, 3, 6, {record}},
      Append{3, 6, 3, {record}, 6, 100, 101},
      AppendResponse{3, true, 7, 101},
      Fetch{7, 3}};
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    EXPECT_EQ(messages[i].index(), i);
    const Bytes bytes = encode(messages[i]);
    const Message decoded = decode(bytes.data(), bytes.size());
    EXPECT_EQ(decoded.index(), i);
    EXPECT_EQ(encode(decoded), bytes);
  }
}

TEST(DistributionCodec, TruncatedOrCorruptedMessageIsRejected) {
  EntryTable table;
  const Bytes bytes = encode(Changes{0, 0, {makeRecord(1, 1, table, "name", "value")}, 1, 0, 0});
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_NE(decodeError(Bytes(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size))), "");
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    Bytes changed = bytes;
    changed[i] ^= 0x20;
    EXPECT_EQ(decodeError(changed), "message checksum does not match");
  }
}

TEST(DistributionCodec, InvalidMessageBodyIsRejectedWithReason) {
  const json oversizedName = std::string(10'240, 'n');
  const auto changes = [](const json& records) {
    return json::array({1, 2, json::array({0, 0, records, 1, 0, 0})});
  };
  const auto edit = [](const json& kind, const json& name, const json& value) {
    return json::array({kind, name, value});
  };
  const auto record = [](std::uint64_t version, std::uint64_t term, const json& edits) {
    return json::array({version, term, "id", 0, edits});
  };
  const json value = json::binary({1, 2, 3});
  const json validEdits = json::array({edit(0, "name", value)});
  const std::vector<std::pair<json, std::string>> cases{
      {changes(json::array({record(1, 1, json::array({edit(0, oversizedName, value)}))})),
       "entry name is too long"},
      {changes(json::array({record(1, 1, json::array({edit(0, "", value)}))})), "entry name is empty"},
      {changes(json::array({record(1, 1, json::array({edit(9, "n", value)}))})), "unknown entry kind"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", "text")}))})),
       "entry value is not a byte string"},
      {changes(json::array({record(1, 1, json::array({edit(0, 5, value)}))})), "entry name is not a string"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", value), edit(0, "n", value)}))})),
       "duplicate entry key in a record"},
      {changes(
           json::array({record(1, 1, json::array({edit(0, "n", json::binary(Bytes(kMaxValueBytes + 1)))}))})),
       "entry value is too long"},
      {changes(json::array({record(0, 1, validEdits)})), "record version or term is 0"},
      {changes(json::array({record(2, 1, validEdits), record(1, 1, validEdits)})),
       "record versions are not consecutive"},
      {changes(json::array({record(1, 1, validEdits), record(1, 1, validEdits)})),
       "record versions are not consecutive"},
      {changes(json::array({record(1, 2, validEdits), record(2, 1, validEdits)})),
       "record term is older than that of the previous record"},
      {changes("none"), "record list is not an array"},
      {json::array({1, 2, json::array({-1, 0, json::array(), 1, 0, 0})}), "field is not an unsigned integer"},
      {json::array({1, 2, json::array({0, 0})}), "Changes is not an array of the expected length"},
      {json::array({2, 2, json::array()}), "unsupported message format"},
      {json::array({1, 99, json::array()}), "unknown message type"},
      {json::array({1, 3, json::array({0, 0, 1, json::binary({1, 2})})}),
       "number of range hashes does not match the table"},
      {json::array(
           {1, 4, json::array({1, 0, true, 1, 1, 0, json::array({json::array({5000, json::array()})})})}),
       "range index is out of bounds"},
      {json{{"a", 1}}, "message is not an array of the expected length"},
      {json("text"), "message is not an array of the expected length"}};
  for (const auto& [body, reason] : cases) EXPECT_EQ(decodeError(withChecksum(body)), reason);
  EXPECT_EQ(decodeError(Bytes(kMaxMessageBytes + 1)), "message is too large");
}

TEST(DistributionCodec, DeeplyNestedMessageIsRejected) {
  Bytes bytes(kMaxMessageBytes - 8, 0x81);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  EXPECT_EQ(decodeError(bytes), "not CBOR, or nested too deep");
}

TEST(DistributionCodec, EntryOutsideItsRangeIsRejected) {
  const std::size_t other = (EntryTable::rangeOf(route("name")) + 1) % EntryTable::kRanges;
  const RangePointer range = makeRange({makeEntry(route("name"), "v", 1, 1)});
  EXPECT_EQ(
      decodeError(encode(RangeContents{1, 0, true, 1, 1, 0, {{static_cast<std::uint32_t>(other), range}}})),
      "entry key does not belong to the range");
}

TEST(DistributionSnapshot, RoundTripsAndIsRejectedWhenCorruptedOrInconsistent) {
  Snapshot snapshot;
  for (Version version = 1; version <= 5; ++version) {
    const auto record = makeRecord(version, 1, snapshot.table, "n" + std::to_string(version), "v");
    snapshot.table.apply(*record);
    snapshot.records.push_back(record);
  }
  snapshot.version = 5;
  snapshot.term = 1;
  snapshot.promisedTerm = 4;
  snapshot.rejectedEntries.push_back({route("n5"), makeEntry(route("n5"), "old", 2, 1), 5});
  snapshot.rejectedEntries.push_back({route("n4"), nullptr, 4});
  snapshot.rejectedChanges.push_back({5, "why"});
  snapshot.build = "build";
  const std::string bytes = encodeSnapshot(snapshot);
  const Snapshot decoded = decodeSnapshot(bytes);
  EXPECT_EQ(decoded.table.rootHash(), snapshot.table.rootHash());
  EXPECT_EQ(encodeSnapshot(decoded), bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size) EXPECT_NE(snapshotError(bytes.substr(0, size)), "");
  EXPECT_EQ(snapshotError(bytes + "x"), "snapshot length does not match its header");
  for (std::size_t i = bytes.find('\n') + 1; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_EQ(snapshotError(changed), "snapshot checksum does not match");
  }
  EXPECT_EQ(snapshotError("burlwind-distribution 2" + bytes.substr(23)),
            "not a snapshot, or an unsupported format");
  // A different value under a correct checksum is detected by the root hash of the table.
  const std::size_t head = bytes.find('\n') + 1;
  json body = json::from_cbor(bytes.substr(head));
  body[3][0][2] = json::binary({'w'});
  const Bytes changed = json::to_cbor(body);
  char line[80];
  std::snprintf(line, sizeof line, "burlwind-distribution 1 %016llx %zu\n",
                static_cast<unsigned long long>(XXH64(changed.data(), changed.size(), 0)), changed.size());
  EXPECT_EQ(snapshotError(line + std::string(changed.begin(), changed.end())),
            "snapshot table does not match its root hash");
}

}  // namespace
}  // namespace wingslip::distribution
