// Plans the placement of one zone: which engines form which replica groups, and
// which entry is the home of each upstream. The zone's controller calls plan()
// when an input changes and at least every second. If the result differs from
// the stored placement, the controller stores it by a conditional write.
#ifndef SAMPHIREHILL_GROUPS_PLANNER_H
#define SAMPHIREHILL_GROUPS_PLANNER_H

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Groups/Fleet.h"
#include "samphirehill/Groups/Placement.h"

#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// An engine in the instance list counts as lost when it has sent no report for
// this long. The time is longer than ReportAgeLimit, because a replacement has
// to load the weights and a pause of an engine often ends by itself.
constexpr Duration MemberLossTime = seconds(5);

struct PlannerInput {
  ZoneId Zone;
  std::vector<OperatorsText> Texts; // configurations of all operators
  std::vector<Instance> Instances;  // of all zones; plan() uses those of Zone
  EngineReports Reports;
  // When this process began to collect reports. An engine without a report is
  // treated as if it had last reported at this time.
  TimePoint CollectingSince;
  std::set<ZoneId> ZonesOut;         // taken out of service
  std::set<GroupId> Serving;         // from evaluateGroups
  std::set<GroupId> Rebooted;        // from rebootedGroups
  std::set<InstanceId> Replaced;     // from stragglersToReplace
  std::vector<EntryRun> LiveEntries; // of Zone, without leaving entries
  // Entries that are confirmed gone: the instance list no longer contains them.
  // A run with a lower incarnation than a live run of its entry counts as gone
  // without being listed here.
  std::set<EntryRun> GoneEntries;
  std::set<UpstreamId> ReleasedHomes; // upstreams whose home released the role
  Placement Current;
  TimePoint Now;
};

struct Plan {
  Placement Next;
  std::vector<std::string> Reasons; // one sentence for each change
  // Accelerators of usable engines that are in no complete group of Next.
  int StrandedAccelerators = 0;
  // Groups whose start or repair waits because of max_concurrent_loads.
  int DeferredGroups = 0;
};

// Returns the next placement, which depends only on Input. Next differs from
// Current only in groups, homes and NextGroup. The fence doesn't change: only
// takeOver raises it.
//
// Rules:
// - The members of a group share a fabric domain.
// - An engine that is gone, leaving, lost or replaced joins no group. A group
//   that has such a member is repaired, formed in another domain, or kept until
//   an engine becomes free.
// - A spare is in the domain of its group and is the spare of no other group.
// - At most max_concurrent_loads groups of an operator's configuration load
//   weights at a time.
// - A zone that is out of service keeps its groups and starts no loads.
Plan plan(const PlannerInput &Input);

// Returns how many replicas of the service Spec the zone should have:
// replicas_per_zone, or the zone's share when replicas are divided among those
// zones of the service that are not in ZonesOut. Returns 0 for a zone that is
// in ZonesOut or where the service doesn't run.
int wantedReplicas(const OperatorsText &Text, const Service &Spec,
                   const ZoneId &Zone, const std::set<ZoneId> &ZonesOut);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_PLANNER_H
