/// Format of the handover file, and its periodic writing. See handover.hpp.
#include "gatekeeper/handover.hpp"

#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/durable_file.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxFileBytes = 512;
constexpr auto kWriteInterval = std::chrono::seconds(1);

std::string handoverPath(const std::string& stateDir) { return stateDir + "/burlwind-handover.json"; }

std::optional<double> numberIn(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_number() || !std::isfinite(found->get<double>())) return std::nullopt;
  return found->get<double>();
}

}  // namespace

void writeHandover(const std::string& stateDir, const Handover& handover) {
  if (stateDir.empty()) return;
  const json file{{"at", handover.writtenAt},
                  {"warmRate", handover.warmWorkerRatePerMs},
                  {"clockOffset", handover.clockOffsetMs}};
  // Not synced to disk: the file is written every second and ignored once it is 30 s old.
  replaceFile(handoverPath(stateDir), file.dump(), Durability::pageCache);
}

std::optional<Handover> readHandover(const std::string& stateDir) {
  std::string text;
  if (stateDir.empty() || readFile(handoverPath(stateDir), kMaxFileBytes, text)) return std::nullopt;
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object()) return std::nullopt;
  const auto writtenAt = numberIn(file, "at");
  const auto warmRate = numberIn(file, "warmRate");
  const auto clockOffset = numberIn(file, "clockOffset");
  if (!writtenAt || !warmRate || !clockOffset || *writtenAt < 0 || *warmRate < 0) return std::nullopt;
  return Handover{*writtenAt, *warmRate, *clockOffset};
}

HandoverWriter::HandoverWriter(boost::asio::io_context& io, const std::string& stateDir)
    : stateDir_(stateDir), timer_(io) {}

void HandoverWriter::start(std::function<std::optional<Handover>()> currentHandover) {
  currentHandover_ = std::move(currentHandover);
  scheduleNext();
}

void HandoverWriter::scheduleNext() {
  timer_.expires_after(kWriteInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const std::optional<Handover> handover = currentHandover_();
    if (!handover) return;
    writeHandover(stateDir_, *handover);
    scheduleNext();
  });
}

}  // namespace wingslip
