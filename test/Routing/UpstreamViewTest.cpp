#include "samphirehill/Routing/UpstreamView.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const UpstreamId Up("u");

UpstreamInfo info(const char *Boot = "b1") {
  return UpstreamInfo{
      Up, ZoneId("z"), ServiceId("s"), "v", {"ad"}, BootId(Boot), 8};
}

TimePoint at(std::int64_t Value) { return TimePoint(milliseconds(Value)); }

// Guards against a stale report that hides the entry's own calls sent or ended
// later, and against counting a call twice that the report includes.
TEST(UpstreamTableTest, CorrectsReportByOwnSendsAndEndsSince) {
  UpstreamTable Table;
  Table.putUpstream(info());
  auto Calls = [&](std::int64_t Now) {
    return estimatedCalls(*Table.find(Up), at(Now));
  };
  Table.noteSend(Up, at(1));
  EXPECT_DOUBLE_EQ(Calls(1), 1);
  Table.noteSend(Up, at(3));
  Table.setReport(Up, LoadReport{4, 1, 100, at(2)}); // one own, 4 others
  EXPECT_DOUBLE_EQ(Calls(2), 6);
  Table.setReport(Up, LoadReport{9, 9, 100, at(1)}); // older
  EXPECT_DOUBLE_EQ(Calls(2), 6);
  Table.noteEnd(Up, at(6));
  EXPECT_DOUBLE_EQ(Calls(2), 5);
  Table.setReport(Up, LoadReport{7, 0, 100, at(5)}); // two own, 5 others
  EXPECT_DOUBLE_EQ(Calls(5), 6);
}

// Guards against giving an old report full weight, with which all entries would
// choose the same upstreams.
TEST(UpstreamTableTest, TrustsOldReportLessThanAverage) {
  UpstreamTable Table;
  Table.putUpstream(info());
  UpstreamInfo Other = info();
  Other.Id = UpstreamId("other");
  Table.putUpstream(Other);
  Table.setReport(Other.Id, LoadReport{8, 0, 100, at(0)});
  Table.setReport(Up, LoadReport{0, 0, 100, at(0)});
  const UpstreamView &Idle = *Table.find(Up);
  EXPECT_DOUBLE_EQ(estimatedCalls(Idle, at(0)), 0);
  EXPECT_GT(estimatedCalls(Idle, at(200)), 0);
  EXPECT_GT(estimatedCalls(Idle, at(9'000)), 7);
  EXPECT_LE(estimatedCalls(Idle, at(9'000)), 8);
}

// Guards against using the load and credits of an engine's previous process.
TEST(UpstreamTableTest, ResetsLoadAndCreditsOnNewBoot) {
  UpstreamTable Table;
  Table.putUpstream(info());
  Table.setReport(Up, LoadReport{4, 1, 100, at(2)});
  Table.setCredits(Up, 3);
  Table.putUpstream(info());
  EXPECT_EQ(Table.find(Up)->Credits, 3);
  Table.putUpstream(info("b2"));
  EXPECT_EQ(Table.find(Up)->Credits, 0);
  EXPECT_FALSE(Table.find(Up)->HasReport);
}

// Guards against buckets that keep an upstream which must get no requests, or
// lack one that may get requests again.
TEST(UpstreamTableTest, IndexesOnlyEligibleUpstreams) {
  UpstreamTable Table;
  auto Listed = [&](const char *Adapter) {
    const auto *Bucket = Table.findBucket(ServiceId("s"), "v", Adapter);
    return Bucket ? Bucket->All.size() : 0;
  };
  Table.putUpstream(info());
  EXPECT_EQ(Listed(""), 1u);
  EXPECT_EQ(Listed("ad"), 1u);
  Table.setState(Up, false, true, true);
  EXPECT_EQ(Listed(""), 0u);
  Table.setState(Up, false, false, false);
  EXPECT_EQ(Listed(""), 0u);
  Table.setState(Up, false, false, true);
  EXPECT_EQ(Listed(""), 1u);
  Table.setZoneOut(ZoneId("z"), true);
  EXPECT_EQ(Listed(""), 0u);
  Table.setState(Up, false, false, true);
  EXPECT_EQ(Listed(""), 0u);
  Table.setZoneOut(ZoneId("z"), false);
  EXPECT_EQ(Listed("ad"), 1u);
  UpstreamInfo Moved = info();
  Moved.Adapters.clear();
  Table.putUpstream(Moved);
  EXPECT_EQ(Listed("ad"), 0u);
  EXPECT_EQ(Listed(""), 1u);
  Table.removeUpstream(Up);
  EXPECT_EQ(Listed(""), 0u);
  EXPECT_EQ(Table.find(Up), nullptr);
}

} // namespace
} // namespace samphirehill
