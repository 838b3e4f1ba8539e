#include "samphirehill/Serving/ListChanges.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <tuple>

namespace samphirehill::serving {
namespace {

// Changes are not sent after this time: entries that missed them detect it by
// the digest and read them from the store.
constexpr Duration MaxSendAge = seconds(5);
// How often a relay sends each change. A zone has two relays.
constexpr int MaxTimesSent = 2;
// Bytes of changes in one datagram. Limited because the datagram goes to all
// followers at once; it holds at most 65,507 bytes, including the loads.
constexpr std::size_t MaxChangeBytes = 24'576;
// Upper bound on the encoded bytes of a change besides its texts.
constexpr std::size_t ChangeOverhead = 64;
// Late changes of a removed object arrive within this time.
constexpr Duration RemovedMemory = seconds(30);
// An entry whose list has differed from its relay's for longer than this has
// missed changes. Changes from a lost datagram have been sent again by then.
constexpr Duration BehindLimit = milliseconds(1'000);

std::uint64_t digestOf(const std::string &Name, std::int64_t Revision) {
  return combineHashes(hashBytes(Name), static_cast<std::uint64_t>(Revision));
}

// Adds an object to the digest or removes it; XOR does both.
void toggle(ListChanges &Changes, const std::string &Name,
            const ListChanges::Known &Known) {
  if (!Known.Removed)
    Changes.Digest ^= digestOf(Name, Known.Mark.Revision);
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
  StoreMark Mark = markOf(Change);
  // A removal may carry the revision of the object's last change.
  bool IsNewer = Added || Mark > Known.Mark ||
                 (Mark == Known.Mark && Change.Removed && !Known.Removed);
  if (!IsNewer)
    return false;
  if (!Added)
    toggle(Changes, Change.Name, Known);
  Known = {Mark, Change.Removed, Now};
  toggle(Changes, Change.Name, Known);
  Changes.ToSend[Change.Name] = {Change, Now, 0};
  return true;
}

void replaceList(ListChanges &Changes, const std::vector<ListChange> &All,
                 std::int64_t Era, TimePoint Now) {
  Changes.Era = Era;
  std::erase_if(Changes.ToSend, [Era](const auto &Entry) {
    return Entry.second.Change.Era < Era;
  });
  Changes.Objects.clear();
  Changes.Digest = 0;
  for (const ListChange &Each : All) {
    ListChanges::Known &Known = Changes.Objects[Each.Name];
    Known = {markOf(Each), false, Now};
    toggle(Changes, Each.Name, Known);
  }
}

void expireOldChanges(ListChanges &Changes, TimePoint Now) {
  std::erase_if(Changes.Objects, [&](const auto &Entry) {
    return Entry.second.Removed && Now - Entry.second.ChangedAt > RemovedMemory;
  });
  std::erase_if(Changes.ToSend, [&](const auto &Entry) {
    return Now - Entry.second.At > MaxSendAge ||
           Entry.second.TimesSent >= MaxTimesSent;
  });
}

std::vector<ListChange> nextChangesToSend(ListChanges &Changes, TimePoint Now) {
  expireOldChanges(Changes, Now);
  std::vector<ListChanges::Recent *> Order;
  Order.reserve(Changes.ToSend.size());
  for (auto &[Name, Each] : Changes.ToSend)
    Order.push_back(&Each);
  std::stable_sort(Order.begin(), Order.end(),
                   [](const auto *A, const auto *B) {
                     return std::tuple(A->TimesSent, A->At) <
                            std::tuple(B->TimesSent, B->At);
                   });
  std::vector<ListChange> Next;
  std::size_t Bytes = 0;
  for (ListChanges::Recent *Each : Order) {
    Bytes += sizeOf(Each->Change);
    if (Bytes > MaxChangeBytes)
      break;
    ++Each->TimesSent;
    Next.push_back(Each->Change);
  }
  return Next;
}

void noteRelayedList(ListSync &Sync, const StoreMark &Mark, bool Same,
                     TimePoint Now) {
  Sync.Relayed = std::max(Sync.Relayed, Mark);
  if (Same)
    Sync.Synced = std::max(Sync.Synced, Mark);
  if (Sync.Synced >= Sync.Relayed)
    Sync.BehindSince = TimePoint{};
  else if (Sync.BehindSince == TimePoint{})
    Sync.BehindSince = Now;
}

void noteOwnList(ListSync &Sync, const StoreMark &Mark) {
  Sync.Synced = std::max(Sync.Synced, Mark);
  if (Sync.Synced >= Sync.Relayed)
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
