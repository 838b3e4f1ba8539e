// Counts the work that callers of an entry ask for, as the entries report it to
// each other.
#ifndef SAMPHIREHILL_SERVING_WORKCOUNT_H
#define SAMPHIREHILL_SERVING_WORKCOUNT_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Groups/DemandPlan.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/UpstreamBook.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include <map>

namespace samphirehill::serving {

// Returns how long a request holds a slot of a group that has Load: until its
// first event, and then for the events of OutputTokens.
Duration expectedHolding(UpstreamLoad Load, std::int64_t PromptTokens,
                         std::int64_t OutputTokens, const EngineShape &Engine,
                         double Pace);

// Returns how long a request with the usual answer holds a slot of a group of
// Model of which the share Fill of the slots is taken.
Duration usualHolding(const EngineShape &Engine, const ModelShape &Model,
                      const RequestFacts &Facts, double Fill);

// Returns the rates at Now, in events per second.
std::map<ServiceModel, double>
ratesAt(const std::map<ServiceModel, EventRate> &Rates, TimePoint Now);

using WorkRates = std::map<ServiceModel, WorkRate>; // engine services only

// Counts a caller's request for Kind, with the time that it would hold a slot
// of a group that is about as full as groups should be.
void noteRequest(WorkRates &Rates, const ServiceModel &Kind,
                 const EngineShape &Engine, const RequestFacts &Facts,
                 TimePoint Now);

// Returns the work that callers of an entry in Zone ask for at Now.
WorkAsked workAsked(const WorkRates &Rates, const ZoneId &Zone, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WORKCOUNT_H
