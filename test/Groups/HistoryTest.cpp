#include "Groups/Simulation.h"

#include "Groups/Fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace samphirehill {
namespace {

using namespace test;

// Guards against histories of member losses, pauses, reboots, races on the
// conditional write, late orders, restarts and lost answers after which an
// instance is in two groups, a group serves with a missing member (invariants
// I1 and I2), or a group never serves again.
RC_GTEST_PROP(HistoryTest, KeepsInvariantsOverRandomHistories, ()) {
  auto Choices = *rc::gen::container<std::vector<unsigned>>(
      200, rc::gen::inRange(0U, 1U << 20U));
  Simulation Zone({});
  for (unsigned Choice : Choices) {
    Zone.step(Choice);
    RC_ASSERT(Zone.violation() == "");
  }
  Zone.heal();
  RC_ASSERT(Zone.violation() == "");
}

// Returns the first violation in at most 400 seeded histories.
std::string violationWith(SimulationFaults Faults) {
  for (unsigned Seed = 1; Seed <= 400; ++Seed) {
    std::mt19937 Random(Seed);
    Simulation Zone(Faults);
    for (int Step = 0; Step < 200; ++Step) {
      Zone.step(static_cast<unsigned>(Random() % (1U << 20U)));
      if (!Zone.violation().empty())
        return Zone.violation();
    }
  }
  return "";
}

// Each of the following tests switches on one fault and shows that a check of
// the simulation finds it.
TEST(HistoryTest, FindsViolationWhenWritesAreUnconditional) {
  SimulationFaults Faults;
  Faults.UnconditionalWrites = true;
  EXPECT_NE(violationWith(Faults), "");
}

TEST(HistoryTest, FindsInstanceInTwoGroupsWhenClaimsAreSeparate) {
  SimulationFaults Faults;
  Faults.SeparateClaims = true;
  EXPECT_NE(violationWith(Faults).find("is claimed twice"), std::string::npos);
}

TEST(HistoryTest, FindsMissingMemberWhenReportAgeIsIgnored) {
  SimulationFaults Faults;
  Faults.IgnoreReportAge = true;
  EXPECT_EQ(violationWith(Faults), "a group serves with a member missing");
}

TEST(HistoryTest, FindsForeignMemberWhenPlacementIsTrusted) {
  SimulationFaults Faults;
  Faults.TrustPlacement = true;
  EXPECT_EQ(violationWith(Faults),
            "a group serves with a member of another group");
}

TEST(HistoryTest, FindsOverridingOrderWhenTakeoverDoesNotWait) {
  SimulationFaults Faults;
  Faults.NoTakeoverWait = true;
  EXPECT_EQ(violationWith(Faults),
            "an order of a former controller overrode a newer one");
}

// Returns whether two entries that can't reach the platform choose the same
// spares when they lose the same members but receive different reports. With
// Fault, each entry chooses the engine in LatestReporters, whose report it
// received last, in place of the stored spare.
bool decidersAgree(const Placement &Stored, const std::vector<InstanceId> &Lost,
                   const std::vector<InstanceId> &LatestReporters, bool Fault) {
  std::vector<Placement> Results;
  for (const InstanceId &LatestReporter : LatestReporters) {
    Placement Value = Stored;
    for (const InstanceId &Name : Lost) {
      Placement Own = Value;
      for (Group &Element : Own.Groups)
        if (Fault && Element.Spare)
          Element.Spare = LatestReporter;
      Value = substituteSpare(Own, Name).value_or(Value);
    }
    Results.push_back(Value);
  }
  return Results[0].Groups == Results[1].Groups;
}

RC_GTEST_PROP(SubstituteTest, AgreesBetweenTwoDeciders, ()) {
  PlannerInput Input = inputOf({modelService("a", *rc::gen::inRange(1, 5), 3)},
                               {*rc::gen::inRange(5, 20)});
  Input.Current = plan(Input).Next;
  const Group &First = Input.Current.Groups.at(0);
  auto Pick = [&] {
    return Input
        .Instances[*rc::gen::inRange<std::size_t>(0, Input.Instances.size())]
        .Name;
  };
  std::vector<InstanceId> Lost = {First.Members.front(), Pick(), Pick()};
  std::vector<InstanceId> LatestReporters = {Pick(), Pick()};
  RC_ASSERT(decidersAgree(Input.Current, Lost, LatestReporters, false));
  Placement Value = Input.Current;
  for (const InstanceId &Name : Lost)
    Value = substituteSpare(Value, Name).value_or(Value);
  RC_ASSERT(findProblems(Value).empty());
}

TEST(SubstituteTest, DisagreesWhenSparesFollowReports) {
  PlannerInput Input = inputOf({modelService("a", 2, 1)}, {5});
  Input.Current = plan(Input).Next;
  std::vector<InstanceId> Lost = {Input.Current.Groups.at(0).Members.at(0)};
  EXPECT_FALSE(decidersAgree(Input.Current, Lost,
                             {InstanceId("e0-3"), InstanceId("e0-4")}, true));
}

} // namespace
} // namespace samphirehill
