#include "CreditSimulation.h"

#include "CreditWorld.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace samphirehill::test {
namespace {

class World {
public:
  explicit World(const HistoryOptions &Options) : Options(Options) {
    for (int I = 0; I < Options.Entries; ++I) {
      Entry New;
      New.Id = EntryId("e" + std::to_string(I));
      Entries.push_back(New);
      start(Entries.back());
    }
    takeOver(0);
  }

  HistoryResult Result;

  void step(std::uint32_t Number) {
    Random.seed(Number);
    Now += milliseconds(pick(10, 300));
    inject();
    run();
  }

  // Heals all faults and checks that every credit comes back and is lent.
  void finish() {
    Healed = true;
    for (Entry &Each : Entries) {
      Each.Side = 0;
      Each.Paused = false;
      Each.Wanted = 0;
      if (!Each.Alive && Each.Listed)
        start(Each);
    }
    settle(seconds(25));
    checkNothingLost();
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      if (!Entries[I].Alive)
        continue;
      int Before = Result.CallsRun;
      Entries[I].Wanted = 1;
      settle(seconds(4));
      Entries[I].Wanted = 0;
      settle(seconds(4));
      if (Result.CallsRun == Before)
        lose(Entries[I].Id.str() + " gets no credit after healing");
    }
  }

private:
  HistoryOptions Options;
  std::mt19937 Random;
  TimePoint Now{seconds(1000)};
  std::vector<Entry> Entries;
  std::vector<Message> Network;
  std::vector<Call> Arriving;
  std::vector<Call> Running; // at the upstream
  Placement Stored;
  int Boot = 1;
  int NextRequest = 0;
  bool Healed = false;
  std::map<CreditGeneration, int> LimitOf; // highest in each generation
  CreditGeneration Newest;
  int CurrentLimit = 0;

  int pick(int Low, int High) {
    return Low + static_cast<int>(Random() % (High - Low + 1));
  }
  bool chance(int Percent) { return pick(1, 100) <= Percent; }
  void violate(const std::string &What) {
    if (Result.Violation.empty())
      Result.Violation = What;
  }
  void lose(const std::string &What) {
    if (Result.Loss.empty())
      Result.Loss = What;
  }
  BootId boot() const { return BootId("b" + std::to_string(Boot)); }
  Entry &any() { return Entries[pick(0, Options.Entries - 1)]; }

  void start(Entry &Each) {
    Each.Number = 1 + static_cast<Incarnation>(Now.time_since_epoch().count());
    Each.StartedAt = Now;
    Each.Alive = true;
    Each.Paused = false;
    CreditSettings Settings;
    Settings.MaxDeadline = SimulatedMaxDeadline;
    Settings.Faults = Options.Faults;
    Each.Wallet = CreditWallet{Each.Id, Each.Number, Now, Settings};
    Each.Home = CreditHome{Each.Id, Settings};
    Each.Calls.clear();
    Each.SeenGone.clear();
  }

  // ---- faults and events ----

  void inject() {
    Entry &Each = any();
    switch (pick(0, 29)) {
    case 0:
      Each.Paused = true;
      break;
    case 1:
    case 2:
      for (Entry &Other : Entries)
        Other.Paused = false;
      break;
    case 3:
      Each.Alive = Each.Alive && chance(70);
      break;
    case 4: // restarts under its id, or a dead one leaves the list
      if (Each.Listed && (!Each.Alive || chance(30)))
        chance(90) ? start(Each) : leave(Each);
      break;
    case 5: // a partition
      for (Entry &Other : Entries)
        Other.Side = pick(0, 1);
      break;
    case 6:
      for (Entry &Other : Entries)
        Other.Side = 0;
      break;
    case 7:
      if (chance(30))
        reboot();
      break;
    case 8:
      send(Each, recordOverload(Each.Home, TheUpstream, Now));
      break;
    case 9:
      if (chance(20))
        send(Each, recordColdEvidence(Each.Home, TheUpstream,
                                      {ColdCause::CacheLost, BootId()}, Now));
      break;
    case 10:
      seeReset(Each);
      break;
    case 11:
      release(Each);
      break;
    default:
      Each.Wanted = pick(0, 6);
    }
  }

  void leave(Entry &Each) {
    int Left = 0;
    for (const Entry &Other : Entries)
      Left += Other.Listed ? 1 : 0;
    if (Left <= 2)
      return;
    Each.Alive = false;
    Each.Listed = false;
  }

