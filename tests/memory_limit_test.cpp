// The setting `limits.memory_mb`.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;

TEST(MemoryLimit, IsPositiveAndLargeEnoughOrRejected) {
  const auto with = [](const json& value) {
    json file = configJson("127.0.0.1:1");
    file["limits"]["memory_mb"] = value;
    return file.dump();
  };
  EXPECT_EQ(parseConfig(configJson("127.0.0.1:1").dump()).memoryMb, 32);  // missing
  for (const json& odd : {json(0), json(-1), json("64"), json(true), json(nullptr), json::array({64})})
    EXPECT_THROW(parseConfig(with(odd)), std::runtime_error) << odd;
  EXPECT_THROW(parseConfig("{\"limits\":{\"memory_mb\":1e999}}"), std::runtime_error);
  EXPECT_EQ(parseConfig(with(48.5)).memoryMb, 48.5);
  asio::io_context io;
  for (const double small : {0.001, 1.0, 13.0}) {
    try {
      Gatekeeper node(io, parseConfig(with(small)));
      ADD_FAILURE() << small;
    } catch (const std::runtime_error& error) {
      EXPECT_NE(std::string(error.what()).find("limits.memory_mb is too small"), std::string::npos);
    }
  }
  Gatekeeper huge(io, parseConfig(with(1e300)));
  EXPECT_GT(huge.pressure().memory().total(), kMiB);
  // At SIGHUP: what is malformed turns the file down, what is well-formed changes nothing.
  const Config before = parseConfig(with(64));
  Gatekeeper node(io, before);
  const std::size_t total = node.pressure().memory().total();
  node.reload(parseConfig(with(1)));
  EXPECT_EQ(node.pressure().memory().total(), total);
  EXPECT_THROW(requireSameKeys(before, parseConfig(configJson("127.0.0.1:1").dump())), std::runtime_error);
}

}  // namespace
}  // namespace wingslip::test
