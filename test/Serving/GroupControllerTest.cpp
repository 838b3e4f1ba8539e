#include "samphirehill/Serving/GroupController.h"

#include "Serving/Loopback.h"
#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <asio/ip/udp.hpp>
#include <optional>

namespace samphirehill::serving {
namespace {

// A controller that holds the duty for two engines: the remaining member of a
// group whose head is no longer listed, and a spare.
class GroupControllerTest : public testing::Test {
protected:
  GroupControllerTest()
      : Timers(Context),
        Peers(
            Context, Timers,
            EntryDescription{EntryId("edge-1"), ZoneId("north"), {}}, {},
            [] { return EntryReport{}; },
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
    Settings.Entry = "edge-1";
    Settings.Zone = ZoneId("north");
    Settings.PlanPeriod = milliseconds(20);
    Settings.ProbeInterval = milliseconds(50);
    Settings.UnlistedWait = milliseconds(200);
    Settings.ReturnWait = milliseconds(300);
  }

  void add(const Instance &Listed) {
    Instances.Instances[Listed.Id] = {Listed, {}, Timers.now()};
  }

  static void unlist(GroupController &Controller, const Instance &Last) {
    Controller.noteUnlisted(Last, TimePoint{});
  }

  // Returns the state that the instance To reports when probed.
  using Report = std::function<Outcome<Instance>(const Instance &To)>;

  // Calls Begin, then runs the controller for Limit, or until it has sent an
  // order of kind Last. Instances answer probes with Answer. Each order is
  // accepted and appended to Orders.
  void runController(const Report &Answer, Duration Limit, OrderKind Last,
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
      Orders.push_back(Order);
      if (OnOrder)
        OnOrder(Order);
      Done(true);
    };
    Calls.Report = [&](const Instance &To,
                       const std::function<void(Outcome<Instance>)> &Done) {
      Done(Answer(To));
    };
    GroupController Controller(Timers, Instances, Book, Peers, Metrics, Store,
                               Calls, Settings);
    Begin(Controller);
    Controller.setPeersKnown();
    Controller.start();
    Controller.setConfiguration(std::make_shared<const Configuration>(Config));
    TimePoint End = Timers.now() + Limit;
    runUntil(Context, [&] { return wasOrdered(Last) || Timers.now() > End; });
    if (OnEnd)
      OnEnd(Controller);
  }

  // Adds the entry edge-2, which sends a report with the content of State every
  // 50 ms.
  void addPeer(const EntryReport &State) {
    SocketAddress Own{"127.0.0.1", freePort()};
    auto Listening = capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(Peers.listen(Own));
      return true;
    });
    ASSERT_FALSE(errorOf(Listening));
    PeerSocket.emplace(Context, asio::ip::udp::endpoint(
                                    asio::ip::make_address("127.0.0.1"), 0));
    PeerTimer =
        Timers.every(milliseconds(50), [this, State = State, Own]() mutable {
          State.Entry = EntryId("edge-2");
          State.Zone = ZoneId("north");
          State.Life = 1;
          ++State.Sequence;
          PeerSocket->send_to(
              asio::buffer(encodeMessage({State, {}}, Timers.now())),
              {asio::ip::make_address("127.0.0.1"), Own.Port});
        });
    ASSERT_TRUE(runUntil(
        Context, [this] { return Peers.peers().contains(EntryId("edge-2")); }));
  }

  bool wasOrdered(OrderKind Kind) const {
    return std::any_of(
        Orders.begin(), Orders.end(),
        [Kind](const GroupOrder &Order) { return Order.Kind == Kind; });
  }

  // Runs the controller while probes of the unlisted Head fail with Failure.
  // Returns whether the head's member was ordered into another group within
  // Limit.
  bool memberReassigned(ResultCode Failure, Duration Limit,
                        const Instance &Head = member("a", "small.7", 7, 0,
                                                      MemberPhase::Open)) {
    OnOrder = [this](const GroupOrder &Order) {
      auto Found = Instances.Instances.find(Order.To);
      if (Order.Kind != OrderKind::Leave || Found == Instances.Instances.end())
        return;
      Instance Left = Found->second.Listed;
      Left.Group.reset();
      add(Left);
    };
    runController(
        [&](const Instance &To) -> Outcome<Instance> {
          if (To.Id == InstanceId("a"))
            return Error{Failure, "head"};
          return To;
        },
        Limit, OrderKind::Join,
        [&](GroupController &Controller) { unlist(Controller, Head); });
    return wasOrdered(OrderKind::Join);
  }

  asio::io_context Context;
  TimerService Timers;
  Fleet Instances;
  UpstreamBook Book;
  PeerGossip Peers;
  ServingMetrics Metrics;
  Configuration Config;
  std::vector<GroupOrder> Orders;
  std::function<void(const GroupOrder &)> OnOrder;
  std::function<void(GroupController &)> OnEnd; // after the run
  GroupControllerSettings Settings;
  std::optional<asio::ip::udp::socket> PeerSocket;
  TimerSubscription PeerTimer;
};

