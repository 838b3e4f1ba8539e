// Plans the engines of each model by the work that callers ask for. Answers a
// load in which one model's groups refuse requests while another's run half
// empty. Free functions over plain structs, without I/O.
#ifndef SAMPHIREHILL_GROUPS_DEMANDPLAN_H
#define SAMPHIREHILL_GROUPS_DEMANDPLAN_H

#include "samphirehill/Config/ServingSettings.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill {

// A kind of place that callers ask for, and the zone of the entry that they
// ask.
struct WorkKind {
  ZoneId Zone;
  ServiceId Service;
  std::string Model;

  auto operator<=>(const WorkKind &) const = default;
};

// Work asked for, in places (slots of a group): the places that the requests of
// a second would fill. Requests that were refused are included; a caller that
// returns with a refused request counts once.
using WorkAsked = std::map<WorkKind, double>;

// Places that are asked for, as a moving average over a second.
struct WorkRate {
  double Places = 0;
  TimePoint UpdatedAt{};
};

// Counts a request that would hold a place for Holding seconds.
void noteWork(WorkRate &Rate, double Holding, TimePoint Now);

// Returns the places that are asked for at Now.
double workAt(const WorkRate &Rate, TimePoint Now);

struct DemandPlanSettings {
  ShareMode Mode = ShareMode::Demand;
  // Time constant of the average by which the engines are divided. It exceeds
  // the length of bursts, so that they don't move engines to and fro.
  Duration Smoothing = seconds(8);
  // Demand must have been known for this long before it is used.
  Duration LeastKnown = milliseconds(1'500);
  // The last known demand is used for this long without news, then the stated
  // shares.
  Duration MaxAge = seconds(20);
  // Share of a group's slots that can be filled before requests are refused:
  // requests arrive unevenly, and the entries know the load with a delay.
  double UsableFill = 0.8;
  // From the order to close a group until its engines are free.
  Duration DrainTime = milliseconds(2'500);
  // A change must have paid back what it costs within this, and must improve
  // the share that the worst-served model gets of its demand by LeastGain in
  // that time.
  Duration Payback = seconds(12);
  double LeastGain = 0.03;
  // After a change between two models none is made in the other direction for
  // this long.
  Duration Rest = seconds(15);
  // Share of the engines that may be in groups that are given up at one time.
  // One group may always be given up.
  double MaxInChange = 0.15;
  // No group of a domain is given up until the domain's usable engines have
  // been the same for this long.
  Duration Settled = seconds(2);
};

// Returns whether the engines are divided by demand among models with groups of
// GroupSizes engines. Automatic: only if all groups have six engines or more.
// Smaller groups that lose an engine are complete again sooner if the others of
// their domain hold the weights of their own model, as the stated shares have
// it, than if they are prepared to change models.
bool followsDemand(ShareMode Mode, const std::vector<int> &GroupSizes);

// Places asked for, with the time of the news.
struct DatedWork {
  double Places = 0;
  TimePoint At{};
};

// The work asked for as it was last told, by kind and zone. A zone of which
// there is no news, such as one that is cut off, keeps its last value.
using KnownWork = std::map<WorkKind, DatedWork>;

// Replaces in Known the kinds that are in News, and erases those that are older
// than MaxAge.
void noteNews(KnownWork &Known, const WorkAsked &News, Duration MaxAge,
              TimePoint Now);

// Places by model.
using ModelWork = std::map<std::string, double>;

// Returns the places that are asked for in all zones, by model of Service.
ModelWork workOfService(const KnownWork &Known, const ServiceId &Service);

// The demand for the models of a service, from one planning to the next.
struct DemandHistory {
  ModelWork Sums;    // decaying sums over time, in place seconds
  double Weight = 0; // decaying sum of the time in which demand was known
  double Peak = 0;   // recent maximum of the places of all models
  TimePoint FirstAt{};
  TimePoint LastAt{};

  bool operator==(const DemandHistory &) const = default;
};

// Adds the demand at Now. An empty Asked is no news.
void noteDemand(DemandHistory &History, const ModelWork &Asked,
                const DemandPlanSettings &Settings, TimePoint Now);

// Returns the places by model that the plan provides for, or nothing while
// demand is unknown or too old: the averages over Settings.Smoothing, raised in
// the proportion of the recent peak of all models together. Waves that all
// models have in common then change no proportions.
std::optional<ModelWork> plannedDemand(const DemandHistory &History,
                                       const DemandPlanSettings &Settings,
                                       TimePoint Now);

// One of the models that share engines.
struct ModelSupply {
  std::string Model;
  int GroupSize = 1;      // engines
  int Slots = 1;          // of a group
  double StatedShare = 1; // of the engines
  int Groups = 0;         // that serve or form, without those given up
  double Work = 0;        // places asked for
  Duration WarmStart{};   // for an engine that has the weights to join

  bool operator==(const ModelSupply &) const = default;
};

// Returns the share of the engines that each model should have, by model: in
// proportion to the engines that its work needs, so that the worst-served model
// is served best. The shares add up to 1. A model without work keeps a small
// share. Returns the stated shares if there is no work.
std::map<std::string, double>
planShares(const std::vector<ModelSupply> &Models);

// Groups of one domain that can be given up for groups of another model.
struct Exchange {
  std::string Domain;
  std::string From;
  std::string To;
  int GivenUp = 0; // groups of From
  int Gained = 0;  // groups of To

  bool operator==(const Exchange &) const = default;
};

// Returns the share of its work that the worst-served model can be served, 0 to
// 1.
double worstServed(const std::vector<ModelSupply> &Models,
                   const DemandPlanSettings &Settings);

// Returns by how much Option improves worstServed in the mean over
// Settings.Payback. While the change lasts, neither the groups that are given
// up nor those that are gained serve.
double gainOf(const std::vector<ModelSupply> &Models, const Exchange &Option,
              const DemandPlanSettings &Settings);

// Returns the option with the largest gain, or nothing if none reaches
// Settings.LeastGain.
std::optional<Exchange> planExchange(const std::vector<ModelSupply> &Models,
                                     const std::vector<Exchange> &Options,
                                     const DemandPlanSettings &Settings);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_DEMANDPLAN_H
