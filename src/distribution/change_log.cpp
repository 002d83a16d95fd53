#include "distribution/change_log.hpp"

namespace wingslip::distribution {

void ChangeLog::reset(Version base, Term baseTerm) {
  base_ = base;
  baseTerm_ = baseTerm;
  records_.clear();
  requests_.clear();
}

std::optional<Term> ChangeLog::termAt(Version version) const {
  if (version == base_) return baseTerm_;
  if (version < base_ || version > lastVersion()) return std::nullopt;
  return at(version)->term;
}

std::vector<RecordPointer> ChangeLog::after(Version version, Version last, std::size_t maxBytes) const {
  std::vector<RecordPointer> records;
  std::size_t bytes = 0;
  for (Version next = version + 1; next <= last; ++next) {
    const RecordPointer& record = at(next);
    bytes += approximateBytes(*record);
    if (!records.empty() && bytes > maxBytes) break;
    records.push_back(record);
  }
  return records;
}

std::optional<Version> ChangeLog::findRequest(const std::string& requestId) const {
  const auto found = requests_.find(requestId);
  if (found == requests_.end()) return std::nullopt;
  return found->second;
}

bool ChangeLog::append(RecordPointer record) {
  if (record->version != lastVersion() + 1 || record->term < lastTerm()) return false;
  if (!record->requestId.empty()) requests_[record->requestId] = record->version;
  records_.push_back(std::move(record));
  return true;
}

void ChangeLog::truncateAfter(Version version) {
  while (lastVersion() > version && !records_.empty()) {
    eraseRequest(*records_.back());
    records_.pop_back();
  }
}

void ChangeLog::compact(Version upTo, std::size_t maxRecords) {
  while (records_.size() > maxRecords && base_ < upTo) {
    eraseRequest(*records_.front());
    baseTerm_ = records_.front()->term;
    records_.pop_front();
    ++base_;
  }
}

void ChangeLog::eraseRequest(const ChangeRecord& record) {
  const auto found = requests_.find(record.requestId);
  if (found != requests_.end() && found->second == record.version) requests_.erase(found);
}

}  // namespace wingslip::distribution
