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
  std::size_t Sized = 0; // index into Sizes, if its row is counted
  std::set<UpstreamKey> Tried;
  std::int64_t Prompt = 0; // tokens
  std::int64_t Unread = 0; // of them
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
  FirstEventTime Usual;
  TimePoint NextNews{};
  double Weight = 1.0;
};

struct Told {
  TimePoint At{};
  std::vector<std::vector<UpstreamLoad>> Loads; // by entry and group
  std::vector<double> Demands;                  // by entry
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

  void run() {
    std::vector<double> Weights;
    for (const Entry &Each : Entries)
      Weights.push_back(Each.Weight);
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    for (Now = Start; Now < Start + Scene.WarmUp + Scene.Length; Now += Step) {
      moveGroups();
      remember();
      tellNews();
      arrive(Pick);
      if ((Now - Start) % SweepPeriod == Duration::zero())
        sweep();
      noteSpread();
    }
  }

  std::vector<OverloadRow> Result;
  std::vector<SizedRequest> Sizes;

private:
  static constexpr TimePoint Start{seconds(100)};

  Duration fraction(Duration Of) {
    return std::chrono::duration_cast<Duration>(
        Of * std::uniform_real_distribution<double>(0, 1)(Random));
  }

  OverloadRow *row(const Request &Of) {
    return Of.Row < Result.size() ? &Result[Of.Row] : nullptr;
  }

  std::int64_t promptLength() {
    if (Scene.PromptSpread <= 0)
      return Scene.PromptTokens;
    double Variance = std::log1p(Scene.PromptSpread * Scene.PromptSpread);
    std::lognormal_distribution<double> Lengths(
        std::log(static_cast<double>(Scene.PromptTokens)) - Variance / 2,
        std::sqrt(Variance));
    return std::clamp<std::int64_t>(std::llround(Lengths(Random)), 1,
                                    Scene.LongestPrompt);
  }

  double perSecond() const {
    double Rate = Scene.PerSecond;
    for (const Burst &Each : Scene.Bursts) {
      Duration At = Now - Start - Scene.WarmUp;
      if (At >= Each.Begin && At < Each.End)
        Rate *= Each.Factor;
    }
    return Rate;
  }

  void arrive(std::discrete_distribution<std::size_t> &Pick) {
    std::poisson_distribution<int> Arrivals(perSecond() * toSeconds(Step));
    for (int Left = Arrivals(Random); Left > 0; --Left) {
      auto Made = std::make_shared<Request>();
      Made->AskedAt = Now;
      Made->Prompt = promptLength();
      Duration At = Now - Start - Scene.WarmUp;
      Made->Row = At < Duration::zero()
                      ? Result.size()
                      : static_cast<std::size_t>(At / RowLength);
      if (OverloadRow *Counted = row(*Made)) {
        ++Counted->Asked;
        Made->Sized = Sizes.size();
        Sizes.push_back({Made->Prompt, false});
      }
      receive(Made, Pick(Random));
    }
    while (!Returning.empty() && Returning.begin()->first <= Now) {
      RequestPtr Back = Returning.begin()->second;
      Returning.erase(Returning.begin());
      receive(Back, Pick(Random));
    }
  }

  void receive(const RequestPtr &Taken, std::size_t To) {
    Taken->Entry = To;
    Taken->ReceivedAt = Now;
    Taken->Number = ++Numbers;
    Taken->Tried.clear();
    Entry &At = Entries[To];
    noteEvent(At.Asked, Now);
    if (trySend(Taken))
      return;
    At.Waiting.push_back(Taken);
    std::vector<WaitingRequest> Ranked;
    for (const RequestPtr &Each : At.Waiting)
      Ranked.push_back(waiting(*Each));
    if (Ranked.size() <= maxQueueLength(Rules.Wait, At.Places, Now))
      return;
    if (std::optional<std::size_t> Last = firstToRefuse(Ranked, Now)) {
      RequestPtr Refused = At.Waiting[*Last];
      std::erase(At.Waiting, Refused);
      refuse(Refused);
    }
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
    Query.PromptTokens = Of.Prompt;
    Query.OutputTokens = Scene.Events * Scene.Engine.EventSteps;
    Query.TimeLeft = Of.AskedAt + Scene.Deadline - Now;
    Query.Objective = Scene.Objective;
    Query.Engine = &Scene.Engine;
    Query.Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    Query.DemandShare = demandPart(At);
    Query.Late = Now > waiting(Of).StartBy;
    return Query;
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
    Of->Unread = Of->Prompt;
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
    Duration Pause = retryAfter(PlacementFailure::Full, Left, {});
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
    serving::noteFirstEvent(Entries[Of.Entry].Book, At.Key, Of.Prompt);
    serving::noteFirstEvent(Entries[Of.Entry].Usual,
                            Now + Scene.FirstEventExtra - Of.SentAt);
    Duration After = Now + Scene.FirstEventExtra - Of.AskedAt;
    OverloadRow *Counted = row(Of);
    if (!Counted)
      return;
    Sizes[Of.Sized].Served = true;
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
      for (std::size_t Other = 0; Other < Entries.size(); ++Other) {
        if (Other == Number)
          continue;
        Demand += Found->Demands[Other];
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
      Duration Left = Each->AskedAt + Scene.Deadline - Each->ReceivedAt;
      if (!missedObjectiveWhileWaiting(PlacementFailure::Full, Each->ReceivedAt,
                                       waiting(*Each).StartBy, Now) &&
          Now - Each->ReceivedAt <
              maxWait(Rules.Wait, PlacementFailure::Full, Left))
        continue;
      std::erase(Of.Waiting, Each);
      refuse(Each);
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
  Made.Placement.Overbooking = 1e9; // no bound
  Made.Placement.FreeDeviations = -1e3;
  Made.Placement.LateShare = 1.0;
  Made.Placement.LevelingHorizon = 1.0;
  return Made;
}

std::vector<OverloadRow> play(const OverloadScene &Scene,
                              const OverloadRules &Rules) {
  Play Played(Scene, Rules);
  Played.run();
  return std::move(Played.Result);
}

std::vector<SizedRequest> playSizes(const OverloadScene &Scene,
                                    const OverloadRules &Rules) {
  Play Played(Scene, Rules);
  Played.run();
  return std::move(Played.Sizes);
}

} // namespace samphirehill::bench
