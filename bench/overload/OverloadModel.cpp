#include "OverloadModel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

namespace samphirehill::bench {
namespace {

using namespace serving;

constexpr Duration Step = milliseconds(5);
constexpr Duration SweepPeriod = milliseconds(50);
constexpr Duration SilenceLimit = milliseconds(1'300);
constexpr Duration RefusingAvoidance = milliseconds(150);
constexpr Duration ReturnDelay = milliseconds(2);
constexpr int MostAttempts = 3;
// How unevenly callers are spread over the entries (sigma of a lognormal).
constexpr double Unevenness = 0.4;

const ServiceId Pool("pool");
const std::string Model = "small";
const ServiceModel Kind{Pool, Model};

struct Request {
  TimePoint AskedAt{};    // first
  TimePoint ReceivedAt{}; // by this entry
  TimePoint SentAt{};
  std::size_t Row = 0;
  std::size_t Entry = 0;
  std::size_t Group = 0;
  std::uint64_t Number = 0;
  std::set<UpstreamKey> Tried;
  bool ExpectsInTime = false;
  TimePoint WaitUntil{};   // when what it was told to expect ends
  std::int64_t Unread = 0; // prompt tokens
  int EventsLeft = 0;
  bool CameBack = false;
  bool First = false; // event has been sent
  bool Moved = false; // left the group before its first event
};
using RequestPtr = std::shared_ptr<Request>;

struct Group {
  UpstreamKey Key;
  std::vector<RequestPtr> Running;
  std::deque<RequestPtr> Queue;
  TimePoint PassEnd{};
};

struct Entry {
  UpstreamBook Book;
  std::vector<RequestPtr> Waiting;
  EventRate Places;
  EventRate Asked;
  EventRate Returned; // of Asked: callers that were refused before
  FirstEventTime Usual;
  FirstEventTime Holding;
  PlaceFlow Flow;              // as of the last choice
  ReturnLoad Given;            // by this entry
  ReturnLoad ReturnsElsewhere; // at the other entries
  TimePoint NextNews{};
  double Weight = 1.0;
};

struct Told {
  TimePoint At{};
  std::vector<std::vector<UpstreamLoad>> Loads; // by entry and group
  std::vector<double> Demands;                  // by entry
  std::vector<ReturnLoad> Returns;              // by entry
};

class Play {
public:
  Play(const OverloadScene &Scene, const OverloadRules &Rules)
      : Scene(Scene), Rules(Rules), Random(Scene.Seed),
        Entries(static_cast<std::size_t>(Scene.Entries)),
        Groups(static_cast<std::size_t>(Scene.Groups)) {
    std::vector<Upstream> Usable;
    for (std::size_t Number = 0; Number < Groups.size(); ++Number) {
      Upstream Made;
      Made.Key = {InstanceId("i" + std::to_string(100 + Number)), 1};
      Made.Service = Pool;
      Made.Model = Model;
      Made.Slots = Scene.Engine.Slots;
      Made.Pace = Scene.Pace;
      Groups[Number].Key = Made.Key;
      Usable.push_back(Made);
    }
    std::lognormal_distribution<double> Weights(0, Unevenness);
    for (Entry &Each : Entries) {
      Each.Book.Limits = Rules.Placement;
      updateUpstreams(Each.Book, Usable);
      Each.Weight = Weights(Random);
      Each.NextNews = Start + fraction(Scene.NewsPeriod);
    }
    auto Rows = static_cast<std::size_t>(Scene.Length / RowLength);
    Result.resize(Rows);
  }

  std::vector<OverloadRow> run() {
    std::vector<double> Weights;
    for (const Entry &Each : Entries)
      Weights.push_back(Each.Weight);
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    for (Now = Start; Now < Start + Scene.WarmUp + Scene.Length; Now += Step) {
      if (isDown() && elapsed() - Scene.DownFrom < Step)
        restart();
      moveGroups();
      remember();
      tellNews();
      arrive(Pick);
      if ((Now - Start) % SweepPeriod == Duration::zero())
        sweep();
      noteSpread();
    }
    return std::move(Result);
  }

private:
  static constexpr TimePoint Start{seconds(100)};

  Duration fraction(Duration Of) {
    return std::chrono::duration_cast<Duration>(
        Of * std::uniform_real_distribution<double>(0, 1)(Random));
  }

  OverloadRow *row(const Request &Of) {
    return Of.Row < Result.size() ? &Result[Of.Row] : nullptr;
  }

  double perSecond() const {
    double Rate = Scene.PerSecond;
    for (const Burst &Each : Scene.Bursts) {
      Duration At = Now - Start - Scene.WarmUp;
      if (At >= Each.Begin && At < Each.End)
        Rate *= Each.Factor;
    }
    constexpr double Circle = 6.283185307179586;
    double Turns =
        toSeconds(Now - Start - Scene.WarmUp) / toSeconds(Scene.Period);
    return Rate * (1 + Scene.Swing * std::sin(Circle * Turns));
  }

  void arrive(std::discrete_distribution<std::size_t> &Pick) {
    std::poisson_distribution<int> Arrivals(perSecond() * toSeconds(Step));
    for (int Left = Arrivals(Random); Left > 0; --Left) {
      auto Made = std::make_shared<Request>();
      Made->AskedAt = Now;
      Duration At = Now - Start - Scene.WarmUp;
      Made->Row = At < Duration::zero()
                      ? Result.size()
                      : static_cast<std::size_t>(At / RowLength);
      if (OverloadRow *Counted = row(*Made))
        ++Counted->Asked;
      if (isDown())
        returnAfterRestart(Made);
      else
        receive(Made, Pick(Random));
    }
    while (!Returning.empty() && Returning.begin()->first <= Now) {
      RequestPtr Back = Returning.begin()->second;
      Returning.erase(Returning.begin());
      receive(Back, Pick(Random));
    }
  }

  Duration elapsed() const { return Now - Start - Scene.WarmUp; }

  bool isDown() const {
    return elapsed() >= Scene.DownFrom && elapsed() < Scene.DownUntil;
  }

  void returnAfterRestart(const RequestPtr &Of) {
    Of->CameBack = true;
    Duration Left = Scene.DownUntil - elapsed();
    Returning.emplace(Now + Left + fraction(Scene.ReturnTime), Of);
  }

  // All entries lose what they know, and the connections of their callers.
  void restart() {
    for (Group &Each : Groups) {
      for (const RequestPtr &Running : Each.Running)
        returnIfUnanswered(Running);
      for (const RequestPtr &Queued : Each.Queue)
        returnIfUnanswered(Queued);
      Each.Running.clear();
      Each.Queue.clear();
    }
    for (Entry &Each : Entries) {
      for (const RequestPtr &Waiting : Each.Waiting)
        returnAfterRestart(Waiting);
      Entry New;
      New.Book = Each.Book;
      for (auto &[Key, State] : New.Book.Upstreams)
        State.OwnLoad = State.PeerLoad = {};
      New.Book.PeerDemand.clear();
      New.NextNews = Each.NextNews;
      New.Weight = Each.Weight;
      Each = std::move(New);
    }
    Past.clear();
  }

  void returnIfUnanswered(const RequestPtr &Of) {
    if (!Of->First)
      returnAfterRestart(Of);
  }

  void receive(const RequestPtr &Taken, std::size_t To) {
    Taken->Entry = To;
    Taken->ReceivedAt = Now;
    Taken->Number = ++Numbers;
    Taken->Tried.clear();
    Entry &At = Entries[To];
    noteEvent(At.Asked, Now);
    if (Taken->CameBack)
      noteEvent(At.Returned, Now);
    if (trySend(Taken))
      return;
    if (!mayWait(At, Taken))
      return refuse(Taken);
    if (OverloadRow *Counted = row(*Taken))
      ++Counted->Waited;
    At.Waiting.push_back(Taken);
    std::vector<WaitingRequest> Ranked;
    for (const RequestPtr &Each : At.Waiting)
      Ranked.push_back(waiting(*Each));
    if (Ranked.size() <= maxQueueLength(Rules.Wait, At.Places, Now))
      return;
    if (std::optional<std::size_t> Last = firstToRefuse(Ranked, Now)) {
      RequestPtr Refused = At.Waiting[*Last];
      std::erase(At.Waiting, Refused);
      refuseWaiting(Refused);
    }
  }

  // Returns whether the request waits, and notes until when.
  bool mayWait(const Entry &At, const RequestPtr &Of) {
    WaitingRequest Own = waiting(*Of);
    WaitQuery Query;
    Query.ObjectiveLeft = Own.StartBy - Now;
    Query.UsefulLeft =
        std::min(Of->AskedAt + Scene.Deadline - Now - 2 * At.Holding.Mean,
                 Rules.Wait.MaxFullWait);
    for (const RequestPtr &Each : At.Waiting)
      Query.Ahead += Each != Of && nextToServe({waiting(*Each), Own}, Now) == 0;
    WaitProspect Found = waitProspect(At.Flow, Rules.Placement.Places, Query);
    Of->ExpectsInTime = Found.InTime;
    Of->WaitUntil = Found.InTime ? Own.StartBy : Now + Found.Bound;
    return Found.Waits;
  }

  void refuseWaiting(const RequestPtr &Of) {
    if (OverloadRow *Counted = row(*Of)) {
      ++Counted->WaitedInVain;
      Counted->HeldLong += Now - Of->ReceivedAt > milliseconds(250);
    }
    refuse(Of);
  }

  WaitingRequest waiting(const Request &Of) const {
    Duration Within =
        maxStartDelay(Rules.Wait, Entries[Of.Entry].Usual, Scene.Objective);
    return {Of.Number, 5, Of.AskedAt + Within, false};
  }

  PlacementQuery query(const Request &Of) {
    Entry &At = Entries[Of.Entry];
    PlacementQuery Query;
    Query.Service = Pool;
    Query.Model = Model;
    Query.Tried = Of.Tried;
    Query.PromptTokens = Scene.PromptTokens;
    Query.OutputTokens = Scene.Events * Scene.Engine.EventSteps;
    Query.TimeLeft = Of.AskedAt + Scene.Deadline - Now;
    Query.Objective = Scene.Objective;
    Query.Engine = &Scene.Engine;
    Query.Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    Query.DemandShare = demandPart(At);
    Query.Late = Now > waiting(Of).StartBy;
    Query.Holding = At.Holding.Mean;
    if (!Rules.SharePlaces)
      return Query;
    double Asked = rateAt(At.Asked, Now) - rateAt(At.Returned, Now);
    if (auto Elsewhere = At.Book.PeerDemand.find(Kind);
        Elsewhere != At.Book.PeerDemand.end())
      Asked += Elsewhere->second - At.ReturnsElsewhere.PerSecond;
    Query.InTimePerSecond = std::max(Asked, 0.0);
    Query.LatePerSecond =
        rateAt(At.Returned, Now) + At.ReturnsElsewhere.PerSecond;
    Query.LateWaiting = At.ReturnsElsewhere.Waiting + lateWaiting(At);
    return Query;
  }

  double lateWaiting(const Entry &At) const {
    return static_cast<double>(std::count_if(
        At.Waiting.begin(), At.Waiting.end(),
        [&](const RequestPtr &Each) { return Now > waiting(*Each).StartBy; }));
  }

  double demandPart(const Entry &At) const {
    auto Elsewhere = At.Book.PeerDemand.find(Kind);
    if (!Rules.SharePlaces || Elsewhere == At.Book.PeerDemand.end())
      return 1.0;
    double Here = rateAt(At.Asked, Now);
    return Here / std::max(Here + Elsewhere->second, 1e-9);
  }

  bool trySend(const RequestPtr &Of) {
    Entry &At = Entries[Of->Entry];
    if (Rules.ExactNews)
      tellLoads(Of->Entry, currentLoads());
    PlacementQuery Query = query(*Of);
    Placement Found = place(At.Book, Query, Now);
    At.Flow = Found.Flow;
    if (!Found.Chosen)
      return false;
    noteSent(At.Book, *Found.Chosen, Query, Now);
    noteEvent(At.Places, Now);
    auto Chosen =
        std::find_if(Groups.begin(), Groups.end(),
                     [&](const auto &G) { return G.Key == *Found.Chosen; });
    if (OverloadRow *Counted = row(*Of))
      ++Counted->Sent;
    Of->SentAt = Now;
    Of->Unread = Scene.PromptTokens;
    Of->EventsLeft = Scene.Events;
    Of->Moved = false;
    Of->Group = static_cast<std::size_t>(Chosen - Groups.begin());
    enter(*Chosen, Of);
    return true;
  }

  void enter(Group &Into, const RequestPtr &Of) {
    if (static_cast<int>(Into.Running.size()) < Scene.Engine.Slots)
      return Into.Running.push_back(Of);
    if (static_cast<int>(Into.Queue.size()) < Scene.EngineQueue)
      return Into.Queue.push_back(Of);
    if (OverloadRow *Counted = row(*Of))
      ++Counted->Rejected;
    Entry &At = Entries[Of->Entry];
    noteEnded(At.Book, Into.Key, false);
    avoidUpstream(At.Book, Into.Key, AvoidReason::Refusing,
                  Now + RefusingAvoidance);
    Of->Tried.insert(Into.Key);
    if (static_cast<int>(Of->Tried.size()) >= MostAttempts || !trySend(Of))
      refuse(Of);
  }

  void refuse(const RequestPtr &Of) {
    Duration Left = Of->AskedAt + Scene.Deadline - Now;
    if (std::exchange(Of->CameBack, true)) {
      if (OverloadRow *Counted = row(*Of))
        ++Counted->Refused;
      return;
    }
    Entry &At = Entries[Of->Entry];
    ReturnLoad All = At.Given;
    All += At.ReturnsElsewhere;
    All.Waiting += lateWaiting(At);
    Duration Pause =
        chooseReturn(At.Flow, Rules.Placement.Places, All,
                     returnWindow({Scene.Deadline, Now}, Left), Now,
                     std::uniform_real_distribution<double>(0, 1)(Random));
    noteReturnGiven(At.Given, Now + Pause);
    Returning.emplace(Now + ReturnDelay + Pause, Of);
  }

  // Each pass reads some of the prompts and moves the others by an event.
  void moveGroups() {
    for (Group &Each : Groups) {
      if (Now < Each.PassEnd)
        continue;
      endPass(Each);
      beginPass(Each);
    }
  }

  void endPass(Group &Of) {
    std::vector<RequestPtr> Left;
    for (const RequestPtr &Each : Of.Running) {
      if (Each->Moved)
        continue;
      if (Each->Unread > 0 || --Each->EventsLeft > 0) {
        if (Each->Unread <= 0)
          firstEvent(*Each, Of);
        Left.push_back(Each);
        continue;
      }
      firstEvent(*Each, Of);
      serving::noteFirstEvent(Entries[Each->Entry].Holding, Now - Each->SentAt);
      noteEnded(Entries[Each->Entry].Book, Of.Key, false);
    }
    Of.Running = std::move(Left);
    while (static_cast<int>(Of.Running.size()) < Scene.Engine.Slots &&
           !Of.Queue.empty()) {
      if (!Of.Queue.front()->Moved)
        Of.Running.push_back(Of.Queue.front());
      Of.Queue.pop_front();
    }
  }

  void firstEvent(Request &Of, const Group &At) {
    if (std::exchange(Of.First, true))
      return;
    serving::noteFirstEvent(Entries[Of.Entry].Book, At.Key, Scene.PromptTokens);
    serving::noteFirstEvent(Entries[Of.Entry].Usual,
                            Now + Scene.FirstEventExtra - Of.SentAt);
    Duration After = Now + Scene.FirstEventExtra - Of.AskedAt;
    OverloadRow *Counted = row(Of);
    if (!Counted)
      return;
    if (After <= Scene.Objective)
      ++Counted->InAim;
    else
      ++Counted->Late;
  }

  void beginPass(Group &Of) {
    std::int64_t Budget = Scene.Engine.TokensPerPass;
    std::int64_t Read = 0;
    int Writing = 0;
    for (const RequestPtr &Each : Of.Running) {
      if (Each->Unread <= 0) {
        ++Writing;
        continue;
      }
      std::int64_t Part = std::min(Each->Unread, Budget - Read);
      Each->Unread -= Part;
      Read += Part;
    }
    double Seconds =
        Scene.Engine.EventSteps *
            (toSeconds(Scene.Engine.Step) +
             toSeconds(Scene.Engine.StepPerRequest) * Writing) +
        static_cast<double>(Read) / Scene.Engine.PromptTokensPerSecond;
    Of.PassEnd = Now + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(Seconds * Scene.Pace));
  }

  std::vector<UpstreamLoad> currentLoads() const {
    std::vector<UpstreamLoad> Sum(Groups.size());
    for (const Entry &Each : Entries) {
      std::size_t Number = 0;
      for (const auto &[Key, State] : Each.Book.Upstreams)
        Sum[Number++] += State.OwnLoad;
    }
    return Sum;
  }

  // Keeps what the entries tell, for as long as news is under way.
  void remember() {
    if ((Now - Start) % milliseconds(25) != Duration::zero())
      return;
    Told Made;
    Made.At = Now;
    for (const Entry &Each : Entries) {
      Made.Loads.emplace_back();
      for (const auto &[Key, State] : Each.Book.Upstreams)
        Made.Loads.back().push_back(State.OwnLoad);
      Made.Demands.push_back(rateAt(Each.Asked, Now));
      ReturnLoad Returns = Each.Given;
      Returns.PerSecond = rateAt(Each.Returned, Now);
      Returns.Waiting = lateWaiting(Each);
      Made.Returns.push_back(std::move(Returns));
    }
    Past.push_back(std::move(Made));
    while (Now - Past.front().At > Scene.MostNewsDelay + Scene.NewsPeriod)
      Past.pop_front();
  }

  void tellNews() {
    for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
      Entry &Each = Entries[Number];
      if (Now < Each.NextNews)
        continue;
      Each.NextNews += Scene.NewsPeriod;
      Duration Age = Scene.LeastNewsDelay +
                     fraction(Scene.MostNewsDelay - Scene.LeastNewsDelay);
      auto Found = std::find_if(Past.rbegin(), Past.rend(), [&](const Told &T) {
        return Now - T.At >= Age;
      });
      if (Found == Past.rend())
        continue;
      std::vector<UpstreamLoad> Sum(Groups.size());
      double Demand = 0;
      Each.ReturnsElsewhere = {};
      erasePastReturns(Each.Given, Now);
      for (std::size_t Other = 0; Other < Entries.size(); ++Other) {
        if (Other == Number)
          continue;
        Demand += Found->Demands[Other];
        Each.ReturnsElsewhere += Found->Returns[Other];
        for (std::size_t Group = 0; Group < Groups.size(); ++Group)
          Sum[Group] += Found->Loads[Other][Group];
      }
      setElsewhere(Each, Sum);
      Each.Book.PeerDemand[Kind] = Demand;
    }
  }

