#include "gatekeeper/exclusions.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/durable_file.hpp"
#include "net/rate_limited_log.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMostBytes = std::size_t{1} << 20;
constexpr auto kLogEvery = std::chrono::seconds(5);

RateLimitedLog& problems() {
  static RateLimitedLog log("exclusions", kLogEvery);
  return log;
}

std::optional<std::set<std::string>> parse(const std::string& text) {
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object() || !file.contains("excluded") || !file["excluded"].is_array()) return std::nullopt;
  std::set<std::string> out;
  for (const json& id : file["excluded"]) {
    if (!id.is_string()) return std::nullopt;
    if (out.size() < Exclusions::kMost) out.insert(id.get<std::string>());
  }
  return out;
}

std::string textOf(const std::set<std::string>& ids) {
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

Exclusions::Exclusions(const std::string& folder)
    : path_(folder.empty() ? "" : folder + "/burlwind-excluded.json") {
  if (path_.empty()) return;
  known_ = !read();
  merge();
}

std::error_code Exclusions::set(const std::string& id, bool excluded) {
  note(id, excluded);
  return save();
}

void Exclusions::note(const std::string& id, bool excluded) {
  unkept_[id] = excluded;
  merge();
}

bool Exclusions::retry() {
  if (path_.empty()) return false;
  const std::set<std::string> before = ids_;
  if (!unkept_.empty()) {
    if (const std::error_code error = save()) problems().say("not kept yet, tried again: " + error.message());
  } else if (const std::error_code error = read()) {
    problems().say("cannot be read: " + error.message());
  } else {
    known_ = true;
  }
  merge();
  return ids_ != before;
}

// Under a lock, since the other process of an upgrade may be changing the file as well.
std::error_code Exclusions::save() {
  if (path_.empty()) {
    kept_ = ids_;
    unkept_.clear();
    return {};
  }
  const FileLock lock(path_ + ".lock");
  if (lock.error()) return lock.error();
  if (const std::error_code error = read()) return error;
  known_ = true;
  std::set<std::string> wanted = kept_;
  applyChanges(unkept_, wanted);
  if (wanted != kept_ || unsynced_) {
    std::string text = textOf(wanted);
    unsynced_ = true;
    if (const std::error_code error = replaceFile(path_, text, Durability::onDisk)) return error;
    unsynced_ = false;
    kept_ = std::move(wanted);
    seen_ = std::move(text);
  }
  unkept_.clear();
  merge();
  return {};
}

// No file is an empty one. A file that is damaged changes nothing.
std::error_code Exclusions::read() {
  std::string text;
  const std::error_code error = readFile(path_, kMostBytes, text);
  if (error == std::errc::no_such_file_or_directory) return {};
  if (error && error != std::errc::file_too_large) return error;
  if (!error && text == seen_) return {};
  auto ids = error ? std::nullopt : parse(text);
  seen_ = std::move(text);
  if (ids)
    kept_ = std::move(*ids);
  else
    problems().say("damaged, not taken over: " + path_);
  return {};
}

void Exclusions::merge() {
  ids_ = kept_;
  applyChanges(unkept_, ids_);
}

}  // namespace wingslip
