// LeaderElection that one process of the fleet holds at a time: leases, fencing tokens, registrations. The
// core: events and monotonic time in, calls to a coordination store out. No I/O, no clock. `docs/design.md`
// has the states, the argument for "never two at once" and its assumptions. One owner: whoever makes it, on
// one thread.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace wingslip::leader_election {

using Time = double;          // ms of a monotonic clock
using Token = std::uint64_t;  // only rises over all holders of a duty

struct Timing {
  Time ttl = 10000;        // of the session at the store
  Time lockDelay = 1000;   // a lock whose holder's session ended stays shut for this long
  Time callWithin = 1000;  // a call is answered, or given up and without effect, within this
  Time blockFor = 30000;   // a read that waits for a change
  double drift = 0.01;     // at most, between the rates of two clocks
  unsigned candidates = 1;

  // After the moment the last successful renewal was sent, the lease holds for this long.
  Time lease() const { return ttl * (1 - drift) - callWithin; }
  // Candidates spread their asks for a lock that fell free over this.
  Time spread() const { return std::max(100.0, 20.0 * candidates); }
};
// The rest derived from what is configured.
Timing timingFor(Time ttl, Time lockDelay, unsigned candidates);

enum class Call { createSession, renewSession, destroySession, acquire, release, compareAndSet, read };

// One call to the store. Every ask gets exactly one reply: a call that is not answered `within` has failed.
struct Ask {
  std::uint64_t id = 0;
  Call call = Call::read;
  std::string key, value, session;
  std::uint64_t index = 0;  // compareAndSet: the key's, 0 for none; read: above 0, wait for a change past it
  bool recurse = false;     // read: all keys that begin with `key`
  Time ttl = 0, lockDelay = 0;  // createSession
  Time blockFor = 0;            // read with an index
  Time within = 0;
};

struct Entry {
  std::string key, value, session;  // session: empty where nobody holds the key
  std::uint64_t index = 0;          // of its last change
};

struct Reply {
  bool ok = false;   // else no usable answer: the call may have taken effect
  bool yes = false;  // renewSession: it lives; acquire, release, compareAndSet: done
  std::string session;
  std::uint64_t index = 0;  // read: of the answer
  std::vector<Entry> entries;
};

// What is registered of one process of a gatekeeper.
struct Member {
  std::string name, instance, build;
  std::int64_t started = 0;  // Unix seconds, for people
  bool draining = false;
  std::map<std::string, Token> seen;  // the highest token that it has seen of each duty
};

// What one duty is about. Calls may come from within any event of `LeaderElection`.
class Duty {
 public:
  virtual ~Duty() = default;
  // This process holds it from now on, under a token above all before. `data`: as last recorded, or empty.
  virtual void begun(Time now, Token token, const std::string& data) = 0;
  virtual void ended(Time now) = 0;  // it does not hold it any more
  // A record was read whose token is no lower than any seen.
  virtual void recorded(Time now, Token token, const std::string& holder, const std::string& data) = 0;
  // While it is held: all registrations, at the start and after each change.
  virtual void members(Time now, const std::vector<Member>& all) = 0;
};

class Outside {
 public:
  virtual ~Outside() = default;
  virtual void ask(const Ask& ask) = 0;
  virtual void drop(std::uint64_t ask) = 0;        // nobody waits for its reply any more
  virtual void told(const std::string& line) = 0;  // for operators; may come often
};

enum class State { standby, waiting, acquiring, proving, holding, uncertain, releasing, resting };
const char* nameOf(State state);

class LeaderElection {
 public:
  struct Self {
    std::string prefix;          // of all keys
    std::string name, instance;  // instance: of this process, unlike any other's
    std::string build;
    std::int64_t started = 0;
  };
  struct Counts {
    std::uint64_t acquired = 0, lost = 0, lapsed = 0, givenUp = 0, acts = 0, refusedByFence = 0;
    std::uint64_t renewalsFailed = 0, callsFailed = 0, sessionsLost = 0, wentBack = 0, staleRecords = 0,
                  malformed = 0;
  };
  struct Status {
    std::string duty, holder, lastError;
    State state = State::standby;
    Token token = 0;  // own while holding, else the highest seen
    Time since = 0;
  };

  LeaderElection(const Timing& timing, const Self& self, std::uint64_t seed, Outside& outside);

  void add(const std::string& name, Duty& duty);  // before `start`
  void start(Time now);
  void replied(Time now, std::uint64_t ask, const Reply& reply);
  void tick(Time now);
  Time nextAt() const;  // when `tick` is due; infinity: never by time alone

