/// Transfer of the ranges in which two tables differ. A cold start transfers all non-empty ranges.
#pragma once

#include <optional>

#include "distribution/message.hpp"

namespace wingslip::distribution {

/// Sender of one transfer, which it splits into parts. Stores a copy of the table from the time of the
/// request, so that all parts are of one version while the replica applies further changes. The copy shares
/// the unchanged ranges with the replica's table.
class TransferSender {
 public:
  /// `version` is that of `table`; `term` is the term of the record at `version`.
  TransferSender(const RangeRequest& request, const EntryTable& table, Version version, Term term);

  std::uint64_t id() const { return id_; }
  Version version() const { return version_; }
  Term term() const { return term_; }
  std::uint32_t partCount() const { return static_cast<std::uint32_t>(parts_.size()); }
  /// Part with this index, which must be below partCount().
  RangeContents part(std::uint32_t index) const;

 private:
  std::uint64_t id_;
  EntryTable table_;
  Version version_;
  Term term_;
  std::vector<std::vector<std::uint32_t>> parts_;  // range indices by part
};

/// Approximate size in bytes of a part in a message.
std::size_t approximateBytes(const RangeContents& contents);

/// Result of receiving a part: `ignored` if it is not the next part of the transfer, `damaged` if the parts
/// or the completed table are inconsistent.
enum class TransferStep { ignored, progress, complete, damaged };

/// Receiver of one transfer. Applies the parts to its own copy of the table; the transfer is complete only
/// once the last part has arrived and the copy has the root hash announced by the sender.
class TransferReceiver {
 public:
  /// `base` is the table whose range hashes were sent in the request.
  TransferReceiver(std::uint64_t id, EntryTable base) : id_(id), table_(std::move(base)) {}

  /// Applies the part if it is the next one.
  TransferStep receivePart(const RangeContents& contents);

  std::uint64_t id() const { return id_; }
  std::uint32_t nextPart() const { return nextPart_; }
  /// Table with the parts received so far. Consistent, and at version() and term(), once the transfer is
  /// complete.
  const EntryTable& table() const { return table_; }
  Version version() const { return version_; }
  Term term() const { return term_; }

 private:
  std::uint64_t id_;
  EntryTable table_;
  std::uint32_t nextPart_ = 0;
  Version version_ = 0;
  Term term_ = 0;
  Hash rootHash_ = 0;
};

}  // namespace wingslip::distribution
