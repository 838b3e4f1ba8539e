// Replays the returns that many entries give out by late sums of each other's.
#include "samphirehill/Limits/ReturnSchedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(1'000)};
const ReturnWindow Window{milliseconds(300), milliseconds(1'500)};

// All 400 places are taken; requests in time need 240 of them.
PlaceFlow fullPlaces() {
  PlaceFlow Flow;
  Flow.Places = Flow.Taken = 400;
  Flow.Own = 20;
  Flow.OwnShare = 0.05;
  Flow.InTimePerSecond = 240;
  Flow.HoldingSeconds = 1.0;
  return Flow;
}

// Refuses PerSecond callers for two seconds at 20 entries, which know each
// other's returns 400 ms late. Returns the returns by span.
ReturnLoad refuse(const PlaceFlow &Flow, double PerSecond) {
  constexpr Duration Age = milliseconds(400);
  std::mt19937 Random(3);
  std::uniform_real_distribution<double> Draw(0, 1);
  std::vector<ReturnLoad> Own(20);
  std::deque<std::vector<ReturnLoad>> Past;
  double Callers = 0;
  for (TimePoint Now = Start; Now < Start + seconds(2); Now += ReturnSpan) {
    Past.push_back(Own);
    if (Past.size() > static_cast<std::size_t>(Age / ReturnSpan) + 1)
      Past.pop_front();
    Callers += PerSecond * toSeconds(ReturnSpan);
    for (; Callers >= 1; --Callers) {
      auto Entry = static_cast<std::size_t>(Draw(Random) * 20);
      ReturnLoad All = Own[Entry];
      for (std::size_t Other = 0; Other < Own.size(); ++Other) {
        if (Other != Entry)
          All += Past.front()[Other];
      }
      Duration Delay = chooseReturn(Flow, {}, All, Window, Now, Draw(Random));
      EXPECT_GE(Delay, Window.Earliest);
      EXPECT_LE(Delay, Window.Latest);
      noteReturnGiven(Own[Entry], Now + Delay);
    }
  }
  ReturnLoad Sum;
  for (const ReturnLoad &Each : Own)
    Sum += Each;
  return Sum;
}

// The load: after a burst, callers are refused at about the rate at which
// places become free for late ones.
TEST(ReturnScheduleTest, GivesOutNoMoreReturnsThanPlacesBecomeFree) {
  PlaceFlow Flow = fullPlaces();
  double Spare = sparePerSecond(Flow, {});
  ASSERT_GT(Spare, 20);
  ReturnLoad Given = refuse(Flow, 0.8 * Spare);
  double Sum = 0;
  for (const auto &[Span, Count] : Given.Due) {
    Sum += Count;
    double Passed = static_cast<double>(Span - returnSpanOf(Start) + 1);
    EXPECT_LE(Sum, Spare * toSeconds(ReturnSpan) * Passed) << Span;
  }
}

// The load: a burst in which arrivals in time alone fill all places, so that no
// span has room. The returns are spread, not all at one time.
TEST(ReturnScheduleTest, SpreadsReturnsOverTheLaterHalfWhereNoSpanHasRoom) {
  PlaceFlow Flow = fullPlaces();
  Flow.InTimePerSecond = 700;
  ReturnLoad Given = refuse(Flow, 300);
  for (const auto &[Span, Count] : Given.Due)
    EXPECT_LE(Count, 2 * 300 * toSeconds(ReturnSpan)) << Span;
  EXPECT_GE(chooseReturn(Flow, {}, {}, Window, Start, 0.0), Window.Latest / 2);
}

// A caller that doesn't wait gains nothing: it is never told a time at which it
// would be taken for one that asks for the first time.
TEST(ReturnScheduleTest, KeepsToTheWindowWhenPlacesAreFree) {
  PlaceFlow Flow = fullPlaces();
  Flow.Taken = 100;
  for (double Draw : {0.0, 0.5, 0.999}) {
    Duration Delay = chooseReturn(Flow, {}, {}, Window, Start, Draw);
    EXPECT_GE(Delay, Window.Earliest);
    EXPECT_LE(Delay, Window.Earliest + 5 * ReturnSpan);
    EXPECT_EQ(chooseReturn(Flow, {}, {}, {seconds(2), seconds(1)}, Start, Draw),
              seconds(2));
  }
}

TEST(ReturnScheduleTest, SubtractsWhatWasAdded) {
  ReturnLoad One{3, 2, {{returnSpanOf(Start), 4.0}}};
  ReturnLoad Sum = One;
  Sum += {1, 1, {{returnSpanOf(Start) + 1, 2.0}}};
  Sum -= One;
  EXPECT_EQ(Sum.PerSecond, 1);
  EXPECT_EQ(Sum.Waiting, 1);
  EXPECT_FALSE(hasReturnDue(Sum, Start - 2 * ReturnSpan));
  EXPECT_TRUE(hasReturnDue(Sum, Start + ReturnSpan));
  erasePastReturns(Sum, Start + 2 * ReturnSpan);
  EXPECT_TRUE(Sum.Due.empty());
}

} // namespace
} // namespace samphirehill