  // Whether an act of the duty may be made at this moment.
  bool mayAct(Time now, const std::string& name) const;
  // Writes the duty's record; the latest data goes out where an act is under way. False: it is not held.
  bool write(Time now, const std::string& name, const std::string& data);
  // The holder cannot do it: gives it up and stands back for two TTLs. So it does by itself where nothing
  // that it writes takes effect for two TTLs.
  void unfit(Time now, const std::string& name, const std::string& why);
  // SIGTERM: acts stop, then locks are given back; the registration says that it drains.
  void drain(Time now);
  // The last call, when the process ends: the session goes, and with it the registration.
  void leave(Time now);
  bool settled() const;  // after `drain`: nothing is held or on its way any more

  const Counts& counts() const { return counts_; }
  std::vector<Status> status() const;

 private:
  enum class For { session, member, watch, step, members, end };
  struct Pending {
    For what;
    std::size_t duty = 0;
    Time sent = 0;
  };
  enum class Step { none, acquire, readMembers, readRecord, claim, readAct, act, release };
  struct Held {
    std::string name;
    Duty* work = nullptr;
    State state = State::standby;
    Time since = 0, at = 0;  // at: when its next step is due
    Time backoff = 0, stepBackoff = 0;
    Time acquiredAt = 0;
    std::uint64_t watch = 0, watchIndex = 0;
    Time watchAt = 0, watchBackoff = 0;
    std::uint64_t step = 0;  // the ask under way
    Step doing = Step::none;
    std::string lockSession, holder, lastError, refused;  // refused: the record last refused as stale
    Token token = 0, seen = 0, claim = 0, membersSeen = 0;
    std::string data;                   // of the record as last read
    Time writesSince = 0;               // the first of the writes that have not taken effect
    bool writes = false, gone = false;  // gone: its record, and that was told
    std::string next;                   // to be written
    std::uint64_t membersAsk = 0, membersIndex = 0;
    Time membersAt = 0;
    bool backToRest = false;  // after releasing: resting until `at`, else for good
  };
  struct Record {
    bool there = false, readable = false;
    Token token = 0;
    std::uint64_t index = 0;
    std::string holder, data;
  };

  std::uint64_t send(Time now, Ask ask, For what, std::size_t duty = 0);
  void drop(std::uint64_t& ask);
  void setState(Time now, Held& d, State state);
  Time chance(Time most);
  bool leased(Time now) const { return alive_ && now < renewedAt_ + timing_.lease(); }
  std::string key(const Held& d, const char* what) const;
  Record recordOf(const Held& d, const std::vector<Entry>& entries);
  const Entry* entryOf(const std::vector<Entry>& entries, const std::string& key) const;
  std::vector<Member> membersOf(const std::vector<Entry>& entries);
  std::string registration() const;
  void onSession(Time now, const Reply& reply, Time sent);
  void onMember(Time now, const Reply& reply);
  void onWatch(Time now, Held& d, const Reply& reply, Time sent);
  void onStep(Time now, Held& d, const Reply& reply);
  void onMembers(Time now, Held& d, const Reply& reply);
  void onClaimRead(Time now, Held& d, const Reply& reply);
  void onActRead(Time now, Held& d, const Reply& reply);
  void look(Time now, Held& d);  // at the lock as last told, from standby or resting
  void see(Time now, Held& d, const Record& record);
  void begin(Time now, Held& d);
  void stopActs(Time now, Held& d, State next);
  void lose(Time now, Held& d, const std::string& why);
  void wait(Time now, Held& d, Time most);
  void lookAnew(Time now, Held& d);
  void rest(Time now, Held& d);
  void sessionLost(Time now);
  void abandonSession(Time now);
  void goneBack(Time now, const std::string& what);
  void giveBack(Time now, Held& d);
  void run(Time now, Held& d);
  void ask(Time now, Held& d, Step step, Ask ask);
  void failed(Held& d, const std::string& what);
  std::size_t indexOf(const Held& d) const { return static_cast<std::size_t>(&d - duties_.data()); }

  const Timing timing_;
  const Self self_;
  Outside& outside_;
  std::mt19937_64 random_;
  std::vector<Held> duties_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::uint64_t lastAsk_ = 0;
  std::string session_;
  bool alive_ = false, dirty_ = true, draining_ = false, left_ = false, started_ = false;
  Time createdAt_ = 0, renewedAt_ = 0, sessionAt_ = 0, sessionBackoff_ = 0, memberAt_ = 0, quietUntil_ = 0;
  std::uint64_t sessionAsk_ = 0, memberAsk_ = 0;
  Counts counts_;
};

// A registration's and a record's text, JSON. Reading throws std::runtime_error on anything else.
std::string memberText(const Member& member);
Member parseMember(const std::string& text);

}  // namespace wingslip::leader_election
