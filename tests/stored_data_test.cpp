// Compatibility of stored data and messages with earlier versions. The literals are byte for byte as commit
// afadd11 wrote them. Guards against a format change: during an upgrade two versions run side by side and
// read each other's files, records and messages.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "distribution/snapshot.hpp"
#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/handover.hpp"
#include "leader_election/registration.hpp"
#include "replication/message.hpp"
#include "replication/snapshot.hpp"

namespace wingslip::test {
namespace {

std::string unhex(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return bytes;
}

const std::string& replicaSnapshot() {
  static const std::string bytes = unhex(
      "6275726c77696e642d7265706c69636120312032616537633465653539326234333830203135310aa46261741b000001"
      "8bcfe568006a67656e65726174696f6e1a6553f101676d656d6265727382856267316d31302e302e302e313a37393436"
      "1a6553f1000301856267326d31302e302e302e323a373934361a6553f102000364726f77738287686578636c75646564"
      "62773741311b0000018bcfe5687b04626731f487686578636c75646564627738401b0000018bcfe568c800626732f5");
  return bytes;
}

const std::string& replicaMessage() {
  static const std::string bytes = unhex(
      "aa66646966666572820405666469676573748301020365666c656574676b757461697369646b696e6404676d656d6265"
      "727382856267316d31302e302e302e313a373934361a6553f1000301856267326d31302e302e302e323a373934361a65"
      "53f1020003646d6f7265f564726f77738287686578636c7564656462773741311b0000018bcfe5687b04626731f48768"
      "6578636c75646564627738401b0000018bcfe568c800626732f56473656c66856267316d31302e302e302e313a373934"
      "361a6553f100030166746172676574626732617601");
  return bytes;
}

const std::string& distributionSnapshot() {
  static const std::string bytes = unhex(
      "6275726c77696e642d646973747269627574696f6e203120636636643636623039386339373038362031370a8b070300"
      "8080040703808065302e312e30");
  return bytes;
}

const std::string kRegistration =
    R"({"build":"0.1.0","draining":true,"instance":"i-1","name":"g1","seen":{"roster":9},"started":1700000000})";

/// A temporary state directory, removed by the destructor.
class StateDirectory {
 public:
  StateDirectory() : path_(::testing::TempDir() + "wingslip-stored-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~StateDirectory() { std::filesystem::remove_all(path_); }
  StateDirectory(const StateDirectory&) = delete;
  StateDirectory& operator=(const StateDirectory&) = delete;
  const std::string& path() const { return path_; }
  void write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ + "/" + name) << text;
  }
  std::string read(const std::string& name) const {
    std::ifstream in(path_ + "/" + name);
    return std::string(std::istreambuf_iterator<char>(in), {});
  }

 private:
  std::string path_;
};

TEST(StoredData, ReplicaSnapshotRoundTripsByteForByte) {
  const replication::Snapshot snapshot = replication::decodeSnapshot(replicaSnapshot());
  EXPECT_EQ(snapshot.writtenAtUnixMs, 1700000000000);
  EXPECT_EQ(snapshot.generation, 1700000001u);
  ASSERT_EQ(snapshot.members.size(), 2u);
  EXPECT_EQ(snapshot.members[0].name, "g1");
  EXPECT_EQ(snapshot.members[0].incarnation, 3u);
  EXPECT_EQ(snapshot.members[0].state, replication::MemberState::suspect);
  EXPECT_EQ(snapshot.members[1].state, replication::MemberState::left);
  ASSERT_EQ(snapshot.rows.size(), 2u);
  EXPECT_EQ(snapshot.rows[0].key, "w7");
  EXPECT_FALSE(snapshot.rows[0].tombstone);
  EXPECT_TRUE(snapshot.rows[1].tombstone);
  EXPECT_EQ(replication::encodeSnapshot(snapshot), replicaSnapshot());
}

TEST(StoredData, ReplicaMessageRoundTripsByteForByte) {
  const std::string& bytes = replicaMessage();
  const replication::Message message =
      replication::decode(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  EXPECT_EQ(message.fleet, "kutaisi");
  EXPECT_EQ(message.kind, replication::MessageKind::sync);
  EXPECT_EQ(message.target, "g2");
  EXPECT_EQ(message.rows.size(), 2u);
  EXPECT_EQ(message.digest.size(), 3u);
  EXPECT_EQ(message.differingRanges.size(), 2u);
  EXPECT_TRUE(message.truncated);
  const std::vector<std::uint8_t> reencoded = replication::encode(message);
  EXPECT_EQ(std::string(reencoded.begin(), reencoded.end()), bytes);
}

TEST(StoredData, DistributionSnapshotRoundTripsByteForByte) {
  const distribution::Snapshot snapshot = distribution::decodeSnapshot(distributionSnapshot());
  EXPECT_EQ(snapshot.version, 7u);
  EXPECT_EQ(snapshot.term, 3u);
  EXPECT_EQ(snapshot.promisedTerm, 4u);
  EXPECT_EQ(snapshot.build, "0.1.0");
  EXPECT_EQ(distribution::encodeSnapshot(snapshot), distributionSnapshot());
}

TEST(StoredData, RegistrationRoundTripsByteForByte) {
  const leader_election::Registration registration = leader_election::parseRegistration(kRegistration);
  EXPECT_EQ(registration.name, "g1");
  EXPECT_EQ(registration.startedUnixS, 1700000000);
  EXPECT_TRUE(registration.draining);
  EXPECT_EQ(registration.highestSeenTokens.at("roster"), 9u);
  EXPECT_EQ(leader_election::registrationText(registration), kRegistration);
}

TEST(StoredData, ExclusionsFileIsReadAndWrittenInStoredFormat) {
  const StateDirectory stateDirectory;
  stateDirectory.write("burlwind-excluded.json", R"({"excluded":["w1","w7"]})");
  Exclusions exclusions(stateDirectory.path());
  EXPECT_EQ(exclusions.ids(), (std::set<std::string>{"w1", "w7"}));
  EXPECT_FALSE(exclusions.set("w8", true));
  EXPECT_EQ(stateDirectory.read("burlwind-excluded.json"), R"({"excluded":["w1","w7","w8"]})");
}

TEST(StoredData, HandoverRoundTripsByteForByte) {
  const StateDirectory stateDirectory;
  stateDirectory.write("burlwind-handover.json", R"({"at":1234.5,"clockOffset":-17.25,"warmRate":0.125})");
  const auto handover = readHandover(stateDirectory.path());
  ASSERT_TRUE(handover);
  EXPECT_EQ(handover->writtenAt, 1234.5);
  EXPECT_EQ(handover->warmWorkerRatePerMs, 0.125);
  EXPECT_EQ(handover->clockOffsetMs, -17.25);
  writeHandover(stateDirectory.path(), *handover);
  EXPECT_EQ(stateDirectory.read("burlwind-handover.json"),
            R"({"at":1234.5,"clockOffset":-17.25,"warmRate":0.125})");
}

}  // namespace
}  // namespace wingslip::test
