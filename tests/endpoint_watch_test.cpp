// The watch on the endpoint list in virtual time, with an agent for each gatekeeper and with a discovery
// service shared by all. Silence, lost connections, downtime and rejections are random by seed.
#include "endpoint_watch/endpoint_watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <utility>
#include <vector>

namespace wingslip {
namespace {

using Time = EndpointWatch::Time;
using Action = EndpointWatch::Action;
constexpr Time kStep = 5;  // ms of virtual time; all times are in ms
constexpr Time kDrainGrace = 2000;
constexpr Time kHeartbeatInterval = 2000;
constexpr Time kGraceStartAfterSilence = 6000;

// A gatekeeper and the discovery agent on its machine. Requests that the agent received while it was down are
// never answered.
struct Machine {
  enum class Agent { up, silent, refusing, overloaded };

  Machine(unsigned gatekeepers, std::uint64_t seed)
      : watch(EndpointWatch::limitsFor(kDrainGrace, gatekeepers), seed), random(seed) {}

  EndpointWatch watch;
  std::mt19937_64 random;
  Agent agent = Agent::up;
  bool open = false;
  bool stalled = false;  // the connection is open, but no message arrives on it
  Time now = 0;
  Time nextHeartbeatAt = 0;
  Time graceStartsAt = 0;  // when the drain grace of the agent's version starts
  Time stalledSince = 0;
  long agentVersion = 0;
  long receivedVersion = 0;
  std::vector<Time> connectTimes;

  double uniform() { return std::uniform_real_distribution<>(0, 1)(random); }

  bool upToDate() const { return receivedVersion == agentVersion; }

  void start() { perform(watch.start(0)); }

  void perform(Action action) {
    while (action != Action::none) {
      open = action == Action::sendRequest && agent != Agent::refusing;
      if (action == Action::connect) {
        connectTimes.push_back(now);
        action = agent == Agent::refusing ? watch.onConnectionLost(now) : watch.onConnected(now);
        continue;
      }
      if (action == Action::sendRequest && agent == Agent::overloaded) {
        action = watch.onRejected(now);
        continue;
      }
      stalled = open && agent != Agent::up;
      if (open && !stalled) receive();
      return;
    }
  }
  void receive() {
    receivedVersion = agentVersion;
    watch.onMessage(now);
    nextHeartbeatAt = now + kHeartbeatInterval;
  }
  // The agent has a new version. Its drain grace starts now, or later if the open connection is stalled.
  void changeList() {
    if (agent != Agent::up) return;
    ++agentVersion;
    graceStartsAt = open && stalled ? std::max(now, stalledSince + kGraceStartAfterSilence) : now;
  }
  void step() {
    now += kStep;
    perform(watch.checkTime(now));
    const bool receives = open && !stalled && agent == Agent::up;
    if (receives && (receivedVersion < agentVersion || now >= nextHeartbeatAt)) receive();
  }
  void loseConnection() {
    open = false;
    perform(watch.onConnectionLost(now));
  }
  void setAgent(Agent state) {
    const bool closesConnections = state == Agent::refusing || state == Agent::overloaded;
    if (state == Agent::silent && open) stalled = true;
    agent = state;
    if (closesConnections && open) loseConnection();
    if (state != Agent::up) return;
    ++agentVersion;
    graceStartsAt = now;
  }
  void stallConnection() {
    if (!open || stalled) return;
    stalled = true;
    stalledSince = now;
  }
};

// A watch that has sent its request at time 0.
EndpointWatch watchAwaitingAnswer() {
  EndpointWatch watch(EndpointWatch::limitsFor(kDrainGrace, 1), 1);
  EXPECT_EQ(watch.start(0), Action::connect);
  EXPECT_EQ(watch.onConnected(0), Action::sendRequest);
  return watch;
}

// Guards against giving up a list that is arriving, and asking for it again without end.
TEST(EndpointWatchOfAPrivateAgent, AListThatKeepsArrivingIsAwaited) {
  EndpointWatch watch = watchAwaitingAnswer();
  Time now = 0;
  for (; now < 10000; now += 100) {
    watch.onBytes(now, EndpointWatch::kProgressBytes / 2);
    ASSERT_EQ(watch.checkTime(now), Action::none) << now;
  }
  watch.onMessage(now);
  EXPECT_EQ(watch.checkTime(now + kHeartbeatInterval), Action::none);
  for (; now < 20000; now += 100) {  // a change as long
    watch.onBytes(now, EndpointWatch::kProgressBytes / 2);
    ASSERT_EQ(watch.checkTime(now), Action::none) << now;
  }
}

// Guards against a limit that single bytes put off, or that a list's first bytes end.
TEST(EndpointWatchOfAPrivateAgent, AListThatStopsOrDripsIsAskedForAgain) {
  const Time answerTimeout = EndpointWatch::limitsFor(kDrainGrace, 1).normal.answerTimeoutMs;
  EndpointWatch dripping = watchAwaitingAnswer();
  for (Time now = 0; now < answerTimeout; now += 10) {
    dripping.onBytes(now, 1);
    ASSERT_EQ(dripping.checkTime(now), Action::none) << now;
  }
  EXPECT_EQ(dripping.checkTime(answerTimeout), Action::close);
  EndpointWatch stopping = watchAwaitingAnswer();
  stopping.onBytes(answerTimeout / 2, 10 * EndpointWatch::kProgressBytes);
  EXPECT_EQ(stopping.checkTime(1.5 * answerTimeout - 1), Action::none);
  EXPECT_EQ(stopping.checkTime(1.5 * answerTimeout), Action::close);
}

// Guards against requests to a draining worker after its drain grace: under random faults and at every fleet
// size, the watch receives each version of the list before that version's drain grace ends, and the rate of
// connects stays limited.
TEST(EndpointWatchOfAPrivateAgent, ChangesAreReceivedWithinTheDrainGraceAtEveryFleetSize) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const unsigned gatekeepers = seed % 3 == 0 ? 1 : seed % 3 == 1 ? 300 : 350;
    Machine machine(gatekeepers, seed);
    machine.start();
    Time faultAt = 3000, repairAt = -1, changeAt = 1000;
    while (machine.now < 60000) {
      if (repairAt >= 0 && machine.now >= repairAt) {
        machine.setAgent(Machine::Agent::up);
        repairAt = -1;
        faultAt = machine.now + kDrainGrace + 9000 * machine.uniform();
      }
      if (repairAt < 0 && machine.now >= faultAt) {
        const double fault = machine.uniform();
        if (fault < 0.25 && machine.open) {
          machine.loseConnection();
          faultAt = machine.now + kDrainGrace + 4000 * machine.uniform();
        } else if (fault < 0.5) {
          machine.stallConnection();
          faultAt = machine.now + 12000;
        } else {
          machine.setAgent(fault < 0.75 ? Machine::Agent::silent : Machine::Agent::refusing);
          repairAt = machine.now + 1200 + 8000 * machine.uniform();
        }
      }
      if (machine.now >= changeAt) {
        machine.changeList();
        changeAt = machine.now + 3000 * machine.uniform();
      }
      machine.step();
      ASSERT_TRUE(machine.upToDate() || machine.now <= machine.graceStartsAt + kDrainGrace)
          << "seed " << seed << " of " << gatekeepers << " at " << machine.now << ", drain grace from "
          << machine.graceStartsAt;
    }
    // Fewer than five connects per second on average, and fewer than two while the agent is silent.
    EXPECT_LT(machine.connectTimes.size(), 60u * 5) << "seed " << seed;
  }
}

