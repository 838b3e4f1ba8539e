// Tests the choice of upstreams under loads at which an earlier rule, that
// chose the least loaded upstream, failed.
#include "Serving/PlacementReplay.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

PlacementLimits limitsWithPeers(Duration ReportAge) {
  PlacementLimits Limits;
  Limits.ReportAge = ReportAge;
  Limits.ManyEntries = true;
  return Limits;
}

// 295 entries with nearly one request per second each, half of the slots taken,
// reports 400 ms old. Without leveling, entries overfill the group that looks
// best: on the bench 31 in 100 arrivals met a full group while most groups had
// free slots.
TEST(PlacementReplayTest, ManyEntriesDoNotOverfillOneGroup) {
  ReplayedLoad Load;
  const Duration Age = milliseconds(400);
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Leveled = replay(Load, limitsWithPeers(Age), Age);
    EXPECT_LE(Leveled.Rejected * 100, Leveled.Arrivals) << Seed;
    EXPECT_GE(Leveled.InTime * 100, Leveled.Arrivals * 95) << Seed;
    ReplayResult LeastLoaded = replay(Load, {}, Age);
    EXPECT_GT(LeastLoaded.Rejected, 5 * Leveled.Rejected + 100) << Seed;
  }
}

// 8 entries, half of the slots taken, reports 100 ms old.
TEST(PlacementReplayTest, FewEntriesDoNotOverfillOneGroup) {
  ReplayedLoad Load;
  Load.Entries = 8;
  Load.Groups = 6;
  Load.PerSecond = 54;
  const Duration Age = milliseconds(100);
  PlacementLimits Limits = limitsWithPeers(Age);
  Limits.ManyEntries = false;
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Leveled = replay(Load, Limits, Age);
    EXPECT_LE(Leveled.Rejected * 100, Leveled.Arrivals) << Seed;
    EXPECT_GE(Leveled.InTime * 100, Leveled.Arrivals * 95) << Seed;
  }
}

// 27 entries in three zones, reports 400 ms old, half of the slots taken. On
// the bench two thirds of the requests went to another zone while their own
// zone's groups were no fuller.
TEST(PlacementReplayTest, KeepsWorkInItsZoneWhileThatIsNoFuller) {
  ReplayedLoad Load;
  Load.Entries = 27;
  Load.Groups = 12;
  Load.PerSecond = 110;
  Load.ZoneDemand = {1, 1, 1};
  const Duration Age = milliseconds(400);
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Kept = replay(Load, limitsWithPeers(Age), Age);
    EXPECT_GE(Kept.OwnZone * 100, Kept.Arrivals * 85) << Seed;
    EXPECT_LE(Kept.Rejected * 100, Kept.Arrivals) << Seed;
    EXPECT_GE(Kept.InTime * 100, Kept.Arrivals * 95) << Seed;
  }
}

// Two zones have one and a half times the demand of the third. With zones that
// are as good as far away, the entries level all groups together.
TEST(PlacementReplayTest, ServesZonesOfUnequalDemandNoLaterThanBefore) {
  ReplayedLoad Load;
  Load.Entries = 27;
  Load.Groups = 12;
  Load.PerSecond = 125;
  Load.ZoneDemand = {1, 1.5, 1.5};
  const Duration Age = milliseconds(400);
  PlacementLimits AllZones = limitsWithPeers(Age);
  AllZones.OwnZoneTolerance = -seconds(1);
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Kept = replay(Load, limitsWithPeers(Age), Age);
    ReplayResult Leveled = replay(Load, AllZones, Age);
    EXPECT_EQ(Kept.Arrivals, Leveled.Arrivals) << Seed;
    EXPECT_LE(Kept.FirstEvents, Leveled.FirstEvents) << Seed;
    EXPECT_LE(Kept.Rejected * 100, Kept.Arrivals) << Seed;
    EXPECT_GT(Kept.OwnZone, 2 * Leveled.OwnZone) << Seed;
  }
}

// One zone has all the demand that its groups could serve, and the others have
// little.
TEST(PlacementReplayTest, SpillsOverFromAZoneThatIsFull) {
  ReplayedLoad Load;
  Load.Entries = 27;
  Load.Groups = 12;
  Load.PerSecond = 110;
  Load.ZoneDemand = {1, 1, 4};
  const Duration Age = milliseconds(400);
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Spilled = replay(Load, limitsWithPeers(Age), Age);
    EXPECT_LE(Spilled.Rejected * 50, Spilled.Arrivals) << Seed;
    EXPECT_GE(Spilled.InTime * 100, Spilled.Arrivals * 95) << Seed;
    EXPECT_LT(Spilled.OwnZone * 100, Spilled.Arrivals * 85) << Seed;
  }
}

// Power is back: all entries are new processes and no report has arrived yet.
// An entry that takes itself for the only one fills its zone's groups one after
// the other, as all others do, so prompts wait for each other.
TEST(PlacementReplayTest, NewEntriesSpreadRequestsBeforeTheFirstReports) {
  ReplayedLoad Load;
  Load.Entries = 28;
  Load.Groups = 19;
  Load.Length = milliseconds(300);
  Load.ZoneDemand = {1, 1, 1};
  const Duration Age = milliseconds(400);
  for (double PerSecond : {300.0, 600.0, 1'000.0}) {
    Load.PerSecond = PerSecond;
    for (std::uint32_t Seed : {1u, 2u, 3u}) {
      Load.Seed = Seed;
      ReplayResult Spread = replay(Load, limitsWithPeers(Age), Age);
      ReplayResult Alone = replay(Load, {}, Age);
      EXPECT_EQ(Spread.NotPlaced, 0) << Seed;
      EXPECT_EQ(Spread.Rejected, 0) << Seed;
      EXPECT_LT(Spread.FirstEvents, Alone.FirstEvents) << Seed;
      EXPECT_GE(Spread.InTime, Alone.InTime) << Seed;
    }
  }
}

} // namespace
} // namespace samphirehill::serving
