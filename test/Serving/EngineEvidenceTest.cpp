// Tests what is concluded about an engine's membership from its entry in the
// list, its reports and the orders to it.
#include "samphirehill/Serving/EngineEvidence.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

constexpr TimePoint Early{seconds(1)};
constexpr TimePoint Middle{seconds(2)};
constexpr TimePoint Late{seconds(3)};

Instance inGroup(std::int64_t Epoch, MemberPhase Phase) {
  return member("a", groupName("small", Epoch), Epoch, 0, Phase);
}

Instance inNoGroup() { return engine("a", "north-d0"); }

EngineEvidence reported(const Instance &State, TimePoint AsOf) {
  EngineEvidence Evidence;
  noteReported(Evidence, State, AsOf);
  return Evidence;
}

GroupOrder order(OrderKind Kind, std::int64_t Epoch) {
  return {Kind,  InstanceId("a"), groupName("small", Epoch),
          Epoch, "small",         {InstanceId("a"), InstanceId("b")},
          1};
}

TEST(EngineEvidenceTest, TakesTheEntryWithoutReports) {
  EXPECT_EQ(statedMembership({}, inGroup(7, MemberPhase::Open), Early),
            inGroup(7, MemberPhase::Open).Group);
  EXPECT_EQ(possibleMembership({}, inNoGroup(), Early), std::nullopt);
}

// The list may show a state seconds after the engine's own report of a later
// one.
TEST(EngineEvidenceTest, TakesTheHigherEpochWhicheverCameLater) {
  EngineEvidence Evidence = reported(inGroup(8, MemberPhase::Open), Early);
  for (const Instance &Listed : {inGroup(7, MemberPhase::Open), inNoGroup()})
    EXPECT_EQ(statedMembership(Evidence, Listed, Late),
              inGroup(8, MemberPhase::Open).Group);
  EXPECT_EQ(statedMembership(Evidence, inGroup(9, MemberPhase::Joining), Early),
            inGroup(9, MemberPhase::Joining).Group);
}

TEST(EngineEvidenceTest, TakesTheLaterPhaseOfOneGroup) {
  EngineEvidence Evidence = reported(inGroup(7, MemberPhase::Open), Middle);
  Instance Listed = inGroup(7, MemberPhase::Ready);
  EXPECT_EQ(statedMembership(Evidence, Listed, Early)->Phase,
            MemberPhase::Open);
  EXPECT_EQ(statedMembership(Evidence, Listed, Late)->Phase,
            MemberPhase::Ready);
}

TEST(EngineEvidenceTest, TakesNoGroupFromALaterReportOnly) {
  EngineEvidence Evidence = reported(inNoGroup(), Middle);
  Instance Listed = inGroup(7, MemberPhase::Ready);
  EXPECT_EQ(statedMembership(Evidence, Listed, Early), std::nullopt);
  EXPECT_EQ(statedMembership(Evidence, Listed, Late), Listed.Group);
}

TEST(EngineEvidenceTest, ForgetsAnEarlierLife) {
  EngineEvidence Evidence = reported(inGroup(7, MemberPhase::Open), Late);
  Instance Restarted = inNoGroup();
  Restarted.BornMilliseconds = 2;
  EXPECT_EQ(statedMembership(Evidence, Restarted, Early), std::nullopt);
  noteOrdered(Evidence, order(OrderKind::Join, 8), 2, Late);
  EXPECT_EQ(Evidence.Reported, std::nullopt);
}

TEST(EngineEvidenceTest, CountsAnOrderUntilItIsRefusedOrAReportIsLater) {
  EngineEvidence Evidence;
  noteOrdered(Evidence, order(OrderKind::Join, 8), 1, Middle);
  EXPECT_EQ(possibleMembership(Evidence, inNoGroup(), Late),
            inGroup(8, MemberPhase::Joining).Group);
  EXPECT_EQ(statedMembership(Evidence, inNoGroup(), Late), std::nullopt);
  EngineEvidence Refused = Evidence;
  noteOrderAnswered(Refused, order(OrderKind::Join, 8), 1, false, Middle);
  EXPECT_EQ(possibleMembership(Refused, inNoGroup(), Late), std::nullopt);
  noteReported(Evidence, inNoGroup(), Late);
  EXPECT_EQ(possibleMembership(Evidence, inNoGroup(), Late), std::nullopt);
}

TEST(EngineEvidenceTest, TakesAHeadThatIsOrderedToServeForServing) {
  EngineEvidence Evidence = reported(inGroup(8, MemberPhase::Ready), Early);
  noteOrdered(Evidence, order(OrderKind::Open, 8), 1, Middle);
  EXPECT_EQ(possibleMembership(Evidence, inNoGroup(), Early)->Phase,
            MemberPhase::Open);
}

TEST(EngineEvidenceTest, TakesAcceptedLeaveForTheGroupThatItNamesOnly) {
  EngineEvidence Evidence = reported(inGroup(8, MemberPhase::Open), Early);
  noteOrderAnswered(Evidence, order(OrderKind::Leave, 7), 1, true, Middle);
  EXPECT_EQ(statedMembership(Evidence, inNoGroup(), Early),
            inGroup(8, MemberPhase::Open).Group);
  noteOrderAnswered(Evidence, order(OrderKind::Leave, 8), 1, true, Middle);
  Instance Listed = inGroup(8, MemberPhase::Open);
  EXPECT_EQ(statedMembership(Evidence, Listed, Early), std::nullopt);
  EXPECT_EQ(statedMembership(Evidence, Listed, Late), Listed.Group);
}

// An engine that is cut off from the platform can't write that it has left.
TEST(EngineEvidenceTest, TakesAcceptedLeaveForLaterThanTheEntry) {
  EngineEvidence Evidence;
  noteOrdered(Evidence, order(OrderKind::Leave, 7), 1, Middle);
  noteOrderAnswered(Evidence, order(OrderKind::Leave, 7), 1, true, Middle);
  EXPECT_EQ(statedMembership(Evidence, inGroup(7, MemberPhase::Open), Early),
            std::nullopt);
}

} // namespace
} // namespace samphirehill::serving
