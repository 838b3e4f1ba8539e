// Tests that requests which crash upstreams are known to entries that start
// when no other entry lives.
#include "samphirehill/Serving/CrashStore.h"

#include "Serving/Loopback.h"
#include "Serving/MemoryStore.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace samphirehill::serving {
namespace {

constexpr std::uint64_t Deadly = 0xabcdef0123456789;
constexpr const char *Kind = "crashes";

// One entry's records, and their copy in the store.
struct TestEntry {
  TestEntry(TimerService &Timers, const ObjectStore &Store)
      : Timers(Timers), Kept(Timers, Store, Record, Metrics) {}

  // Has Request break off at this entry Count times, one after the other.
  void breakOff(std::uint64_t Request, int Count = 3,
                Duration Age = Duration::zero()) {
    for (int Sent = 0; Sent < Count; ++Sent) {
      serving::noteOwnBreakOff(
          Record, {Request, ++Upstream, Timers.now() - Age, Sent > 0});
      Kept.noteOwnBreakOff(Request);
    }
  }

  bool refuses(std::uint64_t Request) const {
    return !mayRun(Record, Request, Timers.now());
  }

  TimerService &Timers;
  ServingMetrics Metrics;
  CrashRecord Record;
  CrashStore Kept;
  std::uint64_t Upstream = 0;
};

class CrashStoreTest : public testing::Test {
protected:
  CrashStoreTest() : Timers(Context) {}

  TestEntry &start() {
    Entries.push_back(std::make_unique<TestEntry>(Timers, Functions));
    Entries.back()->Kept.readAtStart();
    return *Entries.back();
  }

  // Runs Entry as the first of those in contact until Done returns true.
  bool updateUntil(TestEntry &Entry, const std::function<bool()> &Done) {
    TimerSubscription Tick =
        Timers.every(milliseconds(10), [&] { Entry.Kept.update(true); });
    return runUntil(Context, Done);
  }

  std::size_t storedCount() { return Store.Kinds[Kind].size(); }

