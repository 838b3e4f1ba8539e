#include "samphirehill/Serving/WaitPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace samphirehill::serving {
namespace {

// A burst fills all groups; requests of two priorities wait, and one of them
// can no longer meet its objective.
TEST(WaitPolicyTest, ServesUrgentAndAttainableRequestsFirst) {
  TimePoint Now{seconds(10)};
  std::vector<WaitingRequest> Waiting{
      {1, 2, Now + milliseconds(100)}, // less urgent
      {2, 1, Now - milliseconds(50)},  // past its objective
      {3, 1, Now + milliseconds(300)},
      {4, 1, Now + milliseconds(200)}};
  std::vector<std::uint64_t> Order;
  while (!Waiting.empty()) {
    std::size_t Next = nextToServe(Waiting, Now);
    Order.push_back(Waiting[Next].Number);
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Next));
  }
  EXPECT_EQ(Order, (std::vector<std::uint64_t>{4, 3, 2, 1}));
}

// An organisation that has its share waits behind the others, whatever its
// priority, and is refused before them.
TEST(WaitPolicyTest, ServesRequestsWithinTheirShareFirst) {
  TimePoint Now{seconds(10)};
  TimePoint StartBy = Now + milliseconds(100);
  std::vector<WaitingRequest> Waiting{{1, 0, StartBy, false, true},
                                      {2, 0, StartBy, false, false},
                                      {3, 2, StartBy, false, false}};
  EXPECT_EQ(nextToServe(Waiting, Now), 1u);
  EXPECT_EQ(firstToRefuse(Waiting, Now), 0u);
}

// Result of simulateOverload: for 20 s one model receives twice the requests
// that its groups have places for. Time advances in steps of 10 ms; a place
// becomes free every 100 ms.
struct OverloadResult {
  int ServedInTime = 0;
  int Places = 0;
  Duration LongestWait{}; // of refused requests
};

OverloadResult simulateOverload(const WaitLimits &Limits) {
  constexpr Duration StartWithin = milliseconds(300); // of an objective of 500
  std::vector<WaitingRequest> Waiting;
  std::map<std::uint64_t, TimePoint> ArrivedAt;
  EventRate Rate;
  OverloadResult Result;
  std::uint64_t Number = 0;
  auto Refuse = [&](std::size_t Index, TimePoint Now) {
    Result.LongestWait =
        std::max(Result.LongestWait, Now - ArrivedAt[Waiting[Index].Number]);
    Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Index));
  };
  for (int Step = 0; Step < 2'000; ++Step) {
    TimePoint Now = TimePoint{seconds(10)} + milliseconds(10) * Step;
    if (Step % 5 == 0) {
      ArrivedAt[++Number] = Now;
      Waiting.push_back({Number, 1, Now + StartWithin});
      if (Waiting.size() > maxQueueLength(Limits, Rate, Now))
        Refuse(*firstToRefuse(Waiting, Now), Now);
    }
    if (Step % 10 == 0) {
      ++Result.Places;
      std::size_t Next = nextToServe(Waiting, Now);
      Result.ServedInTime += Waiting[Next].StartBy >= Now;
      noteEvent(Rate, Now);
      Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Next));
    }
  }
  return Result;
}

TEST(WaitPolicyTest, RefusesRequestsBeyondTheQueueTimeWhenOverloaded) {
  OverloadResult Result = simulateOverload({});
  EXPECT_EQ(Result.ServedInTime, Result.Places);
  EXPECT_LE(Result.LongestWait, WaitLimits{}.QueueTime);
  WaitLimits Unbounded;
  Unbounded.MinQueueLength = 100'000;
  EXPECT_LE(simulateOverload(Unbounded).ServedInTime, Result.ServedInTime);
}

