#include "../../bench/dissemination/FleetSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace samphirehill {
namespace {

// One disturbance of a random run: a write, zone change, restart, partition or
// platform outage, chosen by Kind, after which PauseMs passes.
struct Disturbance {
  int Kind;
  std::size_t Index;
  std::int64_t PauseMs;
};

void disturb(Fleet &Entries, std::size_t Zones, const Disturbance &Next) {
  std::size_t Zone = Next.Index % Zones;
  switch (Next.Kind) {
  case 0:
    if (Entries.PlatformUp)
      Entries.write({ConfigKind, Next.Index % 2 == 0 ? "lumen" : "zarqa"}, "t");
    break;
  case 1:
    if (Entries.PlatformUp)
      Entries.write({PlacementKind, Entries.zoneName(Zone)}, "p");
    break;
  case 2:
    Entries.changeZone(Next.Index, Zone, Next.PauseMs % 2 == 0,
                       Next.PauseMs % 3 == 0 ? "lumen" : "zarqa");
    break;
  case 3:
    Entries.start(Next.Index, Next.PauseMs % 2 == 0);
    break;
  case 4:
    Entries.setGroup(Zone, static_cast<int>(Next.PauseMs % 2));
    break;
  case 5:
    Entries.PlatformUp = !Entries.PlatformUp;
    break;
  default:
    break;
  }
  Entries.run(milliseconds(Next.PauseMs));
}

struct RunResult {
  std::uint64_t Violations;
  bool Converged;
  bool Stored;
};

// Runs 9 entries in 3 zones with random disturbances, then heals the network
// and platform and gives the entries 20 s to converge.
RunResult randomRun(std::uint64_t Seed, SimulatedFault Fault) {
  Fleet Entries({9, 3, Seed, 0.2, 0.1, 300, Fault});
  std::mt19937_64 Random(Seed);
  Entries.run(seconds(5));
  for (int I = 0; I < 20; ++I)
    disturb(Entries, 3,
            {static_cast<int>(Random() % 6), Random() % 9,
             static_cast<std::int64_t>(Random() % 1500)});
  Entries.heal();
  Entries.run(seconds(20));
  return {Entries.violations(), Entries.converged(), Entries.stored()};
}

// Guards against configuration, placements or zone states that revert to an
// older version at an entry, and against reachable entries that keep different
// values after loss, duplication, reordering, partitions, restarts with stale
// reads and platform outages.
RC_GTEST_PROP(DisseminationTest, NeverRevertsAndConvergesWhenDisturbed, ()) {
  auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30);
  RunResult Seen = randomRun(Seed, SimulatedFault::None);
  RC_ASSERT(Seen.Violations == 0u);
  RC_ASSERT(Seen.Converged);
  RC_ASSERT(Seen.Stored);
}

// Guards against a property above that passes even if the decision functions
// are broken.
TEST(DisseminationTest, ReportsFaultWhenDecisionsAreBroken) {
  std::uint64_t OldPushViolations = 0;
  std::uint64_t EarlyJoinViolations = 0;
  std::size_t NotConverged = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    OldPushViolations +=
        randomRun(Seed, SimulatedFault::TakeEveryPush).Violations;
    EarlyJoinViolations +=
        randomRun(Seed, SimulatedFault::JoinAtOnce).Violations;
    NotConverged +=
        randomRun(Seed, SimulatedFault::LosePulls).Converged ? 0 : 1;
  }
  EXPECT_GT(OldPushViolations, 0u);
  EXPECT_GT(EarlyJoinViolations, 0u);
  EXPECT_EQ(NotConverged, 10u);
}

struct Cost {
  double Messages = 0; // per second, mean over the fleet
  double Bytes = 0;
  double MostMessages = 0; // of the busiest entry
  double MostBytes = 0;
};

Cost costOf(std::size_t Entries, std::size_t Zones, SimulatedFault Fault) {
  Fleet Sized({Entries, Zones, 7, 0, 0, 5, Fault});
  Sized.run(seconds(3));
  Sized.resetTraffic();
  Sized.run(seconds(2));
  Cost Seen;
  for (std::size_t I = 0; I < Sized.size(); ++I) {
    double Messages = static_cast<double>(Sized.sent(I).Messages) / 2;
    double Bytes = static_cast<double>(Sized.sent(I).Bytes) / 2;
    Seen.Messages += Messages / static_cast<double>(Entries);
    Seen.Bytes += Bytes / static_cast<double>(Entries);
    Seen.MostMessages = std::max(Seen.MostMessages, Messages);
    Seen.MostBytes = std::max(Seen.MostBytes, Bytes);
  }
  return Seen;
}

