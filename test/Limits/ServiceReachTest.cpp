// Tests which zones count as cut off and whether an entry takes callers.
#include "samphirehill/Limits/ServiceReach.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};

TimePoint at(std::int64_t Milliseconds) {
  return Start + milliseconds(Milliseconds);
}

// An entry of a zone that is cut off at 0 ms: reports end, and a request that
// was sent before gets nothing any more.
TEST(ServiceReachTest, FindsZoneCutOffWithinASecondOfTheCut) {
  ZoneEvidence Evidence{at(-150), at(-20), {}};
  EXPECT_FALSE(isCutOff(Evidence, {}, at(600)));
  Evidence.FailedAt = at(480);
  EXPECT_FALSE(isCutOff(Evidence, {}, at(480)));
  EXPECT_TRUE(isCutOff(Evidence, {}, at(700)));
}

TEST(ServiceReachTest, ReachesZoneAgainWithFirstSignOfLife) {
  ZoneEvidence Evidence{at(-150), at(-20), at(5'000)};
  ASSERT_TRUE(isCutOff(Evidence, {}, at(5'500)));
  ZoneEvidence Heard = Evidence;
  Heard.HeardAt = at(5'500);
  EXPECT_FALSE(isCutOff(Heard, {}, at(5'500)));
  ZoneEvidence Answered = Evidence;
  Answered.AnsweredAt = at(5'500);
  EXPECT_FALSE(isCutOff(Answered, {}, at(5'500)));
}

// The entries of a zone were killed together; its engines go on serving.
TEST(ServiceReachTest, DoesNotTakeLossOfAllEntriesForACut) {
  ZoneEvidence Evidence{at(-150), at(-20), {}};
  EXPECT_FALSE(isCutOff(Evidence, {}, at(5'000)));
  Evidence.FailedAt = at(1'000); // one engine crashed
  Evidence.AnsweredAt = at(1'200);
  EXPECT_FALSE(isCutOff(Evidence, {}, at(5'000)));
}

TEST(ServiceReachTest, DoesNotJudgeZoneWithoutEntries) {
  EXPECT_FALSE(isCutOff({{}, at(0), at(1'000)}, {}, at(5'000)));
}

// Losses on a link lose single reports and single connects.
TEST(ServiceReachTest, LossesOnALinkAreNoCut) {
  EXPECT_FALSE(isCutOff({at(0), at(100), at(400)}, {}, at(600)));
}

// An entry learns from those of its zone, which sent to other upstreams.
TEST(ServiceReachTest, EntriesOfOneZoneDecideFromTheSameEvidence) {
  ZoneEvidence Relay{at(0), at(20), {}};
  ZoneEvidence Follower{at(-200), at(-50), at(520)};
  EXPECT_EQ(merge(Relay, Follower), merge(Follower, Relay));
  EXPECT_EQ(merge(Relay, merge(Relay, Follower)), merge(Relay, Follower));
  EXPECT_FALSE(isCutOff(Relay, {}, at(800)));
  EXPECT_TRUE(isCutOff(merge(Relay, Follower), {}, at(800)));
}

// A zone whose engines operators have taken out of service is cut off: neither
// its model's requests nor those for the plain service can be served there.
TEST(ServiceReachTest, DoesNotServeCallersWhenAllUpstreamsAreOutOfReach) {
  EXPECT_FALSE(servesCallers({{113, 10, 0}, {16, 2, 0}}));
  EXPECT_FALSE(servesCallers({{0, 10, 0}, {0, 2, 0}})) << "demand unknown";
}

TEST(ServiceReachTest, ServesCallersWhileOwnZoneHasUpstreams) {
  EXPECT_TRUE(servesCallers({{100, 10, 3}, {20, 6, 2}, {16, 3, 1}}));
  EXPECT_TRUE(servesCallers({{0, 10, 3}, {0, 3, 0}}));
}

TEST(ServiceReachTest, MostRequestsDecide) {
  EXPECT_FALSE(servesCallers({{100, 10, 0}, {16, 3, 1}}));
  EXPECT_TRUE(servesCallers({{100, 10, 3}, {16, 3, 0}}));
}

// A service that has lost all its upstreams can't be served from any zone: if
// all entries said that they aren't ready, the others' callers would lose too.
TEST(ServiceReachTest, OneBadServiceTakesNoZoneOut) {
  EXPECT_TRUE(servesCallers({{100, 0, 0}, {16, 3, 1}}));
  EXPECT_TRUE(servesCallers({{100, 0, 0}}));
  EXPECT_TRUE(servesCallers({}));
}

TEST(ServiceReachTest, TurnsNotReadyAtOnceAndReadyAtOnce) {
  Readiness State = nextReadiness({}, false, {}, at(0));
  EXPECT_EQ(State, (Readiness{false, at(0)}));
  EXPECT_EQ(nextReadiness(State, false, {}, at(500)), State);
  EXPECT_EQ(nextReadiness(State, true, {}, at(600)),
            (Readiness{true, at(600)}));
}

TEST(ServiceReachTest, StaysReadyForAWhileAfterACut) {
  Readiness Back = nextReadiness({false, at(0)}, true, {}, at(600));
  EXPECT_EQ(nextReadiness(Back, false, {}, at(1'500)), Back);
  EXPECT_EQ(nextReadiness(Back, false, {}, at(2'600)),
            (Readiness{false, at(2'600)}));
}

TEST(ServiceReachTest, CallersReturnWhenTheBalancerHasMovedOn) {
  Readiness Out{false, at(0)};
  EXPECT_EQ(returnAfterRotation(Out, {}, seconds(6), at(100)), seconds(2));
  EXPECT_EQ(returnAfterRotation(Out, {}, seconds(6), at(1'600)),
            milliseconds(500));
  EXPECT_EQ(returnAfterRotation(Out, {}, seconds(6), at(9'000)),
            milliseconds(100));
  EXPECT_EQ(returnAfterRotation(Out, {}, milliseconds(800), at(0)),
            milliseconds(400));
}

} // namespace
} // namespace samphirehill
