#include "samphirehill/Serving/GroupController.h"

#include "Serving/Loopback.h"
#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <algorithm>

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

  // Returns what the asked instance reports of itself.
  using Report = std::function<Outcome<Instance>(const Instance &To)>;

  // Runs the duty after Begin for Limit, or until an order of kind Last was
  // given. Each order is accepted and noted in Given.
  void play(const Report &Tell, Duration Limit, OrderKind Last,
            const std::function<void(GroupController &)> &Begin) {
    ObjectStore Store;
    Store.Read = [](const std::string &, const std::string &, auto Done) {
      Done(std::optional<StoredObject>());
    };
    Store.Write = [](const std::string &, const StoredObject &Object,
                     auto Done) { Done(Object); };
    InstanceCalls Calls;
    Calls.Order = [&](const Instance &, const GroupOrder &Order,
                      const std::function<bool()> &,
                      const std::function<void(Outcome<bool>)> &Done) {
      Given.push_back(Order);
      if (OnOrder)
        OnOrder(Order);
      Done(true);
    };
    Calls.Report = [&](const Instance &To,
                       const std::function<void(Outcome<Instance>)> &Done) {
      Done(Tell(To));
    };
    GroupControllerSettings Settings;
    Settings.Entry = "edge-1";
    Settings.Zone = ZoneId("north");
    Settings.PlanPeriod = milliseconds(20);
    Settings.ProbeInterval = milliseconds(50);
    Settings.UnlistedWait = milliseconds(200);
    Settings.ReturnWait = milliseconds(300);
    GroupController Controller(Timers, Instances, Book, Peers, Metrics, Store,
                               Calls, Settings);
    Begin(Controller);
    Controller.setPeersKnown();
    Controller.start();
    Controller.setConfiguration(std::make_shared<const Configuration>(Config));
    TimePoint End = Timers.now() + Limit;
    runUntil(Context, [&] { return given(Last) || Timers.now() > End; });
  }

  bool given(OrderKind Kind) const {
    return std::any_of(
        Given.begin(), Given.end(),
        [Kind](const GroupOrder &Each) { return Each.Kind == Kind; });
  }

  // Runs the duty while the unlisted head's machine answers probes with
  // Failure; returns whether its member was ordered into another group within
  // Limit.
  bool reused(ResultCode Failure, Duration Limit) {
    play(
        [&](const Instance &To) -> Outcome<Instance> {
          if (To.Id == InstanceId("a"))
            return Error{Failure, "head"};
          return To;
        },
        Limit, OrderKind::Join,
        [](GroupController &Controller) {
          Controller.noteUnlisted(
              member("a", "small.7", 7, 0, MemberPhase::Open));
        });
    return given(OrderKind::Join);
  }

  asio::io_context Context;
  TimerService Timers;
  Fleet Instances;
  UpstreamBook Book;
  PeerGossip Peers;
  ServingMetrics Metrics;
  Configuration Config;
  std::vector<GroupOrder> Given;
  std::function<void(const GroupOrder &)> OnOrder;
};

TEST_F(GroupControllerTest, ReassignsMembersWhenNoEntryReachesHead) {
  EXPECT_TRUE(reused(ResultCode::Timeout, seconds(4)));
}

TEST_F(GroupControllerTest, ReassignsMembersWhenHeadHasRestarted) {
  EXPECT_TRUE(reused(ResultCode::NotFound, seconds(4)));
}

// Seen on the bench: a head that leaves stops listening and finishes its work.
TEST_F(GroupControllerTest, DoesNotReassignMembersWhileHeadRefusesConnections) {
  EXPECT_FALSE(reused(ResultCode::ConnectFailed, seconds(2)));
}

// Incident SHORT: engines that were cut off from the platform only lost their
// entries, and the groups that they served in were ended.
TEST_F(GroupControllerTest, KeepsGroupWhenMemberLosesOnlyThePlatform) {
  Instances.Instances.clear();
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  play([](const Instance &To) { return To; }, milliseconds(250),
       OrderKind::Leave,
       [](GroupController &Controller) {
         Controller.noteUnlisted(
             member("b", "small.7", 7, 1, MemberPhase::Ready));
       });
  EXPECT_FALSE(given(OrderKind::Leave));
  EXPECT_FALSE(given(OrderKind::Close));
}

TEST_F(GroupControllerTest, ClosesGroupWhenUnlistedMemberDoesNotReturn) {
  Instances.Instances.clear();
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  play([](const Instance &To) { return To; }, seconds(4), OrderKind::Close,
       [](GroupController &Controller) {
         Controller.noteUnlisted(
             member("b", "small.7", 7, 1, MemberPhase::Ready));
       });
  EXPECT_TRUE(given(OrderKind::Close));
  EXPECT_FALSE(given(OrderKind::Leave));
}

// Incident SHORT: the report of a head that had left showed it in its group for
// another 200 ms, and was believed for a second.
TEST_F(GroupControllerTest, ReassignsMembersAtOnceWhenHeadAgreesToLeave) {
  Config.Services[PoolService].Engine->ReportLag = milliseconds(200);
  Instance Head = member("a", "small.7", 7, 0, MemberPhase::Open);
  add(Head);
  TimePoint LeftAt{};
  OnOrder = [&](const GroupOrder &Order) {
    if (Order.Kind != OrderKind::Leave || Order.To != Head.Id)
      return;
    LeftAt = Timers.now();
    Instance Left = Head;
    Left.Group.reset();
    add(Left);
  };
  auto Tell = [&](const Instance &To) -> Outcome<Instance> {
    if (To.Id == InstanceId("b"))
      return Error{ResultCode::Timeout, "member"};
    bool Old =
        LeftAt == TimePoint{} || Timers.now() < LeftAt + milliseconds(200);
    return To.Id == Head.Id && Old ? Head : To;
  };
  Upstream Known;
  Known.Key = {Head.Id, 7};
  updateUpstreams(Book, {Known});
  avoidUpstream(Book, Known.Key, AvoidReason::Stalled,
                Timers.now() + seconds(30));
  play(Tell, seconds(4), OrderKind::Join, [](GroupController &) {});
  ASSERT_TRUE(given(OrderKind::Join));
  EXPECT_LT(toMilliseconds(Timers.now() - LeftAt), 700);
}

} // namespace
} // namespace samphirehill::serving
