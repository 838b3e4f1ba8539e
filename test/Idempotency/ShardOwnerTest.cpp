#include "samphirehill/Idempotency/ShardOwner.h"

#include <gtest/gtest.h>
#include <set>

namespace samphirehill {
namespace {

const std::vector<EntryId> All = {EntryId("a"), EntryId("b"), EntryId("c")};
const std::vector<EntryId> WithoutA = {EntryId("b"), EntryId("c")};

TimePoint at(std::int64_t Milliseconds) {
  return TimePoint(milliseconds(Milliseconds));
}

// Guards against moving shards away from entries that are still live.
TEST(UpdateOwnersTest, MovesOnlyShardsOfDeadEntry) {
  ShardOwners Owners;
  EXPECT_EQ(updateOwners(Owners, All, at(0)).size(), ShardCount);
  for (const ShardMove &Move : updateOwners(Owners, WithoutA, at(10)))
    EXPECT_EQ(Move.From, EntryId("a"));
  std::set<EntryId> Used(Owners.Owner.begin(), Owners.Owner.end());
  EXPECT_EQ(Used, std::set<EntryId>(WithoutA.begin(), WithoutA.end()));
}

// Guards against a shard that moves each time the liveness of its preferred
// entry flaps.
TEST(UpdateOwnersTest, MovesOnceWhileLivenessFlaps) {
  ShardOwners Owners;
  updateOwners(Owners, All, at(0));
  std::size_t Moves = 0;
  std::size_t OfA = 0;
  for (const EntryId &Owner : Owners.Owner)
    OfA += Owner == EntryId("a") ? 1 : 0;
  ASSERT_GT(OfA, 0u);
  for (int I = 1; I <= 20; ++I)
    Moves +=
        updateOwners(Owners, I % 2 ? WithoutA : All, at(std::int64_t{I} * 2000))
            .size();
  EXPECT_EQ(Moves, OfA);
}

// Guards against entries that choose different owners permanently: after the
// minimum hold, all choose the entry with the highest weight again.
TEST(UpdateOwnersTest, ReturnsToFirstChoiceAfterMinimumHold) {
  ShardOwners Owners;
  updateOwners(Owners, All, at(0));
  updateOwners(Owners, WithoutA, at(1000));
  updateOwners(Owners, All, at(2000));
  EXPECT_TRUE(updateOwners(Owners, All, at(11'999)).empty());
  updateOwners(Owners, All, at(12'000));
  for (std::size_t Shard = 0; Shard < ShardCount; ++Shard)
    EXPECT_EQ(Owners.Owner[Shard], rendezvousOwner(Shard, All));
}

// Guards against a shard without an owner while all live entries have been live
// for less than the minimum hold.
TEST(UpdateOwnersTest, ChoosesNewEntryWhenNoneIsSettled) {
  ShardOwners Owners;
  updateOwners(Owners, {EntryId("a")}, at(0));
  updateOwners(Owners, {EntryId("b")}, at(100));
  EXPECT_EQ(Owners.Owner[0], EntryId("b"));
  updateOwners(Owners, {}, at(200));
  EXPECT_EQ(Owners.Owner[0], EntryId());
}

} // namespace
} // namespace samphirehill
