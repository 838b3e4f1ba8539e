#include "QueueComparison.h"

#include "samphirehill/Routing/Router.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace samphirehill;

namespace {

constexpr std::size_t Entries = 8;
constexpr std::size_t Upstreams = 48;
constexpr std::size_t SlowUpstreams = 4;
constexpr double SlowFactor = 2.0; // service time of a slow upstream
constexpr std::int64_t Slots = 4;  // of each upstream
constexpr double MeanServiceMs = 400;
constexpr double ReportMs = 500; // interval of load reports
constexpr int Requests = 60'000;
constexpr int WarmUp = 5'000; // first requests, whose waits aren't counted

enum class Policy { Route, RoundRobin, LeastOwnLoad };

// A request.
struct Job {
  std::size_t Entry = 0;
  double ArrivedMs = 0;
  double ServiceMs = 0;
  int Number = 0;
};

// Load of an upstream.
struct Server {
  std::int64_t Running = 0;
  std::deque<Job> Waiting;
};

// The end of a job, in the queue of events.
struct Finish {
  double AtMs = 0;
  std::size_t Upstream = 0;
  std::size_t Entry = 0;
  bool operator>(const Finish &Other) const { return AtMs > Other.AtMs; }
};

TimePoint at(double Ms) {
  return TimePoint(Duration(static_cast<std::int64_t>(Ms * 1000)));
}

class Simulation {
public:
  Simulation(Policy Chosen, double Load) : Chosen(Chosen), Load(Load) {
    for (std::size_t I = 0; I < Upstreams; ++I)
      Ids.emplace_back("u" + std::to_string(I));
    Tables.resize(Entries);
    NextTurns.resize(Entries);
    for (UpstreamTable &Table : Tables)
      for (std::size_t I = 0; I < Upstreams; ++I) {
        Table.putUpstream(UpstreamInfo{
            Ids[I], ZoneId("z"), ServiceId("s"), "v", {}, BootId("b"), Slots});
        Table.setCredits(Ids[I], Slots);
        if (I < SlowUpstreams)
          Table.setStragglerFactor(Ids[I], SlowFactor);
      }
  }

  // Simulates all requests and returns their waiting times in ms, sorted.
  std::vector<double> run() {
    double Capacity =
        (Upstreams - SlowUpstreams + SlowUpstreams / SlowFactor) * Slots;
    std::exponential_distribution<double> Gap(Load * Capacity / MeanServiceMs);
    std::exponential_distribution<double> Service(1 / MeanServiceMs);
    double Now = 0;
    double NextReport = ReportMs;
    for (int I = 0; I < Requests; ++I) {
      Now += Gap(Random);
      advance(Now, NextReport);
      Job Next{Random() % Entries, Now, Service(Random), I};
      std::size_t Target = choose(Next.Entry, Now);
      Tables[Next.Entry].noteSend(Ids[Target], at(Now));
      Servers[Target].Waiting.push_back(Next);
      startJobs(Target, Now);
    }
    advance(1e12, NextReport); // until all jobs have ended
    std::sort(Waits.begin(), Waits.end());
    return Waits;
  }

private:
  // Handles the reports and the ends of jobs up to Now.
  void advance(double Now, double &NextReport) {
    while (true) {
      double Next = Finishes.empty() ? 1e300 : Finishes.top().AtMs;
      if (NextReport <= Now && NextReport <= Next && Next < 1e300) {
        reportLoad(NextReport);
        NextReport += ReportMs;
        continue;
      }
      if (Next > Now)
        return;
      Finish Done = Finishes.top();
      Finishes.pop();
      --Servers[Done.Upstream].Running;
      Tables[Done.Entry].noteEnd(Ids[Done.Upstream], at(Done.AtMs));
      startJobs(Done.Upstream, Done.AtMs);
    }
  }

  void reportLoad(double Now) {
    for (UpstreamTable &Table : Tables)
      for (std::size_t I = 0; I < Upstreams; ++I)
        Table.setReport(Ids[I], LoadReport{Servers[I].Running,
                                           static_cast<std::int64_t>(
                                               Servers[I].Waiting.size()),
                                           0, at(Now)});
  }

  // Starts waiting jobs while the upstream has a free slot.
  void startJobs(std::size_t Target, double Now) {
    Server &Busy = Servers[Target];
    while (Busy.Running < Slots && !Busy.Waiting.empty()) {
      Job Next = Busy.Waiting.front();
      Busy.Waiting.pop_front();
      ++Busy.Running;
      double Service =
          Next.ServiceMs * (Target < SlowUpstreams ? SlowFactor : 1.0);
      Finishes.push(Finish{Now + Service, Target, Next.Entry});
      if (Next.Number >= WarmUp)
        Waits.push_back(Now - Next.ArrivedMs);
    }
  }

  // Returns the upstream to which Entry sends its next request.
  std::size_t choose(std::size_t Entry, double Now) {
    UpstreamTable &Table = Tables[Entry];
    if (Chosen == Policy::RoundRobin)
      return NextTurns[Entry]++ % Upstreams;
    if (Chosen == Policy::LeastOwnLoad) {
      std::size_t First = Random() % Upstreams; // ties are broken at random
      std::size_t Best = First;
      for (std::size_t I = 0; I < Upstreams; ++I) {
        std::size_t Other = (First + I) % Upstreams;
        if (Table.find(Ids[Other])->OwnInProgress <
            Table.find(Ids[Best])->OwnInProgress)
          Best = Other;
      }
      return Best;
    }
    RouteRequest Request{ServiceId("s"), "v", "", ZoneId("z")};
    Request.Random = Random();
    Request.Now = at(Now);
    UpstreamId Id = route(Table, Hints, Request)->Upstream;
    return std::stoul(Id.str().substr(1));
  }

  Policy Chosen;
  double Load;
  std::mt19937_64 Random{7};
  std::vector<UpstreamId> Ids;
  std::vector<UpstreamTable> Tables;
  std::vector<std::size_t> NextTurns; // of round robin, by entry
  std::vector<Server> Servers = std::vector<Server>(Upstreams);
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> Finishes;
  std::vector<double> Waits;
  PrefixHints Hints;
};

} // namespace

void compareQueues() {
  std::printf("\nwaiting time in ms (seeded simulation, %zu entries, %zu "
              "upstreams, %zu of them slow)\n",
              Entries, Upstreams, SlowUpstreams);
  std::printf("%6s %-15s %9s %9s %9s\n", "load", "policy", "mean", "p95",
              "p99");
  for (double Load : {0.5, 0.7, 0.85}) {
    for (auto [Name, Chosen] :
         {std::pair("route", Policy::Route),
          std::pair("round robin", Policy::RoundRobin),
          std::pair("least own load", Policy::LeastOwnLoad)}) {
      std::vector<double> Waits = Simulation(Chosen, Load).run();
      double Sum = 0;
      for (double Wait : Waits)
        Sum += Wait;
      std::printf("%6.2f %-15s %9.1f %9.1f %9.1f\n", Load, Name,
                  Sum / static_cast<double>(Waits.size()),
                  Waits[Waits.size() * 95 / 100],
                  Waits[Waits.size() * 99 / 100]);
    }
  }
}
