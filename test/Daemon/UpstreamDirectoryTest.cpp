#include "samphirehill/Daemon/UpstreamDirectory.h"

#include <gmock/gmock.h>

namespace samphirehill {
namespace {

using testing::IsEmpty;
using testing::UnorderedElementsAre;

constexpr TimePoint Start{seconds(1000)};
constexpr Duration Valid = milliseconds(1500);
const ServiceId Notes("notes");
const UpstreamId A("a");
const UpstreamId B("b");

UpstreamStatus statusOf(const UpstreamId &Name, const std::string &Zone = "z",
                        const std::string &Boot = "1") {
  UpstreamStatus Status;
  Status.Info.Id = Name;
  Status.Info.Zone = ZoneId(Zone);
  Status.Info.Service = Notes;
  Status.Info.Version = "3";
  Status.Info.Boot = BootId(Boot);
  Status.Info.Slots = 8;
  Status.Address = "127.0.0.1:1";
  Status.Serving = true;
  return Status;
}

struct UpstreamDirectoryTest : testing::Test {
  UpstreamDirectoryTest() {
    Directory.put(statusOf(A), Start, Valid);
    Directory.put(statusOf(B, "y"), Start, Valid);
  }
  UpstreamDirectory Directory;
};

// Guards against an upstream that gets work without a fresh report: its group
// may have lost a member meanwhile.
TEST_F(UpstreamDirectoryTest, StopsWorkWhenReportIsTooOld) {
  EXPECT_FALSE(Directory.expire(Start + Valid - milliseconds(1)));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(A, B));
  Directory.put(statusOf(B, "y"), Start + seconds(1), Valid);
  EXPECT_TRUE(Directory.expire(Start + Valid));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
  Directory.put(statusOf(A), Start + seconds(2), Valid);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(A, B));
}

// Guards against a late report that puts a stopped group back to work.
TEST_F(UpstreamDirectoryTest, IgnoresReportOlderThanTheOneHeld) {
  UpstreamStatus Stopped = statusOf(A);
  Stopped.Serving = false;
  Directory.put(Stopped, Start + milliseconds(10), Valid);
  Directory.put(statusOf(A), Start + milliseconds(5), Valid);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
}

// Guards against new work for a process whose connection broke, and against a
// restarted process that stays excluded.
TEST_F(UpstreamDirectoryTest, ClearsDoubtOnNewBootOnly) {
  Directory.setDoubtful(A, true);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
  Directory.put(statusOf(A), Start + milliseconds(1), Valid);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
  Directory.put(statusOf(A, "z", "2"), Start + milliseconds(2), Valid);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(A, B));
}

// Guards against a late word of a crash that stops the process started since.
TEST_F(UpstreamDirectoryTest, StopsOnlyTheBootThatCrashed) {
  Directory.setCrashed(A, BootId("0"));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(A, B));
  Directory.setCrashed(A, BootId("1"));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
}

// Guards against an upstream that is held off for good, or not at all.
TEST_F(UpstreamDirectoryTest, HoldsOffForTheTimeGiven) {
  Directory.holdOff(A, Start + milliseconds(300));
  Directory.expire(Start + milliseconds(299));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
  Directory.expire(Start + milliseconds(300));
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(A, B));
}

// Guards against new work in a zone that was taken out (I4), also for an
// upstream that is first reported after that.
TEST_F(UpstreamDirectoryTest, PassesOverZoneThatIsOut) {
  Directory.setZoneOut(ZoneId("z"), true);
  Directory.put(statusOf(UpstreamId("c")), Start, Valid);
  EXPECT_THAT(Directory.serving(Notes), UnorderedElementsAre(B));
  UpstreamQuery Query;
  Query.Of = Notes;
  Query.Here = ZoneId("z");
  Query.Version = "3";
  Query.Now = Start;
  EXPECT_EQ(Directory.choose(Query), B);
  Query.Excluded = {B};
  EXPECT_FALSE(Directory.any(Query));
  Directory.setZoneOut(ZoneId("z"), false);
  EXPECT_TRUE(Directory.any(Query));
}

// Guards against new work for an upstream that leaves or was removed (I8).
TEST_F(UpstreamDirectoryTest, GivesNoWorkToLeavingOrRemoved) {
  UpstreamStatus Leaving = statusOf(A);
  Leaving.Leaving = true;
  Directory.put(Leaving, Start + milliseconds(1), Valid);
  Directory.remove(B);
  EXPECT_THAT(Directory.serving(Notes), IsEmpty());
  EXPECT_EQ(Directory.find(B), nullptr);
}

// Guards against two attempts of a hedge or retry at one upstream.
TEST_F(UpstreamDirectoryTest, ChoosesSeveralDistinctUpstreams) {
  UpstreamQuery Query;
  Query.Of = Notes;
  Query.Here = ZoneId("z");
  Query.Version = "3";
  Query.Now = Start;
  EXPECT_THAT(Directory.chooseSeveral(Query, 5), UnorderedElementsAre(A, B));
}

} // namespace
} // namespace samphirehill