  void reboot() {
    ++Boot;
    ++Result.Reboots;
    Running.clear();
  }

  void seeReset(Entry &Each) {
    if (!Each.Alive || Each.Paused || Each.Calls.empty() || chance(70))
      return;
    send(Each, reportColdUpstream(Each.Wallet, Each.Calls.front().Used,
                                  {ColdCause::ConnectionReset, BootId()}, Now));
  }

  void release(Entry &Each) {
    if (!Each.Alive || Each.Paused || !isHome(Each))
      return;
    stopLending(Each.Home, TheUpstream);
    finishRelease(Each);
  }

  void finishRelease(Entry &Each) {
    if (!canReleaseHome(Each.Home, TheUpstream))
      return;
    releaseHome(Each.Home, TheUpstream);
    Stored.Released = true;
  }

  // ---- the system around the decisions ----

  bool isHome(const Entry &Each) const {
    return Each.Home.Ledgers.contains(TheUpstream);
  }

  void takeOver(std::size_t Index) {
    Entry &Each = Entries[Index];
    HomeOpening Opening;
    Opening.Upstream = TheUpstream;
    Opening.Epoch = Stored.Epoch + 1;
    Opening.Boot = boot();
    Opening.ColdLimit = Options.ColdLimit;
    Opening.WarmLimit = Options.WarmLimit;
    Opening.StartLimit = Options.ColdLimit;
    Opening.HighestLimit = Options.WarmLimit;
    Opening.FirstHome = Stored.Epoch == 0;
    for (const Entry &Other : Entries)
      if (Other.Listed)
        Opening.Borrowers.Zone.push_back(Other.Id);
    for (const auto &[Gone, At] : Each.SeenGone)
      if (At + SimulatedMaxDeadline > Now)
        Opening.Past.push_back({Gone, 0, At, true});
    if (!Stored.Released)
      Opening.Past.push_back(
          {Entries[Stored.Home].Id, Stored.Number, Now, true});
    Opening.PastIsComplete = Now - Each.StartedAt >= SimulatedMaxDeadline;
    Stored = Placement{Index, Each.Number, Opening.Epoch, false};
    ++Result.HomesOpened;
    send(Each, openHome(Each.Home, Opening, Now));
  }

  void mayTakeOver(std::size_t Index) {
    Entry &Each = Entries[Index];
    const Entry &Old = Entries[Stored.Home];
    bool Confirmed = Each.SeenGone.contains(Old.Id) ||
                     (Old.Alive && Old.Number > Stored.Number);
    bool HasHome =
        std::any_of(Entries.begin(), Entries.end(), [&](const Entry &Other) {
          return Other.Side == Each.Side && Other.Alive && isHome(Other);
        });
    bool Suspected = Options.TakeOverOnSuspicion && !HasHome;
    if (!Stored.Released && !Confirmed && !Suspected)
      return;
    takeOver(Index);
  }

  void readPlatform(std::size_t Index) {
    Entry &Each = Entries[Index];
    for (const Entry &Other : Entries) {
      if (Other.Listed || Each.SeenGone.contains(Other.Id))
        continue;
      Each.SeenGone[Other.Id] = Now;
      send(Each, recordEntryGone(Each.Home, Other.Id, Now));
    }
    mayTakeOver(Index);
    send(Each, setHome(Each.Wallet, TheUpstream, Entries[Stored.Home].Id, Now));
  }

  void probe(std::size_t Index) {
    Entry &Each = Entries[Index];
    EngineReport Report;
    Report.TakenAt = Now;
    for (const Call &Other : Running)
      Report.Running.push_back(Other.Request);
    Network.push_back({Index, Index, Now + milliseconds(pick(0, 500)), Report});
    send(Each, recordBootId(Each.Home, TheUpstream, boot(), Now));
    if (chance(50))
      send(Each, recordHealthy(Each.Home, TheUpstream, Now));
  }

  std::size_t indexOf(const EntryId &Id) const {
    for (std::size_t I = 0; I < Entries.size(); ++I)
      if (Entries[I].Id == Id)
        return I;
    return 0;
  }

