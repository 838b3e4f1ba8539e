// Replays the load of servers that start, fail and recover: many entries place
// requests by late reports of each other, with and without paces.
#include "samphirehill/Serving/Placement.h"
#include "samphirehill/Serving/UpstreamPacing.h"

#include "Serving/TestFleet.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr Duration Step = milliseconds(10);
constexpr Duration ReportPeriod = milliseconds(200);
constexpr int Entries = 64;
constexpr int Slots = 20;
constexpr std::size_t MaxAttempts = 3;
constexpr std::int64_t PromptTokens = 800;
constexpr std::int64_t OutputTokens = 90;

// What a group does at a time of the replay.
struct Behaviour {
  bool Listed = true;
  double FailShare = 0; // of the requests; they fail after 20 ms
  double Slow = 1;      // factor on its times
};

struct Figures {
  int InTime = 0; // first event within the objective
  int Late = 0;
  int Failed = 0; // after all attempts
  int Unplaced = 0;
  int Rejected = 0;    // attempts at a full group
  int BadAttempts = 0; // attempts that failed
  int Attempts = 0;
  // Every 100 ms: of group 0, and the mean of the groups that stay well.
  std::vector<double> Running;
  std::vector<double> RunningBeside;
};

struct Scene {
  int Groups = 10;
  double PerSecond = 100;
  Duration Length = seconds(10);
  std::function<Behaviour(int Group, Duration At)> Behave;
};

class Replay {
public:
  Replay(const Scene &Played, bool Paced, std::uint32_t Seed)
      : Played(Played), Random(Seed), Books(Entries) {
    Shape.Engine->Slots = Slots;
    for (std::size_t Entry = 0; Entry < Books.size(); ++Entry) {
      PlacementLimits &Limits = Books[Entry].Limits;
      Limits.Pace.Enabled = Paced;
      Limits.ReportAge = 2 * ReportPeriod;
      Limits.ManyEntries = true;
      Limits.Entries = Entries;
      Limits.Self = EntryId("e" + std::to_string(Entry));
      Books[Entry].PeerDemand[{PoolService, "large"}] =
          Played.PerSecond * (Entries - 1) / Entries;
    }
  }

  Figures run() {
    std::poisson_distribution<int> Arrivals(Played.PerSecond * toSeconds(Step));
    for (At = Duration::zero(); At < Played.Length; At += Step) {
      list();
      while (!Due.empty() && Due.begin()->first <= now()) {
        auto Next = Due.begin()->second;
        Due.erase(Due.begin());
        Next();
      }
      if (At % ReportPeriod == Duration::zero())
        report();
      if (At % milliseconds(100) == Duration::zero())
        noteRunning();
      for (int Left = Arrivals(ArrivalRandom); Left > 0; --Left) {
        auto Entry = std::uniform_int_distribution<std::size_t>(
            0, Books.size() - 1)(ArrivalRandom);
        send(Entry, {}, now());
      }
    }
    return Result;
  }

private:
  static UpstreamKey key(int Group) {
    return {InstanceId("i" + std::to_string(Group)), 1};
  }
  TimePoint now() const { return TimePoint{seconds(100)} + At; }
  double fraction() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void list() {
    std::vector<Upstream> Usable;
    for (int Group = 0; Group < Played.Groups; ++Group) {
      if (!Played.Behave(Group, At).Listed)
        continue;
      Upstream Info;
      Info.Key = key(Group);
      Info.Service = PoolService;
      Info.Model = "large";
      Info.Zone = ZoneId("z");
      Info.Slots = Slots;
      Usable.push_back(Info);
    }
    if (Usable == Listed)
      return;
    Listed = Usable;
    for (UpstreamBook &Each : Books)
      updateUpstreams(Each, Usable);
  }

  void noteRunning() {
    constexpr int FirstSound = 4; // the scenes trouble only groups before it
    int Sum = 0;
    for (int Group = FirstSound; Group < Played.Groups; ++Group)
      Sum += Actual[key(Group)].Running;
    Result.Running.push_back(Actual[key(0)].Running);
    Result.RunningBeside.push_back(static_cast<double>(Sum) /
                                   (Played.Groups - FirstSound));
  }

  // Delivers the loads as they were two periods ago.
  void report() {
    std::vector<std::map<UpstreamKey, UpstreamLoad>> Taken;
    for (UpstreamBook &Each : Books) {
      Taken.emplace_back();
      for (const auto &[Key, State] : Each.Upstreams) {
        UpstreamLoad Own = State.OwnLoad;
        Own.MovingBy = now() - State.LastAnswerAt <= ProgressMaxAge;
        Own.Pace = toldPace(State, Each.Limits.Pace, now());
        if (Own != UpstreamLoad{})
          Taken.back()[Key] = Own;
      }
    }
    Past.push_back(std::move(Taken));
    if (Past.size() < 3)
      return;
    std::map<UpstreamKey, UpstreamLoad> Sum;
    for (const auto &Each : Past.front()) {
      for (const auto &[Key, Load] : Each)
        Sum[Key] += Load;
    }
    for (std::size_t Entry = 0; Entry < Books.size(); ++Entry) {
      std::map<UpstreamKey, UpstreamLoad> Peers = Sum;
      for (const auto &[Key, Load] : Past.front()[Entry])
        Peers[Key] -= Load;
      setPeerLoads(Books[Entry], Peers);
      followReportedPaces(Books[Entry], now());
    }
    Past.pop_front();
  }