  void setElsewhere(Entry &Of, const std::vector<UpstreamLoad> &Sum) {
    std::map<UpstreamKey, UpstreamLoad> Loads;
    for (std::size_t Number = 0; Number < Groups.size(); ++Number)
      Loads[Groups[Number].Key] = Sum[Number];
    setPeerLoads(Of.Book, Loads);
  }

  void tellLoads(std::size_t To, std::vector<UpstreamLoad> Sum) {
    std::size_t Number = 0;
    for (const auto &[Key, State] : Entries[To].Book.Upstreams)
      Sum[Number++] -= State.OwnLoad;
    setElsewhere(Entries[To], Sum);
  }

  void sweep() {
    for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
      dispatch(Entries[Number]);
      expire(Entries[Number]);
    }
    for (Group &Each : Groups) {
      moveSilent(Each, {Each.Running.begin(), Each.Running.end()});
      moveSilent(Each, {Each.Queue.begin(), Each.Queue.end()});
    }
  }

  void dispatch(Entry &Of) {
    std::vector<RequestPtr> Left = std::exchange(Of.Waiting, {});
    while (!Left.empty()) {
      std::vector<WaitingRequest> Ranked;
      Ranked.reserve(Left.size());
      for (const RequestPtr &Each : Left)
        Ranked.push_back(waiting(*Each));
      std::size_t Index = nextToServe(Ranked, Now);
      RequestPtr Next = Left[Index];
      Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Index));
      if (!trySend(Next))
        Of.Waiting.push_back(Next);
    }
  }

  void expire(Entry &Of) {
    for (const RequestPtr &Each : std::vector<RequestPtr>(Of.Waiting)) {
      if (Now < Each->WaitUntil || (Each->ExpectsInTime && mayWait(Of, Each)))
        continue;
      std::erase(Of.Waiting, Each);
      refuseWaiting(Each);
    }
  }

  // Requests that hear nothing for long go elsewhere.
  void moveSilent(Group &At, std::vector<RequestPtr> Of) {
    for (const RequestPtr &Each : Of) {
      bool Silent = !Each->First && !Each->Moved &&
                    Now - Each->SentAt >= SilenceLimit &&
                    static_cast<int>(Each->Tried.size()) + 1 < MostAttempts;
      if (!Silent)
        continue;
      PlacementQuery Query = query(*Each);
      Query.Tried.insert(At.Key);
      if (!place(Entries[Each->Entry].Book, Query, Now).Chosen)
        continue;
      noteEnded(Entries[Each->Entry].Book, At.Key, true);
      auto Again = std::make_shared<Request>(*Each);
      Each->Moved = Each->First = true;
      Again->Tried.insert(At.Key);
      if (!trySend(Again))
        Entries[Again->Entry].Waiting.push_back(Again);
    }
  }

  void noteSpread() {
    Duration At = Now - Start - Scene.WarmUp;
    if (At < Duration::zero())
      return;
    auto [Least, Most] = std::minmax_element(
        Groups.begin(), Groups.end(), [](const Group &A, const Group &B) {
          return A.Running.size() + A.Queue.size() <
                 B.Running.size() + B.Queue.size();
        });
    auto Size = [](const Group &Of) {
      return static_cast<double>(Of.Running.size() + Of.Queue.size());
    };
    auto &Row = Result[static_cast<std::size_t>(At / RowLength)];
    Row.Spread +=
        (Size(*Most) - Size(*Least)) * toSeconds(Step) / toSeconds(RowLength);
  }

  const OverloadScene &Scene;
  const OverloadRules &Rules;
  std::mt19937 Random;
  std::vector<Entry> Entries;
  std::vector<Group> Groups;
  std::deque<Told> Past;
  std::multimap<TimePoint, RequestPtr> Returning;
  std::vector<OverloadRow> Result;
  std::uint64_t Numbers = 0;
  TimePoint Now{};
};

} // namespace

