#include "samphirehill/Serving/PlaceShares.h"

#include <algorithm>
#include <string>
#include <utility>

namespace samphirehill::serving {
namespace {

// Label of the requests without an organisation.
constexpr std::string_view Anonymous = "anonymous";

const ShareTable &tableOf(PlaceShares &Shares, const CountedClaim &Claim,
                          TimePoint Now) {
  return shareTable(Shares.Kinds[Claim.Kind], Shares.Settings, Now);
}

std::string_view label(PlaceShares &Shares, const OrganisationId &Id) {
  return boundedLabel(Shares.Organisations,
                      Id.empty() ? Anonymous : std::string_view(Id.str()));
}

} // namespace

bool appliesTo(const PlaceShares &Shares, const ServiceId &Service) {
  return Shares.Use == ShareUse::Always ||
         (Shares.Use == ShareUse::DifferingPriorities &&
          Shares.Differing.contains(Service));
}

CountedClaim countClaim(PlaceShares &Shares, ServiceModel Kind, ClaimKey Key,
                        Duration Holding, TimePoint Now) {
  CountedClaim Claim{std::move(Kind), std::move(Key)};
  Claim.Counted = true;
  noteAsked(Shares.Kinds[Claim.Kind], Claim.Key, Holding, Now);
  moveTo(Shares, Claim, ClaimPhase::Waiting);
  return Claim;
}

void moveTo(PlaceShares &Shares, CountedClaim &Claim, ClaimPhase Phase) {
  if (Claim.Counted)
    moveClaim(Shares.Kinds[Claim.Kind], Claim.Key,
              std::exchange(Claim.Phase, Phase), Phase);
}

void limitByShare(PlaceShares &Shares, const CountedClaim &Claim,
                  PlacementQuery &Query, TimePoint Now) {
  if (!Claim.Counted)
    return;
  const ShareTable &Table = tableOf(Shares, Claim, Now);
  if (!Table.Contended)
    return;
  Query.DemandShare = Table.EntryShare;
  // Late requests take no place from those that can still meet their objective.
  Query.WithinShare = !Query.Late && hasOwnShareLeft(Table, Claim.Key);
}

void yieldPlace(PlaceShares &Shares, CountedClaim &Claim, Placement &Found,
                TimePoint Now, ServingMetrics &Metrics) {
  if (!Claim.Counted)
    return;
  setPlaces(Shares.Kinds[Claim.Kind], Found.Occupied.Target);
  if (!Found.Chosen || !mustYield(tableOf(Shares, Claim, Now), Claim.Key,
                                  Found.Occupied.Target - Found.Occupied.All))
    return;
  Found.Chosen.reset();
  Found.Reason = PlacementFailure::Full;
  ++Found.Holds[HoldReason::Share];
  if (!std::exchange(Claim.HeldBack, true))
    Metrics.count("organisation_held_back", "organisation",
                  label(Shares, Claim.Key.Organisation));
}

bool isBeyondShare(PlaceShares &Shares, const CountedClaim &Claim,
                   TimePoint Now) {
  return Claim.Counted && isBeyondShare(tableOf(Shares, Claim, Now), Claim.Key);
}

ShareLimit noteOutcome(PlaceShares &Shares, const CountedClaim &Claim,
                       bool Served, TimePoint Now, ServingMetrics &Metrics) {
  if (!Claim.Counted)
    return ShareLimit::Places;
  Metrics.count(Served ? "organisation_served" : "organisation_unserved",
                "organisation", label(Shares, Claim.Key.Organisation));
  return shareLimit(tableOf(Shares, Claim, Now), Claim.Key);
}

std::map<ServiceModel, WorkByClaim>
claimedWork(PlaceShares &Shares, TimePoint Now, ServingMetrics &Metrics) {
  std::map<ServiceModel, WorkByClaim> Work;
  std::map<std::string_view, int> Waiting;
  if (!Shares.Settings.Enabled)
    return Work;
  for (auto &[Kind, Claims] : Shares.Kinds) {
    for (const auto &[Key, Each] : Claims.Own)
      Waiting[label(Shares, Key.Organisation)] += Each.Waiting;
    WorkByClaim Reported = reportedClaims(Claims, Shares.Settings, Now);
    if (!Reported.empty())
      Work[Kind] = std::move(Reported);
  }
  for (const auto &[Organisation, Count] : Waiting)
    Metrics.set("organisation_waiting", {{"organisation", Organisation}},
                Count);
  return Work;
}

void setWorkOfOthers(PlaceShares &Shares,
                     const std::map<ServiceModel, WorkByClaim> &Work) {
  for (const auto &[Kind, Claims] : Work)
    Shares.Kinds[Kind]; // callers may come to this entry later
  for (auto &[Kind, Claims] : Shares.Kinds) {
    auto Found = Work.find(Kind);
    setOthers(Claims, Found == Work.end() ? WorkByClaim() : Found->second);
  }
}

} // namespace samphirehill::serving