TEST_F(GroupControllerTest, ReassignsMembersWhenNoEntryReachesHead) {
  EXPECT_TRUE(memberReassigned(ResultCode::Timeout, seconds(4)));
}

// Guards against a member that joins another group while its head serves an
// entry that has lost the store and so doesn't know that the head has left the
// list (TWO).
TEST_F(GroupControllerTest, KeepsMembersWhileAnEntryUsesTheHead) {
  EntryReport UsesHead;
  UsesHead.Loads[{InstanceId("a"), 7}] = {6, 0, 0, 1};
  addPeer(UsesHead);
  EXPECT_FALSE(memberReassigned(ResultCode::Timeout, milliseconds(1'500)));
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
}

// An entry that has no request at the head may send one at any time.
TEST_F(GroupControllerTest, KeepsMembersWhileAnEntryHasNotDeniedTheHead) {
  addPeer({});
  EXPECT_FALSE(memberReassigned(ResultCode::Timeout, milliseconds(1'500)));
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
}

TEST_F(GroupControllerTest, ReassignsMembersWhenAllEntriesDenyTheHead) {
  EntryReport Denies;
  Denies.Denials[InstanceId("a")] = 1;
  addPeer(Denies);
  OnEnd = [](GroupController &Controller) {
    EXPECT_TRUE(Controller.unreachedHeads().contains(InstanceId("a")));
  };
  EXPECT_TRUE(memberReassigned(ResultCode::Timeout, seconds(4)));
}

// An entry answers for the instances that the duty's holder asks about, also
// for those that its own list still contains.
TEST_F(GroupControllerTest, TellsWhetherItReachesInstancesAskedAbout) {
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  EntryReport Asks;
  for (const char *Each : {"a", "b", "unknown"})
    Asks.Asked.insert(InstanceId(Each));
  OnEnd = [](GroupController &Controller) {
    EXPECT_EQ(Controller.reachedInstances(),
              std::set<InstanceId>{InstanceId("a")});
    EXPECT_EQ(Controller.denials(),
              (std::map<InstanceId, int>{{InstanceId("b"), 1},
                                         {InstanceId("unknown"), 1}}));
  };
  runController(
      [](const Instance &To) -> Outcome<Instance> {
        if (To.Id == InstanceId("b"))
          return Error{ResultCode::Timeout, "member"};
        return To;
      },
      milliseconds(300), OrderKind::Stage,
      [&](GroupController &Controller) { Controller.noteReport(Asks); });
}

TEST_F(GroupControllerTest, ReassignsMembersWhenHeadHasRestarted) {
  EXPECT_TRUE(memberReassigned(ResultCode::NotFound, seconds(4)));
}

// Seen on the bench: a head that leaves stops listening before it has finished
// its requests. It has announced that it leaves in its entry, or in an answer.
TEST_F(GroupControllerTest, DoesNotReassignMembersWhileHeadRefusesConnections) {
  Instance Head = member("a", "small.7", 7, 0, MemberPhase::Open);
  Head.Draining = true;
  EXPECT_FALSE(memberReassigned(ResultCode::ConnectFailed, seconds(2), Head));
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
}

TEST_F(GroupControllerTest,
       DoesNotReassignMembersWhileHeadFinishesItsRequests) {
  Instance Head = member("a", "small.7", 7, 0, MemberPhase::Open);
  noteLeaving(Book.Notices, {Head.Id, Head.BornMilliseconds},
              Timers.nowWithSuspension());
  EXPECT_FALSE(memberReassigned(ResultCode::ConnectFailed, seconds(2), Head));
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
}

// Guards against members of a head that crashed, which stayed idle for as long
// as one that leaves may take to finish its requests.
TEST_F(GroupControllerTest, ReassignsMembersWhenHeadEndedUnannounced) {
  EXPECT_TRUE(memberReassigned(ResultCode::ConnectFailed, seconds(4)));
}

// Incident SHORT: engines that had lost only their connection to the platform
// lost their entries in the list, and their groups were ended although they
// served.
TEST_F(GroupControllerTest, KeepsGroupWhenMemberLosesOnlyThePlatform) {
  Instances.Instances.clear();
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  runController([](const Instance &To) { return To; }, milliseconds(250),
                OrderKind::Leave,
                [](GroupController &Controller) {
                  unlist(Controller,
                         member("b", "small.7", 7, 1, MemberPhase::Ready));
                });
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
  EXPECT_FALSE(wasOrdered(OrderKind::Close));
}

TEST_F(GroupControllerTest, ClosesGroupWhenUnlistedMemberDoesNotReturn) {
  Instances.Instances.clear();
  add(member("a", "small.7", 7, 0, MemberPhase::Open));
  runController(
      [](const Instance &To) { return To; }, seconds(4), OrderKind::Close,
      [](GroupController &Controller) {
        unlist(Controller, member("b", "small.7", 7, 1, MemberPhase::Ready));
      });
  EXPECT_TRUE(wasOrdered(OrderKind::Close));
  EXPECT_FALSE(wasOrdered(OrderKind::Leave));
}

// Incident SHORT: the report of a head that had left its group still showed it
// in the group for 200 ms, and that report counted as confirmed for a second.
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
  auto Answer = [&](const Instance &To) -> Outcome<Instance> {
    if (To.Id == InstanceId("b"))
      return Error{ResultCode::Timeout, "member"};
    bool Old =
        LeftAt == TimePoint{} || Timers.now() < LeftAt + milliseconds(200);
    return To.Id == Head.Id && Old ? Head : To;
  };
  Upstream StalledGroup;
  StalledGroup.Key = {Head.Id, 7};
  updateUpstreams(Book, {StalledGroup});
  avoidUpstream(Book, StalledGroup.Key, AvoidReason::Stalled,
                Timers.now() + seconds(30));
  runController(Answer, seconds(4), OrderKind::Join, [](GroupController &) {});
  ASSERT_TRUE(wasOrdered(OrderKind::Join));
  EXPECT_LT(toMilliseconds(Timers.now() - LeftAt), 700);
}

// Three engines that carry out orders. The list shows their states, but for one
// of them once that engine is cut off from the platform.
class GroupControllerCutTest : public GroupControllerTest {
protected:
  GroupControllerCutTest() {
    Instances.Instances.clear();
    for (const char *Id : {"a", "b", "c"}) {
      Instance Free = engine(Id, "north-d0");
      Free.Staged = {"small"};
      State[Free.Id] = Free;
      add(Free);
    }
    OnOrder = [this](const GroupOrder &Order) { carryOut(Order); };
  }

  void carryOut(const GroupOrder &Order) {
    Instance &To = State.at(Order.To);
    if (Order.Kind == OrderKind::Join) {
      JoinsWhileHeadServes += servesWith(Order.To, Order.Group);
      auto Rank = std::find(Order.Members.begin(), Order.Members.end(), To.Id) -
                  Order.Members.begin();
      To.Group = Membership{Order.Group, Order.Epoch, static_cast<int>(Rank),
                            MemberPhase::Ready};
      Members[Order.Group] = Order.Members;
    }
    bool Own = To.Group && To.Group->Epoch == Order.Epoch;
    if (Order.Kind == OrderKind::Open && Own)
      To.Group->Phase = MemberPhase::Open;
    if (Order.Kind == OrderKind::Close && Own)
      To.Group->Phase = MemberPhase::Ready;
    if (Order.Kind == OrderKind::Leave && Own)
      To.Group.reset();
    if (OnCarriedOut)
      OnCarriedOut(To);
    if (To.Id != CutOff && Instances.Instances.contains(To.Id))
      add(To);
  }

  // Makes a, which isn't listed, the open head of a group with b.
  void loseHead() {
    Members["small.7"] = {InstanceId("a"), InstanceId("b")};
    State.at(InstanceId("a")) = member("a", "small.7", 7, 0, MemberPhase::Open);
    State.at(InstanceId("b")) =
        member("b", "small.7", 7, 1, MemberPhase::Ready);
    add(State.at(InstanceId("b")));
    Instances.Instances.erase(InstanceId("a"));
  }

  // Runs the controller after loseHead, until it has sent an order of kind
  // Last. Probes of the head fail with Failure.
  void runWithoutHead(ResultCode Failure, OrderKind Last) {
    runController(
        [this, Failure](const Instance &To) -> Outcome<Instance> {
          if (To.Id == InstanceId("a"))
            return Error{Failure, "head"};
          return State.at(To.Id);
        },
        seconds(6), Last,
        [this](GroupController &Controller) {
          unlist(Controller, State.at(InstanceId("a")));
        });
  }

  // Returns whether Id is a member of another group than Group whose head is
  // open.
  bool servesWith(const InstanceId &Id, const std::string &Group) const {
    const std::optional<Membership> &Place = State.at(Id).Group;
    if (!Place || Place->Group == Group)
      return false;
    const std::optional<Membership> &Head =
        State.at(Members.at(Place->Group).front()).Group;
    return Head && Head->Group == Place->Group &&
           Head->Phase == MemberPhase::Open;
  }

  std::map<InstanceId, Instance> State; // by the engines' own reports
  std::map<std::string, std::vector<InstanceId>> Members; // by group
  InstanceId CutOff;
  std::function<void(const Instance &)> OnCarriedOut;
  int JoinsWhileHeadServes = 0;
};

// Guards against a member that joins another group while its head is open
// (TWO): the head's entry named no group when it expired, but the head had
// reported since that it leads one.
TEST_F(GroupControllerCutTest, KeepsMembersOfAHeadWhoseLastEntryNamedNoGroup) {
  GroupController *Running = nullptr;
  TimerSubscription Expiry;
  OnCarriedOut = [&](const Instance &Changed) {
    const Membership &Place = *Changed.Group;
    if (Place.Rank == 0 && Place.Phase == MemberPhase::Ready)
      CutOff = Changed.Id;
    if (Place.Phase == MemberPhase::Open)
      Expiry = Timers.after(milliseconds(100), [&] {
        Instance Last = Instances.Instances.at(CutOff).Listed;
        EXPECT_FALSE(Last.Group);
        Instances.Instances.erase(CutOff);
        Running->noteUnlisted(Last, TimePoint{});
      });
  };
  runController([&](const Instance &To) { return State.at(To.Id); }, seconds(3),
                OrderKind::Leave,
                [&](GroupController &Controller) { Running = &Controller; });
  EXPECT_FALSE(CutOff.str().empty());
  EXPECT_EQ(JoinsWhileHeadServes, 0);
  EXPECT_TRUE(wasOrdered(OrderKind::Close)); // not listed within ReturnWait
}

// Guards against a group that isn't opened before its head reaches the platform
// again, since the head's entry still shows the group that it led before.
TEST_F(GroupControllerCutTest, OpensGroupOfAHeadWhoseEntryNamesItsFormerGroup) {
  for (const char *Id : {"a", "b"}) {
    Instance &Engine = State.at(InstanceId(Id));
    Engine.Group = Membership{"small.1", 1, Id[0] - 'a', MemberPhase::Ready};
    add(Engine);
  }
  Members["small.1"] = {InstanceId("a"), InstanceId("b")};
  State.at(InstanceId("a")).Group->Phase = MemberPhase::Open;
  add(State.at(InstanceId("a")));
  CutOff = InstanceId("a");
  Instances.Instances.erase(InstanceId("b")); // lost
  runController([&](const Instance &To) { return State.at(To.Id); }, seconds(4),
                OrderKind::Open, [](GroupController &) {});
  EXPECT_TRUE(wasOrdered(OrderKind::Open));
  EXPECT_EQ(JoinsWhileHeadServes, 0);
}

// Guards against members of a lost head that stay idle until the next regular
// probe: reports from before the Leave don't show that they have left.
TEST_F(GroupControllerCutTest, AsksMemberThatLeftOnceItsReportShowsThat) {
  Config.Services[PoolService].Engine->ReportLag = milliseconds(200);
  Settings.ProbeInterval = seconds(3);
  loseHead();
  Upstream Stalled;
  Stalled.Key = {InstanceId("a"), 7};
  updateUpstreams(Book, {Stalled});
  avoidUpstream(Book, Stalled.Key, AvoidReason::Stalled,
                Timers.now() + seconds(30)); // so its members are probed
  TimePoint LeftAt{};
  OnCarriedOut = [&](const Instance &Changed) {
    if (LeftAt == TimePoint{} && !Changed.Group)
      LeftAt = Timers.now();
  };
  runWithoutHead(ResultCode::Timeout, OrderKind::Join);
  ASSERT_TRUE(wasOrdered(OrderKind::Join));
  ASSERT_NE(LeftAt, TimePoint{});
  EXPECT_GE(toMilliseconds(Timers.now() - LeftAt), 200);
  EXPECT_LT(toMilliseconds(Timers.now() - LeftAt), 1'000);
}

// What the holder learns when it asks for the state of a head that is open and
// that it can't tell from one that has ended.
class GroupControllerLostHeadTest
    : public GroupControllerCutTest,
      public testing::WithParamInterface<ResultCode> {};

// Guards against a member that joins another group while the head of its group
// is open but can't be reached, or seems to have ended (TWO).
TEST_P(GroupControllerLostHeadTest, MemberLeavesBeforeItJoinsAnotherGroup) {
  loseHead();
  runWithoutHead(GetParam(), OrderKind::Open);
  EXPECT_EQ(State.at(InstanceId("a")).Group->Phase, MemberPhase::Open);
  EXPECT_EQ(JoinsWhileHeadServes, 0);
  EXPECT_TRUE(wasOrdered(OrderKind::Open)); // of the member and the spare
}

INSTANTIATE_TEST_SUITE_P(Failures, GroupControllerLostHeadTest,
                         testing::Values(ResultCode::Timeout,
                                         ResultCode::NotFound,
                                         ResultCode::ConnectFailed));

} // namespace
} // namespace samphirehill::serving
