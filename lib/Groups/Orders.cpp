#include "samphirehill/Groups/Orders.h"

#include "samphirehill/Groups/GroupHealth.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace samphirehill {
namespace {

using Actions = std::vector<OrdersAction>;

std::string_view nameOf(OrderType Type) {
  switch (Type) {
  case OrderType::Load:
    return "load";
  case OrderType::Unload:
    return "unload";
  case OrderType::Adapter:
    return "adapter";
  case OrderType::Role:
    return "role";
  }
  return "";
}

bool isUnderWay(const EngineOrders &Engine) {
  return Engine.Phase == OrderPhase::Sent ||
         Engine.Phase == OrderPhase::Unsettled;
}

bool hasRole(const EngineReport &Report, const EngineTarget &Target) {
  if (Report.Group != Target.Group)
    return false;
  if (Target.Group.empty())
    return true;
  return Report.Generation == Target.Generation &&
         Report.Members == Target.Members && Report.Model == Target.Model &&
         Report.Version == Target.Version && Report.State != EngineState::Idle;
}

std::string missingAdapter(const EngineReport &Report,
                           const EngineTarget &Target) {
  if (Target.Group.empty() || !Report.isLoaded())
    return "";
  for (const std::string &Adapter : Target.Adapters)
    if (std::find(Report.Adapters.begin(), Report.Adapters.end(), Adapter) ==
        Report.Adapters.end())
      return Adapter;
  return "";
}

// Tells whether Report shows that the engine has carried out Sent.
bool shows(const EngineReport &Report, const Order &Sent) {
  if (Sent.Type == OrderType::Adapter)
    return std::find(Report.Adapters.begin(), Report.Adapters.end(),
                     Sent.Adapter) != Report.Adapters.end();
  return hasRole(Report, {Sent.Group,
                          Sent.Generation,
                          Sent.Model,
                          Sent.Version,
                          {},
                          Sent.Members,
                          Sent.Rank});
}

Order makeOrder(OrdersState &State, const EngineOrders &Engine) {
  const EngineTarget &Target = Engine.Target;
  const EngineReport &Report = *Engine.Report;
  Order Value;
  Value.OrderId = State.Self.Entry.str() + "." +
                  std::to_string(State.Self.Start) + "." +
                  std::to_string(++State.Count);
  Value.Fence = State.Fence;
  Value.Group = Target.Group;
  Value.Generation = Target.Generation;
  Value.Model = Target.Model;
  Value.Version = Target.Version;
  Value.Members = Target.Members;
  Value.Rank = Target.Rank;
  bool HasWeights = Report.isLoaded() && Report.Model == Target.Model &&
                    Report.Version == Target.Version;
  if (Target.Group.empty()) {
    Value.Type = OrderType::Unload;
  } else if (!HasWeights) {
    Value.Type = OrderType::Load;
  } else if (!hasRole(Report, Target)) {
    Value.Type = OrderType::Role;
  } else {
    Value.Type = OrderType::Adapter;
    Value.Adapter = missingAdapter(Report, Target);
  }
  return Value;
}

void enter(EngineOrders &Engine, OrderPhase Phase, TimePoint Now) {
  if (Engine.Phase != Phase)
    Engine.Since = Now;
  Engine.Phase = Phase;
}

void depose(OrdersState &State, std::uint64_t Fence, Actions &Out) {
  State.DeposedBy = std::max(State.DeposedBy, Fence);
  State.IsController = false;
  Out.emplace_back(ReadPlacement{Fence});
}

// Tells whether the engine has to change its group while orders of a former
// controller may still take effect on it.
bool awaitsTakeover(const OrdersState &State, const EngineOrders &Engine) {
  return Engine.Report->Group != Engine.Target.Group && !Engine.ChecksFence &&
         !State.FormerSettled;
}

// Settles an order that was answered or whose answer was lost. Returns false
// while the order needs more time or a newer report, or was sent again.
bool settle(const OrdersState &State, EngineOrders &Engine,
            const InstanceId &Name, TimePoint Now, Actions &Out) {
  if (!Engine.Report || Engine.Report->At <= Engine.Since)
    return false;
  if (shows(*Engine.Report, *Engine.Last)) {
    enter(Engine, OrderPhase::Idle, Now);
    return true;
  }
  if (!State.IsController) {
    // An order whose answer was lost may still wait in the engine. Only a
    // report after OrderSettleTime that doesn't show the order proves that the
    // order never arrived.
    bool NeverDelivered =
        !Engine.WasLost || Engine.Report->At - Engine.Since >= OrderSettleTime;
    if (NeverDelivered)
      enter(Engine, OrderPhase::Idle, Now);
    return NeverDelivered;
  }
  if (Now - Engine.Since < OrderRetryTime)
    return false;
  const Order &Last = *Engine.Last;
  bool IsCurrent = Last.Fence == State.Fence &&
                   Last.Group == Engine.Target.Group &&
                   Last.Generation == Engine.Target.Generation &&
                   Last.Members == Engine.Target.Members;
  if (Engine.WasLost && IsCurrent && !awaitsTakeover(State, Engine)) {
    enter(Engine, OrderPhase::Sent, Now);
    Out.emplace_back(SendOrder{Name, Last});
    return false;
  }
  enter(Engine, OrderPhase::Idle, Now);
  return true;
}

void advance(OrdersState &State, const InstanceId &Name, EngineOrders &Engine,
             TimePoint Now, Actions &Out) {
  if (Engine.Phase == OrderPhase::Sent) {
    if (Now - Engine.Since < OrderTimeout)
      return;
    enter(Engine, OrderPhase::Unsettled, Now);
    Engine.WasLost = true;
    Engine.MayArriveUntil = Now + OrderSettleTime;
    Out.emplace_back(ReadStatus{Name});
  }
  if (Engine.Phase == OrderPhase::Unsettled &&
      !settle(State, Engine, Name, Now, Out))
    return;
  if (!State.IsController || !Engine.HasTarget || !Engine.Report ||
      Now - Engine.Report->At > ReportAgeLimit ||
      satisfies(*Engine.Report, Engine.Target)) {
    enter(Engine, OrderPhase::Idle, Now);
    return;
  }
  const EngineReport &Report = *Engine.Report;
  if (Report.Fence > State.Fence) {
    enter(Engine, OrderPhase::Idle, Now);
    return depose(State, Report.Fence, Out);
  }
  if (awaitsTakeover(State, Engine))
    return enter(Engine, OrderPhase::AwaitsTakeover, Now);
  bool KeepsRole = hasRole(Report, Engine.Target);
  if (!KeepsRole && Report.Running + Report.Queued > 0) {
    enter(Engine, OrderPhase::Draining, Now);
    if (Now - Engine.Since < State.DrainLimit)
      return;
  }
  Engine.Last = makeOrder(State, Engine);
  Engine.WasLost = false;
  enter(Engine, OrderPhase::Sent, Now);
  Out.emplace_back(SendOrder{Name, *Engine.Last});
}

void apply(OrdersState &State, const PlacementStored &Event) {
  // The result of a read that arrives after that of a later read must not make
  // a former controller the controller again.
  if (Event.Stored.Fence < State.Fence)
    return;
  State.Fence = Event.Stored.Fence;
  State.IsController =
      Event.Stored.Controller == State.Self && State.DeposedBy <= State.Fence;
  State.FormerSettled = Event.Stored.AckFence == State.Fence;
  State.AcknowledgementPending =
      std::any_of(Event.Stored.Former.begin(), Event.Stored.Former.end(),
                  [&](const FormerController &Element) {
                    return Element.Run == State.Self;
                  });
  std::erase_if(State.Engines, [&](const auto &Element) {
    return !Event.ChecksFence.contains(Element.first);
  });
  for (const auto &[Name, ChecksFence] : Event.ChecksFence) {
    EngineOrders &Engine = State.Engines[Name];
    Engine.ChecksFence = ChecksFence;
    auto Target = Event.Targets.find(Name);
    Engine.HasTarget = Target != Event.Targets.end();
    if (Engine.HasTarget)
      Engine.Target = Target->second;
  }
}

void apply(OrdersState &State, const ReportReceived &Event) {
  auto Place = State.Engines.find(Event.Report.Name);
  if (Place == State.Engines.end())
    return;
  std::optional<EngineReport> &Known = Place->second.Report;
  if (!Known || Known->At <= Event.Report.At)
    Known = Event.Report;
}

// Returns the orders of the engine if OrderId is its order in progress, or else
// nullptr.
EngineOrders *findWaiting(OrdersState &State, const InstanceId &Name,
                          const std::string &OrderId) {
  auto Place = State.Engines.find(Name);
  if (Place == State.Engines.end() || !isUnderWay(Place->second) ||
      Place->second.Last->OrderId != OrderId)
    return nullptr;
  return &Place->second;
}

void apply(OrdersState &State, const OrderAnswered &Event, TimePoint Now,
           Actions &Out) {
  EngineOrders *Engine = findWaiting(State, Event.Engine, Event.OrderId);
  if (!Engine)
    return;
  Engine->Phase = OrderPhase::Unsettled;
  Engine->Since = Now;
  Engine->WasLost = false;
  if (!Event.Accepted && Event.Fence > Engine->Last->Fence)
    depose(State, Event.Fence, Out);
  Out.emplace_back(ReadStatus{Event.Engine});
}

void apply(OrdersState &State, const OrderAnswerLost &Event, TimePoint Now,
           Actions &Out) {
  EngineOrders *Engine = findWaiting(State, Event.Engine, Event.OrderId);
  if (!Engine || Engine->Phase != OrderPhase::Sent)
    return;
  Engine->Phase = OrderPhase::Unsettled;
  Engine->Since = Now;
  Engine->WasLost = true;
  Engine->MayArriveUntil = Now + OrderSettleTime;
  Out.emplace_back(ReadStatus{Event.Engine});
}

bool hasOldOrderUnderWay(const OrdersState &State, TimePoint Now) {
  return std::any_of(
      State.Engines.begin(), State.Engines.end(), [&](const auto &Element) {
        const EngineOrders &Engine = Element.second;
        bool HasOld = isUnderWay(Engine) && Engine.Last->Fence < State.Fence;
        return HasOld || Now < Engine.MayArriveUntil;
      });
}

} // namespace

