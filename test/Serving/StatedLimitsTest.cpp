// Tests limits that instances state, by life and time.
#include "samphirehill/Serving/StatedLimits.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(100)};
const EntryId Self("edge-1");
const InstanceLife First{InstanceId("i"), 1};
const InstanceLife Second{InstanceId("i"), 2}; // a later life of First

bool note(StatedLimits &Limits, std::optional<double> PerSecond, TimePoint At,
          const InstanceLife &Of = First) {
  return noteStatement(Limits, {Of, PerSecond, At}, Self, At);
}

TEST(StatedLimitsTest, AppliesToOneLifeOnly) {
  StatedLimits Limits;
  EXPECT_TRUE(note(Limits, 3.5, Start));
  EXPECT_EQ(statedLimit(Limits, First), 3.5);
  EXPECT_EQ(statedLimit(Limits, Second), std::nullopt);
  EXPECT_FALSE(mayTakeByLimit(Limits, First, Start));
  EXPECT_TRUE(mayTakeByLimit(Limits, Second, Start));
}

TEST(StatedLimitsTest, EndsWithANewerAnswerWithoutLimit) {
  StatedLimits Limits;
  EXPECT_TRUE(note(Limits, 3.5, Start));
  EXPECT_TRUE(note(Limits, std::nullopt, Start + seconds(1)));
  EXPECT_EQ(statedLimit(Limits, First), std::nullopt);
  EXPECT_TRUE(mayTakeByLimit(Limits, First, Start + seconds(1)));
}

TEST(StatedLimitsTest, IgnoresStatementsOlderThanTheNewest) {
  StatedLimits Limits;
  EXPECT_TRUE(note(Limits, 3.5, Start));
  EXPECT_TRUE(note(Limits, std::nullopt, Start + seconds(2)));
  EXPECT_FALSE(note(Limits, 3.5, Start + seconds(1)));
  EXPECT_FALSE(note(Limits, 3.5, Start + seconds(2)));
  EXPECT_EQ(statedLimit(Limits, First), std::nullopt);
  EXPECT_TRUE(note(Limits, 1.5, Start + seconds(3)));
  EXPECT_EQ(statedLimit(Limits, First), 1.5);
}

TEST(StatedLimitsTest, KeepsNothingOfInstancesWithoutALimit) {
  StatedLimits Limits;
  EXPECT_FALSE(note(Limits, std::nullopt, Start));
  EXPECT_FALSE(
      noteOwnStatement(Limits, {First, std::nullopt, Start}, Self, Start));
  EXPECT_TRUE(Limits.ByLife.empty());
}

TEST(StatedLimitsTest, TellsOnlyStatementsMadeToThisEntry) {
  StatedLimits Limits;
  EXPECT_TRUE(note(Limits, 3.5, Start));
  EXPECT_TRUE(limitNews(Limits).empty());
  LimitNews Own{First, std::nullopt, Start + seconds(1)};
  EXPECT_TRUE(noteOwnStatement(Limits, Own, Self, Start + seconds(1)));
  EXPECT_TRUE(note(Limits, 2.5, Start + seconds(2)));
  EXPECT_EQ(limitNews(Limits), std::vector{Own});
}

TEST(StatedLimitsTest, LimitsThisEntryToItsShare) {
  StatedLimits Limits;
  note(Limits, 4, Start);
  int Sent = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    TimePoint Now = Start + milliseconds(200) * Tick;
    updateShare(Limits, First, 0.5, Self, {EntryId("edge-2")}, Now);
    if (!mayTakeByLimit(Limits, First, Now))
      continue;
    noteSentByLimit(Limits, First, Now);
    ++Sent;
  }
  EXPECT_GE(Sent, 38);
  EXPECT_LE(Sent, 41);
}

// No answer could end a limit of 0 if nothing were sent.
TEST(StatedLimitsTest, ProbesInstanceWithALimitOfZero) {
  StatedLimits Limits;
  note(Limits, 0, Start);
  updateShare(Limits, First, 1, Self, {}, Start);
  int Sent = 0;
  for (int Second = 0; Second < 40; ++Second) {
    TimePoint Now = Start + seconds(Second);
    if (!mayTakeByLimit(Limits, First, Now))
      continue;
    noteSentByLimit(Limits, First, Now);
    ++Sent;
  }
  EXPECT_GE(Sent, 9);
  EXPECT_LE(Sent, 11);
}

TEST(StatedLimitsTest, LetsAFewOfManyEntriesShareALowLimit) {
  std::vector<EntryId> All;
  All.reserve(300);
  for (int Number = 0; Number < 300; ++Number)
    All.emplace_back("edge-" + std::to_string(Number));
  double Rates = 0;
  std::size_t Sharers = 0;
  for (const EntryId &Each : All) {
    std::vector<EntryId> Others = All;
    std::erase(Others, Each);
    StatedLimits Limits;
    note(Limits, 2, Start);
    updateShare(Limits, First, 1.0 / 300, Each, Others, Start);
    double Rate = Limits.ByLife.at(First).Tokens.PerSecond;
    Rates += Rate;
    Sharers += Rate > 0;
  }
  EXPECT_EQ(Sharers, mostSharers(2));
  EXPECT_NEAR(Rates, 2, 1e-9);
}

TEST(StatedLimitsTest, ForgetsLimitsThatEndedAndInstancesThatAreSilent) {
  StatedLimits Limits;
  note(Limits, 2, Start);
  note(Limits, std::nullopt, Start + seconds(1));
  note(Limits, 2, Start, Second);
  eraseOldLimits(Limits, Start + seconds(10));
  EXPECT_EQ(Limits.ByLife.size(), 2u);
  eraseOldLimits(Limits, Start + seconds(12));
  EXPECT_EQ(Limits.ByLife.size(), 1u);
  eraseOldLimits(Limits, Start + seconds(31));
  EXPECT_TRUE(Limits.ByLife.empty());
}

TEST(StatedLimitsTest, MergesNewestStatementsByLife) {
  std::vector<LimitNews> All{{First, 3.5, Start}, {Second, 2.0, Start}};
  addNews(All, {{First, std::nullopt, Start + seconds(1)},
                {Second, 9.0, Start - seconds(1)},
                {{InstanceId("a"), 1}, 1.0, Start}});
  EXPECT_EQ(All,
            (std::vector<LimitNews>{{{InstanceId("a"), 1}, 1.0, Start},
                                    {First, std::nullopt, Start + seconds(1)},
                                    {Second, 2.0, Start}}));
}

TEST(StatedLimitsTest, BoundsTheNews) {
  std::vector<LimitNews> All;
  for (int Number = 0; Number < 1'000; ++Number)
    addNews(All, {{{InstanceId(std::to_string(Number)), 1},
                   1.0,
                   Start + milliseconds(Number)}});
  EXPECT_EQ(All.size(), 256u);
}

} // namespace
} // namespace samphirehill::serving
