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

  // Ends all faults and checks that no credit stays lost and that each entry
  // can borrow one.
  void finish() {
    Healed = true;
    for (Entry &Process : Entries) {
      Process.Side = 0;
      Process.Paused = false;
      Process.Wanted = 0;
      if (!Process.Alive && Process.Listed)
        start(Process);
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
        reportLoss(Entries[I].Id.str() + " gets no credit after healing");
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
  std::map<CreditGeneration, int> HighestLimits; // of each generation
  CreditGeneration Newest;
  int CurrentLimit = 0; // of Newest

  int pick(int Low, int High) {
    return Low + static_cast<int>(Random() % (High - Low + 1));
  }
  bool chance(int Percent) { return pick(1, 100) <= Percent; }
  void reportViolation(const std::string &Description) {
    if (Result.Violation.empty())
      Result.Violation = Description;
  }
  void reportLoss(const std::string &Description) {
    if (Result.Loss.empty())
      Result.Loss = Description;
  }
  BootId boot() const { return BootId("b" + std::to_string(Boot)); }
  Entry &randomEntry() { return Entries[pick(0, Options.Entries - 1)]; }

  void start(Entry &Process) {
    Process.EntryIncarnation =
        1 + static_cast<Incarnation>(Now.time_since_epoch().count());
    Process.StartedAt = Now;
    Process.Alive = true;
    Process.Paused = false;
    CreditSettings Settings;
    Settings.MaxDeadline = SimulatedMaxDeadline;
    Settings.Faults = Options.Faults;
    Process.Wallet =
        CreditWallet{Process.Id, Process.EntryIncarnation, Now, Settings};
    Process.Home = CreditHome{Process.Id, Settings};
    Process.Calls.clear();
    Process.SeenGone.clear();
  }

  // ---- faults and events ----

  void inject() {
    Entry &Process = randomEntry();
    switch (pick(0, 29)) {
    case 0:
      Process.Paused = true;
      break;
    case 1:
    case 2:
      for (Entry &Other : Entries)
        Other.Paused = false;
      break;
    case 3:
      Process.Alive = Process.Alive && chance(70);
      break;
    case 4: // restarts under its id or, seldom, leaves the instance list
      if (Process.Listed && (!Process.Alive || chance(30)))
        chance(90) ? start(Process) : leave(Process);
      break;
    case 5: // a network partition
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
      send(Process, recordOverload(Process.Home, TheUpstream, Now));
      break;
    case 9:
      if (chance(20))
        send(Process,
             recordColdEvidence(Process.Home, TheUpstream,
                                {ColdCause::CacheLost, BootId()}, Now));
      break;
    case 10:
      injectReset(Process);
      break;
    case 11:
      release(Process);
      break;
    default:
      Process.Wanted = pick(0, 6);
    }
  }

  void leave(Entry &Process) {
    int ListedEntries = 0;
    for (const Entry &Other : Entries)
      ListedEntries += Other.Listed ? 1 : 0;
    if (ListedEntries <= 2)
      return;
    Process.Alive = false;
    Process.Listed = false;
  }

  void reboot() {
    ++Boot;
    ++Result.Reboots;
    Running.clear();
  }

  void injectReset(Entry &Process) {
    if (!Process.Alive || Process.Paused || Process.Calls.empty() || chance(70))
      return;
    send(Process,
         reportColdUpstream(Process.Wallet, Process.Calls.front().Used,
                            {ColdCause::ConnectionReset, BootId()}, Now));
  }

  void release(Entry &Process) {
    if (!Process.Alive || Process.Paused || !isHome(Process))
      return;
    stopLending(Process.Home, TheUpstream);
    finishRelease(Process);
  }

  void finishRelease(Entry &Process) {
    if (!canReleaseHome(Process.Home, TheUpstream))
      return;
    releaseHome(Process.Home, TheUpstream);
    Stored.Released = true;
  }

  // ---- the parts of the system around homes and wallets ----

  bool isHome(const Entry &Process) const {
    return Process.Home.Ledgers.contains(TheUpstream);
  }

  void takeOver(std::size_t Index) {
    Entry &Process = Entries[Index];
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
    for (const auto &[Gone, At] : Process.SeenGone)
      if (At + SimulatedMaxDeadline > Now)
        Opening.Past.push_back({Gone, 0, At, true});
    if (!Stored.Released)
      Opening.Past.push_back(
          {Entries[Stored.Home].Id, Stored.HomeIncarnation, Now, true});
    Opening.PastIsComplete = Now - Process.StartedAt >= SimulatedMaxDeadline;
    Stored = Placement{Index, Process.EntryIncarnation, Opening.Epoch, false};
    ++Result.HomesOpened;
    send(Process, openHome(Process.Home, Opening, Now));
  }

  void takeOverIfNeeded(std::size_t Index) {
    Entry &Process = Entries[Index];
    const Entry &Old = Entries[Stored.Home];
    bool Confirmed =
        Process.SeenGone.contains(Old.Id) ||
        (Old.Alive && Old.EntryIncarnation > Stored.HomeIncarnation);
    bool HasHome =
        std::any_of(Entries.begin(), Entries.end(), [&](const Entry &Other) {
          return Other.Side == Process.Side && Other.Alive && isHome(Other);
        });
    bool Suspected = Options.TakeOverOnSuspicion && !HasHome;
    if (!Stored.Released && !Confirmed && !Suspected)
      return;
    takeOver(Index);
  }

  void readInstanceList(std::size_t Index) {
    Entry &Process = Entries[Index];
    for (const Entry &Other : Entries) {
      if (Other.Listed || Process.SeenGone.contains(Other.Id))
        continue;
      Process.SeenGone[Other.Id] = Now;
      send(Process, recordEntryGone(Process.Home, Other.Id, Now));
    }
    takeOverIfNeeded(Index);
    send(Process,
         setHome(Process.Wallet, TheUpstream, Entries[Stored.Home].Id, Now));
  }

  void probe(std::size_t Index) {
    Entry &Process = Entries[Index];
    EngineReport Report;
    Report.TakenAt = Now;
    for (const Call &Other : Running)
      Report.Running.push_back(Other.Request);
    Network.push_back({Index, Index, Now + milliseconds(pick(0, 500)), Report});
    send(Process, recordBootId(Process.Home, TheUpstream, boot(), Now));
    if (chance(50))
      send(Process, recordHealthy(Process.Home, TheUpstream, Now));
  }

  std::size_t indexOf(const EntryId &Id) const {
    for (std::size_t I = 0; I < Entries.size(); ++I)
      if (Entries[I].Id == Id)
        return I;
    return 0;
  }

  template <typename T> void sendMessage(Entry &From, const T &Body) {
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
    for (const CreditGrant &Grant : Grants)
      sendMessage(From, Grant);
  }
  void send(Entry &From, const WalletActions &Actions) {
    for (const CreditReport &Report : Actions.Reports)
      sendMessage(From, Report);
  }

  void receive(Entry &Process, const CreditReport &Body) {
    send(Process, receiveReport(Process.Home, Body, Now));
  }
  void receive(Entry &Process, const CreditGrant &Body) {
    send(Process, receiveGrant(Process.Wallet, Body, Now));
  }
  void receive(Entry &Process, const EngineReport &Body) {
    send(Process, receiveEngineReport(Process.Home, TheUpstream, Body.Running,
                                      Body.TakenAt, Now));
  }

  void deliver() {
    // Handling a message may send another one that is due at once.
    for (std::size_t I = 0; I < Network.size(); ++I) {
      Message Next = Network[I];
      Entry &To = Entries[Next.To];
      if (Next.ArrivesAt > Now || (To.Paused && To.Alive))
        continue;
      Network[I].ArrivesAt = DueTimes::Never;
      bool Cut = Entries[Next.From].Side != To.Side;
      if (!To.Alive || Cut)
        continue;
      std::visit([&](const auto &Body) { receive(To, Body); }, Next.Body);
      recordLimit();
    }
    std::erase_if(Network, [](const Message &M) {
      return M.ArrivesAt == DueTimes::Never;
    });
  }

  // ---- calls ----

  void startCalls(Entry &Process) {
    while (Process.Wanted > 0) {
      bool Suspect = Process.Wanted % 3 == 0;
      std::optional<Credit> Used =
          takeCredit(Process.Wallet, TheUpstream, Suspect, Now);
      if (!Used)
        Used = takeCredit(Process.Wallet, TheUpstream, !Suspect, Now);
      if (!Used)
        break;
      --Process.Wanted;
      std::string Id = Process.Id.str() + "." +
                       std::to_string(Process.EntryIncarnation) + "." +
                       std::to_string(NextRequest++);
      bool Long = !Healed && chance(30);
      TimePoint Arrives = Now + milliseconds(pick(0, 200));
      TimePoint Ends =
          Arrives + milliseconds(Long ? pick(2000, 9000) : pick(50, 1500));
      Process.Calls.push_back({*Used, RequestId(Id), Arrives, Ends});
      Arriving.push_back(Process.Calls.back());
    }
    CreditCount Waiting{Process.Wanted, Process.Wanted / 3};
    send(Process, setWantedCredits(Process.Wallet, TheUpstream, Waiting, Now));
  }

  void endCalls(Entry &Process) {
    std::vector<Call> Remaining;
    for (const Call &Started : Process.Calls) {
      bool Broken = Started.Used.Boot != boot() && Started.ArrivesAt <= Now;
      if (!Broken && Started.EndsAt > Now) {
        Remaining.push_back(Started);
        continue;
      }
      if (Broken)
        send(Process, reportColdUpstream(Process.Wallet, Started.Used,
                                         {ColdCause::NewBoot, boot()}, Now));
      send(Process, releaseCredit(Process.Wallet, Started.Used, Now));
    }
    Process.Calls = Remaining;
  }

  void arrive() {
    std::erase_if(Running, [&](const Call &C) { return C.EndsAt <= Now; });
    for (const Call &Next : Arriving) {
      if (Next.ArrivesAt > Now || Next.Used.Boot != boot())
        continue;
      ++Result.CallsRun;
      if (Next.EndsAt <= Now) // started and ended since the last step
        continue;
      Running.push_back(Next);
      checkRunning(Next);
    }
    std::erase_if(Arriving, [&](const Call &C) { return C.ArrivesAt <= Now; });
  }

  // ---- checks ----

  void recordLimit() {
    for (const Entry &Process : Entries) {
      auto Found = Process.Home.Ledgers.find(TheUpstream);
      if (!Process.Alive || Found == Process.Home.Ledgers.end())
        continue;
      const CreditLedger &Ledger = Found->second;
      int &Highest = HighestLimits[Ledger.Generation];
      Highest = std::max(Highest, Ledger.Limit);
      if (Ledger.Generation < Newest)
        continue;
      Newest = Ledger.Generation;
      CurrentLimit = Ledger.Limit;
    }
  }

  // Returns the highest limit of all generations from Oldest on.
  int highestSince(const CreditGeneration &Oldest) const {
    int Highest = 0;
    for (auto Place = HighestLimits.lower_bound(Oldest);
         Place != HighestLimits.end(); ++Place)
      Highest = std::max(Highest, Place->second);
    return Highest;
  }

  // When a call starts on a credit of the newest generation, all running calls,
  // also those on credits lent before, must be within the current limit.
  void checkRunning(const Call &Started) {
    CreditGeneration Oldest = Newest;
    int Suspects = 0;
    for (const Call &Other : Running) {
      Oldest = std::min(Oldest, Other.Used.Generation);
      Suspects += Other.Used.Suspect ? 1 : 0;
    }
    int Limit =
        Started.Used.Generation == Newest ? CurrentLimit : highestSince(Oldest);
    if (static_cast<int>(Running.size()) > Limit)
      reportViolation("running " + std::to_string(Running.size()) +
                      " above limit " + std::to_string(Limit));
    if (Suspects > 1)
      reportViolation("two suspects run at once");
  }

  // Checks that the credits that are idle or in use, over all entries, are
  // within the highest limit since the oldest generation among them.
  void checkExisting() {
    int Existing = 0;
    CreditGeneration Oldest = Newest;
    std::set<RequestId> Counted;
    auto Count = [&](const Call &Candidate) {
      if (!Counted.insert(Candidate.Request).second)
        return;
      ++Existing;
      Oldest = std::min(Oldest, Candidate.Used.Generation);
    };
    for (const Entry &Process : Entries) {
      auto Found = Process.Wallet.Holdings.find(TheUpstream);
      if (!Process.Alive || Found == Process.Wallet.Holdings.end())
        continue;
      std::for_each(Process.Calls.begin(), Process.Calls.end(), Count);
      Existing += Found->second.Idle.total();
      if (Found->second.Idle.total() > 0)
        Oldest = std::min(Oldest, Found->second.Generation);
    }
    std::for_each(Running.begin(), Running.end(), Count);
    if (Existing > highestSince(Oldest))
      reportViolation(std::to_string(Existing) + " credits above limit " +
                      std::to_string(highestSince(Oldest)));
  }

  void checkNothingLost() {
    int Held = 0;
    for (const Entry &Process : Entries) {
      auto Found = Process.Wallet.Holdings.find(TheUpstream);
      if (Process.Alive && Found != Process.Wallet.Holdings.end())
        Held += Found->second.Idle.total() + Found->second.InUse.total();
    }
    auto Found = Entries[Stored.Home].Home.Ledgers.find(TheUpstream);
    if (Found == Entries[Stored.Home].Home.Ledgers.end())
      return reportLoss("no home after healing");
    int Counted = outstandingCredits(Found->second).total();
    if (Counted != Held)
      reportLoss("home counts " + std::to_string(Counted) + " credits, " +
                 std::to_string(Held) + " are held");
  }

  void run() {
    arrive();
    deliver();
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      Entry &Process = Entries[I];
      if (!Process.Alive || Process.Paused)
        continue;
      if (chance(Healed ? 100 : 30))
        readInstanceList(I);
      if (isHome(Process) && chance(Healed ? 100 : 30))
        probe(I);
      if (isHome(Process) && Process.Home.Ledgers[TheUpstream].Stopped)
        finishRelease(Process);
      endCalls(Process);
      send(Process, tickWallet(Process.Wallet, Now));
      send(Process, tickHome(Process.Home, Now));
      recordLimit();
      startCalls(Process);
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
  for (std::uint32_t Step : Steps) {
    Simulated.step(Step);
    if (!Simulated.Result.Violation.empty())
      return Simulated.Result;
  }
  Simulated.finish();
  return Simulated.Result;
}

std::vector<std::uint32_t> randomSteps(std::uint32_t Seed, int Count) {
  std::mt19937 Random(Seed);
  std::vector<std::uint32_t> Steps(Count);
  for (std::uint32_t &Step : Steps)
    Step = Random();
  return Steps;
}

} // namespace samphirehill::test
