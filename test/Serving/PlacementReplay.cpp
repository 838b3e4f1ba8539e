#include "Serving/PlacementReplay.h"

#include "Serving/TestFleet.h"

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr Duration Step = milliseconds(10); // of the simulated time
constexpr Duration ReportPeriod = milliseconds(200);
constexpr int QueueLimit = 3; // requests that a full group still queues

struct Event {
  std::size_t Entry = 0;
  UpstreamKey Key;
  bool First = false; // the request's first event; otherwise its end
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
      Upstream Group;
      Group.Key = groupKey(Number);
      Group.Service = PoolService;
      Group.Model = "large";
      Group.Zone = zone(static_cast<std::size_t>(Number));
      Group.Slots = Shape.Engine->Slots;
      Usable.push_back(Group);
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
      processDueEvents();
      if (At % ReportPeriod == Duration::zero())
        deliverReports();
      for (int Left = Arrivals(Random); Left > 0; --Left)
        sendRequest();
    }
    return Result;
  }

private:
  ZoneId zone(std::size_t Number) const {
    return ZoneId("z" + std::to_string(Number % Load.ZoneDemand.size()));
  }

  // Returns an entry of a zone that is chosen by the zones' demand.
  std::size_t chooseEntry() {
    std::size_t Zones = Load.ZoneDemand.size();
    auto Zone = std::discrete_distribution<std::size_t>(
        Load.ZoneDemand.begin(), Load.ZoneDemand.end())(Random);
    std::size_t InZone = (Books.size() - Zone + Zones - 1) / Zones;
    auto Number =
        std::uniform_int_distribution<std::size_t>(0, InZone - 1)(Random);
    return Number * Zones + Zone;
  }

  void processDueEvents() {
    while (!Due.empty() && Due.begin()->first <= Now) {
      Event Next = Due.begin()->second;
      Due.erase(Due.begin());
      UpstreamLoad &Actual = Loads[Next.Key];
      if (Next.First) {
        noteFirstEvent(Books[Next.Entry], Next.Key, PromptTokens);
        Actual.PendingTokens -= PromptTokens;
        continue;
      }
      noteEnded(Books[Next.Entry], Next.Key, false);
      --Actual.Running;
    }
  }

  // Delivers to each entry the loads as they were ReportAge ago, without the
  // entry's own load.
  void deliverReports() {
    struct Snapshot Taken {
      Now, Loads, {}
    };
    for (const UpstreamBook &Each : Books) {
      Taken.Own.emplace_back();
      for (const auto &[Key, State] : Each.Upstreams) {
        if (State.OwnLoad.Running > 0)
          Taken.Own.back()[Key] = State.OwnLoad;
      }
    }
    Past.push_back(std::move(Taken));
    while (Past.size() > 1 && Now - Past[1].At >= ReportAge)
      Past.pop_front();
    if (Now - Past.front().At < ReportAge)
      return;
    for (std::size_t Entry = 0; Entry < Books.size(); ++Entry) {
      std::map<UpstreamKey, UpstreamLoad> PeerLoads = Past.front().Loads;
      for (const auto &[Key, Own] : Past.front().Own[Entry])
        PeerLoads[Key] -= Own;
      setPeerLoads(Books[Entry], PeerLoads);
    }
  }

  void sendRequest() {
    std::size_t Entry = chooseEntry();
    PlacementQuery Query;
    Query.Service = PoolService;
    Query.Model = "large";
    Query.OwnZone = zone(Entry);
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
    Result.OwnZone +=
        Books[Entry].Upstreams.at(*Found.Chosen).Info.Zone == Query.OwnZone;
    UpstreamLoad &Actual = Loads[*Found.Chosen];
    if (Actual.Running >= Shape.Engine->Slots + QueueLimit) {
      ++Result.Rejected;
      return;
    }
    Duration First =
        expectedFirstEvent(Actual, PromptTokens, *Shape.Engine, 1.0);
    Result.InTime += First <= Query.Objective;
    Result.FirstEvents += First;
    noteSent(Books[Entry], *Found.Chosen, Query, Now);
    ++Actual.Running;
    Actual.PendingTokens += PromptTokens;
    Duration Complete = First + (OutputTokens / Shape.Engine->EventSteps) *
                                    expectedGap(Actual, *Shape.Engine, 1.0);
    Due.emplace(Now + First, Event{Entry, *Found.Chosen, true});
    Due.emplace(Now + Complete, Event{Entry, *Found.Chosen, false});
  }

  struct Snapshot {
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
  std::map<UpstreamKey, UpstreamLoad> Loads; // the actual loads now
  std::multimap<TimePoint, Event> Due;
  std::deque<Snapshot> Past;
  TimePoint Now{};
  ReplayResult Result;
};

} // namespace

ReplayResult replay(const ReplayedLoad &Load, const PlacementLimits &Limits,
                    Duration ReportAge) {
  return Replay(Load, Limits, ReportAge).run();
}

} // namespace samphirehill::serving
