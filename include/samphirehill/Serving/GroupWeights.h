// Which models' groups an engine can join without a load of weights, and which
// weights a free engine should load. Does no I/O.
#ifndef SAMPHIREHILL_SERVING_GROUPWEIGHTS_H
#define SAMPHIREHILL_SERVING_GROUPWEIGHTS_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Serving/Configuration.h"
#include "samphirehill/Serving/GroupPlan.h"
#include "samphirehill/Serving/GroupQuota.h"

#include <string>
#include <vector>

namespace samphirehill::serving {

// Returns whether the engine's host has the weights of Model.
bool hasWeights(const PlannedInstance &Engine, const std::string &Model);

// Returns whether the engine's last group in this life was one of Model.
bool wasLastIn(const GroupPlanState &State, const PlannedInstance &Engine,
               const std::string &Model);

// Returns whether the engine can now join a group of Model without a load.
bool joinsFast(const GroupPlanState &State, const PlannedInstance &Engine,
               const std::string &Model);

// Returns the models for which the engine counts as having the weights: the
// model of the group that it is in, else those that it has or loads.
std::vector<std::string> plannedWeights(const GroupPlanState &State,
                                        const PlannedInstance &Engine,
                                        bool IsInGroup);

// Sorts the best candidates first. Engines that were last in a group of the
// model join fastest. Cold engines come later, so that they don't become the
// head.
void sortCandidates(const GroupPlanState &State,
                    std::vector<const PlannedInstance *> &Candidates,
                    const ModelShape &Model);

// Records since when each domain has had more engines with a model's weights
// than it should have.
void recordSurplus(GroupPlanState &State, const EngineDomains &Domains,
                   TimePoint Now);

// Returns the model whose weights a free engine should load, or nullptr.
const ModelShape *modelToLoad(const GroupPlanState &State,
                              const EngineDomains &Domains,
                              const ServiceShape &Service,
                              const PlannedInstance &Engine, TimePoint Now);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_GROUPWEIGHTS_H
