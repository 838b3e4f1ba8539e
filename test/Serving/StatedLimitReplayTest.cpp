// Simulates many entries that share the limit of an upstream by delayed reports
// of each other's demand, and counts what reaches the upstream.
#include "samphirehill/Serving/LimitedPlacement.h"

#include "samphirehill/Serving/Placement.h"
#include "samphirehill/Serving/WaitPolicy.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration TickPeriod = milliseconds(200);
// From the start of the limit until it binds.
constexpr Duration Contact = seconds(3);
constexpr Duration Window = seconds(4);

const ServiceModel Kind{PlainService, ""};

struct ReplayCase {
  int Entries = 24;
  double Limit = 3.7; // requests per second
  double Demand = 12; // requests per second over all entries
  Duration ReportAge = milliseconds(100);
  bool Burst = false; // no demand at first, then three times as much
  // From 8 s on this many entries get no requests, and others get theirs.
  int Leaving = 0;
};

struct ReplayResult {
  int MostInWindow = 0; // from Contact on
  double PerSecond = 0; // mean from Contact on
};

struct SimulatedEntry {
  UpstreamBook Book;
  EventRate Arrivals;
  double Weight = 1; // of its part of the demand
  bool Left = false;
};

class LimitReplay {
public:
  LimitReplay(const ReplayCase &Case, std::uint32_t Seed)
      : Case(Case), Random(Seed), Entries(Case.Entries) {
    Limited.Key = {InstanceId("i-" + std::to_string(Seed)), 0};
    Limited.Service = PlainService;
    Limited.Slots = 1'000'000; // only the limit bounds the requests
    Limited.BornMilliseconds = 1;
    for (int Number = 0; Number < Case.Entries; ++Number)
      start(Number);
    Query.Service = PlainService;
    Query.TimeLeft = seconds(5);
  }

  ReplayResult run(Duration Length) {
    std::vector<TimePoint> Sent;
    for (TimePoint Now = Start; Now < Start + Length; Now += Step) {
      if ((Now - Start) % TickPeriod == Duration::zero())
        tick(Now);
      if (Now == Start + seconds(8))
        leave();
      sendRequests(Now, Sent);
    }
    return count(Sent, Length);
  }

private:
  void start(int Number) {
    SimulatedEntry &Entry = Entries[Number];
    Entry.Weight = Number % 4 == 0 ? 5 : 1;
    PlacementLimits &Limits = Entry.Book.Limits;
    Limits.Self = EntryId("edge-" + std::to_string(Number));
    Limits.Entries = Case.Entries;
    Limits.ReportAge = Case.ReportAge;
    for (int Other = 0; Other < Case.Entries; ++Other) {
      if (Other != Number)
        Limits.Others.emplace_back("edge-" + std::to_string(Other));
    }
    updateUpstreams(Entry.Book, {Limited});
    noteStatement(Entry.Book.Stated, {lifeOf(Limited), Case.Limit, Start},
                  Limits.Self, Start);
  }

  void tick(TimePoint Now) {
    std::vector<double> Rates;
    for (const SimulatedEntry &Each : Entries)
      Rates.push_back(rateAt(Each.Arrivals, Now));
    Reported.push_back({Now, Rates});
    while (Reported.size() > 1 && Reported[1].At <= Now - Case.ReportAge)
      Reported.pop_front();
    const std::vector<double> &Known = Reported.front().PerSecond;
    double Sum = std::accumulate(Known.begin(), Known.end(), 0.0);
    for (std::size_t Number = 0; Number < Entries.size(); ++Number) {
      UpstreamBook &Book = Entries[Number].Book;
      Book.PeerDemand[Kind] = std::max(Sum - Known[Number], 0.0);
      updateLimitShares(Book, {{Kind, Rates[Number]}}, Metrics, Now);
      // The instance goes on answering with its limit.
      noteStatement(Book.Stated, {lifeOf(Limited), Case.Limit, Now},
                    Book.Limits.Self, Now);
    }
  }

  void leave() {
    for (int Number = 0; Number < Case.Leaving; ++Number)
      Entries[Number].Left = true;
  }

