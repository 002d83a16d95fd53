/// Format, reading and writing of the exclusion file. See exclusions.hpp.
#include "gatekeeper/exclusions.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/durable_file.hpp"
#include "net/rate_limited_log.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20;
constexpr auto kLogInterval = std::chrono::seconds(5);

RateLimitedLog& errorLog() {
  static RateLimitedLog log("exclusions", kLogInterval);
  return log;
}

// Returns the excluded ids in the text of the file, at most `kMaxExcluded`; `nullopt` if it is malformed.
std::optional<std::set<std::string>> parseIds(const std::string& text) {
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object() || !file.contains("excluded") || !file["excluded"].is_array()) return std::nullopt;
  std::set<std::string> ids;
  for (const json& id : file["excluded"]) {
    if (!id.is_string()) return std::nullopt;
    if (ids.size() < Exclusions::kMaxExcluded) ids.insert(id.get<std::string>());
  }
  return ids;
}

std::string serializeIds(const std::set<std::string>& ids) {
  return json{{"excluded", ids}}.dump(-1, ' ', true, json::error_handler_t::replace);
}

void applyChanges(const std::map<std::string, bool>& changes, std::set<std::string>& ids) {
  for (const auto& [id, excluded] : changes) {
    if (excluded)
      ids.insert(id);
    else
      ids.erase(id);
  }
}

}  // namespace

Exclusions::Exclusions(const std::string& directory)
    : path_(directory.empty() ? "" : directory + "/burlwind-excluded.json") {
  if (path_.empty()) return;
  loaded_ = !readFileIfChanged();
  updateIds();
}

std::error_code Exclusions::set(const std::string& id, bool excluded) {
  setWithoutWriting(id, excluded);
  return writeFileLocked();
}

void Exclusions::setWithoutWriting(const std::string& id, bool excluded) {
  pendingChanges_[id] = excluded;
  updateIds();
}

bool Exclusions::sync() {
  if (path_.empty()) return false;
  const std::set<std::string> idsBefore = ids_;
  if (!pendingChanges_.empty()) {
    if (const std::error_code error = writeFileLocked())
      errorLog().warn("cannot persist the exclusions; the write is retried: " + error.message());
  } else if (const std::error_code error = readFileIfChanged()) {
    errorLog().warn("cannot read the exclusion file; the read is retried: " + error.message());
  } else {
    loaded_ = true;
  }
  updateIds();
  return ids_ != idsBefore;
}

// Writes under a lock, because the other process of an upgrade may change the file at the same time.
std::error_code Exclusions::writeFileLocked() {
  if (path_.empty()) {
    persistedIds_ = ids_;
    pendingChanges_.clear();
    return {};
  }
  const FileLock lock(path_ + ".lock");
  if (lock.error()) return lock.error();
  if (const std::error_code error = readFileIfChanged()) return error;
  loaded_ = true;
  if (const std::error_code error = writeIfChanged()) return error;
  pendingChanges_.clear();
  updateIds();
  return {};
}

std::error_code Exclusions::writeIfChanged() {
  std::set<std::string> wantedIds = persistedIds_;
  applyChanges(pendingChanges_, wantedIds);
  if (wantedIds == persistedIds_ && !mayBeUnsynced_) return {};
  std::string text = serializeIds(wantedIds);
  mayBeUnsynced_ = true;
  if (const std::error_code error = replaceFile(path_, text, Durability::onDisk)) return error;
  mayBeUnsynced_ = false;
  persistedIds_ = std::move(wantedIds);
  fileText_ = std::move(text);
  return {};
}

// A missing, malformed or too large file is not an error and does not change the exclusions.
std::error_code Exclusions::readFileIfChanged() {
  std::string text;
  const std::error_code error = readFile(path_, kMaxFileBytes, text);
  if (error == std::errc::no_such_file_or_directory) return {};
  const bool tooLarge = error == std::errc::file_too_large;
  if (error && !tooLarge) return error;
  if (!tooLarge && text == fileText_) return {};
  auto ids = tooLarge ? std::nullopt : parseIds(text);
  fileText_ = std::move(text);
  if (ids)
    persistedIds_ = std::move(*ids);
  else
    errorLog().warn("exclusion file malformed or too large, its contents are ignored: " + path_);
  return {};
}

void Exclusions::updateIds() {
  ids_ = persistedIds_;
  applyChanges(pendingChanges_, ids_);
}

}  // namespace wingslip
