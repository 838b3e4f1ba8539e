#include "samphirehill/Serving/Configuration.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

TEST(ConfigurationTest, PicksServicesByWeight) {
  Route Split;
  Split.Services = {{ServiceId("one"), 90}, {ServiceId("two"), 10}};
  EXPECT_EQ(*pickService(Split, 0.0), ServiceId("one"));
  EXPECT_EQ(*pickService(Split, 0.89), ServiceId("one"));
  EXPECT_EQ(*pickService(Split, 0.91), ServiceId("two"));
  EXPECT_EQ(pickService(Route{}, 0.5), nullptr);
}

TEST(ConfigurationTest, PrefersThePriorityOfTheOrganisation) {
  Route Tested;
  Tested.Priority = 3;
  Organisation Caller;
  EXPECT_EQ(priorityOf(Tested, nullptr), 3);
  EXPECT_EQ(priorityOf(Tested, &Caller), 3);
  Caller.Priority = 1;
  EXPECT_EQ(priorityOf(Tested, &Caller), 1);
  Caller.Priority = 12;
  EXPECT_EQ(priorityOf(Tested, &Caller), 9);
}

TEST(ConfigurationTest, FindsServicesWhoseRoutesDifferInPriority) {
  Route First;
  First.Host = "first";
  First.Priority = 1;
  First.Services = {{ServiceId("pool"), 1}, {ServiceId("booking"), 1}};
  Route Second = First;
  Second.Host = "second";
  Configuration Config;
  Config.Routes = RouteTable::create(std::vector<Route>{First, Second});
  EXPECT_TRUE(servicesWithPriorities(Config).empty());
  Second.Priority = 2;
  Second.Services = {{ServiceId("pool"), 1}};
  Config.Routes = RouteTable::create(std::vector<Route>{First, Second});
  EXPECT_EQ(servicesWithPriorities(Config),
            std::set<ServiceId>{ServiceId("pool")});
}

TEST(ConfigurationTest, AllowsRepeatsForSafeAndResumableRoutesOnly) {
  Route Tested;
  Tested.Kind = RequestKind::Safe;
  EXPECT_TRUE(isRepeatable(Tested));
  Tested.Kind = RequestKind::Unsafe;
  Tested.Resumable = true;
  EXPECT_FALSE(isRepeatable(Tested));
  Tested.Kind = RequestKind::Stream;
  EXPECT_TRUE(isRepeatable(Tested));
  Tested.Resumable = false;
  EXPECT_FALSE(isRepeatable(Tested));
}

} // namespace
} // namespace samphirehill::serving
