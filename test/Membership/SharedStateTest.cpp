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
std::vector<T> actionsOf(const std::vector<SharedAction> &All) {
  std::vector<T> Found;
  for (const SharedAction &Action : All)
    if (const T *Value = std::get_if<T>(&Action))
      Found.push_back(*Value);
  return Found;
}

SharedState joinedState(const std::vector<SharedItem> &Items) {
  SharedState State = makeSharedState({}, Start);
  decide(State, PlatformRead{Items, true, std::nullopt}, Start);
  return State;
}

// Guards against a value that is replaced by an older one, which may arrive by
// a push, a platform read or a version note.
TEST(SharedStateTest, IgnoresValueThatIsNotNewer) {
  const std::vector<SharedEvent> Events{
      PushReceived{config(4)}, PushReceived{config(5)},
      PlatformRead{{config(4)}, true, std::nullopt},
      VersionsReceived{Peer, 1, {{Config, {4, ""}}}}};
  for (const SharedEvent &Event : Events) {
    SharedState State = joinedState({config(5)});
    EXPECT_TRUE(decide(State, Event, Start).empty());
    EXPECT_EQ(*heldItem(State, Config), config(5));
  }
}

// Guards against merges whose result depends on the order in which values
// arrive.
TEST(SharedStateTest, KeepsHighestStampInAnyOrder) {
  std::vector<SharedItem> Items{zone(2, "lumen/1", "out"),
                                zone(2, "zarqa/1", "in"),
                                zone(1, "zarqa/0", "out")};
  std::vector<int> Order{0, 1, 2};
  do {
    SharedState State = joinedState({});
    for (int I : Order)
      decide(State, PushReceived{Items[static_cast<std::size_t>(I)]}, Start);
    EXPECT_EQ(*heldItem(State, Zone), Items[1]);
    EXPECT_FALSE(isZoneOut(State, ZoneId("z1")));
    EXPECT_EQ(State.Digest, joinedState({Items[1]}).Digest);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

// Guards against a new stamp that is below the version it must replace.
TEST(SharedStateTest, MakesStampAboveHeldVersion) {
  SharedState State = joinedState({zone(7, "zarqa/9", "in")});
  SharedVersion Stamp = nextStamp(State, Zone, "lumen", "1");
  EXPECT_GT(Stamp, heldVersion(State, Zone));
  decide(State, OperatorChange{{Zone, Stamp, "out"}}, Start);
  EXPECT_TRUE(isZoneOut(State, ZoneId("z1")));
}

// Guards against repeated pulls of one value within PullTimeout, and against a
// pull that is never repeated after its answer was lost.
TEST(SharedStateTest, PullsOncePerTimeoutWhenPeersAreAhead) {
  SharedState State = joinedState({config(5)});
  VersionsReceived Ahead{Peer, 1, {{Config, {6, ""}}}};
  VersionsReceived Also{Other, 1, {{Config, {6, ""}}}};
  VersionsReceived Further{Other, 1, {{Config, {7, ""}}}};
  auto Pulls = actionsOf<SendPull>(decide(State, Ahead, Start));
  ASSERT_EQ(Pulls.size(), 1u);
  EXPECT_EQ(Pulls[0].To, Peer);
  EXPECT_EQ(Pulls[0].Have, (SharedVersion{5, ""}));
  EXPECT_TRUE(decide(State, Also, Start).empty());
  EXPECT_EQ(actionsOf<SendPull>(decide(State, Further, Start)).size(), 1u);
  EXPECT_EQ(
      actionsOf<SendPull>(decide(State, Also, Start + PullTimeout)).size(), 1u);
  decide(State, PushReceived{config(7)}, Start);
  EXPECT_TRUE(decide(State, Further, Start + PullTimeout).empty());
}

// Guards against pushes of values that the pulling peer already has.
TEST(SharedStateTest, PushesOnlyWhenAhead) {
  SharedState State = joinedState({config(5)});
  auto Pushes = actionsOf<SendPush>(
      decide(State, PullReceived{Peer, Config, {4, ""}}, Start));
  ASSERT_EQ(Pushes.size(), 1u);
  EXPECT_EQ(Pushes[0].Item, config(5));
  EXPECT_TRUE(
      decide(State, PullReceived{Peer, Config, {5, ""}}, Start).empty());
  EXPECT_TRUE(decide(State, PullReceived{Peer, Zone, {}}, Start).empty());
}

// Guards against a process start that puts a stale read of the platform in
// force although a seed peer holds a newer version.
TEST(SharedStateTest, WaitsForSeedsWhenPlatformReadIsStale) {
  SharedState State = makeSharedState({Peer}, Start);
  EXPECT_EQ(
      actionsOf<RequestVersions>(decide(State, SharedTick{}, Start)).size(),
      1u);
  EXPECT_TRUE(
      decide(State, PlatformRead{{config(4)}, true, std::nullopt}, Start)
          .empty());
  auto Pulls =
      decide(State, VersionsAnswered{Peer, true, {{Config, {5, ""}}}}, Start);
  EXPECT_EQ(actionsOf<SendPull>(Pulls).size(), 1u);
  EXPECT_FALSE(State.IsJoined);
  auto Actions = decide(State, PushReceived{config(5)}, Start);
  ASSERT_EQ(actionsOf<PutInForce>(Actions).size(), 1u);
  EXPECT_EQ(actionsOf<PutInForce>(Actions)[0].Item, config(5));
  EXPECT_EQ(actionsOf<Joined>(Actions).size(), 1u);
}

// Guards against entries that never join, and against entries that join before
// the seeds or the platform have answered.
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
      {"complete fleet starts", true, 2, false, 0, true},
      {"complete fleet starts, platform down", false, 2, false, 60'000, false},
      {"one joined seed, early", false, 1, true, 999, false},
      {"one joined seed", false, 1, true, 1'000, true},
      {"both joined seeds", false, 2, true, 0, true},
  };
  for (const Row &Case : Rows) {
    SharedState State = makeSharedState({Peer, Other}, Start);
    if (Case.Platform)
      decide(State, PlatformRead{{config(1)}, true, std::nullopt}, Start);
    if (Case.Answers > 0)
      decide(State, VersionsAnswered{Peer, Case.Ready, {}}, Start);
    if (Case.Answers > 1)
      decide(State, VersionsAnswered{Other, Case.Ready, {}}, Start);
    decide(State, SharedTick{}, Start + milliseconds(Case.AfterMs));
    EXPECT_EQ(State.IsJoined, Case.Joined) << Case.Name;
  }
}

// Guards against an entry that never joins because it waits for a value held
// only by a seed that has ended since its answer.
TEST(SharedStateTest, StopsWaitingForValueWhenSeedFellSilent) {
  SharedState State = makeSharedState({Peer}, Start);
  decide(State, PlatformRead{{config(1)}, true, std::nullopt}, Start);
  decide(State, VersionsAnswered{Peer, true, {{Zone, {1, "lumen/1"}}}}, Start);
  decide(State, SharedTick{}, Start + JoinAloneTimeout - milliseconds(1));
  EXPECT_FALSE(State.IsJoined);
  decide(State, SharedTick{}, Start + JoinAloneTimeout);
  EXPECT_TRUE(State.IsJoined);
}

// Guards against zone changes that operators made while the platform was down
// and that are never stored, and against writes of values already stored.
TEST(SharedStateTest, StoresZonesWhenPlatformLacksThem) {
  SharedState State = joinedState({zone(1, "lumen/1", "in")});
  decide(State, OperatorChange{zone(2, "zarqa/2", "out")}, Start);
  auto Stores = actionsOf<StoreZones>(
      decide(State, PlatformRead{{zone(1, "lumen/1", "in")}, true, 9}, Start));
  ASSERT_EQ(Stores.size(), 1u);
  EXPECT_EQ(Stores[0].ObjectVersion, 9u);
  EXPECT_EQ(Stores[0].Items,
            std::vector<SharedItem>{zone(2, "zarqa/2", "out")});
  EXPECT_TRUE(
      actionsOf<StoreZones>(
          decide(State, PlatformRead{{zone(2, "zarqa/2", "out")}, true, 10},
                 Start))
          .empty());
  // A close deletes zones/state. Once it is missing, nothing is written.
  EXPECT_TRUE(
      decide(State, PlatformRead{{}, true, std::nullopt}, Start).empty());
}

// Guards against a new version that isn't sent first, and against versions that
// are never sent.
TEST(SharedStateTest, SendsNewestVersionFirstAndOthersInRotation) {
  std::vector<SharedItem> Items;
  Items.reserve(40);
  for (int I = 0; I < 40; ++I)
    Items.push_back(
        {{PlacementKind, "z" + std::to_string(100 + I)}, {1, ""}, "{}"});
  SharedState State = joinedState(Items);
  decide(State, PushReceived{config(1)}, Start);
  EXPECT_EQ(notesToSend(State, Start).front().Key, Config);
  EXPECT_EQ(notesToSend(State, Start).size(), RecentNoteCount);
  decide(State, VersionsReceived{Peer, State.Digest + 1, {}}, Start);
  std::set<SharedKey> Sent;
  for (int Round = 0; Round < 3; ++Round)
    for (const VersionNote &Note : notesToSend(State, Start))
      Sent.insert(Note.Key);
  EXPECT_EQ(Sent.size(), 41u);
}

// Guards against zone states and a close mark that change when they are stored
// in zones/state and read back, and against malformed texts that are accepted.
TEST(SharedStateTest, ReadsBackZonesObject) {
  std::vector<SharedItem> Items{
      zone(3, "lumen/a", "out"),
      {{CloseKind, CloseName}, {1, "zarqa/b"}, "closing"}};
  auto Read = capture([&] { return parseZonesObject(zonesObjectText(Items)); });
  ASSERT_EQ(errorOf(Read), nullptr);
  EXPECT_EQ(std::get<0>(Read), Items);
  EXPECT_TRUE(isClosing(joinedState(Items)));
  EXPECT_FALSE(isClosing(joinedState({})));
  for (const char *Text : {"", "{}", "{\"zones\":{\"z1\":{}}}", "[1]"}) {
    auto Bad = capture([&] { return parseZonesObject(Text); });
    ASSERT_NE(errorOf(Bad), nullptr) << Text;
    EXPECT_EQ(errorOf(Bad)->Code, ResultCode::BadAnswer);
  }
}

} // namespace
} // namespace samphirehill
