#include "samphirehill/Membership/Liveness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace samphirehill {
namespace {

const TimePoint Start{seconds(100)};

Member entry(const std::string &Name, const std::string &Zone = "z1") {
  return {EntryId(Name), ZoneId(Zone), "127.0.0.1:" + Name, false};
}

LivenessState stateOf(const std::vector<Member> &Others) {
  LivenessState State = makeLiveness(entry("b"), 50, {}, Start);
  InstanceListRead List{1, Others};
  List.Entries.push_back(entry("b"));
  decide(State, List, Start);
  return State;
}

std::vector<LivenessAction> receiveHeartbeat(LivenessState &State,
                                             const Member &From,
                                             Incarnation Started,
                                             TimePoint Now) {
  return decide(State, PeerStatusReceived{From, Started, true}, Now);
}

template <typename T>
std::vector<T> actionsOf(const std::vector<LivenessAction> &Actions) {
  std::vector<T> Found;
  for (const LivenessAction &Action : Actions)
    if (const T *Value = std::get_if<T>(&Action))
      Found.push_back(*Value);
  return Found;
}

// Guards against a health that changes too late after the last heartbeat, and
// against one that a later heartbeat doesn't set back to Alive.
TEST(LivenessTest, UpdatesHealthWhenZonePeerIsSilent) {
  struct Row {
    std::int64_t SilenceMs;
    Health Expected;
  };
  for (Row Case : {Row{0, Health::Alive}, Row{999, Health::Alive},
                   Row{1000, Health::Suspect}, Row{1999, Health::Suspect},
                   Row{2000, Health::Down}, Row{60000, Health::Down}}) {
    LivenessState State = stateOf({entry("a")});
    EXPECT_EQ(health(State, EntryId("a")), Health::NoContact);
    receiveHeartbeat(State, entry("a"), 7, Start);
    TimePoint Now = Start + milliseconds(Case.SilenceMs);
    decide(State, LivenessTick{}, Now);
    EXPECT_EQ(health(State, EntryId("a")), Case.Expected) << Case.SilenceMs;
    EXPECT_FALSE(isConfirmedGone(State, EntryId("a"), 7));
    receiveHeartbeat(State, entry("a"), 7, Now);
    EXPECT_EQ(health(State, EntryId("a")), Health::Alive);
  }
}

// Guards against credits that are reclaimed from a live process, and against
// credits that are never reclaimed. Only the instance list or a newer
// incarnation confirms that an incarnation is gone.
TEST(LivenessTest, ConfirmsGoneOnlyWhenListOrIncarnationShowsIt) {
  Member A = entry("a");
  struct Row {
    const char *Name;
    LivenessEvent Event;
    std::int64_t AfterMs;
    bool Gone;
  };
  const std::vector<Row> Rows{
      {"silence", LivenessTick{}, 3'600'000, false},
      {"same incarnation", PeerStatusReceived{A, 7, true}, 10, false},
      {"older incarnation", PeerStatusReceived{A, 6, true}, 10, false},
      {"newer incarnation", PeerStatusReceived{A, 8, true}, 10, true},
      {"newer in any message", MessageReceived{EntryId("a"), 8}, 10, true},
      {"absent from list", InstanceListRead{2, {entry("c")}}, 10, true},
      {"absent from old list", InstanceListRead{1, {entry("c")}}, 10, false},
      {"leaving in list",
       InstanceListRead{2, {{A.Entry, A.Zone, A.Address, true}}}, 10, false},
  };
  for (const Row &Case : Rows) {
    LivenessState State = stateOf({A});
    receiveHeartbeat(State, A, 7, Start);
    auto Actions =
        decide(State, Case.Event, Start + milliseconds(Case.AfterMs));
    EXPECT_EQ(isConfirmedGone(State, EntryId("a"), 7), Case.Gone) << Case.Name;
    EXPECT_FALSE(isConfirmedGone(State, EntryId("a"), 8)) << Case.Name;
    std::vector<ConfirmedGone> Expected;
    if (Case.Gone)
      Expected.push_back({EntryId("a"), 7});
    EXPECT_EQ(actionsOf<ConfirmedGone>(Actions), Expected) << Case.Name;
  }
}

// Guards against a process that was paused, was confirmed gone meanwhile, and
// counts as alive when it resumes.
TEST(LivenessTest, IgnoresIncarnationWhenConfirmedGone) {
  LivenessState State = stateOf({entry("a")});
  receiveHeartbeat(State, entry("a"), 7, Start);
  decide(State, InstanceListRead{2, {}}, Start);
  EXPECT_TRUE(receiveHeartbeat(State, entry("a"), 7, Start).empty());
  EXPECT_EQ(health(State, EntryId("a")), Health::Down);
  receiveHeartbeat(State, entry("a"), 9, Start);
  EXPECT_EQ(health(State, EntryId("a")), Health::Alive);
}

// Guards against an entry that ignores all lists after the platform was
// restored from a copy, until its revisions have passed the old ones.
TEST(LivenessTest, TakesCompleteListOfALowerRevision) {
  LivenessState State = stateOf({entry("a")});
  decide(State, InstanceListRead{9, {entry("a")}}, Start);
  decide(State, InstanceListRead{4, {entry("c")}}, Start);
  EXPECT_EQ(members(State), std::vector<Member>{entry("a")});
  decide(State, InstanceListRead{4, {entry("c")}, true}, Start);
  EXPECT_EQ(members(State), std::vector<Member>{entry("c")});
  decide(State, InstanceListRead{5, {entry("d")}}, Start);
  EXPECT_EQ(members(State), std::vector<Member>{entry("d")});
}

// Guards against a new instance that counts as gone because the instance list
// lags, and against an unlisted instance that is never removed.
TEST(LivenessTest, KeepsUnlistedPeerWhileMessagesArrive) {
  LivenessState State = stateOf({entry("a")});
  EXPECT_EQ(
      actionsOf<MembersChanged>(receiveHeartbeat(State, entry("n"), 3, Start))
          .size(),
      1u);
  decide(State, InstanceListRead{2, {entry("a")}}, Start);
  EXPECT_EQ(health(State, EntryId("n")), Health::Alive);
  decide(State, LivenessTick{}, Start + seconds(2));
  EXPECT_EQ(members(State), std::vector<Member>{entry("a")});
  EXPECT_FALSE(isConfirmedGone(State, EntryId("n"), 3));
}

// Guards against seed peers that are removed before the platform was first
// read.
TEST(LivenessTest, KeepsSilentSeedsUntilFirstList) {
  LivenessState State = makeLiveness(entry("b"), 1, {entry("a")}, Start);
  auto Actions = decide(State, LivenessTick{}, Start + seconds(600));
  EXPECT_EQ(actionsOf<SendHeartbeat>(Actions),
            std::vector<SendHeartbeat>{{EntryId("a")}});
  EXPECT_EQ(members(State).size(), 1u);
}

// Guards against zones without a relay or without a watch of the platform, and
// against roles for entries that are down, leaving or without contact.
TEST(LivenessTest, ChoosesLowestTwoLiveEntriesAsRelayAndBackup) {
  LivenessState State =
      stateOf({entry("a"), entry("c"), entry("d"), entry("0", "z2")});
  EXPECT_EQ(zoneRoles(State).Relay, EntryId("b")); // no contact with a yet
  EXPECT_FALSE(zoneRoles(State).Backup.has_value());
  for (const char *Peer : {"a", "c", "d"})
    receiveHeartbeat(State, entry(Peer), 7, Start);
  receiveHeartbeat(State, entry("0", "z2"), 7, Start);
  EXPECT_EQ(zoneRoles(State).Relay, EntryId("a"));
  EXPECT_EQ(zoneRoles(State).Backup, EntryId("b"));
  EXPECT_FALSE(isRelay(State));
  EXPECT_TRUE(watchesPlatform(State));
  for (const char *Peer : {"c", "d"})
    receiveHeartbeat(State, entry(Peer), 7, Start + seconds(2));
  decide(State, LivenessTick{}, Start + seconds(2));
  EXPECT_TRUE(isRelay(State)); // a is down
  EXPECT_EQ(zoneRoles(State).Backup, EntryId("c"));
  State.Self.Leaving = true;
  EXPECT_EQ(zoneRoles(State).Relay, EntryId("c"));
  EXPECT_FALSE(watchesPlatform(State));
}

// Guards against heartbeats at the wrong interval or to other zones.
TEST(LivenessTest, SendsHeartbeatsToZonePeersEachInterval) {
  LivenessState State = stateOf({entry("a"), entry("c"), entry("x", "z2")});
  std::size_t Heartbeats = 0;
  for (std::int64_t Ms = 0; Ms < 10'000; Ms += 50) {
    auto Actions = decide(State, LivenessTick{}, Start + milliseconds(Ms));
    for (const SendHeartbeat &Heartbeat : actionsOf<SendHeartbeat>(Actions))
      EXPECT_NE(Heartbeat.To, EntryId("x"));
    Heartbeats += actionsOf<SendHeartbeat>(Actions).size();
  }
  EXPECT_EQ(Heartbeats, 2u * 40u);
}

// Guards against a peer in a large zone that suspects the sender because its
// turn in the heartbeat rotation comes too late.
TEST(LivenessTest, SendsToAllPeersInRotationWhenZoneIsLarge) {
  std::vector<Member> Others;
  Others.reserve(40);
  for (int I = 0; I < 40; ++I)
    Others.push_back(entry("p" + std::to_string(100 + I)));
  LivenessState State = stateOf(Others);
  EXPECT_EQ(suspectAfter(stateOf({entry("a")})), SuspectAfter);
  std::map<EntryId, TimePoint> Last;
  for (std::int64_t Ms = 0; Ms < 10'000; Ms += 250) {
    TimePoint Now = Start + milliseconds(Ms);
    auto Sent = actionsOf<SendHeartbeat>(decide(State, LivenessTick{}, Now));
    EXPECT_EQ(Sent.size(), MaxHeartbeatFanout);
    for (const SendHeartbeat &Heartbeat : Sent) {
      if (Last.count(Heartbeat.To) != 0) {
        EXPECT_LE(Now - Last[Heartbeat.To],
                  suspectAfter(State) / 2 + milliseconds(250));
      }
      Last[Heartbeat.To] = Now;
    }
  }
  EXPECT_EQ(Last.size(), 40u);
}

// Guards against a zone that gets no summary because one of its entries has
// ended, and against summaries from entries that aren't the relay.
TEST(LivenessTest, SendsSummariesToKnownRelayOrToEntriesInRotation) {
  LivenessState State = stateOf({entry("x", "z2"), entry("y", "z2")});
  std::vector<EntryId> Targets;
  auto Collect = [&](std::int64_t Ms) {
    auto Actions = decide(State, LivenessTick{}, Start + milliseconds(Ms));
    for (const SendSummary &Summary : actionsOf<SendSummary>(Actions))
      Targets.push_back(Summary.To);
  };
  Collect(0);
  Collect(500);
  EXPECT_EQ(Targets, (std::vector<EntryId>{EntryId("x"), EntryId("y")}));
  Targets.clear();
  decide(State, PeerStatusReceived{entry("y", "z2"), 3, false},
         Start + milliseconds(600));
  Collect(1000);
  Collect(1500);
  EXPECT_EQ(Targets, (std::vector<EntryId>{EntryId("y"), EntryId("y")}));
  Targets.clear();
  Collect(5000);
  Collect(5500);
  EXPECT_NE(Targets.front(), Targets.back()); // nothing received from y lately
  Targets.clear();
  receiveHeartbeat(State, entry("a"), 1, Start + milliseconds(5600));
  Collect(6000);
  EXPECT_TRUE(Targets.empty()); // a is the relay
}

} // namespace
} // namespace samphirehill
