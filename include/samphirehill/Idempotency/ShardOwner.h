// Chooses the owner of each record shard: the live entry with the highest
// rendezvous weight. Entries whose views differ choose differently for a while;
// that is safe, because the owner proves itself by conditional writes.
#ifndef SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H
#define SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Idempotency/ShardObject.h"

#include <array>
#include <map>
#include <vector>

namespace samphirehill {

// A shard goes to a better candidate only after that one has been live for this
// long without a break, so that flapping liveness moves a shard at most once.
constexpr Duration ShardMinimumHold = seconds(10);

// The choices at one entry. An empty id means that no entry is live.
struct ShardOwners {
  std::array<EntryId, ShardCount> Owner;
  std::map<EntryId, TimePoint> LiveSince;
  bool Started = false;
};

// A shard whose owner changed.
struct ShardMove {
  std::size_t Shard = 0;
  EntryId From;
  EntryId To;

  bool operator==(const ShardMove &) const = default;
};

// Returns the entry with the highest weight for Shard, or an empty id.
EntryId rendezvousOwner(std::size_t Shard, const std::vector<EntryId> &Live);

// Updates the choices for the entries that are live now; leave out those that
// are leaving. Call it when liveness changes and at least once a second. A
// shard leaves an owner that is not live at once. Returns the moves, in the
// order of shards; pass HandOver to a shard that leaves this entry.
std::vector<ShardMove> updateOwners(ShardOwners &Owners,
                                    const std::vector<EntryId> &Live,
                                    TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H
