#include "samphirehill/Serving/ListChanges.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace samphirehill::serving {
namespace {

const TimePoint Now{seconds(100)};

ListChange change(std::int64_t Revision, bool Removed = false) {
  return {"a", Revision, Removed, {}};
}

TEST(ListChangesTest, TakesEachChangeOnce) {
  ListChanges Changes;
  EXPECT_TRUE(takeChange(Changes, change(3), Now));
  EXPECT_FALSE(takeChange(Changes, change(3), Now)); // told by another entry
  EXPECT_FALSE(takeChange(Changes, change(2), Now)); // overtaken
  EXPECT_TRUE(takeChange(Changes, change(4), Now));
}

// Late news of an object must not bring it back.
TEST(ListChangesTest, KeepsRemovedObjectsRemoved) {
  ListChanges Changes;
  takeChange(Changes, change(3), Now);
  EXPECT_TRUE(takeChange(Changes, change(3, true), Now));
  EXPECT_FALSE(takeChange(Changes, change(3), Now));
  EXPECT_TRUE(takeChange(Changes, change(5), Now)); // made again
}

TEST(ListChangesTest, AListReplacesWhatIsKnown) {
  ListChanges Changes;
  takeChange(Changes, change(9), Now);
  takeList(Changes, {change(5)}, Now);
  EXPECT_FALSE(takeChange(Changes, change(5), Now));
  EXPECT_TRUE(takeChange(Changes, change(9), Now));
}

TEST(ListChangesTest, TellsEachChangeTwice) {
  ListChanges Changes;
  takeChange(Changes, change(3), Now);
  for (int Time = 0; Time < 2; ++Time)
    EXPECT_EQ(changesToTell(Changes, Now), std::vector<ListChange>{change(3)});
  EXPECT_TRUE(changesToTell(Changes, Now).empty());
  takeChange(Changes, change(4), Now);
  EXPECT_TRUE(changesToTell(Changes, Now + seconds(6)).empty());
}

ListChange named(int Number, std::int64_t Revision = 1) {
  return {"i" + std::to_string(Number), Revision, false, {}};
}

// Seen on the bench: at the start of 171 engines the message was too long for a
// datagram, and no entry heard its relay.
TEST(ListChangesTest, TellsNoMoreThanFitsADatagram) {
  ListChanges Changes;
  ListChange Long = named(0);
  Long.Listed = ListedInstance{engine("i", std::string(6'000, 'd')), {}};
  for (int Number = 0; Number < 100; ++Number) {
    Long.Name = "i" + std::to_string(Number);
    takeChange(Changes, Long, Now);
  }
  std::vector<ListChange> First = changesToTell(Changes, Now);
  std::vector<ListChange> Second = changesToTell(Changes, Now);
  EXPECT_EQ(First.size(), 2u);
  EXPECT_EQ(Second.size(), 2u);
  EXPECT_NE(First, Second); // those that were not told yet go first
}

// The load pattern: all 925 engines of a site change several times within some
// seconds, as at its start. Seen on the bench: entries that followed a relay
// knew 25 of 75 groups a second after traffic had begun.
TEST(ListChangesTest, FollowersKeepUpWhileAllEnginesChange) {
  ListChanges Relay;
  ListChanges Follower;
  TimePoint At = Now;
  std::int64_t Revision = 0;
  for (int Period = 0; Period < 20; ++Period) {
    for (int Change = 0; Change < 140; ++Change) { // 2,800 in 4 s
      ListChange Made = named((Period * 140 + Change) % 925, ++Revision);
      Made.Listed = ListedInstance{engine(Made.Name, "north-d0"), {}};
      Made.Listed->Listed.Group =
          Membership{"large.100001", 100'001, 1, MemberPhase::Ready};
      takeChange(Relay, Made, At);
    }
    for (const ListChange &Each : changesToTell(Relay, At))
      takeChange(Follower, Each, At);
    At += milliseconds(200);
  }
  for (int Period = 0; Period < 5; ++Period) {
    for (const ListChange &Each : changesToTell(Relay, At))
      takeChange(Follower, Each, At);
    At += milliseconds(200);
  }
  EXPECT_EQ(Follower.Digest, Relay.Digest);
}

TEST(ListChangesTest, DigestTellsWhetherListsAreTheSame) {
  ListChanges One;
  ListChanges Other;
  takeList(One, {named(1), named(2)}, Now);
  takeChange(Other, named(2), Now);
  EXPECT_NE(One.Digest, Other.Digest);
  takeChange(Other, named(1), Now);
  EXPECT_EQ(One.Digest, Other.Digest);
  takeChange(One, named(1, 2), Now);
  EXPECT_NE(One.Digest, Other.Digest);
  takeChange(Other, named(1, 2), Now);
  takeChange(One, {"i2", 1, true, {}}, Now);
  takeChange(Other, {"i2", 3, true, {}}, Now);
  EXPECT_EQ(One.Digest, Other.Digest);
}

TEST(ListSyncTest, AsksTheStoreOnlyForWhatNoRelayTells) {
  ListSync Sync;
  const Duration Pause = seconds(3);
  noteRelayedList(Sync, 10, true, Now);
  EXPECT_FALSE(mustReadList(Sync, Pause, Now + seconds(2)));
  noteRelayedList(Sync, 12, false, Now);
  EXPECT_FALSE(mustReadList(Sync, Pause, Now + milliseconds(900)));
  // A relay that is behind is no news.
  noteRelayedList(Sync, 10, true, Now);
  EXPECT_TRUE(mustReadList(Sync, Pause, Now + milliseconds(1'100)));
  EXPECT_FALSE(mustReadList(Sync, Pause, Now + seconds(3)));
  EXPECT_TRUE(mustReadList(Sync, Pause, Now + seconds(5)));
  noteOwnList(Sync, 12);
  EXPECT_FALSE(mustReadList(Sync, Pause, Now + seconds(9)));
}

} // namespace
} // namespace samphirehill::serving
