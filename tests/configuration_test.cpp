/// The configuration file: what is read, what is invalid, and the program's reload on SIGHUP.
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

TEST(Configuration, ReadsAllSettings) {
  const Config config =
      parseConfig(configJson("127.0.0.1:8500", json::array({entry("s", "127.0.0.1:9")})).dump());
  EXPECT_EQ(config.discovery.port(), 8500);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.sockets, 256u);
  EXPECT_EQ(config.host.classes, (std::vector<std::string>{"look", "edit", "order"}));
  EXPECT_EQ(config.host.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.settings.classes[1].idempotency, decision::Idempotency::withKey);
  EXPECT_EQ(config.settings.plans[1].rate, 1000);
  EXPECT_EQ(config.settings.loadReportFields, (std::vector<std::string>{"util", "queue"}));
  EXPECT_EQ(parseEndpointList(config.known).entries.at(0).id, "s");
}

TEST(Configuration, ThrowsOnAnInvalidFile) {
  for (const char* text : {"", "[]", "{}", R"({"name":"n","listen":"here","discovery":"127.0.0.1:1"})"})
    EXPECT_THROW(parseConfig(text), std::runtime_error) << text;
  json file = configJson("127.0.0.1:1");
  file["settings"]["nInstances"] = "many";
  EXPECT_THROW(parseConfig(file.dump()), std::runtime_error);
}

// The program itself, on a configuration file of the test's.
class Program : public Loopback {
 protected:
  void SetUp() override {
    file = ::testing::TempDir() + "wingslip-config-" + std::to_string(getpid()) + ".json";
  }
  void TearDown() override {
    if (child > 0) kill(child, SIGKILL), waitpid(child, nullptr, 0);
    std::filesystem::remove(file);
  }
  void write(const std::string& text) { std::ofstream(file) << text; }
  void run(const std::string& discoveryVariable) {
    child = fork();
    ASSERT_GE(child, 0);
    if (child > 0) return;
    setenv("BALANCER_CONFIG", file.c_str(), 1);
    setenv("BALANCER_DISCOVERY", discoveryVariable.c_str(), 1);
    execl(WINGSLIP_GATEKEEPER_PROGRAM, WINGSLIP_GATEKEEPER_PROGRAM, static_cast<char*>(nullptr));
    _exit(127);
  }
  bool ended(int& status) const { return waitpid(child, &status, WNOHANG) == child; }

  Listener first{io}, second{io};
  std::string file;
  pid_t child = 0;
};

// What was set at the start names the old address; the file that has changed since names the new one.
TEST_F(Program, ReloadsOnSighupAndKeepsRunningOnAnInvalidFile) {
  write(configJson(first.text()).dump());
  run(first.text());
  until([&] { return first.count("watch=1") == 1; }, "a watch");
  write("{ half a");
  kill(child, SIGHUP);
  io.restart();
  io.run_for(200ms);
  write(configJson(second.text()).dump());
  kill(child, SIGHUP);
  until([&] { return second.count("watch=1") == 1; }, "a watch at the new address");
  int status = 0;
  EXPECT_FALSE(ended(status));
  kill(child, SIGTERM);
  until([&] { return ended(status); }, "the end");
  child = 0;
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

// A changed file is taken whole or not at all.
TEST(Configuration, AReloadWithAMissingKeyOrInvalidLimitIsRejected) {
  const json good = configJson("127.0.0.1:1");
  const Config before = parseConfig(good.dump());
  requireSameKeys(before, parseConfig(good.dump()));
  const auto turnedDown = [&](const char* at, const json& value) {
    json file = good;
    if (value.is_discarded())
      file.at(json::json_pointer(at).parent_pointer()).erase(json::json_pointer(at).back());
    else
      file[json::json_pointer(at)] = value;
    EXPECT_THROW(requireSameKeys(before, parseConfig(file.dump())), std::runtime_error) << at << " " << value;
  };
  const json gone(json::value_t::discarded);
  for (const char* key :
       {"/name", "/limits", "/seed", "/settings", "/settings/rules/warmUp", "/settings/profiles/1/aim",
        "/settings/profiles/2/repeat", "/settings/profiles/0/name", "/settings/permissions"})
    turnedDown(key, gone);
  for (const char* key : {"/settings/profiles/1/deadline", "/settings/permissions/attemptsCap"})
    for (const json& value :
         {json(0), json(-5), json("6000"), json(nullptr), json(true), json::object(), gone})
      turnedDown(key, value);
  turnedDown("/settings/profiles/0/repeat", "sometimes");
  const std::string text = good.dump();
  EXPECT_THROW(parseConfig(text.substr(0, text.size() / 2)), IncompleteConfigError);
  EXPECT_THROW(parseConfig(""), IncompleteConfigError);
}

TEST(Configuration, TheProgramExitsWithOneLogLineOnAnInvalidFile) {
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
