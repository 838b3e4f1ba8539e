#include "samphirehill/Serving/GroupPlan.h"

#include "samphirehill/Serving/GroupOrders.h"
#include "samphirehill/Serving/GroupQuota.h"
#include "samphirehill/Serving/GroupWeights.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// A group as its members report it.
struct ReportedGroup {
  std::string Model;
  std::map<int, const PlannedInstance *> ByRank;
};

using GroupKey = std::pair<std::string, std::int64_t>;

// One run of the planning.
class Planner {
public:
  Planner(GroupPlanState &State, const std::vector<PlannedInstance> &Engines,
          const ServiceShape &Service, bool FirstStart, TimePoint Now)
      : State(State), Engines(Engines),
        Service(withPlannedShares(Service, State.Exchanges,
                                  State.Settings.Demand, Now)),
        Shape(*this->Service.Engine), FirstStart(FirstStart), Now(Now) {
    for (const PlannedInstance &Each : Engines)
      ById[Each.Listed.Id] = &Each;
  }

  std::vector<GroupOrder> run() {
    State.Fence = std::max(State.Fence, State.FirstEpoch);
    eraseExpired();
    NoneFormedBefore = FirstStart && !hasGroupOfEarlierHolder();
    collectGroups();
    eraseHeadTimes();
    collectDomains();
    planQuotas(Domains, Service, GroupedEngines, State.Settings.SpareShare);
    if (FirstStart && isSettling())
      return {};
    recordSurplus(State, Domains, Now);
    for (auto &[Name, Each] : Domains)
      formGroups(Each);
    for (auto &[Name, Each] : Domains)
      stageWeights(Each);
    releaseMembers();
    exchangeGroups();
    updateSummaries();
    return std::move(Orders);
  }

private:
  void updateSummaries() {
    for (const auto &[Epoch, Each] : State.Forming)
      ++Summaries[Each.Model].Forming;
    for (const auto &[Id, Each] : State.Loading)
      ++Summaries[Each.Model].Loading;
    for (const auto &[Name, Domain] : Domains) {
      for (const auto &[Model, Each] : Domain.Models)
        Summaries[Model].Wanted += Each.WantedGroups;
      for (const PlannedInstance *Each : Domain.Free) {
        for (const std::string &Model : Each->Listed.Staged)
          ++Summaries[Model].Free;
      }
    }
    State.Models = std::move(Summaries);
  }

  // Returns whether the engine may stay in its group.
  static bool mayStay(const PlannedInstance &Engine) {
    return Engine.State == Liveness::Alive && !Engine.Listed.Draining &&
           !Engine.ZoneOut;
  }

  // Returns whether the engine may join another group once it is in none.
  static bool isUsable(const PlannedInstance &Engine) {
    return mayStay(Engine) && !Engine.Lapsed;
  }

  // Returns whether the engine may be ordered to join a group now. It must have
  // said itself that it is in none: whether the head of its last group still
  // serves can't be known for certain.
  bool mayJoin(const PlannedInstance &Engine) const {
    return isUsable(Engine) && !Engine.Listed.Group &&
           (Engine.Confirmed || NoneFormedBefore);
  }

  // Returns whether an engine is in a group that another holder has formed.
  bool hasGroupOfEarlierHolder() const {
    return std::any_of(Engines.begin(), Engines.end(),
                       [&](const PlannedInstance &Each) {
                         return Each.Listed.Group &&
                                Each.Listed.Group->Epoch < State.FirstEpoch;
                       });
  }

  // Returns whether the number of engines has changed within SettleTime.
  bool isSettling() {
    if (State.KnownEngines != Engines.size()) {
      State.KnownEngines = Engines.size();
      State.EnginesChangedAt = Now;
    }
    return Now - State.EnginesChangedAt < State.Settings.SettleTime;
  }

