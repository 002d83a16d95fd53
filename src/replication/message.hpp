/// The messages that gatekeepers exchange, and their encoding (CBOR). Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "replication/decode_error.hpp"
#include "replication/records.hpp"

namespace wingslip::replication {

/// The values are part of the wire format.
enum class MessageKind : unsigned {
  probe,         ///< SWIM's ping: any response is the acknowledgement
  probeRequest,  ///< SWIM's ping-req: the recipient probes `target` on the sender's behalf
  indirectAck,   ///< `target` has acknowledged such a probe
  gossip,        ///< carries updates only
  sync,          ///< anti-entropy: carries the sender's digest
  push,          ///< anti-entropy: the sender's contents of the ranges that differed
};

/// A request or its response. Each carries updates for the recipient to merge.
struct Message {
  static constexpr std::size_t kMaxBytes = 256 * 1024;  ///< encoded

  std::string fleet;  ///< members of another fleet ignore the message
  MessageKind kind = MessageKind::probe;
  MemberRecord sender;
  std::string target;  ///< of probeRequest and indirectAck; in a probe: it is made on another's behalf
  std::vector<MemberRecord> members;
  std::vector<Row> rows;
  std::vector<std::uint64_t> digest;      ///< sync: one hash a range (anti_entropy.hpp); else empty
  std::vector<unsigned> differingRanges;  ///< response to sync: ranges in which the two copies differ
  bool truncated = false;                 ///< response to sync: not all rows of these ranges fitted
};

[[nodiscard]] std::vector<std::uint8_t> encode(const Message& message);

/// @throws DecodeError on anything but a message of this version.
Message decode(const std::uint8_t* bytes, std::size_t size);

}  // namespace wingslip::replication
