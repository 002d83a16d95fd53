/// The simulator's wire protocol: little-endian binary frames. Input frames contain events, output frames
/// contain actions; the header contains the length. This layer only decodes and encodes; it makes no
/// decisions.
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
/// Maximum size of a frame, including its header.
constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

/// Malformed input, or a failure to exchange frames. `what()` is a single line of text.
struct WireError : std::runtime_error {
  explicit WireError(const std::string& what) : std::runtime_error("wire: " + what) {}
};

/// Header of a frame of events.
struct FrameHeader {
  std::uint32_t number = 0;     ///< number of the frame, repeated in its reply
  decision::Time clock = 0;     ///< time of all events of the frame, ms
  std::uint32_t sizeBytes = 0;  ///< size of the frame, including this header
  std::uint32_t records = 0;    ///< number of records in the body
};

/// Receives the events of a frame, in order. Each event is for the instance of the last `onInstance`.
class EventSink {
 public:
  virtual ~EventSink() = default;
  /// Selects the instance that the following events are for.
  virtual void onInstance(unsigned number) = 0;
  /// Starts the instance, or restarts it, with these settings as `key=value` lines.
  virtual void onStart(std::uint64_t randomSeed, std::string_view settings) = 0;
  virtual void onEndpoints(decision::EndpointUpdate kind, const std::vector<decision::Endpoint>& list) = 0;
  virtual void onRequest(const decision::Request& request) = 0;
  virtual void onAttemptOutcome(const decision::AttemptOutcome& outcome) = 0;
  virtual void onClientDisconnect(decision::RequestId id) = 0;
  virtual void onTimer(std::uint64_t tag) = 0;
  /// Ends the instance.
  virtual void onStop() = 0;
};

/// Reads a header from its kFrameHeaderBytes bytes.
/// @throws WireError on malformed input.
FrameHeader readFrameHeader(std::string_view bytes);
/// Decodes the records of a frame and passes their events to `sink`.
/// @param body the frame without its header.
/// @throws WireError on malformed input, after delivering the events that precede the malformed record.
void readRecords(const FrameHeader& header, std::string_view body, EventSink& sink);

/// Encodes a reply frame of actions. Each action is for the instance of the last `setInstance`.
class ReplyWriter : public decision::Actions {
 public:
  /// Starts the reply to the frame with this number.
  void begin(std::uint32_t frameNumber);
  /// Sets the instance that the following actions are for.
  void setInstance(unsigned instance) { instance_ = instance; }
  /// Completes the frame and returns it; the result is valid until the next `begin`.
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
  long writtenInstance_ = kNoInstance;  ///< instance of the last record written
};

}  // namespace wingslip::simulator_adapter
