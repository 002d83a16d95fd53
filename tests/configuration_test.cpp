/// The configuration file: parsing, validation, and the reload of the gatekeeper program on SIGHUP.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loopback.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

TEST(Configuration, AllSettingsAreRead) {
  const Config config =
      parseConfig(configJson("127.0.0.1:8500", json::array({endpointEntryJson("s", "127.0.0.1:9")})).dump());
  EXPECT_EQ(config.discovery.port(), 8500);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.maxFileDescriptors, 256u);
  EXPECT_EQ(config.host.classes, (std::vector<std::string>{"look", "edit", "order"}));
  EXPECT_EQ(config.host.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.settings.classes[1].idempotency, decision::Idempotency::withKey);
  EXPECT_EQ(config.settings.plans[1].rate, 1000);
  EXPECT_EQ(config.settings.loadReportFields, (std::vector<std::string>{"util", "queue"}));
  EXPECT_EQ(parseEndpointList(config.initialEndpointList).entries.at(0).id, "s");
}

TEST(Configuration, AnInvalidFileIsRejected) {
  for (const char* text : {"", "[]", "{}", R"({"name":"n","listen":"here","discovery":"127.0.0.1:1"})"})
    EXPECT_THROW(parseConfig(text), std::runtime_error) << text;
  json file = configJson("127.0.0.1:1");
  file["settings"]["nInstances"] = "many";
  EXPECT_THROW(parseConfig(file.dump()), std::runtime_error);
}

// Runs the gatekeeper program with a configuration file that the test writes.
class GatekeeperProcess : public Loopback {
 protected:
  void SetUp() override {
    file = ::testing::TempDir() + "wingslip-config-" + std::to_string(getpid()) + ".json";
  }
  void TearDown() override {
    if (processId > 0) kill(processId, SIGKILL), waitpid(processId, nullptr, 0);
    std::filesystem::remove(file);
  }
  void writeConfigFile(const std::string& text) { std::ofstream(file) << text; }
  void startProcess(const std::string& discoveryVariable) {
    processId = fork();
    ASSERT_GE(processId, 0);
    if (processId > 0) return;
    setenv("BALANCER_CONFIG", file.c_str(), 1);
    setenv("BALANCER_DISCOVERY", discoveryVariable.c_str(), 1);
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  bool hasExited(int& status) const { return waitpid(processId, &status, WNOHANG) == processId; }

  Listener first{io}, second{io};
  std::string file;
  pid_t processId = 0;
};

// BALANCER_DISCOVERY names the first address; the file that is reloaded names the second one, which takes
// precedence on a reload.
TEST_F(GatekeeperProcess, ReloadsOnSighupAndKeepsRunningOnAnInvalidFile) {
  writeConfigFile(configJson(first.addressText()).dump());
  startProcess(first.addressText());
  waitUntil([&] { return first.count("watch=1") == 1; }, "a watch at the first address");
  writeConfigFile("{ half a");
  kill(processId, SIGHUP);
  io.restart();
  io.run_for(200ms);
  writeConfigFile(configJson(second.addressText()).dump());
  kill(processId, SIGHUP);
  waitUntil([&] { return second.count("watch=1") == 1; }, "a watch at the second address");
  int status = 0;
  EXPECT_FALSE(hasExited(status));
  kill(processId, SIGTERM);
  waitUntil([&] { return hasExited(status); }, "the exit of the process");
  processId = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// Guards against a reload that applies a part of an invalid file.
TEST(Configuration, AReloadWithAMissingKeyOrInvalidLimitIsRejected) {
  const json valid = configJson("127.0.0.1:1");
  const Config before = parseConfig(valid.dump());
  requireNoKeyRemoved(before, parseConfig(valid.dump()));
  const auto expectRejected = [&](const char* pointer, const json& value) {
    json file = valid;
    if (value.is_discarded())
      file.at(json::json_pointer(pointer).parent_pointer()).erase(json::json_pointer(pointer).back());
    else
      file[json::json_pointer(pointer)] = value;
    EXPECT_THROW(requireNoKeyRemoved(before, parseConfig(file.dump())), std::runtime_error)
        << pointer << " " << value;
  };
  const json absent(json::value_t::discarded);
  for (const char* key :
       {"/name", "/limits", "/seed", "/settings", "/settings/rules/warmUp", "/settings/profiles/1/aim",
        "/settings/profiles/2/repeat", "/settings/profiles/0/name", "/settings/permissions"})
    expectRejected(key, absent);
  for (const char* key : {"/settings/profiles/1/deadline", "/settings/permissions/attemptsCap"})
    for (const json& value :
         {json(0), json(-5), json("6000"), json(nullptr), json(true), json::object(), absent})
      expectRejected(key, value);
  expectRejected("/settings/profiles/0/repeat", "sometimes");
  const std::string text = valid.dump();
  EXPECT_THROW(parseConfig(text.substr(0, text.size() / 2)), IncompleteConfigError);
  EXPECT_THROW(parseConfig(""), IncompleteConfigError);
}

TEST(Configuration, TheProgramExitsWithOneLogLineOnAMissingFile) {
  const std::string out = ::testing::TempDir() + "wingslip-bad-" + std::to_string(getpid());
  const std::string command =
      "BALANCER_CONFIG=/nonexistent " WINGSLIP_GATEKEEPER_PROGRAM " 2>" + out + " >/dev/null </dev/null";
  const int status = std::system(command.c_str());
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream in(out);
  std::string first, second;
  EXPECT_TRUE(std::getline(in, first));
  EXPECT_FALSE(std::getline(in, second)) << second;
  EXPECT_NE(first.find("/nonexistent"), std::string::npos);
}

}  // namespace
}  // namespace wingslip::test
