// The lab's scenario reader, run verifier, figures and plot, without processes: invalid files are rejected
// entirely, with line and column, and the verifier reports a violation of a rule for the events that break it
// and for no others.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "figures.hpp"
#include "plot.hpp"
#include "run_verifier.hpp"
#include "scenario.hpp"

namespace wingslip::lab {
namespace {

std::string readError(const std::string& text) {
  const auto path =
      std::filesystem::temp_directory_path() /
      ("lab_test_" + std::to_string(::testing::UnitTest::GetInstance()->random_seed()) + ".toml");
  std::ofstream(path) << text;
  try {
    readScenario(path.string());
  } catch (const InvalidScenario& error) {
    const std::string what = error.what();
    return what.substr(what.find(".toml:") + 6);
  }
  return "accepted";
}

TEST(Scenario, BadFilesAreRejectedWithLineAndColumn) {
  const std::string fleet = "[fleet]\ngatekeepers = 3\nworkers = 2\n";
  EXPECT_EQ(readError(fleet + "[[step]]\nat_s = 1\ndo = \"explode\"\ngatekeeper = 0\n"),
            "6:6: unknown fault explode");
  EXPECT_EQ(readError(fleet + "[[step]]\nat_s = 3\ndo = \"kill\"\ngatekeeper = 0\n[[step]]\nat_s = 2\ndo = "
                              "\"cont\"\ngatekeeper = 0\n"),
            "9:8: at_s 2.000000 is before the preceding step");
  EXPECT_EQ(readError("[load]\nrate = -5\n"), "2:8: rate is -5.000000, not within 0.000000 to 20000.000000");
  EXPECT_EQ(readError(fleet + "[[step]]\nat_s = 1\ndo = \"kill\"\ngatekeeper = 3\n"),
            "7:14: gatekeeper 3 does not exist (there are 3)");
  EXPECT_EQ(readError(fleet + "[[step]]\nat_s = 1\ndo = \"cut\"\nzone = \"q\"\n"),
            "7:8: zone is not in fleet.zones");
  EXPECT_EQ(readError("[fleet\ngatekeepers = 3\n").substr(0, 12), "1:7: not TOM");
  EXPECT_EQ(readError("lenght_s = 3\n"), "1:12: unknown key lenght_s");
  EXPECT_EQ(readError("[[expect]]\nfate = \"served\"\n"), "1:1: an expectation needs min or max");
  const auto step = [&](const std::string& rest) { return readError(fleet + "[[step]]\nat_s = 1\n" + rest); };
  EXPECT_EQ(step("do = \"cut\"\nlink = \"moon\"\n"), "7:8: link must be one of discovery, peers, store");
  EXPECT_EQ(step("do = \"hup\"\ngatekeeper = 0\npatch = \"[1\"\n"), "8:9: patch is not a JSON object");
  EXPECT_EQ(step("do = \"upgrade\"\ngatekeeper = 0\n"), "6:6: upgrade needs fleet.held_sockets = true");
  EXPECT_EQ(step("do = \"store_wipe\"\n"), "6:6: store_wipe needs a [store]");
  EXPECT_EQ(step("do = \"throttle\"\nlink = \"discovery\"\n"), "6:6: throttle needs bytes_per_s");
}

TEST(Scenario, BadIdleClientsAndFiguresAreRejectedWithLineAndColumn) {
  const auto idle = [](const std::string& rest) {
    return readError("length_s = 10\n[idle_clients]\n" + rest);
  };
  EXPECT_EQ(idle("each = 5\n"), "accepted");
  EXPECT_EQ(idle("from_s = 1\n"), "2:1: idle_clients needs each = a number of clients");
  EXPECT_EQ(idle("each = 0\n"), "3:8: each is 0.000000, not within 1.000000 to 16384.000000");
  EXPECT_EQ(idle("each = 5\nmany = 1\n"), "4:8: unknown key many");
  EXPECT_EQ(idle("each = 5\ngatekeeper = 3\n"), "4:14: gatekeeper 3 does not exist (there are 3)");
  EXPECT_EQ(idle("each = 5\nfrom_s = 4\nuntil_s = 3\n"),
            "5:11: until_s is 3.000000, not within 4.000000 to 10.000000");
  EXPECT_EQ(idle("each = 5\nuntil_s = 11\n"), "4:11: until_s is 11.000000, not within 0.000000 to 10.000000");
  EXPECT_EQ(idle("each = 5\nrequest_share = 0.8\npart_share = 0.3\n"),
            "2:1: the sum of request_share and part_share is above 1");
  EXPECT_EQ(idle("each = 5\nconnects_per_s = 7000\n"),
            "2:1: more than 200,000 connections: lower connects_per_s or until_s");
  EXPECT_EQ(idle("each = 5\nconnects_per_s = 7000\ngatekeeper = 1\n"), "accepted");
  const auto expect = [](const std::string& rest) { return readError("[[expect]]\nmax = 1\n" + rest); };
  EXPECT_EQ(expect("fate = \"idle_closed\"\n"), "3:8: idle_closed needs [idle_clients]");
  EXPECT_EQ(expect("fate = \"figure\"\n"),
            "1:1: figure = \"...\" is required by fate = \"figure\", and permitted only with it");
  EXPECT_EQ(expect("fate = \"served\"\nfigure = \"inflight\"\n"),
            "1:1: figure = \"...\" is required by fate = \"figure\", and permitted only with it");
  EXPECT_EQ(expect("fate = \"figure\"\nfigure = \"inflight\"\n"), "accepted");
  EXPECT_EQ(readError("[fleet]\nconfig_patch = \"[1\"\n"), "2:16: config_patch is not a JSON object");
}

TEST(Scenario, TheShippedScenariosAreWellFormed) {
  for (const auto& file : std::filesystem::directory_iterator(LAB_SCENARIOS)) {
    if (file.path().extension() != ".toml") continue;
    const Scenario s = readScenario(file.path().string());
    EXPECT_FALSE(s.steps.empty()) << file.path();
    EXPECT_FALSE(s.expects.empty()) << file.path();
  }
}

// A random schedule depends on the seed alone; every fault is repaired, and no two overlap on one target.
TEST(Scenario, RandomFaultsDependOnlyOnTheSeedAndAreRepaired) {
  const std::string path = std::string(LAB_SCENARIOS) + "/random.toml";
  const auto describe = [](const Scenario& s) {
    std::string out;
    for (const Step& step : s.steps) out += step.kind + "@" + std::to_string(step.atS) + ";";
    return out;
  };
  const Scenario scenario = readScenario(path, 0, 0, 1);
  EXPECT_EQ(describe(scenario), describe(readScenario(path, 0, 0, 1)));
  EXPECT_NE(describe(scenario), describe(readScenario(path, 0, 0, 2)));
  std::map<std::string, int> open;
  double last = 0;
  for (const Step& step : scenario.steps) {
    EXPECT_GE(step.atS, last);
    last = step.atS;
    const std::string target =
        (step.gatekeeper ? "g" : "w") + std::to_string(step.gatekeeper.value_or(step.worker.value_or(-1)));
    const bool repair =
        step.kind == "restart" || step.kind == "cont" || step.kind == "heal" || step.kind == "revive";
    EXPECT_EQ(open[target], repair ? 1 : 0) << step.kind << " at " << step.atS;
    open[target] += repair ? -1 : 1;
  }
  for (const auto& [target, n] : open) EXPECT_EQ(n, 0) << target;
}

TEST(RunVerifier, A200MustCarryTheWorkersBodyForThatRequest) {
  RunVerifier verifier(2);
  verifier.sent(1, 0, 0, 1000), verifier.sent(2, 0, 0, 1000), verifier.sent(3, 0, 0, 1000);
  verifier.attemptReceived(1, 0, 0, 10, "body one"), verifier.attemptReceived(2, 0, 0, 10, "body two");
  verifier.answered(1, 20, 200, "body one");
  verifier.answered(2, 20, 200, "body one");  // the body of another request
  verifier.answered(3, 20, 200, "made here");
  EXPECT_EQ(verifier.count(RequestOutcome::served), 1);
  EXPECT_EQ(verifier.count(RequestOutcome::wrongBody), 2);
  EXPECT_EQ(verifier.violationCount(), 2);
}

TEST(RunVerifier, AttemptsPastTheCapOrAfterADrainAreViolations) {
  RunVerifier verifier(2);
  verifier.sent(1, 0, 0, 1000);
  verifier.attemptReceived(1, 0, 0, 10, "a"), verifier.attemptReceived(1, 1, 0, 20, "a");
  EXPECT_EQ(verifier.violationCount(), 0);
  verifier.attemptReceived(1, 2, 0, 30, "a");
  EXPECT_EQ(verifier.violationCount(), 1);
  verifier.drainReported(0, 3, 100);
  verifier.sent(2, 0, 0, 5000), verifier.sent(3, 1, 0, 5000);
  verifier.attemptReceived(2, 3, 0, 2100, "b");  // within 2 s
  // Another gatekeeper, which had no report that the worker drains.
  verifier.attemptReceived(3, 3, 1, 2500, "c");
  EXPECT_EQ(verifier.violationCount(), 1);
  verifier.attemptReceived(2, 3, 0, 2101, "b");
  EXPECT_EQ(verifier.violationCount(), 2);
  EXPECT_EQ(verifier.attempts([](int w) { return w == 3; }, 0, 1e9), 3);
}

TEST(RunVerifier, ACloseWithoutAnswerIsAViolationUnlessItsGatekeeperWasDown) {
  RunVerifier verifier(3);
  verifier.sent(1, 0, 0, 1000), verifier.sent(2, 1, 0, 1000), verifier.sent(3, 1, 500, 1000),
      verifier.sent(4, 1, 1600, 1000);
  verifier.gatekeeperDown(1, 100), verifier.gatekeeperUp(1, 1500);
  verifier.ended(1, 50, RequestOutcome::closed);
  verifier.ended(2, 200, RequestOutcome::closed);
  verifier.ended(3, 1400, RequestOutcome::timedOut);
  // Late: 1,600 ms after sending, later than the deadline plus half a second.
  verifier.answered(4, 3200, 503, "");
  EXPECT_EQ(verifier.violationCount(), 2);
  EXPECT_EQ(verifier.count(RequestOutcome::closed, 1), 1);
  verifier.sent(5, 0, 3000, 1000);
  verifier.endRun(5000);
  EXPECT_EQ(verifier.count(RequestOutcome::timedOut), 2);
  EXPECT_EQ(verifier.violationCount(), 3);
}

TEST(RunVerifier, TokensOnlyIncreaseAndHaveOneHolderEach) {
  RunVerifier verifier(3);
  EXPECT_TRUE(verifier.dutyRecordWritten(1, "a", 0));
  EXPECT_FALSE(verifier.dutyRecordWritten(1, "a", 1));
  EXPECT_TRUE(verifier.dutyRecordWritten(3, "b", 2));
  EXPECT_EQ(verifier.violationCount(), 0);
  EXPECT_FALSE(verifier.dutyRecordWritten(2, "a", 3));
  EXPECT_EQ(verifier.violationCount(), 1);
  EXPECT_FALSE(verifier.dutyRecordWritten(3, "a", 4));
  EXPECT_EQ(verifier.violationCount(), 2);
}

TEST(Figures, ReadsOnlyMetricLines) {
  const auto figures =
      readFigures("svc.inflight:3|g\nsvc.wait.loop.most:12|g\nother:4|g\nsvc.bad:x|g\nEOF\n");
  const std::map<std::string, long> expected{{"inflight", 3}, {"wait.loop.most", 12}};
  EXPECT_EQ(figures, expected);
  EXPECT_TRUE(readFigures("").empty());
}

TEST(Figures, MaximumPerGatekeeperAndIntervalOrNoneWithoutSamples) {
  Figures figures({"inflight"});
  figures.addSamples(0, 1000, "svc.inflight:3|g\nsvc.other:90|g\n");
  figures.addSamples(0, 2000, "svc.inflight:7|g\n");
  figures.addSamples(0, 3000, "svc.inflight:9|g\n");
  figures.addSamples(0, 3500, "");  // no answer
  figures.addSamples(1, 1500, "svc.inflight:5|g\n");
  EXPECT_EQ(figures.maximum("inflight", 0, 0, 3000), 7);
  EXPECT_EQ(figures.maximum("inflight", 0, 0, 3001), 9);
  EXPECT_EQ(figures.maximum("inflight", 1, 0, 4000), 5);
  EXPECT_EQ(figures.maximum("inflight", 1, 1501, 4000), std::nullopt);
  EXPECT_EQ(figures.maximum("inflight", 0, 3200, 4000), std::nullopt);
  EXPECT_EQ(figures.maximum("other", 0, 0, 4000), std::nullopt) << "not selected";
}

// A second with twice as many requests has a bar twice as high; a fault is drawn at its time, with its label.
TEST(Plot, DrawsCountsBySecondAndFaults) {
  std::vector<Request> requests(3);
  requests[0].sentMs = 100, requests[1].sentMs = 1500, requests[2].sentMs = 1900;
  for (Request& r : requests) r.outcome = RequestOutcome::served;
  const std::string svg = plotSvg({"t", 2, 1, {{1, "kill <g1>"}}}, requests);
  EXPECT_NE(svg.find("height=\"60.0\" fill=\"#4c9f70\""), std::string::npos);
  EXPECT_NE(svg.find("height=\"120.0\" fill=\"#4c9f70\""), std::string::npos);
  EXPECT_NE(svg.find("x1=\"490.0\""), std::string::npos) << "midpoint of 60 to 920";
  EXPECT_NE(svg.find("kill &lt;g1>"), std::string::npos);
}

}  // namespace
}  // namespace wingslip::lab
