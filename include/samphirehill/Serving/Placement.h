// Chooses an upstream for each request, by the loads that an UpstreamBook
// holds. Does no I/O; callers pass the time.
#ifndef SAMPHIREHILL_SERVING_PLACEMENT_H
#define SAMPHIREHILL_SERVING_PLACEMENT_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <optional>

namespace samphirehill::serving {

// Why no upstream was chosen.
enum class PlacementFailure {
  Absent, // no untried upstream serves the ServiceModel
  Full,   // such upstreams exist, but none may take the request now
  Quiet,  // all upstreams of the ServiceModel have asked for a pause
};

struct Placement {
  std::optional<UpstreamKey> Chosen;
  PlacementFailure Reason = PlacementFailure::Absent; // if nothing is chosen
  int Candidates = 0;     // upstreams of the ServiceModel that aren't leaving
  TimePoint QuietUntil{}; // Reason is Quiet: when the first pause ends
  PlaceFlow Flow;         // the places of the ServiceModel
};

// Chooses an upstream that may take a request now. Without peers that is the
// one with the best score. With peers, which choose by the same delayed
// reports, the choice is random, with probabilities by which all entries
// together level the loads (Dahlin, "Interpreting stale load information",
// 1999).
Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PLACEMENT_H
