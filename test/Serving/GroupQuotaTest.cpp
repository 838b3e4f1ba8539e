// Tests how many groups and spares of each model every domain should have.
#include "samphirehill/Serving/GroupQuota.h"

#include "Serving/TestFleet.h"
#include "samphirehill/Serving/GroupPlan.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

constexpr double SpareShare = 0.12;

class GroupQuotaTest : public testing::Test {
protected:
  GroupQuotaTest() { Engines.reserve(64); }

  // Adds a domain of Count usable engines. If Model is not empty, all of them
  // have its weights, and InGroups of them are in Groups groups of Model.
  void addDomain(const std::string &Name, int Count, const std::string &Model,
                 int Groups = 0, int InGroups = 0) {
    EngineDomain &Domain = Domains[Name];
    Domain.Zone = ZoneId("north");
    for (int Number = 0; Number < Count; ++Number) {
      Engines.push_back({engine(Name + std::to_string(Number), Name)});
      Domain.Usable.push_back(&Engines.back());
    }
    Domain.InGroups = InGroups;
    if (Model.empty())
      return;
    Domain.Models[Model].Staged = Count;
    Domain.Models[Model].Available = Count - InGroups;
    Domain.Models[Model].Groups = Groups;
    Grouped[Model] += InGroups;
  }

  void plan() { planQuotas(Domains, poolShape(), Grouped, SpareShare); }

  std::vector<PlannedInstance> Engines;
  EngineDomains Domains;
  ModelEngines Grouped;
};

// Incident SHORT: a group of 8 that lost one engine waited 16 s for a load, as
// the spares of its domain had the other model's weights.
TEST_F(GroupQuotaTest, KeepsSparesForTheGroupsOfTheirDomain) {
  addDomain("a", 17, "large", 4, 16);
  addDomain("b", 17, "small", 8, 16);
  plan();
  EXPECT_EQ(Domains["a"].Models["large"].WantedStaged, 17);
  EXPECT_EQ(Domains["b"].Models["small"].WantedStaged, 17);
}

TEST_F(GroupQuotaTest, DividesSparesByEnginesThatALossLeavesIdle) {
  addDomain("a", 9, "large", 1, 4);
  Domains["a"].Models["small"].Groups = 2;
  Domains["a"].InGroups = 8;
  Grouped["small"] = 4;
  Domains["a"].Models["large"].Staged = 4;
  plan();
  EXPECT_EQ(Domains["a"].Models["large"].WantedStaged, 5);
  EXPECT_EQ(Domains["a"].Models["small"].WantedStaged, 4);
}

// Incident SHORT: engines with the weights of a complete group were kept as
// spares, or loaded other weights.
TEST_F(GroupQuotaTest, AddsGroupWhenSparesHaveItsWeights) {
  addDomain("a", 17, "large", 3, 12); // and 5 more have the weights
  plan();
  EXPECT_EQ(Domains["a"].Models["large"].WantedGroups, 4);
}

TEST_F(GroupQuotaTest, KeepsSparesAtTheFirstStart) {
  addDomain("a", 17, "");
  plan();
  EXPECT_EQ(Domains["a"].Spares, 2);
  EXPECT_GE(Domains["a"].UnassignedEngines, 2);
}

} // namespace
} // namespace samphirehill::serving
