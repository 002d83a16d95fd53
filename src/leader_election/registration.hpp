/// The text of registrations and leader records: JSON at the coordination store, read by other versions too.
/// Reading registrations throws std::runtime_error with one line on anything else.
#pragma once

#include <string>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// The record of a task, which only its leader writes.
struct LeaderRecord {
  bool exists = false;
  bool readable = false;
  FencingToken token = 0;
  std::uint64_t modifyIndex = 0;  ///< at the store, for compare-and-set
  std::string leaderInstance;
  std::string data;
};

[[nodiscard]] std::string registrationText(const Registration& registration);
[[nodiscard]] Registration parseRegistration(const std::string& text);

[[nodiscard]] std::string leaderRecordText(FencingToken token, const std::string& leaderInstance,
                                           const std::string& data);
/// A text that is none gives a record that exists and is not readable.
[[nodiscard]] LeaderRecord parseLeaderRecord(const StoreEntry& entry);

/// Keys under the prefix. A registration goes with the session of its process.
[[nodiscard]] std::string registrationsKey(const ProcessIdentity& self);
[[nodiscard]] std::string registrationKey(const ProcessIdentity& self);
[[nodiscard]] std::string taskKey(const ProcessIdentity& self, const std::string& task, const char* part);

}  // namespace wingslip::leader_election
