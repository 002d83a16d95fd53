/// State of a stand-in coordination store: the parts of Consul's sessions and key-value store that the
/// project uses, according to Consul's public API pages. No I/O and no clock: the caller passes all times, in
/// ms.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wingslip::lab {

/// Sessions, locked keys and change indexes. Not thread-safe.
class StoreState {
 public:
  /// A key's value, the session that locks it (empty: none), and its indexes.
  struct Value {
    std::string value, session;
    std::uint64_t createIndex = 0, modifyIndex = 0, lockIndex = 0;
  };

  /// A session expires `expireAfter` TTLs after its last renewal. The API pages allow 1 to 2.
  explicit StoreState(double expireAfter = 1) : expireAfter_(expireAfter) {}

  /// Ends the expired sessions and deletes the keys that they lock (session behaviour `delete`).
  void expire(double now);
  /// Time of the next session's expiry; infinity if there is no session.
  double nextExpiry() const;

  /// Returns the new session's id.
  std::string createSession(double now, const std::string& name, double ttlMs, double lockDelayMs);
  /// Returns false if the session does not exist.
  bool renew(double now, const std::string& session);
  /// Ends the session and deletes the keys that it locks. No effect if the session does not exist.
  void destroy(double now, const std::string& session);
  /// Time until which the session that locks the key is valid without a renewal; 0 if the key is not locked.
  double heldUntil(const std::string& key) const;
  /// Ids of the sessions with that name.
  std::vector<std::string> sessionsOf(const std::string& name) const;

  /// `acquire` and `release` return whether the lock was taken or released, or nothing if the session does
  /// not exist, which the store answers with an error.
  std::optional<bool> acquire(double now, const std::string& key, const std::string& session,
                              const std::string& value);
  std::optional<bool> release(double now, const std::string& key, const std::string& session);
  /// Sets the value if the key's modify index is `index`; 0: if the key does not exist. Returns whether the
  /// value was set.
  bool compareAndSet(double now, const std::string& key, std::uint64_t index, const std::string& value);

  /// The entry `key`, or with `recurse` all entries whose key has the prefix `key`.
  std::vector<std::pair<std::string, Value>> read(const std::string& key, bool recurse) const;
  /// Index of the last change to the entries that `read` selects, deletions included; 1 if there was none.
  std::uint64_t changedAt(const std::string& key, bool recurse) const;

  /// Called after each change of a key, deletions included.
  std::function<void(const std::string& key)> onChange;
  /// Called after each compare-and-set that took effect.
  std::function<void(const std::string& key, const std::string& value)> onSet;

 private:
  struct Session {
    std::string name;
    double ttlMs = 0, lockDelayMs = 0, renewedAt = 0;
  };
  void recordChange(const std::string& key);
  void end(double now, const std::string& session);

  double expireAfter_;
  std::map<std::string, Value> values_;
  std::map<std::string, Session> sessions_;
  std::map<std::string, double> lockDelayUntil_;  // by key: end of the time in which it cannot be locked
  std::map<std::string, std::uint64_t> changed_;  // by key: index of its last change
  std::uint64_t index_ = 1;
};

}  // namespace wingslip::lab
