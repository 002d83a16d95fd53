// Tests of the gatekeeper program: long requests that their worker reads slowly get their final response in
// time, whatever the worker does meanwhile.
#include <sys/socket.h>

#include <array>
#include <deque>
#include <ostream>
#include <string>

#include "staging_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// A request's final response is due half a second after its deadline, and each time limit is 50 ms longer.
constexpr auto kFinalResponseTolerance = 550ms;
constexpr auto kDeadline = 1000ms;
constexpr std::size_t kMaxHeaderBytes = 2048;  // of the requests of this file

/// How a worker reads: `bytes` every `interval`, from the end of the request's header on.
struct ReadingPace {
  const char* name;
  std::size_t bytes;
  std::chrono::milliseconds interval;
};

std::ostream& operator<<(std::ostream& out, const ReadingPace& pace) { return out << pace.name; }

/// What a worker sends once it has read the request's header.
enum class EarlyResponse { none, shortWithoutEnd, shortUnfinishedLength, longHeader };

/// A connection to a worker that reads slowly.
class SlowReader {
 public:
  SlowReader(tcp::socket socket, const ReadingPace& pace) : socket_(std::move(socket)), pace_(pace) {
    socket_.non_blocking(true);
  }
  /// Reads what is due, and sends the early response once.
  void workOnce(EarlyResponse early) {
    const bool headerRead = header_.find("\r\n\r\n") != std::string::npos;
    if (!headerRead) return readHeader();
    if (!std::exchange(responded_, true)) send(textOf(early));
    if (Clock::now() < nextReadAt_) return;
    nextReadAt_ = Clock::now() + pace_.interval;
    std::size_t left = pace_.bytes;
    while (left > 0) {
      Error error;
      const std::size_t read =
          socket_.read_some(asio::buffer(buffer_.data(), std::min(left, buffer_.size())), error);
      if (error) return;
      left -= read;
    }
  }
  bool hasHeader() const { return header_.find("\r\n\r\n") != std::string::npos; }
  const std::string& header() const { return header_; }

 private:
  static std::string textOf(EarlyResponse early) {
    switch (early) {
      case EarlyResponse::none:
        return "";
      case EarlyResponse::shortWithoutEnd:
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n";
      case EarlyResponse::shortUnfinishedLength:
        return "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegin";
      case EarlyResponse::longHeader:
        return "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
    }
    return "";
  }
  void readHeader() {
    Error error;
    const std::size_t read = socket_.read_some(asio::buffer(buffer_.data(), kMaxHeaderBytes), error);
    header_.append(buffer_.data(), read);
  }
  void send(const std::string& text) {
    Error ignored;
    if (!text.empty()) asio::write(socket_, asio::buffer(text), ignored);
  }

  tcp::socket socket_;
  const ReadingPace pace_;
  std::string header_;
  std::array<char, 16384> buffer_{};
  Clock::time_point nextReadAt_ = Clock::now();
  bool responded_ = false;
};

/// How a client uploads.
struct UploadPace {
  std::size_t bytesPerStep = 0;     ///< every 10 ms; 0: as fast as they are taken
  bool readsBehindItsBody = false;  ///< reads nothing until it has written its last byte
};

class Uploader {
 public:
  Uploader(tcp::socket socket, std::string text, const UploadPace& pace)
      : socket_(std::move(socket)), text_(std::move(text)), pace_(pace) {
    socket_.non_blocking(true);
  }
  void workOnce() {
    write();
    if (lastByteAt_ || !pace_.readsBehindItsBody) read();
  }
  bool isAnswered() const { return answeredAt_.has_value(); }
  /// Whether the final response came within the deadline and its tolerance, counted from the request's last
  /// byte. One that came before that byte is in time.
  bool isInTime() const { return !lastByteAt_ || lateness() <= kDeadline + kFinalResponseTolerance; }
  Clock::duration lateness() const { return *answeredAt_ - *lastByteAt_; }
  const std::string& received() const { return received_; }

 private:
  void write() {
    if (sent_ == text_.size() || Clock::now() < nextWriteAt_) return;
    const std::size_t step = pace_.bytesPerStep;
    nextWriteAt_ = step > 0 ? Clock::now() + 10ms : Clock::now();
    std::size_t left = step > 0 ? step : text_.size();
    while (left > 0 && sent_ < text_.size()) {
      Error error;
      const std::size_t count = std::min(left, text_.size() - sent_);
      const std::size_t written = socket_.write_some(asio::buffer(text_.data() + sent_, count), error);
      if (error) return;
      sent_ += written;
      left -= written;
    }
    if (sent_ == text_.size()) lastByteAt_ = Clock::now();
  }
  // The final response is whole, the connection has ended, or a long response has begun, of which the first
  // byte counts.
  void read() {
    std::array<char, 16384> buffer;
    Error error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    received_.append(buffer.data(), count);
    if (answeredAt_) return;
    const bool ended = error && error != asio::error::would_block;
    const bool isError = received_.rfind("HTTP/1.1 4", 0) == 0 || received_.rfind("HTTP/1.1 5", 0) == 0;
    const bool longBegun = received_.find("Content-Length: 200000") != std::string::npos;
    if (ended || isError || longBegun) answeredAt_ = Clock::now();
  }

  tcp::socket socket_;
  const std::string text_;
  const UploadPace pace_;
  std::size_t sent_ = 0;
  std::string received_;
  Clock::time_point nextWriteAt_ = Clock::now();
  std::optional<Clock::time_point> lastByteAt_, answeredAt_;
};

