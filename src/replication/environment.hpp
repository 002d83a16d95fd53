/// The interface through which the replica's state machine sends requests, reports changes and reads the
/// time.
#pragma once

#include <cstdint>
#include <string>

#include "replication/message.hpp"

namespace wingslip::replication {

/// A request to another member; passed to `Environment::send`.
struct OutgoingRequest {
  std::uint64_t id = 0;   ///< unique per replica; passed back to `Replica::onResponse`
  std::string recipient;  ///< member name
  std::string address;    ///< host:port
  Message message;
  Time timeoutMs = 0;
};

/// Implemented by the replica's driver. All calls are made on the thread that calls the replica.
class Environment {
 public:
  virtual ~Environment() = default;
  /// Sends `request` asynchronously. The driver completes each request exactly once, by a later call of
  /// `Replica::onResponse`.
  virtual void send(const OutgoingRequest& request) = 0;
  /// Called when this copy receives a new row, written by another member or restored from disk.
  virtual void onRowChanged(const Row& row) = 0;
  /// Writes one line to the program's log.
  virtual void log(const std::string& line) = 0;
  /// Unix time in milliseconds. May step in either direction: only row timestamps are derived from it.
  [[nodiscard]] virtual std::int64_t unixMs() const = 0;
};

}  // namespace wingslip::replication