bool satisfies(const EngineReport &Report, const EngineTarget &Target) {
  return hasRole(Report, Target) && missingAdapter(Report, Target).empty();
}

nlohmann::json toJson(const Order &Value) {
  nlohmann::json Members = nlohmann::json::array();
  for (const InstanceId &Member : Value.Members)
    Members.push_back(Member.str());
  return {{"orderId", Value.OrderId},      {"fence", Value.Fence},
          {"type", nameOf(Value.Type)},    {"model", Value.Model},
          {"version", Value.Version},      {"adapter", Value.Adapter},
          {"group", Value.Group.str()},    {"generation", Value.Generation},
          {"members", std::move(Members)}, {"rank", Value.Rank}};
}

std::map<InstanceId, EngineTarget>
targetsOf(const Placement &Stored, const std::vector<OperatorsText> &Texts,
          const std::vector<InstanceId> &Engines) {
  std::map<InstanceId, EngineTarget> Targets;
  for (const InstanceId &Name : Engines)
    Targets[Name] = {};
  for (const Group &Element : Stored.Groups) {
    const Service *Spec = nullptr;
    for (const OperatorsText &Text : Texts)
      if (const Service *Found = Text.findService(Element.Service))
        Spec = Found;
    int Rank = 0;
    for (const InstanceId &Member : Element.Members) {
      auto Place = Targets.find(Member);
      int MemberRank = Rank++;
      if (Place == Targets.end())
        continue;
      if (Spec)
        Place->second = {Element.Name,    Element.Generation, Spec->Model,
                         Element.Version, Spec->Adapters,     Element.Members,
                         MemberRank};
      else
        Targets.erase(Place);
    }
  }
  return Targets;
}

