#include "samphirehill/Serving/CrashRecord.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

const TimePoint Start{seconds(100)};

TEST(CrashRecordTest, RefusesAfterDistinctUpstreamsOnly) {
  CrashRecord Record;
  noteOwnBreakOff(Record, {1, 10, Start});
  noteOwnBreakOff(Record, {1, 10, Start + seconds(1)});
  noteOwnBreakOff(Record, {1, 11, Start});
  EXPECT_TRUE(mayRun(Record, 1, Start + seconds(2)));
  noteOwnBreakOff(Record, {1, 12, Start});
  EXPECT_FALSE(mayRun(Record, 1, Start + seconds(2)));
  EXPECT_TRUE(mayRun(Record, 2, Start + seconds(2)));
}

// A caller may retry a crashing request at any entry.
TEST(CrashRecordTest, CountsBreakOffsReportedByOtherEntries) {
  CrashRecord Record;
  for (std::uint64_t Upstream : {10, 11, 12})
    noteBreakOff(Record, {1, Upstream, Start});
  EXPECT_FALSE(mayRun(Record, 1, Start));
  EXPECT_TRUE(Record.Recent.empty());
}

TEST(CrashRecordTest, ExpiresBreakOffsAfterRetention) {
  CrashRecord Record;
  for (std::uint64_t Upstream : {10, 11, 12})
    noteOwnBreakOff(Record, {1, Upstream, Start});
  EXPECT_TRUE(mayRun(Record, 1, Start + Record.Retention + seconds(1)));
  expire(Record, seconds(2), Start + Record.Retention + seconds(1));
  EXPECT_TRUE(Record.BreakOffs.empty());
  EXPECT_TRUE(Record.Recent.empty());
}

// Guards against a request that comes seldom and crashes more upstreams than
// allowed (BUDGET), as it was refused until its first crash was old only.
TEST(CrashRecordTest, RefusesForRetentionAfterTheLastBreakOff) {
  CrashRecord Record;
  TimePoint Last = Start + Record.Retention - seconds(1);
  noteOwnBreakOff(Record, {1, 10, Start});
  noteOwnBreakOff(Record, {1, 11, Last - seconds(1)});
  noteOwnBreakOff(Record, {1, 12, Last});
  EXPECT_FALSE(mayRun(Record, 1, Last + Record.Retention - seconds(1)));
  EXPECT_TRUE(mayRun(Record, 1, Last + Record.Retention));
}

TEST(CrashRecordTest, CountsBreakOffsWithinRetentionOfEachOtherOnly) {
  CrashRecord Record;
  noteOwnBreakOff(Record, {1, 10, Start});
  noteOwnBreakOff(Record, {1, 11, Start + seconds(30)});
  TimePoint Last = Start + Record.Retention;
  noteOwnBreakOff(Record, {1, 12, Last});
  EXPECT_TRUE(mayRun(Record, 1, Last));
}

// Guards against requests that crash engines and are forgotten because many
// others have ended without an answer.
TEST(CrashRecordTest, MakesRoomForNewRequestsAndKeepsRefusedOnes) {
  CrashRecord Record;
  Record.MaxRequests = 3;
  for (std::uint64_t Upstream : {10, 11, 12})
    noteBreakOff(Record, {1, Upstream, Start});
  for (std::uint64_t Request : {2, 3, 4, 5})
    noteBreakOff(Record,
                 {Request, 10, Start + seconds(static_cast<int>(Request))});
  EXPECT_FALSE(mayRun(Record, 1, Start));
  EXPECT_EQ(Record.BreakOffs.size(), 3U);
  EXPECT_TRUE(Record.BreakOffs.contains(5));
  EXPECT_FALSE(Record.BreakOffs.contains(2));
  EXPECT_EQ(Record.Dropped, 2U);
}

TEST(CrashRecordTest, ReportsRefusedRequestsOnlyAndNoneTwice) {
  CrashRecord Record;
  for (std::uint64_t Upstream : {10, 11, 12})
    noteBreakOff(Record, {1, Upstream, Start});
  noteBreakOff(Record, {2, 10, Start});
  std::vector<BreakOff> Report = refusedBreakOffs(Record, Start + seconds(50));
  EXPECT_EQ(Report, (std::vector<BreakOff>{
                        {1, 10, Start}, {1, 11, Start}, {1, 12, Start}}));
  std::vector<BreakOff> Sum{{1, 11, Start}};
  addBreakOffs(Sum, Report);
  EXPECT_EQ(Sum.size(), 3U);
  EXPECT_TRUE(refusedBreakOffs(Record, Start + Record.Retention).empty());
}

TEST(CrashRecordTest, FingerprintDiffersByPathKeyAndBody) {
  std::uint64_t Fingerprint = requestFingerprint("/a", "key", "body");
  EXPECT_EQ(Fingerprint, requestFingerprint("/a", "key", "body"));
  EXPECT_NE(Fingerprint, requestFingerprint("/a", "key2", "body"));
  EXPECT_NE(Fingerprint, requestFingerprint("/b", "key", "body"));
  EXPECT_NE(Fingerprint, requestFingerprint("/a", "key", "body2"));
}

} // namespace
} // namespace samphirehill::serving
