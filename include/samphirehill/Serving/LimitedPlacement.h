// Applies the limits that instances state to the placement of requests, and
// takes over such statements from answers and from other entries.
#ifndef SAMPHIREHILL_SERVING_LIMITEDPLACEMENT_H
#define SAMPHIREHILL_SERVING_LIMITEDPLACEMENT_H

#include "samphirehill/Serving/RequestWire.h"
#include "samphirehill/Serving/ServingMetrics.h"
#include "samphirehill/Serving/StatedLimits.h"
#include "samphirehill/Serving/UpstreamBook.h"

#include <cstddef>
#include <map>

namespace samphirehill::serving {

// Takes over what an answer of From to this entry states. A limit counts in any
// answer, its absence only in one that From itself has sealed: a refusal or a
// failure may lack the statement. Returns whether the limit in force has
// changed.
bool noteAnswerLimit(UpstreamBook &Book, const InstanceLife &From,
                     const AnswerFacts &Answer, ServingMetrics &Metrics,
                     TimePoint Now);

// Takes over statements that were made to another entry.
void applyLimitNews(UpstreamBook &Book, const std::vector<LimitNews> &News,
                    TimePoint Now);

// Updates this entry's share of each limit; called periodically. OwnRates are
// the requests per second that callers send to this entry.
void updateLimitShares(UpstreamBook &Book,
                       const std::map<ServiceModel, double> &OwnRates,
                       ServingMetrics &Metrics, TimePoint Now);

// Returns whether Info's instance states a limit.
bool isLimited(const UpstreamBook &Book, const Upstream &Info);

// Returns whether the limit of Info's instance keeps this entry from sending it
// a request at Now.
bool isHeldBack(const UpstreamBook &Book, const Upstream &Info, TimePoint Now);

// Returns how many of Places a stated limit leaves usable at State's upstream,
// if a request holds its place for Holding, in seconds.
double placesWithinLimit(const UpstreamBook &Book, const Upstream &Info,
                         double Places, double Holding);

// Returns after what time a request for Query may be sent, if the limits of the
// upstreams that could take it are what holds it back and Ahead requests of
// this entry wait already; LongestTokenWait if never.
Duration waitForLimits(const UpstreamBook &Book, const PlacementQuery &Query,
                       std::ptrdiff_t Ahead, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_LIMITEDPLACEMENT_H
