/// Encoding of messages and snapshots: round trips and malformed input.
#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "distribution_fixtures.hpp"

namespace wingslip::distribution {
namespace {

using nlohmann::json;

// A message with a right checksum around any body.
Bytes sealed(const json& body) {
  Bytes bytes = json::to_cbor(body);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  return bytes;
}

std::string reasonOf(const Bytes& bytes) {
  try {
    decode(bytes.data(), bytes.size());
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

std::string snapshotReason(const std::string& bytes) {
  try {
    decodeSnapshot(bytes);
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

TEST(DistributionCodec, EveryMessageRoundTrips) {
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
    const Message back = decode(bytes.data(), bytes.size());
    EXPECT_EQ(back.index(), i);
    EXPECT_EQ(encode(back), bytes);
  }
}

TEST(DistributionCodec, TruncatedOrDamagedBytesAreRejected) {
  EntryTable table;
  const Bytes bytes = encode(Changes{0, 0, {makeRecord(1, 1, table, "name", "value")}, 1, 0, 0});
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_NE(reasonOf(Bytes(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size))), "");
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    Bytes changed = bytes;
    changed[i] ^= 0x20;
    EXPECT_EQ(reasonOf(changed), "the message is damaged");
  }
}

TEST(DistributionCodec, InvalidBodiesAreRejectedWithReason) {
  const json name10k = std::string(10'240, 'n');
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
  const json good = json::array({edit(0, "name", value)});
  const std::vector<std::pair<json, std::string>> cases{
      {changes(json::array({record(1, 1, json::array({edit(0, name10k, value)}))})), "a name is too long"},
      {changes(json::array({record(1, 1, json::array({edit(0, "", value)}))})), "an entry without a name"},
      {changes(json::array({record(1, 1, json::array({edit(9, "n", value)}))})), "an unknown kind of entry"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", "text")}))})),
       "a value is no byte string"},
      {changes(json::array({record(1, 1, json::array({edit(0, 5, value)}))})), "a name is no text"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", value), edit(0, "n", value)}))})),
       "two edits of one entry"},
      {changes(
           json::array({record(1, 1, json::array({edit(0, "n", json::binary(Bytes(kMaxValueBytes + 1)))}))})),
       "a value is too long"},
      {changes(json::array({record(0, 1, good)})), "a record without version or term"},
      {changes(json::array({record(2, 1, good), record(1, 1, good)})), "records out of order"},
      {changes(json::array({record(1, 1, good), record(1, 1, good)})), "records out of order"},
      {changes(json::array({record(1, 2, good), record(2, 1, good)})),
       "a record of an older term than the one before"},
      {changes("none"), "a list of records is no array"},
      {json::array({1, 2, json::array({-1, 0, json::array(), 1, 0, 0})}), "a field is no unsigned number"},
      {json::array({1, 2, json::array({0, 0})}), "Changes has a wrong shape"},
      {json::array({2, 2, json::array()}), "a message of another format"},
      {json::array({1, 99, json::array()}), "an unknown type of message"},
      {json::array({1, 3, json::array({0, 0, 1, json::binary({1, 2})})}), "a wrong number of hashes"},
      {json::array(
           {1, 4, json::array({1, 0, true, 1, 1, 0, json::array({json::array({5000, json::array()})})})}),
       "no such range"},
      {json{{"a", 1}}, "the message has a wrong shape"},
      {json("text"), "the message has a wrong shape"}};
  for (const auto& [body, reason] : cases) EXPECT_EQ(reasonOf(sealed(body)), reason);
  EXPECT_EQ(reasonOf(Bytes(kMaxMessageBytes + 1)), "the message is too large");
}

TEST(DistributionCodec, DeepNestingIsRejectedBeforeParsing) {
  Bytes bytes(kMaxMessageBytes - 8, 0x81);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  EXPECT_EQ(reasonOf(bytes), "not CBOR, or nested too deep");
}

TEST(DistributionCodec, EntryOfAnotherRangeIsRejected) {
  const std::size_t other = (EntryTable::rangeOf(route("name")) + 1) % EntryTable::kRanges;
  const RangePointer range = makeRange({makeEntry(route("name"), "v", 1, 1)});
  EXPECT_EQ(
      reasonOf(encode(RangeContents{1, 0, true, 1, 1, 0, {{static_cast<std::uint32_t>(other), range}}})),
      "an entry of another range");
}

TEST(DistributionSnapshot, RoundTripsAndIsRejectedWhenDamagedOrInconsistent) {
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
  const Snapshot back = decodeSnapshot(bytes);
  EXPECT_EQ(back.table.rootHash(), snapshot.table.rootHash());
  EXPECT_EQ(encodeSnapshot(back), bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_NE(snapshotReason(bytes.substr(0, size)), "");
  EXPECT_EQ(snapshotReason(bytes + "x"), "the snapshot is cut short or too long");
  for (std::size_t i = bytes.find('\n') + 1; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_EQ(snapshotReason(changed), "the snapshot is damaged");
  }
  EXPECT_EQ(snapshotReason("burlwind-distribution 2" + bytes.substr(23)), "no snapshot of this format");
  // The same file with another value and a right checksum: the table's own hash tells.
  const std::size_t head = bytes.find('\n') + 1;
  json body = json::from_cbor(bytes.substr(head));
  body[3][0][2] = json::binary({'w'});
  const Bytes changed = json::to_cbor(body);
  char line[80];
  std::snprintf(line, sizeof line, "burlwind-distribution 1 %016llx %zu\n",
                static_cast<unsigned long long>(XXH64(changed.data(), changed.size(), 0)), changed.size());
  EXPECT_EQ(snapshotReason(line + std::string(changed.begin(), changed.end())),
            "the snapshot's table has another hash");
}

}  // namespace
}  // namespace wingslip::distribution
