// Moves engines between models by demand: decides which groups are given up, so
// that their engines form groups of another model, and which engines load the
// weights for that ahead. The sums are in DemandPlan; this part knows groups,
// domains and weights. Does no I/O.
#ifndef SAMPHIREHILL_SERVING_GROUPEXCHANGE_H
#define SAMPHIREHILL_SERVING_GROUPEXCHANGE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Groups/DemandPlan.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/GroupQuota.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphirehill::serving {

// A complete group whose head serves, and which is not given up.
struct RunningGroup {
  std::int64_t Epoch = 0;
  std::string Model;
  ZoneId Zone;
  std::string Domain;
  std::vector<const PlannedInstance *> Members;
};

// A group that is closed so that its engines can form groups of To.
struct GivenUpGroup {
  std::string From;
  std::string To;
  int Engines = 0;
  TimePoint At{};
};

// The number of a domain's usable engines, and since when it has been the same.
struct UsableEngines {
  std::size_t Count = 0;
  TimePoint Since{};
};

// The demand for a service's models and the changes that follow from it, from
// one planning to the next.
struct ExchangeState {
  ModelWork Asked; // the latest news; empty if there is none
  DemandHistory Demand;
  std::map<std::int64_t, GivenUpGroup> GivenUp; // by epoch
  // When engines last moved, by the models that gave and got them.
  std::map<std::pair<std::string, std::string>, TimePoint> MovedAt;
  std::map<std::string, UsableEngines> Usable; // by domain
  // Whether the list of instances is up to date. If not, no group is given up,
  // as nobody would see it end.
  bool ListFollowed = true;
  std::vector<ModelSupply> Supplies; // as of the last planning
  std::vector<Exchange> Begun;       // by the last planning
};

// What a planning run knows of the groups.
struct ExchangeView {
  const EngineDomains &Domains;
  const std::vector<RunningGroup> &Running;
  const ServiceShape &Service;
  bool FirstStart = false;
};

// Returns Service with the models' shares that follow from the demand, or with
// those that operators state while it is unknown.
ServiceShape withPlannedShares(const ServiceShape &Service,
                               ExchangeState &State,
                               const DemandPlanSettings &Settings,
                               TimePoint Now);

// Adds groups to State.GivenUp if that lets the worst-served model be served
// better. Erases those whose engines are free.
void chooseExchange(ExchangeState &State, const ExchangeView &View,
                    const DemandPlanSettings &Settings, TimePoint Now);

// Returns members of groups with the other model whose weights they should load
// while their group serves, so that the group can be exchanged without a load.
std::vector<std::pair<const PlannedInstance *, const ModelShape *>>
weightsToPrepare(const ExchangeState &State, const ExchangeView &View,
                 const DemandPlanSettings &Settings);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPEXCHANGE_H
