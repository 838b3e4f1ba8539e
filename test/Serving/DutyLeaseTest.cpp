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

// A store of one object with conditional writes.
struct OneObject {
  std::int64_t Revision = 0;
  std::string Value;

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
  if (Next.Call == DutyCall::Read)
    handleDutyRead(Lease, Store.read(), Now);
  if (Next.Call == DutyCall::Write)
    handleDutyWrite(Lease, Store.write(Next.Object), Now, Now);
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
  EXPECT_EQ(decodeDuty(encodeDuty({"a", 3, 5})), (DutyRecord{"a", 3, 5}));
}

// Entries pause, and lose answers or the connection to the store; writes
// without an answer may take effect. Still no two entries hold the duty at the
// same time, and terms never decrease.
RC_GTEST_PROP(DutyLeaseTest, HasAtMostOneHolderInAnyHistory, ()) {
  OneObject Store;
  std::vector<DutyLease> Leases{lease("a"), lease("b"), lease("c")};
  TimePoint Now = Start;
  std::int64_t HighestTerm = 0;
  for (int Tick = 0; Tick < 300; ++Tick) {
    Now += milliseconds(*rc::gen::inRange(10, 400));
    DutyLease &Lease = Leases[*rc::gen::inRange<std::size_t>(0, Leases.size())];
    DutyStep Next = nextDutyStep(Lease, Now);
    int Fault = *rc::gen::inRange(0, 10);
    TimePoint Begun = Now;
    if (Next.Call == DutyCall::Read) {
      if (Fault < 2)
        handleDutyRead(Lease, Error{ResultCode::Timeout, "lost"}, Now);
      else
        handleDutyRead(Lease, Store.read(), Now);
    }
    if (Next.Call == DutyCall::Write) {
      if (Fault == 0) {
        handleDutyWrite(Lease, Error{ResultCode::PlatformUnavailable, "down"},
                        Begun, Now);
      } else {
        Outcome<StoredObject> Written = Store.write(Next.Object);
        Now += milliseconds(*rc::gen::inRange(0, 2'000)); // a late answer
        if (Fault == 1)
          Written = Error{ResultCode::UnknownWriteOutcome, "lost"};
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
    }
    RC_ASSERT(Holders <= 1);
  }
}

} // namespace
} // namespace samphirehill::serving
