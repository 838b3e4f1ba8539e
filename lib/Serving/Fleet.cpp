#include "samphirehill/Serving/Fleet.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <utility>

namespace samphirehill::serving {
namespace {

// Returns whether an instance is in the phase of a member of a group that
// serves.
bool mayServe(const Instance &Listed) {
  if (!Listed.Group)
    return false;
  MemberPhase Phase = Listed.Group->Phase;
  return Listed.Group->Rank == 0
             ? Phase == MemberPhase::Open
             : Phase == MemberPhase::Ready || Phase == MemberPhase::Open;
}

bool isExcluded(const Fleet &Fleet, const Instance &Listed) {
  return Listed.Draining || Fleet.ZonesOut.contains(Listed.Zone);
}

Upstream makeUpstream(const InstanceRecord &Head, std::int64_t Epoch,
                      std::string Model) {
  const Instance &Listed = Head.Listed;
  return Upstream{{Listed.Id, Epoch}, Listed.Service,
                  std::move(Model),   Listed.Address,
                  Listed.Zone,        Listed.Domain,
                  Listed.Slots,       Listed.BornMilliseconds,
                  Head.ColdUntil,     {Listed.Id}};
}

} // namespace

std::uint64_t upstreamHash(const UpstreamKey &Key,
                           std::int64_t BornMilliseconds) {
  return combineHashes(combineHashes(hashBytes(Key.Instance.str()),
                                     static_cast<std::uint64_t>(Key.Epoch)),
                       static_cast<std::uint64_t>(BornMilliseconds));
}

std::string groupName(const std::string &Model, std::int64_t Number) {
  return Model + "." + std::to_string(Number);
}

std::string modelOfGroup(const std::string &Group) {
  std::size_t At = Group.rfind('.');
  return At == std::string::npos ? std::string() : Group.substr(0, At);
}

std::vector<Upstream> usableUpstreams(const Fleet &Fleet,
                                      const Configuration &Config) {
  using GroupKey = std::pair<std::string, std::int64_t>;
  std::map<GroupKey, std::vector<const InstanceRecord *>> Groups;
  std::vector<Upstream> Usable;
  for (const auto &[Id, Record] : Fleet.Instances) {
    const Instance &Listed = Record.Listed;
    auto Service = Config.Services.find(Listed.Service);
    if (Service == Config.Services.end() || isExcluded(Fleet, Listed))
      continue;
    if (!Service->second.Engine) {
      Usable.push_back(makeUpstream(Record, 0, {}));
      continue;
    }
    if (mayServe(Listed))
      Groups[{Listed.Group->Group, Listed.Group->Epoch}].push_back(&Record);
  }
  for (auto &[Key, Members] : Groups) {
    std::sort(Members.begin(), Members.end(), [](const auto *A, const auto *B) {
      return A->Listed.Group->Rank < B->Listed.Group->Rank;
    });
    const InstanceRecord &Head = *Members.front();
    const ServiceShape &Service = Config.Services.at(Head.Listed.Service);
    std::string Model = modelOfGroup(Key.first);
    const ModelShape *Shape = findModel(Service, Model);
    if (!Shape || Head.Listed.Group->Rank != 0 ||
        Members.size() != static_cast<std::size_t>(Shape->GroupSize))
      continue;
    Upstream Group = makeUpstream(Head, Key.second, Model);
    Group.Slots = Service.Engine->Slots;
    Group.Members.clear();
    for (const InstanceRecord *Each : Members)
      Group.Members.push_back(Each->Listed.Id);
    Group.Pace = Shape->Pace;
    Usable.push_back(std::move(Group));
  }
  return Usable;
}

} // namespace samphirehill::serving