  void send(std::size_t Entry, std::set<UpstreamKey> Tried, TimePoint Arrived) {
    PlacementQuery Query;
    Query.Service = PoolService;
    Query.Model = "large";
    Query.OwnZone = ZoneId("z");
    Query.Engine = &*Shape.Engine;
    Query.PromptTokens = PromptTokens;
    Query.OutputTokens = OutputTokens;
    Query.TimeLeft = seconds(6);
    Query.Objective = milliseconds(500);
    Query.DemandShare = 1.0 / Entries;
    Query.Begun = !Tried.empty();
    Query.Tried = Tried;
    Query.Draw = fraction();
    Placement Found = place(Books[Entry], Query, now());
    if (!Found.Chosen) {
      ++(Tried.empty() ? Result.Unplaced : Result.Failed);
      return;
    }
    UpstreamKey Key = *Found.Chosen;
    Tried.insert(Key);
    ++Result.Attempts;
    Behaviour Now = Played.Behave(std::stoi(Key.Instance.str().substr(1)), At);
    if (Actual[Key].Running >= Slots) {
      ++Result.Rejected;
      avoidAndSlow(Books[Entry], Key, AvoidReason::Refusing, milliseconds(150),
                   now());
      return again(Entry, Tried, Arrived);
    }
    noteSent(Books[Entry], Key, Query, now());
    UpstreamLoad &Load = Actual[Key];
    ++Load.Running;
    if (!Now.Listed || fraction() < Now.FailShare) {
      ++Result.BadAttempts;
      Due.emplace(now() + milliseconds(20), [this, Entry, Key, Tried, Arrived] {
        --Actual[Key].Running;
        noteUpstreamFailed(Books[Entry], Key, PaceCause::Failed, this->now());
        noteFirstEvent(Books[Entry], Key, PromptTokens);
        noteEnded(Books[Entry], Key, true);
        again(Entry, Tried, Arrived);
      });
      return;
    }
    Duration Expected =
        expectedFirstEvent(Load, PromptTokens, *Shape.Engine, 1);
    Duration First =
        expectedFirstEvent(Load, PromptTokens, *Shape.Engine, Now.Slow);
    Duration Gap = expectedGap(Load, *Shape.Engine, Now.Slow);
    Load.PendingTokens += PromptTokens;
    Due.emplace(now() + First,
                [this, Entry, Key, First, Expected, Gap, Arrived] {
                  Actual[Key].PendingTokens -= PromptTokens;
                  bool InTime = this->now() - Arrived <= milliseconds(500);
                  ++(InTime ? Result.InTime : Result.Late);
                  noteFirstEvent(Books[Entry], Key, PromptTokens);
                  noteProgress(Books[Entry], Key, this->now());
                  noteAnswered(Books[Entry], Key, this->now() - First, Expected,
                               this->now());
                  noteGap(Books[Entry], Key, Gap, *Shape.Engine);
                });
    Due.emplace(now() + First + OutputTokens / Shape.Engine->EventSteps * Gap,
                [this, Entry, Key] {
                  --Actual[Key].Running;
                  noteEnded(Books[Entry], Key, false);
                });
  }

  void again(std::size_t Entry, const std::set<UpstreamKey> &Tried,
             TimePoint Arrived) {
    if (Tried.size() >= MaxAttempts) {
      ++Result.Failed;
      return;
    }
    send(Entry, Tried, Arrived);
  }

  const Scene &Played;
  std::minstd_rand Random;
  std::minstd_rand ArrivalRandom{11}; // the same arrivals in all replays
  ServiceShape Shape = poolShape();
  std::vector<UpstreamBook> Books;
  std::vector<Upstream> Listed;
  std::map<UpstreamKey, UpstreamLoad> Actual;
  std::multimap<TimePoint, std::function<void()>> Due;
  std::deque<std::vector<std::map<UpstreamKey, UpstreamLoad>>> Past;
  Duration At{};
  Figures Result;
};

Figures play(const Scene &Played, bool Paced) {
  return Replay(Played, Paced, 7).run();
}

