#include "node/discovery.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "node/config.hpp"
#include "node/http.hpp"

namespace burlwind {
namespace {

using asio::ip::tcp;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kConnectWithin = 1000ms;
constexpr auto kAnswerWithin = 2s;  // the agent answers at once, or it is down and later answers anew
// An empty line comes every 2 s. What the watch does not bring counts as told 6 s later, or 4 s after a
// reload: longer, and a worker that drains is still sent to. Shorter: one late line reopens the watch.
constexpr auto kSilence = 4500ms;
constexpr auto kBackoffFirst = 50ms;
constexpr auto kBackoffMost = 1000ms;
// And for each gatekeeper, where they are many: all of them lose discovery in the same moment, and it serves
// some twenty calls a second. Calls that come faster than that for long each wait past its time-out, so that
// none is served any more. Shorter: that; longer: late news after a loss.
constexpr auto kBackoffFirstEach = 20ms;
constexpr auto kBackoffMostEach = 160ms;
constexpr std::size_t kMostLine = std::size_t{1} << 20;
constexpr std::size_t kParsed = 8;  // bytes that a byte of a line takes while it is read

irisring::Phase phaseOf(const std::string& lifecycle) {
  if (lifecycle == "Ready") return irisring::Phase::ready;
  if (lifecycle == "Terminating") return irisring::Phase::draining;
  if (lifecycle == "Gone") return irisring::Phase::gone;
  throw std::runtime_error("discovery: unknown lifecycle " + lifecycle.substr(0, 40));
}

Instance readInstance(const json& entry) {
  Instance out;
  out.id = entry.at("instanceId").get<std::string>();
  out.phase = phaseOf(entry.at("lifecycle").get<std::string>());
  const std::string address = entry.value("hostPort", "");
  if (out.phase != irisring::Phase::gone || !address.empty()) out.address = parseEndpoint(address);
  out.zone = entry.value("zone", "");
  out.kind = entry.value("machineType", "");
  out.cell = entry.value("cell", 0u);
  out.startedAtMs = entry.value("startedAtMs", 0.0);
  return out;
}

}  // namespace

Roster parseRoster(std::string_view text) {
  try {
    const json object = json::parse(text);
    Roster out;
    out.generation = object.at("generation").get<long long>();
    out.reset = object.value("reset", false);
    for (const json& entry : object.at("instances")) out.instances.push_back(readInstance(entry));
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("discovery: ") + error.what());
  }
}

void addTo(Roster& first, Roster&& next) {
  first.generation = next.generation;
  if (next.reset) {
    first = std::move(next);
    return;
  }
  std::unordered_map<std::string, std::size_t> at;
  for (std::size_t i = 0; i < first.instances.size(); ++i) at[first.instances[i].id] = i;
  for (Instance& instance : next.instances) {
    const auto [found, fresh] = at.try_emplace(instance.id, first.instances.size());
    if (fresh)
      first.instances.push_back(std::move(instance));
    else
      first.instances[found->second] = std::move(instance);
  }
}

