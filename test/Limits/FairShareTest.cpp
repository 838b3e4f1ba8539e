#include "samphirehill/Limits/FairShare.h"

#include "ShareReplay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace samphirehill {
namespace {

constexpr double Rounding = 1e-6;

ClaimKey key(int Rank, const std::string &Organisation) {
  return {Rank, OrganisationId(Organisation)};
}

// Draws the work of up to 30 claims in up to three ranks.
WorkByClaim drawWork() {
  WorkByClaim Work;
  int Count = *rc::gen::inRange(0, 31);
  for (int Index = 0; Index < Count; ++Index) {
    ClaimedWork &Each =
        Work[key(*rc::gen::inRange(0, 3),
                 "o" + std::to_string(*rc::gen::inRange(0, 24)))];
    Each.Held = *rc::gen::inRange(0, 40);
    Each.Waiting = *rc::gen::inRange(0, 20);
    Each.Asked = *rc::gen::inRange(0, 6'000) / 100.0;
  }
  return Work;
}

double demandOf(const ClaimedWork &Work) {
  return std::max<double>(Work.Held + Work.Waiting, Work.Asked);
}

RC_GTEST_PROP(FairShareTest, SharesAreMaxMinWithinOneRequest, ()) {
  auto Count = *rc::gen::inRange<std::size_t>(1, 30);
  std::vector<double> Demands;
  std::vector<double> Weights;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Demands.push_back(*rc::gen::inRange(0, 5'000) / 100.0);
    Weights.push_back(*rc::gen::inRange(1, 5));
  }
  double Places = *rc::gen::inRange(0, 800);
  std::vector<double> Shares = maxMinShares(Demands, Weights, Places);
  double Sum = std::accumulate(Shares.begin(), Shares.end(), 0.0);
  double Demand = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  RC_ASSERT(std::abs(Sum - std::min(Demand, Places)) < Rounding);
  for (std::size_t One = 0; One < Count; ++One) {
    RC_ASSERT(Shares[One] <= Demands[One] + Rounding);
    if (Shares[One] >= Demands[One] - Rounding)
      continue;
    for (std::size_t Other = 0; Other < Count; ++Other)
      RC_ASSERT(Shares[Other] / Weights[Other] <=
                Shares[One] / Weights[One] + Rounding);
  }
}

// Max-min among those above their floors; nobody is below its floor.
RC_GTEST_PROP(FairShareTest, KeepsTheFloorOfEachOrganisation, ()) {
  auto Count = *rc::gen::inRange<std::size_t>(1, 30);
  std::vector<double> Demands;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Demands.push_back(*rc::gen::inRange(1, 5'000) / 100.0);
  double Demand = std::accumulate(Demands.begin(), Demands.end(), 0.0);
  double Places = Demand * *rc::gen::inRange(1, 101) / 100.0;
  std::vector<double> Floors = Demands;
  for (double &Each : Floors)
    Each *= 0.5 * Places / Demand;
  std::vector<double> Shares = sharesAboveFloors(
      Demands, std::vector<double>(Count, 1.0), Floors, Places);
  RC_ASSERT(std::abs(std::accumulate(Shares.begin(), Shares.end(), 0.0) -
                     Places) < Rounding);
  for (std::size_t One = 0; One < Count; ++One) {
    RC_ASSERT(Shares[One] >= Floors[One] - Rounding);
    RC_ASSERT(Shares[One] <= Demands[One] + Rounding);
    if (Shares[One] >= Demands[One] - Rounding)
      continue;
    for (std::size_t Other = 0; Other < Count; ++Other)
      RC_ASSERT(Shares[Other] <= Shares[One] + Rounding ||
                Shares[Other] <= Floors[Other] + Rounding);
  }
}

RC_GTEST_PROP(FairShareTest, UrgentRanksGoFirstAndNoRankStarves, ()) {
  WorkByClaim Work = drawWork();
  double Places = *rc::gen::inRange(1, 800);
  ShareSettings Settings;
  std::map<int, double> Demand;
  std::map<int, double> Granted;
  for (const auto &[Key, Each] : Work)
    Demand[Key.Rank] += demandOf(Each);
  double Sum = 0;
  for (const auto &[Key, Fair] : fairPlaces(Work, Places, Settings)) {
    Granted[Key.Rank] += Fair;
    Sum += Fair;
  }
  double Floor = Settings.RankFloor * Places;
  double AllDemand = 0;
  for (const auto &[Rank, Asked] : Demand) {
    AllDemand += Asked;
    RC_ASSERT(Granted[Rank] >= std::min(Asked, Floor) - Rounding);
    if (Granted[Rank] >= Asked - Rounding)
      continue;
    for (const auto &[Lower, Places] : Granted) {
      if (Lower > Rank)
        RC_ASSERT(Places <= Floor + Rounding);
    }
  }
  RC_ASSERT(std::abs(Sum - std::min(AllDemand, Places)) < Rounding);
}

RC_GTEST_PROP(FairShareTest, LeavesNoPlaceFreeForClaimsThatDontWait, ()) {
  WorkByClaim Own = drawWork();
  WorkByClaim Others = drawWork();
  double Places = *rc::gen::inRange(1, 800);
  ShareTable Table = makeShareTable(Own, Others, Places, {});
  double Waiting = 0;
  for (const auto &[Key, Share] : Table.Claims) {
    if (Share.Fair > Share.All.Held)
      Waiting += Share.All.Waiting;
  }
  for (const auto &[Key, Share] : Table.Claims) {
    RC_ASSERT(!mustYield(Table, Key, Waiting + 1));
    if (!Table.Contended)
      RC_ASSERT(!isBeyondShare(Table, Key));
  }
}

RC_GTEST_PROP(FairShareTest, SumsLessOwnPartAreTheOthers, ()) {
  WorkByClaim Own = drawWork();
  WorkByClaim Others = drawWork();
  WorkByClaim Sum = Others;
  addWork(Sum, Own);
  subtractWork(Sum, Own);
  for (const auto &[Key, Each] : Others) {
    if (demandOf(Each) < 0.1)
      continue;
    RC_ASSERT(Sum.contains(Key));
    RC_ASSERT(Sum.at(Key).Held == Each.Held);
    RC_ASSERT(Sum.at(Key).Waiting == Each.Waiting);
    RC_ASSERT(std::abs(Sum.at(Key).Asked - Each.Asked) < Rounding);
  }
}

// A summary may include an older report than the one that is subtracted.
RC_GTEST_PROP(FairShareTest, OldNewsNeverCountsBelowZero, ()) {
  WorkByClaim Sum = drawWork();
  WorkByClaim Newer = drawWork();
  subtractWork(Sum, Newer);
  for (const auto &[Key, Each] : Sum)
    RC_ASSERT(Each.Held >= 0 && Each.Waiting >= 0 && Each.Asked >= 0);
}

RC_GTEST_PROP(FairShareTest, BoundedReportsKeepTheSums, ()) {
  WorkByClaim Work = drawWork();
  auto MaxClaims = *rc::gen::inRange<std::size_t>(1, 12);
  WorkByClaim Bounded = largestClaims(Work, MaxClaims);
  RC_ASSERT(Bounded.size() <= MaxClaims + 3);
  std::map<int, std::pair<int, int>> Sums;
  std::map<int, int> Claims;
  for (const auto &[Key, Each] : Work) {
    Sums[Key.Rank].first += Each.Held;
    Sums[Key.Rank].second += Each.Waiting;
    Claims[Key.Rank] += Each.Claims;
  }
  for (const auto &[Key, Each] : Bounded) {
    Sums[Key.Rank].first -= Each.Held;
    Sums[Key.Rank].second -= Each.Waiting;
    Claims[Key.Rank] -= Each.Claims;
  }
  for (const auto &[Rank, Left] : Sums) {
    RC_ASSERT(Left == std::pair(0, 0));
    RC_ASSERT(Claims[Rank] == 0);
  }
}

TEST(FairShareTest, LimitsNobodyWhileThereArePlacesForAll) {
  WorkByClaim Own{{key(0, "large"), {90, 2, 80.0}}, {key(0, "small"), {1}}};
  ShareTable Table = makeShareTable(Own, {}, 100, {});
  EXPECT_FALSE(Table.Contended);
  EXPECT_FALSE(isBeyondShare(Table, key(0, "large")));
  EXPECT_FALSE(mustYield(Table, key(0, "large"), 0));
}

// Every entry has one place to give; the small organisation's callers are at
// one of them only.
TEST(FairShareTest, LeavesAPlaceToAnOrganisationThatWaitsElsewhere) {
  WorkByClaim Own{{key(0, "large"), {2, 3, 4.0}}};
  WorkByClaim Others{{key(0, "large"), {96, 40, 160.0}},
                     {key(0, "small"), {1, 4, 5.0}}};
  ShareTable Table = makeShareTable(Own, Others, 100, {});
  EXPECT_TRUE(mustYield(Table, key(0, "large"), 1));
  EXPECT_EQ(shareLimit(Table, key(0, "large")), ShareLimit::Organisation);
  ShareTable There =
      makeShareTable({{key(0, "small"), {1, 4, 5.0}}},
                     {{key(0, "large"), {98, 43, 164.0}}}, 100, {});
  EXPECT_TRUE(hasOwnShareLeft(There, key(0, "small")));
  EXPECT_FALSE(mustYield(There, key(0, "small"), 1));
}

TEST(FairShareTest, HoldsBackLessUrgentWorkWhileUrgentWorkWaits) {
  WorkByClaim Own{{key(2, "one"), {20, 5, 25.0}}};
  WorkByClaim Others{{key(0, "one"), {70, 30, 110.0}},
                     {key(2, "two"), {10, 0, 10.0}}};
  ShareTable Table = makeShareTable(Own, Others, 100, {});
  EXPECT_TRUE(mustYield(Table, key(2, "one"), 0));
  EXPECT_FALSE(mustYield(Table, key(0, "one"), 0));
  EXPECT_EQ(shareLimit(Table, key(2, "one")), ShareLimit::Rank);
}

TEST(FairShareTest, GivesANewOrganisationItsShareAtOnce) {
  WorkByClaim Own{{key(0, "new"), {0, 1, 1.0}}};
  WorkByClaim Others{{key(0, "old"), {100, 20, 150.0}}};
  ShareTable Table = makeShareTable(Own, Others, 100, {});
  EXPECT_FALSE(isBeyondShare(Table, key(0, "new")));
  EXPECT_TRUE(hasOwnShareLeft(Table, key(0, "new")));
  EXPECT_EQ(shareLimit(Table, key(0, "new")), ShareLimit::Places);
}

// A process that has just started knows only its own callers.
TEST(FairShareTest, DividesOwnPlacesWithoutNews) {
  WorkByClaim Own{{key(0, "large"), {9, 5, 20.0}},
                  {key(0, "small"), {1, 1, 2.0}}};
  ShareTable Table = makeShareTable(Own, {}, 10, {});
  EXPECT_EQ(Table.EntryShare, 1);
  EXPECT_TRUE(isBeyondShare(Table, key(0, "large")));
  EXPECT_FALSE(isBeyondShare(Table, key(0, "small")));
}

TEST(FairShareTest, DecaysWorkOfCallersThatHaveStopped) {
  PlaceClaims Claims;
  TimePoint Now{seconds(10)};
  noteAsked(Claims, key(0, "one"), seconds(2), Now);
  EXPECT_EQ(reportedClaims(Claims, {}, Now).size(), 1u);
  EXPECT_TRUE(reportedClaims(Claims, {}, Now + seconds(10)).empty());
}

// Jain, Chiu, Hawe, "A quantitative measure of fairness", 1984.
double jainsIndex(const std::vector<double> &Values) {
  double Sum = 0;
  double Squares = 0;
  for (double Each : Values) {
    Sum += Each;
    Squares += Each * Each;
  }
  return Sum * Sum / (static_cast<double>(Values.size()) * Squares);
}

// Returns how 24 organisations share 240 places, three of them large, when they
// offer Load times that.
ShareReplay usualLoad(double Load) {
  ShareReplay Replay;
  constexpr int Organisations = 24;
  constexpr double LargePart = 3;
  constexpr double Parts = 21 + 3 * LargePart;
  for (int Index = 0; Index < Organisations; ++Index)
    Replay.Callers.push_back(
        {Load * Replay.Places / Parts * (Index < 3 ? LargePart : 1.0)});
  return Replay;
}

// Places held, over the max-min share of what was offered.
std::vector<double> satisfaction(const ShareReplay &Replay,
                                 const ShareReplayResult &Result) {
  std::vector<double> Offered;
  for (const ReplayedCaller &Each : Replay.Callers)
    Offered.push_back(Each.Offered);
  std::vector<double> Fair = maxMinShares(
      Offered, std::vector<double>(Offered.size(), 1.0), Replay.Places);
  std::vector<double> Values;
  for (std::size_t Index = 0; Index < Fair.size(); ++Index)
    Values.push_back(Result.Callers[Index].HeldSeconds /
                     toSeconds(Replay.Length) / Fair[Index]);
  return Values;
}

class ShareReplayTest : public testing::TestWithParam<std::uint32_t> {};

TEST_P(ShareReplayTest, GreedyOrganisationDoesNotSlowTheOthers) {
  ShareReplay Usual = usualLoad(0.85);
  Usual.Seed = GetParam();
  Usual.Length = seconds(60);
  ShareReplay Greedy = Usual;
  Greedy.Callers[0].Offered *= 8;
  ShareReplayResult Before = replayShares(Usual);
  ShareReplayResult After = replayShares(Greedy);
  for (std::size_t Index = 1; Index < Usual.Callers.size(); ++Index)
    EXPECT_GE(After.Callers[Index].servedShare(),
              Before.Callers[Index].servedShare() - 0.05)
        << Index;
}

TEST_P(ShareReplayTest, SatisfiesOrganisationsAlikeUnderTwofoldOverload) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  ShareReplayResult Result = replayShares(Replay);
  std::vector<double> Values = satisfaction(Replay, Result);
  EXPECT_GE(jainsIndex(Values), 0.95);
  EXPECT_GE(*std::min_element(Values.begin(), Values.end()), 0.5);
}

TEST_P(ShareReplayTest, FillsThePlacesUnderOverload) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  ShareReplay Unlimited = Replay;
  Unlimited.Settings.Enabled = false;
  double Places = Replay.Places * toSeconds(Replay.Length);
  EXPECT_LE(replayShares(Replay).IdleSeconds,
            replayShares(Unlimited).IdleSeconds + 0.05 * Places);
}

TEST_P(ShareReplayTest, ServesUrgentCallersAndKeepsAFloorForTheOthers) {
  ShareReplay Replay = usualLoad(1.5);
  Replay.Seed = GetParam();
  for (std::size_t Index = 12; Index < Replay.Callers.size(); ++Index)
    Replay.Callers[Index].Rank = 2;
  ShareReplayResult Result = replayShares(Replay);
  CallerResult Urgent;
  CallerResult Other;
  for (std::size_t Index = 0; Index < Replay.Callers.size(); ++Index) {
    CallerResult &Into = Index < 12 ? Urgent : Other;
    Into.Asked += Result.Callers[Index].Asked;
    Into.Served += Result.Callers[Index].Served;
    EXPECT_GT(Result.Callers[Index].Served, 0) << Index;
  }
  EXPECT_GT(Urgent.servedShare(), Other.servedShare() + 0.2);
}

TEST_P(ShareReplayTest, SharesStayFairWhenAnEntryFallsSilent) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  Replay.Reports = [](int Entry, Duration At) {
    return Entry != 7 || At < seconds(5);
  };
  EXPECT_GE(jainsIndex(satisfaction(Replay, replayShares(Replay))), 0.95);
}

// The links of a zone's entries fail for reports; they serve on. Nobody knows
// the silent entries' work, so large organisations get more than their share.
TEST_P(ShareReplayTest, NobodyStarvesWhenAZoneFallsSilent) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  Replay.Reports = [](int Entry, Duration At) {
    return Entry % 3 != 0 || At < seconds(5) || At > seconds(12);
  };
  std::vector<double> Values = satisfaction(Replay, replayShares(Replay));
  double Mean = std::accumulate(Values.begin(), Values.end(), 0.0) /
                static_cast<double>(Values.size());
  EXPECT_GE(*std::min_element(Values.begin(), Values.end()), Mean / 2);
}

TEST_P(ShareReplayTest, SharesStayFairWhenAZoneIsLost) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  Replay.LostAt = seconds(6);
  EXPECT_GE(jainsIndex(satisfaction(Replay, replayShares(Replay))), 0.95);
}

// All processes start at once, in full load, and hear nothing for two seconds.
TEST_P(ShareReplayTest, SharesBecomeFairAfterAStartWithoutNews) {
  ShareReplay Replay = usualLoad(2);
  Replay.Seed = GetParam();
  Replay.Reports = [](int, Duration At) { return At >= seconds(2); };
  EXPECT_GE(jainsIndex(satisfaction(Replay, replayShares(Replay))), 0.95);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShareReplayTest, testing::Values(1, 2, 3));

} // namespace
} // namespace samphirehill