std::map<InstanceId, bool> fenceChecks(const Placement &Stored,
                                       const std::vector<OperatorsText> &Texts,
                                       const std::vector<InstanceId> &Engines) {
  std::map<InstanceId, const Group *> Groups;
  for (const Group &Element : Stored.Groups)
    for (const InstanceId &Member : Element.Members)
      Groups[Member] = &Element;
  // An engine in no group has no service, so only an override can apply to it.
  const Service NoService;
  std::map<InstanceId, bool> Checks;
  for (const InstanceId &Name : Engines) {
    auto Place = Groups.find(Name);
    bool Value = false;
    for (const OperatorsText &Text : Texts) {
      const Service *Spec = Place == Groups.end()
                                ? nullptr
                                : Text.findService(Place->second->Service);
      Value = Value || Text.checksFence(Spec ? *Spec : NoService, Name);
    }
    Checks[Name] = Value;
  }
  return Checks;
}

std::vector<OrdersAction> step(OrdersState &State, const OrdersEvent &Event,
                               TimePoint Now) {
  Actions Out;
  if (const auto *Stored = std::get_if<PlacementStored>(&Event))
    apply(State, *Stored);
  else if (const auto *Reported = std::get_if<ReportReceived>(&Event))
    apply(State, *Reported);
  else if (const auto *Answered = std::get_if<OrderAnswered>(&Event))
    apply(State, *Answered, Now, Out);
  else if (const auto *Lost = std::get_if<OrderAnswerLost>(&Event))
    apply(State, *Lost, Now, Out);

  // A report changes only its own engine. Advancing all engines for each report
  // would cost 1,300 times as much at 1,300 engines.
  if (const auto *Reported = std::get_if<ReportReceived>(&Event)) {
    auto Place = State.Engines.find(Reported->Report.Name);
    if (Place != State.Engines.end())
      advance(State, Place->first, Place->second, Now, Out);
    return Out;
  }
  for (auto &[Name, Engine] : State.Engines)
    advance(State, Name, Engine, Now, Out);
  if (State.AcknowledgementPending && !hasOldOrderUnderWay(State, Now))
    Out.emplace_back(AcknowledgeTakeover{State.Fence});
  return Out;
}

} // namespace samphirehill