  template <typename T> void post(Entry &From, const T &Body) {
    std::size_t Source = indexOf(From.Id);
    std::size_t Target = indexOf(Body.To);
    if (Source == Target) {
      Network.push_back({Source, Target, Now, Body});
      return;
    }
    int Copies = Healed ? 1 : (chance(25) ? 0 : (chance(20) ? 2 : 1));
    for (int I = 0; I < Copies; ++I) {
      int Delay = !Healed && chance(10) ? pick(500, 8000) : pick(1, 300);
      Network.push_back({Source, Target, Now + milliseconds(Delay), Body});
    }
  }
  void send(Entry &From, const HomeActions &Grants) {
    for (const CreditGrant &Each : Grants)
      post(From, Each);
  }
  void send(Entry &From, const WalletActions &Actions) {
    for (const CreditReport &Each : Actions.Reports)
      post(From, Each);
  }

  void receive(Entry &Each, const CreditReport &Body) {
    send(Each, receiveReport(Each.Home, Body, Now));
  }
  void receive(Entry &Each, const CreditGrant &Body) {
    send(Each, receiveGrant(Each.Wallet, Body, Now));
  }
  void receive(Entry &Each, const EngineReport &Body) {
    send(Each, receiveEngineReport(Each.Home, TheUpstream, Body.Running,
                                   Body.TakenAt, Now));
  }

  void deliver() {
    // Handling a message may post another one that is due at once.
    for (std::size_t I = 0; I < Network.size(); ++I) {
      Message Next = Network[I];
      Entry &To = Entries[Next.To];
      if (Next.At > Now || (To.Paused && To.Alive))
        continue;
      Network[I].At = DueTimes::Never;
      bool Cut = Entries[Next.From].Side != To.Side;
      if (!To.Alive || Cut)
        continue;
      std::visit([&](const auto &Body) { receive(To, Body); }, Next.Body);
      recordLimit();
    }
    std::erase_if(Network,
                  [](const Message &M) { return M.At == DueTimes::Never; });
  }

  // ---- calls ----

  void startCalls(Entry &Each) {
    while (Each.Wanted > 0) {
      bool Suspect = Each.Wanted % 3 == 0;
      std::optional<Credit> Used =
          takeCredit(Each.Wallet, TheUpstream, Suspect, Now);
      if (!Used)
        Used = takeCredit(Each.Wallet, TheUpstream, !Suspect, Now);
      if (!Used)
        break;
      --Each.Wanted;
      std::string Id = Each.Id.str() + "." + std::to_string(Each.Number) + "." +
                       std::to_string(NextRequest++);
      bool Long = !Healed && chance(30);
      TimePoint Arrives = Now + milliseconds(pick(0, 200));
      TimePoint Ends =
          Arrives + milliseconds(Long ? pick(2000, 9000) : pick(50, 1500));
      Each.Calls.push_back({*Used, RequestId(Id), Arrives, Ends});
      Arriving.push_back(Each.Calls.back());
    }
    CreditCount Waiting{Each.Wanted, Each.Wanted / 3};
    send(Each, setWantedCredits(Each.Wallet, TheUpstream, Waiting, Now));
  }

  void endCalls(Entry &Each) {
    std::vector<Call> Left;
    for (const Call &Mine : Each.Calls) {
      bool Broken = Mine.Used.Boot != boot() && Mine.ArrivesAt <= Now;
      if (!Broken && Mine.EndsAt > Now) {
        Left.push_back(Mine);
        continue;
      }
      if (Broken)
        send(Each, reportColdUpstream(Each.Wallet, Mine.Used,
                                      {ColdCause::NewBoot, boot()}, Now));
      send(Each, releaseCredit(Each.Wallet, Mine.Used, Now));
    }
    Each.Calls = Left;
  }

  void arrive() {
    std::erase_if(Running, [&](const Call &C) { return C.EndsAt <= Now; });
    for (const Call &Each : Arriving) {
      if (Each.ArrivesAt > Now || Each.Used.Boot != boot())
        continue;
      ++Result.CallsRun;
      if (Each.EndsAt <= Now) // began and ended since the last step
        continue;
      Running.push_back(Each);
      checkRunning(Each);
    }
    std::erase_if(Arriving, [&](const Call &C) { return C.ArrivesAt <= Now; });
  }

  // ---- checks ----

  void recordLimit() {
    for (const Entry &Each : Entries) {
      auto Found = Each.Home.Ledgers.find(TheUpstream);
      if (!Each.Alive || Found == Each.Home.Ledgers.end())
        continue;
      const CreditLedger &Ledger = Found->second;
      int &Highest = LimitOf[Ledger.Generation];
      Highest = std::max(Highest, Ledger.Limit);
      if (Ledger.Generation < Newest)
        continue;
      Newest = Ledger.Generation;
      CurrentLimit = Ledger.Limit;
    }
  }