// One watch after another: connect, ask for what changed since the last version, read lines until the
// connection ends, breaks or falls silent, wait, begin again.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
  // A handler of an earlier round finds nothing to do: its connection is gone.
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, round = round_, handler](const Error& error, std::size_t n = 0) {
      if (round == round_) handler(error, n);
    };
  }

 public:
  Watch(asio::io_context& io, const tcp::endpoint& agent, long long from, const Crowd& crowd, Told told,
        BackPressure& pressure)
      : pressure_(pressure),
        room_(pressure.ledger().open(Account::discovery)),
        socket_(io),
        timer_(io),
        agent_(agent),
        generation_(from),
        told_(std::move(told)),
        backoffFirst_(
            std::max<std::chrono::milliseconds>(kBackoffFirst, crowd.gatekeepers * kBackoffFirstEach)),
        backoffMost_(std::max<std::chrono::milliseconds>(kBackoffMost, crowd.gatekeepers * kBackoffMostEach)),
        random_(crowd.seed) {}

  void open() {
    if (stopped_) return;
    ++round_;
    forget();
    parser_.emplace();
    parser_->body_limit(boost::none);
    wait(kConnectWithin);
    socket_.async_connect(agent_, guard([this](const Error& error, std::size_t) {
                            if (error) return again("cannot connect");
                            ask();
                          }));
  }

  void moveTo(const tcp::endpoint& agent) {
    if (stopped_ || agent == agent_) return;
    agent_ = agent;
    backoff_ = backoffFirst_;
    Error ignored;
    socket_.close(ignored);
    open();
  }

  Stats takeStats() { return std::exchange(stats_, {}); }
  std::optional<std::chrono::steady_clock::time_point> answeredAt() const { return answeredAt_; }

  void stop() {
    forget();
    stopped_ = true;
    ++round_;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void wait(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= asio::steady_timer::clock_type::now()) again("silent");
    }));
  }

  void ask() {
    http::request<http::empty_body> request(http::verb::get, "/registry/instances?watch=1", 11);
    if (generation_ >= 0) request.target("/registry/instances?watch=1&from=" + std::to_string(generation_));
    request.set(http::field::host, "discovery");
    out_.clear();
    append(out_, request);
    wait(kAnswerWithin);
    asio::async_write(socket_, asio::buffer(out_), guard([this](const Error& error, std::size_t) {
                        if (error) return again("broken");
                        read();
                      }));
  }

  // Nothing is held of a line that will not be whole.
  void forget() {
    in_.clear();
    line_.clear();
    half_.leave();
    paused_.clear();
    room_.release();
  }

  // The line as it is and as it will be read, with what the next read brings.
  bool hasRoom() { return room_.resize((line_.size() + in_.size() + kReadStep) * (1 + kParsed)); }

  void read() {
    if (!hasRoom()) {
      // Left in the network, so that discovery sends no more. Its silence is not counted as the agent's but
      // for what `wait` has left, and then the watch is opened anew.
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
    socket_.async_read_some(in_.prepare(kReadStep), guard([this](const Error& error, std::size_t n) {
                              if (error) return again("ended");
                              in_.commit(n);
                              stats_.read += n;
                              wait(kSilence);
                              take();
                            }));
  }

  void take() {
    Error error;
    const bool done = feed(*parser_, in_, error);
    if (error || (!done && in_.size() > kMostHeader) ||
        (parser_->is_header_done() && parser_->get().result() != http::status::ok))
      return again("odd answer");
    if (!answeredAt_ && parser_->is_header_done()) answeredAt_ = std::chrono::steady_clock::now();
    line_ += parser_->get().body();
    parser_->get().body().clear();
    stats_.longestLine = std::max(stats_.longestLine, line_.size());
    try {
      takeLines();
    } catch (const std::runtime_error& wrong) {
      std::fprintf(stderr, "burlwind: %s\n", wrong.what());
      generation_ = -1;  // the whole list mends what this line would have changed
      return again("malformed");
    }
    if (line_.empty())
      half_.leave();
    else if (!half_.in(WaitAt::discoveryLine))
      half_.enter(pressure_.places(), WaitAt::discoveryLine, BackPressure::now());
    if (line_.size() > kMostLine) pressure_.places().turnAway(WaitAt::discoveryLine);
    if (done || line_.size() > kMostLine) return again("ended");
    read();
  }

  void takeLines() {
    // Lines that have piled up while this gatekeeper is pressed are taken as one, with the latest of each
    // worker.
    const bool pressed = pressure_.pressure().stage() != Stage::none;
    std::optional<Roster> piled;
    std::size_t from = 0;
    for (auto end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', from)) {
      const std::string_view line = std::string_view(line_).substr(from, end - from);
      from = end + 1;
      if (line.find_first_not_of(" \r\t") == std::string_view::npos) continue;  // a heartbeat
      Roster roster = parseRoster(line);
      ++stats_.lists;
      if (piled)
        addTo(*piled, std::move(roster));
      else
        piled = std::move(roster);
      if (pressed && line_.find('\n', from) != std::string::npos) continue;
      backoff_ = backoffFirst_;
      generation_ = piled->generation;
      told_(*piled);
      piled.reset();
      if (stopped_) return;
    }
    if (piled) {
      backoff_ = backoffFirst_;
      generation_ = piled->generation;
      told_(*piled);
    }
    line_.erase(0, from);
  }

  void again(const char* why) {
    ++round_;
    Error ignored;
    socket_.close(ignored);
    forget();
    if (stopped_) return;
    if (why != lastWhy_) std::fprintf(stderr, "burlwind: discovery: %s, trying again\n", why);
    lastWhy_ = why;
    // By chance, half to one and a half of it: gatekeepers that lost discovery together do not come back
    // together.
    timer_.expires_after(std::chrono::duration_cast<std::chrono::milliseconds>(
        backoff_ * std::uniform_real_distribution<>(0.5, 1.5)(random_)));
    backoff_ = std::min(2 * backoff_, backoffMost_);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) open();
    }));
  }

  BackPressure& pressure_;
  Ledger::Charge room_;
  Places::Waiting half_;
  BackPressure::Paused paused_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  tcp::endpoint agent_;
  long long generation_;
  const Told told_;
  beast::flat_buffer in_;
  std::string out_, line_;
  std::optional<http::response_parser<http::string_body>> parser_;
  const std::chrono::milliseconds backoffFirst_, backoffMost_;
  std::chrono::milliseconds backoff_ = backoffFirst_;
  std::mt19937_64 random_;
  std::string_view lastWhy_;
  Stats stats_;
  std::optional<std::chrono::steady_clock::time_point> answeredAt_;
  unsigned round_ = 0;
  bool stopped_ = false;
};

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& agent, long long from, const Crowd& crowd,
                     Told told, BackPressure& pressure)
    : watch_(std::make_shared<Watch>(io, agent, from, crowd, std::move(told), pressure)) {}
Discovery::~Discovery() { stop(); }
void Discovery::start() { watch_->open(); }
Discovery::Stats Discovery::takeStats() { return watch_->takeStats(); }
std::optional<std::chrono::steady_clock::time_point> Discovery::answeredAt() const {
  return watch_->answeredAt();
}
void Discovery::moveTo(const tcp::endpoint& agent) { watch_->moveTo(agent); }
void Discovery::stop() { watch_->stop(); }

}  // namespace burlwind
