// The day on which answers in time collapsed, played on the choice of a group
// and the order of waiting requests: two bursts of 4 s at 1.8 and 2.2 times the
// requests of one model.
#include "OverloadModel.h"

#include <gtest/gtest.h>

#include <numeric>

namespace samphirehill::bench {
namespace {

constexpr std::size_t FirstBurst = 5; // row in which it begins
constexpr std::size_t SecondBurst = 13;

OverloadScene burstScene(std::uint32_t Seed) {
  OverloadScene Scene;
  Scene.Length = seconds(34);
  Scene.Bursts = {{seconds(10), seconds(14), 1.8},
                  {seconds(26), seconds(30), 2.2}};
  Scene.Seed = Seed;
  return Scene;
}

OverloadRow sumOf(const std::vector<OverloadRow> &Rows) {
  OverloadRow Sum;
  for (const OverloadRow &Each : Rows)
    Sum += Each;
  return Sum;
}

// Mean answers in aim of the rows before the first burst.
int levelBefore(const std::vector<OverloadRow> &Rows) {
  return std::accumulate(Rows.begin(), Rows.begin() + FirstBurst, 0,
                         [](int Sum, const OverloadRow &Each) {
                           return Sum + Each.InAim;
                         }) /
         static_cast<int>(FirstBurst);
}

// The play on the bench gave 0.53 of the model's answers in aim (two seeds).
TEST(OverloadTest, CollapsesAsSeenWhereEntriesTakeWhatTheySeeFree) {
  OverloadRow Sum;
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    std::vector<OverloadRow> Rows =
        play(burstScene(Seed), rulesWithoutShares());
    OverloadRow Day = sumOf(Rows);
    Sum.Asked += Day.Asked;
    Sum.InAim += Day.InAim;
    EXPECT_LT(Rows[FirstBurst + 2].InAim * 2, levelBefore(Rows)) << Seed;
  }
  EXPECT_NEAR(static_cast<double>(Sum.InAim) / Sum.Asked, 0.53, 0.15 * 0.53);
}

TEST(OverloadTest, KeepsAnswersInTimeThroughBursts) {
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    std::vector<OverloadRow> Rows = play(burstScene(Seed), {});
    int Least = levelBefore(Rows) * 85 / 100;
    for (std::size_t Row = 0; Row < Rows.size() - 1; ++Row) {
      if (Row == FirstBurst || Row == SecondBurst)
        continue;
      EXPECT_GE(Rows[Row].InAim, Least) << "seed " << Seed << " row " << Row;
    }
    OverloadRow Day = sumOf(Rows);
    EXPECT_LT(Day.Late * 10, Day.Asked) << Seed;
    EXPECT_LT(Day.Rejected * 50, Day.Sent) << Seed;
    EXPECT_LT(Day.Sent * 100, Day.Asked * 105) << Seed;
  }
}

// The aim: in any two seconds of a burst of 1.5 to 2.5 the answers in aim stay
// above 0.9 of what the same places served before it. The first row holds
// requests that were sent before the reports show the burst.
TEST(OverloadTest, ServesInABurstWhatThePlacesServedBefore) {
  for (double Factor : {1.5, 1.8, 2.2, 2.5}) {
    int Level = 0;
    int InBurst = 0;
    for (std::uint32_t Seed : {1u, 2u, 3u}) {
      OverloadScene Scene = burstScene(Seed);
      Scene.Length = seconds(16);
      Scene.Bursts = {{seconds(10), seconds(14), Factor}};
      std::vector<OverloadRow> Rows = play(Scene, {});
      Level += levelBefore(Rows);
      InBurst += Rows[FirstBurst + 1].InAim;
    }
    EXPECT_GE(InBurst * 10, Level * 9) << Factor;
  }
}

// Who can't be served is told at once: fewer than 2 in 100 of those that were
// told to wait are refused later, and fewer than 100 attempts of a day are held
// for over 250 ms first.
TEST(OverloadTest, HoldsNobodyInVainInBurstsAndWaves) {
  for (double Swing : {0.0, 0.55}) {
    OverloadScene Scene = burstScene(1);
    Scene.Swing = Swing;
    OverloadRow Day = sumOf(play(Scene, {}));
    EXPECT_LE(Day.WaitedInVain * 50, Day.Waited) << Swing;
    EXPECT_LT(Day.HeldLong, 100) << Swing;
  }
}

// All entries restart, and all their callers return late within a second. Four
// seconds later nothing is left of it.
TEST(OverloadTest, ServesCallersThatAllReturnLateAfterARestart) {
  constexpr std::size_t Restart = 5; // row
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    OverloadScene Scene;
    Scene.Length = seconds(20);
    Scene.DownFrom = seconds(10);
    Scene.DownUntil = milliseconds(11'500);
    Scene.Seed = Seed;
    std::vector<OverloadRow> Rows = play(Scene, {});
    int Least = levelBefore(Rows) * 9 / 10;
    for (std::size_t Row = Restart + 3; Row < Rows.size() - 1; ++Row)
      EXPECT_GE(Rows[Row].InAim, Least) << "seed " << Seed << " row " << Row;
    OverloadRow Day = sumOf(Rows);
    EXPECT_LT(Day.HeldLong, 100) << Seed;
    EXPECT_LT(Day.Rejected * 50, Day.Sent) << Seed;
  }
}

TEST(OverloadTest, RefusesHardlyAnyThatWaitedAfterARestart) {
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    OverloadScene Scene;
    Scene.Length = seconds(20);
    Scene.DownFrom = seconds(10);
    Scene.DownUntil = milliseconds(11'500);
    Scene.Seed = Seed;
    OverloadRow Day = sumOf(play(Scene, {}));
    EXPECT_LE(Day.WaitedInVain * 50, Day.Waited) << Seed;
  }
}

TEST(OverloadTest, RefusesNothingAtHalfLoad) {
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    OverloadScene Scene;
    Scene.PerSecond = 230; // of about 460
    Scene.Seed = Seed;
    OverloadRow Day = sumOf(play(Scene, {}));
    EXPECT_EQ(Day.Refused, 0) << Seed;
    EXPECT_GE(Day.InAim * 100, Day.Asked * 95) << Seed;
  }
}

// Who levels all of a difference within the age of the news makes it grow.
TEST(OverloadTest, LevelsLoadsWithoutSwinging) {
  OverloadScene Scene;
  Scene.PerSecond = 380;
  OverloadRules Hasty;
  Hasty.Placement.LevelingHorizon = 1.0;
  EXPECT_LT(sumOf(play(Scene, {})).Spread,
            0.8 * sumOf(play(Scene, Hasty)).Spread);
}

} // namespace
} // namespace samphirehill::bench
