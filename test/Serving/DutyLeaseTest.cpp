#include "samphirehill/Serving/DutyLease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(1'000)};

DutyLease lease(const std::string &Self) {
  DutyLease Lease;
  Lease.Self = Self;
  return Lease;
}

// A store of one object with conditional writes, which can be restored from a
// copy.
struct OneObject {
  std::int64_t Revision = 0;
  std::string Value;
  std::int64_t Era = 0;

  std::optional<StoredObject> read() const {
    if (Revision == 0)
      return std::nullopt;
    return StoredObject{"groups", Revision, Value};
  }

  Outcome<StoredObject> write(const StoredObject &Object) {
    if (Object.Revision != Revision)
      return Error{ResultCode::Conflict, "revision"};
    ++Revision;
    Value = Object.Value;
    return StoredObject{"groups", Revision, Value};
  }
};

// Executes Lease's next call at Now.
void step(DutyLease &Lease, OneObject &Store, TimePoint Now) {
  DutyStep Next = nextDutyStep(Lease, Now);
  if (Next.Call == DutyCall::None)
    return;
  Outcome<StoredObject> Written = StoredObject();
  if (Next.Call == DutyCall::Write)
    Written = Store.write(Next.Object);
  noteStoreEra(Lease, Store.Era, Now);
  if (Next.Call == DutyCall::Read)
    handleDutyRead(Lease, Store.read(), Now);
  if (Next.Call == DutyCall::Write)
    handleDutyWrite(Lease, Written, Now, Now);
}

// Restores Store from the copy Copy.
void restore(OneObject &Store, OneObject Copy) {
  Copy.Era = Store.Era + 1;
  Store = std::move(Copy);
}

TEST(DutyLeaseTest, TakesAFreeDutyAtOnce) {
  OneObject Store;
  DutyLease Lease = lease("a");
  step(Lease, Store, Start);
  step(Lease, Store, Start + milliseconds(200));
  EXPECT_TRUE(holdsDuty(Lease, Start + milliseconds(200)));
  EXPECT_EQ(Lease.Record.Term, 1);
}

TEST(DutyLeaseTest, TakesOverWithAHigherTermAfterTheLeaseEnded) {
  OneObject Store;
  DutyLease First = lease("a");
  step(First, Store, Start);
  step(First, Store, Start + milliseconds(200));
  DutyLease Second = lease("b");
  TimePoint Now = Start + milliseconds(300);
  while (!holdsDuty(Second, Now) && Now < Start + seconds(10)) {
    step(Second, Store, Now);
    EXPECT_FALSE(holdsDuty(First, Now) && holdsDuty(Second, Now));
    Now += milliseconds(100);
  }
  EXPECT_TRUE(holdsDuty(Second, Now));
  EXPECT_EQ(Second.Record.Term, 2);
  EXPECT_LT(Now - Start, seconds(5));
}

TEST(DutyLeaseTest, DoesNotTakeOverWhileHolderReports) {
  OneObject Store;
  Store.write({"groups", 0, encodeDuty({"a", 4, 9})});
  DutyLease Lease = lease("b");
  TimePoint Now = Start;
  for (int Tick = 0; Tick < 100; ++Tick, Now += milliseconds(100)) {
    noteHolderReport(Lease, 4, 9 + Tick / 10, Now);
    step(Lease, Store, Now);
  }
  EXPECT_EQ(Store.Revision, 1);
  EXPECT_FALSE(holdsDuty(Lease, Now));
}

TEST(DutyLeaseTest, LetsNextEntryTakeReleasedDutyAtOnce) {
  OneObject Store;
  DutyLease Lease = lease("a");
  step(Lease, Store, Start);
  step(Lease, Store, Start + milliseconds(200));
  std::optional<StoredObject> Free =
      releaseDuty(Lease, Start + milliseconds(300));
  ASSERT_TRUE(Free);
  Store.write(*Free);
  EXPECT_FALSE(holdsDuty(Lease, Start + milliseconds(300)));
  DutyLease Next = lease("b");
  step(Next, Store, Start + milliseconds(400));
  step(Next, Store, Start + milliseconds(600));
  EXPECT_TRUE(holdsDuty(Next, Start + milliseconds(600)));
}

