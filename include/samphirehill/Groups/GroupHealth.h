// Decides whether a replica group can serve now (invariant I1). The decision
// depends on the members' own reports and not on the orders sent to them.
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
  WrongMembers, // the member has another member list
  WrongVersion,
  NotLoaded,
  Rebooted,     // the member, since the group became ready
  ClaimedTwice, // two groups of the placement list the member
};

// Returns the name of Fault in kebab case.
std::string_view toString(GroupFault Fault);

struct GroupHealth {
  GroupFault Fault = GroupFault::None;
  InstanceId Member; // the first member with Fault; empty if there is none

  bool serves() const { return Fault == GroupFault::None; }
  bool operator==(const GroupHealth &) const = default;
};

// The boot ids that the members of a group had when the group became ready.
struct ReadyGroup {
  std::uint64_t Generation = 0;
  std::map<InstanceId, BootId> Boots;
};

struct GroupHealthState {
  std::map<GroupId, ReadyGroup> Ready;
};

// Returns the health of every group of Stored at Now. Records the members' boot
// ids when a group becomes ready; after a later reboot of a member the group
// doesn't serve until its generation rises. Call it at each report and at least
// every 250 ms. Send requests to a group only while the result of the last call
// says that the group serves.
std::map<GroupId, GroupHealth> evaluateGroups(GroupHealthState &State,
                                              const Placement &Stored,
                                              const EngineReports &Reports,
                                              TimePoint Now);

// Returns the groups whose fault is Rebooted, for PlannerInput::Rebooted.
std::set<GroupId> rebootedGroups(const std::map<GroupId, GroupHealth> &Healths);

} // namespace samphirehill

#endif // SAMPHIREHILL_GROUPS_GROUPHEALTH_H
