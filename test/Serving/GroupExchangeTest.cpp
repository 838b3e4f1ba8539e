// Tests which groups are given up for another model, and which weights are
// loaded ahead for that.
#include "samphirehill/Serving/GroupExchange.h"

#include "Serving/TestFleet.h"
#include "samphirehill/Serving/GroupPlan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace samphirehill::serving {
namespace {

constexpr Duration Tick = milliseconds(200);

// Domains of 8 engines: a group of "large", a group of "small" and two free
// engines each. Two domains make a zone. The large groups' engines have the
// weights of "small".
class GroupExchangeTest : public testing::Test {
protected:
  GroupExchangeTest() {
    for (int Number = 0; Number < 4; ++Number) {
      std::string Name =
          "zone" + std::to_string(Number / 2) + "-d" + std::to_string(Number);
      addGroup(Name, "large", 4, {"small"});
      addGroup(Name, "small", 2, {"small"});
    }
  }

  void addGroup(const std::string &Domain, const std::string &Model, int Size,
                const std::vector<std::string> &Staged) {
    RunningGroup Group{++Epoch, Model, {}, Domain, {}};
    for (int Rank = 0; Rank < Size; ++Rank) {
      Instance Member = engine(std::to_string(Engines.size()), Domain);
      Member.Staged = Staged;
      Member.Group =
          Membership{groupName(Model, Epoch), Epoch, Rank, MemberPhase::Open};
      Engines.push_back({Member});
      Group.Zone = Member.Zone;
      Group.Members.push_back(&Engines.back());
      Domains[Domain].Zone = Member.Zone;
      Domains[Domain].Usable.push_back(&Engines.back());
    }
    Running.push_back(Group);
  }

  // Adds groups so that two of "small" can be given up for one of "large".
  void addMoreSmallGroups() {
    for (const std::string Name :
         {"zone0-d0", "zone0-d1", "zone1-d2", "zone1-d3"}) {
      addGroup(Name, "small", 2, {});
      addGroup(Name, "small", 2, {});
    }
    for (PlannedInstance &Each : Engines)
      Each.Listed.Staged = {"large", "small"};
  }

  // Plans each tick for Length under the demand Asked. Groups that are given up
  // stay as they are.
  void plan(Duration Length, const ModelWork &Asked) {
    State.Asked = Asked;
    for (TimePoint End = Now + Length; Now < End; Now += Tick) {
      std::vector<RunningGroup> Left = Running;
      std::erase_if(Left, [&](const RunningGroup &Each) {
        return State.GivenUp.contains(Each.Epoch);
      });
      ServiceShape Service =
          withPlannedShares(poolShape(), State, Settings, Now);
      for (auto &[Name, Domain] : Domains) {
        for (auto &[Model, Has] : Domain.Models)
          Has.Groups = Has.WantedGroups = 0;
      }
      for (const RunningGroup &Each : Left) {
        DomainModel &Has = Domains[Each.Domain].Models[Each.Model];
        Has.WantedGroups = ++Has.Groups;
      }
      for (const auto &[Name, Count] : BrokenSmallGroups) {
        DomainModel &Has = Domains[Name].Models["small"];
        Has.WantedGroups += Count;
        Has.Available = Count * 2;
      }
      ExchangeView View{Domains, Left, Service, false};
      chooseExchange(State, View, Settings, Now);
    }
  }