  void sendRequests(TimePoint Now, std::vector<TimePoint> &Sent) {
    double Weights = 0;
    for (const SimulatedEntry &Each : Entries)
      Weights += Each.Left ? 0 : Each.Weight;
    double Demand = Case.Demand;
    if (Case.Burst)
      Demand *= Now - Start < seconds(6) ? 0.02 : 3;
    for (SimulatedEntry &Each : Entries) {
      if (Each.Left)
        continue;
      double Mean = Demand * Each.Weight / Weights * toSeconds(Step);
      int Arrived = std::poisson_distribution<int>(Mean)(Random);
      for (int Number = 0; Number < Arrived; ++Number) {
        noteEvent(Each.Arrivals, Now);
        if (!place(Each.Book, Query, Now).Chosen)
          continue;
        noteSent(Each.Book, Limited.Key, Query, Now);
        noteEnded(Each.Book, Limited.Key, false);
        Sent.push_back(Now);
      }
    }
  }

  ReplayResult count(const std::vector<TimePoint> &Sent, Duration Length) {
    ReplayResult Result;
    auto First = std::lower_bound(Sent.begin(), Sent.end(), Start + Contact);
    Result.PerSecond =
        static_cast<double>(Sent.end() - First) / toSeconds(Length - Contact);
    for (auto From = First; From != Sent.end(); ++From) {
      auto To = std::upper_bound(From, Sent.end(), *From + Window);
      Result.MostInWindow =
          std::max(Result.MostInWindow, static_cast<int>(To - From));
    }
    return Result;
  }

  const TimePoint Start{seconds(100)};
  ReplayCase Case;
  std::minstd_rand Random;
  std::vector<SimulatedEntry> Entries;
  Upstream Limited;
  PlacementQuery Query;
  ServingMetrics Metrics;
  struct ReportedRates {
    TimePoint At{};
    std::vector<double> PerSecond; // by entry
  };
  std::deque<ReportedRates> Reported; // those known and newer ones
};

int allowedInWindow(double Limit) {
  return static_cast<int>(1.5 * Limit * toSeconds(Window)) + 5;
}

TEST(StatedLimitReplayTest, KeepsTheLimitInAnyWindow) {
  std::vector<ReplayCase> Cases;
  for (int Entries : {1, 8, 24, 69}) {
    for (double Limit : {0.0, 0.8, 3.7, 9.0, 40.0}) {
      for (double Factor : {0.8, 3.0, 20.0})
        Cases.push_back({Entries, Limit, std::max(Limit, 1.0) * Factor});
      Cases.push_back(
          {Entries, Limit, std::max(Limit, 1.0) * 5, milliseconds(400), true});
      Cases.push_back({Entries, Limit, std::max(Limit, 1.0) * 3,
                       milliseconds(400), false, Entries / 3});
    }
  }
  for (double Limit : {0.8, 3.7, 9.0})
    Cases.push_back({295, Limit, Limit * 20, milliseconds(400)});
  for (const ReplayCase &Each : Cases) {
    for (std::uint32_t Seed = 1; Seed <= 6; ++Seed) {
      ReplayResult Result = LimitReplay(Each, Seed).run(seconds(16));
      EXPECT_LE(Result.MostInWindow, allowedInWindow(Each.Limit))
          << Each.Entries << " entries, limit " << Each.Limit << ", demand "
          << Each.Demand << ", burst " << Each.Burst << ", leaving "
          << Each.Leaving << ", seed " << Seed;
    }
  }
}

TEST(StatedLimitReplayTest, UsesMostOfTheLimitWhenDemandIsAboveIt) {
  for (int Entries : {1, 8, 24, 69}) {
    for (double Limit : {0.8, 3.7, 9.0, 40.0}) {
      double Sum = 0;
      for (std::uint32_t Seed = 1; Seed <= 4; ++Seed)
        Sum += LimitReplay({Entries, Limit, Limit * 20}, Seed)
                   .run(seconds(23))
                   .PerSecond;
      EXPECT_GE(Sum / 4, 0.8 * Limit) << Entries << " entries, " << Limit;
    }
  }
}

} // namespace
} // namespace samphirehill::serving
