/// wingslip-simulator-adapter: hosts gateways of the decision module for the simulator, over standard input
/// and output. There is one Gateway per instance; the instances share only the reply to which their actions
/// are written.
#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "settings/settings_reader.hpp"
#include "simulator_adapter/wire.hpp"

namespace wingslip::simulator_adapter {
namespace {

using decision::Gateway;

/// Dispatches the events of frames to the gateway instances that they name.
class Host : private EventSink {
 public:
  /// Processes one frame and returns the reply to it, which is valid until the next call.
  /// @throws WireError on a malformed frame or an event, other than a stop, for an instance that has not
  /// been started.
  /// @throws settings::SettingsError, std::invalid_argument on invalid settings of an instance.
  const std::string& handleFrame(const FrameHeader& header, std::string_view body) {
    clock_ = header.clock;
    currentGateway_ = nullptr;
    instanceNumber_ = 0;
    reply_.begin(header.number);
    readRecords(header, body, *this);
    return reply_.finish();
  }

 private:
  void onInstance(unsigned number) override {
    instanceNumber_ = number;
    const auto found = gateways_.find(number);
    currentGateway_ = found == gateways_.end() ? nullptr : &found->second;
    reply_.setInstance(number);
  }
  void onStart(std::uint64_t randomSeed, std::string_view text) override {
    gateways_.erase(instanceNumber_);
    Gateway gateway(settings::parseSettings(text), randomSeed, clock_, reply_);
    currentGateway_ = &gateways_.emplace(instanceNumber_, std::move(gateway)).first->second;
  }
  void onEndpoints(decision::EndpointUpdate kind, const std::vector<decision::Endpoint>& list) override {
    currentGateway().onEndpoints(clock_, kind, list);
  }
  void onRequest(const decision::Request& request) override { currentGateway().onRequest(clock_, request); }
  void onAttemptOutcome(const decision::AttemptOutcome& outcome) override {
    currentGateway().onAttemptOutcome(clock_, outcome);
  }
  void onClientDisconnect(decision::RequestId id) override {
    currentGateway().onClientDisconnect(clock_, id);
  }
  void onTimer(std::uint64_t tag) override { currentGateway().onTimer(clock_, tag); }
  void onStop() override {
    gateways_.erase(instanceNumber_);
    currentGateway_ = nullptr;
  }

  Gateway& currentGateway() {
    if (!currentGateway_) throw WireError("event for an instance that has not been started");
    return *currentGateway_;
  }

  ReplyWriter reply_;
  std::map<unsigned, Gateway> gateways_;
  Gateway* currentGateway_ = nullptr;
  unsigned instanceNumber_ = 0;
  decision::Time clock_ = 0;
};

/// Reads frames from standard input.
class FrameReader {
 public:
  /// Reads the header of the next frame; no value at the end of the input or on a read error.
  /// @throws WireError where the header is truncated or malformed.
  std::optional<FrameHeader> nextHeader() {
    std::array<char, kFrameHeaderBytes> bytes{};
    const std::size_t bytesRead = std::fread(bytes.data(), 1, bytes.size(), stdin);
    if (bytesRead == 0) return std::nullopt;
    if (bytesRead < bytes.size()) throw WireError("input truncated within a frame header");
    return readFrameHeader({bytes.data(), bytes.size()});
  }

  /// Reads the next `size` bytes. The result is valid until the next call.
  /// @throws WireError where the input ends earlier.
  std::string_view readBody(std::size_t size) {
    // The buffer grows in chunks, so that a corrupt length cannot cause a single huge allocation.
    constexpr std::size_t kChunkBytes = std::size_t{1} << 22;
    body_.clear();
    while (body_.size() < size) {
      const std::size_t offset = body_.size();
      const std::size_t chunk = std::min(size - offset, kChunkBytes);
      body_.resize(offset + chunk);
      if (std::fread(body_.data() + offset, 1, chunk, stdin) < chunk)
        throw WireError("input truncated within a frame body");
    }
    return body_;
  }

 private:
  std::string body_;
};

void writeReply(const std::string& reply) {
  const bool written = std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size();
  if (!written || std::fflush(stdout) != 0) throw WireError("failed to write the reply");
}

/// Replies to each frame until the end of the input.
void serve() {
  Host host;
  FrameReader frames;
  while (const auto header = frames.nextHeader()) {
    const std::string_view body = frames.readBody(header->sizeBytes - kFrameHeaderBytes);
    writeReply(host.handleFrame(*header, body));
  }
}

}  // namespace
}  // namespace wingslip::simulator_adapter

int main() {
  try {
    wingslip::simulator_adapter::serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "wingslip-simulator-adapter: %s\n", error.what());
    return 1;
  }
}
