// How many groups of which model each fabric domain is to have, and which
// weights its other engines keep. Pure arithmetic over counts.
#ifndef SAMPHIREHILL_SERVING_GROUPQUOTA_H
#define SAMPHIREHILL_SERVING_GROUPQUOTA_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Serving/Configuration.h"

#include <map>
#include <string>
#include <vector>

namespace samphirehill::serving {

struct PlannedInstance;

struct DomainModel {
  int Groups = 0;       // serving or forming
  int WantedGroups = 0; // with those that serve
  int Staged = 0;       // engines with the weights, or loading them
  int Available = 0;    // engines with the weights that no group holds
  int WantedStaged = 0;
};

struct EngineDomain {
  ZoneId Zone;
  std::vector<const PlannedInstance *> Usable;
  std::vector<const PlannedInstance *> Free;
  std::map<std::string, DomainModel> Models;
  int InGroups = 0;          // usable engines that serve or form
  int UnassignedEngines = 0; // engines beyond the groups that it is to have
  int Spares = 0;            // engines that no second group of a model may take
};

using EngineDomains = std::map<std::string, EngineDomain>; // by name
using ModelEngines = std::map<std::string, double>;        // engines by model

// Gives the domains whole groups: first those that need no load, as engines
// with the weights for a whole group serve best in it; then by the models'
// shares over all domains, one group at a time, of the model that has the
// fewest engines for its share, in the zone that has the fewest groups of it.
// Grouped counts the engines that serve or form; of the engines that would have
// to load, SpareShare of each domain is kept free.
void planQuotas(EngineDomains &Domains, const ServiceShape &Service,
                const ModelEngines &Grouped, double SpareShare);

// Returns the models, those with the fewest engines for their share first.
std::vector<const ModelShape *> modelsByNeed(const ServiceShape &Service,
                                             const ModelEngines &Engines);

// Whether an engine may give up the weights of Old for those of New: Old
// keeps no fewer engines for its share than New then has.
bool mayReplaceWeights(const EngineDomains &Domains,
                       const ServiceShape &Service, const std::string &Old,
                       const ModelShape &New);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPQUOTA_H
