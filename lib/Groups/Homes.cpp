#include "ZonePlanner.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>

namespace samphirehill {
namespace {

std::set<UpstreamId> upstreamsOf(const PlannerInput &Input,
                                 const Placement &Next) {
  std::set<UpstreamId> Names;
  for (const Group &Element : Next.Groups)
    Names.emplace(Element.Name.str());
  for (const Instance &Value : Input.Instances) {
    if (Value.Role != InstanceRole::Service || Value.Zone != Input.Zone)
      continue;
    for (const OperatorsText &Text : Input.Texts)
      if (Text.serviceOfInstance(Value.Name))
        Names.emplace(Value.Name.str());
  }
  return Names;
}

bool isGone(const PlannerInput &Input, const EntryRun &Holder) {
  return Input.GoneEntries.contains(Holder) ||
         std::any_of(Input.LiveEntries.begin(), Input.LiveEntries.end(),
                     [&](const EntryRun &Live) {
                       return Live.Entry == Holder.Entry &&
                              Live.Start > Holder.Start;
                     });
}

const EntryRun &choose(const std::vector<EntryRun> &Live,
                       const UpstreamId &Upstream) {
  return *std::max_element(
      Live.begin(), Live.end(),
      [&](const EntryRun &Left, const EntryRun &Right) {
        return rendezvousWeight(Upstream.str(), Left.Entry.str()) <
               rendezvousWeight(Upstream.str(), Right.Entry.str());
      });
}

} // namespace

void planHomes(const PlannerInput &Input, Plan &Into) {
  std::set<UpstreamId> Names = upstreamsOf(Input, Into.Next);
  std::erase_if(Into.Next.Homes, [&](const auto &Element) {
    return !Names.contains(Element.first);
  });
  if (Input.LiveEntries.empty())
    return;
  for (const UpstreamId &Name : Names) {
    auto Place = Into.Next.Homes.find(Name);
    if (Place == Into.Next.Homes.end()) {
      Into.Next.Homes[Name] = {choose(Input.LiveEntries, Name), 1};
      continue;
    }
    Home &Value = Place->second;
    bool IsReleased = Input.ReleasedHomes.contains(Name);
    if (!IsReleased && !isGone(Input, Value.Holder))
      continue;
    Value = {choose(Input.LiveEntries, Name), Value.Epoch + 1};
    Into.Reasons.push_back(
        joined({"home of ", Name.str(), " moves to ", Value.Holder.Entry.str(),
                IsReleased ? ": released" : ": holder is gone"}));
  }
}

} // namespace samphirehill
