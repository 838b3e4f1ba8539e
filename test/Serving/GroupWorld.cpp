#include "Serving/GroupWorld.h"
#include "Serving/TestFleet.h"

#include <algorithm>
#include <utility>

namespace samphirehill::serving {
namespace {

// The list drops an engine after three missed heartbeats.
constexpr Duration ListedAfterFailure = milliseconds(3'600);
// A probe detects a failed engine after this.
constexpr Duration ProbeDetection = milliseconds(700);

} // namespace

GroupWorld::GroupWorld(int Domains, int EnginesPerDomain) {
  for (int Domain = 0; Domain < Domains; ++Domain) {
    for (int Number = 0; Number < EnginesPerDomain; ++Number) {
      Instance NewEngine = engine(
          "e" + std::to_string(Domain) + "-" + std::to_string(Number),
          "zone" + std::to_string(Domain / 2) + "-d" + std::to_string(Domain));
      Engines[NewEngine.Id].Actual = NewEngine;
    }
  }
}

std::vector<PlannedInstance> GroupWorld::planned() {
  std::vector<PlannedInstance> Planned;
  for (auto &[Id, Each] : Engines) {
    bool Unseen = isUnseen(Each);
    Duration UnseenFor = Unseen ? Now - Each.UnseenSince : Duration::zero();
    if (UnseenFor > ListedAfterFailure * 2)
      continue;
    PlannedInstance Seen;
    auto Old = Frozen.find(Id);
    Seen.Confirmed = !Unseen && Now - Each.ConfirmedAt < seconds(1);
    bool Stale = Old != Frozen.end() && !Seen.Confirmed;
    Seen.Listed = Stale ? Old->second : Each.Actual;
    if (UnseenFor > ListedAfterFailure) {
      Seen.State = Liveness::Gone;
      Seen.Listed.Draining = true;
    } else if (UnseenFor > ProbeDetection) {
      Seen.State = Liveness::Unclear;
    }
    Seen.ZoneOut = ZonesOut.contains(Each.Actual.Zone);
    Seen.AcceptedFence = Each.AnsweredFence;
    Seen.LeftEpoch = Each.AnsweredLeave;
    Planned.push_back(std::move(Seen));
  }
  return Planned;
}

void GroupWorld::plan(GroupPlanState &State, bool FirstStart) {
  for (const GroupOrder &Order :
       planGroups(State, planned(), poolShape(), FirstStart, Now)) {
    ++Orders;
    if (OrderDelay > Duration::zero() && Order.Kind != OrderKind::Check)
      Pending.push_back({Now + OrderDelay, Order});
    else if (execute(Order))
      noteAnswered(Order);
  }
}

void GroupWorld::noteAnswered(const GroupOrder &Order) {
  Engine &To = Engines.at(Order.To);
  To.AnsweredFence = Order.Fence;
  To.AnsweredLeave = Order.Kind == OrderKind::Leave ? Order.Epoch : 0;
}

void GroupWorld::advance(Duration Elapsed) {
  Now += Elapsed;
  std::vector<DelayedOrder> Due;
  std::erase_if(Pending, [&](const DelayedOrder &Delayed) {
    if (Delayed.At > Now)
      return false;
    Due.push_back(Delayed);
    return true;
  });
  for (const DelayedOrder &Each : Due)
    execute(Each.Order);
  for (auto &[Id, Each] : Engines) {
    if (Each.Dead)
      continue;
    if (!Each.Loading.empty() && Now >= Each.LoadEnds)
      Each.Actual.Staged = {std::exchange(Each.Loading, {})};
    std::optional<Membership> &Place = Each.Actual.Group;
    if (!Place)
      continue;
    if (Place->Phase == MemberPhase::Joining && Now >= Each.JoinEnds) {
      Place->Phase = MemberPhase::Ready;
      Each.LastModel = modelOfGroup(Place->Group);
    }
    if (Each.OpenEnds != TimePoint{} && Now >= Each.OpenEnds) {
      Each.OpenEnds = TimePoint{};
      Place->Phase = MemberPhase::Open;
    }
  }
}

const GroupWorld::Engine *GroupWorld::headOf(const Membership &Place) const {
  for (const auto &[Id, Each] : Engines) {
    const std::optional<Membership> &Member = Each.Actual.Group;
    if (!Each.Dead && Member && Member->Rank == 0 &&
        Member->Epoch == Place.Epoch && Member->Group == Place.Group)
      return &Each;
  }
  return nullptr;
}

// TWO: an engine joins no other group while the head of its group serves.
void GroupWorld::join(Engine &To, const GroupOrder &Order) {
  if (Order.Epoch < To.HighestEpoch)
    return; // refused
  std::optional<Membership> &Place = To.Actual.Group;
  if (Place && Place->Epoch == Order.Epoch)
    return; // done already
  if (Place) {
    const Engine *Head = headOf(*Place);
    MemberPhase Phase = Head ? Head->Actual.Group->Phase : MemberPhase::Broken;
    if (Phase == MemberPhase::Open || Phase == MemberPhase::Closing)
      Broken.push_back("TWO: " + To.Actual.Id.str() + " joined " + Order.Group +
                       " while the head of " + Place->Group + " was open");
  }
  To.HighestEpoch = Order.Epoch;
  auto Rank =
      std::find(Order.Members.begin(), Order.Members.end(), To.Actual.Id) -
      Order.Members.begin();
  Place = Membership{Order.Group, Order.Epoch, static_cast<int>(Rank),
                     MemberPhase::Joining};
  To.OpenEnds = TimePoint{};
  const ModelShape &Model = *findModel(poolShape(), Order.Model);
  bool Staged = std::find(To.Actual.Staged.begin(), To.Actual.Staged.end(),
                          Order.Model) != To.Actual.Staged.end();
  Duration JoinTime = To.LastModel == Order.Model ? milliseconds(200)
                      : Staged                    ? Model.WarmStart
                                                  : Model.Load;
  if (To.LastModel != Order.Model && !Staged) {
    To.Actual.Staged = {Order.Model};
    LoadStarts.push_back(Now);
  }
  To.JoinEnds = Now + JoinTime;
}

// PARTIAL: a group opens only when all its members are ready.
bool GroupWorld::execute(const GroupOrder &Order) {
  Engine &To = Engines.at(Order.To);
  if (isUnseen(To))
    return false;
  if (Order.Kind != OrderKind::Check) {
    if (Order.Fence < To.HighestFence)
      return false;
    To.HighestFence = Order.Fence;
  }
  std::optional<Membership> &Place = To.Actual.Group;
  bool Same = Place && Place->Epoch == Order.Epoch;
  switch (Order.Kind) {
  case OrderKind::Check:
    To.ConfirmedAt = Now;
    return false;
  case OrderKind::Join:
    join(To, Order);
    return true;
  case OrderKind::Open: {
    if (!Same || Place->Phase != MemberPhase::Ready)
      return false;
    int Ready = 0;
    for (const auto &[Id, Each] : Engines) {
      const std::optional<Membership> &Member = Each.Actual.Group;
      if (Member && Member->Epoch == Order.Epoch &&
          Member->Phase == MemberPhase::Ready)
        ++Ready;
    }
    if (Ready < findModel(poolShape(), Order.Model)->GroupSize &&
        OrderDelay == Duration::zero())
      Broken.push_back("PARTIAL: " + Order.Group + " opened with " +
                       std::to_string(Ready));
    To.OpenEnds = Now + milliseconds(300);
    return true;
  }
  case OrderKind::Close:
    if (Same)
      Place->Phase = MemberPhase::Ready;
    return true;
  case OrderKind::Leave:
    if (Same) {
      Place.reset();
      To.OpenEnds = TimePoint{};
    }
    return true;
  case OrderKind::Stage:
    To.Loading = Order.Model;
    LoadStarts.push_back(Now);
    To.LoadEnds = Now + findModel(poolShape(), Order.Model)->Load;
    return true;
  }
  return false;
}

void GroupWorld::kill(const InstanceId &Id) {
  Engine &Killed = Engines.at(Id);
  if (Killed.Dead)
    return;
  Killed.Dead = true;
  if (!Killed.CutOff)
    Killed.UnseenSince = Now;
}

void GroupWorld::cutOff(const InstanceId &Id) {
  Engine &Cut = Engines.at(Id);
  if (isUnseen(Cut))
    return;
  Cut.CutOff = true;
  Cut.UnseenSince = Now;
}

void GroupWorld::reconnect(const InstanceId &Id) {
  Engines.at(Id).CutOff = false;
}

void GroupWorld::freezeListing(const InstanceId &Id) {
  Frozen[Id] = Engines.at(Id).Actual;
}

void GroupWorld::drain(const InstanceId &Id) {
  Engines.at(Id).Actual.Draining = true;
}

bool GroupWorld::leadsOpenGroup(const Engine &Each, const std::string &Model) {
  const std::optional<Membership> &Member = Each.Actual.Group;
  return !isUnseen(Each) && Member && Member->Rank == 0 &&
         Member->Phase == MemberPhase::Open &&
         modelOfGroup(Member->Group) == Model;
}

int GroupWorld::openGroups(const std::string &Model) const {
  return static_cast<int>(
      std::count_if(Engines.begin(), Engines.end(), [&](const auto &Entry) {
        return leadsOpenGroup(Entry.second, Model);
      }));
}

std::size_t GroupWorld::loadsSince(TimePoint Since) const {
  return static_cast<std::size_t>(
      std::count_if(LoadStarts.begin(), LoadStarts.end(),
                    [&](TimePoint At) { return At >= Since; }));
}

std::vector<InstanceId> GroupWorld::alive() const {
  std::vector<InstanceId> Found;
  for (const auto &[Id, Each] : Engines) {
    if (!Each.Dead)
      Found.push_back(Id);
  }
  return Found;
}

std::optional<InstanceId> GroupWorld::someMember(std::size_t Which) const {
  std::vector<InstanceId> Members;
  for (const auto &[Id, Each] : Engines) {
    if (!Each.Dead && Each.Actual.Group)
      Members.push_back(Id);
  }
  if (Members.empty())
    return std::nullopt;
  return Members[Which % Members.size()];
}

std::optional<InstanceId>
GroupWorld::someOpenHead(const std::string &Model) const {
  for (const auto &[Id, Each] : Engines) {
    if (leadsOpenGroup(Each, Model))
      return Id;
  }
  return std::nullopt;
}

std::optional<InstanceId>
GroupWorld::someFollower(const std::string &Model) const {
  for (const auto &[Id, Each] : Engines) {
    const std::optional<Membership> &Member = Each.Actual.Group;
    if (!Each.Dead && Member && Member->Rank > 0 &&
        modelOfGroup(Member->Group) == Model)
      return Id;
  }
  return std::nullopt;
}

void run(GroupWorld &World, GroupPlanState &State, int Ticks, bool FirstStart) {
  for (int Done = 0; Done < Ticks; ++Done) {
    World.plan(State, FirstStart);
    World.advance(Tick);
  }
}

GroupPlanState formingState() {
  GroupPlanState State;
  State.NextEpoch = State.FirstEpoch = 100'000;
  State.Forming[100'001] = {"small.100001",
                            100'001,
                            "small",
                            {InstanceId("a"), InstanceId("b")},
                            TimePoint{seconds(20)}};
  return State;
}

std::ptrdiff_t countOrders(const std::vector<GroupOrder> &Orders,
                           OrderKind Kind) {
  return std::count_if(
      Orders.begin(), Orders.end(),
      [Kind](const GroupOrder &Order) { return Order.Kind == Kind; });
}

} // namespace samphirehill::serving
