#include "replication/replica_report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include "net/operator_response.hpp"

namespace wingslip::replication {
namespace {

constexpr const char* kCounter = "c";
constexpr const char* kGauge = "g";

class TelemetryLines {
 public:
  void add(const std::string& name, std::uint64_t value, const char* kind) {
    text_ += "svc.replica." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

void addGauges(const ReportInput& input, TelemetryLines& lines) {
  const Replica& replica = input.replica;
  std::array<std::uint64_t, 4> membersByState{};
  for (const auto& [name, member] : replica.members())
    ++membersByState[static_cast<std::size_t>(member.record.state)];
  for (const auto state : {MemberState::alive, MemberState::suspect, MemberState::dead, MemberState::left})
    lines.add(std::string("members_") + nameOf(state), membersByState[static_cast<std::size_t>(state)],
              kGauge);
  const Time caughtUpMs = input.caughtUpAt < 0 ? 0 : input.caughtUpAt - input.startedAt;
  const Time sinceSyncMs = replica.lastSyncAt() < 0 ? 0 : std::max(0.0, input.now - replica.lastSyncAt());
  lines.add("rows", replica.rows().size(), kGauge);
  lines.add("caught_up", replica.caughtUp(), kGauge);
  lines.add("caught_up_ms", static_cast<std::uint64_t>(caughtUpMs), kGauge);
  lines.add("since_repair_ms", static_cast<std::uint64_t>(sinceSyncMs), kGauge);
}

void addCounters(const ReportInput& input, TelemetryLines& lines) {
  const Replica::Counts& counts = input.replica.counts();
  const Membership::Counts& membership = input.replica.membershipCounts();
  lines.add("sent", counts.sent, kCounter);
  lines.add("received", counts.received, kCounter);
  lines.add("failed", counts.failed, kCounter);
  lines.add("bytes_in", input.transport.bytesIn, kCounter);
  lines.add("bytes_out", input.transport.bytesOut, kCounter);
  lines.add("merged", counts.merged, kCounter);
  lines.add("repaired", counts.repaired, kCounter);
  lines.add("suspicions", membership.suspicions, kCounter);
  lines.add("refuted", membership.refutations, kCounter);
  lines.add("deaths", membership.deaths, kCounter);
  lines.add("refused_old", counts.rejectedStale, kCounter);
  lines.add("refused_other", counts.rejectedForeign, kCounter);
  lines.add("refused_rows", counts.rejectedRows, kCounter);
  lines.add("malformed", input.transport.malformed, kCounter);
  lines.add("turned_away", input.transport.connectionsRejected, kCounter);
}

}  // namespace

std::uint64_t rowsHash(const Digest& digest) {
  std::uint64_t out = 0;
  for (std::size_t range = 0; range < kRowRanges; ++range) out = out * 31 + digest[range];
  return out;
}

std::string telemetryText(const ReportInput& input) {
  TelemetryLines lines;
  addGauges(input, lines);
  addCounters(input, lines);
  return lines.text();
}

std::string membersText(const ReportInput& input) {
  const Replica& replica = input.replica;
  OperatorResponse out("200 alive=" + std::to_string(replica.liveCount()) + " self=" + replica.self().name +
                       " generation=" + std::to_string(replica.self().generation) +
                       " incarnation=" + std::to_string(replica.self().incarnation));
  for (const auto state : {MemberState::suspect, MemberState::dead, MemberState::left, MemberState::alive}) {
    for (const auto& [name, member] : replica.members()) {
      if (member.record.state != state) continue;
      const long stateSeconds = static_cast<long>((input.now - member.stateSince) / 1000);
      out.addLine(name + " " + nameOf(state) + " address=" + member.record.address + " generation=" +
                  std::to_string(member.record.generation) + " since_s=" + std::to_string(stateSeconds));
    }
  }
  return out.text();
}

std::string stateText(const Replica& replica) {
  char hash[20];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(rowsHash(replica.digest())));
  return std::string("200 copy=") + hash + " rows=" + std::to_string(replica.rows().size()) +
         " caught_up=" + (replica.caughtUp() ? "1" : "0") + " alive=" + std::to_string(replica.liveCount()) +
         "\nEOF\n";
}

}  // namespace wingslip::replication
