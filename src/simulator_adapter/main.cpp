/// wingslip-simulator-adapter: hosts gateways of the decision module for the simulator, over standard input
/// and output. One Gateway per instance; they share nothing but the reply that their actions are written to.
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

/// Feeds the events of frames to the instances that they name.
class Host : private EventSink {
 public:
  /// The reply to one frame.
  const std::string& handleFrame(const FrameHeader& header, std::string_view body) {
    clock_ = header.clock;
    current_ = nullptr;
    instanceNumber_ = 0;
    reply_.begin(header.number);
    readRecords(header, body, *this);
    return reply_.finish();
  }

 private:
  void onInstance(unsigned number) override {
    instanceNumber_ = number;
    const auto found = gateways_.find(number);
    current_ = found == gateways_.end() ? nullptr : &found->second;
    reply_.setInstance(number);
  }
  void onStart(std::uint64_t salt, std::string_view text) override {
    gateways_.erase(instanceNumber_);
    Gateway gateway(settings::parseSettings(text), salt, clock_, reply_);
    current_ = &gateways_.emplace(instanceNumber_, std::move(gateway)).first->second;
  }
  void onEndpoints(decision::EndpointUpdate kind, const std::vector<decision::Endpoint>& list) override {
    current().onEndpoints(clock_, kind, list);
  }
  void onRequest(const decision::Request& request) override { current().onRequest(clock_, request); }
  void onAttemptOutcome(const decision::AttemptOutcome& outcome) override {
    current().onAttemptOutcome(clock_, outcome);
  }
  void onClientDisconnect(decision::RequestId id) override { current().onClientDisconnect(clock_, id); }
  void onTimer(std::uint64_t tag) override { current().onTimer(clock_, tag); }
  void onStop() override {
    gateways_.erase(instanceNumber_);
    current_ = nullptr;
  }

  Gateway& current() {
    if (!current_) throw WireError("an event for an instance that was not started");
    return *current_;
  }

  ReplyWriter reply_;
  std::map<unsigned, Gateway> gateways_;
  Gateway* current_ = nullptr;
  unsigned instanceNumber_ = 0;
  decision::Time clock_ = 0;
};

/// Frames of standard input.
class FrameReader {
 public:
  /// The next frame's header; nothing where the input ends.
  /// @throws WireError where it ends inside a header, or the header is malformed.
  std::optional<FrameHeader> nextHeader() {
    std::array<char, kFrameHeaderBytes> bytes{};
    const std::size_t got = std::fread(bytes.data(), 1, bytes.size(), stdin);
    if (got == 0) return std::nullopt;
    if (got < bytes.size()) throw WireError("the input ends inside a frame's header");
    return readFrameHeader({bytes.data(), bytes.size()});
  }

  /// The `size` bytes that follow; valid until the next call.
  /// @throws WireError where the input ends before.
  std::string_view readBody(std::size_t size) {
    // Grown in steps, so that a damaged length cannot claim a huge block at once.
    constexpr std::size_t kStepBytes = std::size_t{1} << 22;
    body_.clear();
    while (body_.size() < size) {
      const std::size_t offset = body_.size();
      const std::size_t part = std::min(size - offset, kStepBytes);
      body_.resize(offset + part);
      if (std::fread(body_.data() + offset, 1, part, stdin) < part)
        throw WireError("the input ends inside a frame");
    }
    return body_;
  }

 private:
  std::string body_;
};

void writeReply(const std::string& reply) {
  const bool written = std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size();
  if (!written || std::fflush(stdout) != 0) throw WireError("the reply could not be written");
}

/// Answers frames until the input ends.
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