  ExchangeState State;
  DemandPlanSettings Settings;
  EngineDomains Domains;
  std::deque<PlannedInstance> Engines;
  std::vector<RunningGroup> Running;
  std::int64_t Epoch = 0;
  // Groups of "small" whose engines are about to form them again, by domain.
  std::map<std::string, int> BrokenSmallGroups;
  TimePoint Now{seconds(100)};
};

const ModelWork MostlySmall{{"large", 10}, {"small", 200}};

// A lasting imbalance is acted on within 3 s.
TEST_F(GroupExchangeTest, GivesUpAGroupSoonAfterDemandIsKnown) {
  plan(seconds(3), MostlySmall);
  ASSERT_EQ(State.GivenUp.size(), 1u);
  EXPECT_EQ(State.GivenUp.begin()->second.From, "large");
  EXPECT_EQ(State.GivenUp.begin()->second.To, "small");
  EXPECT_EQ(State.GivenUp.begin()->second.Engines, 4);
}

// Seen on the bench: two groups lost a member, and groups of the other model
// were given up although the engines of the first formed them again at once.
TEST_F(GroupExchangeTest, CountsGroupsThatFormAgainWithoutALoad) {
  const ModelWork Asked{{"large", 20}, {"small", 100}};
  BrokenSmallGroups = {{"zone0-d0", 2}, {"zone1-d2", 1}};
  plan(seconds(5), Asked);
  EXPECT_TRUE(State.GivenUp.empty());
  BrokenSmallGroups.clear();
  Domains["zone0-d0"].Models["small"].Available = 0;
  plan(seconds(5), Asked);
  EXPECT_FALSE(State.GivenUp.empty());
}

TEST_F(GroupExchangeTest, KeepsOneGroupOfTheModelInEachZone) {
  Settings.MaxInChange = 1;
  plan(seconds(10), MostlySmall);
  std::map<ZoneId, int> Left;
  for (const RunningGroup &Each : Running)
    Left[Each.Zone] +=
        Each.Model == "large" && !State.GivenUp.contains(Each.Epoch);
  for (const auto &[Zone, Groups] : Left)
    EXPECT_EQ(Groups, 1) << Zone.str();
}

TEST_F(GroupExchangeTest, ChangesFewEnginesAtATime) {
  plan(seconds(10), MostlySmall);
  int InChange = 0;
  for (const auto &[Epoch, Each] : State.GivenUp)
    InChange += Each.Engines;
  EXPECT_EQ(InChange, 4); // one group
}

TEST_F(GroupExchangeTest, GivesUpOnlyGroupsWhoseEnginesNeedNoLoad) {
  for (PlannedInstance &Each : Engines)
    Each.Listed.Staged = {modelOfGroup(Each.Listed.Group->Group)};
  plan(seconds(10), MostlySmall);
  EXPECT_TRUE(State.GivenUp.empty());
}

TEST_F(GroupExchangeTest, GivesNothingUpInADomainThatIsChanging) {
  EngineDomains All = Domains;
  for (int Round = 0; Round < 10; ++Round) {
    Domains = All;
    for (auto &[Name, Domain] : Domains)
      if (Round % 2 == 0)
        Domain.Usable.pop_back();
    plan(seconds(1), MostlySmall);
    EXPECT_TRUE(State.GivenUp.empty());
  }
}

// One domain that changes all the time doesn't hold back the others.
TEST_F(GroupExchangeTest, GivesUpGroupsOfOtherDomainsThanTheOneThatChanges) {
  std::vector<const PlannedInstance *> &Flapping =
      Domains.begin()->second.Usable;
  std::vector<const PlannedInstance *> All = Flapping;
  for (int Round = 0; Round < 10; ++Round) {
    Flapping = All;
    if (Round % 2 == 0)
      Flapping.pop_back();
    plan(seconds(1), MostlySmall);
  }
  EXPECT_EQ(State.GivenUp.size(), 1u);
}

TEST_F(GroupExchangeTest, GivesNothingUpWithoutNewsOrWhenSharesAreStated) {
  plan(seconds(10), {});
  EXPECT_TRUE(State.GivenUp.empty());
  Settings.Mode = ShareMode::Stated;
  plan(seconds(10), MostlySmall);
  EXPECT_TRUE(State.GivenUp.empty());
}

TEST_F(GroupExchangeTest, MovesEnginesBackOnlyAfterTheRest) {
  addMoreSmallGroups();
  const ModelWork MostlyLarge{{"large", 300}, {"small", 5}};
  const std::pair<std::string, std::string> Back{"small", "large"};
  plan(seconds(3), {{"large", 10}, {"small", 400}});
  ASSERT_EQ(State.MovedAt.size(), 1u);
  TimePoint MovedAt = State.MovedAt.begin()->second;
  plan(MovedAt + Settings.Rest - Now, MostlyLarge);
  EXPECT_FALSE(State.MovedAt.contains(Back));
  plan(seconds(2), MostlyLarge);
  EXPECT_TRUE(State.MovedAt.contains(Back));
}

// Seen on the bench: a group was given up while the store was away. Its engines
// served nobody until the list of instances was up to date again.
TEST_F(GroupExchangeTest, GivesNothingUpWhileTheListIsNotUpToDate) {
  State.ListFollowed = false;
  plan(seconds(10), MostlySmall);
  EXPECT_TRUE(State.GivenUp.empty());
  State.ListFollowed = true;
  plan(seconds(1), MostlySmall);
  EXPECT_EQ(State.GivenUp.size(), 1u);
}

// The demand turns while engines move. None moves back before the first change
// has paid.
RC_GTEST_FIXTURE_PROP(GroupExchangeTest, MovesNothingBackWithinTheRest, ()) {
  addMoreSmallGroups();
  Settings.MaxInChange = 1;
  std::optional<std::pair<std::string, std::string>> Last;
  TimePoint LastAt{};
  for (int Step = 0; Step < 100; ++Step) {
    plan(Tick * *rc::gen::inRange(1, 10),
         {{"large", *rc::gen::inRange(0, 300)},
          {"small", *rc::gen::inRange(0, 300)}});
    for (const auto &[Models, At] : State.MovedAt) {
      if (At <= LastAt)
        continue;
      RC_ASSERT(!Last || Last->first == Models.first ||
                At - LastAt >= Settings.Rest);
      Last = Models;
      LastAt = At;
    }
  }
}

// Weights are loaded ahead only at the first start, while loads are short.
TEST_F(GroupExchangeTest, LoadsWeightsAheadForAllButOneGroupOfEachZone) {
  for (PlannedInstance &Each : Engines)
    Each.Listed.Staged = {modelOfGroup(Each.Listed.Group->Group)};
  ServiceShape Service = poolShape();
  ExchangeView View{Domains, Running, Service, true};
  // In each of two zones, a large and a small group.
  EXPECT_EQ(weightsToPrepare(State, View, Settings).size(), 2u * (4 + 2));
  View.FirstStart = false;
  EXPECT_TRUE(weightsToPrepare(State, View, Settings).empty());
  View.FirstStart = true;
  State.Demand.Weight = 1; // callers have come
  EXPECT_TRUE(weightsToPrepare(State, View, Settings).empty());
}

} // namespace
} // namespace samphirehill::serving
