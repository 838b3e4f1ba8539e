#include "samphirehill/Serving/PeerGossip.h"

#include "Serving/Loopback.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace samphirehill::serving {
namespace {

// Two entries on loopback sockets. Only the first gets the address of the other
// from the store; the second learns the first's address from its datagrams.
TEST(PeerGossipTest, ExchangesReportsWhenOnlyOneEntryKnowsOther) {
  asio::io_context Context;
  TimerService Timers(Context);
  PeerSettings Settings;
  Settings.Period = milliseconds(10);
  std::map<std::string, int> Reports;
  auto MakeGossip = [&](const std::string &Name) {
    return std::make_unique<PeerGossip>(
        Context, Timers, EntryDescription{EntryId(Name), ZoneId(Name), {}},
        Settings,
        [Name] {
          EntryReport Report;
          Report.Entry = EntryId(Name);
          Report.Life = 1;
          Report.Zone = ZoneId(Name);
          Report.Loads[{InstanceId("i-1"), 1}] = {2, 100};
          return Report;
        },
        [] { return std::vector<ListChange>(); },
        [&Reports](const EntryReport &Report) {
          ++Reports[Report.Entry.str()];
        });
  };
  auto First = MakeGossip("a");
  auto Second = MakeGossip("b");
  SocketAddress FirstAt{"127.0.0.1", freePort()};
  SocketAddress SecondAt{"127.0.0.1", freePort()};
  ASSERT_TRUE(First->listen(FirstAt));
  ASSERT_TRUE(Second->listen(SecondAt));
  First->addPeer({EntryId("b"), ZoneId("b"), SecondAt});
  TimePoint Deadline = Timers.now() + seconds(5);
  while ((Reports["a"] < 2 || Reports["b"] < 2) && Timers.now() < Deadline)
    Context.run_one_for(std::chrono::milliseconds(20));
  EXPECT_GE(Reports["a"], 2);
  EXPECT_GE(Reports["b"], 2);
  UpstreamKey Key{InstanceId("i-1"), 1};
  EXPECT_EQ(Second->loadOfOtherEntries().at(Key), (UpstreamLoad{2, 100}));
  EXPECT_TRUE(Second->zoneContactSince(ZoneId("a")));
  EXPECT_FALSE(Second->zoneContactSince(ZoneId("elsewhere")));
}

} // namespace
} // namespace samphirehill::serving
