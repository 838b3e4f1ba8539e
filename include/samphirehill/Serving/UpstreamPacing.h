// Applies Limits/UpstreamPace to the upstreams of an UpstreamBook. No I/O
// except for the log and the metrics.
#ifndef SAMPHIREHILL_SERVING_UPSTREAMPACING_H
#define SAMPHIREHILL_SERVING_UPSTREAMPACING_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Limits/UpstreamPace.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <map>

namespace samphirehill::serving {

// Returns what the limit of State's upstream depends on.
PacedUpstream pacedUpstream(const UpstreamState &State);

// Returns whether the upstream's pace lets this entry send the request now.
bool mayTakeAtItsPace(const UpstreamBook &Book, const UpstreamState &State,
                      const PlacementQuery &Query, TimePoint Now);

// Returns Query as a request to the upstream of State, where it would occupy a
// slot for Holding.
PacedRequest pacedRequest(const UpstreamBook &Book, const UpstreamState &State,
                          const PlacementQuery &Query, Duration Holding,
                          TimePoint Now);

// Counts a request that is sent to the upstream of State.
void countSent(UpstreamState &State, const PlacementLimits &Limits,
               TimePoint Now);

// Records an answer of Key to a request that was sent at SentAt and should be
// answered within Expected; zero if nothing is known of that time.
void noteAnswered(UpstreamBook &Book, const UpstreamKey &Key, TimePoint SentAt,
                  Duration Expected, TimePoint Now);

// Records that Key has failed in the way of Cause.
void noteUpstreamFailed(UpstreamBook &Book, const UpstreamKey &Key,
                        PaceCause Cause, TimePoint Now);

// Calls avoidUpstream for the time For, and lowers the pace that follows.
void avoidAndSlow(UpstreamBook &Book, const UpstreamKey &Key,
                  AvoidReason Reason, Duration For, TimePoint Now);

// Takes over what the other entries report of the upstreams' paces. Call this
// after setPeerLoads.
void followReportedPaces(UpstreamBook &Book, TimePoint Now);

// Returns the limit of the upstream of State that this entry tells the others.
ToldPace toldPace(const UpstreamState &State, const PaceSettings &Settings,
                  TimePoint Now);

// The states that the log and the metrics show.
struct ShownPaces {
  std::map<UpstreamKey, PaceState> States; // without those at full pace
};

// Logs and counts the changes since the last call, and sets the gauges. These
// show the limits of at most MostShownPaces upstreams.
inline constexpr int MostShownPaces = 32;
void showPaces(ShownPaces &Shown, const UpstreamBook &Book,
               ServingMetrics &Metrics, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_UPSTREAMPACING_H
