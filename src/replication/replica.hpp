// State that the gatekeepers of a fleet share: who is a member (SWIM) and tables in which the last writer
// wins (a hybrid logical clock, then the origin's name). The core: events and monotonic time in, messages and
// merged rows out; no I/O, no clock. It carries; who reads the rows decides. `docs/design.md` has the bounds.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "replication/message.hpp"

namespace wingslip::replication {

using Time = double;  // ms of a monotonic clock

struct Timing {
  Time probeEvery = 1000;    // one member is probed in each
  Time gossipEvery = 200;    // while there is news
  Time repairEvery = 10000;  // one member's copy is compared with this one
  unsigned fanout = 3;       // members that news goes to at a time
  unsigned indirect = 3;     // members asked to reach one that does not answer
  Time answerWithin() const { return probeEvery / 3; }
};

class Replica {
 public:
  static constexpr std::size_t kRanges = 16;
  static constexpr std::size_t kMostMembers = 1024,
                               kMostRows = 4096;           // rows: of all tables; the oldest fall out
  static constexpr std::size_t kMostRowBytes = 48 * 1024;  // of the rows in a message
  static constexpr std::int64_t kMostAhead =
      24 * 3600 * 1000;  // ms: a stamp further in the future is no stamp

  struct Send {
    std::uint64_t id = 0;
    std::string name, address;
    Message message;
    Time within = 0;
  };
  // Every send is answered once, by `answered`. `changed` tells of each row that is new here, own ones apart.
  class Outside {
   public:
    virtual ~Outside() = default;
    virtual void send(const Send& send) = 0;
    virtual void changed(const Row& row) = 0;
    virtual void told(const std::string& line) = 0;
    virtual std::int64_t unixMs() const = 0;  // may step; only stamps rest on it
  };
  struct Counts {
    std::uint64_t sent = 0, received = 0, failed = 0, refusedOld = 0, refusedOther = 0, refusedRows = 0,
                  merged = 0, repaired = 0, suspicions = 0, refuted = 0, deaths = 0;
  };
  struct Member {
    MemberRow row;
    Time since = 0;
    unsigned tellings = 0;  // of its last change, still to be told
  };

  // `peers`: names and addresses of some members, by which the fleet is found; for them these addresses go
  // before the told ones.
  Replica(const Timing& timing, const std::string& fleet, const MemberRow& self,
          const std::map<std::string, std::string>& peers, std::uint64_t seed, Outside& outside);

  // What was left on disk, before `start`.
  void restore(const std::vector<MemberRow>& members, const std::vector<Row>& rows);
  void start(Time now);
  void tick(Time now);
  Time nextAt() const;

  // A peer's message, answered by the return value; nothing: it is not heard.
  std::optional<Message> received(Time now, const Message& message);
  void answered(Time now, std::uint64_t id, const std::optional<Message>& answer);

  void set(Time now, const std::string& table, const std::string& key, const std::string& value);
  void remove(Time now, const std::string& table, const std::string& key);
  const Row* find(const std::string& table, const std::string& key) const;

  void leave(Time now);  // tells some that this one leaves; nothing is sent after it

  const std::map<std::string, Member>& members() const { return members_; }  // but this one
  const MemberRow& self() const { return self_; }
  std::vector<Row> rows() const;
  std::size_t alive() const;  // others
  // Whether this copy has been equal to another's since the start.
  bool caughtUp() const { return caughtUp_; }
  bool superseded() const {
    return superseded_;
  }  // another process of this name and a higher generation is there
  std::vector<std::uint64_t> digest() const;
  const Counts& counts() const { return counts_; }
  Time lastRepair() const { return lastRepair_; }

 private:
  struct Held {
    Row row;
    unsigned tellings = 0;
  };
  using Key = std::pair<std::string, std::string>;
  struct Out {
    std::string to;
    Kind kind = Kind::ping;
    std::string target;
  };

  void send(Time now, const std::string& to, Kind kind, const std::string& target = "");
  void sendMessage(const std::string& to, Message&& message);
  Message compose(Kind kind, const std::string& to);
  void hear(Time now, const Message& message);
  void mergeMember(Time now, const MemberRow& row);
  bool mergeRow(const Row& row, bool own);
  void refute(std::uint64_t incarnation);
  void dropOldest();
  void trim();
  void probe(Time now);
  void suspect(Time now, const std::string& name);
  void bury(Time now);
  void gossip(Time now);
  void repair(Time now, const std::string& with);
  void findSomebody(Time now);
  void answerSync(const Message& asked, Message& answer);
  void takeRange(const std::vector<unsigned>& ranges, Message& into);
  unsigned tellings() const;
  Time suspicion() const;
  std::string addressOf(const std::string& name) const;
  std::vector<std::string> some(std::size_t n, const std::string& but = "");
  static unsigned rangeOf(const Row& row);
  bool news() const;

  const Timing timing_;
  const std::string fleet_;
  MemberRow self_;
  const std::map<std::string, std::string> peers_;
  Outside& outside_;
  std::mt19937_64 random_;
  HybridClock clock_;
  std::map<std::string, Member> members_;
  std::map<Key, Held> rows_;
  std::unordered_map<std::uint64_t, Out> out_;
  std::uint64_t lastSend_ = 0;
  unsigned selfTellings_ = 0;
  std::vector<std::string> order_;  // of probes, shuffled each time round
  std::string probed_;
  bool probeAnswered_ = true;
  std::map<std::string, std::string> reaching_;  // name -> who asked
  Time probeAt_ = 0, gossipAt_ = 0, repairAt_ = 0, findAt_ = 0, lastRepair_ = -1;
  unsigned repairsInRow_ = 0;
  bool started_ = false, caughtUp_ = false, superseded_ = false, left_ = false;
  Counts counts_;
};

}  // namespace wingslip::replication
