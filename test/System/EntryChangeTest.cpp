// Entries that shut down and entries that start while the platform is down
// (I9).
#include "Fleet.h"

#include <algorithm>

namespace samphirehill::system_test {
namespace {

class EntryChangeTest : public Fleet {
protected:
  void checkWithoutPlatform(const char *Fault) {
    form({});
    platformFaults({{Fault, true}});
    std::vector<StreamPtr> Before;
    Before.reserve(4);
    for (int I = 0; I < 4; ++I)
      Before.push_back(stream(entryIds()[0], "down " + std::to_string(I), 10));
    ended(Before, seconds(5));
    for (const StreamPtr &Each : Before)
      checkWhole(*Each);
    addEntry("entry-mu-1-9", "mu-1", {entryIds()[0]});
    EXPECT_TRUE(until(
        [&] { return call("entry-mu-1-9", "GET", "/readyz").Status == 200; },
        seconds(6)))
        << "an entry does not start without the platform";
    StreamPtr First = stream("entry-mu-1-9", "new entry", 10);
    EXPECT_TRUE(until(
        [&] {
          if (First->Over && !First->endMark())
            First = stream("entry-mu-1-9", "new entry", 10);
          return First->endMark();
        },
        seconds(6)))
        << "the new entry does not serve: " << First->Got.Body;
  }
};

// Guards against a planned stop that cuts answers off or keeps the credits of
// the entry's homes from the others.
TEST_F(EntryChangeTest, CutsNothingOffWhenEntryShutsDown) {
  form({.Zones = {"mu-1"}, .EntriesPerZone = 2, .MsPerToken = 10});
  // The entry with the lowest id holds at least one of the roles.
  std::string Leaving = entryIds()[0];
  std::string Staying = entryIds()[1];
  until(
      [&] {
        keepLoad(entryIds(), 3, 50);
        return sum("outstanding") >= 6;
      },
      seconds(5));
  std::vector<StreamPtr> Cut = Load[Leaving];
  bool AllRead = until(
      [&] {
        return std::all_of(Cut.begin(), Cut.end(), [](const StreamPtr &Each) {
          return Each->Over || !Each->tokens().empty();
        });
      },
      seconds(5));
  ASSERT_TRUE(AllRead) << "some of the load was not answered yet";
  // This one is sent, but the entry has not read it.
  StreamPtr Crossing = stream(Leaving, "crossing", 5);
  EntryNode &Node = *Entries.at(Leaving);
  Node.Running->shutDown([&Node] { Node.ShutDown = true; });
  EXPECT_EQ(call(Leaving, "GET", "/readyz").Status, 503);
  EXPECT_EQ(call(Leaving, "GET", "/healthz").Status, 200);
  bool InProgress = false;
  for (const StreamPtr &Each : Cut)
    InProgress = InProgress || !Each->Over;
  EXPECT_TRUE(InProgress) << "nothing was in progress at the shutdown";
  StreamPtr Refused = stream(Leaving, "late", 5);
  ASSERT_TRUE(ended({Refused}, seconds(2)));
  EXPECT_EQ(Refused->errorCode(), 1013);
  // The process ends as soon as its shutdown is over.
  bool Over = until(
      [&] {
        keepLoad({Staying}, 3, 50);
        return Node.ShutDown;
      },
      seconds(10));
  kill(Leaving);
  EXPECT_TRUE(Over) << "the shutdown does not end";
  ASSERT_TRUE(ended(Cut, seconds(1)));
  ASSERT_TRUE(ended({Crossing}, seconds(1)));
  checkAnswered(*Crossing);
  if (!Crossing->endMark()) {
    EXPECT_EQ(Crossing->errorCode(), 1013);
    EXPECT_NE(Crossing->Got.Body.find("not run"), std::string::npos);
  }
  for (const StreamPtr &Each : Cut)
    checkWhole(*Each);
  listInstance({{"id", Leaving}, {"state", "gone"}});
  bool Reached = until(
      [&] {
        keepLoad({Staying}, 12, 20);
        return sum("outstanding") == Shape.WarmLimit;
      },
      seconds(10));
  EXPECT_TRUE(Reached) << "outstanding at the end: " << sum("outstanding");
  std::vector<StreamPtr> Streams = takeLoad();
  ended(Streams, seconds(10));
  for (const StreamPtr &Each : Streams)
    checkWhole(*Each);
}

// Guards against requests that need the platform, and against an entry that
// can't start without it.
TEST_F(EntryChangeTest, ServesAndStartsWhenPlatformAnswersWithErrors) {
  checkWithoutPlatform("outage");
}

TEST_F(EntryChangeTest, ServesAndStartsWhenPlatformIsUnreachable) {
  checkWithoutPlatform("unreachable");
}

} // namespace
} // namespace samphirehill::system_test
