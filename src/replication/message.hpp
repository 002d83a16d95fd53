/// The messages that gatekeepers exchange, and the pure functions that encode them as CBOR and decode them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// The kind of a request; its response has the same kind. The values are part of the wire format.
enum class MessageKind : unsigned {
  probe,         ///< SWIM ping: any response acknowledges it
  probeRequest,  ///< SWIM ping-req: the recipient probes `target` on behalf of the sender
  indirectAck,   ///< `target` acknowledged a probe that the recipient had requested
  gossip,        ///< carries only member and row updates
  sync,          ///< anti-entropy: carries the digest of the sender's copy
  push,          ///< anti-entropy: carries the sender's contents of the differing ranges
};

/// A request or a response. Both carry member and row updates that the recipient merges.
struct Message {
  static constexpr std::size_t kMaxBytes = 256 * 1024;  ///< limit of the encoded size

  std::string fleet;  ///< members of other fleets reject the message
  MessageKind kind = MessageKind::probe;
  MemberRecord sender;
  std::string target;  ///< the member that is probed on behalf of another; empty in other messages
  std::vector<MemberRecord> members;
  std::vector<Row> rows;
  std::vector<std::uint64_t> digest;      ///< sync: one hash per range (anti_entropy.hpp); otherwise empty
  std::vector<unsigned> differingRanges;  ///< sync response: ranges in which the copies differ
  bool truncated = false;                 ///< sync response, push: rows were omitted for size
};

/// Returns the CBOR encoding. Does not enforce `Message::kMaxBytes`.
[[nodiscard]] std::vector<std::uint8_t> encode(const Message& message);

/// Decodes and validates a message.
/// @throws DecodeError if the bytes are not a valid message of the supported format version.
Message decode(const std::uint8_t* bytes, std::size_t size);

}  // namespace wingslip::replication
