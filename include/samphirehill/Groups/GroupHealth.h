// Decides whether a replica group serves now (I1). The decision rests on the
// members' own reports, not on what was ordered.
#ifndef SAMPHIREHILL_GROUPS_GROUPHEALTH_H
#define SAMPHIREHILL_GROUPS_GROUPHEALTH_H

#include "samphirehill/Groups/Fleet.h"
#include "samphirehill/Groups/Placement.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace samphirehill {

// A group stops serving when a member's report is older than this.
constexpr Duration ReportAgeLimit = milliseconds(1500);

enum class GroupFault {
  None,
  NoReport,
  StaleReport,
  WrongGroup,
  WrongGeneration,
  WrongMembers, // ordered with another member list
  WrongVersion,
  NotLoaded,
  Rebooted,     // since the group became ready
  ClaimedTwice, // by two groups of the placement
};

// Returns the name of Fault in kebab case.
std::string_view toString(GroupFault Fault);

struct GroupHealth {
  GroupFault Fault = GroupFault::None;
  InstanceId Member; // the first with the fault

  bool serves() const { return Fault == GroupFault::None; }
  bool operator==(const GroupHealth &) const = default;
};

// Boot ids that the members had when the group became ready.
struct ReadyGroup {
  std::uint64_t Generation = 0;
  std::map<InstanceId, BootId> Boots;
};

struct GroupHealthState {
  std::map<GroupId, ReadyGroup> Ready;
};

// Judges every group of Stored at Now. Records the boot ids of a group that
// becomes ready; a reboot after that keeps it out of service until its
// generation rises. Call it at each report and at least every 250 ms. A group
// may only be used while the last call says that it serves.
std::map<GroupId, GroupHealth> evaluateGroups(GroupHealthState &State,
                                              const Placement &Stored,
                                              const EngineReports &Reports,
                                              TimePoint Now);

// Returns the groups whose fault is Rebooted, for the planner.
std::set<GroupId> rebootedGroups(const std::map<GroupId, GroupHealth> &Healths);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_GROUPHEALTH_H
