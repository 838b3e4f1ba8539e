// Plans the placement of one zone. The controller calls plan() when an input
// changes and at least every second, and stores the result by a conditional
// write if it differs from the stored placement.
#ifndef SAMPHIREHILL_GROUPS_PLANNER_H
#define SAMPHIREHILL_GROUPS_PLANNER_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Groups/Fleet.h"
#include "samphirehill/Groups/Placement.h"

#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// A listed engine counts as lost when it has not reported for this long. It is
// above ReportAgeLimit, because replacing a member costs a load and a pause
// often ends by itself.
constexpr Duration MemberLossTime = seconds(5);

struct PlannerInput {
  ZoneId Zone;
  std::vector<OperatorsText> Texts; // of all operators
  std::vector<Instance> Instances;  // the whole list; other zones are ignored
  EngineReports Reports;
  // When this process began to collect reports. An engine without a report
  // counts as heard at this time.
  TimePoint CollectingSince;
  std::set<ZoneId> ZonesOut;
  std::set<GroupId> Serving;         // by evaluateGroups
  std::set<GroupId> Rebooted;        // by rebootedGroups
  std::set<InstanceId> Replaced;     // by stragglersToReplace
  std::vector<EntryRun> LiveEntries; // of the zone; no leaving ones
  // Confirmed gone: not in the instance list any more. A lower incarnation of
  // a live entry counts as gone without being named here.
  std::set<EntryRun> GoneEntries;
  std::set<UpstreamId> ReleasedHomes; // given back by their home
  Placement Current;
  TimePoint Now;
};

struct Plan {
  Placement Next;
  std::vector<std::string> Reasons; // one sentence for each change
  int StrandedAccelerators = 0;     // of live engines outside groups of Next
  int DeferredGroups = 0;           // wait for max_concurrent_loads
};

// Returns the next placement. It depends on nothing but Input. Next differs
// from Current only in groups, homes and NextGroup; the fence is the
// controller's business (takeOver).
//
// Rules: members of a group share a fabric domain; an engine that is gone,
// leaving, lost or replaced joins no group, and a group that has one is
// repaired, formed elsewhere, or kept until an engine is free; spares are in
// the domain of their group and belong to it alone; at most
// max_concurrent_loads groups of a text wait for weights; a zone that is out
// keeps its groups and starts no loads.
Plan plan(const PlannerInput &Input);

// Returns how many replicas of Of the zone should have: replicas_per_zone, or
// the zone's share of replicas over the zones of the service that are not out.
int wantedReplicas(const OperatorsText &Text, const Service &Spec,
                   const ZoneId &Zone, const std::set<ZoneId> &ZonesOut);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_PLANNER_H
