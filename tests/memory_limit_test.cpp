// Validation of the setting `limits.memory_mb`, at start-up and at a reload.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;

TEST(MemoryLimitSetting, MustBePositiveAndLargeEnough) {
  const auto configWithLimit = [](const json& value) {
    json file = configJson("127.0.0.1:1");
    file["limits"]["memory_mb"] = value;
    return file.dump();
  };
  EXPECT_EQ(parseConfig(configJson("127.0.0.1:1").dump()).memoryLimitMib, 32);  // the default
  for (const json& invalid : {json(0), json(-1), json("64"), json(true), json(nullptr), json::array({64})})
    EXPECT_THROW(parseConfig(configWithLimit(invalid)), std::runtime_error) << invalid;
  EXPECT_THROW(parseConfig("{\"limits\":{\"memory_mb\":1e999}}"), std::runtime_error);
  EXPECT_EQ(parseConfig(configWithLimit(48.5)).memoryLimitMib, 48.5);
  asio::io_context io;
  for (const double tooSmallMb : {0.001, 1.0, 13.0}) {
    try {
      Gatekeeper gatekeeper(io, parseConfig(configWithLimit(tooSmallMb)));
      ADD_FAILURE() << tooSmallMb;
    } catch (const std::runtime_error& error) {
      EXPECT_NE(std::string(error.what()).find("limits.memory_mb is too small"), std::string::npos);
    }
  }
  Gatekeeper hugeLimit(io, parseConfig(configWithLimit(1e300)));
  EXPECT_GT(hugeLimit.overloadManager().memory().total(), kMiB);
  // A reload at SIGHUP does not change the limit; a file without the setting is rejected.
  const Config before = parseConfig(configWithLimit(64));
  Gatekeeper gatekeeper(io, before);
  const std::size_t total = gatekeeper.overloadManager().memory().total();
  gatekeeper.reload(parseConfig(configWithLimit(1)));
  EXPECT_EQ(gatekeeper.overloadManager().memory().total(), total);
  EXPECT_THROW(requireNoKeyRemoved(before, parseConfig(configJson("127.0.0.1:1").dump())),
               std::runtime_error);
}

}  // namespace
}  // namespace wingslip::test
