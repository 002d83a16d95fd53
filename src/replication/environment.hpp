/// What the replica's state machine needs from the process around it.
#pragma once

#include <cstdint>
#include <string>

#include "replication/message.hpp"

namespace wingslip::replication {

/// A request to another member.
struct OutgoingRequest {
  std::uint64_t id = 0;
  std::string recipient;  ///< the member's name
  std::string address;    ///< host:port
  Message message;
  Time timeoutMs = 0;
};

/// Implemented by the driver; called on the thread that calls the replica.
class Environment {
 public:
  virtual ~Environment() = default;
  /// Each request is completed exactly once, later, by `Replica::onResponse`.
  virtual void send(const OutgoingRequest& request) = 0;
  /// A row that another member wrote, or that was restored from disk, is new in this copy.
  virtual void onRowChanged(const Row& row) = 0;
  virtual void log(const std::string& line) = 0;
  /// Unix time. May step: only timestamps of rows are derived from it.
  [[nodiscard]] virtual std::int64_t unixMs() const = 0;
};

}  // namespace wingslip::replication
