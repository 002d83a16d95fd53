// Tests of the gatekeeper program against clients that make it hold or do more than their requests are worth:
// headers of many short fields, blank lines, requests that are sent faster than they are served.
#include <set>
#include <thread>

#include "program_under_faults.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kMiB = std::size_t{1} << 20;

class ClientPressure : public GatekeeperUnderFaults {
 protected:
  json limitedConfig(int memoryMib, int sockets) {
    json configuration = config();
    configuration["limits"] = {{"memory_mb", memoryMib}, {"sockets", sockets}};
    return configuration;
  }

  void runFor(std::chrono::milliseconds span) {
    const auto until = Steady::now() + span;
    while (Steady::now() < until) {
      io.restart();
      io.run_for(5ms);
    }
  }

  /// The largest resident size of the program so far, in bytes.
  static std::size_t peakMemory(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmHWM:", 0) == 0) return std::stoul(line.substr(6)) * 1024;
    return 0;
  }

  static std::string shortFields(std::size_t bytes) {
    std::string fields;
    char field[16];
    for (unsigned i = 16; fields.size() + 8 < bytes; ++i) {
      std::snprintf(field, sizeof field, "%x:\r\n", i);
      fields += field;
    }
    return fields;
  }

  static std::string requestId(unsigned number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    return id;
  }

  static std::string uploadHeader(const std::string& id, const std::string& extra, std::size_t bytes) {
    return "POST /order?client=00000000b4d65521 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id +
           "\r\nX-Tier: large\r\nReq-Deadline-Ms: 5000\r\nX-Call-Terms: units=1,spread=2,first=1\r\n" +
           extra + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }

  /// Sends requests of ordinary clients, one after the other on new connections; returns how many of them got
  /// a 200 within `limit`.
  int servedOf(int requests, std::chrono::milliseconds limit) {
    int served = 0;
    for (int i = 0; i < requests; ++i) {
      TestRequest request;
      request.id = requestId(nextId_++);
      const auto client = sendRequest(request);
      std::size_t answered = 0;
      const auto until = Steady::now() + limit;
      while (Steady::now() < until && !client->has("\r\n\r\n") && !client->closedByPeer) {
        runFor(1ms);
        for (const PeerPtr& peer : worker.peers)
          if (answered == 0 && peer->has(request.id)) {
            peer->send(httpResponse("200 OK", "ok"));
            ++answered;
          }
      }
      served += client->has("HTTP/1.1 200");
    }
    return served;
  }

 private:
  unsigned nextId_ = 0xa000;  // never used twice: a request is looked for in all that workers have received
};

// Guards against headers of very many short fields, which take several times their bytes once they are
// parsed, and with which a crowd of clients drove the process past its memory limit.
TEST_F(ClientPressure, ACrowdWithHeadersOfManyFieldsStaysWithinTheMemoryLimit) {
  GatekeeperProcess program(folder, limitedConfig(32, 1024), {});
  waitUntilReady();
  const std::string fields = shortFields(15000);
  std::vector<PeerPtr> clients;
  for (unsigned i = 0; i < 400; ++i) {
    clients.push_back(connectTo(clientsAddress));
    const std::size_t bodyBytes = i % 2 == 0 ? 60000 : 200000;  // buffered and streamed
    clients.back()->send(uploadHeader(requestId(0xb000 + i), fields, bodyBytes));
    clients.back()->send(std::string(4000, 'x'));
    if (i % 20 == 0) runFor(2ms);
  }
  for (int round = 0; round < 4; ++round) {
    runFor(500ms);
    for (const PeerPtr& client : clients)
      if (!client->closedByPeer) client->send(std::string(1000, 'x'));
  }
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peakMemory(program.processId()), 32 * kMiB);
#endif
  EXPECT_FALSE(program.hasEnded());
}

// The same for the headers of workers' responses.
TEST_F(ClientPressure, ResponseHeadersOfManyFieldsStayWithinTheMemoryLimit) {
  json configuration = limitedConfig(32, 1024);
  std::vector<std::unique_ptr<Listener>> workers;
  json entries = json::array();
  for (int i = 0; i < 40; ++i) {
    workers.push_back(std::make_unique<Listener>(io));
    entries.push_back(endpointEntryJson("s-" + std::to_string(i), workers.back()->addressText()));
  }
  configuration["known"] = json::parse(endpointListJson(1, true, entries));
  GatekeeperProcess program(folder, configuration, {});
  waitUntilReady();
  std::vector<PeerPtr> clients;
  for (unsigned i = 0; i < 200; ++i) {
    TestRequest request;
    request.id = requestId(0xc000 + i);
    clients.push_back(sendRequest(request));
    if (i % 20 == 0) runFor(2ms);
  }
  runFor(300ms);
  std::size_t answers = 0;
  for (const auto& listener : workers)
    for (const PeerPtr& peer : listener->peers) {
      if (!peer->has("Req-Id")) continue;
      peer->send("HTTP/1.1 200 OK\r\n" + shortFields(15000) + "Content-Length: 60000\r\n\r\n");
      peer->send(std::string(1000, 'x'));
      ++answers;
    }
  EXPECT_GT(answers, 100u);
  runFor(1000ms);
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peakMemory(program.processId()), 32 * kMiB);
#endif
  EXPECT_FALSE(program.hasEnded());
}

