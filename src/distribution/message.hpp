/// The messages between control replicas and subscribers, and their encoding: CBOR with a checksum, within
/// limits. The sender is known from the connection. The order of the alternatives of `Message` is part of the
/// format.
#pragma once

#include <variant>

#include "distribution/codec_error.hpp"
#include "distribution/entry_table.hpp"

namespace wingslip::distribution {

inline constexpr std::size_t kMaxMessageBytes = 512 * 1024;
inline constexpr std::size_t kMaxRecordsPerMessage = 1024;
inline constexpr std::size_t kMaxEntriesPerRange = 4096;
inline constexpr std::size_t kMaxRejectedChanges = 16;
inline constexpr std::size_t kMaxReasonBytes = 200;
inline constexpr std::size_t kMaxBuildBytes = 64;

/// Subscriber to replica: send me the changes after this version.
struct Subscribe {
  Version version = 0;
  Term term = 0;  ///< of the record at `version`
  std::string build;
};

/// A change whose entries the subscriber's build does not accept; its old entries stay in effect.
struct RejectedChange {
  Version version = 0;
  std::string reason;
  bool operator==(const RejectedChange&) const = default;
};

/// Subscriber to replica: everything up to `version` is processed, these changes were rejected. Also the sign
/// that the subscriber lives. `transfer` and `nextPart`: of a transfer under way, else 0.
struct Acknowledge {
  Version version = 0;
  std::uint64_t transfer = 0;
  std::uint32_t nextPart = 0;
  std::vector<RejectedChange> rejectedChanges;
};

/// Replica to subscriber, or in answer to Fetch: committed records that follow `previousVersion`. Without
/// records: the sign that the replica lives, with its position.
struct Changes {
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  Hash rootHash = 0;            ///< of the replica's table at `committed`
  Milliseconds writerTime = 0;  ///< Unix time of the newest round of a writer that is known
};

/// Asks for the ranges in which the table with these hashes differs from the replica's.
struct RangeRequest {
  Version version = 0;
  Term term = 0;
  std::uint64_t transfer = 0;  ///< chosen by the asker, not 0
  std::vector<Hash> hashes;    ///< EntryTable::kRanges of them; none: the asker holds nothing
};

struct RangeContent {
  std::uint32_t index = 0;
  RangePointer range;  ///< null: empty
};

/// A part of a transfer: ranges of the table at one version. All parts of a transfer say the same version.
struct RangeContents {
  std::uint64_t transfer = 0;
  std::uint32_t part = 0;
  bool last = false;
  Version version = 0;
  Term term = 0;
  Hash rootHash = 0;  ///< of the whole table at `version`
  std::vector<RangeContent> ranges;
};

enum class RejectionCode : std::uint8_t {
  behindHorizon,     ///< the asker's version was compacted away: ask by ranges
  subscriberAhead,   ///< this replica lags behind the asker
  differentHistory,  ///< the asker's version has another term here
  busy,              ///< too many transfers under way
  notServing,        ///< this replica's own copy is being repaired
};
inline constexpr std::size_t kRejectionCodes = 5;
const char* nameOf(RejectionCode code);

struct Rejection {
  RejectionCode code = RejectionCode::busy;
  Milliseconds retryAfter = 0;
};

/// Writer to replicas: promise to reject older terms than this one (Paxos' prepare).
struct Prepare {
  Term term = 0;
  Version committed = 0;
};

/// Answer to Prepare. `records`: the promiser's log after `committed` of Prepare.
struct Promise {
  Term term = 0;  ///< the highest that the promiser has promised
  bool accepted = false;
  Version lastVersion = 0;
  Term lastTerm = 0;
  Version committed = 0;
  std::vector<RecordPointer> records;
};

/// Writer to replicas: records that follow `previousVersion`; none: a heartbeat.
struct Append {
  Term term = 0;
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  Milliseconds writerTime = 0;  ///< Unix time of the newest round that a majority has answered
  Milliseconds sentAt = 0;      ///< Unix time of this round
};

struct AppendResponse {
  Term term = 0;
  bool accepted = false;
  Version version = 0;      ///< accepted: the log agrees up to here; else: send what follows this
  Milliseconds sentAt = 0;  ///< of the Append that is answered
};

/// Replica to replica: answer once with the committed records after this version.
struct Fetch {
  Version version = 0;
  Term term = 0;
};

using Message = std::variant<Subscribe, Acknowledge, Changes, RangeRequest, RangeContents, Rejection, Prepare,
                             Promise, Append, AppendResponse, Fetch>;

std::vector<std::uint8_t> encode(const Message& message);
/// @throws CodecError on anything but a message of this format.
Message decode(const std::uint8_t* bytes, std::size_t size);

}  // namespace wingslip::distribution
