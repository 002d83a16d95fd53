/// The simulator's protocol: binary frames of events in, of actions out, with their length, little-endian.
/// Nothing here decides anything.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wingslip/decision/gateway.hpp"

namespace wingslip::simulator_adapter {

constexpr std::size_t kFrameHeaderBytes = 20;
constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

/// Input that is no frame of the protocol. `what()` is one plain line.
struct WireError : std::runtime_error {
  explicit WireError(const std::string& what) : std::runtime_error("wire: " + what) {}
};

/// The header of a frame of events.
struct FrameHeader {
  std::uint32_t number = 0;
  decision::Time clock = 0;  ///< the same for all events of the frame
  std::uint32_t sizeBytes = 0;
  std::uint32_t records = 0;
};

/// Receives the events of a frame, in order; each is for the instance named last.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void onInstance(unsigned number) = 0;
  virtual void onStart(std::uint64_t salt, std::string_view settings) = 0;
  virtual void onEndpoints(decision::EndpointUpdate kind, const std::vector<decision::Endpoint>& list) = 0;
  virtual void onRequest(const decision::Request& request) = 0;
  virtual void onAttemptOutcome(const decision::AttemptOutcome& outcome) = 0;
  virtual void onClientDisconnect(decision::RequestId id) = 0;
  virtual void onTimer(std::uint64_t tag) = 0;
  virtual void onStop() = 0;
};

/// @throws WireError on malformed input.
FrameHeader readFrameHeader(std::string_view bytes);
/// @param body the frame without its header.
/// @throws WireError on malformed input; events before the fault have been delivered.
void readRecords(const FrameHeader& header, std::string_view body, EventSink& sink);

/// Collects one frame of actions, each for the instance named last.
class ReplyWriter : public decision::Actions {
 public:
  /// Starts the reply to the frame of this number.
  void begin(std::uint32_t frameNumber);
  void setInstance(unsigned instance) { instance_ = instance; }
  /// The whole frame; valid until the next `begin`.
  const std::string& finish();

  void startAttempt(decision::RequestId id, decision::WorkerId worker, decision::Time timeoutMs) override;
  void reject(decision::RequestId id, decision::Time retryAfterMs) override;
  void fail(decision::RequestId id) override;
  void setTimer(decision::Time waitMs, std::uint64_t tag) override;
  void pollEndpoints() override;
  void log(const std::string& line) override;

 private:
  template <class T>
  void put(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes_.append(raw, sizeof(T));
  }
  void beginRecord(std::uint8_t code);
  void putWorker(decision::WorkerId worker);

  static constexpr long kNoInstance = -1;

  std::string bytes_;
  std::uint32_t records_ = 0;
  long instance_ = kNoInstance;
  long writtenInstance_ = kNoInstance;  ///< the one that the last record is for
};

}  // namespace wingslip::simulator_adapter