// Bounds per entry and second that follow from the fan-outs at any fleet size:
// heartbeats and, at a relay, summaries. A node may spend 24 KB/s on all
// control messages; a quarter of that is left for credits and upstream reports.
constexpr double MessageBound = 4 * MaxHeartbeatFanout + 2 * MaxSummaryFanout;
constexpr double MeanByteBound = 10'000;
constexpr double MostByteBound = 18'000;

bool withinBounds(const Cost &Seen) {
  return Seen.MostMessages <= MessageBound * 1.05 &&
         Seen.Bytes <= MeanByteBound && Seen.MostBytes <= MostByteBound;
}

struct Size {
  std::size_t Entries;
  std::size_t Zones;
};

// Guards against control traffic per node that grows with the fleet.
TEST(DisseminationTest, StaysWithinFixedBoundsAtAllSizes) {
  for (Size FleetSize :
       {Size{8, 3}, Size{64, 3}, Size{64, 24}, Size{350, 24}}) {
    Cost Seen =
        costOf(FleetSize.Entries, FleetSize.Zones, SimulatedFault::None);
    EXPECT_TRUE(withinBounds(Seen))
        << FleetSize.Entries << " entries in " << FleetSize.Zones
        << " zones: " << Seen.MostMessages << " messages/s, " << Seen.Bytes
        << " and " << Seen.MostBytes << " bytes/s";
  }
}

// Guards against a cost per entry that grows with the number of zones while the
// size of each zone stays the same.
TEST(DisseminationTest, KeepsCostPerEntryWhenZonesAreAdded) {
  Cost Few = costOf(72, 9, SimulatedFault::None);
  Cost Many = costOf(192, 24, SimulatedFault::None);
  EXPECT_NEAR(Many.Messages, Few.Messages, Few.Messages * 0.05);
  EXPECT_NEAR(Many.Bytes, Few.Bytes, Few.Bytes * 0.05);
}

// Guards against bounds so wide that traffic which grows with the fleet still
// stays within them.
TEST(DisseminationTest, ExceedsBoundsWhenSendingIsUnlimited) {
  EXPECT_FALSE(withinBounds(costOf(120, 24, SimulatedFault::TellWholeFleet)));
  EXPECT_FALSE(withinBounds(costOf(192, 24, SimulatedFault::TellAllVersions)));
}

// Guards against every entry watching the platform.
TEST(DisseminationTest, WatchesPlatformFromTwoEntriesPerZone) {
  Fleet Entries({64, 8, 3});
  Entries.run(seconds(3));
  EXPECT_EQ(Entries.watchers(), 16u);
}

// Guards against a configuration text that takes more than 6 s to be in force
// at every entry, and against a zone that still gets new requests 3 s after it
// was taken out.
TEST(DisseminationTest, ReachesAllEntriesInTimeWhenFleetIsLarge) {
  Fleet Entries({120, 24, 5});
  Entries.run(seconds(5));
  Entries.PlatformUp = false;
  Entries.changeZone(17, 4, true, "lumen");
  Entries.run(seconds(3));
  for (std::size_t I = 0; I < Entries.size(); ++I)
    EXPECT_TRUE(isZoneOut(Entries.shared(I), ZoneId(Entries.zoneName(4)))) << I;
  Entries.PlatformUp = true;
  Entries.write({ConfigKind, "lumen"}, "new");
  Entries.run(seconds(6));
  EXPECT_TRUE(Entries.converged());
  EXPECT_TRUE(Entries.stored());
}

// Guards against an instance that can't start, or starts without the shared
// values, while the platform is down.
TEST(DisseminationTest, JoinsFromSeedsWhenPlatformIsDown) {
  Fleet Entries({9, 3, 11});
  Entries.run(seconds(5));
  Entries.PlatformUp = false;
  Entries.changeZone(1, 2, true, "zarqa");
  Entries.run(seconds(3));
  Entries.start(4, false);
  Entries.run(seconds(3));
  EXPECT_TRUE(Entries.shared(4).IsJoined);
  EXPECT_TRUE(isZoneOut(Entries.shared(4), ZoneId(Entries.zoneName(2))));
  EXPECT_EQ(Entries.violations(), 0u);
}

} // namespace
} // namespace samphirehill