  // Erases state that has expired, and state of engines that are gone.
  void eraseExpired() {
    std::erase_if(State.Forming, [&](const auto &Entry) {
      return Now >= Entry.second.GiveUpAt;
    });
    std::erase_if(State.Loading, [&](const auto &Entry) {
      const PlannedInstance *Engine = findEngine(Entry.first);
      return Now >= Entry.second.GiveUpAt || !Engine ||
             Engine->State == Liveness::Gone ||
             hasWeights(*Engine, Entry.second.Model);
    });
    // A group that lost a member while it was forming is abandoned at once.
    std::erase_if(State.Forming, [&](const auto &Entry) {
      const std::vector<InstanceId> &Members = Entry.second.Members;
      return std::any_of(Members.begin(), Members.end(),
                         [&](const InstanceId &Id) {
                           const PlannedInstance *Member = findEngine(Id);
                           return !Member || !isUsable(*Member);
                         });
    });
    std::erase_if(State.LastModel,
                  [&](const auto &Entry) { return !findEngine(Entry.first); });
    std::erase_if(State.LoadStarts,
                  [&](TimePoint At) { return Now - At >= seconds(1); });
    eraseExpiredOrders(State, Now);
  }

  void eraseHeadTimes() {
    std::set<std::int64_t> Reported;
    for (const auto &[Key, Group] : Groups)
      Reported.insert(Key.second);
    serving::eraseHeadTimes(State.Heads, Reported,
                            State.Settings.HeadReturnWait, Now);
  }

  // Adds Order to the result if it may be given now. Returns whether it was.
  bool orderIfDue(GroupOrder Order) {
    bool Due = giveIfDue(State, Order, Now);
    if (Due)
      Orders.push_back(std::move(Order));
    return Due;
  }

  // Builds Groups from the engines' reports, and decides for each group whether
  // it continues, forms, ends or is abandoned.
  void collectGroups() {
    for (const PlannedInstance &Each : Engines) {
      if (!Each.Listed.Group)
        continue;
      const Membership &Place = *Each.Listed.Group;
      if (Place.Phase != MemberPhase::Joining)
        State.LastModel[Each.Listed.Id] = {modelOfGroup(Place.Group),
                                           Each.Listed.BornMilliseconds};
      ReportedGroup &Group = Groups[{Place.Group, Place.Epoch}];
      Group.Model = modelOfGroup(Place.Group);
      Group.ByRank[Place.Rank] = &Each;
    }
    for (auto &[Key, Group] : Groups) {
      noteReturn(Key.second, Group);
      updateGroup(Key, Group);
    }
    for (const auto &[Epoch, Forming] : State.Forming)
      repeatJoins(Forming);
  }

  // Notes whether members of the group are known, perhaps again after a gap.
  void noteReturn(std::int64_t Epoch, const ReportedGroup &Group) {
    bool Known = std::any_of(Group.ByRank.begin(), Group.ByRank.end(),
                             [](const auto &Member) {
                               return Member.second->State != Liveness::Gone;
                             });
    if (Known)
      noteKnown(State.Heads, Epoch, State.Settings.AbsenceGap, Now);
  }

  bool mayHeadReturn(std::int64_t Epoch) const {
    return serving::mayHeadReturn(State.Heads, Epoch,
                                  State.Settings.HeadReturnWait, Now);
  }

  static bool isMember(const PlannedInstance &Engine,
                       const Formation &Forming) {
    return Engine.Listed.Group && Engine.Listed.Group->Epoch == Forming.Epoch &&
           Engine.Listed.Group->Group == Forming.Group;
  }

