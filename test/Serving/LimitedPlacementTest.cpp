// Tests the placement of requests at upstreams that state a limit.
#include "samphirehill/Serving/LimitedPlacement.h"

#include "samphirehill/Serving/Placement.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(50)};
const ServiceModel Kind{PlainService, ""};

// Two instances of a plain service, the first in the zone of this entry.
class LimitedPlacementTest : public testing::Test {
protected:
  LimitedPlacementTest() {
    for (int Number = 0; Number < 2; ++Number) {
      Upstream Added;
      Added.Key = {InstanceId("i" + std::to_string(Number)), 0};
      Added.Service = PlainService;
      Added.Zone = ZoneId(Number == 0 ? "north" : "south");
      Added.Slots = 6;
      Added.BornMilliseconds = 1;
      Usable.push_back(Added);
    }
    updateUpstreams(Book, Usable);
    Book.Limits.Self = EntryId("edge-1");
    Query.Service = PlainService;
    Query.OwnZone = ZoneId("north");
    Query.TimeLeft = seconds(1);
  }

  InstanceLife life(int Number) const { return lifeOf(Usable.at(Number)); }

  // The instance Number states PerSecond in an answer to this entry.
  bool state(int Number, std::optional<double> PerSecond, TimePoint At,
             bool Sealed = true) {
    AnswerFacts Answer;
    Answer.Limit = PerSecond;
    Answer.Sealed = Sealed;
    return noteAnswerLimit(Book, life(Number), Answer, Metrics, At);
  }

  void updateShares(double OwnRate, TimePoint At) {
    updateLimitShares(Book, {{Kind, OwnRate}}, Metrics, At);
  }

  std::vector<Upstream> Usable;
  UpstreamBook Book;
  PlacementQuery Query;
  ServingMetrics Metrics;
};

TEST_F(LimitedPlacementTest, SendsElsewhereWhileTheLimitAllowsNothing) {
  EXPECT_EQ(place(Book, Query, Start).Chosen, Usable[0].Key);
  EXPECT_TRUE(state(0, 2, Start));
  updateShares(10, Start);
  EXPECT_EQ(place(Book, Query, Start).Chosen, Usable[1].Key);
}

TEST_F(LimitedPlacementTest, UsesTheTokensOfALimitedUpstream) {
  state(0, 2, Start);
  updateShares(10, Start);
  TimePoint Later = Start + milliseconds(500);
  EXPECT_EQ(place(Book, Query, Later).Chosen, Usable[0].Key);
  noteSent(Book, Usable[0].Key, Query, Later);
  EXPECT_EQ(place(Book, Query, Later).Chosen, Usable[1].Key);
}

TEST_F(LimitedPlacementTest, ReportsThatAllUpstreamsAreLimited) {
  state(0, 2, Start);
  state(1, 3, Start);
  updateShares(10, Start);
  EXPECT_EQ(place(Book, Query, Start).Reason, PlacementFailure::Limited);
  EXPECT_EQ(place(Book, Query, Start).Chosen, std::nullopt);
}

TEST_F(LimitedPlacementTest, ReportsLimitedWhenTheOthersAreTriedOrQuiet) {
  state(0, 2, Start);
  updateShares(10, Start);
  Query.NowWithSuspension = Start;
  noteQuiet(Book.Notices, life(1), seconds(5), 0, Start);
  EXPECT_EQ(place(Book, Query, Start).Reason, PlacementFailure::Limited);
  Query.NowWithSuspension = Start + seconds(6);
  Query.Tried = {Usable[1].Key};
  EXPECT_EQ(place(Book, Query, Start).Reason, PlacementFailure::Limited);
}

TEST_F(LimitedPlacementTest, ReportsFullWhenAnUpstreamWithoutLimitIsFull) {
  state(0, 2, Start);
  updateShares(10, Start);
  Book.Upstreams.at(Usable[1].Key).OwnLoad.Running = 6;
  EXPECT_EQ(place(Book, Query, Start).Reason, PlacementFailure::Full);
}

TEST_F(LimitedPlacementTest, EndsOnlyWithASealedAnswerWithoutLimit) {
  state(0, 2, Start);
  EXPECT_FALSE(state(0, std::nullopt, Start + seconds(1), false));
  EXPECT_TRUE(isLimited(Book, Usable[0]));
  EXPECT_TRUE(state(0, std::nullopt, Start + seconds(2), true));
  EXPECT_FALSE(isLimited(Book, Usable[0]));
}

TEST_F(LimitedPlacementTest, KeepsTheLimitThatAnotherEntryRead) {
  applyLimitNews(Book, {{life(0), 2.0, Start}}, Start);
  updateShares(10, Start);
  EXPECT_EQ(place(Book, Query, Start).Chosen, Usable[1].Key);
  applyLimitNews(Book, {{life(0), std::nullopt, Start + seconds(1)}},
                 Start + seconds(1));
  EXPECT_EQ(place(Book, Query, Start + seconds(1)).Chosen, Usable[0].Key);
}

TEST_F(LimitedPlacementTest, SharesTheLimitByDemand) {
  state(0, 8, Start);
  Book.PeerDemand[Kind] = 30;
  updateShares(10, Start);
  EXPECT_DOUBLE_EQ(Book.Stated.ByLife.at(life(0)).Tokens.PerSecond, 2);
}

TEST_F(LimitedPlacementTest, SharesTheLimitEquallyWhileDemandIsUnknown) {
  state(0, 8, Start);
  Book.Limits.Entries = 64;
  updateShares(10, Start);
  EXPECT_DOUBLE_EQ(Book.Stated.ByLife.at(life(0)).Tokens.PerSecond, 0.125);
}

TEST_F(LimitedPlacementTest, TellsWhenTheTurnOfARequestComes) {
  state(0, 1, Start);
  state(1, 1, Start);
  updateShares(10, Start);
  Duration First = waitForLimits(Book, Query, 0, Start);
  Duration Second = waitForLimits(Book, Query, 1, Start);
  EXPECT_LE(First, Second);
  EXPECT_LE(Second, seconds(1));
  EXPECT_GT(waitForLimits(Book, Query, 2, Start), seconds(1));
  Query.Tried = {Usable[0].Key, Usable[1].Key};
  EXPECT_EQ(waitForLimits(Book, Query, 0, Start), LongestTokenWait);
}

TEST_F(LimitedPlacementTest, CountsTheRoomThatTheLimitLeaves) {
  state(0, 10, Start);
  EXPECT_DOUBLE_EQ(placesWithinLimit(Book, Usable[0], 6, 0.3), 3);
  EXPECT_DOUBLE_EQ(placesWithinLimit(Book, Usable[0], 6, 2), 6);
  EXPECT_DOUBLE_EQ(placesWithinLimit(Book, Usable[1], 6, 0.3), 6);
}

} // namespace
} // namespace samphirehill::serving