  // Returns the highest limit from Oldest until now.
  int highestSince(const CreditGeneration &Oldest) const {
    int Highest = 0;
    for (auto Place = LimitOf.lower_bound(Oldest); Place != LimitOf.end();
         ++Place)
      Highest = std::max(Highest, Place->second);
    return Highest;
  }

  // Work that starts on a credit lent under the current limit stays below it,
  // whatever was lent before.
  void checkRunning(const Call &Started) {
    CreditGeneration Oldest = Newest;
    int Suspects = 0;
    for (const Call &Each : Running) {
      Oldest = std::min(Oldest, Each.Used.Generation);
      Suspects += Each.Used.Suspect ? 1 : 0;
    }
    int Limit =
        Started.Used.Generation == Newest ? CurrentLimit : highestSince(Oldest);
    if (static_cast<int>(Running.size()) > Limit)
      violate("running " + std::to_string(Running.size()) + " above limit " +
              std::to_string(Limit));
    if (Suspects > 1)
      violate("two suspects run at once");
  }

  // Counts every credit that someone may still use or that is in use.
  void checkExisting() {
    int Existing = 0;
    CreditGeneration Oldest = Newest;
    std::set<RequestId> Counted;
    auto Count = [&](const Call &Each) {
      if (!Counted.insert(Each.Request).second)
        return;
      ++Existing;
      Oldest = std::min(Oldest, Each.Used.Generation);
    };
    for (const Entry &Each : Entries) {
      auto Found = Each.Wallet.Holdings.find(TheUpstream);
      if (!Each.Alive || Found == Each.Wallet.Holdings.end())
        continue;
      std::for_each(Each.Calls.begin(), Each.Calls.end(), Count);
      Existing += Found->second.Idle.total();
      if (Found->second.Idle.total() > 0)
        Oldest = std::min(Oldest, Found->second.Generation);
    }
    std::for_each(Running.begin(), Running.end(), Count);
    if (Existing > highestSince(Oldest))
      violate(std::to_string(Existing) + " credits above limit " +
              std::to_string(highestSince(Oldest)));
  }

  void checkNothingLost() {
    int Held = 0;
    for (const Entry &Each : Entries) {
      auto Found = Each.Wallet.Holdings.find(TheUpstream);
      if (Each.Alive && Found != Each.Wallet.Holdings.end())
        Held += Found->second.Idle.total() + Found->second.InUse.total();
    }
    auto Found = Entries[Stored.Home].Home.Ledgers.find(TheUpstream);
    if (Found == Entries[Stored.Home].Home.Ledgers.end())
      return lose("no home after healing");
    int Counted = outstandingCredits(Found->second).total();
    if (Counted != Held)
      lose("home counts " + std::to_string(Counted) + " credits, " +
           std::to_string(Held) + " are held");
  }

  void run() {
    arrive();
    deliver();
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      Entry &Each = Entries[I];
      if (!Each.Alive || Each.Paused)
        continue;
      if (chance(Healed ? 100 : 30))
        readPlatform(I);
      if (isHome(Each) && chance(Healed ? 100 : 30))
        probe(I);
      if (isHome(Each) && Each.Home.Ledgers[TheUpstream].Stopped)
        finishRelease(Each);
      endCalls(Each);
      send(Each, tickWallet(Each.Wallet, Now));
      send(Each, tickHome(Each.Home, Now));
      recordLimit();
      startCalls(Each);
    }
    recordLimit();
    checkExisting();
  }

  void settle(Duration Span) {
    for (TimePoint End = Now + Span; Now < End; Now += milliseconds(100))
      run();
  }
};

} // namespace

HistoryResult runHistory(const std::vector<std::uint32_t> &Steps,
                         const HistoryOptions &Options) {
  World Simulated(Options);
  for (std::uint32_t Each : Steps) {
    Simulated.step(Each);
    if (!Simulated.Result.Violation.empty())
      return Simulated.Result;
  }
  Simulated.finish();
  return Simulated.Result;
}

std::vector<std::uint32_t> randomSteps(std::uint32_t Seed, int Count) {
  std::mt19937 Random(Seed);
  std::vector<std::uint32_t> Steps(Count);
  for (std::uint32_t &Each : Steps)
    Each = Random();
  return Steps;
}

} // namespace samphirehill::test
