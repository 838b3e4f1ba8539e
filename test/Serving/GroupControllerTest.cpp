#include "samphirehill/Serving/GroupController.h"

#include "Serving/Loopback.h"
#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

// A controller that holds the duty, over two engines: the one that is left of a
// group whose head is no longer listed, and a spare.
class GroupControllerTest : public testing::Test {
protected:
  GroupControllerTest()
      : Timers(Context),
        Peers(
            Context, Timers, KnownEntry{EntryId("edge-1"), ZoneId("north"), {}},
            {}, [] { return EntryReport{}; },
            [] { return std::vector<ListChange>(); },
            [](const EntryReport &) {}) {
    Config.Version = 1;
    Config.Services[PoolService] = poolShape();
    Config.Services[PoolService].Engine->Models = {
        poolShape().Engine->Models[1]};
    add(member("b", "small.7", 7, 1, MemberPhase::Ready));
    Instance Spare = engine("c", "north-d0");
    Spare.Staged = {"small"};
    add(Spare);
  }

  void add(const Instance &Listed) {
    Instances.Instances[Listed.Id] = {Listed, {}, Timers.now()};
  }

  // Runs the duty while the unlisted head's machine answers probes with
  // Failure; returns whether its member was ordered into another group within
  // Limit.
  bool reused(ResultCode Failure, Duration Limit) {
    ObjectStore Store;
    Store.Read = [](const std::string &, const std::string &, auto Done) {
      Done(std::optional<StoredObject>());
    };
    Store.Write = [](const std::string &, const StoredObject &Object,
                     auto Done) { Done(Object); };
    bool Joined = false;
    InstanceCalls Calls;
    Calls.Order = [&](const Instance &, const GroupOrder &Order,
                      const std::function<bool()> &,
                      const std::function<void(Outcome<bool>)> &Done) {
      Joined = Joined || Order.Kind == OrderKind::Join;
      Done(true);
    };
    Calls.Report = [&](const Instance &To,
                       const std::function<void(Outcome<Instance>)> &Done) {
      if (To.Id == InstanceId("a"))
        Done(Error{Failure, "head"});
      else
        Done(To);
    };
    GroupControllerSettings Settings;
    Settings.Entry = "edge-1";
    Settings.Zone = ZoneId("north");
    Settings.PlanPeriod = milliseconds(20);
    Settings.ProbeRepeat = milliseconds(50);
    Settings.UnlistedWait = milliseconds(200);
    GroupController Controller(Timers, Instances, Book, Peers, Metrics, Store,
                               Calls, Settings);
    Controller.unlisted(member("a", "small.7", 7, 0, MemberPhase::Open));
    Controller.peersKnown();
    Controller.start();
    Controller.setConfiguration(std::make_shared<const Configuration>(Config));
    TimePoint End = Timers.now() + Limit;
    runUntil(Context, [&] { return Joined || Timers.now() > End; });
    return Joined;
  }

  asio::io_context Context;
  TimerService Timers;
  Fleet Instances;
  UpstreamBook Book;
  PeerGossip Peers;
  ServingMetrics Metrics;
  Configuration Config;
};

TEST_F(GroupControllerTest, ReusesMembersOfAHeadThatIsSilentToAll) {
  EXPECT_TRUE(reused(ResultCode::Timeout, seconds(4)));
}

TEST_F(GroupControllerTest, ReusesMembersOfAHeadWhoseAddressHasAnotherLife) {
  EXPECT_TRUE(reused(ResultCode::NotFound, seconds(4)));
}

// Seen on the bench: a head that leaves stops listening and finishes its work.
TEST_F(GroupControllerTest, LeavesMembersOfAHeadThatRefusesConnections) {
  EXPECT_FALSE(reused(ResultCode::ConnectFailed, seconds(2)));
}

} // namespace
} // namespace samphirehill::serving
