#include "replication/snapshot_file.hpp"

#include <fstream>
#include <iterator>

#include "net/durable_file.hpp"

namespace wingslip::replication {
namespace {

constexpr const char* kFileName = "/burlwind-replica.cbor";

}  // namespace

SnapshotFile::SnapshotFile(const std::string& directory)
    : path_(directory.empty() ? "" : directory + kFileName) {}

SnapshotFile::~SnapshotFile() {
  if (writer_.joinable()) writer_.join();
}

std::optional<Snapshot> SnapshotFile::read() const {
  if (!isEnabled()) return std::nullopt;
  std::ifstream in(path_, std::ios::binary);
  if (!in) return std::nullopt;
  return decodeSnapshot(std::string(std::istreambuf_iterator<char>(in), {}));
}

bool SnapshotFile::isWriteDue(std::uint64_t contentHash) const {
  return !writing_.load() && (contentHash != lastWriteHash_ || lastWriteFailed_.load());
}

void SnapshotFile::write(const Snapshot& snapshot, std::uint64_t contentHash) {
  lastWriteHash_ = contentHash;
  if (writer_.joinable()) writer_.join();  // does not block: the previous write has ended
  writing_.store(true);
  writer_ = std::thread([this, bytes = encodeSnapshot(snapshot)] {
    lastWriteFailed_.store(static_cast<bool>(replaceFile(path_, bytes, Durability::onDisk)));
    writing_.store(false);
  });
}

}  // namespace wingslip::replication
