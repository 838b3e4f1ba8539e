// Chooses an upstream for each request, by the loads that an UpstreamBook
// holds. Does no I/O; callers pass the time.
#ifndef SAMPHIREHILL_SERVING_PLACEMENT_H
#define SAMPHIREHILL_SERVING_PLACEMENT_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/PlacementHolds.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <optional>
#include <string>

namespace samphirehill::serving {

// Why no upstream was chosen.
enum class PlacementFailure {
  Absent, // no untried upstream serves the ServiceModel
  Full,   // such upstreams exist, but none may take the request now
  Quiet,  // all upstreams of the ServiceModel have asked for a pause
  // The limits that upstreams have stated keep this entry from sending to any
  // untried one that hasn't asked for a pause.
  Limited,
  // All upstreams of the ServiceModel are in zones that are cut off.
  Unreachable,
};

// Slots of one ServiceModel, and the requests in them. Without upstreams that
// state a limit: their slots are not what bounds the requests.
struct Occupancy {
  double Target = 0; // slots that the entries together may fill
  int Own = 0;       // requests of this entry
  int All = 0;       // requests of all entries
};

// Returns the name of Reason in the log.
const char *toString(PlacementFailure Reason);

struct Placement {
  std::optional<UpstreamKey> Chosen;
  PlacementFailure Reason = PlacementFailure::Absent; // if nothing is chosen
  Occupancy Occupied;
  // Upstreams of the ServiceModel that aren't leaving and can be reached.
  int Candidates = 0;
  // Reason is Quiet: when the first pause ends. Unreachable: when callers reach
  // another zone.
  TimePoint RetryAt{};
  HoldCounts Holds; // of the untried upstreams
};

// Returns why nothing was chosen, as it is logged.
std::string describeFailure(const Placement &Failed);

// Chooses an upstream that may take a request now. Without peers that is the
// one with the best score. With peers, which choose by the same delayed
// reports, the choice is random, with probabilities by which all entries
// together level the loads (Dahlin, "Interpreting stale load information",
// 1999).
Placement place(const UpstreamBook &Book, const PlacementQuery &Query,
                TimePoint Now);

// Returns the expected time to the first event of a request for Query that has
// just been sent to State's upstream, so that its load includes the request;
// zero for a plain service.
Duration expectedFirstAt(const UpstreamState &State,
                         const PlacementQuery &Query);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PLACEMENT_H
