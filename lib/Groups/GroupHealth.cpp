#include "samphirehill/Groups/GroupHealth.h"

#include <algorithm>

namespace samphirehill {
namespace {

GroupFault findMemberFault(const Group &Evaluated, const InstanceId &Member,
                           const EngineReports &Reports,
                           const ReadyGroup *Ready, TimePoint Now) {
  const EngineReport *Report = findReport(Reports, Member);
  if (!Report)
    return GroupFault::NoReport;
  if (Now - Report->At > ReportAgeLimit)
    return GroupFault::StaleReport;
  if (Report->Group != Evaluated.Name)
    return GroupFault::WrongGroup;
  if (Report->Generation != Evaluated.Generation)
    return GroupFault::WrongGeneration;
  if (Report->Members != Evaluated.Members)
    return GroupFault::WrongMembers;
  if (Report->Version != Evaluated.Version)
    return GroupFault::WrongVersion;
  if (!Report->isLoaded())
    return GroupFault::NotLoaded;
  if (Ready && Ready->Boots.at(Member) != Report->Boot)
    return GroupFault::Rebooted;
  return GroupFault::None;
}

GroupHealth evaluateGroup(const Group &Evaluated, const EngineReports &Reports,
                          const std::map<InstanceId, int> &Claims,
                          const ReadyGroup *Ready, TimePoint Now) {
  GroupHealth First;
  for (const InstanceId &Member : Evaluated.Members) {
    GroupFault Fault =
        Claims.at(Member) > 1
            ? GroupFault::ClaimedTwice
            : findMemberFault(Evaluated, Member, Reports, Ready, Now);
    // A reboot takes precedence, because it is the only fault that a new report
    // alone never ends.
    bool Replaces = First.serves() || (Fault == GroupFault::Rebooted &&
                                       First.Fault != GroupFault::Rebooted);
    if (Fault != GroupFault::None && Replaces)
      First = {Fault, Member};
  }
  return First;
}

} // namespace

std::string_view toString(GroupFault Fault) {
  switch (Fault) {
  case GroupFault::None:
    return "none";
  case GroupFault::NoReport:
    return "no-report";
  case GroupFault::StaleReport:
    return "stale-report";
  case GroupFault::WrongGroup:
    return "wrong-group";
  case GroupFault::WrongGeneration:
    return "wrong-generation";
  case GroupFault::WrongMembers:
    return "wrong-members";
  case GroupFault::WrongVersion:
    return "wrong-version";
  case GroupFault::NotLoaded:
    return "not-loaded";
  case GroupFault::Rebooted:
    return "rebooted";
  case GroupFault::ClaimedTwice:
    return "claimed-twice";
  }
  return "unknown";
}

std::map<GroupId, GroupHealth> evaluateGroups(GroupHealthState &State,
                                              const Placement &Stored,
                                              const EngineReports &Reports,
                                              TimePoint Now) {
  std::map<InstanceId, int> Claims;
  std::set<GroupId> Present;
  for (const Group &Evaluated : Stored.Groups) {
    Present.insert(Evaluated.Name);
    for (const InstanceId &Member : Evaluated.Members)
      ++Claims[Member];
  }
  std::erase_if(State.Ready, [&](const auto &Element) {
    return !Present.contains(Element.first);
  });

  std::map<GroupId, GroupHealth> Healths;
  for (const Group &Evaluated : Stored.Groups) {
    auto Place = State.Ready.find(Evaluated.Name);
    bool IsKnown = Place != State.Ready.end() &&
                   Place->second.Generation == Evaluated.Generation;
    // The boot ids belong to one member list. If a member has none, they were
    // recorded for another list and are recorded again.
    IsKnown = IsKnown &&
              std::all_of(Evaluated.Members.begin(), Evaluated.Members.end(),
                          [&](const InstanceId &Member) {
                            return Place->second.Boots.contains(Member);
                          });
    GroupHealth Health = evaluateGroup(Evaluated, Reports, Claims,
                                       IsKnown ? &Place->second : nullptr, Now);
    Healths[Evaluated.Name] = Health;
    if (!Health.serves() || IsKnown)
      continue;
    ReadyGroup &Ready = State.Ready[Evaluated.Name];
    Ready = {Evaluated.Generation, {}};
    for (const InstanceId &Member : Evaluated.Members)
      Ready.Boots[Member] = Reports.at(Member).Boot;
  }
  return Healths;
}

std::set<GroupId>
rebootedGroups(const std::map<GroupId, GroupHealth> &Healths) {
  std::set<GroupId> Names;
  for (const auto &[Name, Health] : Healths)
    if (Health.Fault == GroupFault::Rebooted)
      Names.insert(Name);
  return Names;
}

} // namespace samphirehill
