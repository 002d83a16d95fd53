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

std::string pathIn(const std::string& folder) { return folder + "/burlwind-handover.json"; }

std::optional<double> numberIn(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_number() || !std::isfinite(found->get<double>())) return std::nullopt;
  return found->get<double>();
}

}  // namespace

void writeHandover(const std::string& folder, const Handover& handover) {
  if (folder.empty()) return;
  const json file{
      {"at", handover.at}, {"warmRate", handover.warmRate}, {"clockOffset", handover.clockOffset}};
  // Written every second and valid for some seconds: not synced to disk.
  replaceFile(pathIn(folder), file.dump(), Durability::inKernel);
}

std::optional<Handover> readHandover(const std::string& folder) {
  std::string text;
  if (folder.empty() || readFile(pathIn(folder), kMaxFileBytes, text)) return std::nullopt;
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object()) return std::nullopt;
  const auto at = numberIn(file, "at");
  const auto warmRate = numberIn(file, "warmRate");
  const auto clockOffset = numberIn(file, "clockOffset");
  if (!at || !warmRate || !clockOffset || *at < 0 || *warmRate < 0) return std::nullopt;
  return Handover{*at, *warmRate, *clockOffset};
}

HandoverWriter::HandoverWriter(boost::asio::io_context& io, const std::string& folder)
    : folder_(folder), timer_(io) {}

void HandoverWriter::start(std::function<std::optional<Handover>()> current) {
  current_ = std::move(current);
  scheduleNext();
}

void HandoverWriter::scheduleNext() {
  timer_.expires_after(kWriteInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const std::optional<Handover> handover = current_();
    if (!handover) return;
    writeHandover(folder_, *handover);
    scheduleNext();
  });
}

}  // namespace wingslip
