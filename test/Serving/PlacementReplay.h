// Replays a load on the choice of an upstream alone: many entries place the
// requests of one model by news of each other's loads that is some periods old.
#ifndef SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H
#define SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H

#include "samphirehill/Serving/UpstreamBook.h"

#include <cstdint>

namespace samphirehill::serving {

struct ReplayedLoad {
  int Entries = 295;
  int Groups = 28;
  double PerSecond = 250; // requests over all entries
  Duration Length = seconds(10);
  std::uint32_t Seed = 1;
};

struct ReplayResult {
  int Arrivals = 0;  // at groups
  int Rejected = 0;  // by groups that were full
  int InTime = 0;    // first events within the objective
  int NotPlaced = 0; // no entry had a place
};

// Plays Load where entries choose with Limits; ReportAge is the age of the
// news.
ReplayResult replay(const ReplayedLoad &Load, const PlacementLimits &Limits,
                    Duration ReportAge);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_PLACEMENTREPLAY_H
