#include "distribution/transfer.hpp"

namespace wingslip::distribution {
namespace {

// Target size of a part. A range is never split, so a part with a single larger range exceeds it.
constexpr std::size_t kPartBytes = 8 * 1024;
constexpr std::size_t kPartOverheadBytes = 64;
constexpr std::size_t kRangeOverheadBytes = 8;

std::size_t bytesOf(const RangePointer& range) {
  std::size_t bytes = kRangeOverheadBytes;
  if (!range) return bytes;
  for (const EntryPointer& entry : range->entries) bytes += approximateBytes(*entry);
  return bytes;
}

}  // namespace

TransferSender::TransferSender(const RangeRequest& request, const EntryTable& table, Version version,
                               Term term)
    : id_(request.transfer), table_(table), version_(version), term_(term), parts_(1) {
  std::size_t bytes = 0;
  for (std::uint32_t i = 0; i < EntryTable::kRanges; ++i) {
    const Hash requesterHash = request.hashes.empty() ? 0 : request.hashes[i];
    if (requesterHash == table_.rangeHash(i)) continue;
    const std::size_t rangeBytes = bytesOf(table_.range(i));
    if (bytes > 0 && bytes + rangeBytes > kPartBytes) {
      parts_.emplace_back();
      bytes = 0;
    }
    parts_.back().push_back(i);
    bytes += rangeBytes;
  }
}

RangeContents TransferSender::part(std::uint32_t index) const {
  RangeContents contents{id_, index, index + 1 == partCount(), version_, term_, table_.rootHash(), {}};
  for (const std::uint32_t i : parts_[index]) contents.ranges.push_back({i, table_.range(i)});
  return contents;
}

std::size_t approximateBytes(const RangeContents& contents) {
  std::size_t bytes = kPartOverheadBytes;
  for (const RangeContent& content : contents.ranges) bytes += bytesOf(content.range);
  return bytes;
}

TransferStep TransferReceiver::receivePart(const RangeContents& contents) {
  if (contents.transfer != id_ || contents.part != nextPart_) return TransferStep::ignored;
  if (nextPart_ == 0) {
    version_ = contents.version;
    term_ = contents.term;
    rootHash_ = contents.rootHash;
  }
  if (contents.version != version_ || contents.term != term_ || contents.rootHash != rootHash_)
    return TransferStep::damaged;
  for (const RangeContent& content : contents.ranges) table_.replaceRange(content.index, content.range);
  ++nextPart_;
  if (!contents.last) return TransferStep::progress;
  return table_.rootHash() == rootHash_ ? TransferStep::complete : TransferStep::damaged;
}

}  // namespace wingslip::distribution