// Guards against two holders that give orders with the same fencing tokens: the
// record of the first is lost when the store is restored.
TEST(DutyLeaseTest, GivesNoTermTwiceWhenTheStoreIsRestored) {
  OneObject Store{0, {}, 1};
  OneObject Copy = Store; // without a record
  DutyLease First = lease("a");
  First.Settings.FirstStart = true;
  step(First, Store, Start);
  step(First, Store, Start + milliseconds(200));
  std::int64_t Lost = First.Record.Term;
  ASSERT_TRUE(holdsDuty(First, Start + milliseconds(200)));
  restore(Store, Copy);
  DutyLease Second = lease("b");
  TimePoint Now = Start + milliseconds(300);
  while (!holdsDuty(Second, Now) && Now < Start + seconds(10)) {
    step(Second, Store, Now);
    EXPECT_FALSE(holdsDuty(First, Now) && holdsDuty(Second, Now));
    Now += milliseconds(100);
  }
  EXPECT_TRUE(holdsDuty(Second, Now));
  EXPECT_GT(Second.Record.Term, Lost);
}

TEST(DutyLeaseTest, GoesOnAsHolderWithAHigherTermWhenTheStoreIsRestored) {
  OneObject Store{0, {}, 1};
  DutyLease Lease = lease("a");
  Lease.Settings.FirstStart = true;
  step(Lease, Store, Start);
  OneObject Copy = Store;
  step(Lease, Store, Start + milliseconds(200));
  std::int64_t Before = Lease.Record.Term;
  restore(Store, Copy);
  noteStoreEra(Lease, Store.Era, Start + milliseconds(400));
  EXPECT_FALSE(holdsDuty(Lease, Start + milliseconds(400)));
  step(Lease, Store, Start + milliseconds(400));
  step(Lease, Store, Start + milliseconds(600));
  EXPECT_TRUE(holdsDuty(Lease, Start + milliseconds(600)));
  EXPECT_GT(Lease.Record.Term, Before);
}

