#include "samphirehill/Serving/PlaceShares.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const ServiceModel Kind{ServiceId("pool"), "large"};
const ClaimKey Large{0, OrganisationId("large")};
const ClaimKey Small{0, OrganisationId("small")};

// Ten places, of which a large organisation has asked for more than half at
// other entries. A request of each organisation arrives here.
class PlaceSharesTest : public testing::Test {
protected:
  PlaceSharesTest() {
    setWorkOfOthers(Shares,
                    {{Kind, {{Large, {8, 4, 12.0}}, {Small, {1, 1, 2.0}}}}});
    setPlaces(Shares.Kinds[Kind], 10);
    LargeClaim = countClaim(Shares, Kind, Large, seconds(1), Now);
    SmallClaim = countClaim(Shares, Kind, Small, seconds(1), Now);
  }

  // Returns what placement finds when it would choose an upstream.
  static Placement freePlace() {
    Placement Found;
    Found.Chosen = UpstreamKey{InstanceId("i-1"), 1};
    Found.Occupied = {10, 0, 9};
    return Found;
  }

  TimePoint Now{seconds(10)};
  PlaceShares Shares;
  ServingMetrics Metrics;
  CountedClaim LargeClaim;
  CountedClaim SmallClaim;
};

TEST_F(PlaceSharesTest, YieldsThePlaceToClaimsWithinTheirShare) {
  Placement Found = freePlace();
  yieldPlace(Shares, LargeClaim, Found, Now, Metrics);
  EXPECT_FALSE(Found.Chosen);
  EXPECT_EQ(Found.Reason, PlacementFailure::Full);
  Found = freePlace();
  yieldPlace(Shares, SmallClaim, Found, Now, Metrics);
  EXPECT_TRUE(Found.Chosen);
  EXPECT_TRUE(isBeyondShare(Shares, LargeClaim, Now));
  EXPECT_FALSE(isBeyondShare(Shares, SmallClaim, Now));
}

TEST_F(PlaceSharesTest,
       AppliesWherePrioritiesDifferUnlessOperatorsSayOtherwise) {
  ServiceId Equal("equal");
  ServiceId Differing("differing");
  Shares.Differing = {Differing};
  EXPECT_FALSE(appliesTo(Shares, Equal));
  EXPECT_TRUE(appliesTo(Shares, Differing));
  Shares.Use = ShareUse::Always;
  EXPECT_TRUE(appliesTo(Shares, Equal));
  Shares.Use = ShareUse::Never;
  EXPECT_FALSE(appliesTo(Shares, Differing));
}

TEST_F(PlaceSharesTest, YieldsNothingWhenSwitchedOff) {
  Shares.Settings.Enabled = false;
  Placement Found = freePlace();
  yieldPlace(Shares, LargeClaim, Found, Now, Metrics);
  EXPECT_TRUE(Found.Chosen);
  EXPECT_TRUE(claimedWork(Shares, Now, Metrics).empty());
}

TEST_F(PlaceSharesTest, LetsLateRequestsTakeNoPlaceOfTheirShare) {
  PlacementQuery Query;
  limitByShare(Shares, SmallClaim, Query, Now);
  EXPECT_TRUE(Query.WithinShare);
  EXPECT_LT(Query.DemandShare, 1);
  Query = {};
  Query.Late = true;
  limitByShare(Shares, SmallClaim, Query, Now);
  EXPECT_FALSE(Query.WithinShare);
}

TEST_F(PlaceSharesTest, CountsWhereEachRequestStands) {
  auto Own = [&] { return claimedWork(Shares, Now, Metrics)[Kind][Small]; };
  EXPECT_EQ(Own().Waiting, 1);
  moveTo(Shares, SmallClaim, ClaimPhase::Holding);
  EXPECT_EQ(Own().Waiting, 0);
  EXPECT_EQ(Own().Held, 1);
  moveTo(Shares, SmallClaim, ClaimPhase::None);
  moveTo(Shares, SmallClaim, ClaimPhase::None);
  EXPECT_EQ(Own().Held, 0);
}

TEST_F(PlaceSharesTest, SaysWhoseLimitKeptARequestWaiting) {
  EXPECT_EQ(noteOutcome(Shares, LargeClaim, false, Now, Metrics),
            ShareLimit::Organisation);
  EXPECT_EQ(noteOutcome(Shares, SmallClaim, true, Now, Metrics),
            ShareLimit::Places);
  EXPECT_NE(Metrics.text().find("samphirehill_organisation_unserved_total"
                                "{organisation=\"large\"} 1"),
            std::string::npos);
}

TEST_F(PlaceSharesTest, BoundsTheLabelsOfTheMetrics) {
  LabelBound Bound{2, {}};
  EXPECT_EQ(boundedLabel(Bound, "one"), "one");
  EXPECT_EQ(boundedLabel(Bound, "two"), "two");
  EXPECT_EQ(boundedLabel(Bound, "three"), "other");
  EXPECT_EQ(boundedLabel(Bound, "one"), "one");
}

// Requests for plain services have no claim.
TEST_F(PlaceSharesTest, LeavesUncountedRequestsAlone) {
  CountedClaim None;
  Placement Found = freePlace();
  yieldPlace(Shares, None, Found, Now, Metrics);
  EXPECT_TRUE(Found.Chosen);
  moveTo(Shares, None, ClaimPhase::Holding);
  EXPECT_FALSE(isBeyondShare(Shares, None, Now));
}

} // namespace
} // namespace samphirehill::serving
