// Checks that the decision module's files stay readable (size, line length, header comment), that gateway.cpp
// names the module's interface, and that the deploy file lists all files of the module as policy.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace {

constexpr int kMaxFileLines = 400;  // blank lines not counted
constexpr std::size_t kMaxLineLength = 110;

// Checks one source file and returns the number of its non-blank lines.
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
  EXPECT_LE(lines, kMaxFileLines) << path;
  return lines;
}

TEST(SourceLayout, DecisionModuleFilesAreSmallAndHaveAHeaderComment) {
  const std::filesystem::path directory = std::string(WINGSLIP_ROOT) + "/src/decision";
  int lines = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(directory)) {
    if (!entry.is_regular_file()) continue;
    const std::string extension = entry.path().extension().string();
    EXPECT_TRUE(extension == ".cpp" || extension == ".hpp") << entry.path();
    lines += checkSourceFile(entry.path());
  }
  EXPECT_GT(lines, 100);
  EXPECT_GT(checkSourceFile(directory / "gateway.cpp"), 100);
}

TEST(SourceLayout, GatewayNamesItsInterfaceAndDeployFileListsTheModuleAsPolicy) {
  std::ifstream gatewaySource(std::string(WINGSLIP_ROOT) + "/src/decision/gateway.cpp");
  std::string headerLine;
  std::getline(gatewaySource, headerLine);
  EXPECT_NE(headerLine.find("include/wingslip/decision/gateway.hpp"), std::string::npos);
  std::ifstream deploy(std::string(WINGSLIP_ROOT) + "/deploy/balancer.toml");
  std::string text((std::istreambuf_iterator<char>(deploy)), {});
  const std::size_t policy = text.find("policy = [");
  ASSERT_NE(policy, std::string::npos);
  const std::string policyFiles = text.substr(policy, text.find(']', policy) - policy);
  // The deploy file takes file names here, not directories, so a file missing from the list would not be
  // treated as policy.
  for (const auto& entry : std::filesystem::directory_iterator(std::string(WINGSLIP_ROOT) + "/src/decision"))
    EXPECT_NE(policyFiles.find("\"src/decision/" + entry.path().filename().string() + "\""),
              std::string::npos)
        << entry.path();
}

}  // namespace