// An outage too short to be detected while it lasts stalls the open connection. The drain grace of the
// version that the agent has after the outage starts as soon as the outage ends.
TEST(EndpointWatchOfAPrivateAgent, ChangesAfterAShortOutageAreReceivedWithinTheDrainGrace) {
  constexpr Time kShortest = 450, kLongest = 1200;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Machine machine(seed % 2 == 0 ? 1 : 300, seed);
    machine.start();
    for (int outage = 0; outage < 10; ++outage) {
      for (const Time until = machine.now + 3000 + 4000 * machine.uniform(); machine.now < until;)
        machine.step();
      machine.setAgent(Machine::Agent::silent);
      for (const Time until = machine.now + kShortest + (kLongest - kShortest) * machine.uniform();
           machine.now < until;)
        machine.step();
      machine.setAgent(Machine::Agent::up);
      for (const Time until = machine.now + kDrainGrace + 100; machine.now < until;) {
        machine.step();
        ASSERT_TRUE(machine.upToDate() || machine.now <= machine.graceStartsAt + kDrainGrace)
            << "seed " << seed << " at " << machine.now << ", drain grace from " << machine.graceStartsAt;
      }
    }
  }
}

TEST(EndpointWatchOfAPrivateAgent, ConnectRateToASilentOrRefusingAgentIsLimited) {
  for (const auto agent : {Machine::Agent::silent, Machine::Agent::refusing}) {
    Machine machine(350, 7);
    machine.agent = agent;
    machine.start();
    while (machine.now < 60000) machine.step();
    EXPECT_LT(machine.connectTimes.size(), agent == Machine::Agent::silent ? 120u : 480u);
    EXPECT_GT(machine.connectTimes.size(), 40u);
  }
}

// Guards against connects at the rate of the first backoff to an agent that answers and then closes each
// connection.
TEST(EndpointWatchOfAPrivateAgent, BackoffGrowsWhenEveryWatchIsClosedImmediately) {
  Machine machine(3, 1);
  machine.start();
  while (machine.now < 10000) {
    machine.step();
    if (machine.open) machine.loseConnection();
  }
  EXPECT_LT(machine.connectTimes.size(), 60u);
}

