/// Messages between control replicas and subscribers, and their encoding: CBOR with a checksum and limits on
/// sizes. A message does not name its sender, which is known from the connection. The order of the
/// alternatives of `Message` is part of the wire format.
#pragma once

#include <variant>

#include "distribution/codec_error.hpp"
#include "distribution/entry_table.hpp"

namespace wingslip::distribution {

// Limits that the decoder enforces.
inline constexpr std::size_t kMaxMessageBytes = 512 * 1024;
inline constexpr std::size_t kMaxRecordsPerMessage = 1024;
inline constexpr std::size_t kMaxEntriesPerRange = 4096;
inline constexpr std::size_t kMaxRejectedChanges = 16;  ///< in an Acknowledge or a snapshot
inline constexpr std::size_t kMaxReasonBytes = 200;     ///< of RejectedChange::reason
inline constexpr std::size_t kMaxBuildBytes = 64;       ///< of a build name

/// Subscriber to replica: requests the changes after `version`.
struct Subscribe {
  Version version = 0;
  Term term = 0;      ///< of the record at `version`
  std::string build;  ///< name of the subscriber's build
};

/// A change with an entry that the subscriber's build does not accept. The previous entries stay in effect.
struct RejectedChange {
  Version version = 0;
  std::string reason;
  bool operator==(const RejectedChange&) const = default;
};

/// Subscriber to replica: all records up to `version` are processed, and `rejectedChanges` were rejected.
/// Also serves as the subscriber's heartbeat. A replica that repairs its table sends it too, to acknowledge
/// parts.
struct Acknowledge {
  Version version = 0;
  std::uint64_t transfer = 0;  ///< id of the transfer in progress, or 0
  std::uint32_t nextPart = 0;  ///< index of the next part expected, or 0 without a transfer
  std::vector<RejectedChange> rejectedChanges;
};

/// Replica to subscriber, or in response to Fetch: committed records that follow `previousVersion`. Without
/// records: a heartbeat that carries the replica's position in the log.
struct Changes {
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  Hash rootHash = 0;  ///< hash of the replica's table at `committed`
  /// Unix time of the newest append round that a majority is known to have responded to.
  Milliseconds writerTime = 0;
};

/// Subscriber or replica to replica: requests the ranges in which the receiver's table differs from the table
/// with these hashes. That table may contain ranges of an interrupted transfer, so that it is newer in part
/// than `version`.
struct RangeRequest {
  Version version = 0;         ///< of the requester's copy
  Term term = 0;               ///< of the record at `version`
  std::uint64_t transfer = 0;  ///< id of the transfer, chosen by the requester; not 0
  std::vector<Hash> hashes;    ///< EntryTable::kRanges hashes; empty if the requester has no entries
};

/// One range of a transfer.
struct RangeContent {
  std::uint32_t index = 0;
  RangePointer range;  ///< null if the range is empty
};

/// A part of a transfer: ranges of the table at one version. All parts of a transfer have the same version.
struct RangeContents {
  std::uint64_t transfer = 0;
  std::uint32_t part = 0;  ///< index of this part, from 0
  bool last = false;
  Version version = 0;
  Term term = 0;
  Hash rootHash = 0;  ///< of the whole table at `version`
  std::vector<RangeContent> ranges;
};

/// Reason why a replica does not serve a request. The numeric values are part of the wire format.
enum class RejectionCode : std::uint8_t {
  behindHorizon,     ///< the requester's version was compacted away: it must send a RangeRequest
  subscriberAhead,   ///< this replica lags behind the requester
  differentHistory,  ///< the requester's version has a different term in this replica's log
  busy,              ///< too many transfers in progress, or too many sessions
  notServing,        ///< this replica's own copy is being repaired
};
inline constexpr std::size_t kRejectionCodes = 5;
/// Name of the code for log lines.
const char* nameOf(RejectionCode code);

/// Replica to subscriber, or to another replica: the request was not served.
struct Rejection {
  RejectionCode code = RejectionCode::busy;
  Milliseconds retryAfter = 0;  ///< 0 except for `busy`
};

/// Writer to replicas: requests a promise to reject terms older than `term` (the prepare phase of Paxos).
struct Prepare {
  Term term = 0;
  Version committed = 0;
};

/// Response to Prepare. `records` are those after `committed` of Prepare, as many as fit into a message;
/// empty if they were compacted away.
struct Promise {
  Term term = 0;          ///< the highest term promised by the replica
  bool accepted = false;  ///< if false, the fields below are not set
  Version lastVersion = 0;
  Term lastTerm = 0;
  Version committed = 0;
  std::vector<RecordPointer> records;
};

/// Writer to replicas: records that follow `previousVersion`, or a heartbeat without records.
struct Append {
  Term term = 0;
  Version previousVersion = 0;
  Term previousTerm = 0;
  std::vector<RecordPointer> records;
  Version committed = 0;
  /// Unix time of the newest append round that a majority is known to have responded to.
  Milliseconds writerTime = 0;
  Milliseconds sentAt = 0;  ///< Unix time at which this round was sent
};

/// Response to Append.
struct AppendResponse {
  Term term = 0;  ///< term of the Append if it was not rejected as old; else the promised term
  bool accepted = false;
  /// If accepted, the last version up to which the logs match; otherwise, the version after which the writer
  /// should append next.
  Version version = 0;
  Milliseconds sentAt = 0;  ///< copied from the Append
};

/// Replica to replica: requests a single Changes with committed records after `version`, as many as fit.
struct Fetch {
  Version version = 0;
  Term term = 0;
};

using Message = std::variant<Subscribe, Acknowledge, Changes, RangeRequest, RangeContents, Rejection, Prepare,
                             Promise, Append, AppendResponse, Fetch>;

/// Encodes the message with its checksum.
std::vector<std::uint8_t> encode(const Message& message);
/// @throws CodecError if the bytes are not a valid message of this format.
Message decode(const std::uint8_t* bytes, std::size_t size);

}  // namespace wingslip::distribution
