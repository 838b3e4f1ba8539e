#include "samphirehill/Serving/EntryReport.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace samphirehill::serving {
namespace {

EntryReport fullReport() {
  EntryReport Report;
  Report.Entry = EntryId("edge-1");
  Report.Life = 12;
  Report.Sequence = 34;
  Report.Zone = ZoneId("north");
  Report.ConfigurationVersion = 56;
  Report.Loads[{InstanceId("i-1"), 100'001}] = {3, 4'000, 1, 2, {12.5, 2}};
  Report.Loads[{InstanceId("i-2"), 100'002}] = {0, 0, 1, 0};
  Report.BreakOffs = {{7, 8, TimePoint{seconds(9)}, true}};
  Report.DutyTerm = 2;
  Report.DutyRenewal = 5;
  Report.Reached = {InstanceId("i-3")};
  Report.Included = {{EntryId("edge-2"), 9}};
  Report.ListRevision = 7;
  Report.ListDigest = 8;
  Instance Listed = member("i-5", "large.3", 100'003, 2, MemberPhase::Open);
  Listed.Draining = Listed.OrderRunning = true;
  Listed.Pace = 1.5;
  Report.Changes = {
      {"i-4", 5, true, {}},
      {"i-5", 6, false, ListedInstance{Listed, milliseconds(700)}},
      {"i-6", 7, false, ListedInstance{engine("i-6", "north-d1"), {}}}};
  Report.ZonesOut = {ZoneId("south")};
  Report.StoreEra = 3;
  Report.ZonesOutMark = {2, 6};
  Report.SummedZones = {ZoneId("west")};
  Report.Suspects = {{{{UpstreamId("i-7"), BootId("70")},
                       "north-d0",
                       TimePoint{seconds(8)},
                       {{1, 0xffffffffffffffff}, {3}}}},
                     {{4, TimePoint{seconds(7)}}},
                     {{5, 2, TimePoint{seconds(6)}}}};
  Report.Demands = {{{PoolService, "large"}, 12.5}, {{PlainService, ""}, 1}};
  Report.Work = {{{ZoneId("west"), PoolService, "large"}, 31.5}};
  Report.ClaimedPlaces[{PoolService, "large"}] = {
      {{0, OrganisationId("o-1")}, {3, 1, 4.5}},
      {{2, OrganisationId()}, {1, 0, 0.25, 7}}};
  Report.Reach = {
      {ZoneId("south"),
       {TimePoint{seconds(7)}, TimePoint{seconds(6)}, TimePoint{seconds(8)}}},
      {ZoneId("west"), {{}, {}, TimePoint{seconds(8)}}}};
  Report.Limits = {
      {{InstanceId("i-8"), 80}, 3.75, TimePoint{seconds(5)}},
      {{InstanceId("i-9"), 90}, std::nullopt, TimePoint{seconds(4)}}};
  return Report;
}

TEST(EntryReportTest, DecodesWhatItEncodes) {
  TimePoint Now{seconds(10)};
  EntryMessage Message{fullReport(), {fullReport(), fullReport()}};
  Message.Summaries[1].Zone = ZoneId("south");
  EXPECT_EQ(decodeMessage(encodeMessage(Message, Now), Now), Message);
}

TEST(EntryReportTest, RejectsUnparsableBytes) {
  EXPECT_FALSE(decodeMessage("garbage", TimePoint{}));
  EXPECT_FALSE(decodeMessage("", TimePoint{}));
}

// Returns Told as another entry decodes it from a message.
LimitNews sentNews(const LimitNews &Told, TimePoint Now) {
  EntryMessage Message{fullReport(), {}};
  Message.Own.Limits = {Told};
  auto Decoded = decodeMessage(encodeMessage(Message, Now), Now);
  EXPECT_TRUE(Decoded && Decoded->Own.Limits.size() == 1);
  return Decoded && !Decoded->Own.Limits.empty() ? Decoded->Own.Limits[0]
                                                 : LimitNews{};
}

TEST(EntryReportTest, BoundsLimitsFromTheWire) {
  TimePoint Now{seconds(10)};
  const InstanceLife Of{InstanceId("i-8"), 80};
  for (double Told : {-1.0, -1e300, -std::numeric_limits<double>::min()})
    EXPECT_EQ(sentNews({Of, Told, Now}, Now).PerSecond, 0.0) << Told;
  EXPECT_EQ(sentNews({Of, 1e300, Now}, Now).PerSecond, HighestStatedLimit);
}

TEST(EntryReportTest, IgnoresLimitsThatAreNoNumbers) {
  TimePoint Now{seconds(10)};
  const InstanceLife Of{InstanceId("i-8"), 80};
  double Infinite = std::numeric_limits<double>::infinity();
  for (double Told : {std::nan(""), Infinite, -Infinite}) {
    EntryMessage Message{fullReport(), {}};
    Message.Own.Limits = {{Of, Told, Now}};
    auto Decoded = decodeMessage(encodeMessage(Message, Now), Now);
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded->Own.Limits, std::vector<LimitNews>{}) << Told;
  }
}

TEST(EntryReportTest, KeepsOrderOfVeryOldStatements) {
  constexpr std::uint32_t LongestAge = 0xffffffff;
  TimePoint Now{seconds(10)};
  LimitNews Oldest{
      {InstanceId("i-8"), 80}, 3.0, Now - milliseconds(LongestAge)};
  EXPECT_EQ(sentNews(Oldest, Now).StatedAt, Oldest.StatedAt);
  // Ages beyond the range must not become young.
  LimitNews Older = Oldest;
  Older.StatedAt -= seconds(5);
  EXPECT_LE(sentNews(Older, Now).StatedAt, Oldest.StatedAt);
}

TEST(EntryReportTest, SumsLoadsAndKeepsNewestDutyTerm) {
  EntryReport Sum = fullReport();
  Sum.Included.clear();
  EntryReport Other;
  Other.Entry = EntryId("edge-2");
  Other.Sequence = 7;
  Other.Loads[{InstanceId("i-1"), 100'001}] = {2, 500, 0, 0, {20, 1}};
  Other.DutyTerm = 1;
  Other.DutyRenewal = 99;
  Other.ClaimedPlaces[{PoolService, "large"}] = {
      {{0, OrganisationId("o-1")}, {2, 2, 0.5}}};
  LimitNews Ended{{InstanceId("i-8"), 80}, std::nullopt, TimePoint{seconds(6)}};
  Other.Limits = {Ended};
  addToSummary(Sum, Other);
  ASSERT_EQ(Sum.Limits.size(), 2u);
  EXPECT_EQ(Sum.Limits[0], Ended);
  EXPECT_EQ(Sum.ClaimedPlaces.at({PoolService, "large"})
                .at({0, OrganisationId("o-1")}),
            (ClaimedWork{5, 3, 5.0}));
  EXPECT_EQ(Sum.Loads.at({InstanceId("i-1"), 100'001}),
            (UpstreamLoad{5, 4'500, 1, 2, {32.5, 3}}));
  EXPECT_EQ(Sum.DutyTerm, 2);
  EXPECT_EQ(Sum.Included.at(EntryId("edge-2")), 7u);
}

} // namespace
} // namespace samphirehill::serving
