// What instances say of themselves, by life and time.
#include "samphirehill/Serving/InstanceWords.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Now{seconds(100)};
const InstanceLife First{InstanceId("i"), 1};
const InstanceLife Second{InstanceId("i"), 2}; // under the same name

TEST(InstanceWordsTest, KeepsLeavingOfOneLifeOnly) {
  InstanceWords Words;
  EXPECT_TRUE(noteLeaving(Words, First, Now));
  EXPECT_FALSE(noteLeaving(Words, First, Now + seconds(1)));
  EXPECT_TRUE(saysLeaving(Words, First));
  EXPECT_FALSE(saysLeaving(Words, Second));
}

TEST(InstanceWordsTest, HoldsTheLongestPause) {
  InstanceWords Words;
  EXPECT_EQ(noteQuiet(Words, First, seconds(5), 0, Now), Now + seconds(5));
  EXPECT_EQ(noteQuiet(Words, First, seconds(1), 0, Now + seconds(1)),
            Now + seconds(5));
  EXPECT_EQ(quietUntil(Words, First), Now + seconds(5));
  EXPECT_LE(quietUntil(Words, Second), Now);
}

TEST(InstanceWordsTest, BoundsPauseAndSpread) {
  InstanceWords Words;
  EXPECT_EQ(noteQuiet(Words, First, LongestPause * 5, 0, Now),
            Now + LongestPause);
  TimePoint Spread = noteQuiet(Words, Second, seconds(2), 0.999, Now);
  EXPECT_GT(Spread, Now + seconds(2));
  EXPECT_LE(Spread, Now + milliseconds(2'200));
}

TEST(InstanceWordsTest, ForgetsLivesThatHaveEnded) {
  InstanceWords Words;
  noteLeaving(Words, First, Now);
  forgetOldWords(Words, Now + LongestPause);
  EXPECT_TRUE(saysLeaving(Words, First));
  forgetOldWords(Words, Now + LongestPause + seconds(1));
  EXPECT_TRUE(Words.Said.empty());
}

} // namespace
} // namespace samphirehill::serving