// The store was away before it was restored, so the outcome of the last renewal
// is unknown.
TEST(DutyLeaseTest, GoesOnAsHolderAfterARenewalWithoutAnswer) {
  OneObject Store{0, {}, 1};
  DutyLease Lease = lease("a");
  Lease.Settings.FirstStart = true;
  step(Lease, Store, Start);
  OneObject Copy = Store;
  step(Lease, Store, Start + milliseconds(200));
  TimePoint Now = Start + milliseconds(1'300);
  ASSERT_EQ(nextDutyStep(Lease, Now).Call, DutyCall::Write);
  handleDutyWrite(Lease, Error{ResultCode::UnknownWriteOutcome, "lost"}, Now,
                  Now);
  restore(Store, Copy);
  noteStoreEra(Lease, Store.Era, Now + milliseconds(100));
  step(Lease, Store, Now + milliseconds(100));
  step(Lease, Store, Now + milliseconds(300));
  EXPECT_TRUE(holdsDuty(Lease, Now + milliseconds(300)));
}

// Nobody else can have taken the duty before the store was restored, although
// this entry has stopped acting as the holder.
TEST(DutyLeaseTest, TakesTheDutyAtOnceThatLapsedWhileTheStoreWasAway) {
  OneObject Store{0, {}, 1};
  DutyLease Lease = lease("a");
  Lease.Settings.FirstStart = true;
  step(Lease, Store, Start);
  OneObject Copy = Store;
  step(Lease, Store, Start + milliseconds(200));
  restore(Store, Copy);
  TimePoint Now = Start + milliseconds(3'000);
  ASSERT_FALSE(holdsDuty(Lease, Now));
  noteStoreEra(Lease, Store.Era, Now);
  step(Lease, Store, Now);
  step(Lease, Store, Now + milliseconds(200));
  EXPECT_TRUE(holdsDuty(Lease, Now + milliseconds(200)));
}

TEST(DutyLeaseTest, LeavesTheDutyToAnEntryThatTookItInThePresentEra) {
  OneObject Store{0, {}, 1};
  DutyLease Lease = lease("a");
  Lease.Settings.FirstStart = true;
  step(Lease, Store, Start);
  OneObject Copy = Store;
  step(Lease, Store, Start + milliseconds(200));
  restore(Store, Copy);
  Store.write({"groups", 0, encodeDuty({"b", 2'001, 0, 2})});
  TimePoint Now = Start + milliseconds(1'000);
  noteStoreEra(Lease, Store.Era, Now);
  for (int Tick = 0; Tick < 20; ++Tick, Now += milliseconds(100))
    step(Lease, Store, Now);
  EXPECT_EQ(Store.Revision, 1);
}

// A record that comes back with the copy doesn't make its owner the holder.
TEST(DutyLeaseTest, WaitsForTheLeaseBeforeItTakesAnOldRecordForItsOwn) {
  OneObject Store{0, {}, 1};
  DutyLease Lease = lease("a");
  Lease.Settings.FirstStart = true;
  step(Lease, Store, Start);
  step(Lease, Store, Start + milliseconds(200));
  OneObject Copy = Store;
  TimePoint Now =
      Start + seconds(10); // suspended; another entry holds the duty
  Store.write({"groups", Store.Revision, encodeDuty({"b", 1'002, 3, 1})});
  restore(Store, Copy);
  TimePoint Noted = Now;
  while (!holdsDuty(Lease, Now) && Now < Start + seconds(30)) {
    step(Lease, Store, Now);
    Now += milliseconds(100);
  }
  EXPECT_GE(Now - Noted, Lease.Settings.Length);
  EXPECT_GT(Lease.Record.Term, 1'002);
}

TEST(DutyLeaseTest, ReadsRecordsOfEarlierReleases) {
  EXPECT_EQ(decodeDuty(R"({"owner":"a","term":3,"renewal":5})"),
            (DutyRecord{"a", 3, 5, 0}));
}

TEST(DutyLeaseTest, ReadsUnreadableValueAsFree) {
  EXPECT_FALSE(decodeDuty("{}"));
  EXPECT_FALSE(decodeDuty("not json"));
  for (const char *Invalid : {"-1", "9223372036854775807", "1e999", "1.5"}) {
    std::string Term(Invalid);
    EXPECT_FALSE(decodeDuty(R"({"owner":"a","renewal":1,"term":)" + Term + "}"))
        << Invalid;
    EXPECT_FALSE(decodeDuty(R"({"owner":"a","term":1,"renewal":)" + Term + "}"))
        << Invalid;
  }
  EXPECT_FALSE(decodeDuty(R"({"owner":"a","term":1,"renewal":1,"era":"x"})"));
  EXPECT_EQ(decodeDuty(encodeDuty({"a", 3, 5, 2})), (DutyRecord{"a", 3, 5, 2}));
}

// Entries pause, and lose answers or the connection to the store; writes
// without an answer may take effect; the store may be restored from a copy that
// is some seconds old. Still no two entries hold the duty at the same time, and
// terms never decrease and are never given to two entries.
RC_GTEST_PROP(DutyLeaseTest, HasAtMostOneHolderInAnyHistory, ()) {
  OneObject Store;
  bool NamesEra = *rc::gen::inRange(0, 3) > 0;
  Store.Era = NamesEra ? 1 : 0;
  std::vector<OneObject> Copies{Store};
  std::map<std::int64_t, std::string> OwnerByTerm;
  std::vector<DutyLease> Leases{lease("a"), lease("b"), lease("c")};
  TimePoint Now = Start;
  std::int64_t HighestTerm = 0;
  for (int Tick = 0; Tick < 300; ++Tick) {
    Now += milliseconds(*rc::gen::inRange(10, 400));
    if (NamesEra && *rc::gen::inRange(0, 25) == 0) {
      std::size_t Lost = *rc::gen::inRange<std::size_t>(0, 6);
      Copies.resize(Copies.size() - std::min(Lost, Copies.size() - 1));
      restore(Store, Copies.back());
    }
    DutyLease &Lease = Leases[*rc::gen::inRange<std::size_t>(0, Leases.size())];
    DutyStep Next = nextDutyStep(Lease, Now);
    int Fault = *rc::gen::inRange(0, 10);
    TimePoint Begun = Now;
    if (Next.Call == DutyCall::Read) {
      if (Fault < 2) {
        handleDutyRead(Lease, Error{ResultCode::Timeout, "lost"}, Now);
      } else {
        noteStoreEra(Lease, Store.Era, Now);
        handleDutyRead(Lease, Store.read(), Now);
      }
    }
    if (Next.Call == DutyCall::Write) {
      if (Fault == 0) {
        handleDutyWrite(Lease, Error{ResultCode::PlatformUnavailable, "down"},
                        Begun, Now);
      } else {
        Outcome<StoredObject> Written = Store.write(Next.Object);
        if (!errorOf(Written))
          Copies.push_back(Store);
        Now += milliseconds(*rc::gen::inRange(0, 2'000)); // a late answer
        if (Fault == 1)
          Written = Error{ResultCode::UnknownWriteOutcome, "lost"};
        else
          noteStoreEra(Lease, Store.Era, Now);
        handleDutyWrite(Lease, Written, Begun, Now);
      }
    }
    int Holders = 0;
    for (const DutyLease &Each : Leases) {
      if (!holdsDuty(Each, Now))
        continue;
      ++Holders;
      RC_ASSERT(Each.Record.Term >= HighestTerm);
      HighestTerm = Each.Record.Term;
      auto Given = OwnerByTerm.try_emplace(Each.Record.Term, Each.Self).first;
      RC_ASSERT(Given->second == Each.Self);
    }
    RC_ASSERT(Holders <= 1);
  }
}

} // namespace
} // namespace samphirehill::serving
