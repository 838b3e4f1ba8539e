// Tests notices of instances, by life and time.
#include "samphirehill/Serving/InstanceNotices.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Now{seconds(100)};
const InstanceLife First{InstanceId("i"), 1};
const InstanceLife Second{InstanceId("i"), 2}; // a later life of First

TEST(InstanceNoticesTest, AppliesLeavingToOneLifeOnly) {
  InstanceNotices Notices;
  EXPECT_TRUE(noteLeaving(Notices, First, Now));
  EXPECT_FALSE(noteLeaving(Notices, First, Now + seconds(1)));
  EXPECT_TRUE(isLeaving(Notices, First));
  EXPECT_FALSE(isLeaving(Notices, Second));
}

TEST(InstanceNoticesTest, KeepsLongestPause) {
  InstanceNotices Notices;
  EXPECT_EQ(noteQuiet(Notices, First, seconds(5), 0, Now), Now + seconds(5));
  EXPECT_EQ(noteQuiet(Notices, First, seconds(1), 0, Now + seconds(1)),
            Now + seconds(5));
  EXPECT_EQ(quietUntil(Notices, First), Now + seconds(5));
  EXPECT_LE(quietUntil(Notices, Second), Now);
}

TEST(InstanceNoticesTest, BoundsPauseAndSpread) {
  InstanceNotices Notices;
  EXPECT_EQ(noteQuiet(Notices, First, LongestPause * 5, 0, Now),
            Now + LongestPause);
  TimePoint Spread = noteQuiet(Notices, Second, seconds(2), 0.999, Now);
  EXPECT_GT(Spread, Now + seconds(2));
  EXPECT_LE(Spread, Now + milliseconds(2'200));
}

TEST(InstanceNoticesTest, ErasesNoticesOfLivesThatHaveEnded) {
  InstanceNotices Notices;
  noteLeaving(Notices, First, Now);
  eraseExpiredNotices(Notices, Now + LongestPause);
  EXPECT_TRUE(isLeaving(Notices, First));
  eraseExpiredNotices(Notices, Now + LongestPause + seconds(1));
  EXPECT_TRUE(Notices.ByLife.empty());
}

} // namespace
} // namespace samphirehill::serving