  // Decides how Group continues. Its members are assigned if it serves or
  // forms, stranded if its head may still serve, and to be released otherwise.
  void updateGroup(const GroupKey &Key, const ReportedGroup &Group) {
    const ModelShape *Model = findModel(Service, Group.Model);
    bool Forming = State.Forming.contains(Key.second);
    auto HeadFound = Group.ByRank.find(0);
    const PlannedInstance *Head =
        HeadFound == Group.ByRank.end() ? nullptr : HeadFound->second;
    bool Complete =
        Model &&
        Group.ByRank.size() == static_cast<std::size_t>(Model->GroupSize) &&
        std::all_of(Group.ByRank.begin(), Group.ByRank.end(),
                    [](const auto &Member) { return mayStay(*Member.second); });
    if (Complete && !State.Exchanges.GivenUp.contains(Key.second) &&
        !hasMemberInOtherFormation(Key, Group) &&
        updateCompleteGroup(Key, Group, *Head))
      return;
    if (Forming && (!Head || !mayServe(*Head)))
      return;
    if (Head && Head->State != Liveness::Gone && mayServe(*Head)) {
      endGroup(Key, Group, *Head);
      return;
    }
    if (headMayServeUnseen(Key, Group, Head)) {
      markStranded(Group);
      return;
    }
    State.Forming.erase(Key.second);
  }

  // Keeps the engines of a group that ends from joining other groups, as the
  // group's head may still serve.
  void markStranded(const ReportedGroup &Group) {
    for (const auto &[Rank, Each] : Group.ByRank) {
      Stranded.insert(Each->Listed.Id);
      Summaries[Group.Model].Stranded += isUsable(*Each);
    }
  }

  // Returns whether a member has been ordered into another group that is
  // forming. A group that late orders completed must not open with this member.
  bool hasMemberInOtherFormation(const GroupKey &Key,
                                 const ReportedGroup &Group) const {
    for (const auto &[Epoch, Forming] : State.Forming) {
      if (Epoch == Key.second)
        continue;
      for (const auto &[Rank, Each] : Group.ByRank) {
        if (std::find(Forming.Members.begin(), Forming.Members.end(),
                      Each->Listed.Id) != Forming.Members.end())
          return true;
      }
    }
    return false;
  }

  // Returns whether the group's head may be serving although no report shows
  // it.
  bool headMayServeUnseen(const GroupKey &Key, const ReportedGroup &Group,
                          const PlannedInstance *Head) {
    if (Head) {
      State.Heads.HeadlessSince.erase(Key.second);
      State.Heads.HeadOf[Key.second] = Head->Listed.Id;
      if (Head->State == Liveness::Gone)
        return mayHeadReturn(Key.second);
      if (Head->State != Liveness::Alive || Head->Confirmed)
        return Head->State == Liveness::Unclear;
      requestReport(*Head);
      return true;
    }
    auto Recorded = State.Heads.HeadOf.find(Key.second);
    if (Recorded != State.Heads.HeadOf.end()) {
      const PlannedInstance *LastHead = findEngine(Recorded->second);
      bool Left = LastHead && LastHead->LeftEpoch == Key.second &&
                  isFenced(State, *LastHead);
      if (Left)
        return false;
      if (!LastHead || LastHead->State == Liveness::Gone)
        return mayHeadReturn(Key.second);
      if (LastHead->State == Liveness::Alive && LastHead->Confirmed)
        return mayServeAgain(Key, Group, *LastHead);
      requestReport(*LastHead);
      return true;
    }
    return mayHaveUnknownHead(Key, Group);
  }

  // Returns whether LastHead, which has left the group, may still join and
  // serve it again because of late orders. That is no longer possible once it
  // is known to have accepted a Leave.
  bool mayServeAgain(const GroupKey &Key, const ReportedGroup &Group,
                     const PlannedInstance &LastHead) {
    if (isFenced(State, LastHead))
      return false;
    TimePoint Since =
        State.Heads.HeadlessSince.try_emplace(Key.second, Now).first->second;
    if (Now - Since >= State.Settings.HeadlessWait)
      return false;
    orderIfDue({OrderKind::Leave, LastHead.Listed.Id, Key.first, Key.second,
                Group.Model});
    return true;
  }

