#include "samphirehill/Serving/EntryReport.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

EntryReport fullReport() {
  EntryReport Report;
  Report.Entry = EntryId("edge-1");
  Report.Life = 12;
  Report.Sequence = 34;
  Report.Zone = ZoneId("north");
  Report.ConfigurationVersion = 56;
  Report.Loads[{InstanceId("i-1"), 100'001}] = {3, 4'000, 1, 2};
  Report.Loads[{InstanceId("i-2"), 100'002}] = {0, 0, 1, 0};
  Report.BreakOffs = {{7, 8, TimePoint{seconds(9)}}};
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
  Report.ZonesOutRevision = 6;
  Report.SummedZones = {ZoneId("west")};
  Report.Suspects = {{{{UpstreamId("i-7"), BootId("70")},
                       "north-d0",
                       TimePoint{seconds(8)},
                       {{1, 0xffffffffffffffff}, {3}}}},
                     {{4, TimePoint{seconds(7)}}},
                     {{5, 2, TimePoint{seconds(6)}}}};
  Report.Returns = {{{PoolService, "large"},
                     {2.5,
                      3,
                      {{returnSpanOf(TimePoint{seconds(10)}), 2.0},
                       {returnSpanOf(TimePoint{seconds(10)}) + 7, 1.0}}}}};
  Report.Demands = {{{PoolService, "large"}, 12.5}, {{PlainService, ""}, 1}};
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

TEST(EntryReportTest, SumsLoadsAndKeepsNewestDutyTerm) {
  EntryReport Sum = fullReport();
  Sum.Included.clear();
  EntryReport Other;
  Other.Entry = EntryId("edge-2");
  Other.Sequence = 7;
  Other.Loads[{InstanceId("i-1"), 100'001}] = {2, 500};
  Other.DutyTerm = 1;
  Other.DutyRenewal = 99;
  addToSummary(Sum, Other);
  EXPECT_EQ(Sum.Loads.at({InstanceId("i-1"), 100'001}),
            (UpstreamLoad{5, 4'500, 1, 2}));
  EXPECT_EQ(Sum.DutyTerm, 2);
  EXPECT_EQ(Sum.Included.at(EntryId("edge-2")), 7u);
}

} // namespace
} // namespace samphirehill::serving
