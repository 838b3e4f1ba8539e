#include "samphirehill/Serving/GroupPlan.h"

#include "samphirehill/Serving/GroupQuota.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace samphirehill::serving {
namespace {

// How a group that the members' reports show stands.
struct SeenGroup {
  std::string Model;
  std::map<int, const PlannedInstance *> ByRank;
};

// An order without answer may take effect this much later.
constexpr Duration OrderMemory = seconds(30);

using GroupKey = std::pair<std::string, std::int64_t>;

class Planner {
public:
  Planner(GroupPlanState &State, const std::vector<PlannedInstance> &Engines,
          const ServiceShape &Service, bool FirstStart, TimePoint Now)
      : State(State), Engines(Engines), Shape(*Service.Engine),
        Service(Service), FirstStart(FirstStart), Now(Now) {
    for (const PlannedInstance &Each : Engines)
      ById[Each.Listed.Id] = &Each;
  }

  std::vector<GroupOrder> run() {
    State.Fence = std::max(State.Fence, State.FirstEpoch);
    forgetOld();
    collectGroups();
    forgetHeadless();
    collectDomains();
    planQuotas(Domains, Service, GroupedEngines, State.Settings.SpareShare);
    if (FirstStart && settling())
      return {};
    noteSurplus();
    for (auto &[Name, Each] : Domains)
      formGroups(Each);
    for (auto &[Name, Each] : Domains)
      stageWeights(Each);
    for (const auto &[Name, Each] : Domains)
      releaseSurvivors(Each);
    summarize();
    return std::move(Orders);
  }

private:
  void summarize() {
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

  // Whether the engine may go on in the group that it is in.
  static bool mayStay(const PlannedInstance &Each) {
    return Each.State == Liveness::Alive && !Each.Listed.Draining &&
           !Each.ZoneOut;
  }

  // Whether the engine may take part in another group.
  static bool usable(const PlannedInstance &Each) {
    return mayStay(Each) && !Each.Lapsed;
  }

  // Notes since when each domain has more engines with a model's weights than
  // it is to have.
  void noteSurplus() {
    std::map<std::pair<std::string, std::string>, TimePoint> Since;
    for (const auto &[Name, Domain] : Domains) {
      for (const auto &[Model, Each] : Domain.Models) {
        if (Each.Staged <= Each.WantedStaged)
          continue;
        auto Known = State.SurplusSince.find({Name, Model});
        Since[{Name, Model}] =
            Known == State.SurplusSince.end() ? Now : Known->second;
      }
    }
    State.SurplusSince = std::move(Since);
  }

  bool settling() {
    if (State.KnownEngines != Engines.size()) {
      State.KnownEngines = Engines.size();
      State.EnginesChangedAt = Now;
    }
    return Now - State.EnginesChangedAt < State.Settings.SettleTime;
  }

  void forgetOld() {
    std::erase_if(State.Forming, [&](const auto &Entry) {
      return Now >= Entry.second.GiveUpAt;
    });
    std::erase_if(State.Loading, [&](const auto &Entry) {
      const PlannedInstance *Engine = find(Entry.first);
      return Now >= Entry.second.GiveUpAt || !Engine ||
             Engine->State == Liveness::Gone ||
             staged(*Engine, Entry.second.Model);
    });
    // A group that lost a member while it formed is given up at once.
    std::erase_if(State.Forming, [&](const auto &Entry) {
      const std::vector<InstanceId> &Members = Entry.second.Members;
      return std::any_of(Members.begin(), Members.end(),
                         [&](const InstanceId &Id) {
                           const PlannedInstance *Member = find(Id);
                           return !Member || !usable(*Member);
                         });
    });
    std::erase_if(State.LastModel,
                  [&](const auto &Entry) { return !find(Entry.first); });
    std::erase_if(State.LoadStarts,
                  [&](TimePoint At) { return Now - At >= seconds(1); });
    std::erase_if(State.OrderedAt, [&](const auto &Entry) {
      return Now - Entry.second > OrderMemory;
    });
  }

  // A group that no engine names any more needs no wait.
  void forgetHeadless() {
    std::set<std::int64_t> Named;
    for (const auto &[Key, Group] : Groups)
      Named.insert(Key.second);
    std::erase_if(State.HeadlessSince, [&](const auto &Entry) {
      return !Named.contains(Entry.first);
    });
  }

  void order(GroupOrder Given) {
    std::int64_t &Highest = State.OrderedFence[Given.To];
    if (Given.Kind == OrderKind::Leave)
      ++State.Fence;
    else
      Highest = State.Fence;
    Given.Fence = State.Fence;
    Orders.push_back(std::move(Given));
  }

  // Whether Engine refuses all that it was ordered before its last leave.
  bool fenced(const PlannedInstance &Engine) const {
    auto Found = State.OrderedFence.find(Engine.Listed.Id);
    std::int64_t Ordered =
        Found == State.OrderedFence.end() ? 0 : Found->second;
    return Engine.AcceptedFence >= std::max(State.FirstEpoch, Ordered + 1);
  }

  // Whether an order may be given: not given within the repeat time.
  bool due(const std::string &Label) {
    auto Found = State.OrderedAt.find(Label);
    if (Found != State.OrderedAt.end() &&
        Now - Found->second < State.Settings.OrderRetryDelay)
      return false;
    State.OrderedAt[Label] = Now;
    return true;
  }

  void collectGroups() {
    for (const PlannedInstance &Each : Engines) {
      if (!Each.Listed.Group)
        continue;
      const Membership &Place = *Each.Listed.Group;
      State.LastModel[Each.Listed.Id] = modelOfGroup(Place.Group);
      SeenGroup &Group = Groups[{Place.Group, Place.Epoch}];
      Group.Model = modelOfGroup(Place.Group);
      Group.ByRank[Place.Rank] = &Each;
    }
    for (auto &[Key, Group] : Groups)
      settleGroup(Key, Group);
    for (const auto &[Epoch, Forming] : State.Forming)
      continueForming(Forming);
  }

  static bool inGroup(const PlannedInstance &Each, const Formation &Forming) {
    return Each.Listed.Group && Each.Listed.Group->Epoch == Forming.Epoch &&
           Each.Listed.Group->Group == Forming.Group;
  }

  void settleGroup(const GroupKey &Key, const SeenGroup &Group) {
    const ModelShape *Model = findModel(Service, Group.Model);
    bool Forming = State.Forming.contains(Key.second);
    auto HeadFound = Group.ByRank.find(0);
    const PlannedInstance *Head =
        HeadFound == Group.ByRank.end() ? nullptr : HeadFound->second;
    bool Whole =
        Model &&
        Group.ByRank.size() == static_cast<std::size_t>(Model->GroupSize) &&
        std::all_of(Group.ByRank.begin(), Group.ByRank.end(),
                    [](const auto &Each) { return mayStay(*Each.second); });
    if (Whole && !promisedElsewhere(Key, Group) &&
        settleWhole(Key, Group, *Head))
      return;
    if (Forming && (!Head || !mayServe(*Head)))
      return;
    if (Head && Head->State != Liveness::Gone && mayServe(*Head)) {
      endGroup(Key, Group, *Head);
      return;
    }
    if (headMayServeUnseen(Key, Group, Head)) {
      bindStranded(Group);
      return;
    }
    State.Forming.erase(Key.second);
  }

  // Keeps the engines of a group that doesn't go on from other groups, as its
  // head may still serve.
  void bindStranded(const SeenGroup &Group) {
    for (const auto &[Rank, Each] : Group.ByRank) {
      Stranded.insert(Each->Listed.Id);
      Summaries[Group.Model].Stranded += usable(*Each);
    }
  }

  // Whether a member has been ordered into another group that forms: a group of
  // late orders must not open under it.
  bool promisedElsewhere(const GroupKey &Key, const SeenGroup &Group) const {
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

  // Whether the group's head may be serving although the list doesn't say so.
  bool headMayServeUnseen(const GroupKey &Key, const SeenGroup &Group,
                          const PlannedInstance *Head) {
    if (FirstStart)
      return false;
    if (Head) {
      State.HeadlessSince.erase(Key.second);
      State.HeadOf[Key.second] = Head->Listed.Id;
      if (Head->State != Liveness::Alive || Head->Confirmed)
        return Head->State == Liveness::Unclear;
      check(*Head);
      return true;
    }
    auto Known = State.HeadOf.find(Key.second);
    if (Known != State.HeadOf.end()) {
      const PlannedInstance *Was = find(Known->second);
      bool Left = Was && Was->LeftEpoch == Key.second && fenced(*Was);
      if (!Was || Was->State == Liveness::Gone || Left)
        return false;
      if (Was->State == Liveness::Alive && Was->Confirmed)
        return mayReturn(Key, Group, *Was);
      check(*Was);
      return true;
    }
    return headUnknown(Key, Group);
  }

  // Whether Was, which has left the group, may still take it up again by late
  // orders. A leave that it is known to have accepted ends that.
  bool mayReturn(const GroupKey &Key, const SeenGroup &Group,
                 const PlannedInstance &Was) {
    if (fenced(Was))
      return false;
    TimePoint Since =
        State.HeadlessSince.try_emplace(Key.second, Now).first->second;
    if (Now - Since >= State.Settings.HeadlessWait)
      return false;
    if (due("leave " + Was.Listed.Id.str() + Key.first))
      order({OrderKind::Leave, Was.Listed.Id, Key.first, Key.second,
             Group.Model});
    return true;
  }

  // The head of a group that this entry has never seen is one of the engines of
  // the members' domain, if it lives. Its entry in the list may have lapsed
  // while the platform was away; the engines that are listed are asked
  // meanwhile.
  bool headUnknown(const GroupKey &Key, const SeenGroup &Group) {
    const std::string &Domain = Group.ByRank.begin()->second->Listed.Domain;
    bool AllTold = true;
    for (const PlannedInstance &Each : Engines) {
      if (Each.Listed.Domain != Domain || Each.State == Liveness::Gone ||
          Each.Confirmed)
        continue;
      AllTold = false;
      if (Each.State == Liveness::Alive)
        check(Each);
    }
    TimePoint Since =
        State.HeadlessSince.try_emplace(Key.second, Now).first->second;
    Duration Waited = Now - Since;
    Duration Wait = State.Settings.HeadlessWait;
    return Waited < Wait || (!AllTold && Waited < 2 * Wait);
  }

  void check(const PlannedInstance &Asked) {
    Orders.push_back({OrderKind::Check, Asked.Listed.Id, {}, 0, {}, {}, 0});
  }

  // Whether Head serves, or may have been ordered to; the order may take effect
  // late.
  bool mayServe(const PlannedInstance &Head) const {
    if (Head.Listed.Group->Phase == MemberPhase::Broken)
      return false;
    return serving(Head) || Head.Listed.Group->Epoch < State.FirstEpoch ||
           State.OrderedAt.contains(openLabel(Head));
  }

  static std::string openLabel(const PlannedInstance &Head) {
    return "open " + Head.Listed.Id.str() + " " + Head.Listed.Group->Group;
  }

  static bool serving(const PlannedInstance &Head) {
    MemberPhase Phase = Head.Listed.Group->Phase;
    return Phase == MemberPhase::Open || Phase == MemberPhase::Closing;
  }

  // Returns whether the group goes on as it is.
  bool settleWhole(const GroupKey &Key, const SeenGroup &Group,
                   const PlannedInstance &Head) {
    MemberPhase Phase = Head.Listed.Group->Phase;
    if (Phase == MemberPhase::Broken)
      return false;
    bool AllReady = std::all_of(
        Group.ByRank.begin(), Group.ByRank.end(), [](const auto &Each) {
          return Each.second->Listed.Group->Phase == MemberPhase::Ready;
        });
    bool Forming = State.Forming.contains(Key.second);
    bool Joining = !AllReady && !serving(Head);
    if (Joining && !Forming)
      return false;
    for (const auto &[Rank, Each] : Group.ByRank)
      Bound.insert(Each->Listed.Id);
    countGroup(Head, Group.Model);
    State.HeadOf[Key.second] = Head.Listed.Id;
    if (serving(Head)) {
      State.Forming.erase(Key.second);
      ++Summaries[Group.Model].Serving;
    }
    bool Lapsed =
        std::any_of(Group.ByRank.begin(), Group.ByRank.end(),
                    [](const auto &Each) { return Each.second->Lapsed; });
    if (AllReady && !Lapsed && due(openLabel(Head)))
      order({OrderKind::Open, Head.Listed.Id, Key.first, Key.second,
             Group.Model});
    return true;
  }

  // The members of a group whose head may serve take part in no other group.
  void endGroup(const GroupKey &Key, const SeenGroup &Group,
                const PlannedInstance &Head) {
    bool Lost = false;
    for (const auto &[Rank, Each] : Group.ByRank)
      Lost = Lost || Each->State != Liveness::Alive;
    bindStranded(Group);
    const ModelShape *Model = findModel(Service, Group.Model);
    Lost = Lost || !Model ||
           Group.ByRank.size() < static_cast<std::size_t>(Model->GroupSize);
    State.Forming.erase(Key.second);
    State.HeadOf[Key.second] = Head.Listed.Id;
    bool OnlyZoneOut = std::all_of(
        Group.ByRank.begin(), Group.ByRank.end(), [](const auto &Each) {
          return Each.second->ZoneOut && !Each.second->Listed.Draining &&
                 Each.second->State == Liveness::Alive;
        });
    if ((OnlyZoneOut && !Lost) || Head.State != Liveness::Alive)
      return;
    if (Head.Listed.Group->Phase == MemberPhase::Closing && !Lost)
      return;
    bool Cut = Lost || !serving(Head);
    OrderKind Kind = Cut ? OrderKind::Leave : OrderKind::Close;
    if (due((Cut ? "leave " : "close ") + Head.Listed.Id.str() + Key.first))
      order({Kind, Head.Listed.Id, Key.first, Key.second, Group.Model});
  }

  void countGroup(const PlannedInstance &Head, const std::string &Model) {
    ++Domains[Head.Listed.Domain].Models[Model].Groups;
    GroupedEngines[Model] += sizeOf(Model);
  }

  int sizeOf(const std::string &Model) const {
    const ModelShape *Found = findModel(Service, Model);
    return Found ? Found->GroupSize : 1;
  }

  // Repeats joins that have had no effect.
  void continueForming(const Formation &Forming) {
    bool Any = false;
    for (const InstanceId &Id : Forming.Members) {
      const PlannedInstance *Each = find(Id);
      if (!Each)
        continue;
      Bound.insert(Id);
      Any = true;
      if (!inGroup(*Each, Forming) && usable(*Each) &&
          due("join " + Id.str() + Forming.Group))
        order(joinOrder(Forming, Id));
    }
    bool Counted =
        Groups.contains({Forming.Group, Forming.Epoch}) && allIn(Forming);
    if (Any && !Counted) {
      const PlannedInstance *First = find(Forming.Members.front());
      if (First)
        countGroup(*First, Forming.Model);
    }
  }

  bool allIn(const Formation &Forming) const {
    return std::all_of(Forming.Members.begin(), Forming.Members.end(),
                       [&](const InstanceId &Id) {
                         const PlannedInstance *Found = find(Id);
                         return Found && inGroup(*Found, Forming);
                       });
  }

  const PlannedInstance *find(const InstanceId &Id) const {
    auto Found = ById.find(Id);
    return Found == ById.end() ? nullptr : Found->second;
  }

  static GroupOrder joinOrder(const Formation &Forming, const InstanceId &To) {
    return {OrderKind::Join, To, Forming.Group, Forming.Epoch, Forming.Model,
            Forming.Members, 0};
  }

  void collectDomains() {
    for (const PlannedInstance &Each : Engines) {
      if (!usable(Each))
        continue;
      EngineDomain &Own = Domains[Each.Listed.Domain];
      Own.Zone = Each.Listed.Zone;
      Own.Usable.push_back(&Each);
      for (const std::string &Model : stagedOrLoading(Each))
        ++Own.Models[Model].Staged;
      bool Available = !Bound.contains(Each.Listed.Id) && !loading(Each);
      for (const std::string &Model : Each.Listed.Staged)
        Own.Models[Model].Available += Available;
      // Those of a broken group are free within seconds: the domain goes on to
      // need the spares that make the group whole again.
      if (Bound.contains(Each.Listed.Id))
        ++Own.InGroups;
      else if (!Stranded.contains(Each.Listed.Id))
        Own.Free.push_back(&Each);
    }
  }

  std::vector<std::string> stagedOrLoading(const PlannedInstance &Each) const {
    auto Found = State.Loading.find(Each.Listed.Id);
    if (Found != State.Loading.end())
      return {Found->second.Model};
    return Each.Listed.Staged;
  }

  static bool staged(const PlannedInstance &Each, const std::string &Model) {
    const std::vector<std::string> &Names = Each.Listed.Staged;
    return std::find(Names.begin(), Names.end(), Model) != Names.end();
  }

  bool loading(const PlannedInstance &Each) const {
    return State.Loading.contains(Each.Listed.Id);
  }

  void formGroups(EngineDomain &Own) {
    for (const ModelShape *Model : modelsByNeed(Service, GroupedEngines)) {
      while (formOne(Own, *Model)) {
      }
    }
  }

  bool formOne(EngineDomain &Own, const ModelShape &Model) {
    DomainModel &Count = Own.Models[Model.Name];
    std::vector<const PlannedInstance *> Ready;
    std::vector<const PlannedInstance *> Blank;
    for (const PlannedInstance *Each : Own.Free) {
      if (loading(*Each))
        continue;
      if (staged(*Each, Model.Name))
        Ready.push_back(Each);
      else if (Each->Listed.Staged.empty())
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
    sortCandidates(Ready, Model);
    Ready.resize(Size);
    if (!FirstStart && !confirmed(Own, Ready))
      return false;
    startForming(Own, Model, Ready);
    return true;
  }

  // Whether all Chosen have just told their state themselves; the others are
  // asked, and none is used for another group before they answer.
  bool confirmed(EngineDomain &Own,
                 const std::vector<const PlannedInstance *> &Chosen) {
    bool All = true;
    for (const PlannedInstance *Each : Chosen) {
      if (Each->Confirmed)
        continue;
      check(*Each);
      All = false;
    }
    if (!All)
      std::erase_if(Own.Free, [&](const PlannedInstance *Each) {
        return std::find(Chosen.begin(), Chosen.end(), Each) != Chosen.end();
      });
    return All;
  }

  // Engines that were in a group of the model join it fastest; a cold one is
  // not made the head.
  void sortCandidates(std::vector<const PlannedInstance *> &Candidates,
                      const ModelShape &Model) const {
    auto Rank = [&](const PlannedInstance *Each) {
      auto Last = State.LastModel.find(Each->Listed.Id);
      bool Was = Last != State.LastModel.end() && Last->second == Model.Name;
      bool Slow = Each->Listed.Pace > 1.5;
      return std::tuple(Slow, !staged(*Each, Model.Name), Each->Cold, !Was);
    };
    std::stable_sort(
        Candidates.begin(), Candidates.end(),
        [&](const auto *A, const auto *B) { return Rank(A) < Rank(B); });
  }

  void startForming(EngineDomain &Own, const ModelShape &Model,
                    const std::vector<const PlannedInstance *> &Chosen) {
    Formation Made;
    Made.Epoch = State.NextEpoch++;
    Made.Group = groupName(Model.Name, Made.Epoch);
    Made.Model = Model.Name;
    Duration Expected = Model.WarmStart;
    for (const PlannedInstance *Each : Chosen) {
      Made.Members.push_back(Each->Listed.Id);
      if (staged(*Each, Model.Name))
        continue;
      Expected = Model.Load * 2;
      noteLoad(Each->Listed.Id, Model);
    }
    Made.GiveUpAt = Now + Expected + State.Settings.FormationMargin;
    for (const InstanceId &Id : Made.Members) {
      due("join " + Id.str() + Made.Group);
      order(joinOrder(Made, Id));
      Bound.insert(Id);
    }
    for (auto &[Name, Each] : Domains)
      std::erase_if(Each.Free, [&](const PlannedInstance *Engine) {
        return Bound.contains(Engine->Listed.Id);
      });
    ++Own.Models[Model.Name].Groups;
    GroupedEngines[Model.Name] += Model.GroupSize;
    State.Forming[Made.Epoch] = std::move(Made);
  }

  bool loadsAllowed(int Count) const {
    int Running = static_cast<int>(State.Loading.size());
    auto Started = static_cast<double>(State.LoadStarts.size());
    // Loads of the first start are short, and last as long as the number that
    // run at their beginning makes them: the earlier all begin, the better.
    return FirstStart || (Running + Count <= Shape.LoadsAtOnce &&
                          Started + Count <= Shape.LoadsPerSecond);
  }

  void noteLoad(const InstanceId &Id, const ModelShape &Model) {
    State.Loading[Id] = {Model.Name, Now + Model.Load * 2};
    State.LoadStarts.push_back(Now);
  }

  // Loads weights on free engines where a domain has too few for its groups and
  // spares.
  void stageWeights(EngineDomain &Own) {
    for (const PlannedInstance *Each : Own.Free) {
      if (loading(*Each) || !loadsAllowed(1))
        continue;
      const ModelShape *Model = wantedStage(Own, *Each);
      if (!Model || !due("stage " + Each->Listed.Id.str() + Model->Name))
        continue;
      for (const std::string &Old : Each->Listed.Staged)
        --Own.Models[Old].Staged;
      ++Own.Models[Model->Name].Staged;
      noteLoad(Each->Listed.Id, *Model);
      order({OrderKind::Stage, Each->Listed.Id, {}, 0, Model->Name});
    }
  }

  // The free members of a group that has ended leave it, so that another holder
  // of the duty need not wait for a head that it has never seen.
  void releaseSurvivors(const EngineDomain &Own) {
    for (const PlannedInstance *Each : Own.Free) {
      if (!Each->Listed.Group)
        continue;
      const Membership &Place = *Each->Listed.Group;
      if (due("leave " + Each->Listed.Id.str() + Place.Group))
        order({OrderKind::Leave, Each->Listed.Id, Place.Group, Place.Epoch,
               modelOfGroup(Place.Group)});
    }
  }

  const ModelShape *wantedStage(const EngineDomain &Own,
                                const PlannedInstance &Each) {
    for (const std::string &Old : Each.Listed.Staged) {
      auto Since = State.SurplusSince.find({Each.Listed.Domain, Old});
      auto Has = Own.Models.find(Old);
      if (Since == State.SurplusSince.end() ||
          Now - Since->second < State.Settings.SurplusWait ||
          Has->second.Staged <= Has->second.WantedStaged)
        return nullptr;
    }
    const ModelShape *Best = nullptr;
    int BestMissing = 0;
    for (const ModelShape &Model : Shape.Models) {
      if (!Each.Listed.Staged.empty() &&
          !mayReplaceWeights(Domains, Service, Each.Listed.Staged.front(),
                             Model))
        continue;
      auto Found = Own.Models.find(Model.Name);
      if (Found == Own.Models.end())
        continue;
      int Missing = Found->second.WantedStaged - Found->second.Staged;
      if (Missing > BestMissing) {
        Best = &Model;
        BestMissing = Missing;
      }
    }
    return Best;
  }

  GroupPlanState &State;
  const std::vector<PlannedInstance> &Engines;
  const EngineShape &Shape;
  const ServiceShape &Service;
  bool FirstStart;
  TimePoint Now;
  std::map<InstanceId, const PlannedInstance *> ById;
  std::map<GroupKey, SeenGroup> Groups;
  EngineDomains Domains;
  ModelEngines GroupedEngines;
  std::map<std::string, ModelSummary> Summaries; // by model
  std::set<InstanceId> Bound;                    // to groups that serve or form
  std::set<InstanceId> Stranded; // in broken groups whose head may serve
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
