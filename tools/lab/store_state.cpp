/// Sessions, locks and indexes of the stand-in store.
#include "store_state.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>

namespace wingslip::lab {
namespace {
bool matches(const std::string& key, const std::string& queried, bool recurse) {
  return recurse ? key.rfind(queried, 0) == 0 : key == queried;
}
}  // namespace

void StoreState::recordChange(const std::string& key) {
  changed_[key] = index_;
  if (onChange) onChange(key);
}

void StoreState::end(double now, const std::string& session) {
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return;
  const double lockDelayEnd = now + found->second.lockDelayMs;
  sessions_.erase(found);
  ++index_;
  for (auto at = values_.begin(); at != values_.end();) {
    if (at->second.session != session) {
      ++at;
      continue;
    }
    const std::string key = at->first;
    lockDelayUntil_[key] = lockDelayEnd;
    at = values_.erase(at);
    recordChange(key);
  }
}

void StoreState::expire(double now) {
  std::vector<std::string> expired;
  for (const auto& [id, s] : sessions_)
    if (now >= s.renewedAt + s.ttlMs * expireAfter_) expired.push_back(id);
  for (const std::string& id : expired) end(now, id);
}

double StoreState::nextExpiry() const {
  double at = std::numeric_limits<double>::infinity();
  for (const auto& [id, s] : sessions_) at = std::min(at, s.renewedAt + s.ttlMs * expireAfter_);
  return at;
}

std::string StoreState::createSession(double now, const std::string& name, double ttlMs, double lockDelayMs) {
  // Unique over all stores of the process, so that a wiped or restored store does not reuse an id. Consul's
  // ids are random.
  static std::uint64_t lastId = 0;
  char id[32];
  std::snprintf(id, sizeof id, "session-%016llx", static_cast<unsigned long long>(++lastId));
  sessions_[id] = {name, ttlMs, lockDelayMs, now};
  ++index_;
  return id;
}

bool StoreState::renew(double now, const std::string& session) {
  expire(now);
  const auto found = sessions_.find(session);
  if (found == sessions_.end()) return false;
  found->second.renewedAt = now;
  return true;
}

void StoreState::destroy(double now, const std::string& session) { end(now, session); }

double StoreState::heldUntil(const std::string& key) const {
  const auto value = values_.find(key);
  const auto session = value == values_.end() ? sessions_.end() : sessions_.find(value->second.session);
  return session == sessions_.end() ? 0 : session->second.renewedAt + session->second.ttlMs * expireAfter_;
}

std::vector<std::string> StoreState::sessionsOf(const std::string& name) const {
  std::vector<std::string> out;
  for (const auto& [id, s] : sessions_)
    if (s.name == name) out.push_back(id);
  return out;
}

std::optional<bool> StoreState::acquire(double now, const std::string& key, const std::string& session,
                                        const std::string& value) {
  expire(now);
  if (!sessions_.contains(session)) return std::nullopt;
  if (const auto lockDelay = lockDelayUntil_.find(key); lockDelay != lockDelayUntil_.end()) {
    if (now < lockDelay->second) return false;
    lockDelayUntil_.erase(lockDelay);
  }
  Value& v = values_[key];
  if (!v.session.empty() && v.session != session) return false;
  ++index_;
  if (v.createIndex == 0) v.createIndex = index_;
  if (v.session != session) ++v.lockIndex;
  v.session = session, v.value = value, v.modifyIndex = index_;
  recordChange(key);
  return true;
}

std::optional<bool> StoreState::release(double now, const std::string& key, const std::string& session) {
  expire(now);
  if (!sessions_.contains(session)) return std::nullopt;
  const auto found = values_.find(key);
  if (found == values_.end() || found->second.session != session) return false;
  found->second.session.clear();
  found->second.modifyIndex = ++index_;
  recordChange(key);
  return true;
}

bool StoreState::compareAndSet(double now, const std::string& key, std::uint64_t index,
                               const std::string& value) {
  expire(now);
  const auto found = values_.find(key);
  if ((found == values_.end() ? 0 : found->second.modifyIndex) != index) return false;
  Value& v = values_[key];
  v.value = value, v.modifyIndex = ++index_;
  if (v.createIndex == 0) v.createIndex = index_;
  recordChange(key);
  if (onSet) onSet(key, value);
  return true;
}

std::vector<std::pair<std::string, StoreState::Value>> StoreState::read(const std::string& key,
                                                                        bool recurse) const {
  std::vector<std::pair<std::string, Value>> out;
  for (auto at = values_.lower_bound(key); at != values_.end() && matches(at->first, key, recurse); ++at)
    out.emplace_back(*at);
  return out;
}

std::uint64_t StoreState::changedAt(const std::string& key, bool recurse) const {
  std::uint64_t at = 1;
  for (auto entry = changed_.lower_bound(key); entry != changed_.end() && matches(entry->first, key, recurse);
       ++entry)
    at = std::max(at, entry->second);
  return at;
}

}  // namespace wingslip::lab