  // Returns whether to keep waiting for a head that this entry has never seen.
  // If that head is alive, it is one of the engines of the members' domain. Its
  // entry in the list may have expired during an outage of the platform, so the
  // engines that are listed are asked for their state meanwhile.
  bool mayHaveUnknownHead(const GroupKey &Key, const ReportedGroup &Group) {
    const std::string &Domain = Group.ByRank.begin()->second->Listed.Domain;
    bool AllReported = true;
    for (const PlannedInstance &Each : Engines) {
      if (Each.Listed.Domain != Domain || Each.State == Liveness::Gone ||
          Each.Confirmed)
        continue;
      AllReported = false;
      if (Each.State == Liveness::Alive)
        requestReport(Each);
    }
    TimePoint Since =
        State.Heads.HeadlessSince.try_emplace(Key.second, Now).first->second;
    Duration Waited = Now - Since;
    Duration Wait = State.Settings.HeadlessWait;
    return Waited < Wait || (!AllReported && Waited < 2 * Wait);
  }

  void requestReport(const PlannedInstance &Engine) {
    Orders.push_back({OrderKind::Check, Engine.Listed.Id, {}, 0, {}, {}, 0});
  }

  // Returns whether Head serves, or may have been ordered to serve: the order
  // may take effect late.
  bool mayServe(const PlannedInstance &Head) const {
    if (Head.Listed.Group->Phase == MemberPhase::Broken)
      return false;
    return isServing(Head) || Head.Listed.Group->Epoch < State.FirstEpoch ||
           mayTakeEffect(State, keyOf(openOrder(Head)));
  }

  static GroupOrder openOrder(const PlannedInstance &Head) {
    const Membership &Place = *Head.Listed.Group;
    return {OrderKind::Open, Head.Listed.Id, Place.Group, Place.Epoch,
            modelOfGroup(Place.Group)};
  }

  static bool isServing(const PlannedInstance &Head) {
    MemberPhase Phase = Head.Listed.Group->Phase;
    return Phase == MemberPhase::Open || Phase == MemberPhase::Closing;
  }

  // Returns whether a group that has all its members continues. Orders the head
  // to serve once all members are ready.
  bool updateCompleteGroup(const GroupKey &Key, const ReportedGroup &Group,
                           const PlannedInstance &Head) {
    MemberPhase Phase = Head.Listed.Group->Phase;
    if (Phase == MemberPhase::Broken)
      return false;
    bool AllReady = std::all_of(
        Group.ByRank.begin(), Group.ByRank.end(), [](const auto &Member) {
          return Member.second->Listed.Group->Phase == MemberPhase::Ready;
        });
    bool Forming = State.Forming.contains(Key.second);
    bool Joining = !AllReady && !isServing(Head);
    if (Joining && !Forming)
      return false;
    for (const auto &[Rank, Each] : Group.ByRank)
      Assigned.insert(Each->Listed.Id);
    countGroup(Head, Group.Model);
    State.Heads.HeadOf[Key.second] = Head.Listed.Id;
    if (isServing(Head)) {
      State.Forming.erase(Key.second);
      ++Summaries[Group.Model].Serving;
      Running.push_back({Key.second, Group.Model, Head.Listed.Zone,
                         Head.Listed.Domain, membersOf(Group)});
    }
    bool Lapsed =
        std::any_of(Group.ByRank.begin(), Group.ByRank.end(),
                    [](const auto &Member) { return Member.second->Lapsed; });
    if (AllReady && !Lapsed)
      orderIfDue(openOrder(Head));
    return true;
  }

  static std::vector<const PlannedInstance *>
  membersOf(const ReportedGroup &Group) {
    std::vector<const PlannedInstance *> Members;
    for (const auto &[Rank, Each] : Group.ByRank)
      Members.push_back(Each);
    return Members;
  }