// Returns the requests in progress at group 0 in proportion to those at the
// groups that stay well, between two times in tenths of a second.
double fill(const Figures &Found, std::size_t From, std::size_t Until) {
  double Own = 0;
  double Beside = 0;
  for (std::size_t Index = From; Index < Until; ++Index) {
    Own += Found.Running[Index];
    Beside += Found.RunningBeside[Index];
  }
  return Own / Beside;
}

// Returns the tenths of a second from From until group 0 has four fifths of the
// load of the groups that stay well.
std::size_t timeUntilUsed(const Figures &Found, std::size_t From) {
  std::size_t Index = From;
  while (Index < Found.Running.size() && fill(Found, Index, Index + 1) < 0.8)
    ++Index;
  return Index - From;
}

bool isWithin(Duration At, Duration From, Duration Until) {
  return At >= From && At < Until;
}

// A group opens beside nine that are nearly full.
TEST(PaceReplayTest, FillsAGroupThatOpensUnderLoadWithinASecond) {
  Scene Opening;
  Opening.PerSecond = 145;
  Opening.Behave = [](int Group, Duration At) {
    return Behaviour{Group != 0 || At >= seconds(4), 0, 1};
  };
  Figures Before = play(Opening, false);
  Figures After = play(Opening, true);
  EXPECT_LE(timeUntilUsed(After, 40), 10U);
  EXPECT_GE(fill(After, 50, 54), 0.8);
  EXPECT_LE(After.Rejected, Before.Rejected);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

// Health is good, but each request fails at once.
TEST(PaceReplayTest, CostsAHandfulOfRequestsWhenHealthLies) {
  Scene Lying;
  Lying.Length = seconds(12);
  Lying.Behave = [](int Group, Duration At) {
    bool Bad = Group < 2 && isWithin(At, seconds(3), seconds(8));
    return Behaviour{true, Bad ? 1.0 : 0.0, 1};
  };
  Figures Before = play(Lying, false);
  Figures After = play(Lying, true);
  EXPECT_LT(After.BadAttempts, Before.BadAttempts / 2);
  EXPECT_GE(After.InTime, Before.InTime);
  EXPECT_LE(timeUntilUsed(After, 80), 20U);
  EXPECT_LT(timeUntilUsed(After, 80), timeUntilUsed(Before, 80));
}

TEST(PaceReplayTest, LosesFewerRequestsAtServersThatFailInPart) {
  Scene Grey;
  Grey.Behave = [](int Group, Duration At) {
    bool Bad = Group < 2 && isWithin(At, seconds(3), seconds(8));
    return Behaviour{true, Bad ? 0.4 : 0.0, 1};
  };
  Figures Before = play(Grey, false);
  Figures After = play(Grey, true);
  EXPECT_LT(After.BadAttempts, Before.BadAttempts);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

TEST(PaceReplayTest, KeepsHalfTheLoadAtAGroupHalfAsFast) {
  Scene Slow;
  Slow.PerSecond = 120;
  Slow.Behave = [](int Group, Duration At) {
    return Behaviour{true, 0, Group == 0 && At >= seconds(3) ? 2.0 : 1.0};
  };
  Figures Before = play(Slow, false);
  Figures After = play(Slow, true);
  EXPECT_GE(fill(After, 60, 100), 0.5);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

TEST(PaceReplayTest, CostsLessWhenAGroupFlaps) {
  Scene Flapping;
  Flapping.Length = seconds(14);
  Flapping.Behave = [](int Group, Duration At) {
    bool Down =
        Group < 2 && At >= seconds(2) && (At / milliseconds(1'500)) % 2 == 1;
    return Behaviour{true, Down ? 1.0 : 0.0, 1};
  };
  Figures Before = play(Flapping, false);
  Figures After = play(Flapping, true);
  EXPECT_LT(After.BadAttempts, Before.BadAttempts);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

// A third of the groups return at one time.
TEST(PaceReplayTest, TakesBackAWholeZoneWithoutRejections) {
  Scene Returning;
  Returning.Groups = 12;
  Returning.PerSecond = 150;
  Returning.Behave = [](int Group, Duration At) {
    return Behaviour{Group >= 4 || !isWithin(At, seconds(2), seconds(5)), 0, 1};
  };
  Figures Before = play(Returning, false);
  Figures After = play(Returning, true);
  EXPECT_LE(After.Rejected, Before.Rejected);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

// Groups are replaced one after the other.
TEST(PaceReplayTest, ServesAsManyDuringARelease) {
  Scene Release;
  Release.Behave = [](int Group, Duration At) {
    Duration Gone = seconds(1) + Group * milliseconds(800);
    return Behaviour{!isWithin(At, Gone, Gone + milliseconds(800)), 0, 1};
  };
  Figures Before = play(Release, false);
  Figures After = play(Release, true);
  EXPECT_LE(After.Rejected, Before.Rejected);
  EXPECT_GE(After.InTime, 0.99 * Before.InTime);
}

} // namespace
} // namespace samphirehill::serving
