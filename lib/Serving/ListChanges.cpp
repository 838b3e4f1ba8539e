#include "samphirehill/Serving/ListChanges.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace samphirehill::serving {
namespace {

// Changes are told for this long; entries that missed them notice by the digest
// and ask the platform.
constexpr Duration TellFor = seconds(5);
// By each of two relays.
constexpr int TellTimes = 2;
// Bytes of changes in one datagram, as all followers get it at once; a datagram
// holds 65,507, with the loads.
constexpr std::size_t MostBytes = 24'576;
// Bytes of a change beside its texts, at most.
constexpr std::size_t ChangeOverhead = 64;
// Late news of a removed object comes within this time.
constexpr Duration RemovedMemory = seconds(30);
// A list that differs from its relay's for longer has missed changes; those
// that were told in a lost datagram have been told again by then.
constexpr Duration BehindLimit = milliseconds(1'000);

std::uint64_t digestOf(const std::string &Name, std::int64_t Revision) {
  return combineHashes(hashBytes(Name), static_cast<std::uint64_t>(Revision));
}

// Adds an object to the digest, or takes it out: the same operation.
void toggle(ListChanges &Changes, const std::string &Name,
            const ListChanges::Known &Known) {
  if (!Known.Removed)
    Changes.Digest ^= digestOf(Name, Known.Revision);
}

std::size_t sizeOf(const ListChange &Change) {
  std::size_t Bytes = ChangeOverhead + Change.Name.size();
  if (!Change.Listed)
    return Bytes;
  const Instance &Listed = Change.Listed->Listed;
  Bytes += Listed.Service.str().size() + Listed.Address.Host.size() +
           Listed.Zone.str().size() + Listed.Domain.size();
  for (const std::string &Each : Listed.Staged)
    Bytes += Each.size() + 2;
  return Bytes + (Listed.Group ? Listed.Group->Group.size() : 0);
}

} // namespace

bool recordChange(ListChanges &Changes, const ListChange &Change,
                  TimePoint Now) {
  auto [Found, Added] = Changes.Objects.try_emplace(Change.Name);
  ListChanges::Known &Known = Found->second;
  bool SameRevision = Change.Revision == Known.Revision;
  // A removal may carry the revision of the object's last change.
  bool News = Added || Change.Revision > Known.Revision ||
              (SameRevision && Change.Removed && !Known.Removed);
  if (!News)
    return false;
  if (!Added)
    toggle(Changes, Change.Name, Known);
  Known = {Change.Revision, Change.Removed, Now};
  toggle(Changes, Change.Name, Known);
  Changes.ToTell[Change.Name] = {Change, Now, 0};
  return true;
}

void replaceList(ListChanges &Changes, const std::vector<ListChange> &All,
                 TimePoint Now) {
  Changes.Objects.clear();
  Changes.Digest = 0;
  for (const ListChange &Each : All) {
    ListChanges::Known &Known = Changes.Objects[Each.Name];
    Known = {Each.Revision, false, Now};
    toggle(Changes, Each.Name, Known);
  }
}

void expireOldChanges(ListChanges &Changes, TimePoint Now) {
  std::erase_if(Changes.Objects, [&](const auto &Entry) {
    return Entry.second.Removed && Now - Entry.second.ChangedAt > RemovedMemory;
  });
  std::erase_if(Changes.ToTell, [&](const auto &Entry) {
    return Now - Entry.second.At > TellFor || Entry.second.Told >= TellTimes;
  });
}

std::vector<ListChange> nextChangesToSend(ListChanges &Changes, TimePoint Now) {
  expireOldChanges(Changes, Now);
  std::vector<ListChanges::Recent *> Order;
  Order.reserve(Changes.ToTell.size());
  for (auto &[Name, Each] : Changes.ToTell)
    Order.push_back(&Each);
  std::stable_sort(
      Order.begin(), Order.end(), [](const auto *A, const auto *B) {
        return std::tuple(A->Told, A->At) < std::tuple(B->Told, B->At);
      });
  std::vector<ListChange> Told;
  std::size_t Bytes = 0;
  for (ListChanges::Recent *Each : Order) {
    Bytes += sizeOf(Each->Change);
    if (Bytes > MostBytes)
      break;
    ++Each->Told;
    Told.push_back(Each->Change);
  }
  return Told;
}

void noteRelayedList(ListSync &Sync, std::int64_t Revision, bool Same,
                     TimePoint Now) {
  Sync.ToldRevision = std::max(Sync.ToldRevision, Revision);
  if (Same)
    Sync.SyncedRevision = std::max(Sync.SyncedRevision, Revision);
  if (Sync.SyncedRevision >= Sync.ToldRevision)
    Sync.BehindSince = TimePoint{};
  else if (Sync.BehindSince == TimePoint{})
    Sync.BehindSince = Now;
}

void noteOwnList(ListSync &Sync, std::int64_t Revision) {
  Sync.SyncedRevision = std::max(Sync.SyncedRevision, Revision);
  if (Sync.SyncedRevision >= Sync.ToldRevision)
    Sync.BehindSince = TimePoint{};
}

bool beginListReadIfDue(ListSync &Sync, Duration Pause, TimePoint Now) {
  bool Behind =
      Sync.BehindSince != TimePoint{} && Now - Sync.BehindSince > BehindLimit;
  if (!Behind || Now - Sync.ReadAt < Pause)
    return false;
  Sync.ReadAt = Now;
  return true;
}

} // namespace samphirehill::serving
