/// The transfer of those ranges in which two tables differ: a cold start is the transfer of all of them.
#pragma once

#include <optional>

#include "distribution/message.hpp"

namespace wingslip::distribution {

/// The sender's side: the parts of one transfer. The table is as it was at the request, so that the transfer
/// is of one version while the replica's own table goes on; it shares the ranges that did not change since.
class TransferSender {
 public:
  /// `term`: of the record at `version`.
  TransferSender(const RangeRequest& request, const EntryTable& table, Version version, Term term);

  std::uint64_t id() const { return id_; }
  Version version() const { return version_; }
  Term term() const { return term_; }
  std::uint32_t partCount() const { return static_cast<std::uint32_t>(parts_.size()); }
  RangeContents part(std::uint32_t index) const;

 private:
  std::uint64_t id_;
  EntryTable table_;
  Version version_;
  Term term_;
  std::vector<std::vector<std::uint32_t>> parts_;  // indices of ranges
};

/// About the bytes of a part in a message.
std::size_t approximateBytes(const RangeContents& contents);

enum class TransferStep { ignored, progress, complete, damaged };

/// The receiver's side: gathers the parts aside and hands out the table only when it is whole and has the
/// hash that the sender said.
class TransferReceiver {
 public:
  TransferReceiver(std::uint64_t id, EntryTable own) : id_(id), table_(std::move(own)) {}

  TransferStep take(const RangeContents& contents);

  std::uint64_t id() const { return id_; }
  std::uint32_t nextPart() const { return nextPart_; }
  /// The table so far; whole, with version and term, once the transfer is complete.
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