  // Ends a group whose head serves or may serve. The head is ordered to finish
  // running requests (Close), and the members stay meanwhile. If a member is
  // lost or the head doesn't serve, all are ordered to leave at once. No order
  // is given if the only reason is that operators took the zone out of service.
  void endGroup(const GroupKey &Key, const ReportedGroup &Group,
                const PlannedInstance &Head) {
    bool Lost = false;
    for (const auto &[Rank, Each] : Group.ByRank)
      Lost = Lost || Each->State != Liveness::Alive;
    const ModelShape *Model = findModel(Service, Group.Model);
    Lost = Lost || !Model ||
           Group.ByRank.size() < static_cast<std::size_t>(Model->GroupSize);
    State.Forming.erase(Key.second);
    State.Heads.HeadOf[Key.second] = Head.Listed.Id;
    bool OnlyZoneOut = std::all_of(
        Group.ByRank.begin(), Group.ByRank.end(), [](const auto &Member) {
          return Member.second->ZoneOut && !Member.second->Listed.Draining &&
                 Member.second->State == Liveness::Alive;
        });
    bool Cut = Lost || !isServing(Head);
    bool Closing = Head.Listed.Group->Phase == MemberPhase::Closing;
    bool Waits = (OnlyZoneOut && !Lost) || Head.State != Liveness::Alive ||
                 (Closing && !Lost);
    if (Waits || !Cut)
      markStranded(Group);
    if (Waits)
      return;
    if (Cut)
      return release(Head);
    orderIfDue(
        {OrderKind::Close, Head.Listed.Id, Key.first, Key.second, Group.Model});
  }

  // Orders the engine to leave its group.
  void release(const PlannedInstance &Engine) {
    const Membership &Place = *Engine.Listed.Group;
    orderIfDue({OrderKind::Leave, Engine.Listed.Id, Place.Group, Place.Epoch,
                modelOfGroup(Place.Group)});
  }

  void countGroup(const PlannedInstance &Head, const std::string &Model) {
    ++Domains[Head.Listed.Domain].Models[Model].Groups;
    GroupedEngines[Model] += sizeOf(Model);
  }

  int sizeOf(const std::string &Model) const {
    const ModelShape *Found = findModel(Service, Model);
    return Found ? Found->GroupSize : 1;
  }

  // Repeats Join orders that have had no effect.
  void repeatJoins(const Formation &Forming) {
    bool Any = false;
    for (const InstanceId &Id : Forming.Members) {
      const PlannedInstance *Each = findEngine(Id);
      if (!Each)
        continue;
      Assigned.insert(Id);
      Any = true;
      if (isMember(*Each, Forming) || !isUsable(*Each))
        continue;
      if (Each->Listed.Group) {
        // Late orders of an earlier holder made it join another group.
        if (!Stranded.contains(Id))
          Releasing.push_back(Each);
        continue;
      }
      GroupOrder Join = joinOrder(Forming, Id);
      if (shouldShowEffect(State, keyOf(Join), Now))
        requestReport(*Each);
      if (mayJoin(*Each))
        orderIfDue(std::move(Join));
    }
    bool Counted = Groups.contains({Forming.Group, Forming.Epoch}) &&
                   allMembersIn(Forming);
    if (Any && !Counted) {
      const PlannedInstance *First = findEngine(Forming.Members.front());
      if (First)
        countGroup(*First, Forming.Model);
    }
  }

  bool allMembersIn(const Formation &Forming) const {
    return std::all_of(Forming.Members.begin(), Forming.Members.end(),
                       [&](const InstanceId &Id) {
                         const PlannedInstance *Found = findEngine(Id);
                         return Found && isMember(*Found, Forming);
                       });
  }

  const PlannedInstance *findEngine(const InstanceId &Id) const {
    auto Found = ById.find(Id);
    return Found == ById.end() ? nullptr : Found->second;
  }

  static GroupOrder joinOrder(const Formation &Forming, const InstanceId &To) {
    return {OrderKind::Join, To, Forming.Group, Forming.Epoch, Forming.Model,
            Forming.Members, 0};
  }

