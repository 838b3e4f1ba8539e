// Chooses the owner of each record shard: the live entry with the highest
// rendezvous weight. Entries with different views of liveness may choose
// different owners for a while. That is safe, because an owner sends a call
// only after a conditional write of the shard's object.
#ifndef SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H
#define SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Idempotency/ShardObject.h"

#include <array>
#include <map>
#include <vector>

namespace samphirehill {

// A shard moves from a live owner to an entry with a higher weight only after
// that entry has been live for this long without interruption, so that an entry
// whose liveness flaps moves a shard at most once.
constexpr Duration ShardMinimumHold = seconds(10);

// The owners that one entry has chosen, by shard. An empty id means that no
// entry is live.
struct ShardOwners {
  std::array<EntryId, ShardCount> Owner;
  std::map<EntryId, TimePoint> LiveSince;
  bool Started = false; // updateOwners() has been called
};

// A shard whose owner changed.
struct ShardMove {
  std::size_t Shard = 0;
  EntryId From;
  EntryId To;

  bool operator==(const ShardMove &) const = default;
};

// Returns the entry of Live with the highest weight for Shard, or an empty id
// if Live is empty.
EntryId rendezvousOwner(std::size_t Shard, const std::vector<EntryId> &Live);

// Chooses owners among Live, the entries that are live now without those that
// shut down. Call this function when liveness changes and at least once a
// second. A shard moves away immediately from an owner that is not live.
// Returns the moves, in the order of shards; pass HandOver to a shard that
// moves away from this entry.
std::vector<ShardMove> updateOwners(ShardOwners &Owners,
                                    const std::vector<EntryId> &Live,
                                    TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_IDEMPOTENCY_SHARDOWNER_H
