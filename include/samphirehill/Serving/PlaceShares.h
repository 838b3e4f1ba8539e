// Applies fair shares of places to the requests of this entry: counts their
// claims, and limits placement and order by the shares. The decisions are in
// Limits/FairShare.h. Only engine services have claims.
#ifndef SAMPHIREHILL_SERVING_PLACESHARES_H
#define SAMPHIREHILL_SERVING_PLACESHARES_H

#include "samphirehill/Config/ServingSettings.h"
#include "samphirehill/Limits/FairShare.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/Placement.h"
#include "samphirehill/Serving/ServingMetrics.h"

#include <map>
#include <set>

namespace samphirehill::serving {

struct PlaceShares {
  ShareUse Use = ShareUse::DifferingPriorities;
  ShareSettings Settings;
  std::set<ServiceId> Differing; // services whose routes differ in priority
  std::map<ServiceModel, PlaceClaims> Kinds;
  LabelBound Organisations; // of the metrics
};

// The claim of one request.
struct CountedClaim {
  ServiceModel Kind;
  ClaimKey Key;
  ClaimPhase Phase = ClaimPhase::None;
  bool Counted = false;  // false: the request is for a plain service
  bool HeldBack = false; // it has left a free place to others
};

// Returns whether requests of Service get fair shares of its places.
bool appliesTo(const PlaceShares &Shares, const ServiceId &Service);

// Begins to count a request that will hold a place for Holding.
CountedClaim countClaim(PlaceShares &Shares, ServiceModel Kind, ClaimKey Key,
                        Duration Holding, TimePoint Now);

void moveTo(PlaceShares &Shares, CountedClaim &Claim, ClaimPhase Phase);

// Sets how many places the claim's entry and organisation may take in Query,
// if places are short.
void limitByShare(PlaceShares &Shares, const CountedClaim &Claim,
                  PlacementQuery &Query, TimePoint Now);

// Takes note of the places that Found saw. If the request must leave the place
// to others, removes it from Found as if all were taken.
void yieldPlace(PlaceShares &Shares, CountedClaim &Claim, Placement &Found,
                TimePoint Now, ServingMetrics &Metrics);

// Returns whether the claim has its share of places that are short.
bool isBeyondShare(PlaceShares &Shares, const CountedClaim &Claim,
                   TimePoint Now);

// Counts the end of a request, and returns whose limit kept it waiting.
ShareLimit noteOutcome(PlaceShares &Shares, const CountedClaim &Claim,
                       bool Served, TimePoint Now, ServingMetrics &Metrics);

// Returns the claims of this entry by kind, for its report.
std::map<ServiceModel, WorkByClaim>
claimedWork(PlaceShares &Shares, TimePoint Now, ServingMetrics &Metrics);

// Replaces the claims of the other entries.
void setWorkOfOthers(PlaceShares &Shares,
                     const std::map<ServiceModel, WorkByClaim> &Work);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_PLACESHARES_H
