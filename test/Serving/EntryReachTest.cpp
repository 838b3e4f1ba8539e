// Tests how the entries of a site find out which zones they reach. Replays a
// zone that is cut off while its own engines are out of service: its entries
// said that they were ready, kept their callers, and refused nearly all of
// them.
#include "samphirehill/Serving/EntryReach.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <string>

namespace samphirehill::serving {
namespace {

const ServiceModel Large{PoolService, "large"};
const ServiceModel Plain{PlainService, ""};

// Three zones of entries that report to each other. Messages between zones are
// lost while Cut names one of them.
class ReachReplay {
public:
  explicit ReachReplay(int EntriesPerZone) {
    for (const char *Zone : {"a", "b", "c"}) {
      for (int Number = 0; Number < EntriesPerZone; ++Number) {
        EntryId Name(Zone + std::to_string(Number));
        Tables[Name].Self = Name;
        Tables[Name].Zone = ZoneId(Zone);
        Books[Name].PeerDemand = {{Large, 100.0}, {Plain, 14.0}};
      }
    }
    for (auto &[Name, Table] : Tables) {
      for (const auto &[Other, Known] : Tables) {
        if (Other != Name)
          Table.Peers[Other].Zone = Known.Zone;
      }
    }
  }

  // Adds an upstream of each kind in Zone.
  void addUpstreams(const std::string &Zone) {
    for (const ServiceModel &Kind : {Large, Plain}) {
      Upstream Added;
      Added.Key = {InstanceId(Zone + "-" + Kind.Service.str()), 0};
      Added.Service = Kind.Service;
      Added.Model = Kind.Model;
      Added.Zone = ZoneId(Zone);
      Usable.push_back(Added);
    }
    for (auto &[Name, Book] : Books)
      updateUpstreams(Book, Usable);
  }

  // Sends and evaluates reports for Periods. Requests of the entry Sender to
  // the upstreams of a zone that it doesn't reach get nothing, others are
  // answered.
  void run(int Periods, const EntryId &Sender) {
    for (int Period = 0; Period < Periods; ++Period) {
      Now += PeerSettings{}.Period;
      for (const auto &[Key, State] : Books.at(Sender).Upstreams) {
        if (linked(Tables.at(Sender).Zone, State.Info.Zone))
          noteProgress(Books.at(Sender), Key, Now);
        else
          noteUnreached(Books.at(Sender), Key, Now);
      }
      for (auto &[Name, Table] : Tables) {
        if (!Stopped.contains(Name))
          send(Name, Table);
      }
      for (auto &[Name, Book] : Books) {
        collectEvidence(Book, Tables.at(Name));
        updateReach(Book, evidenceOfOwnZone(Tables.at(Name), Now), {}, Now);
      }
    }
  }

  int readyIn(const std::string &Zone) const {
    int Ready = 0;
    for (const auto &[Name, Book] : Books)
      Ready += Tables.at(Name).Zone.str() == Zone && Book.Reach.Taking.Ready;
    return Ready;
  }

  std::string Cut; // a zone
  std::set<EntryId> Stopped;
  std::map<EntryId, UpstreamBook> Books;

private:
  bool linked(const ZoneId &A, const ZoneId &B) const {
    return A == B || (A.str() != Cut && B.str() != Cut);
  }

  void send(const EntryId &Name, PeerTable &Table) {
    EntryReport Own;
    Own.Entry = Name;
    Own.Zone = Table.Zone;
    Own.Life = 1;
    Own.Sequence = ++Sequence;
    collectEvidence(Books.at(Name), Table);
    Own.Reach = Books.at(Name).Reach.Seen;
    for (const PlannedMessage &Each : planMessages(Table, Own, Now)) {
      for (const EntryId &To : Each.To) {
        if (linked(Table.Zone, Tables.at(To).Zone) && !Stopped.contains(To))
          applyMessage(Tables.at(To), Each.Message, {}, Now);
      }
    }
  }

  std::map<EntryId, PeerTable> Tables;
  std::vector<Upstream> Usable;
  TimePoint Now{seconds(1'000)};
  std::uint64_t Sequence = 0;
};

class EntryReachTest : public testing::TestWithParam<int> {
protected:
  EntryReachTest() : Replay(GetParam()) {
    Replay.addUpstreams("a");
    Replay.addUpstreams("b");
  }

  ReachReplay Replay;
};

TEST_P(EntryReachTest, EntriesOfCutOffZoneWithoutEnginesSayTheyAreNotReady) {
  const int All = GetParam();
  Replay.run(10, EntryId("c1"));
  ASSERT_EQ(Replay.readyIn("c"), All);
  Replay.Cut = "c";
  Replay.run(7, EntryId("c1"));
  EXPECT_EQ(Replay.readyIn("c"), 0) << "1.4 s after the cut";
  EXPECT_EQ(Replay.readyIn("a") + Replay.readyIn("b"), 2 * All);
  EXPECT_EQ(zonesCutOff(Replay.Books.at(EntryId("c0"))), "a,b");
  Replay.run(10, EntryId("c1"));
  EXPECT_EQ(Replay.readyIn("c"), 0);
  Replay.Cut = "";
  Replay.run(4, EntryId("c1"));
  EXPECT_EQ(Replay.readyIn("c"), All) << "0.8 s after the cut";
}

TEST_P(EntryReachTest, CutOffZoneWithEnginesGoesOnServing) {
  Replay.addUpstreams("c");
  Replay.run(10, EntryId("c1"));
  Replay.Cut = "c";
  Replay.run(20, EntryId("c1"));
  EXPECT_EQ(Replay.readyIn("c"), GetParam());
  EXPECT_EQ(zonesCutOff(Replay.Books.at(EntryId("c0"))), "a,b")
      << "their engines get nothing";
}

// The entries of two zones are killed; the engines there serve on.
TEST_P(EntryReachTest, LossOfEntriesIsNoCut) {
  Replay.run(10, EntryId("c1"));
  for (const auto &[Name, Book] : Replay.Books) {
    if (Name.str().front() != 'c')
      Replay.Stopped.insert(Name);
  }
  Replay.run(20, EntryId("c1"));
  EXPECT_EQ(Replay.readyIn("c"), GetParam());
}

INSTANTIATE_TEST_SUITE_P(DirectAndThroughRelays, EntryReachTest,
                         testing::Values(3, 9));

TEST(EntryReachProbeTest, ProbesEachZoneThatIsCutOff) {
  ReachReplay Replay(3);
  Replay.addUpstreams("a");
  Replay.addUpstreams("b");
  UpstreamBook &Book = Replay.Books.at(EntryId("c1"));
  EXPECT_TRUE(upstreamsToProbe(Book, 0.5).empty());
  Book.Reach.CutOff = {ZoneId("a"), ZoneId("b")};
  std::vector<Upstream> Chosen = upstreamsToProbe(Book, 0.99);
  ASSERT_EQ(Chosen.size(), 2U);
  EXPECT_EQ(Chosen[0].Zone, ZoneId("a"));
  EXPECT_EQ(Chosen[1].Zone, ZoneId("b"));
}

} // namespace
} // namespace samphirehill::serving