class SlowlyReadUploads : public StagingFaults, public ::testing::WithParamInterface<ReadingPace> {
 protected:
  static constexpr std::size_t kWorkers = 20;
  static constexpr int kReceiveBufferBytes = 64 * 1024;  // small, so that the worker's pace is felt early
  static constexpr auto kMaxDuration = 25s;

  void listen() {
    slowWorker_.open(tcp::v4());
    slowWorker_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    slowWorker_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    slowWorker_.listen();
    slowWorker_.non_blocking(true);
  }
  json configuration() {
    json out = stagingConfig();
    json workers = json::array();
    const std::string address = "127.0.0.1:" + std::to_string(slowWorker_.local_endpoint().port());
    for (std::size_t i = 1; i <= kWorkers; ++i)
      workers.push_back(endpointEntryJson("s-" + std::to_string(i), address));
    out["known"] = json::parse(endpointListJson(1, true, workers));
    out["limits"]["memory_mb"] = 64;
    out["limits"]["sockets"] = 1024;
    return out;
  }
  void upload(const std::string& requestClass, std::size_t length, bool chunked,
              const UploadPace& pace = {}) {
    TestRequest request;
    request.requestClass = requestClass;
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", 0xe000 + clients_.size());
    request.id = id;
    request.deadline = std::to_string(kDeadline.count());
    std::string text = request.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    text.resize(text.size() - 2);
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", length);
    text += chunked ? "Transfer-Encoding: chunked\r\n\r\n" + std::string(size)
                    : "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    text += std::string(length, 'x') + (chunked ? "\r\n0\r\n\r\n" : "");
    tcp::socket socket(io);
    socket.connect(clientsAddress);
    clients_.emplace_back(std::move(socket), std::move(text), pace);
  }
  // Uploads that no buffer takes whole, that the kernels' buffers take, and that the gatekeeper holds whole.
  void uploadAll() {
    for (const char* requestClass : {"edit", "order"})
      for (const std::size_t length : {60'000, 100'000, 400'000, 3'000'000, 16'000'000})
        upload(requestClass, length, length % 400'000 == 0);
    for (const char* requestClass : {"edit", "order"}) {
      upload(requestClass, 300'000, false, {1000, false});
      upload(requestClass, 5'000'000, false, {0, true});
    }
  }
  void acceptAndWork(EarlyResponse early) {
    Error error;
    tcp::socket socket(io);
    slowWorker_.accept(socket, error);
    if (!error) readers_.emplace_back(std::move(socket), GetParam());
    for (SlowReader& reader : readers_) reader.workOnce(early);
    for (Uploader& client : clients_) client.workOnce();
  }
  bool allAnswered() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const Uploader& client) { return client.isAnswered(); });
  }
  // Plays all uploads at once before a worker that sends this response early.
  void play(EarlyResponse early, bool withDrain) {
    listen();
    GatekeeperProcess program(folder, configuration(), {});
    waitUntilReady();
    const auto startedAt = Clock::now();
    uploadAll();
    bool drained = false;
    while (!allAnswered() && Clock::now() - startedAt < kMaxDuration) {
      acceptAndWork(early);
      std::this_thread::sleep_for(1ms);
      if (withDrain && !drained && Clock::now() - startedAt > 300ms) {
        program.sendSignal(SIGTERM);
        drained = true;
      }
    }
    std::size_t reached = 0;
    for (const SlowReader& reader : readers_) reached += reader.hasHeader();
    EXPECT_GE(reached, clients_.size() / 2) << "too few uploads were sent to a worker";
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const Uploader& client = clients_[i];
      ASSERT_TRUE(client.isAnswered()) << "upload " << i << " has no final response";
      EXPECT_FALSE(client.received().empty()) << "upload " << i << " is closed without a response";
      EXPECT_TRUE(client.isInTime()) << "upload " << i << " after " << client.lateness() / 1ms
                                     << " ms: " << client.received().substr(0, 200);
    }
  }

  tcp::acceptor slowWorker_{io};
  std::deque<SlowReader> readers_;
  std::deque<Uploader> clients_;
};

INSTANTIATE_TEST_SUITE_P(Paces, SlowlyReadUploads,
                         ::testing::Values(ReadingPace{"Steady16KBps", 1600, 100ms},
                                           ReadingPace{"Steady64KBps", 1280, 20ms},
                                           ReadingPace{"Steady1MBps", 10'000, 10ms},
                                           ReadingPace{"Bursts", 256'000, 700ms},
                                           ReadingPace{"Never", 0, 1000ms}),
                         [](const auto& tested) { return std::string(tested.param.name); });

// Guards against a final response that comes seconds after its time because a worker reads a long request
// slowly.
TEST_P(SlowlyReadUploads, AreAnsweredInTime) { play(EarlyResponse::none, false); }

// Guards against a response that begins before the end of its request and so ends the request's deadline.
TEST_P(SlowlyReadUploads, WithAnUnfinishedResponseAreAnsweredInTime) {
  play(EarlyResponse::shortWithoutEnd, false);
}
TEST_P(SlowlyReadUploads, WithAnUnfinishedResponseOfStatedLengthAreAnsweredInTime) {
  play(EarlyResponse::shortUnfinishedLength, false);
}
TEST_P(SlowlyReadUploads, WithTheHeaderOfALongResponseAreAnsweredInTime) {
  play(EarlyResponse::longHeader, false);
}

// Guards against a drain that moves the deadlines of uploads.
TEST_P(SlowlyReadUploads, AreAnsweredInTimeInADrain) { play(EarlyResponse::none, true); }

}  // namespace
}  // namespace wingslip::test