  asio::io_context Context;
  TimerService Timers;
  MemoryStore Store;
  ObjectStore Functions = Store.functions();
  std::vector<std::unique_ptr<TestEntry>> Entries;
  // A context without work stops for good.
  TimerSubscription KeepsRunning = Timers.every(milliseconds(10), [] {});
};

TEST_F(CrashStoreTest, TellsEntryThatStartsWhenAllOthersHaveEnded) {
  start().breakOff(Deadly);
  EXPECT_EQ(Store.Calls["write crashes"], 1);
  Entries.clear();
  EXPECT_TRUE(start().refuses(Deadly));
}

TEST_F(CrashStoreTest, WritesNothingBeforeTheRequestIsRefused) {
  start().breakOff(Deadly, 2);
  EXPECT_EQ(storedCount(), 0U);
}

// Guards against sound requests that new entries refuse because their upstreams
// lost power at the same moment.
TEST_F(CrashStoreTest, WritesNoRequestWhoseBreakOffsCameTogether) {
  TestEntry &Entry = start();
  for (std::uint64_t Upstream : {1, 2, 3}) {
    noteOwnBreakOff(Entry.Record, {Deadly, Upstream, Timers.now(), false});
    Entry.Kept.noteOwnBreakOff(Deadly);
  }
  Entry.Kept.update(true);
  EXPECT_TRUE(Entry.refuses(Deadly));
  EXPECT_EQ(storedCount(), 0U);
}

TEST_F(CrashStoreTest, WritesAgainUntilTheStoreAnswers) {
  TestEntry &Entry = start();
  Store.Down = true;
  Entry.breakOff(Deadly);
  Store.Down = false;
  EXPECT_TRUE(updateUntil(Entry, [&] { return storedCount() == 1; }));
}

TEST_F(CrashStoreTest, ReadsAgainUntilTheStoreAnswers) {
  start().breakOff(Deadly);
  Store.Down = true;
  TestEntry &Started = start();
  EXPECT_FALSE(Started.Kept.hasRead());
  Store.Down = false;
  TimerSubscription Tick =
      Timers.every(milliseconds(10), [&] { Started.Kept.readAtStart(); });
  ASSERT_TRUE(runUntil(Context, [&] { return Started.Kept.hasRead(); }));
  EXPECT_TRUE(Started.refuses(Deadly));
}

// Guards against a request that is forgotten because the entry that saw its
// last break-off has ended before it could write it.
TEST_F(CrashStoreTest, FirstEntryWritesWhatAnotherEntryHasSeen) {
  TestEntry &First = start();
  for (std::uint64_t Upstream : {1, 2, 3})
    noteBreakOff(First.Record, {Deadly, Upstream, Timers.now(), true});
  First.Kept.update(true);
  EXPECT_EQ(storedCount(), 0U); // that entry may be about to write it
  EXPECT_TRUE(updateUntil(First, [&] { return storedCount() == 1; }));
}

TEST_F(CrashStoreTest, AddsToWhatAnotherEntryHasWritten) {
  TestEntry &Other = start();
  Other.Upstream = 10;
  TestEntry &Entry = start();
  Entry.breakOff(Deadly);
  Other.breakOff(Deadly);
  Other.Kept.update(false);
  EXPECT_EQ(decodeBreakOffs(Store.Kinds[Kind].begin()->second, Timers.now(),
                            Timers.wallNow())
                .size(),
            6U);
}

TEST_F(CrashStoreTest, RemovesRequestThatIsNoLongerRefused) {
  TestEntry &Entry = start();
  Entry.Record.Retention = milliseconds(100);
  Entry.breakOff(Deadly);
  ASSERT_EQ(storedCount(), 1U);
  EXPECT_TRUE(updateUntil(Entry, [&] { return storedCount() == 0; }));
}

TEST_F(CrashStoreTest, RemovesRequestThatExpiredWhileNoEntryLived) {
  TestEntry &Ended = start();
  Ended.breakOff(Deadly, 3, Ended.Record.Retention - milliseconds(5));
  ASSERT_EQ(storedCount(), 1U);
  Entries.clear();
  TimePoint Expiry = Timers.now() + milliseconds(10);
  ASSERT_TRUE(runUntil(Context, [&] { return Timers.now() >= Expiry; }));
  TestEntry &Started = start();
  EXPECT_FALSE(Started.refuses(Deadly));
  EXPECT_TRUE(updateUntil(Started, [&] { return storedCount() == 0; }));
}

// Guards against a request that is forgotten because the restored store has
// lost it.
TEST_F(CrashStoreTest, WritesAgainWhatTheRestoredStoreHasLost) {
  TestEntry &Entry = start();
  Entry.breakOff(Deadly);
  Store.Kinds.clear();
  ++Store.Era;
  Entry.Kept.noteStoreRestored();
  Entry.Kept.update(false);
  EXPECT_EQ(storedCount(), 1U);
}

TEST_F(CrashStoreTest, KeepsABoundedNumberOfRequests) {
  TestEntry &Entry = start();
  for (std::uint64_t Request = 1; Request <= 300; ++Request)
    Entry.breakOff(Request);
  Entry.Kept.update(true);
  EXPECT_EQ(storedCount(), Entry.Record.MaxReported);
  for (const auto &[Name, Object] : Store.Kinds[Kind])
    EXPECT_LT(Object.Value.size(), 2'048U);
}

TEST_F(CrashStoreTest, LeavesOutObjectsOfAnotherForm) {
  start().breakOff(Deadly);
  Store.Kinds[Kind]["0"] = {"0", 1, "nonsense"};
  Store.Kinds[Kind]["odd name"] = {"odd name", 1, "{}"};
  EXPECT_TRUE(start().refuses(Deadly));
  TimePoint Now{seconds(100)};
  WallTime Wall{seconds(1'000'000)};
  for (const char *Value :
       {"", "[]", "{}", R"({"break_offs":1})",
        R"({"break_offs":[1,{"upstream":1}]})",
        R"({"break_offs":[{"upstream":"x","at_ms":1,"resent":true}]})",
        R"({"break_offs":[{"upstream":"1","at_ms":1e99,"resent":true}]})",
        R"({"break_offs":[{"upstream":"1","at_ms":1}]})"})
    EXPECT_TRUE(decodeBreakOffs({"7", 1, Value}, Now, Wall).empty()) << Value;
}

// A clock may have been ahead when the break-off was written, or be ahead now.
TEST_F(CrashStoreTest, TakesNoBreakOffToBeInTheFuture) {
  TimePoint Now{seconds(100)};
  WallTime Wall{seconds(1'000'000)};
  auto Decoded = [&](const std::string &AtMs) {
    return decodeBreakOffs({"7", 1,
                            R"({"break_offs":[{"upstream":"8","at_ms":)" +
                                AtMs + R"(,"resent":true}]})"},
                           Now, Wall);
  };
  EXPECT_EQ(Decoded("1000002000"), (std::vector<BreakOff>{{7, 8, Now, true}}));
  EXPECT_EQ(Decoded("999998000"),
            (std::vector<BreakOff>{{7, 8, Now - seconds(2), true}}));
  EXPECT_EQ(
      Decoded("-9223372036854775808"),
      (std::vector<BreakOff>{{7, 8, Now - std::chrono::hours(24), true}}));
}

} // namespace
} // namespace samphirehill::serving
