#include "Groups/Simulation.h"

#include "Groups/Fleet.h"

#include <algorithm>
#include <utility>

namespace samphirehill::test {

Simulation::Simulation(SimulationFaults Faults)
    : Faults(Faults), Now(Start),
      Texts({textOf({modelService("a", 2, 2), modelService("b", 3, 1)}, 2)}),
      Fleet(engines({6, 4})) {
  int Number = 0;
  for (const Instance &Value : Fleet) {
    Engine &Added = Engines[Value.Name];
    Added.Truth.Name = Value.Name;
    Added.Truth.Boot = BootId(std::to_string(++Boots));
    Added.ChecksFence = ++Number % 2 == 0;
    Added.LastUp = Now;
    Added.RoleSince = Now;
  }
  for (std::size_t I = 0; I < Controllers.size(); ++I) {
    Controllers[I].Orders.Self = {EntryId("entry-" + std::to_string(I)), 1};
    read(Controllers[I]);
  }
}

void Simulation::note(const std::string &Text) {
  if (Violation.empty())
    Violation = Text;
}

void Simulation::advance(Duration Span) {
  Now += Span;
  for (auto &[Name, Value] : Engines)
    if (Value.isUp())
      Value.LastUp = Now;
}

void Simulation::report(Engine &Value) {
  if (!Value.isUp())
    return;
  Value.LastUp = Now;
  Value.Truth.At = Now;
  Reports[Value.Truth.Name] = Value.Truth;
  for (Controller &Reader : Controllers)
    feed(Reader, ReportReceived{Value.Truth});
}

void Simulation::toggleDeath(Engine &Value) {
  Value.IsDead = !Value.IsDead;
  if (Value.IsDead) {
    Value.DiedAt = Now;
    return;
  }
  // The engine restarts as a new process without any earlier state.
  InstanceId Name = Value.Truth.Name;
  Value.Truth = {};
  Value.Truth.Name = Name;
  Value.Truth.Boot = BootId(std::to_string(++Boots));
  Value.RoleSince = Now;
  Value.LastFence = 0;
  Value.LastChangedGroup = false;
}

void Simulation::read(Controller &Value) {
  Value.Known = Stored;
  Value.KnownVersion = StoredVersion;
  std::vector<InstanceId> Names;
  for (const Instance &Listed : Fleet)
    Names.push_back(Listed.Name);
  PlacementStored Event{Stored, targetsOf(Stored, Texts, Names), {}};
  for (const auto &[Name, Listed] : Engines)
    Event.ChecksFence[Name] = Listed.ChecksFence;
  if (Faults.NoTakeoverWait)
    Event.Stored.AckFence = Event.Stored.Fence;
  feed(Value, Event);
}

PlannerInput Simulation::plannerInput(const Controller &Value) const {
  PlannerInput Input;
  Input.Zone = ZoneId("z");
  Input.Texts = Texts;
  for (const Instance &Listed : Fleet) {
    const Engine &Known = Engines.at(Listed.Name);
    // The instance list shows the death of an engine only after two seconds.
    if (!Known.IsDead || Now - Known.DiedAt < seconds(2))
      Input.Instances.push_back(Listed);
  }
  Input.Reports = Reports;
  Input.CollectingSince = Start;
  Input.Current = Value.Known;
  Input.Now = Now;
  return Input;
}

void Simulation::decide(Controller &Value) {
  Value.PendingVersion = Value.KnownVersion;
  if (Value.Known.Controller != Value.Orders.Self) {
    Value.Pending = takeOver(Value.Known, Value.Orders.Self);
    return;
  }
  PlannerInput Input = plannerInput(Value);
  auto Healths = evaluate(Value);
  Input.Rebooted = rebootedGroups(Healths);
  for (const auto &[Name, Health] : Healths)
    if (Health.serves())
      Input.Serving.insert(Name);
  Value.Pending = plan(Input).Next;
}

void Simulation::write(Controller &Value, bool AnswerIsLost) {
  if (!Value.Pending)
    return;
  Placement Next = std::move(*Value.Pending);
  Value.Pending.reset();
  bool Wins = Value.PendingVersion == StoredVersion;
  if (!Wins && Faults.SeparateClaims) {
    for (Group &Element : Next.Groups) {
      Element.Name =
          GroupId(Element.Name.str() + "." + std::to_string(StoredVersion));
      Stored.Groups.push_back(std::move(Element));
    }
    ++StoredVersion;
    return;
  }
  if (!Wins && !Faults.UnconditionalWrites)
    return read(Value);
  if (Next != Stored) {
    if (Next.Fence < Stored.Fence)
      note("the fence went back");
    Stored = std::move(Next);
    ++StoredVersion;
    auto [Place, IsNew] = FenceOwners.emplace(Stored.Fence, Stored.Controller);
    if (!IsNew && Place->second != Stored.Controller)
      note("two controllers have the same fence");
  }
  if (!AnswerIsLost)
    read(Value);
}

void Simulation::settleFormerControllers(Controller &Value) {
  std::uint64_t Fence = std::exchange(Value.AcknowledgesFence, 0);
  if (Fence != 0 && Fence == Value.Known.Fence) {
    Value.PendingVersion = Value.KnownVersion;
    Value.Pending = settleFormer(Value.Known, Value.Orders.Self);
    return write(Value, false);
  }
  for (const FormerController &Former : Value.Known.Former) {
    if (!Gone.contains(Former.Run))
      continue;
    Value.PendingVersion = Value.KnownVersion;
    Value.Pending = settleFormer(Value.Known, Former.Run);
    return write(Value, false);
  }
}

void Simulation::restart(Controller &Value) {
  EntryRun Self = Value.Orders.Self;
  Gone.insert(Self);
  Value = {};
  Value.Orders.Self = {Self.Entry, Self.Start + 1};
  read(Value);
}

void Simulation::deliver(Controller &Value, std::size_t Index) {
  Flight Sent = Value.Flights[Index];
  Engine &To = Engines.at(Sent.To);
  if (!To.isUp())
    return;
  Value.Flights.erase(Value.Flights.begin() + static_cast<long>(Index));
  const Order &Received = Sent.Value;
  bool IsOld = Received.Fence < To.LastFence;
  bool Accepts = !IsOld || !To.ChecksFence;
  if (Accepts) {
    if (IsOld && To.LastChangedGroup)
      note("an order of a former controller overrode a newer one");
    To.LastChangedGroup = Sent.ChangesGroup;
    To.LastFence = Received.Fence;
    EngineReport &Truth = To.Truth;
    Truth.Group = Received.Group;
    Truth.Generation = Received.Generation;
    Truth.Members = Received.Members;
    Truth.Model = Received.Model;
    Truth.Version = Received.Version;
    Truth.State =
        Received.Group.empty() ? EngineState::Idle : EngineState::Warm;
    Truth.Fence = To.ChecksFence ? Received.Fence : 0;
    To.RoleSince = Now;
  }
  if (!Sent.LostAt)
    feed(Value,
         OrderAnswered{Sent.To, Received.OrderId, Accepts, To.LastFence});
}

// Loses the answer to an order. The order itself may still arrive.
void Simulation::lose(Controller &Value, std::size_t Index) {
  Flight &Sent = Value.Flights[Index];
  if (Sent.LostAt)
    return;
  Sent.LostAt = Now;
  OrderAnswerLost Event{Sent.To, Sent.Value.OrderId};
  feed(Value, Event);
}

void Simulation::feed(Controller &Value, const OrdersEvent &Event) {
  for (const OrdersAction &Action :
       samphirehill::step(Value.Orders, Event, Now)) {
    if (const auto *Send = std::get_if<SendOrder>(&Action))
      Value.Flights.push_back(
          {Send->Engine, Send->Value,
           Value.Orders.Engines.at(Send->Engine).Report->Group !=
               Send->Value.Group,
           std::nullopt});
    else if (const auto *Acknowledge =
                 std::get_if<AcknowledgeTakeover>(&Action))
      Value.AcknowledgesFence = Acknowledge->Fence;
  }
  // The sender closes the connection of an order when it stops waiting for the
  // answer, so the answer is lost.
  for (Flight &Sent : Value.Flights) {
    const EngineOrders &Of = Value.Orders.Engines.at(Sent.To);
    bool Waits = Of.Phase == OrderPhase::Sent && Of.Last == Sent.Value;
    if (!Waits && !Sent.LostAt)
      Sent.LostAt = Now;
  }
}

std::map<GroupId, GroupHealth> Simulation::evaluate(Controller &Value) {
  EngineReports Seen = Reports;
  for (auto &[Name, Report] : Seen) {
    if (Faults.IgnoreReportAge)
      Report.At = Now;
    const Group *Of = Value.Known.groupOf(Name);
    if (!Faults.TrustPlacement || !Of)
      continue;
    Report.Group = Of->Name;
    Report.Generation = Of->Generation;
    Report.Members = Of->Members;
    Report.Version = Of->Version;
    Report.State = EngineState::Warm;
  }
  return evaluateGroups(Value.Health, Value.Known, Seen, Now);
}

void Simulation::check() {
  for (const std::string &Problem : findProblems(Stored))
    note(Problem);
  std::map<InstanceId, GroupId> Serves;
  for (Controller &View : Controllers) {
    for (const auto &[Name, Health] : evaluate(View)) {
      if (!Health.serves())
        continue;
      for (const InstanceId &Member : View.Known.findGroup(Name)->Members) {
        const Engine &Value = Engines.at(Member);
        if (Now - Value.LastUp > ReportAgeLimit)
          note("a group serves with a member missing");
        if (Value.Truth.Group != Name && Now - Value.RoleSince > ReportAgeLimit)
          note("a group serves with a member of another group");
        auto [Place, IsNew] = Serves.emplace(Member, Name);
        if (!IsNew && Place->second != Name)
          note("an instance serves in two groups");
      }
    }
  }
}

void Simulation::step(unsigned Choice) {
  Controller &Actor = Controllers[Choice % 2];
  unsigned Detail = Choice / 2 / 16;
  auto Picked =
      std::next(Engines.begin(), static_cast<long>(Detail % Engines.size()));
  std::size_t Flight =
      Actor.Flights.empty() ? 0 : Detail % Actor.Flights.size();
  std::erase_if(Actor.Flights, [&](const auto &Sent) {
    return Sent.LostAt && Now - *Sent.LostAt >= OrderSettleTime;
  });
  bool HasFlight = Flight < Actor.Flights.size();
  switch (Choice / 2 % 16) {
  case 0:
    toggleDeath(Picked->second);
    break;
  case 1:
    Picked->second.IsPaused = !Picked->second.IsPaused;
    break;
  case 2:
    read(Actor);
    break;
  case 3:
  case 4:
    decide(Actor);
    break;
  case 5:
  case 6:
    write(Actor, false);
    break;
  case 7:
    write(Actor, true);
    break;
  case 8:
    settleFormerControllers(Actor);
    break;
  case 9:
    if (Detail % 4 == 0)
      restart(Actor);
    break;
  case 10:
    if (HasFlight)
      lose(Actor, Flight);
    break;
  case 11:
    feed(Actor, OrdersTick{});
    break;
  case 12:
    for (auto &[Name, Value] : Engines)
      report(Value);
    break;
  case 13:
    advance(milliseconds(50 + Detail % 1000));
    break;
  default:
    if (HasFlight)
      deliver(Actor, Flight);
    break;
  }
  check();
}

void Simulation::heal() {
  for (auto &[Name, Value] : Engines) {
    Value.IsPaused = false;
    if (Value.IsDead)
      toggleDeath(Value);
  }
  // With 250 ms each, longer than the sum of all waits of the state machines.
  constexpr int Rounds = 120;
  for (int Round = 0; Round < Rounds; ++Round) {
    advance(milliseconds(250));
    for (auto &[Name, Value] : Engines)
      report(Value);
    for (Controller &Actor : Controllers) {
      std::erase_if(Actor.Flights,
                    [](const auto &Sent) { return Sent.LostAt.has_value(); });
      while (!Actor.Flights.empty())
        deliver(Actor, 0);
      read(Actor);
      feed(Actor, OrdersTick{});
      settleFormerControllers(Actor);
    }
    decide(Controllers[0]);
    write(Controllers[0], false);
    check();
  }
  auto Healths = evaluate(Controllers[0]);
  if (Healths.size() != 3)
    note("not all wanted groups are formed after the faults have ended");
  for (const auto &[Name, Health] : Healths)
    if (!Health.serves())
      note("group " + Name.str() + " doesn't serve after the faults have " +
           "ended: " + std::string(toString(Health.Fault)));
}

} // namespace samphirehill::test
