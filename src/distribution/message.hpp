// What control replicas and subscribers say to each other, its encoding (CBOR, checksummed, with limits), and
// the snapshot that either leaves on disk. Who sent a message is known from the connection.
#pragma once

#include <stdexcept>
#include <variant>

#include "distribution/entry_table.hpp"

namespace wingslip::distribution {

inline constexpr std::size_t kMaxMessageBytes = 512 * 1024;
inline constexpr std::size_t kMaxSnapshotBytes = 256 * 1024 * 1024;
inline constexpr std::size_t kMaxRecordsPerMessage = 1024;
inline constexpr std::size_t kMaxEntriesPerRange = 4096;
inline constexpr std::size_t kMaxRefusals = 16;
inline constexpr std::size_t kMaxReasonBytes = 200;
inline constexpr std::size_t kMaxBuildBytes = 64;

// Subscriber to replica: send me the changes after this version.
struct Subscribe {
  Version version = 0;
  Term term = 0;  // of the record at `version`
  std::string build;
};

// A change whose entries this subscriber's build does not accept; its old entries stay in force.
struct Refusal {
  Version version = 0;
  std::string reason;
  bool operator==(const Refusal&) const = default;
};

// Subscriber to replica: everything up to `version` is processed, these changes were refused. Also the sign
// that the subscriber lives. `transfer` and `nextPart`: of a transfer under way, else 0.
struct Acknowledge {
  Version version = 0;
  std::uint64_t transfer = 0;
  std::uint32_t nextPart = 0;
  std::vector<Refusal> refusals;
};

// Replica to subscriber, or in answer to Fetch: committed records that follow `previousVersion`. Without
// records: the sign that the replica lives, with its position.
struct Changes {
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  Hash rootHash = 0;            // of the replica's table at `committed`
  Milliseconds writerTime = 0;  // Unix time of the newest word from a writer
};

// Asks for the ranges in which the table with these hashes differs from the replica's.
struct RangeRequest {
  Version version = 0;
  Term term = 0;
  std::uint64_t transfer = 0;  // chosen by the asker, not 0
  std::vector<Hash> hashes;    // EntryTable::kRanges of them; none: the asker holds nothing
};

struct RangeContent {
  std::uint32_t index = 0;
  RangePointer range;  // null: empty
};

// A part of a transfer: ranges of the table at one version. All parts of a transfer say the same version.
struct RangeContents {
  std::uint64_t transfer = 0;
  std::uint32_t part = 0;
  bool last = false;
  Version version = 0;
  Term term = 0;
  Hash rootHash = 0;  // of the whole table at `version`
  std::vector<RangeContent> ranges;
};

enum class RefusalCode : std::uint8_t {
  behind_horizon,     // the asker's version was compacted away: ask by ranges
  subscriber_ahead,   // this replica lags behind the asker
  different_history,  // the asker's version has another term here
  busy,               // too many transfers under way
  not_serving,        // this replica's own copy is being repaired
};
inline constexpr std::size_t kRefusalCodes = 5;
const char* nameOf(RefusalCode code);

struct Refused {
  RefusalCode code = RefusalCode::busy;
  Milliseconds retryAfter = 0;
};

// Writer to replicas: this term is mine.
struct Claim {
  Term term = 0;
  Version committed = 0;
};

// Answer to Claim. `records`: the promiser's log after the claim's `committed`.
struct Promise {
  Term term = 0;  // the highest that the promiser has promised
  bool accepted = false;
  Version lastVersion = 0;
  Term lastTerm = 0;
  Version committed = 0;
  std::vector<RecordPointer> records;
};

// Writer to replicas: records that follow `previousVersion`; none: a heartbeat.
struct Append {
  Term term = 0;
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  Milliseconds writerTime = 0;  // Unix time of the newest round that a majority has answered
  Milliseconds sentAt = 0;      // Unix time of this round
};

struct Appended {
  Term term = 0;
  bool accepted = false;
  Version version = 0;      // accepted: the log agrees up to here; else: send what follows this
  Milliseconds sentAt = 0;  // of the Append that is answered
};

// Replica to replica: answer once with the committed records after this version.
struct Fetch {
  Version version = 0;
  Term term = 0;
};

using Message = std::variant<Subscribe, Acknowledge, Changes, RangeRequest, RangeContents, Refused, Claim,
                             Promise, Append, Appended, Fetch>;

// Bytes or a record that are no message or snapshot; `what()` is one plain line.
class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::vector<std::uint8_t> encode(const Message& message);
// Throws CodecError.
Message decode(const std::uint8_t* bytes, std::size_t size);

// An entry of a refused change: what is in force in place of the table's.
struct HeldBackEntry {
  EntryKey key;
  EntryPointer lastGood;  // null: nothing is
  Version refused = 0;    // the version of the refused change
};

// The state of a copy. A subscriber has no records and no promised term; a replica has no held-back entries.
struct Snapshot {
  Version version = 0;  // of `table`
  Term term = 0;        // of the record at `version`
  EntryTable table;
  std::vector<HeldBackEntry> heldBack;
  std::vector<Refusal> refusals;  // why
  std::string build;              // that refused them
  Term promisedTerm = 0;
  Version logBase = 0;
  Term logBaseTerm = 0;
  std::vector<RecordPointer> records;  // the log after its base
};

// A first line with the format's version, checksum and length; then CBOR.
std::string encodeSnapshot(const Snapshot& snapshot);
// Throws CodecError, also when the table does not have the root hash that was written with it.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::distribution
