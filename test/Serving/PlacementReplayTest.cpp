// The choice of an upstream under the loads at which it failed.
#include "Serving/PlacementReplay.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

PlacementLimits amongOthers(Duration ReportAge) {
  PlacementLimits Limits;
  Limits.ReportAge = ReportAge;
  Limits.ManyEntries = true;
  return Limits;
}

// The load pattern: 295 entries with nearly one request a second each, half of
// the places taken, news 400 ms old. Seen on the bench: 31 in 100 arrivals met
// a full group while most groups had places.
TEST(PlacementReplayTest, ManyEntriesDoNotOverfillOneGroup) {
  ReplayedLoad Load;
  const Duration Age = milliseconds(400);
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Leveled = replay(Load, amongOthers(Age), Age);
    EXPECT_LE(Leveled.Rejected * 100, Leveled.Arrivals) << Seed;
    EXPECT_GE(Leveled.InTime * 100, Leveled.Arrivals * 95) << Seed;
    ReplayResult Least = replay(Load, {}, Age);
    EXPECT_GT(Least.Rejected, 5 * Leveled.Rejected + 100) << Seed;
  }
}

// The load pattern: 8 entries, half of the places taken, news 100 ms old.
TEST(PlacementReplayTest, FewEntriesDoNotOverfillOneGroup) {
  ReplayedLoad Load;
  Load.Entries = 8;
  Load.Groups = 6;
  Load.PerSecond = 54;
  const Duration Age = milliseconds(100);
  PlacementLimits Limits = amongOthers(Age);
  Limits.ManyEntries = false;
  for (std::uint32_t Seed : {1u, 2u, 3u}) {
    Load.Seed = Seed;
    ReplayResult Leveled = replay(Load, Limits, Age);
    EXPECT_LE(Leveled.Rejected * 100, Leveled.Arrivals) << Seed;
    EXPECT_GE(Leveled.InTime * 100, Leveled.Arrivals * 95) << Seed;
  }
}

} // namespace
} // namespace samphirehill::serving
