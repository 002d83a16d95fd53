// The limits that keep the decision module readable, and where the deploy file says that it is.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

constexpr int kMaxLinesOfAFile = 400;  // without blank ones
constexpr std::size_t kMaxLineLength = 110;

// Checks one source file and returns its number of lines that are not blank.
int checkSourceFile(const std::filesystem::path& path) {
  std::ifstream in(path);
  EXPECT_TRUE(in) << path;
  std::string line;
  EXPECT_TRUE(std::getline(in, line)) << path << " is empty";
  EXPECT_TRUE(line.starts_with("// ") || line.starts_with("/// ")) << path << " has no header comment";
  int lines = 0;
  do {
    EXPECT_LE(line.size(), kMaxLineLength) << path << ": " << line;
    lines += line.find_first_not_of(" \t\r") != std::string::npos;
  } while (std::getline(in, line));
  EXPECT_LE(lines, kMaxLinesOfAFile) << path;
  return lines;
}

TEST(Lines, EachFileOfTheModuleStaysSmallAndHasAHeaderComment) {
  const std::filesystem::path folder = std::string(WINGSLIP_ROOT) + "/src/decision";
  int lines = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (!entry.is_regular_file()) continue;
    const std::string extension = entry.path().extension().string();
    EXPECT_TRUE(extension == ".cpp" || extension == ".hpp") << entry.path();
    lines += checkSourceFile(entry.path());
  }
  EXPECT_GT(lines, 100);
  EXPECT_GT(checkSourceFile(folder / "gateway.cpp"), 100);
}

TEST(Lines, TheModuleNamesItsInterfaceAndIsThePolicy) {
  std::ifstream module(std::string(WINGSLIP_ROOT) + "/src/decision/gateway.cpp");
  std::string first;
  std::getline(module, first);
  EXPECT_NE(first.find("include/wingslip/decision/gateway.hpp"), std::string::npos);
  std::ifstream deploy(std::string(WINGSLIP_ROOT) + "/deploy/balancer.toml");
  std::string text((std::istreambuf_iterator<char>(deploy)), {});
  const std::size_t policy = text.find("policy = [");
  ASSERT_NE(policy, std::string::npos);
  const std::string listed = text.substr(policy, text.find(']', policy) - policy);
  // The deploy file takes files here, not folders: one that it does not list would not be known as policy.
  for (const auto& entry : std::filesystem::directory_iterator(std::string(WINGSLIP_ROOT) + "/src/decision"))
    EXPECT_NE(listed.find("\"src/decision/" + entry.path().filename().string() + "\""), std::string::npos)
        << entry.path();
}

}  // namespace
