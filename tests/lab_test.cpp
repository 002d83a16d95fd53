// The lab's scenario reader and judge, without processes: bad files are turned down whole with line and
// column, and each rule of the judge breaks on the events that break it and on no others.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "figures.hpp"
#include "judge.hpp"
#include "plot.hpp"
#include "scenario.hpp"

namespace wingslip::lab {
namespace {

std::string turnedDown(const std::string& text) {
  const auto path =
      std::filesystem::temp_directory_path() /
      ("lab_test_" + std::to_string(::testing::UnitTest::GetInstance()->random_seed()) + ".toml");
  std::ofstream(path) << text;
  try {
    readScenario(path.string());
  } catch (const BadScenario& error) {
    const std::string what = error.what();
    return what.substr(what.find(".toml:") + 6);
  }
  return "accepted";
}

TEST(Scenario, BadFilesAreTurnedDownWithLineAndColumn) {
  const std::string fleet = "[fleet]\ngatekeepers = 3\nworkers = 2\n";
  EXPECT_EQ(turnedDown(fleet + "[[step]]\nat_s = 1\ndo = \"explode\"\ngatekeeper = 0\n"),
            "6:6: unknown fault explode");
  EXPECT_EQ(turnedDown(fleet + "[[step]]\nat_s = 3\ndo = \"kill\"\ngatekeeper = 0\n[[step]]\nat_s = 2\ndo = "
                               "\"cont\"\ngatekeeper = 0\n"),
            "9:8: at_s 2.000000 is before the step ahead of it");
  EXPECT_EQ(turnedDown("[load]\nrate = -5\n"), "2:8: rate is -5.000000, not within 0.000000 to 20000.000000");
  EXPECT_EQ(turnedDown(fleet + "[[step]]\nat_s = 1\ndo = \"kill\"\ngatekeeper = 3\n"),
            "7:14: gatekeeper 3 does not exist (there are 3)");
  EXPECT_EQ(turnedDown(fleet + "[[step]]\nat_s = 1\ndo = \"cut\"\nzone = \"q\"\n"), "7:8: no such zone");
  EXPECT_EQ(turnedDown("[fleet\ngatekeepers = 3\n").substr(0, 12), "1:7: not TOM");
  EXPECT_EQ(turnedDown("lenght_s = 3\n"), "1:12: unknown key lenght_s");
  EXPECT_EQ(turnedDown("[[expect]]\nfate = \"served\"\n"), "1:1: an expectation needs min or max");
  const auto step = [&](const std::string& rest) {
    return turnedDown(fleet + "[[step]]\nat_s = 1\n" + rest);
  };
  EXPECT_EQ(step("do = \"cut\"\nlink = \"moon\"\n"), "7:8: link is one of discovery, peers, store");
  EXPECT_EQ(step("do = \"hup\"\ngatekeeper = 0\npatch = \"[1\"\n"), "8:9: patch is no JSON object");
  EXPECT_EQ(step("do = \"upgrade\"\ngatekeeper = 0\n"), "6:6: upgrade needs fleet.held_sockets = true");
  EXPECT_EQ(step("do = \"store_wipe\"\n"), "6:6: store_wipe needs a [store]");
  EXPECT_EQ(step("do = \"throttle\"\nlink = \"discovery\"\n"), "6:6: throttle needs bytes_per_s");
}

TEST(Scenario, BadIdleClientsAndFiguresAreTurnedDownWithLineAndColumn) {
  const auto idle = [](const std::string& rest) {
    return turnedDown("length_s = 10\n[idle_clients]\n" + rest);
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
            "2:1: request_share and part_share are more than 1 together");
  EXPECT_EQ(idle("each = 5\nconnects_per_s = 7000\n"),
            "2:1: more than 200,000 connections: lower connects_per_s or until_s");
  EXPECT_EQ(idle("each = 5\nconnects_per_s = 7000\ngatekeeper = 1\n"), "accepted");
  const auto expect = [](const std::string& rest) { return turnedDown("[[expect]]\nmax = 1\n" + rest); };
  EXPECT_EQ(expect("fate = \"idle_closed\"\n"), "3:8: idle_closed needs [idle_clients]");
  EXPECT_EQ(expect("fate = \"figure\"\n"), "1:1: a figure is named by figure = \"...\", and only it");
  EXPECT_EQ(expect("fate = \"served\"\nfigure = \"inflight\"\n"),
            "1:1: a figure is named by figure = \"...\", and only it");
  EXPECT_EQ(expect("fate = \"figure\"\nfigure = \"inflight\"\n"), "accepted");
  EXPECT_EQ(turnedDown("[fleet]\nconfig_patch = \"[1\"\n"), "2:16: config_patch is no JSON object");
}

TEST(Scenario, TheShippedScenariosAreWellFormed) {
  for (const auto& file : std::filesystem::directory_iterator(LAB_SCENARIOS)) {
    if (file.path().extension() != ".toml") continue;
    const Scenario s = readScenario(file.path().string());
    EXPECT_FALSE(s.steps.empty()) << file.path();
    EXPECT_FALSE(s.expects.empty()) << file.path();
  }
}

// A random schedule is the seed's alone; every fault is undone, none overlaps another on its target.
TEST(Scenario, RandomFaultsComeFromTheSeedAndAreUndone) {
  const std::string path = std::string(LAB_SCENARIOS) + "/random.toml";
  const auto said = [](const Scenario& s) {
    std::string out;
    for (const Step& step : s.steps) out += step.what + "@" + std::to_string(step.atS) + ";";
    return out;
  };
  const Scenario one = readScenario(path, 0, 0, 1);
  EXPECT_EQ(said(one), said(readScenario(path, 0, 0, 1)));
  EXPECT_NE(said(one), said(readScenario(path, 0, 0, 2)));
  std::map<std::string, int> open;
  double last = 0;
  for (const Step& step : one.steps) {
    EXPECT_GE(step.atS, last);
    last = step.atS;
    const std::string target =
        (step.gatekeeper ? "g" : "w") + std::to_string(step.gatekeeper.value_or(step.worker.value_or(-1)));
    const bool undo =
        step.what == "restart" || step.what == "cont" || step.what == "heal" || step.what == "revive";
    EXPECT_EQ(open[target], undo ? 1 : 0) << step.what << " at " << step.atS;
    open[target] += undo ? -1 : 1;
  }
  for (const auto& [target, n] : open) EXPECT_EQ(n, 0) << target;
}

TEST(Judge, A200MustCarryTheWorkersBodyForThatRequest) {
  Judge j(2);
  j.sent(1, 0, 0, 1000), j.sent(2, 0, 0, 1000), j.sent(3, 0, 0, 1000);
  j.attempt(1, 0, 0, 10, "body one"), j.attempt(2, 0, 0, 10, "body two");
  j.answered(1, 20, 200, "body one");
  j.answered(2, 20, 200, "body one");  // another request's body
  j.answered(3, 20, 200, "made here");
  EXPECT_EQ(j.count(Fate::served), 1);
  EXPECT_EQ(j.count(Fate::wrong), 2);
  EXPECT_EQ(j.brokenCount(), 2);
}

TEST(Judge, AttemptsPastTheCapAndAfterADrainBreakRules) {
  Judge j(2);
  j.sent(1, 0, 0, 1000);
  j.attempt(1, 0, 0, 10, "a"), j.attempt(1, 1, 0, 20, "a");
  EXPECT_EQ(j.brokenCount(), 0);
  j.attempt(1, 2, 0, 30, "a");
  EXPECT_EQ(j.brokenCount(), 1);
  j.drainTold(0, 3, 100);
  j.sent(2, 0, 0, 5000), j.sent(3, 1, 0, 5000);
  j.attempt(2, 3, 0, 2100, "b");  // within 2 s
  j.attempt(3, 3, 1, 2500, "c");  // another gatekeeper, not told
  EXPECT_EQ(j.brokenCount(), 1);
  j.attempt(2, 3, 0, 2101, "b");
  EXPECT_EQ(j.brokenCount(), 2);
  EXPECT_EQ(j.attempts([](int w) { return w == 3; }, 0, 1e9), 3);
}

TEST(Judge, ACloseIsALossUnlessItsGatekeeperWasDown) {
  Judge j(3);
  j.sent(1, 0, 0, 1000), j.sent(2, 1, 0, 1000), j.sent(3, 1, 500, 1000), j.sent(4, 1, 1600, 1000);
  j.down(1, 100), j.up(1, 1500);
  j.ended(1, 50, Fate::closed);
  j.ended(2, 200, Fate::closed);
  j.ended(3, 1400, Fate::lost);
  j.answered(4, 3200, 503, "");  // late: 1,600 ms after it was sent, past its deadline and half a second
  EXPECT_EQ(j.brokenCount(), 2);
  EXPECT_EQ(j.count(Fate::closed, 1), 1);
  j.sent(5, 0, 3000, 1000);
  j.close(5000);
  EXPECT_EQ(j.count(Fate::lost), 2);
  EXPECT_EQ(j.brokenCount(), 3);
}

TEST(Judge, TokensOnlyRiseAndHaveOneHolderEach) {
  Judge j(3);
  EXPECT_TRUE(j.recorded(1, "a", 0));
  EXPECT_FALSE(j.recorded(1, "a", 1));
  EXPECT_TRUE(j.recorded(3, "b", 2));
  EXPECT_EQ(j.brokenCount(), 0);
  EXPECT_FALSE(j.recorded(2, "a", 3));
  EXPECT_EQ(j.brokenCount(), 1);
  EXPECT_FALSE(j.recorded(3, "a", 4));
  EXPECT_EQ(j.brokenCount(), 2);
}

TEST(Figures, ReadsTheLinesThatAreFiguresAndNoOthers) {
  const auto figures =
      readFigures("svc.inflight:3|g\nsvc.wait.loop.most:12|g\nother:4|g\nsvc.bad:x|g\nEOF\n");
  const std::map<std::string, long> expected{{"inflight", 3}, {"wait.loop.most", 12}};
  EXPECT_EQ(figures, expected);
  EXPECT_TRUE(readFigures("").empty());
}

TEST(Figures, TheLargestOfAGatekeeperInATimeAndNoneWhereItToldNone) {
  Figures figures({"inflight"});
  figures.told(0, 1000, "svc.inflight:3|g\nsvc.other:90|g\n");
  figures.told(0, 2000, "svc.inflight:7|g\n");
  figures.told(0, 3000, "svc.inflight:9|g\n");
  figures.told(0, 3500, "");  // no answer
  figures.told(1, 1500, "svc.inflight:5|g\n");
  EXPECT_EQ(figures.most("inflight", 0, 0, 3000), 7);
  EXPECT_EQ(figures.most("inflight", 0, 0, 3001), 9);
  EXPECT_EQ(figures.most("inflight", 1, 0, 4000), 5);
  EXPECT_EQ(figures.most("inflight", 1, 1501, 4000), std::nullopt);
  EXPECT_EQ(figures.most("inflight", 0, 3200, 4000), std::nullopt);
  EXPECT_EQ(figures.most("other", 0, 0, 4000), std::nullopt) << "not asked for";
}

// A second with twice the requests has bars twice as high; a fault is drawn at its time, with its label.
TEST(Plot, DrawsCountsBySecondAndFaults) {
  std::vector<Request> requests(3);
  requests[0].sentMs = 100, requests[1].sentMs = 1500, requests[2].sentMs = 1900;
  for (Request& r : requests) r.fate = Fate::served;
  const std::string svg = plotSvg({"t", 2, 1, {{1, "kill <g1>"}}}, requests);
  EXPECT_NE(svg.find("height=\"60.0\" fill=\"#4c9f70\""), std::string::npos);
  EXPECT_NE(svg.find("height=\"120.0\" fill=\"#4c9f70\""), std::string::npos);
  EXPECT_NE(svg.find("x1=\"490.0\""), std::string::npos) << "halfway of 60 to 920";
  EXPECT_NE(svg.find("kill &lt;g1>"), std::string::npos);
}

}  // namespace
}  // namespace wingslip::lab