/// Bytes that a client sends over and over on one connection.
struct Flood {
  const char* name;
  std::string head;
  std::string repeated;
};

class FloodingClient : public ClientPressure, public ::testing::WithParamInterface<Flood> {};

// Guards against a client whose bytes, sent at full speed on one connection, take the memory or the time of
// all others: each of them gets its answer in time, and the process does not grow.
TEST_P(FloodingClient, DoesNotDelayOthersOrGrowTheProcess) {
  GatekeeperProcess program(folder, limitedConfig(32, 256), {});
  waitUntilReady();
  EXPECT_EQ(servedOf(5, 1000ms), 5);
  std::atomic<bool> stop = false;
  std::thread flood([&] {
    asio::io_context clientIo;
    std::string text;
    while (text.size() < 32768) text += GetParam().repeated;
    while (!stop) {
      tcp::socket socket(clientIo);
      Error error;
      socket.connect(clientsAddress, error);
      if (!error) asio::write(socket, asio::buffer(GetParam().head), error);
      socket.non_blocking(true);
      std::size_t sent = 0;
      std::array<char, 65536> answers;
      while (!stop && (!error || error == asio::error::would_block)) {
        sent += socket.write_some(asio::buffer(text) + sent, error);
        if (sent == text.size()) sent = 0;
        if (error && error != asio::error::would_block) break;
        Error readError;
        socket.read_some(asio::buffer(answers), readError);
        if (readError && readError != asio::error::would_block) break;
        if (error) std::this_thread::sleep_for(50us);
      }
    }
  });
  runFor(3s);
  EXPECT_EQ(servedOf(30, 1000ms), 30);
  stop = true;
  flood.join();
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peakMemory(program.processId()), 32 * kMiB);
#endif
  EXPECT_FALSE(program.hasEnded());
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, FloodingClient,
    ::testing::Values(Flood{"BlankLines", "", "\r\n"}, Flood{"UnknownPaths", "", "GET /zz HTTP/1.1\r\n\r\n"},
                      Flood{"Unsound", "", "GET /look HTTP/1.1\r\nReq-Id: 12\r\n\r\n"},
                      Flood{"TinyChunksWithExtensions",
                            "POST /order?client=00000000b4d65521 HTTP/1.1\r\nHost: b\r\nReq-Id: "
                            "00000000000000f1\r\nX-Tier: large\r\nReq-Deadline-Ms: 60000\r\nX-Call-Terms: "
                            "units=1,spread=2,first=1\r\nTransfer-Encoding: chunked\r\n\r\n",
                            "1;" + std::string(4000, 'e') + "\r\nx\r\n"}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against requests that are kept until the program serves although they have ended: a client that
// sends requests with a short deadline at full speed made memory grow until then.
TEST_F(ClientPressure, RequestsThatEndBeforeServingBeginsAreNotKept) {
  const std::string state = folder + "/state";
  std::filesystem::create_directories(state);
  SystemFaults faults;
  GatekeeperProcess program(folder, limitedConfig(32, 256), faults);
  waitUntilReady();
  EXPECT_EQ(runOperatorCommand("exclude s-1").rfind("200", 0), 0u);
  program.killProcess();
  program.faults->setDiskError(EIO);  // the program does not serve until it can read the exclusions
  program.start();
  waitUntil([&] { return !runOperatorCommand("telemetry").empty(); }, "the operators' port");
  [[maybe_unused]] const std::size_t before = peakMemory(program.processId());
  TestRequest request;
  request.deadline = "1";
  std::string text;
  for (unsigned i = 0; i < 100; ++i) {
    request.id = requestId(0xe0000 + i);
    text += request.text();
  }
  const auto client = connectTo(clientsAddress);
  for (int round = 0; round < 600; ++round) {
    client->send(text);
    waitUntil([&] { return client->count("HTTP/1.1 429") == 100; }, "answers");
    client->received.clear();
  }
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peakMemory(program.processId()), before + kMiB);
#endif
}

}  // namespace
}  // namespace wingslip::test
