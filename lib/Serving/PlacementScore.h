// What an upstream is worth for one request: its expected times, and how many
// of its slots may be filled. Part of Placement.
#ifndef SAMPHIREHILL_LIB_SERVING_PLACEMENTSCORE_H
#define SAMPHIREHILL_LIB_SERVING_PLACEMENTSCORE_H

#include "samphirehill/Serving/UpstreamBook.h"

namespace samphirehill::serving {

// Returns how many prompt tokens an engine processes within Age.
double promptTokensWithin(const EngineShape &Engine, Duration Age);

// Estimates the load of an upstream now from peer reports that are ReportAge
// old: prompt tokens that it has processed since then are subtracted.
UpstreamLoad estimatedLoad(const UpstreamState &State,
                           const PlacementQuery &Query, Duration ReportAge);

// Returns whether the pending prompts at the upstream would delay the first
// event beyond the share of the objective that ObjectiveShare allows, and by
// more than any request, however long its own prompt, has to accept.
bool promptsDelayTooLong(const UpstreamState &State,
                         const PlacementQuery &Query,
                         const PlacementLimits &Limits);

// Returns the score of an upstream with Load, in seconds; lower is better.
double score(const UpstreamState &State, const UpstreamLoad &Load,
             const PlacementQuery &Query, const PlacementLimits &Limits);

// Returns how long a request occupies its slot at an upstream with Load, in
// seconds.
double holdingSeconds(const UpstreamState &State, const UpstreamLoad &Load,
                      const PlacementQuery &Query,
                      const PlacementLimits &Limits);

// Returns how many slots of an upstream the entries together may fill: all but
// those kept free by PlacementLimits::FreeDeviations.
double targetSlots(const UpstreamState &State, const PlacementQuery &Query,
                   const PlacementLimits &Limits);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_LIB_SERVING_PLACEMENTSCORE_H
