// Orders, loading of weights and the check of the group's members.
#include "standin-engine/Engine.h"

#include <algorithm>

namespace samphirehill::standin {
namespace {

constexpr std::size_t MaxObeyedOrders = 1024;
constexpr Duration InstancesPeriod = seconds(1);

Json refused(std::int64_t Fence, const std::string &Error) {
  return {{"accepted", false}, {"fence", Fence}, {"error", Error}};
}

} // namespace

void Engine::handleOrder(const Request &From, const ResponderPtr &To) {
  Json Order = parseObject(From);
  if (Order.is_discarded() || !Order.contains("orderId") ||
      !Order["orderId"].is_string())
    return sendJson(To, 400, refused(Fence, "bad-request"));
  int Status = 200;
  Json Answer = obey(Order, Status);
  ++Counts[Status == 200 ? "ordersAccepted" : "ordersRefused"];
  if (Faults.LoseOrderAnswers > 0) {
    --Faults.LoseOrderAnswers;
    return To->drop();
  }
  sendJson(To, Status, Answer);
}

Json Engine::obey(const Json &Order, int &Status) {
  std::string OrderId = Order["orderId"].get<std::string>();
  if (auto Found = Obeyed.find(OrderId); Found != Obeyed.end())
    return Found->second;
  std::int64_t Number = 0;
  std::string Type, Model, Version, Adapter;
  take(Order, "fence", Number);
  take(Order, "type", Type);
  take(Order, "model", Model);
  take(Order, "version", Version);
  take(Order, "adapter", Adapter);
  Status = 409;
  if (Options.ChecksFence && Number < Fence)
    return refused(Fence, "stale-fence");
  bool SameModel = Model == Assigned.Model && Version == Assigned.Version;
  if (Type == "load" && !Model.empty()) {
    load(Order);
  } else if (Type == "unload" && Adapter.empty()) {
    forgetAssignment();
    Assigned.OrderId = OrderId;
  } else if (Type == "unload") {
    Adapters.erase(Adapter);
  } else if (Type == "adapter" && !Adapter.empty()) {
    if (Current == Phase::Idle || !SameModel)
      return refused(Fence, "model");
    after(Io, milliseconds(Options.AdapterMs),
          [this, Adapter, Attempt = LoadAttempt] {
            if (Attempt == LoadAttempt)
              Adapters.insert(Adapter);
          });
  } else if (Type == "role") {
    if (Current == Phase::Idle || !SameModel)
      return refused(Fence, "model");
    assign(Order);
  } else {
    Status = 400;
    return refused(Fence, "bad-request");
  }
  Status = 200;
  Fence = Number;
  if (Obeyed.size() >= MaxObeyedOrders)
    Obeyed.clear();
  Json Answer = {{"accepted", true}, {"fence", Fence}};
  Obeyed[OrderId] = Answer;
  return Answer;
}

void Engine::load(const Json &Order) {
  std::string Model, Version;
  take(Order, "model", Model);
  take(Order, "version", Version);
  bool Loaded = Current != Phase::Idle && Model == Assigned.Model &&
                Version == Assigned.Version;
  if (!Loaded)
    forgetAssignment();
  assign(Order);
  if (Loaded)
    return;
  ++Counts["loads"];
  Current = Phase::Loading;
  if (Options.Platform.empty() || !Options.Fetch)
    return finishLoad(LoadAttempt, milliseconds(Options.LoadMs));
  fetchWeights(LoadAttempt);
}

void Engine::assign(const Json &Order) {
  Assignment Next;
  take(Order, "orderId", Next.OrderId);
  take(Order, "model", Next.Model);
  take(Order, "version", Next.Version);
  take(Order, "group", Next.Group);
  take(Order, "generation", Next.Generation);
  take(Order, "rank", Next.Rank);
  take(Order, "members", Next.Members);
  // The running streams' state is spread over the old members.
  if (Next.Members != Assigned.Members || Next.Group != Assigned.Group ||
      Next.Generation != Assigned.Generation)
    dropStreams();
  Assigned = std::move(Next);
  MemberBoots.assign(Assigned.Members.size(), "");
  MemberPresent.assign(Assigned.Members.size(), false);
  ++CheckAttempt;
  checkMembers();
}

void Engine::fetchWeights(std::int64_t Attempt) {
  std::string Url = "http://" + Options.Platform + "/weights/" +
                    Assigned.Model + "/" + Assigned.Version;
  Options.Fetch(Url, [this, Attempt](int Status, const Json &Body) {
    if (Attempt != LoadAttempt)
      return;
    if (Status == 200) {
      std::int64_t LoadMs = Options.LoadMs;
      take(Body, "loadMs", LoadMs);
      return finishLoad(Attempt, milliseconds(LoadMs));
    }
    ++Counts["weightRetries"];
    after(Io, milliseconds(500), [this, Attempt] {
      if (Attempt == LoadAttempt)
        fetchWeights(Attempt);
    });
  });
}

void Engine::finishLoad(std::int64_t Attempt, Duration Delay) {
  after(Io, Delay, [this, Attempt] {
    if (Attempt != LoadAttempt)
      return;
    Current = Phase::Cold;
    WarmAt = now() + milliseconds(Options.WarmMs);
  });
}

bool Engine::asksMembers() const {
  return Options.Fetch && !Options.Platform.empty() && Assigned.Rank == 0 &&
         Assigned.Members.size() > 1;
}

// Addresses that are known stay in use while the platform is down.
void Engine::keepReadingInstances() {
  if (!Options.Fetch || Options.Platform.empty())
    return;
  std::string Url = "http://" + Options.Platform + "/instances";
  Options.Fetch(Url, [this](int Status, const Json &Body) {
    Json Items = Json::array();
    if (Status == 200)
      take(Body, "items", Items);
    for (const Json &Item : Items) {
      std::string Id, Address;
      take(Item, "id", Id);
      take(Item, "address", Address);
      Addresses[Id] = Address;
    }
    after(Io, InstancesPeriod, [this] { keepReadingInstances(); });
  });
}

// Only the leader serves, so only it asks the others.
void Engine::checkMembers() {
  if (!asksMembers())
    return;
  for (std::size_t Rank = 1; Rank < Assigned.Members.size(); ++Rank)
    checkMember(Rank, CheckAttempt);
  after(Io, milliseconds(Options.MemberCheckMs),
        [this, Attempt = CheckAttempt] {
          if (Attempt == CheckAttempt)
            checkMembers();
        });
}

void Engine::checkMember(std::size_t Rank, std::int64_t Attempt) {
  auto Known = Addresses.find(Assigned.Members[Rank]);
  if (Known == Addresses.end())
    return;
  std::string Url = "http://" + Known->second + "/status";
  Options.Fetch(Url, [this, Rank, Attempt](int Status, const Json &Body) {
    if (Attempt == CheckAttempt)
      judgeMember(Rank, Status, Body);
  });
}

void Engine::judgeMember(std::size_t Rank, int Status, const Json &Body) {
  std::string Instance, Group, Boot, State;
  std::int64_t Generation = 0;
  take(Body, "instance", Instance);
  take(Body, "group", Group);
  take(Body, "generation", Generation);
  take(Body, "bootId", Boot);
  take(Body, "state", State);
  bool Ready = State == "cold" || State == "warm";
  bool Present = Status == 200 && Ready && Instance == Assigned.Members[Rank] &&
                 Group == Assigned.Group && Generation == Assigned.Generation;
  if (Present && MemberBoots[Rank].empty())
    MemberBoots[Rank] = Boot;
  Present = Present && MemberBoots[Rank] == Boot;
  bool Lost = MemberPresent[Rank] && !Present;
  MemberPresent[Rank] = Present;
  if (Lost)
    dropStreams();
}

bool Engine::groupWhole() const {
  if (!Faults.GroupWhole)
    return false;
  if (!asksMembers())
    return true;
  return std::all_of(MemberPresent.begin() + 1, MemberPresent.end(),
                     [](bool Present) { return Present; });
}

} // namespace samphirehill::standin
