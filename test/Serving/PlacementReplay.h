// Simulates the choice of upstreams alone: many entries place the requests of
// one model by delayed reports of each other's load.
#ifndef SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H
#define SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H

#include "samphirehill/Serving/Placement.h"

#include <cstdint>
#include <vector>

namespace samphirehill::serving {

struct ReplayedLoad {
  int Entries = 295;
  int Groups = 28;
  double PerSecond = 250; // requests over all entries
  // Demand of each zone, relative to the others. Entries and groups are spread
  // evenly over the zones.
  std::vector<double> ZoneDemand{1, 1, 1, 1, 1};
  Duration Length = seconds(10);
  std::uint32_t Seed = 1;
};

struct ReplayResult {
  int Arrivals = 0;       // requests that were sent to a group
  int Rejected = 0;       // of these: refused by a full group
  int InTime = 0;         // of these: first event within the objective
  int NotPlaced = 0;      // requests for which the entry chose no group
  int OwnZone = 0;        // arrivals at a group in the zone of the entry
  Duration FirstEvents{}; // sum of the times to the first event
};

// Simulates Load with entries that choose with Limits, by reports that are
// ReportAge old.
ReplayResult replay(const ReplayedLoad &Load, const PlacementLimits &Limits,
                    Duration ReportAge);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H
