#include "samphirehill/Membership/SharedState.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};
const SharedKey Config{ConfigKind, "lumen"};
const SharedKey Zone{ZoneKind, "z1"};
const EntryId Peer("p");
const EntryId Other("q");

SharedItem config(std::uint64_t Version) {
  return {Config, {Version, ""}, "text " + std::to_string(Version)};
}
SharedItem zone(std::uint64_t Counter, const std::string &Origin,
                const std::string &State) {
  return {Zone, {Counter, Origin}, State};
}

template <typename T>
std::vector<T> only(const std::vector<SharedAction> &All) {
  std::vector<T> Found;
  for (const SharedAction &Action : All)
    if (const T *Value = std::get_if<T>(&Action))
      Found.push_back(*Value);
  return Found;
}

SharedState joined(const std::vector<SharedItem> &Items) {
  SharedState State = makeSharedState({}, Start);
  decide(State, PlatformRead{Items, true, std::nullopt}, Start);
  return State;
}

// Guards against a value that goes back, whichever way an old one arrives.
TEST(SharedStateTest, IgnoresValueThatIsNotNewer) {
  const std::vector<SharedEvent> Events{
      PushReceived{config(4)}, PushReceived{config(5)},
      PlatformRead{{config(4)}, true, std::nullopt},
      VersionsReceived{Peer, 1, {{Config, {4, ""}}}}};
  for (const SharedEvent &Event : Events) {
    SharedState State = joined({config(5)});
    EXPECT_TRUE(decide(State, Event, Start).empty());
    EXPECT_EQ(*heldItem(State, Config), config(5));
  }
}