TEST(WaitPolicyTest, ReservesTheMeanTimeToTheFirstEvent) {
  struct Case {
    Duration Usual;
    Duration Within; // of an objective of 300 ms
  };
  const Case Cases[] = {{milliseconds(190), milliseconds(110)},
                        {milliseconds(50), milliseconds(180)},
                        {milliseconds(290), milliseconds(75)},
                        {milliseconds(2'000), milliseconds(75)}};
  for (const Case &Tested : Cases) {
    FirstEventTime Usual;
    noteFirstEvent(Usual, Tested.Usual);
    EXPECT_EQ(maxStartDelay({}, Usual, milliseconds(300)), Tested.Within)
        << toMilliseconds(Tested.Usual);
  }
  EXPECT_EQ(maxStartDelay({}, {}, milliseconds(300)), milliseconds(180));
}

TEST(WaitPolicyTest, DetectsReturningCallerByItsTimeLeft) {
  LongestCallerTimeout Longest;
  TimePoint Now{seconds(100)};
  EXPECT_EQ(elapsedBeforeArrival(Longest, seconds(6), Now), Duration::zero());
  EXPECT_EQ(elapsedBeforeArrival(Longest, milliseconds(4'900), Now),
            Duration::zero());
  EXPECT_EQ(elapsedBeforeArrival(Longest, milliseconds(4'400), Now),
            milliseconds(1'600));
  // If all callers allow less from some time on, they are not considered late
  // for ever: the old maximum expires.
  Now += seconds(61);
  EXPECT_EQ(elapsedBeforeArrival(Longest, seconds(4), Now), Duration::zero());
}

TEST(WaitPolicyTest, ReportsMissedObjectiveOnceTheStartTimeHasPassed) {
  TimePoint Since{seconds(100)};
  TimePoint StartBy = Since + milliseconds(110);
  TimePoint After = StartBy + milliseconds(1);
  EXPECT_FALSE(missedObjectiveWhileWaiting(PlacementFailure::Full, Since,
                                           StartBy, StartBy));
  EXPECT_TRUE(missedObjectiveWhileWaiting(PlacementFailure::Full, Since,
                                          StartBy, After));
  // A group that is forming would be too late for the objective in any case, so
  // the request waits for it.
  EXPECT_FALSE(missedObjectiveWhileWaiting(PlacementFailure::Absent, Since,
                                           StartBy, After));
  // The request was late when it began to wait: it is a retry, and its caller
  // will not retry again.
  EXPECT_FALSE(missedObjectiveWhileWaiting(PlacementFailure::Full, After,
                                           StartBy, After));
}

TEST(WaitPolicyTest, NeverRefusesRequestsThatHaveBegun) {
  TimePoint Now{seconds(10)};
  std::vector<WaitingRequest> Waiting{{1, 1, Now + milliseconds(200)},
                                      {2, 1, Now - milliseconds(900), true}};
  EXPECT_EQ(firstToRefuse(Waiting, Now), 0u);
  Waiting[0].Begun = true;
  EXPECT_FALSE(firstToRefuse(Waiting, Now));
}

RC_GTEST_PROP(WaitPolicyTest, WaitAndRetryAfterFitTheTimeLeft, ()) {
  Duration Left = milliseconds(*rc::gen::inRange(1, 10'000));
  for (PlacementFailure Reason :
       {PlacementFailure::Absent, PlacementFailure::Full}) {
    RC_ASSERT(maxWait({}, Reason, Left) < Left);
    // Callers honour a Retry-After of up to a third of their remaining time.
    RC_ASSERT(retryAfter(Reason, Left, {}) <=
              std::max(Left / 3, milliseconds(50)));
  }
}

TEST(WaitPolicyTest, RetryAfterIsTheEndOfTheFirstPauseWhenAllAreQuiet) {
  EXPECT_EQ(retryAfter(PlacementFailure::Quiet, seconds(8), seconds(2)),
            seconds(2));
  EXPECT_EQ(retryAfter(PlacementFailure::Quiet, seconds(1), seconds(9)),
            seconds(9));
  EXPECT_GT(retryAfter(PlacementFailure::Quiet, seconds(8), -seconds(1)),
            Duration::zero());
}

} // namespace
} // namespace samphirehill::serving
