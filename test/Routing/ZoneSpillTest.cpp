// Tests how much work goes to other zones.
#include "samphirehill/Routing/ZoneSpill.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace samphirehill {
namespace {

TEST(ZoneSpillTest, KeepsWorkInItsZoneWhileThatIsNotFilled) {
  EXPECT_EQ(spillShare({100, 0}, {200, 0}, {}), 0);
  EXPECT_EQ(spillShare({100, 60}, {200, 0}, {}), 0);
}

TEST(ZoneSpillTest, SpillsOverSteadilyAsTheZoneFills) {
  double Before = 0;
  for (double Taken = 60; Taken <= 100; Taken += 1) {
    double Share = spillShare({100, Taken}, {200, 60}, {});
    EXPECT_GE(Share, Before);
    EXPECT_LE(Share - Before, 0.0151);
    Before = Share;
  }
  EXPECT_NEAR(Before, 0.6, 1e-9);
}

TEST(ZoneSpillTest, KeepsWorkInItsZoneWhileOthersAreAsFull) {
  EXPECT_EQ(spillShare({100, 90}, {200, 180}, {}), 0);
  EXPECT_EQ(spillShare({100, 100}, {200, 200}, {}), 0);
  EXPECT_EQ(spillShare({100, 90}, {0, 0}, {}), 0) << "no other zone";
}

TEST(ZoneSpillTest, SpillsAllWorkOfAZoneWithoutPlaces) {
  EXPECT_EQ(spillShare({0, 0}, {200, 100}, {}), 1);
}

TEST(ZoneSpillTest, ChoosesInProportionAndLeavesAUniformDraw) {
  EXPECT_EQ(chooseZone(0.0, 0.0), (SpillChoice{false, 0.0}));
  EXPECT_EQ(chooseZone(0.5, 0.25), (SpillChoice{true, 0.5}));
  EXPECT_EQ(chooseZone(0.5, 0.75), (SpillChoice{false, 0.5}));
  EXPECT_EQ(chooseZone(1.0, 0.5), (SpillChoice{true, 0.5}));
}

// Requests hold their place for 1 s; what is taken is known 400 ms late. The
// first zone is asked for 1.5 times its places, the other two for half.
TEST(ZoneSpillTest, SettlesWithoutSwingsWhenReportsAreLate) {
  constexpr double Step = 0.05; // seconds
  std::deque<double> OwnTaken(9, 0.0);
  std::deque<double> OthersTaken(9, 0.0);
  double Least = 1;
  double Most = 0;
  for (int At = 0; At < 600; ++At) {
    double Share =
        spillShare({100, OwnTaken.front()}, {200, OthersTaken.front()}, {});
    double Own = OwnTaken.back() + Step * (150 * (1 - Share) - OwnTaken.back());
    double Others =
        OthersTaken.back() + Step * (100 + 150 * Share - OthersTaken.back());
    OwnTaken.push_back(Own);
    OthersTaken.push_back(Others);
    OwnTaken.pop_front();
    OthersTaken.pop_front();
    if (At < 400)
      continue;
    Least = std::min(Least, Share);
    Most = std::max(Most, Share);
    EXPECT_LT(Own, 100);
    EXPECT_LT(Others, 200);
  }
  EXPECT_LT(Most - Least, 0.05);
}

} // namespace
} // namespace samphirehill