OverloadRow &operator+=(OverloadRow &Sum, const OverloadRow &Row) {
  Sum.Asked += Row.Asked;
  Sum.InAim += Row.InAim;
  Sum.Late += Row.Late;
  Sum.Refused += Row.Refused;
  Sum.Sent += Row.Sent;
  Sum.Rejected += Row.Rejected;
  Sum.Waited += Row.Waited;
  Sum.WaitedInVain += Row.WaitedInVain;
  Sum.HeldLong += Row.HeldLong;
  Sum.Spread += Row.Spread;
  return Sum;
}

serving::PlacementLimits amongMany() {
  PlacementLimits Made;
  Made.ReportAge = milliseconds(400);
  Made.ManyEntries = true;
  return Made;
}

serving::EngineShape engineShape() {
  EngineShape Made;
  Made.Slots = 25;
  Made.EventSteps = 5;
  Made.Step = Duration(6'070);
  Made.StepPerRequest = Duration(241);
  Made.PromptTokensPerSecond = 46'000;
  Made.TokensPerPass = 2'048;
  return Made;
}

OverloadRules rulesWithoutShares() {
  OverloadRules Made;
  Made.SharePlaces = false;
  Made.Placement.Places.Overbooking = 1e9; // no bound
  Made.Placement.FreeDeviations = -1e3;
  Made.Placement.Places.ReserveDeviations = 0;
  Made.Placement.LevelingHorizon = 1.0;
  return Made;
}

std::vector<OverloadRow> play(const OverloadScene &Scene,
                              const OverloadRules &Rules) {
  return Play(Scene, Rules).run();
}

} // namespace samphirehill::bench
