// Replays queues for places that become free at random, and compares the waits
// with the forecast that each request got when it arrived.
#include "samphirehill/Limits/WaitForecast.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <random>

namespace samphirehill {
namespace {

// An entry with a twentieth of the arrivals for 400 places, all of them taken.
PlaceFlow fullPlaces(double InTimePerSecond) {
  PlaceFlow Flow;
  Flow.Places = 400;
  Flow.Taken = 400;
  Flow.Own = 20;
  Flow.OwnShare = 0.05;
  Flow.InTimePerSecond = InTimePerSecond;
  Flow.HoldingSeconds = 1.0;
  return Flow;
}

// Returns the seconds until Count places have become free, PerSecond of them a
// second.
double drawWait(std::mt19937 &Random, int Count, double PerSecond) {
  std::exponential_distribution<double> Gap(PerSecond);
  double Sum = 0;
  for (int Place = 0; Place < Count; ++Place)
    Sum += Gap(Random);
  return Sum;
}

// Fewer than 2 in 100 of those that are told to wait would be refused later;
// 2.3 in 100 lie beyond two standard deviations.
TEST(WaitForecastTest, SendsWithinTheBoundNearlyAllThatWait) {
  std::mt19937 Random(7);
  constexpr int Draws = 20'000;
  for (double Own : {2.0, 7.0, 20.0, 100.0}) {
    for (std::size_t Ahead : {0u, 1u, 3u, 10u}) {
      PlaceFlow Flow = fullPlaces(500);
      Flow.Own = Own;
      Flow.OwnShare = Own / Flow.Places;
      std::optional<Duration> Bound = boundedWait(Flow, {}, Ahead);
      ASSERT_TRUE(Bound);
      int Beyond = 0;
      for (int Draw = 0; Draw < Draws; ++Draw)
        Beyond += drawWait(Random, static_cast<int>(Ahead) + 1, Own) >
                  toSeconds(*Bound);
      EXPECT_LT(Beyond, Draws * 25 / 1'000) << Own << " own, " << Ahead;
    }
  }
}

// The load: a burst of 1.8. The entry with 20 places sees one become free every
// 50 ms; its requests can wait 110 ms. Waiting is of no use there, in an entry
// with 200 places a second it is.
TEST(WaitForecastTest, RefusesAtOnceWhatWouldBeSentTooLateInABurst) {
  PlaceFlow Flow = fullPlaces(1.8 * 400);
  WaitQuery Query{0, milliseconds(110), seconds(4)};
  EXPECT_FALSE(waitProspect(Flow, {}, Query).Waits);
  Flow.Own = 200;
  Flow.OwnShare = 0.5;
  WaitProspect First = waitProspect(Flow, {}, Query);
  EXPECT_TRUE(First.Waits);
  EXPECT_TRUE(First.InTime);
  EXPECT_LE(First.Bound, milliseconds(110));
  Query.Ahead = 40;
  EXPECT_FALSE(waitProspect(Flow, {}, Query).Waits);
}

// The load: a burst has ended, its callers return, all places are still taken.
// Nearly all of them wait for part of a second only.
TEST(WaitForecastTest, LetsLateRequestsWaitOnceArrivalsInTimeLeaveRoom) {
  WaitQuery Late{0, -milliseconds(1), seconds(4)};
  EXPECT_FALSE(waitProspect(fullPlaces(500), {}, Late).Waits);
  PlaceFlow Flow = fullPlaces(240);
  WaitProspect Found = waitProspect(Flow, {}, Late);
  EXPECT_TRUE(Found.Waits);
  EXPECT_FALSE(Found.InTime);
  EXPECT_LT(Found.Bound, seconds(1));
  Flow.LateWaiting = 2'000; // they leave no time to answer
  EXPECT_FALSE(waitProspect(Flow, {}, Late).Waits);
}

// The load: all entries restart, and all callers return late. Nothing is in
// progress, so the cap for late requests must not bind.
TEST(WaitForecastTest, FillsEmptyPlacesWithLateRequestsAfterARestart) {
  PlaceFlow Flow = fullPlaces(290);
  Flow.Taken = Flow.Own = 0;
  EXPECT_GE(ownLateLimit(Flow, {}), Flow.OwnShare * Flow.Places);
  // A burst of requests in time alone fills all places.
  EXPECT_EQ(ownLateLimit(fullPlaces(2 * 400), {}), 0);
}

RC_GTEST_PROP(WaitForecastTest, MoreWorkNeverShortensAWait, ()) {
  PlaceFlow Flow = fullPlaces(*rc::gen::inRange(0, 800));
  Flow.Taken = *rc::gen::inRange(0, 500);
  Flow.LateWaiting = *rc::gen::inRange(0, 100);
  RC_ASSERT(ownLateLimit(Flow, {}) <= ownLimit(Flow, {}));
  std::size_t Ahead = *rc::gen::inRange<std::size_t>(0, 30);
  RC_ASSERT(*boundedWait(Flow, {}, Ahead) < *boundedWait(Flow, {}, Ahead + 1));
  std::optional<Duration> Before = boundedLateWait(Flow, {});
  Flow.LateWaiting += 1;
  std::optional<Duration> After = boundedLateWait(Flow, {});
  RC_ASSERT(Before.has_value() == After.has_value());
  RC_ASSERT(!Before || *Before < *After);
  Flow.InTimePerSecond += 10;
  RC_ASSERT(ownLateLimit(Flow, {}) <= ownLimit(Flow, {}));
}

} // namespace
} // namespace samphirehill
