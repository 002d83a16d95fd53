#include "gatekeeper/discovery.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

#include "net/http.hpp"
#include "net/rate_limited_log.hpp"
#include "net/socket_io.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Of one object that is not whole yet: some 4,000 workers, indented.
constexpr std::size_t kMostLine = std::size_t{1} << 20;
constexpr std::size_t kParsed = 8;  // bytes that a byte of a line takes while it is read

constexpr auto kSayEvery = std::chrono::seconds(5);

// Rounded up: a wait that ends a fraction too early would begin again without end on a clock that stands.
Clock::time_point at(Watch::Time ms) {
  using std::chrono::microseconds;
  return Clock::time_point(std::chrono::ceil<microseconds>(std::chrono::duration<double, std::milli>(ms)) +
                           microseconds(1));
}

}  // namespace

// Carries out what `Watch` says: connects, asks for what changed since the last version, reads lists, closes.
class Discovery::Link : public std::enable_shared_from_this<Link> {
  // A handler of an earlier connection finds nothing to do.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, round = round_, handler](const Error& error, std::size_t n = 0) {
      if (round == round_) handler(error, n);
    };
  }

 public:
  Link(asio::io_context& io, const tcp::endpoint& agent, Roster known, const Watch::Limits& limits,
       std::uint64_t seed, Told told, OverloadManager& pressure)
      : pressure_(pressure),
        room_(pressure.ledger().open(Account::discovery)),
        socket_(io),
        timer_(io),
        agent_(agent),
        watch_(limits, seed),
        told_(std::move(told)) {
    if (known.generation >= 0) history_.accept(known);
  }

  void open() { act(watch_.open(OverloadManager::now())); }

  void moveTo(const tcp::endpoint& agent, const Watch::Limits& limits) {
    if (stopped_) return;
    watch_.retune(limits);
    if (agent == agent_) return;
    agent_ = agent;
    act(watch_.open(OverloadManager::now()));
  }

  Stats takeStats() {
    Stats out = std::exchange(stats_, {});
    out.calls = watch_.calls();
    return out;
  }

  void stop() {
    stopped_ = true;
    watch_.stop();
    close();
    timer_.cancel();
  }

 private:
  void act(Watch::Act what) {
    switch (what) {
      case Watch::Act::none:
        return arm();
      case Watch::Act::close:
        close();
        return arm();
      case Watch::Act::connect:
        close();
        parser_.emplace();
        parser_->body_limit(boost::none);
        arm();
        return socket_.async_connect(agent_, guard([this](const Error& error, std::size_t) {
                                       if (error) return lost("cannot connect");
                                       act(watch_.up(OverloadManager::now()));
                                     }));
      case Watch::Act::ask:
        return ask();
    }
  }

  // One wait for what `Watch` wants to look at next. It moves on with every line, so a wait that ends early
  // only begins anew.
  void arm() {
    const Watch::Time due = watch_.due();
    if (due < 0 || (armed_ && armedFor_ <= due)) return;
    armed_ = true;
    armedFor_ = due;
    timer_.expires_at(at(due));
    timer_.async_wait([self = shared_from_this(), this, turn = ++turn_](const Error& error) {
      if (error || turn != turn_ || stopped_) return;
      armed_ = false;
      const bool waited = parser_.has_value();
      const Watch::Act what = watch_.look(OverloadManager::now());
      if (waited && what == Watch::Act::close) say("silent");
      act(what);
    });
  }

  void ask() {
    http::request<http::empty_body> request(http::verb::get, "/registry/instances?watch=1", 11);
    if (history_.from() >= 0)
      request.target("/registry/instances?watch=1&from=" + std::to_string(history_.from()));
    request.set(http::field::host, "discovery");
    out_.clear();
    append(out_, request);
    asyncWriteAll(
        socket_, asio::buffer(out_),
        [self = shared_from_this(), this, round = round_] { return round == round_; },
        [self = shared_from_this(), this](const Error& error) {
          if (error) return lost("broken");
          read();
        });
  }

  // Nothing is held of a list that will not be whole.
  void close() {
    ++round_;
    Error ignored;
    socket_.close(ignored);
    parser_.reset();
    in_.clear();
    line_.clear();
    objects_.clear();
    half_.leave();
    paused_.clear();
    room_.release();
  }

  // The line as it is and as it will be read, with what the next read brings.
  bool hasRoom() { return room_.resize((line_.size() + in_.size() + kReadBytes) * (1 + kParsed)); }

  void read() {
    if (!hasRoom()) {
      // Left in the network, so that discovery sends no more. Its silence is not counted as the agent's but
      // for what is left of the wait, and then the watch is opened anew.
      return pressure_.waitForRoom(
          paused_, Account::discovery, weak_from_this(),
          [this] {
            if (!hasRoom()) return false;
            readOn();
            return true;
          },
          nullptr);
    }
    readOn();
  }

  void readOn() {
    paused_.clear();
    socket_.async_read_some(in_.prepare(kReadBytes), guard([this](const Error& error, std::size_t n) {
                              if (isTransient(error)) return read();
                              if (error) return lost("ended");
                              in_.commit(n);
                              stats_.read += n;
                              take();
                            }));
  }

  void take() {
    Error error;
    const bool done = feed(*parser_, in_, error);
    if (error || (!done && in_.size() > kMaxHeaderBytes)) return lost("odd answer");
    if (parser_->is_header_done() && parser_->get().result() != http::status::ok) {
      say("turned away");
      return act(watch_.turnedAway(OverloadManager::now()));
    }
    line_ += parser_->get().body();
    parser_->get().body().clear();
    stats_.longestLine = std::max(stats_.longestLine, line_.size());
    try {
      if (!takeLists()) return turnDown("list: older than what is known");
    } catch (const std::runtime_error& wrong) {
      history_.requestFullList();
      return turnDown(wrong.what());
    }
    if (stopped_) return;
    if (line_.empty())
      half_.leave();
    else if (!half_.in(WaitAt::discoveryLine))
      half_.enter(pressure_.places(), WaitAt::discoveryLine, OverloadManager::now());
    if (line_.size() > kMostLine) pressure_.places().turnAway(WaitAt::discoveryLine);
    if (done || line_.size() > kMostLine) return lost("ended");
    arm();
    read();
  }

  // False: one of them cannot be true.
  bool takeLists() {
    // Lists that have piled up while this gatekeeper is pressed are taken as one, with the latest of each
    // worker.
    const bool pressed = pressure_.pressure().stage() != Stage::none;
    std::optional<Roster> piled;
    bool good = true;
    while (const auto object = objects_.next(line_)) {
      Roster list = parseRoster(*object);
      ++stats_.lists;
      if (!(good = history_.accept(list))) break;
      watch_.line(OverloadManager::now());
      if (piled)
        addTo(*piled, std::move(list));
      else
        piled = std::move(list);
      if (pressed) continue;
      told_(*std::exchange(piled, std::nullopt));
      if (stopped_) return true;
    }
    if (objects_.heartbeats() > 0 && good) watch_.line(OverloadManager::now());
    if (piled) told_(*piled);
    if (good && !stopped_) line_.erase(0, objects_.drop());
    return good;
  }

  // The whole list mends what this one would have changed.
  void turnDown(const char* why) {
    badLists_.say(std::string(why) + "; asking for the whole one");
    act(watch_.lost(OverloadManager::now()));
  }

  void lost(const char* why) {
    say(why);
    act(watch_.lost(OverloadManager::now()));
  }

  void say(const char* why) { log_.say(std::string(why) + ", trying again"); }

  OverloadManager& pressure_;
  MemoryBudget::Charge room_;
  WaitQueues::Waiting half_;
  OverloadManager::Paused paused_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  tcp::endpoint agent_;
  Watch watch_;
  RosterHistory history_;
  ObjectReader objects_;
  const Told told_;
  beast::flat_buffer in_;
  std::string out_, line_;
  std::optional<http::response_parser<http::string_body>> parser_;  // while there is a connection
  RateLimitedLog log_{"discovery", kSayEvery}, badLists_{"discovery", kSayEvery};
  Stats stats_;
  Watch::Time armedFor_ = 0;
  unsigned round_ = 0, turn_ = 0;
  bool armed_ = false;
  bool stopped_ = false;
};

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& agent, Roster known,
                     const Watch::Limits& limits, std::uint64_t seed, Told told, OverloadManager& pressure)
    : link_(std::make_shared<Link>(io, agent, std::move(known), limits, seed, std::move(told), pressure)) {}
Discovery::~Discovery() { stop(); }
void Discovery::start() { link_->open(); }
Discovery::Stats Discovery::takeStats() { return link_->takeStats(); }
void Discovery::moveTo(const tcp::endpoint& agent, const Watch::Limits& limits) {
  link_->moveTo(agent, limits);
}
void Discovery::stop() { link_->stop(); }

}  // namespace wingslip
