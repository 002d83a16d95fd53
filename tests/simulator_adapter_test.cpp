/// Tests of the simulator's wire protocol, the settings reader and the adapter as a process.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "settings/settings_reader.hpp"
#include "simulator_adapter/wire.hpp"

namespace wingslip::decision {
namespace {

template <class T>
void put(std::string& bytes, T value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}

std::string frame(std::uint32_t records, const std::string& body, double clock = 1000) {
  std::string out;
  put(out, std::uint32_t{1});
  put(out, clock);
  put(out, static_cast<std::uint32_t>(20 + body.size()));
  put(out, records);
  return out + body;
}

std::string fromHex(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i + 1 < text.size();) {
    if (text[i] == ' ') {
      ++i;
      continue;
    }
    out.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
    i += 2;
  }
  return out;
}

struct RecordedEvents : simulator_adapter::EventSink {
  std::vector<Request> requests;
  std::vector<AttemptOutcome> outcomes;
  std::vector<Endpoint> list;
  unsigned instance = 0;
  std::uint64_t tag = 0;
  void onInstance(unsigned number) override { instance = number; }
  void onStart(std::uint64_t, std::string_view) override {}
  void onEndpoints(EndpointUpdate, const std::vector<Endpoint>& endpoints) override { list = endpoints; }
  void onRequest(const Request& request) override { requests.push_back(request); }
  void onAttemptOutcome(const AttemptOutcome& outcome) override { outcomes.push_back(outcome); }
  void onClientDisconnect(RequestId) override {}
  void onTimer(std::uint64_t timerTag) override { tag = timerTag; }
  void onStop() override {}
};

void read(RecordedEvents& recorded, std::uint32_t records, const std::string& body) {
  simulator_adapter::readRecords({1, 0, static_cast<std::uint32_t>(20 + body.size()), records}, body,
                                 recorded);
}

TEST(SimulatorWire, ReadsTheDocumentedRecords) {
  RecordedEvents recorded;
  read(recorded, 2,
       fromHex("78 0300 1e c4913a5d 00 00000000 640ad2557c3bf091 0000000020e6c040 00000040 00004040 0000803f "
               "0100"));
  ASSERT_EQ(recorded.requests.size(), 1u);
  EXPECT_EQ(recorded.instance, 3u);
  EXPECT_EQ(recorded.requests[0].units, 2);
  EXPECT_EQ(recorded.requests[0].customerGatewayCount, 3u);
  read(recorded, 1,
       fromHex("32 c4913a5d 00 0000 0300 0a124a07 2b23 5600 0000000000803240 01 02 52b81e3f00004040"));
  ASSERT_EQ(recorded.outcomes.size(), 1u);
  EXPECT_EQ(recorded.outcomes[0].quotaUsePercent, 0x55);
  EXPECT_EQ(recorded.outcomes[0].actualUnits, 3);
  EXPECT_TRUE(recorded.outcomes[0].requestFinished);
  EXPECT_EQ(recorded.outcomes[0].loadReport.size(), 2u);
  read(recorded, 1,
       fromHex("14 02 29000000 02000000 01 0a124a07 2b23 0000803f 00 00 0000000000000000 0000"
               " 01 0a9011f2 5423 0000c03f 01 00 0000000000d4b740 0000"));
  ASSERT_EQ(recorded.list.size(), 2u);
  EXPECT_EQ(recorded.list[1].zone, 1u);
}

TEST(SimulatorWire, WritesTheDocumentedReply) {
  simulator_adapter::ReplyWriter reply;
  reply.begin(12);
  reply.setInstance(3);
  reply.startAttempt(0x5d3a91c4, 0x232b074a120aULL, 80);
  reply.setTimer(500, 77);
  reply.setInstance(5);
  reply.log("two servers unknown");
  const std::string out = reply.finish();
  EXPECT_EQ(out.substr(0, 4), fromHex("0c000000"));
  EXPECT_EQ(out.substr(8, 4), fromHex("05000000"));
  EXPECT_EQ(out.substr(12, 3 + 19 + 17), fromHex("8c 0300 0a c4913a5d 0a124a07 2b23 0000000000005440"
                                                 " 32 0000000000407f40 4d00000000000000"));
}

TEST(SimulatorWire, MalformedRecordsThrow) {
  RecordedEvents recorded;
  EXPECT_THROW(read(recorded, 1, fromHex("46 4d0000")), std::runtime_error);  // truncated
  EXPECT_THROW(read(recorded, 1, fromHex("fe 00")), std::runtime_error);      // unknown code
  EXPECT_THROW(read(recorded, 1, fromHex("14 03 29000000 ffffffff 01")),
               std::runtime_error);                                            // count exceeds the frame
  EXPECT_THROW(read(recorded, 1, fromHex("78 0300 00")), std::runtime_error);  // trailing bytes
  EXPECT_THROW(read(recorded, 9, fromHex("78 0300")), std::runtime_error);     // records missing
  EXPECT_THROW(simulator_adapter::readFrameHeader(fromHex("01000000 00000000206ec040 01000000 00000000")),
               std::runtime_error);
}

TEST(SettingsText, ReadsKnownKeysAndIgnoresOthers) {
  const Settings s = settings::parseSettings(
      "me=1\nnInstances=3\nunknown.key=what ever\nreport.fields=util,queue\nprofiles.count=1\n"
      "profiles.0.aim=800.0\nprofiles.0.repeat=keyed\nprofiles.0.dedupScope=zone\nplans.count=1\n"
      "plans.0.unitsPerS=2.5\nplans.0.atOnce=4\ndiscovery=on_request\n");
  EXPECT_EQ(s.gatewayIndex, 1u);
  EXPECT_EQ(s.gatewayCount, 3u);
  EXPECT_EQ(s.loadReportFields.size(), 2u);
  EXPECT_EQ(s.classes.at(0).deduplicationScope, DeduplicationScope::zone);
  EXPECT_EQ(s.plans.at(0).maxConcurrent, 4u);
  EXPECT_TRUE(s.pollsEndpoints);
}

TEST(SettingsText, MalformedLinesThrow) {
  EXPECT_THROW(settings::parseSettings("me"), std::runtime_error);
  EXPECT_THROW(settings::parseSettings("me=one"), std::runtime_error);
  EXPECT_THROW(settings::parseSettings("me=-1"), std::runtime_error);
  EXPECT_THROW(settings::parseSettings("plans.count=99999999"), std::runtime_error);
  EXPECT_THROW(settings::parseSettings("familyInfo.truedUp=perhaps"), std::runtime_error);
  EXPECT_THROW(settings::parseSettings("profiles.count=1\nprofiles.0.repeat=often"), std::runtime_error);
}

// Runs the adapter as a process on `input` and stores its standard error in `errors`. Returns its exit
// status, or -1 where it was terminated by a signal. On malformed input the adapter must write a single line
// to standard error and exit with a non-zero status instead of crashing.
int runAdapter(const std::string& input, std::string& errors) {
  const auto stem =
      std::filesystem::temp_directory_path() / ("wingslip-simulator-adapter-" + std::to_string(::getpid()));
  const std::string inputPath = stem.string() + ".in", errorPath = stem.string() + ".err";
  std::ofstream(inputPath, std::ios::binary) << input;
  const int status =
      std::system(("'" SIMULATOR_ADAPTER "' <'" + inputPath + "' >/dev/null 2>'" + errorPath + "'").c_str());
  std::ifstream text(errorPath);
  errors.assign(std::istreambuf_iterator<char>(text), {});
  std::filesystem::remove(inputPath);
  std::filesystem::remove(errorPath);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(SimulatorAdapter, EmptyInputAndEmptyFramesExitWithZero) {
  std::string errors;
  EXPECT_EQ(runAdapter("", errors), 0);
  EXPECT_EQ(runAdapter(frame(0, "") + frame(0, ""), errors), 0);
  EXPECT_EQ(errors, "");
}

TEST(SimulatorAdapter, MalformedInputYieldsOneErrorLineAndANonZeroExit) {
  std::string settings = "me=zero\n", start = fromHex("78 0000 0a 0100000000000000");
  put(start, static_cast<std::uint32_t>(settings.size()));
  std::string oversized = frame(0, "");
  oversized.replace(12, 4, fromHex("ffffffff"));
  for (const std::string& input :
       {frame(0, "").substr(0, 11), frame(1, fromHex("46 4d00")), frame(1, fromHex("fe")), oversized,
        frame(2, start + settings), frame(2, fromHex("78 0300 46 4d00000000000000")),
        frame(1, fromHex("46 4d00000000000000")).substr(0, 25)}) {
    std::string errors;
    EXPECT_EQ(runAdapter(input, errors), 1);
    EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 1) << errors;
  }
}

}  // namespace
}  // namespace wingslip::decision
