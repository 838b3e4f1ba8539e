// Tests which zones are out of service while the store changes or is restored.
#include "samphirehill/Serving/ZonesOut.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Now{seconds(100)};
const ZoneId North("north");
const ZoneId South("south");

TEST(ZonesOutTest, IgnoresEarlierMarks) {
  ZonesOut Zones;
  EXPECT_TRUE(applyZonesOut(Zones, {North}, {1, 9}, Now));
  EXPECT_FALSE(applyZonesOut(Zones, {}, {1, 8}, Now));
  EXPECT_TRUE(applyZonesOut(Zones, {}, {1, 10}, Now));
  EXPECT_TRUE(zonesInForce(Zones, Now).empty());
}

// Guards against requests into a zone whose evacuation is lost when the store
// is restored (EVAC), until the operator has written it again.
TEST(ZonesOutTest, KeepsZonesOutForAWhileThatTheRestoredStoreLacks) {
  ZonesOut Zones;
  applyZonesOut(Zones, {North}, {1, 9}, Now);
  EXPECT_TRUE(applyZonesOut(Zones, {South}, {2, 4}, Now));
  EXPECT_EQ(zonesInForce(Zones, Now + milliseconds(1'900)),
            (std::set<ZoneId>{North, South}));
  EXPECT_EQ(zonesInForce(Zones, Now + milliseconds(2'100)),
            std::set<ZoneId>{South});
  EXPECT_FALSE(applyZonesOut(Zones, {North}, {1, 12}, Now));
}

TEST(ZonesOutTest, TakesBackZonesThatAreNoLongerListedInOneEra) {
  ZonesOut Zones;
  applyZonesOut(Zones, {North}, {0, 9}, Now);
  applyZonesOut(Zones, {}, {1, 10}, Now); // the first era that is named
  EXPECT_TRUE(zonesInForce(Zones, Now).empty());
}

} // namespace
} // namespace samphirehill::serving
