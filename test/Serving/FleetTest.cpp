#include "samphirehill/Serving/Fleet.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

class FleetViewTest : public testing::Test {
protected:
  void add(const Instance &Listed) {
    Listing.Instances[Listed.Id] = {Listed, {}, {}};
  }

  Fleet Listing;
  Configuration Config = testConfiguration();
};

// A group must not get requests while a member is missing.
TEST_F(FleetViewTest, UsesGroupOnlyWhileComplete) {
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
  add(member("b", "small.7", 7, 1, MemberPhase::Ready));
  std::vector<Upstream> Usable = usableUpstreams(Listing, Config);
  ASSERT_EQ(Usable.size(), 1u);
  EXPECT_EQ(Usable[0].Key, (UpstreamKey{InstanceId("a"), 7}));
  EXPECT_EQ(Usable[0].Model, "small");
  Listing.Instances.erase(InstanceId("b"));
  EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
}

TEST_F(FleetViewTest, RequiresMembersOfOneEpoch) {
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  add(member("b", "small.7", 6, 1, MemberPhase::Ready));
  EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
}

TEST_F(FleetViewTest, ExcludesGroupsThatAreNotOpen) {
  for (MemberPhase Phase : {MemberPhase::Joining, MemberPhase::Ready,
                            MemberPhase::Closing, MemberPhase::Broken}) {
    add(member("a", "small.7", 7, 0, Phase));
    add(member("b", "small.7", 7, 1, MemberPhase::Ready));
    EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
  }
}

TEST_F(FleetViewTest, ExcludesDrainingInstancesAndZonesOutOfService) {
  Instance Plain = engine("p", "north-d0");
  Plain.Service = PlainService;
  add(Plain);
  EXPECT_EQ(usableUpstreams(Listing, Config).size(), 1u);
  Listing.ZonesOut = {ZoneId("north")};
  EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
  Listing.ZonesOut.clear();
  Plain.Draining = true;
  add(Plain);
  EXPECT_TRUE(usableUpstreams(Listing, Config).empty());
}

TEST_F(FleetViewTest, ReadsModelFromGroupName) {
  EXPECT_EQ(modelOfGroup(groupName("m.1", 12)), "m.1");
  EXPECT_EQ(modelOfGroup("foreign"), "");
}

} // namespace
} // namespace samphirehill::serving
