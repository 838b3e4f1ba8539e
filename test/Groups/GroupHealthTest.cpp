#include "samphirehill/Groups/GroupHealth.h"

#include "Groups/Fleet.h"

#include <gtest/gtest.h>

#include <functional>

namespace samphirehill {
namespace {

using namespace test;

const InstanceId First("e1");
const InstanceId Second("e2");

Placement onePlacement() {
  Placement Value;
  Value.Groups = {
      {GroupId("g"), 2, ServiceId("a"), "1", {First, Second}, std::nullopt}};
  return Value;
}

EngineReports goodReports(const Placement &Stored) {
  PlannerInput Input;
  Input.Texts = {textOf({modelService("a", 2, 1)})};
  Input.Current = Stored;
  Input.Now = Start;
  settle(Input);
  return Input.Reports;
}

struct Fault {
  const char *Name;
  std::function<void(EngineReports &)> Apply;
  GroupFault Expected;
};

// Guards against a group that serves although a member is missing, belongs to
// another group, or has another member list (invariant I1).
TEST(EvaluateGroupsTest, FindsEachFaultOfOneMember) {
  const Fault Faults[] = {
      {"none", [](EngineReports &) {}, GroupFault::None},
      {"age at limit",
       [](EngineReports &R) { R[Second].At = Start - ReportAgeLimit; },
       GroupFault::None},
      {"age over limit",
       [](EngineReports &R) {
         R[Second].At = Start - ReportAgeLimit - Duration(1);
       },
       GroupFault::StaleReport},
      {"no report", [](EngineReports &R) { R.erase(Second); },
       GroupFault::NoReport},
      {"other group", [](EngineReports &R) { R[Second].Group = GroupId("h"); },
       GroupFault::WrongGroup},
      {"old generation", [](EngineReports &R) { R[Second].Generation = 1; },
       GroupFault::WrongGeneration},
      {"other members",
       [](EngineReports &R) {
         R[Second].Members = {Second, First};
       },
       GroupFault::WrongMembers},
      {"old version", [](EngineReports &R) { R[Second].Version = "0"; },
       GroupFault::WrongVersion},
      {"loading",
       [](EngineReports &R) { R[Second].State = EngineState::Loading; },
       GroupFault::NotLoaded},
      {"rebooted", [](EngineReports &R) { R[Second].Boot = BootId("c"); },
       GroupFault::Rebooted},
  };
  for (const Fault &Case : Faults) {
    GroupHealthState State;
    EngineReports Reports = goodReports(onePlacement());
    ASSERT_TRUE(evaluateGroups(State, onePlacement(), Reports, Start)
                    .at(GroupId("g"))
                    .serves());
    Case.Apply(Reports);
    GroupHealth Health =
        evaluateGroups(State, onePlacement(), Reports, Start).at(GroupId("g"));
    EXPECT_EQ(Health.Fault, Case.Expected) << Case.Name;
    if (!Health.serves()) {
      EXPECT_EQ(Health.Member, Second) << Case.Name;
    }
  }
}

// Guards against a group that serves after a reboot of a member without a new
// generation.
TEST(EvaluateGroupsTest, ServesAfterRebootOnlyWithNewGeneration) {
  GroupHealthState State;
  Placement Stored = onePlacement();
  EngineReports Reports = goodReports(Stored);
  evaluateGroups(State, Stored, Reports, Start);
  Reports[First].Boot = BootId("c");
  auto Healths = evaluateGroups(State, Stored, Reports, Start);
  EXPECT_EQ(rebootedGroups(Healths), std::set{GroupId("g")});
  Stored.Groups[0].Generation = 3;
  EXPECT_FALSE(
      evaluateGroups(State, Stored, Reports, Start).at(GroupId("g")).serves());
  Reports = goodReports(Stored);
  Reports[First].Boot = BootId("c");
  EXPECT_TRUE(
      evaluateGroups(State, Stored, Reports, Start).at(GroupId("g")).serves());
}

TEST(EvaluateGroupsTest, StopsBothGroupsThatClaimOneInstance) {
  GroupHealthState State;
  Placement Stored = onePlacement();
  Stored.Groups.push_back({GroupId("h"),
                           1,
                           ServiceId("a"),
                           "1",
                           {InstanceId("e3"), First},
                           std::nullopt});
  for (const auto &[Name, Health] :
       evaluateGroups(State, Stored, goodReports(Stored), Start))
    EXPECT_EQ(Health, (GroupHealth{GroupFault::ClaimedTwice, First}));
}

} // namespace
} // namespace samphirehill
