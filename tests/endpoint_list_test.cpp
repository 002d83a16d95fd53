// Endpoint lists: framing, parsing and merging, and the handling of malformed and outdated lists.
#include "endpoint_watch/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "endpoint_watch/endpoint_list_history.hpp"
#include "endpoint_watch/json_object_framer.hpp"
#include "growth.hpp"

namespace wingslip {
namespace {

std::string entry(const std::string& id, const std::string& lifecycle, double started = 0) {
  return R"({"instanceId":")" + id + R"(","hostPort":"127.0.0.1:1","lifecycle":")" + lifecycle +
         R"(","startedAtMs":)" + std::to_string(started) + "}";
}

EndpointList list(long long generation, bool snapshot, const std::vector<std::string>& entries) {
  std::string joined;
  for (const std::string& text : entries) joined += (joined.empty() ? "" : ",") + text;
  return parseEndpointList(R"({"generation":)" + std::to_string(generation) + R"(,"reset":)" +
                           (snapshot ? "true" : "false") + R"(,"instances":[)" + joined + "]}");
}

TEST(JsonObjectFramer, ObjectsAreFramedAtEveryPieceSize) {
  const std::string stream =
      "\r\n{\"a\":\"}{\\\"\",\r\n  \"b\": [ {\n } ]\n}\n\n \n{\"c\":1}{\"d\":2}\n{\"half\":";
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    JsonObjectFramer framer;
    std::string buffer;
    std::vector<std::string> found;
    std::size_t heartbeats = 0;
    for (std::size_t offset = 0; offset < stream.size(); offset += piece) {
      buffer += stream.substr(offset, piece);
      while (const auto object = framer.next(buffer)) found.emplace_back(*object);
      heartbeats += framer.takeHeartbeats();
      buffer.erase(0, framer.takeConsumed());
    }
    ASSERT_EQ(found, (std::vector<std::string>{"{\"a\":\"}{\\\"\",\r\n  \"b\": [ {\n } ]\n}", "{\"c\":1}",
                                               "{\"d\":2}"}));
    EXPECT_EQ(heartbeats, 5u);
    EXPECT_EQ(buffer, "{\"half\":");
  }
  JsonObjectFramer framer;
  EXPECT_THROW(framer.next("\n[1]"), std::runtime_error);
}

TEST(EndpointList, MalformedTextIsRejected) {
  const std::string good = entry("s-1", "Ready");
  for (const std::string& malformed :
       {entry("s-2", "Resting"), good, std::string("7"),
        std::string(R"({"instanceId":3,"lifecycle":"Ready"})"),
        std::string(R"({"instanceId":"s-3","lifecycle":"Ready","hostPort":"nowhere"})")})
    EXPECT_THROW(list(1, false, {good, malformed}), std::runtime_error) << malformed;
  EXPECT_THROW(parseEndpointList(R"({"generation":"x","instances":[]})"), std::runtime_error);
  EXPECT_THROW(parseEndpointList(R"({"generation":1})"), std::runtime_error);
}

// Guards against requests to a draining worker after discovery has returned to an older list. A snapshot is
// requested once; the worker stays draining until a newer list names it as ready, or until it restarts.
TEST(EndpointListHistory, AnOutdatedListDoesNotReactivateADrainingWorker) {
  EndpointListHistory history;
  const auto phaseOf = [](const EndpointList& of, std::size_t i) { return of.entries.at(i).phase; };
  const auto accept = [&](EndpointList received, bool expected) {
    EXPECT_EQ(history.accept(received), expected);
    return received;
  };
  accept(list(40, true, {entry("a", "Ready"), entry("b", "Ready"), entry("c", "Ready")}), true);
  accept(list(41, false, {entry("a", "Terminating"), entry("c", "Gone")}), true);
  EXPECT_EQ(history.requestGeneration(), 41);
  accept(list(39, false, {entry("a", "Ready")}), false);
  EXPECT_EQ(history.requestGeneration(), -1);
  EndpointList old =
      accept(list(39, true, {entry("a", "Ready"), entry("b", "Ready"), entry("c", "Ready", 5)}), true);
  EXPECT_EQ(phaseOf(old, 0), decision::WorkerPhase::draining);
  EXPECT_EQ(phaseOf(old, 1), decision::WorkerPhase::ready);
  EXPECT_EQ(phaseOf(old, 2), decision::WorkerPhase::ready) << "restarted";
  old = accept(list(40, false, {entry("a", "Ready")}), true);
  EXPECT_EQ(phaseOf(old, 0), decision::WorkerPhase::draining);
  EXPECT_EQ(phaseOf(accept(list(42, false, {entry("a", "Ready")}), true), 0), decision::WorkerPhase::ready);
}

// Among the workers of one list, those with the lowest ids are removed first.
TEST(EndpointListHistory, RetiredWorkersOfTheOldestListAreRemovedFirst) {
  constexpr std::size_t kMaxRetired = 8192;
  EndpointListHistory history;
  EndpointList first = list(1, true, {entry("b", "Terminating"), entry("a", "Terminating")});
  ASSERT_TRUE(history.accept(first));
  std::vector<std::string> retired;
  for (std::size_t i = 0; i + 1 < kMaxRetired; ++i)
    retired.push_back(entry("w-" + std::to_string(i), "Terminating"));
  EndpointList second = list(2, false, retired);
  ASSERT_TRUE(history.accept(second));
  EndpointList old = list(1, true, {entry("a", "Ready"), entry("b", "Ready"), entry("w-0", "Ready")});
  ASSERT_FALSE(history.accept(old));  // rejected: a snapshot is requested, and the same list is then accepted
  ASSERT_TRUE(history.accept(old));
  EXPECT_EQ(old.entries[0].phase, decision::WorkerPhase::ready);
  EXPECT_EQ(old.entries[1].phase, decision::WorkerPhase::draining);
  EXPECT_EQ(old.entries[2].phase, decision::WorkerPhase::draining);
}

TEST(EndpointListHistory, AcceptTakesTimeLinearInTheNumberOfWorkers) {
  const double factor = growth::growthFactor(2000, [](std::size_t n) {
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < n; ++i) entries.push_back(entry("w-" + std::to_string(i), "Terminating"));
    EndpointList received = list(1, true, entries);
    EndpointListHistory history;
    const double before = growth::threadCpuTimeMs();
    history.accept(received);
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

TEST(EndpointList, MergedListsHaveTheLatestEntryOfEachWorker) {
  EndpointList merged = list(2, false, {entry("a", "Ready"), entry("b", "Ready")});
  const auto merge = [&](EndpointList later) {
    merged = mergeEndpointLists(std::move(merged), std::move(later));
  };
  merge(list(3, false, {entry("a", "Terminating"), entry("c", "Ready")}));
  ASSERT_EQ(merged.entries.size(), 3u);
  EXPECT_EQ(merged.generation, 3);
  EXPECT_EQ(merged.entries[0].phase, decision::WorkerPhase::draining);
  EXPECT_EQ(merged.entries[2].id, "c");
  merge(list(4, true, {entry("d", "Ready")}));
  EXPECT_TRUE(merged.isSnapshot);
  ASSERT_EQ(merged.entries.size(), 1u);
  merge(list(5, false, {entry("d", "Gone")}));
  EXPECT_TRUE(merged.isSnapshot);  // later changes are merged into the snapshot
  EXPECT_EQ(merged.entries[0].phase, decision::WorkerPhase::removed);
}

}  // namespace
}  // namespace wingslip
