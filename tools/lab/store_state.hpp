// The state of a stand-in coordination store: the parts of Consul's sessions and key-value store that the
// project uses, written from its public API pages. Pure: times in ms given by the caller.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::lab {

class StoreState {
 public:
  struct Value {
    std::string value, session;
    std::uint64_t createIndex = 0, modifyIndex = 0, lockIndex = 0;
  };

  // A session ends `expireAfter` TTLs after its last renewal (the pages allow 1 to 2).
  explicit StoreState(double expireAfter = 1) : expireAfter_(expireAfter) {}

  // Ends the sessions whose time is over, with the keys that they hold (behaviour `delete`).
  void expire(double now);
  double nextExpiry() const;  // infinity: none

  std::string createSession(double now, const std::string& name, double ttlMs, double lockDelayMs);
  bool renew(double now, const std::string& session);
  void destroy(double now, const std::string& session);
  // Until when the key stays with whoever holds it, unless it is given back; 0: nobody holds it.
  double heldUntil(const std::string& key) const;
  std::vector<std::string> sessionsOf(const std::string& name) const;

  // Nothing: no such session, an error at the store.
  std::optional<bool> acquire(double now, const std::string& key, const std::string& session,
                              const std::string& value);
  std::optional<bool> release(double now, const std::string& key, const std::string& session);
  bool compareAndSet(double now, const std::string& key, std::uint64_t index, const std::string& value);

  // The keys that are `key`, or begin with it.
  std::vector<std::pair<std::string, Value>> read(const std::string& key, bool recurse) const;
  // The index of the last change among them, deletions too; 1 where there was none.
  std::uint64_t changedAt(const std::string& key, bool recurse) const;

  // Called after each change of a key.
  std::function<void(const std::string& key)> onChange;
  // Called after each compare-and-set that took effect.
  std::function<void(const std::string& key, const std::string& value)> onSet;

 private:
  struct Session {
    std::string name;
    double ttlMs = 0, lockDelayMs = 0, renewedAt = 0;
  };
  void touched(const std::string& key);
  void end(double now, const std::string& session);

  double expireAfter_;
  std::map<std::string, Value> values_;
  std::map<std::string, Session> sessions_;
  std::map<std::string, double> shutUntil_;  // lock-delay, by key
  std::map<std::string, std::uint64_t> changed_;
  std::uint64_t index_ = 1;
};

}  // namespace wingslip::lab