  void collectDomains() {
    for (const PlannedInstance &Each : Engines) {
      if (!isUsable(Each))
        continue;
      EngineDomain &Domain = Domains[Each.Listed.Domain];
      Domain.Zone = Each.Listed.Zone;
      Domain.Usable.push_back(&Each);
      bool Grouped = Assigned.contains(Each.Listed.Id);
      for (const std::string &Model : plannedWeights(State, Each, Grouped))
        ++Domain.Models[Model].Staged;
      for (const ModelShape &Model : Shape.Models)
        Domain.Models[Model.Name].Available +=
            !Grouped && joinsFast(State, Each, Model.Name);
      // Engines of a broken group are free within seconds. Until then they
      // don't count as in groups, so that the domain keeps the spares that
      // complete the group again.
      if (Assigned.contains(Each.Listed.Id))
        ++Domain.InGroups;
      else if (Stranded.contains(Each.Listed.Id))
        continue;
      else if (Each.Listed.Group)
        Releasing.push_back(&Each);
      else
        Domain.Free.push_back(&Each);
    }
  }

  bool isLoading(const PlannedInstance &Engine) const {
    return State.Loading.contains(Engine.Listed.Id);
  }

  void formGroups(EngineDomain &Domain) {
    for (const ModelShape *Model : modelsByNeed(Service, GroupedEngines)) {
      while (formOneGroup(Domain, *Model)) {
      }
    }
  }

  bool formOneGroup(EngineDomain &Domain, const ModelShape &Model) {
    DomainModel &Count = Domain.Models[Model.Name];
    std::vector<const PlannedInstance *> Ready;
    std::vector<const PlannedInstance *> Blank;
    for (const PlannedInstance *Each : Domain.Free) {
      if (joinsFast(State, *Each, Model.Name))
        Ready.push_back(Each);
      else if (!isLoading(*Each) && Each->Listed.Staged.empty())
        Blank.push_back(Each);
    }
    std::size_t Size = static_cast<std::size_t>(Model.GroupSize);
    bool Wanted = Count.Groups < Count.WantedGroups;
    if (Ready.size() < Size) {
      if (!FirstStart || !Wanted || Ready.size() + Blank.size() < Size)
        return false;
      int Loads = static_cast<int>(Size - Ready.size());
      if (!loadsAllowed(Loads))
        return false;
      Ready.insert(Ready.end(), Blank.begin(), Blank.end());
    } else if (!Wanted) {
      return false;
    }
    sortCandidates(State, Ready, Model);
    Ready.resize(Size);
    if (!allMayJoin(Domain, Ready))
      return false;
    startForming(Domain, Model, Ready);
    return true;
  }

  // Returns whether all Chosen may join a group now. If not, the missing
  // reports are asked for, and none of Chosen is used for another group before
  // they arrive.
  bool allMayJoin(EngineDomain &Domain,
                  const std::vector<const PlannedInstance *> &Chosen) {
    bool All = true;
    for (const PlannedInstance *Each : Chosen) {
      if (mayJoin(*Each))
        continue;
      requestReport(*Each);
      All = false;
    }
    if (!All)
      std::erase_if(Domain.Free, [&](const PlannedInstance *Engine) {
        return std::find(Chosen.begin(), Chosen.end(), Engine) != Chosen.end();
      });
    return All;
  }

  void startForming(EngineDomain &Domain, const ModelShape &Model,
                    const std::vector<const PlannedInstance *> &Chosen) {
    Formation NewGroup;
    NewGroup.Epoch = State.NextEpoch++;
    NewGroup.Group = groupName(Model.Name, NewGroup.Epoch);
    NewGroup.Model = Model.Name;
    Duration Expected = Model.WarmStart;
    for (const PlannedInstance *Each : Chosen) {
      NewGroup.Members.push_back(Each->Listed.Id);
      if (joinsFast(State, *Each, Model.Name))
        continue;
      Expected = Model.Load * 2;
      recordLoad(Each->Listed.Id, Model);
    }
    NewGroup.GiveUpAt = Now + Expected + State.Settings.FormationMargin;
    for (const InstanceId &Id : NewGroup.Members) {
      orderIfDue(joinOrder(NewGroup, Id));
      Assigned.insert(Id);
    }
    for (auto &[Name, Each] : Domains)
      std::erase_if(Each.Free, [&](const PlannedInstance *Engine) {
        return Assigned.contains(Engine->Listed.Id);
      });
    ++Domain.Models[Model.Name].Groups;
    GroupedEngines[Model.Name] += Model.GroupSize;
    State.Forming[NewGroup.Epoch] = std::move(NewGroup);
  }

