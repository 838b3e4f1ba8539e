#include "Serving/PlacementReplay.h"

#include "Serving/TestFleet.h"

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration ReportPeriod = milliseconds(200);
constexpr int Queue = 3; // requests that a full group still takes

struct Event {
  std::size_t Entry = 0;
  UpstreamKey Key;
  bool First = false; // the first event; else the end
};

UpstreamKey groupKey(int Number) {
  return {InstanceId("i" + std::to_string(Number)), 1};
}

class Replay {
public:
  Replay(const ReplayedLoad &Load, const PlacementLimits &Limits,
         Duration ReportAge)
      : Load(Load), ReportAge(ReportAge), Random(Load.Seed),
        Books(static_cast<std::size_t>(Load.Entries)) {
    Shape.Engine->Slots = 22;
    std::vector<Upstream> Usable;
    for (int Number = 0; Number < Load.Groups; ++Number) {
      Upstream Made;
      Made.Key = groupKey(Number);
      Made.Service = PoolService;
      Made.Model = "large";
      Made.Zone = ZoneId("z" + std::to_string(Number % Zones));
      Made.Slots = Shape.Engine->Slots;
      Usable.push_back(Made);
    }
    for (UpstreamBook &Each : Books) {
      Each.Limits = Limits;
      updateUpstreams(Each, Usable);
    }
  }

  ReplayResult run() {
    std::poisson_distribution<int> Arrivals(Load.PerSecond * toSeconds(Step));
    for (Duration At = Duration::zero(); At < Load.Length; At += Step) {
      Now = TimePoint{seconds(100)} + At;
      finishDue();
      if (At % ReportPeriod == Duration::zero())
        tellNews();
      for (int Left = Arrivals(Random); Left > 0; --Left)
        arrive();
    }
    return Result;
  }

private:
  static constexpr int Zones = 5;

  void finishDue() {
    while (!Due.empty() && Due.begin()->first <= Now) {
      Event Next = Due.begin()->second;
      Due.erase(Due.begin());
      UpstreamLoad &True = Loads[Next.Key];
      if (Next.First) {
        noteFirstEvent(Books[Next.Entry], Next.Key, PromptTokens);
        True.PendingTokens -= PromptTokens;
        continue;
      }
      noteEnded(Books[Next.Entry], Next.Key, false);
      --True.Running;
    }
  }

  // Each entry learns all loads as they were, without its own part.
  void tellNews() {
    struct News Told {
      Now, Loads, {}
    };
    for (const UpstreamBook &Each : Books) {
      Told.Own.emplace_back();
      for (const auto &[Key, State] : Each.Upstreams) {
        if (State.OwnLoad.Running > 0)
          Told.Own.back()[Key] = State.OwnLoad;
      }
    }
    Past.push_back(std::move(Told));
    while (Past.size() > 1 && Now - Past[1].At >= ReportAge)
      Past.pop_front();
    if (Now - Past.front().At < ReportAge)
      return;
    for (std::size_t Entry = 0; Entry < Books.size(); ++Entry) {
      std::map<UpstreamKey, UpstreamLoad> Elsewhere = Past.front().Loads;
      for (const auto &[Key, Own] : Past.front().Own[Entry])
        Elsewhere[Key] -= Own;
      setPeerLoads(Books[Entry], Elsewhere);
    }
  }

  void arrive() {
    auto Entry =
        std::uniform_int_distribution<std::size_t>(0, Books.size() - 1)(Random);
    PlacementQuery Query;
    Query.Service = PoolService;
    Query.Model = "large";
    Query.OwnZone = ZoneId("z" + std::to_string(Entry % Zones));
    Query.Engine = &*Shape.Engine;
    Query.PromptTokens = PromptTokens;
    Query.OutputTokens = OutputTokens;
    Query.TimeLeft = seconds(6);
    Query.Objective = milliseconds(400);
    Query.Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    Placement Found = place(Books[Entry], Query, Now);
    if (!Found.Chosen) {
      ++Result.NotPlaced;
      return;
    }
    ++Result.Arrivals;
    UpstreamLoad &True = Loads[*Found.Chosen];
    if (True.Running >= Shape.Engine->Slots + Queue) {
      ++Result.Rejected;
      return;
    }
    Duration First = expectedFirstEvent(True, PromptTokens, *Shape.Engine, 1.0);
    Result.InTime += First <= Query.Objective;
    noteSent(Books[Entry], *Found.Chosen, Query, Now);
    ++True.Running;
    True.PendingTokens += PromptTokens;
    Duration Whole = First + (OutputTokens / Shape.Engine->EventSteps) *
                                 expectedGap(True, *Shape.Engine, 1.0);
    Due.emplace(Now + First, Event{Entry, *Found.Chosen, true});
    Due.emplace(Now + Whole, Event{Entry, *Found.Chosen, false});
  }

  struct News {
    TimePoint At{};
    std::map<UpstreamKey, UpstreamLoad> Loads;
    std::vector<std::map<UpstreamKey, UpstreamLoad>> Own; // by entry
  };

  static constexpr std::int64_t PromptTokens = 800;
  static constexpr std::int64_t OutputTokens = 90;

  const ReplayedLoad &Load;
  Duration ReportAge;
  std::minstd_rand Random;
  ServiceShape Shape = poolShape();
  std::vector<UpstreamBook> Books;
  std::map<UpstreamKey, UpstreamLoad> Loads; // as they are
  std::multimap<TimePoint, Event> Due;
  std::deque<News> Past;
  TimePoint Now{};
  ReplayResult Result;
};

} // namespace

ReplayResult replay(const ReplayedLoad &Load, const PlacementLimits &Limits,
                    Duration ReportAge) {
  return Replay(Load, Limits, ReportAge).run();
}

} // namespace samphirehill::serving