// Guards against merges whose result depends on the order of arrival.
TEST(SharedStateTest, KeepsHighestStampInAnyOrder) {
  std::vector<SharedItem> Items{zone(2, "lumen/1", "out"),
                                zone(2, "zarqa/1", "in"),
                                zone(1, "zarqa/0", "out")};
  std::vector<int> Order{0, 1, 2};
  do {
    SharedState State = joined({});
    for (int I : Order)
      decide(State, PushReceived{Items[static_cast<std::size_t>(I)]}, Start);
    EXPECT_EQ(*heldItem(State, Zone), Items[1]);
    EXPECT_FALSE(isZoneOut(State, ZoneId("z1")));
    EXPECT_EQ(State.Digest, joined({Items[1]}).Digest);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Guards against a stamp that loses to the change it is made to replace.
TEST(SharedStateTest, MakesStampAboveHeldVersion) {
  SharedState State = joined({zone(7, "zarqa/9", "in")});
  SharedVersion Stamp = nextStamp(State, Zone, "lumen", "1");
  EXPECT_GT(Stamp, heldVersion(State, Zone));
  decide(State, OperatorChange{{Zone, Stamp, "out"}}, Start);
  EXPECT_TRUE(isZoneOut(State, ZoneId("z1")));
}

// Guards against a storm of pulls of one value, and against a pull that is
// never repeated after its answer was lost.
TEST(SharedStateTest, PullsOncePerTimeoutWhenPeersAreAhead) {
  SharedState State = joined({config(5)});
  VersionsReceived Ahead{Peer, 1, {{Config, {6, ""}}}};
  VersionsReceived Also{Other, 1, {{Config, {6, ""}}}};
  VersionsReceived Further{Other, 1, {{Config, {7, ""}}}};
  auto Pulls = only<SendPull>(decide(State, Ahead, Start));
  ASSERT_EQ(Pulls.size(), 1u);
  EXPECT_EQ(Pulls[0].To, Peer);
  EXPECT_EQ(Pulls[0].Have, (SharedVersion{5, ""}));
  EXPECT_TRUE(decide(State, Also, Start).empty());
  EXPECT_EQ(only<SendPull>(decide(State, Further, Start)).size(), 1u);
  EXPECT_EQ(only<SendPull>(decide(State, Also, Start + PullTimeout)).size(),
            1u);
  decide(State, PushReceived{config(7)}, Start);
  EXPECT_TRUE(decide(State, Further, Start + PullTimeout).empty());
}

// Guards against pushes of values the asker already has.
TEST(SharedStateTest, PushesOnlyWhenAhead) {
  SharedState State = joined({config(5)});
  auto Pushes =
      only<SendPush>(decide(State, PullReceived{Peer, Config, {4, ""}}, Start));
  ASSERT_EQ(Pushes.size(), 1u);
  EXPECT_EQ(Pushes[0].Item, config(5));
  EXPECT_TRUE(
      decide(State, PullReceived{Peer, Config, {5, ""}}, Start).empty());
  EXPECT_TRUE(decide(State, PullReceived{Peer, Zone, {}}, Start).empty());
}

// Guards against a stale read of the platform that is put in force at a start
// although a peer knows better.
TEST(SharedStateTest, WaitsForSeedsWhenPlatformReadIsStale) {
  SharedState State = makeSharedState({Peer}, Start);
  EXPECT_EQ(only<RequestVersions>(decide(State, SharedTick{}, Start)).size(),
            1u);
  EXPECT_TRUE(
      decide(State, PlatformRead{{config(4)}, true, std::nullopt}, Start)
          .empty());
  auto Pulls =
      decide(State, VersionsAnswered{Peer, true, {{Config, {5, ""}}}}, Start);
  EXPECT_EQ(only<SendPull>(Pulls).size(), 1u);
  EXPECT_FALSE(State.IsJoined);
  auto Actions = decide(State, PushReceived{config(5)}, Start);
  ASSERT_EQ(only<PutInForce>(Actions).size(), 1u);
  EXPECT_EQ(only<PutInForce>(Actions)[0].Item, config(5));
  EXPECT_EQ(only<Joined>(Actions).size(), 1u);
}

// Guards against entries that never start, or start on too little.
TEST(SharedStateTest, JoinsOnlyWhenSeedsOrPlatformAnswered) {
  struct Row {
    const char *Name;
    bool Platform;
    int Answers; // of two seeds
    bool Ready;
    std::int64_t AfterMs;
    bool Joined;
  };
  const std::vector<Row> Rows{
      {"nothing known", false, 0, false, 60'000, false},
      {"platform only, early", true, 0, false, 2'999, false},
      {"platform only, late", true, 0, false, 3'000, true},
      {"whole fleet starts", true, 2, false, 0, true},
      {"whole fleet starts, platform down", false, 2, false, 60'000, false},
      {"one joined seed, early", false, 1, true, 999, false},
      {"one joined seed", false, 1, true, 1'000, true},
      {"both joined seeds", false, 2, true, 0, true},
  };
  for (const Row &Each : Rows) {
    SharedState State = makeSharedState({Peer, Other}, Start);
    if (Each.Platform)
      decide(State, PlatformRead{{config(1)}, true, std::nullopt}, Start);
    if (Each.Answers > 0)
      decide(State, VersionsAnswered{Peer, Each.Ready, {}}, Start);
    if (Each.Answers > 1)
      decide(State, VersionsAnswered{Other, Each.Ready, {}}, Start);
    decide(State, SharedTick{}, Start + milliseconds(Each.AfterMs));
    EXPECT_EQ(State.IsJoined, Each.Joined) << Each.Name;
  }
}

// Guards against an entry that waits for ever for a value that only a seed had
// which has ended since.
TEST(SharedStateTest, StopsWaitingForValueWhenSeedFellSilent) {
  SharedState State = makeSharedState({Peer}, Start);
  decide(State, PlatformRead{{config(1)}, true, std::nullopt}, Start);
  decide(State, VersionsAnswered{Peer, true, {{Zone, {1, "lumen/1"}}}}, Start);
  decide(State, SharedTick{}, Start + JoinAloneTimeout - milliseconds(1));
  EXPECT_FALSE(State.IsJoined);
  decide(State, SharedTick{}, Start + JoinAloneTimeout);
  EXPECT_TRUE(State.IsJoined);
}

// Guards against zone changes that were given while the platform was down and
// are never stored, and against needless writes.
TEST(SharedStateTest, StoresZonesWhenPlatformLacksThem) {
  SharedState State = joined({zone(1, "lumen/1", "in")});
  decide(State, OperatorChange{zone(2, "zarqa/2", "out")}, Start);
  auto Stores = only<StoreZones>(
      decide(State, PlatformRead{{zone(1, "lumen/1", "in")}, true, 9}, Start));
  ASSERT_EQ(Stores.size(), 1u);
  EXPECT_EQ(Stores[0].ObjectVersion, 9u);
  EXPECT_EQ(Stores[0].Items,
            std::vector<SharedItem>{zone(2, "zarqa/2", "out")});
  EXPECT_TRUE(
      only<StoreZones>(
          decide(State, PlatformRead{{zone(2, "zarqa/2", "out")}, true, 10},
                 Start))
          .empty());
  // Without the object, which the close deletes, nothing is written.
  EXPECT_TRUE(
      decide(State, PlatformRead{{}, true, std::nullopt}, Start).empty());
}

// Guards against a new version that isn't told first, and against versions that
// are never told.
TEST(SharedStateTest, SendsNewestVersionFirstAndOthersInRotation) {
  std::vector<SharedItem> Items;
  Items.reserve(40);
  for (int I = 0; I < 40; ++I)
    Items.push_back(
        {{PlacementKind, "z" + std::to_string(100 + I)}, {1, ""}, "{}"});
  SharedState State = joined(Items);
  decide(State, PushReceived{config(1)}, Start);
  EXPECT_EQ(notesToSend(State, Start).front().Key, Config);
  EXPECT_EQ(notesToSend(State, Start).size(), RecentNoteCount);
  decide(State, VersionsReceived{Peer, State.Digest + 1, {}}, Start);
  std::set<SharedKey> Told;
  for (int Round = 0; Round < 3; ++Round)
    for (const VersionNote &Note : notesToSend(State, Start))
      Told.insert(Note.Key);
  EXPECT_EQ(Told.size(), 41u);
}

// Guards against a stored zone state that reads back as another.
TEST(SharedStateTest, ReadsBackZonesObject) {
  std::vector<SharedItem> Items{
      zone(3, "lumen/a", "out"),
      {{CloseKind, CloseName}, {1, "zarqa/b"}, "closing"}};
  auto Read = capture([&] { return parseZonesObject(zonesObjectText(Items)); });
  ASSERT_EQ(errorOf(Read), nullptr);
  EXPECT_EQ(std::get<0>(Read), Items);
  EXPECT_TRUE(isClosing(joined(Items)));
  EXPECT_FALSE(isClosing(joined({})));
  for (const char *Text : {"", "{}", "{\"zones\":{\"z1\":{}}}", "[1]"}) {
    auto Bad = capture([&] { return parseZonesObject(Text); });
    ASSERT_NE(errorOf(Bad), nullptr) << Text;
    EXPECT_EQ(errorOf(Bad)->Code, ResultCode::BadAnswer);
  }
}

} // namespace
} // namespace samphirehill
