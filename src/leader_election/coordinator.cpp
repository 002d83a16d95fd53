#include "leader_election/coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

#include "net/operator_response.hpp"

namespace wingslip::leader_election {
namespace {

namespace asio = boost::asio;

constexpr const char* kRoster = "roster";
constexpr auto kLeaveWithin = std::chrono::milliseconds(100);
constexpr Time kSeenWithin = 300;  // for the holder to see that this one drains before its registration goes

LeaderElection::Self selfOf(const Coordination& where, const std::string& name) {
  const auto unixNow =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
  char instance[20];  // from the system's own chance: two processes of a gatekeeper share its seed
  std::random_device chance;
  std::snprintf(instance, sizeof instance, "%08x%08x", chance(), chance());
  return {where.prefix, name, instance, WINGSLIP_GATEKEEPER_BUILD, unixNow.count()};
}

}  // namespace

Coordinator::Coordinator(asio::io_context& io, const Coordination& where, const std::string& name,
                         unsigned candidates, std::uint64_t seed, OverloadManager& pressure)
    : duties_(timingFor(where.ttlMs, where.lockDelayMs, candidates), selfOf(where, name),
              seed ^ std::random_device()(), *this),
      rosterDuty_(duties_, kRoster, where.ttlMs),
      client_(io, where.store, pressure,
              [this](std::uint64_t id, const Reply& reply, const std::string& error) {
                if (!error.empty() && error != lastError_) told("store: " + error);
                lastError_ = error;
                duties_.replied(now(), id, reply);
                turn();
              }),
      timer_(io),
      end_(io) {
  duties_.add(kRoster, rosterDuty_);
}

Time Coordinator::now() const {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Coordinator::start() {
  duties_.start(now());
  turn();
}

void Coordinator::drain() {
  duties_.drain(now());
  drainedAt_ = now();
  turn();
}

void Coordinator::leave(Time within, std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  leaveBy_ = now() + within;
  turn();
}

void Coordinator::turn() {
  duties_.tick(now());
  rosterDuty_.tick(now());
  if (done_ && !ending_ && (now() >= leaveBy_ || (duties_.settled() && now() >= drainedAt_ + kSeenWithin))) {
    ending_ = true;
    duties_.leave(now());
    end_.expires_after(kLeaveWithin);
    end_.async_wait([this](const boost::system::error_code& error) {
      if (!error) done_();
    });
  }
  Time at = std::min(duties_.nextAt(), rosterDuty_.nextAt());
  if (done_ && !ending_)
    at = std::min(at, duties_.settled() ? std::min(leaveBy_, drainedAt_ + kSeenWithin) : leaveBy_);
  if (!std::isfinite(at)) return void(timer_.cancel());
  const auto wait = static_cast<std::int64_t>(std::max(0.0, at - now()) * 1000) + 1;
  timer_.expires_after(std::chrono::microseconds(wait));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) turn();
  });
}

std::string Coordinator::telemetry() const {
  std::string out;
  const auto line = [&](const char* name, std::uint64_t value, const char* kind) {
    out += std::string("svc.duty.") + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  const LeaderElection::Counts& c = duties_.counts();
  const auto status = duties_.status();
  line("held",
       static_cast<std::uint64_t>(std::count_if(status.begin(), status.end(),
                                                [](const auto& s) { return s.state == State::holding; })),
       "g");
  line("acquired", c.acquired, "c");
  line("lost", c.lost, "c");
  line("lapsed", c.lapsed, "c");
  line("given_up", c.givenUp, "c");
  line("acts", c.acts, "c");
  line("refused_by_fence", c.refusedByFence, "c");
  line("renewals_failed", c.renewalsFailed, "c");
  line("calls_failed", c.callsFailed, "c");
  line("sessions_lost", c.sessionsLost, "c");
  line("store_went_back", c.wentBack, "c");
  line("stale_records", c.staleRecords, "c");
  line("malformed", c.malformed + rosterDuty_.unreadable(), "c");
  auto rows = rosterDuty_.roster().counts();
  for (const auto state : {RosterRow::State::here, RosterRow::State::draining, RosterRow::State::left,
                           RosterRow::State::missing})
    line((std::string("roster_") + nameOf(state)).c_str(), rows[state], "g");
  return out;
}

std::string Coordinator::duties() const {
  const auto all = duties_.status();
  std::string out = "200 " + std::to_string(all.size()) + " duties\n";
  for (const auto& s : all)
    out += s.duty + " state=" + nameOf(s.state) + " holder=" + (s.holder.empty() ? "-" : s.holder) +
           " token=" + std::to_string(s.token) +
           " since_s=" + std::to_string(static_cast<long>((now() - s.since) / 1000)) +
           " last_error=" + (s.lastError.empty() ? "-" : s.lastError) + "\n";
  return out + "EOF\n";
}

std::string Coordinator::roster() const {
  const Roster& roster = rosterDuty_.roster();
  auto counts = roster.counts();
  std::string first =
      "200 version=" + std::to_string(roster.version()) + " token=" + std::to_string(rosterDuty_.token());
  using RowState = RosterRow::State;
  constexpr RowState kOrder[] = {RowState::missing, RowState::draining, RowState::left, RowState::here};
  for (const RowState state : kOrder)
    first += std::string(" ") + nameOf(state) + "=" + std::to_string(counts[state]);
  OperatorResponse out(first);
  for (const RowState state : kOrder)
    for (const auto& [name, row] : roster.rows())
      if (row.state == state)
        out.addLine(name + " " + nameOf(state) + " processes=" + std::to_string(row.processes) +
                    " build=" + row.build + " started=" + std::to_string(row.started) +
                    " since_version=" + std::to_string(row.since));
  return out.text();
}

}  // namespace wingslip::leader_election
