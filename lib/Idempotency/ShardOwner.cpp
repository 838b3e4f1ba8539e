#include "samphirehill/Idempotency/ShardOwner.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace samphirehill {
namespace {

std::uint64_t weightOf(std::size_t Shard, const EntryId &Entry) {
  return rendezvousWeight("records/" + std::to_string(Shard), Entry.str());
}

} // namespace

EntryId rendezvousOwner(std::size_t Shard, const std::vector<EntryId> &Live) {
  std::pair<std::uint64_t, EntryId> Best;
  for (const EntryId &Entry : Live)
    Best = std::max(Best, std::pair(weightOf(Shard, Entry), Entry));
  return Best.second;
}

std::vector<ShardMove> updateOwners(ShardOwners &Owners,
                                    const std::vector<EntryId> &Live,
                                    TimePoint Now) {
  std::erase_if(Owners.LiveSince, [&](const auto &Value) {
    return std::find(Live.begin(), Live.end(), Value.first) == Live.end();
  });
  // Entries that are live at the first call count as live for the minimum hold
  // already, so that every shard has an owner from the start.
  TimePoint Since = Owners.Started ? Now : Now - ShardMinimumHold;
  for (const EntryId &Entry : Live)
    Owners.LiveSince.emplace(Entry, Since);
  Owners.Started = true;
  std::vector<EntryId> Settled;
  for (const auto &[Entry, From] : Owners.LiveSince)
    if (Now - From >= ShardMinimumHold)
      Settled.push_back(Entry);
  std::vector<ShardMove> Moves;
  for (std::size_t Shard = 0; Shard < ShardCount; ++Shard) {
    EntryId &Owner = Owners.Owner[Shard];
    EntryId Next = rendezvousOwner(Shard, Settled);
    bool OwnerLives = Owners.LiveSince.contains(Owner);
    if (Next.empty())
      Next = OwnerLives ? Owner : rendezvousOwner(Shard, Live);
    if (OwnerLives && weightOf(Shard, Next) <= weightOf(Shard, Owner))
      continue;
    if (Next == Owner)
      continue;
    Moves.push_back(ShardMove{Shard, Owner, Next});
    Owner = Next;
  }
  return Moves;
}

} // namespace samphirehill