  bool loadsAllowed(int Count) const {
    int Running = static_cast<int>(State.Loading.size());
    auto Started = static_cast<double>(State.LoadStarts.size());
    // At the first start loads are short, and how long a load takes depends on
    // the number of loads that run when it begins. So all should begin as early
    // as possible.
    return FirstStart || (Running + Count <= Shape.LoadsAtOnce &&
                          Started + Count <= Shape.LoadsPerSecond);
  }

  void recordLoad(const InstanceId &Id, const ModelShape &Model) {
    State.Loading[Id] = {Model.Name, Now + Model.Load * 2};
    State.LoadStarts.push_back(Now);
  }

  static GroupOrder stageOrder(const PlannedInstance &Engine,
                               const ModelShape &Model) {
    return {OrderKind::Stage, Engine.Listed.Id, {}, 0, Model.Name};
  }

  // Orders free engines to load weights that the domain has on too few engines
  // for its groups and spares.
  void stageWeights(EngineDomain &Domain) {
    for (const PlannedInstance *Each : Domain.Free) {
      if (isLoading(*Each) || !loadsAllowed(1))
        continue;
      const ModelShape *Model =
          modelToLoad(State, Domains, Service, *Each, Now);
      if (!Model || !orderIfDue(stageOrder(*Each, *Model)))
        continue;
      for (const std::string &Old : Each->Listed.Staged)
        --Domain.Models[Old].Staged;
      ++Domain.Models[Model->Name].Staged;
      recordLoad(Each->Listed.Id, *Model);
    }
  }

  // Gives up groups of a model that has them to spare, so that their engines
  // form groups of one that lacks them, and has the weights for such changes
  // loaded ahead.
  void exchangeGroups() {
    ExchangeView View{Domains, Running, Service, FirstStart};
    chooseExchange(State.Exchanges, View, State.Settings.Demand, Now);
    for (const auto &[Engine, Model] :
         weightsToPrepare(State.Exchanges, View, State.Settings.Demand)) {
      if (!isLoading(*Engine) && loadsAllowed(1) &&
          orderIfDue(stageOrder(*Engine, *Model)))
        recordLoad(Engine->Listed.Id, *Model);
    }
  }

  // Orders the remaining members of groups that have ended to leave them. They
  // are free once they report that they have left.
  void releaseMembers() {
    for (const PlannedInstance *Each : Releasing) {
      ++Summaries[modelOfGroup(Each->Listed.Group->Group)].Stranded;
      release(*Each);
    }
  }

  GroupPlanState &State;
  const std::vector<PlannedInstance> &Engines;
  const ServiceShape Service; // with the shares in force
  const EngineShape &Shape;
  bool FirstStart;
  bool NoneFormedBefore = false; // the system has formed no group yet
  TimePoint Now;
  std::map<InstanceId, const PlannedInstance *> ById;
  std::map<GroupKey, ReportedGroup> Groups;
  EngineDomains Domains;
  ModelEngines GroupedEngines;
  std::vector<RunningGroup> Running;
  std::map<std::string, ModelSummary> Summaries; // by model
  std::set<InstanceId> Assigned;                 // to groups that serve or form
  std::set<InstanceId> Stranded; // in broken groups whose head may serve
  std::vector<const PlannedInstance *> Releasing; // in groups that have ended
  std::vector<GroupOrder> Orders;
};

} // namespace

std::vector<GroupOrder> planGroups(GroupPlanState &State,
                                   const std::vector<PlannedInstance> &Engines,
                                   const ServiceShape &Service, bool FirstStart,
                                   TimePoint Now) {
  if (!Service.Engine)
    return {};
  return Planner(State, Engines, Service, FirstStart, Now).run();
}

void noteOrderRefused(GroupPlanState &State, const GroupOrder &Order) {
  if (Order.Kind == OrderKind::Stage)
    State.Loading.erase(Order.To);
}

} // namespace samphirehill::serving