// After any sequence of rejected, refused and unanswered requests, the current list is received within the
// drain grace, which starts 6 s after discovery became reachable, at every fleet size.
TEST(EndpointWatchOfASharedDiscovery, ChangesAreReceivedWithinTheBoundAfterAnySequenceOfFailures) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const unsigned gatekeepers = seed % 4 == 0 ? 1 : seed % 4 == 1 ? 300 : seed % 4 == 2 ? 350 : 1024;
    Machine machine(gatekeepers, seed);
    machine.start();
    Time nextChangeAt = 2000, reachableSince = 0;
    while (machine.now < 200000) {
      if (machine.now >= nextChangeAt) {
        const double choice = machine.uniform();
        const auto state = choice < 0.5   ? Machine::Agent::overloaded
                           : choice < 0.7 ? Machine::Agent::silent
                           : choice < 0.8 ? Machine::Agent::refusing
                                          : Machine::Agent::up;
        if (state == Machine::Agent::up && machine.agent != state) reachableSince = machine.now;
        machine.setAgent(state);
        nextChangeAt = machine.now + (state == Machine::Agent::up ? 15000 : 500 + 9000 * machine.uniform());
      }
      machine.step();
      ASSERT_TRUE(machine.agent != Machine::Agent::up || machine.upToDate() ||
                  machine.now <= reachableSince + 6000 + kDrainGrace)
          << "seed " << seed << " of " << gatekeepers << " at " << machine.now << ", reachable since "
          << reachableSince;
    }
    EXPECT_LE(
        EndpointWatch::maxUpdateDelayAfterRejectionMs(EndpointWatch::limitsFor(kDrainGrace, gatekeepers)),
        6000 + kDrainGrace);
  }
}

// A discovery service shared by all gatekeepers, with a first-in, first-out queue. It serves a request in
// 50 ms, rejects requests that have been queued for 2 s or that arrive at a queue of forty, and also serves
// the requests of clients that have closed their connection.
struct SharedDiscoveryFleet {
  SharedDiscoveryFleet(unsigned gatekeepers, std::uint64_t seed) {
    for (unsigned i = 0; i < gatekeepers; ++i)
      watches.emplace_back(EndpointWatch::limitsFor(kDrainGrace, gatekeepers), seed * 1000 + i);
    clients.resize(gatekeepers);
  }
  struct Client {
    std::uint64_t connection = 0;
    bool hasList = false;
  };
  struct QueuedRequest {
    std::size_t client;
    std::uint64_t connection;
    Time arrivedAt;
  };
  std::vector<EndpointWatch> watches;
  std::vector<Client> clients;
  std::deque<QueuedRequest> queue;
  Time now = 0;
  Time idleAt = 0;
  unsigned connects = 0;
  unsigned served = 0;

  void start() {
    for (std::size_t i = 0; i < watches.size(); ++i) perform(i, watches[i].start(0));
  }
  void perform(std::size_t client, Action action) {
    if (action == Action::none) return;
    ++clients[client].connection;
    if (action != Action::connect) return;
    ++connects;
    watches[client].onConnected(now);
    if (queue.size() >= 40) return perform(client, watches[client].onRejected(now));
    queue.push_back({client, clients[client].connection, now});
  }
  bool isCurrent(const QueuedRequest& request) const {
    return clients[request.client].connection == request.connection;
  }
  QueuedRequest takeFirst() {
    const QueuedRequest request = queue.front();
    queue.pop_front();
    return request;
  }
  void rejectExpired() {
    while (!queue.empty() && now - queue.front().arrivedAt >= 2000) {
      const QueuedRequest request = takeFirst();
      if (isCurrent(request)) perform(request.client, watches[request.client].onRejected(now));
    }
  }
  void serveNext() {
    if (queue.empty() || now < idleAt) return;
    const QueuedRequest request = takeFirst();
    idleAt = now + 50;
    if (!isCurrent(request)) return;
    watches[request.client].onMessage(now);
    served += !std::exchange(clients[request.client].hasList, true);
  }
  void step() {
    now += kStep;
    rejectExpired();
    serveNext();
    for (std::size_t i = 0; i < watches.size(); ++i)
      if (!clients[i].hasList) perform(i, watches[i].checkTime(now));
  }
};

TEST(EndpointWatchOfASharedDiscovery, ConnectRateAfterRejectionsIsLimited) {
  for (const unsigned gatekeepers : {100u, 350u}) {
    SharedDiscoveryFleet fleet(gatekeepers, 1);
    fleet.start();
    while (fleet.now < 5000) fleet.step();
    const unsigned connectsBefore = fleet.connects;
    Time doneAt = 0;
    while (fleet.now < 120000 && fleet.served < gatekeepers) {
      fleet.step();
      doneAt = fleet.now;
    }
    EXPECT_EQ(fleet.served, gatekeepers);
    // The gatekeepers use at least a quarter of the service's capacity.
    EXPECT_LT(doneAt, 50.0 * gatekeepers * 4) << gatekeepers;
    const double connectsPerS = 1000.0 * (fleet.connects - connectsBefore) / (doneAt - 5000);
    EXPECT_LT(connectsPerS, 60.0) << gatekeepers;  // of all gatekeepers together
  }
}

}  // namespace
}  // namespace wingslip
