#include "samphirehill/Limits/UpstreamPace.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace samphirehill {
namespace {

const TimePoint Now{seconds(100)};
constexpr int Slots = 48;

PacedUpstream upstream(UpstreamPace Own, int Running = 0, ToldPace Told = {}) {
  PacedUpstream Upstream;
  Upstream.Slots = Slots;
  Upstream.Running = Running;
  Upstream.Own = Own;
  Upstream.Told = Told;
  return Upstream;
}

UpstreamPace failedPace(TimePoint At = Now) {
  return paceAfterFailure({}, upstream({}), PaceCause::Failed, At);
}

TEST(UpstreamPaceTest, DoesNotLimitUpstreamAtFullPace) {
  PacedUpstream Full = upstream({}, Slots - 1);
  EXPECT_EQ(pacedSlots({}, Full, Now), Slots);
  EXPECT_TRUE(mayTakeAtPace({}, Full, {}, Now));
  EXPECT_EQ(paceToTell({}, Full, Now), ToldPace());
}

TEST(UpstreamPaceTest, LimitsNothingWhenSwitchedOff) {
  PaceSettings Off;
  Off.Enabled = false;
  EXPECT_EQ(startedPace(Off, Slots), UpstreamPace());
  UpstreamPace Failed =
      paceAfterFailure(Off, upstream({}), PaceCause::Failed, Now);
  EXPECT_EQ(pacedSlots(Off, upstream(Failed, 3, {1, 1}), Now), Slots);
  EXPECT_EQ(paceToTell(Off, upstream(Failed), Now), ToldPace());
}

TEST(UpstreamPaceTest, ReachesFullPaceInThreeRoundsOfAnswersAfterAStart) {
  PaceSettings Settings;
  UpstreamPace Pace = startedPace(Settings, Slots);
  EXPECT_EQ(Pace.Limit, Slots / 4);
  int Rounds = 0;
  for (; Pace.State != PaceState::Full && Rounds < 10; ++Rounds) {
    int Running = static_cast<int>(Pace.Limit);
    Pace = paceAfterAnswer(Settings, upstream(Pace, Running), Now, Now);
  }
  EXPECT_LE(Rounds, 3);
}

// Answers to requests of an earlier round say nothing about the raised limit.
TEST(UpstreamPaceTest, GrowsOnceInARound) {
  UpstreamPace Pace = failedPace(Now - seconds(2));
  Pace = paceAfterAnswer({}, upstream(Pace), Now - seconds(1), Now);
  EXPECT_EQ(Pace.Limit, 8);
  Pace = paceAfterAnswer({}, upstream(Pace), Now - seconds(1), Now);
  EXPECT_EQ(Pace.Limit, 8);
  Pace = paceAfterAnswer({}, upstream(Pace), Now, Now + seconds(1));
  EXPECT_EQ(Pace.Limit, Slots / 2);
}

TEST(UpstreamPaceTest, TrustsAnUpstreamAfterAnswersWithoutAFailure) {
  UpstreamPace Pace = failedPace(Now - seconds(1));
  for (int Answer = 0; Answer < PaceSettings().AnswersToTrust; ++Answer)
    Pace = paceAfterAnswer({}, upstream(Pace), Now - seconds(1), Now);
  EXPECT_EQ(Pace.State, PaceState::Full);
}

TEST(UpstreamPaceTest, FallsToProbesAfterAnyFailure) {
  for (PaceCause Cause :
       {PaceCause::Failed, PaceCause::Stalled, PaceCause::Unreachable}) {
    UpstreamPace Pace = paceAfterFailure({}, upstream({}, 30), Cause, Now);
    EXPECT_EQ(Pace.State, PaceState::Recovering);
    EXPECT_EQ(pacedSlots({}, upstream(Pace), Now), 2) << toString(Cause);
  }
}

TEST(UpstreamPaceTest, HalvesAfterARefusalBelowItsSlotsOnly) {
  UpstreamPace AtEight =
      paceAfterFailure({}, upstream({}, 8), PaceCause::Refused, Now);
  EXPECT_EQ(AtEight.Limit, 4);
  UpstreamPace WhenFull =
      paceAfterFailure({}, upstream({}, Slots), PaceCause::Refused, Now);
  EXPECT_EQ(WhenFull.State, PaceState::Full);
}

TEST(UpstreamPaceTest, GrowsByOneAboveTheLoadThatWasRefused) {
  UpstreamPace Pace =
      paceAfterFailure({}, upstream({}, 8), PaceCause::Refused, Now);
  Pace = paceAfterAnswer({}, upstream(Pace, 10), Now, Now);
  EXPECT_EQ(Pace.Limit, 5);
}

// It fails a part of its requests. Among others that see answers, one answer
// is enough.
TEST(UpstreamPaceTest, GivesAllSlotsAfterAnAnswerWhenOthersSeeAnswers) {
  ToldPace Told{2 * Slots, 2};
  UpstreamPace Pace =
      paceAfterAnswer({}, upstream(failedPace(), 20, Told), Now, Now);
  EXPECT_EQ(Pace.State, PaceState::Full);
}

TEST(UpstreamPaceTest, KeepsHalfOfTheSlotsForAnUpstreamHalfAsFast) {
  PacedUpstream Slow = upstream({});
  Slow.Slowness = 2;
  EXPECT_EQ(pacedSlots({}, Slow, Now), Slots / 2.0);
  Slow.Slowness = 1.2;
  EXPECT_EQ(pacedSlots({}, Slow, Now), Slots);
}

TEST(UpstreamPaceTest, ComparesAnswersWithTheExpectedTime) {
  EXPECT_TRUE(isAsExpected({}, seconds(9), Duration::zero()));
  EXPECT_TRUE(isAsExpected({}, milliseconds(290), milliseconds(100)));
  EXPECT_FALSE(isAsExpected({}, milliseconds(350), milliseconds(100)));
}

struct ToldCase {
  UpstreamPace Own;
  ToldPace Told;
  double Slots;
};

TEST(UpstreamPaceTest, TakesTheMeanOfThoseWithRecentEvidence) {
  UpstreamPace Answered;
  Answered.AnsweredAt = Now;
  UpstreamPace LongAgo;
  LongAgo.AnsweredAt = Now - seconds(5);
  const ToldCase Cases[] = {
      {{}, {3, 1}, 3},              // nothing of its own: follows
      {LongAgo, {3, 1}, 3},         // likewise
      {Answered, {1, 2}, 49 / 3.0}, // of three
      {Answered, {4, 4}, 52 / 5.0}, // of five
      {failedPace(), {96, 2}, 2},   // all others see full pace
      {Answered, {96, 2}, 48},
  };
  for (const ToldCase &Each : Cases)
    EXPECT_EQ(pacedSlots({}, upstream(Each.Own, 0, Each.Told), Now), Each.Slots)
        << Each.Told.Slots << " by " << Each.Told.Entries;
}

TEST(UpstreamPaceTest, TellsAFailureWhileItIsRecent) {
  UpstreamPace Failed = failedPace();
  EXPECT_EQ(paceToTell({}, upstream(Failed), Now), (ToldPace{2, 1}));
  EXPECT_EQ(paceToTell({}, upstream(Failed), Now + seconds(1)), ToldPace());
}

TEST(UpstreamPaceTest, TellsFullPaceWhileAnAnswerIsRecent) {
  UpstreamPace Answered;
  Answered.AnsweredAt = Now;
  EXPECT_EQ(paceToTell({}, upstream(Answered), Now), (ToldPace{Slots, 1}));
  EXPECT_EQ(paceToTell({}, upstream({}), Now), ToldPace());
}

// Four entries have had answers, one a failure.
TEST(UpstreamPaceTest, IgnoresASingleFailureAmongAnswers) {
  ToldPace Told{4 * Slots + 2, 5};
  EXPECT_EQ(pacedSlots({}, upstream({}, 0, Told), Now), Slots);
  EXPECT_EQ(paceAfterReports({}, upstream({}, 0, Told), true, Now),
            UpstreamPace());
}

TEST(UpstreamPaceTest, FollowsTheOthersAndReturnsWithThem) {
  UpstreamPace Pace = paceAfterReports({}, upstream({}, 0, {1, 1}), false, Now);
  EXPECT_EQ(Pace.State, PaceState::Recovering);
  EXPECT_EQ(Pace.Cause, PaceCause::Reported);
  EXPECT_EQ(Pace.Limit, 1);
  Pace = paceAfterReports({}, upstream(Pace), false, Now);
  EXPECT_EQ(Pace.Limit, 1) << "silence is no sign of recovery";
  Pace = paceAfterReports({}, upstream(Pace, 0, {32, 2}), true, Now);
  EXPECT_EQ(Pace.Limit, 16);
  Pace = paceAfterReports({}, upstream(Pace), true, Now);
  EXPECT_EQ(Pace.State, PaceState::Full);
}

TEST(UpstreamPaceTest, SendsNothingUnsafeToAnUpstreamThatHasJustFailed) {
  PacedRequest Unsafe;
  Unsafe.Repeatable = false;
  PacedUpstream Failed = upstream(failedPace());
  EXPECT_FALSE(mayTakeAtPace({}, Failed, Unsafe, Now));
  EXPECT_TRUE(mayTakeAtPace({}, Failed, {}, Now));
  EXPECT_TRUE(mayTakeAtPace({}, Failed, Unsafe, Now + seconds(1)));
  PacedUpstream Proved =
      upstream(paceAfterAnswer({}, upstream(failedPace(), 5), Now, Now), 0);
  EXPECT_TRUE(mayTakeAtPace({}, Proved, Unsafe, Now));
}

// Requests that hang there don't keep it from being probed.
TEST(UpstreamPaceTest, ProbesAnUpstreamWhereRequestsHang) {
  PacedRequest Request;
  Request.ReportAge = milliseconds(400);
  PacedUpstream Hanging = upstream(failedPace(), 10);
  EXPECT_TRUE(mayTakeAtPace({}, Hanging, Request, Now));
  Request.SentInWindow = 2;
  EXPECT_FALSE(mayTakeAtPace({}, Hanging, Request, Now));
}

// A refused request has not run.
TEST(UpstreamPaceTest, SendsUnsafeRequestsAfterARefusal) {
  PacedRequest Unsafe;
  Unsafe.Repeatable = false;
  UpstreamPace Refused =
      paceAfterFailure({}, upstream({}, 1), PaceCause::Refused, Now);
  EXPECT_TRUE(mayTakeAtPace({}, upstream(Refused), Unsafe, Now));
}

// Returns how many requests Entries entries together send to an upstream with
// Limit in one window, while reports show Running.
int sentInAWindow(double Limit, int Running, int Entries, std::uint32_t Seed) {
  std::minstd_rand Random(Seed);
  std::uniform_real_distribution<double> Draw(0, 1);
  UpstreamPace Pace = startedPace({}, Slots);
  Pace.Limit = Limit;
  int Sum = 0;
  for (int Entry = 0; Entry < Entries; ++Entry) {
    PacedRequest Request;
    Request.Share = 1.0 / Entries;
    Request.Holding = seconds(100);
    Request.ReportAge = milliseconds(400);
    Request.Draw = Draw(Random);
    while (mayTakeAtPace({}, upstream(Pace, Running + Request.SentInWindow),
                         Request, Now))
      ++Request.SentInWindow;
    Sum += Request.SentInWindow;
  }
  return Sum;
}

// All entries see the same free room in reports that are late.
TEST(UpstreamPaceTest, SendsNoMoreWhenThereAreMoreEntries) {
  for (int Entries : {2, 6, 64, 300}) {
    double Sum = 0;
    constexpr int Windows = 200;
    for (std::uint32_t Seed = 1; Seed <= Windows; ++Seed)
      Sum += sentInAWindow(12, 4, Entries, Seed);
    EXPECT_NEAR(Sum / Windows, 8, 1) << Entries << " entries";
  }
}

TEST(UpstreamPaceTest, SendsNothingBeyondTheLimitWithoutOtherEntries) {
  UpstreamPace Pace = startedPace({}, Slots);
  EXPECT_TRUE(mayTakeAtPace({}, upstream(Pace, 11), {}, Now));
  EXPECT_FALSE(mayTakeAtPace({}, upstream(Pace, 12), {}, Now));
}

} // namespace
} // namespace samphirehill
