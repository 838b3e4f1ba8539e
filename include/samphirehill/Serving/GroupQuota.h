// Computes how many groups of each model each fabric domain should have, and
// which weights the remaining engines of the domain should hold as spares. Pure
// arithmetic over counts.
#ifndef SAMPHIREHILL_SERVING_GROUPQUOTA_H
#define SAMPHIREHILL_SERVING_GROUPQUOTA_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Serving/Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace samphirehill::serving {

struct PlannedInstance;

// Numbers of groups and engines of one model in one fabric domain.
struct DomainModel {
  int Groups = 0;       // serving or forming
  int WantedGroups = 0; // includes Groups
  int Staged = 0;       // engines with the weights, or loading them
  int Available = 0;    // engines with the weights that are in no group
  int WantedStaged = 0; // engines that should have the weights
};

// The engines of one fabric domain, and the plan for them.
struct EngineDomain {
  ZoneId Zone;
  std::vector<const PlannedInstance *> Usable; // may join groups
  std::vector<const PlannedInstance *> Free;   // usable, and in no group
  std::map<std::string, DomainModel> Models;
  int InGroups = 0;          // usable engines that serve or form
  int UnassignedEngines = 0; // engines beyond those of the wanted groups
  // Engines that are kept free. Only a model's first group in the domain, or a
  // group that needs no load, may use them.
  int Spares = 0;
};

using EngineDomains = std::map<std::string, EngineDomain>; // by name
using ModelEngines = std::map<std::string, double>;        // engines by model

// Assigns groups to the domains. Groups that need no load come first, as
// engines that have the weights for a complete group serve best in it. The
// other groups are assigned by the models' shares over all domains, one at a
// time: to the model that has the fewest engines for its share, in the zone
// that has the fewest groups of it. Grouped counts the engines in groups that
// serve or form. Of the engines that would have to load, SpareShare of each
// domain is kept free.
void planQuotas(EngineDomains &Domains, const ServiceShape &Service,
                const ModelEngines &Grouped, double SpareShare);

// Returns the models in ascending order of their engines relative to their
// share.
std::vector<const ModelShape *> modelsByNeed(const ServiceShape &Service,
                                             const ModelEngines &Engines);

// Returns whether an engine may replace the weights of Old by those of New:
// afterwards Old must have at least as many engines for its share as New.
bool mayReplaceWeights(const EngineDomains &Domains,
                       const ServiceShape &Service, const std::string &Old,
                       const ModelShape &New);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPQUOTA_H
