// Tests the tokens of one entry for a rate that all entries share.
#include "samphirehill/Limits/RateShare.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};

// Sends whenever there is a token, each millisecond for Length. Returns how
// many requests were sent.
int sendAll(RateShare &Tokens, TimePoint From, Duration Length) {
  int Sent = 0;
  for (TimePoint Now = From; Now < From + Length; Now += milliseconds(1)) {
    for (; hasToken(Tokens, Now); ++Sent)
      takeToken(Tokens, Now);
  }
  return Sent;
}

RateShare shareOf(double Total, double Share, double Phase = 0) {
  RateShare Tokens = startedShare(Phase, Start);
  setRate(Tokens, Total, Share, Start);
  return Tokens;
}

TEST(RateShareTest, SendsAtItsPartOfTheRate) {
  RateShare Tokens = shareOf(8, 0.25);
  EXPECT_EQ(sendAll(Tokens, Start, seconds(10)), 19);
}

TEST(RateShareTest, SendsAtTimesThatDependOnThePhase) {
  for (double Phase : {0.0, 0.25, 0.5, 0.75}) {
    RateShare Tokens = shareOf(1, 1, Phase);
    EXPECT_EQ(tokenAt(Tokens, 0, Start),
              Start + std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(1 - Phase)));
  }
}

TEST(RateShareTest, DropsTokensThatWereNotUsedInTime) {
  RateShare Tokens = shareOf(10, 1);
  // Tokens are valid for 1.2 s at this rate.
  EXPECT_LE(sendAll(Tokens, Start + seconds(60), milliseconds(1)), 13);
  EXPECT_TRUE(hasToken(Tokens, Start + milliseconds(60'150)));
}

TEST(RateShareTest, BoundsRequestsInAnyFourSecondsAfterIdleTime) {
  for (double Rate : {0.3, 0.8, 3.7, 9.0, 40.0}) {
    RateShare Tokens = shareOf(Rate, 1);
    EXPECT_LE(sendAll(Tokens, Start + seconds(60), seconds(4)), 6 * Rate + 5)
        << Rate;
  }
}

TEST(RateShareTest, KeepsWhatHasBeenEarnedWhenTheRateChanges) {
  RateShare Tokens = shareOf(1, 0.5);
  setRate(Tokens, 1, 0, Start + seconds(1));
  EXPECT_FALSE(hasToken(Tokens, Start + seconds(9)));
  setRate(Tokens, 1, 1, Start + seconds(9));
  EXPECT_FALSE(hasToken(Tokens, Start + milliseconds(9'490)));
  EXPECT_TRUE(hasToken(Tokens, Start + milliseconds(9'510)));
}

TEST(RateShareTest, TellsWhenTheTurnOfALaterRequestComes) {
  RateShare Tokens = shareOf(2, 1);
  EXPECT_EQ(tokenAt(Tokens, 0, Start), Start + milliseconds(500));
  EXPECT_EQ(tokenAt(Tokens, 2, Start), Start + milliseconds(1'500));
  EXPECT_EQ(tokenAt(Tokens, 0, Start + seconds(1)), Start + seconds(1));
  setRate(Tokens, 0, 1, Start);
  EXPECT_EQ(tokenAt(Tokens, 0, Start), Start + LongestTokenWait);
}

TEST(RateShareTest, LetsFewerEntriesShareALowRate) {
  EXPECT_LT(mostSharers(0.25), 10u);
  EXPECT_GT(mostSharers(10), mostSharers(1));
  EXPECT_GT(mostSharers(100), 350u);
}

} // namespace
} // namespace samphirehill
