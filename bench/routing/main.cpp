// Measures the cost of route() against a full scan and round robin at several
// numbers of upstreams, then compares waiting times in a seeded queue
// simulation. Exits with 1 if route() takes 20 us or more at 1,300 upstreams or
// its cost grows at least linearly with their number.
#include "QueueComparison.h"

#include "samphirehill/Routing/Router.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace samphirehill;

namespace {

constexpr int Decisions = 20'000; // per measurement
constexpr int Repeats = 5;        // measurements, of which the median is used
constexpr std::size_t Zones = 24;
constexpr std::size_t PromptBlocks = 16;

// The table and the requests of one measurement.
struct Workload {
  UpstreamTable Table;
  PrefixHints Hints;
  std::vector<UpstreamId> Ids;
  std::vector<RouteRequest> Requests;
};

Workload makeWorkload(int Upstreams) {
  Workload Setup;
  std::mt19937_64 Random(1);
  for (int I = 0; I < Upstreams; ++I) {
    UpstreamId Id("upstream-" + std::to_string(I));
    ZoneId Zone("zone-" + std::to_string(static_cast<std::size_t>(I) % Zones));
    Setup.Table.putUpstream(UpstreamInfo{
        Id, Zone, ServiceId("letters"), "v1", {"welcome"}, BootId("b"), 8});
    Setup.Table.setCredits(Id, static_cast<std::int64_t>(Random() % 3));
    Setup.Table.setReport(Id,
                          LoadReport{static_cast<std::int64_t>(Random() % 8),
                                     static_cast<std::int64_t>(Random() % 3),
                                     500, TimePoint(seconds(1))});
    Setup.Ids.push_back(Id);
  }
  std::uint64_t Sequence = 0;
  for (int I = 0; I < 256; ++I) {
    RouteRequest Request{ServiceId("letters"), "v1", "welcome",
                         ZoneId("zone-" + std::to_string(Random() % Zones))};
    std::string Prompt(PromptBlocks * PrefixBlockBytes,
                       static_cast<char>('a' + I % 26));
    Prompt.replace(4 * PrefixBlockBytes, 8, std::to_string(Random()), 0, 8);
    Request.Now = TimePoint(seconds(1));
    Request.Prompt = prefixHashes(Prompt);
    for (std::size_t Block = 0; Block < PromptBlocks; Block += 2)
      Setup.Hints.apply(
          Setup.Ids[Random() % Setup.Ids.size()], BootId("b"),
          CacheEvent{++Sequence, CacheEvent::Stored, Request.Prompt[Block]});
    Setup.Requests.push_back(std::move(Request));
  }
  return Setup;
}

std::size_t Sink = 0; // keeps the compiler from removing unused results

// Returns the median time of one call of Decide in microseconds.
double measure(Workload &Setup,
               const std::function<void(RouteRequest &)> &Decide) {
  std::array<double, Repeats> Times{};
  std::mt19937_64 Random(2);
  for (double &Time : Times) {
    auto Start = std::chrono::steady_clock::now();
    for (int I = 0; I < Decisions; ++I) {
      RouteRequest &Request =
          Setup.Requests[static_cast<std::size_t>(I) % Setup.Requests.size()];
      Request.Random = Random();
      Decide(Request);
    }
    std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Start;
    Time = Spent.count() / Decisions;
  }
  std::sort(Times.begin(), Times.end());
  return Times[Repeats / 2];
}

// Finds the lowest score by scoring every upstream of the bucket.
void fullScan(const Workload &Setup, const RouteRequest &Request) {
  auto Holders = Setup.Hints.candidates(Request.Prompt);
  double Lowest = 1e300;
  const auto *Bucket =
      Setup.Table.findBucket(Request.Service, Request.Version, Request.Adapter);
  for (UpstreamTable::Slot Position : Bucket->All) {
    const UpstreamView &View = Setup.Table.at(Position);
    double Cached = 0;
    for (const PrefixCandidate &Holder : Holders)
      if (Holder.Upstream == View.Info.Id)
        Cached = Holder.Blocks;
    double Score =
        scoreOf(View, Request.Zone, PromptBlocks, Cached, {}, Request.Now);
    if (Score < Lowest) {
      Lowest = Score;
      Sink += Position;
    }
  }
}

} // namespace

int main() {
  std::printf("cost per decision in microseconds (median of %d runs of %d)\n",
              Repeats, Decisions);
  std::printf("%9s %9s %9s %12s %16s %19s\n", "upstreams", "route", "full scan",
              "round robin", "route/full scan", "route/round robin");
  double First = 0;
  double Last = 0;
  for (int Upstreams : {50, 350, 1300}) {
    Workload Setup = makeWorkload(Upstreams);
    double Route = measure(Setup, [&](const RouteRequest &Request) {
      Sink += route(Setup.Table, Setup.Hints, Request)->Upstream.str().size();
    });
    double Scan = measure(
        Setup, [&](const RouteRequest &Request) { fullScan(Setup, Request); });
    std::size_t Turn = 0;
    double RoundRobin = measure(Setup, [&](const RouteRequest &Request) {
      const auto *Bucket = Setup.Table.findBucket(
          Request.Service, Request.Version, Request.Adapter);
      UpstreamId Id =
          Setup.Table.at(Bucket->All[Turn++ % Bucket->All.size()]).Info.Id;
      Sink += Id.str().size();
    });
    std::printf("%9d %9.3f %9.3f %12.3f %16.3f %19.1f\n", Upstreams, Route,
                Scan, RoundRobin, Route / Scan, Route / RoundRobin);
    First = First == 0 ? Route : First;
    Last = Route;
  }
  bool Fast = Last < 20.0;
  bool Flat = Last / First < 1300.0 / 50.0;
  std::printf("growth from 50 to 1300 upstreams: %.2f times (linear: 26)\n",
              Last / First);
  std::printf("under 20 us at 1300: %s, less than linear: %s\n",
              Fast ? "yes" : "NO", Flat ? "yes" : "NO");
  compareQueues();
  return Fast && Flat && Sink != 0 ? 0 : 1;
}
