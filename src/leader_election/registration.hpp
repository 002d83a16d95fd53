/// Encoding and parsing of registrations and leader records, which are stored as JSON at the coordination
/// store and read by other versions of the program too. Also builds the keys of the store.
#pragma once

#include <string>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// The record of a task, which only the task's leader writes.
struct LeaderRecord {
  bool exists = false;    ///< the store has the key
  bool readable = false;  ///< the value could be parsed
  FencingToken token = 0;
  std::uint64_t modifyIndex = 0;  ///< index of the key at the store, for compare-and-set
  std::string leaderInstance;
  std::string data;
};

/// Returns the registration as JSON.
[[nodiscard]] std::string registrationText(const Registration& registration);
/// Parses a registration. Throws std::runtime_error with a one-line message if the text is not valid JSON,
/// the name, the instance or the draining flag is missing, a field has a wrong type, the name is empty, or
/// the name, the instance or the build exceeds 128 bytes.
[[nodiscard]] Registration parseRegistration(const std::string& text);

/// Returns a leader record as JSON.
[[nodiscard]] std::string leaderRecordText(FencingToken token, const std::string& leaderInstance,
                                           const std::string& data);
/// Parses a leader record. An invalid text yields a record with `exists` true and `readable` false.
[[nodiscard]] LeaderRecord parseLeaderRecord(const StoreEntry& entry);

/// Returns the prefix of the keys of all registrations. The store deletes a registration when the session of
/// its process ends.
[[nodiscard]] std::string registrationsKey(const ProcessIdentity& self);
/// Returns the key of this process's registration.
[[nodiscard]] std::string registrationKey(const ProcessIdentity& self);
/// Returns the key of a part of a task: `lock` or `record`; for an empty part, the prefix of both.
[[nodiscard]] std::string taskKey(const ProcessIdentity& self, const std::string& task, const char* part);

}  // namespace wingslip::leader_election
