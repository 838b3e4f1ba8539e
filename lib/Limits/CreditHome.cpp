#include "samphirehill/Limits/CreditHome.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <string_view>

namespace samphirehill {
namespace {

constexpr Duration FaultyReclaimAfter = seconds(2);

// One upstream during one call of this file's entry points.
struct Desk {
  CreditHome &Home;
  const UpstreamId &Upstream;
  CreditLedger &Ledger;
  TimePoint Now;
  HomeActions &Out;
};

// A bound of Total credits, one of which may be a suspect one.
CreditCount boundOf(int Total) { return {std::max(0, Total - 1), 1}; }

int zoneEntries(const CreditLedger &Ledger) {
  int Count = 0;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Count += Account.InZone && Account.Listed ? 1 : 0;
  return Count;
}

bool keepsReserve(const CreditLedger &Ledger, const CreditAccount &Account) {
  return Ledger.ReserveOn && Account.InZone && Account.Listed &&
         !Account.Leaving;
}

void sendGrant(Desk &At, const EntryId &Entry, CreditAccount &Account) {
  CreditGrant Grant;
  Grant.From = At.Home.Self;
  Grant.To = Entry;
  Grant.ToIncarnation = Account.Number;
  Grant.Upstream = At.Upstream;
  Grant.Generation = At.Ledger.Generation;
  Grant.ColdSince = At.Ledger.ColdSince;
  Grant.Boot = At.Ledger.Boot;
  Grant.Sequence = Account.GrantSequence;
  Grant.AckedReport = Account.ReportSequence;
  Grant.NeedsAck =
      !Account.Joined || Account.AckedGrant < Account.GrantSequence;
  Grant.Granted = Account.Joined ? Account.Granted : CreditCount{};
  Grant.Reserve = keepsReserve(At.Ledger, Account);
  At.Out.push_back(Grant);
}

// Sends the changed grant and keeps sending it until it is acknowledged.
void grantChange(Desk &At, const EntryId &Entry, CreditAccount &Account) {
  Account.GrantSequence = ++At.Ledger.LastGrant;
  Account.ResendDelay = At.Home.Settings.ResendAfter;
  Account.ResendAt = At.Now + Account.ResendDelay;
  sendGrant(At, Entry, Account);
}

void updateDue(Desk &At) {
  TimePoint Due = DueTimes::Never;
  for (const auto &[Entry, Account] : At.Ledger.Accounts) {
    Due = std::min(Due, Account.ResendAt);
    if (At.Home.Settings.Faults.ReclaimOnTimeout &&
        Account.outstanding().total() > 0)
      Due = std::min(Due, Account.LastHeard + FaultyReclaimAfter);
  }
  for (const GoneBorrower &Gone : At.Ledger.Gone)
    Due = std::min(Due, Gone.ConfirmedAt + At.Home.Settings.MaxDeadline);
  At.Home.Times.move(At.Upstream, At.Ledger.Due, Due);
}

CreditCount wantedBy(const CreditAccount &Account) {
  CreditCount OnTheWay = Account.Granted - Account.Received;
  CreditCount Left = Account.Wanted - OnTheWay;
  return {std::max(0, Left.Normal), std::max(0, Left.Suspect)};
}

// The state of one round of lending.
struct Round {
  int Free;     // credits below the limit
  int HeldBack; // of these, for reserves that are still to be lent
  bool SuspectFree;
  std::set<EntryId> Served;
};

bool lacksReserve(const CreditLedger &Ledger, const CreditAccount &Account) {
  return keepsReserve(Ledger, Account) && Account.outstanding().total() == 0;
}

void lendReserves(Desk &At, Round &Lent) {
  for (auto &[Entry, Account] : At.Ledger.Accounts) {
    if (!lacksReserve(At.Ledger, Account))
      continue;
    if (!Account.Joined || Lent.Free <= 0) {
      ++Lent.HeldBack;
      continue;
    }
    ++Account.Granted.Normal;
    --Lent.Free;
    Lent.Served.insert(Entry);
  }
}

// Lends one batch to a borrower. Returns whether it lent any credit.
bool lendBatch(Desk &At, Round &Lent, const EntryId &Entry,
               CreditAccount &Account) {
  if (!Account.Joined || !Account.Listed || Account.Leaving)
    return false;
  CreditCount Wanted = wantedBy(Account);
  int Limit = At.Ledger.Limit;
  int Cap = Entry == At.Home.Self ? Limit : borrowerCap(Limit);
  int Room =
      std::min(Cap - Account.outstanding().total(), Lent.Free - Lent.HeldBack);
  bool GivesSuspect = Wanted.Suspect > 0 && Lent.SuspectFree && Room > 0;
  int Entries = std::max(1, static_cast<int>(At.Ledger.Accounts.size()));
  int Batch = std::clamp(Limit / (4 * Entries), 1, At.Home.Settings.MaxBatch);
  int Normal =
      std::min(Wanted.Normal > 0 ? Batch : 0, Room - (GivesSuspect ? 1 : 0));
  CreditCount Given{std::max(0, Normal), GivesSuspect ? 1 : 0};
  if (Given.total() == 0)
    return false;
  Account.Granted = Account.Granted + Given;
  Lent.Free -= Given.total();
  Lent.SuspectFree = At.Home.Settings.Faults.ManySuspects ||
                     (Lent.SuspectFree && !GivesSuspect);
  Lent.Served.insert(Entry);
  At.Ledger.LastServed = Entry;
  return true;
}

// Lends to all borrowers that wait, a batch at a time, beginning after the one
// served last, until nothing can be lent.
void lendOnDemand(Desk &At, Round &Lent) {
  std::vector<EntryId> Turn;
  for (const auto &[Entry, Account] : At.Ledger.Accounts)
    if (wantedBy(Account).total() > 0)
      Turn.push_back(Entry);
  auto First = std::upper_bound(Turn.begin(), Turn.end(), At.Ledger.LastServed);
  std::rotate(Turn.begin(), First, Turn.end());
  bool Any = true;
  while (Any) {
    Any = false;
    for (const EntryId &Entry : Turn)
      Any |= lendBatch(At, Lent, Entry, At.Ledger.Accounts[Entry]);
  }
}

// Lends what the limit allows. Returns the borrowers that were sent a grant.
std::set<EntryId> lend(Desk &At) {
  CreditLedger &Ledger = At.Ledger;
  bool ReserveOn = Ledger.Limit >= zoneEntries(Ledger);
  CreditCount Out = outstandingCredits(Ledger);
  Round Lent{Ledger.Limit - Out.total(),
             0,
             Out.Suspect == 0 || At.Home.Settings.Faults.ManySuspects,
             {}};
  if (ReserveOn != Ledger.ReserveOn) {
    Ledger.ReserveOn = ReserveOn;
    for (const auto &[Entry, Account] : Ledger.Accounts)
      if (Account.InZone)
        Lent.Served.insert(Entry);
  }
  if (!Ledger.Stopped) {
    lendReserves(At, Lent);
    lendOnDemand(At, Lent);
  }
  for (const EntryId &Entry : Lent.Served)
    grantChange(At, Entry, Ledger.Accounts[Entry]);
  updateDue(At);
  return Lent.Served;
}

// Starts a generation: credits lent before count until their borrower reports.
void recall(Desk &At) {
  ++At.Ledger.Generation.Recall;
  for (auto &[Entry, Account] : At.Ledger.Accounts) {
    Account.Bound = Account.outstanding();
    if (At.Home.Settings.Faults.ReclaimOnRecall)
      Account.Bound = {};
    Account.Joined = false;
    bool Concerned = Account.InZone || Account.Bound.total() > 0 ||
                     Account.Wanted.total() > 0;
    if (Concerned)
      grantChange(At, Entry, Account);
  }
}

void setLimit(Desk &At, int Limit) {
  bool Lower = Limit < At.Ledger.Limit;
  At.Ledger.Limit = Limit;
  At.Ledger.LastStep = At.Now;
  if (Lower && outstandingCredits(At.Ledger).total() > Limit)
    recall(At);
  lend(At);
}

void recallToCold(Desk &At, const BootId &Boot) {
  if (!Boot.empty())
    At.Ledger.Boot = Boot;
  At.Ledger.Limit = At.Ledger.ColdLimit;
  At.Ledger.LastStep = At.Now;
  At.Ledger.ColdSince = {At.Ledger.Generation.Epoch,
                         At.Ledger.Generation.Recall + 1};
  recall(At);
  lend(At);
}

void addGone(Desk &At, const EntryId &Entry, Incarnation Number,
             Incarnation Except, const CreditCount &Counted) {
  if (Counted.total() > 0 && !At.Home.Settings.Faults.ReclaimOnConfirmation)
    At.Ledger.Gone.push_back({Entry, Number, Except, Counted, At.Now});
}

// Closes the account of an incarnation older than Newer.
void replaceIncarnation(Desk &At, const EntryId &Entry, CreditAccount &Account,
                        Incarnation Newer) {
  if (Account.Number == 0 || Newer <= Account.Number)
    return;
  addGone(At, Entry, Account.Number, 0, Account.outstanding());
  CreditAccount Fresh;
  Fresh.InZone = Account.InZone;
  Fresh.Listed = Account.Listed;
  Fresh.Number = Newer;
  Account = Fresh;
}

// Returns whether Report is from the newest incarnation of its sender.
bool adoptIncarnation(Desk &At, CreditAccount &Account,
                      const CreditReport &Report) {
  replaceIncarnation(At, Report.From, Account, Report.FromIncarnation);
  if (Report.FromIncarnation < Account.Number)
    return false;
  // Under an earlier home, an earlier incarnation of the sender may have
  // borrowed, or been the home. This home can't know it by its number.
  bool MayHavePast = Account.Number == 0 && At.Ledger.PastLimit > 0 &&
                     Report.Uptime < At.Home.Settings.MaxDeadline;
  if (MayHavePast)
    addGone(At, Report.From, 0, Report.FromIncarnation,
            boundOf(At.Ledger.PastLimit));
  Account.Number = Report.FromIncarnation;
  return true;
}

// Applies the totals of Report. Returns false if they contradict the account.
bool applyTotals(CreditLedger &Ledger, CreditAccount &Account,
                 const CreditReport &Report) {
  if (Report.Generation == Ledger.Generation) {
    if (!Account.Joined) {
      // Nothing is lent before the borrower has joined.
      CreditCount Rest = Report.Carried - Report.Returned;
      if (Rest.Normal < 0 || Rest.Suspect < 0)
        return false;
      Account.Joined = true;
      Account.Generation = Report.Generation;
      Account.Carried = Report.Carried;
      Account.Granted = {};
    }
    Account.Received = Report.Received;
    Account.Returned = Report.Returned;
    Account.AckedGrant = std::max(Account.AckedGrant, Report.AckedGrant);
  } else if (!Account.Joined && Account.Generation.Epoch != 0 &&
             Report.Generation == Account.Generation) {
    Account.Returned = Report.Returned;
    Account.Bound = Account.Carried + Account.Granted - Account.Returned;
  }
  return true;
}

int runningOf(const std::vector<RequestId> &Running, const EntryId &Entry,
              Incarnation Number) {
  std::string Prefix = Entry.str() + ".";
  if (Number != 0)
    Prefix += std::to_string(Number) + ".";
  return static_cast<int>(std::count_if(
      Running.begin(), Running.end(), [&Prefix](const RequestId &Request) {
        return std::string_view(Request.str()).starts_with(Prefix);
      }));
}

int runningOf(const std::vector<RequestId> &Running, const GoneBorrower &Gone) {
  int Count = runningOf(Running, Gone.Entry, Gone.Number);
  if (Gone.Except != 0)
    Count -= runningOf(Running, Gone.Entry, Gone.Except);
  return Count;
}

// Counts the requests of incarnations that the ledger doesn't know.
int runningOfUnknown(const CreditLedger &Ledger,
                     const std::vector<RequestId> &Running) {
  int Known = 0;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Known +=
        Account.Number != 0 ? runningOf(Running, Entry, Account.Number) : 0;
  for (const GoneBorrower &Gone : Ledger.Gone)
    Known += Gone.Entry.empty() ? 0 : runningOf(Running, Gone);
  return std::max(0, static_cast<int>(Running.size()) - Known);
}

void lowerTo(CreditCount &Count, int Total) {
  int Left = std::min(Count.total(), Total);
  Count.Suspect = std::min(Count.Suspect, Left);
  Count.Normal = Left - Count.Suspect;
}

void listBorrowers(CreditLedger &Ledger, const std::vector<EntryId> &Entries,
                   bool InZone, const CreditCount &Bound) {
  for (const EntryId &Entry : Entries) {
    auto [Place, IsNew] = Ledger.Accounts.try_emplace(Entry);
    Place->second.InZone = InZone;
    Place->second.Listed = true;
    if (IsNew)
      Place->second.Bound = Bound;
  }
}

void countPast(CreditLedger &Ledger, const HomeOpening &Opening,
               TimePoint Now) {
  for (const PastBorrower &Past : Opening.Past) {
    int Most = Past.MayHaveBeenHome ? Opening.HighestLimit
                                    : borrowerCap(Opening.HighestLimit);
    Ledger.Gone.push_back(
        {Past.Entry, Past.Number, 0, boundOf(Most), Past.ConfirmedAt});
  }
  if (!Opening.PastIsComplete)
    Ledger.Gone.push_back(
        {EntryId(), 0, 0, boundOf(Opening.HighestLimit), Now});
}

// Runs Function on the ledger of Upstream, if this entry is its home.
template <typename F>
HomeActions withLedger(CreditHome &Home, const UpstreamId &Upstream,
                       TimePoint Now, F &&Function) {
  HomeActions Out;
  auto Found = Home.Ledgers.find(Upstream);
  if (Found == Home.Ledgers.end())
    return Out;
  Desk At{Home, Found->first, Found->second, Now, Out};
  Function(At);
  return Out;
}

} // namespace

HomeActions openHome(CreditHome &Home, const HomeOpening &Opening,
                     TimePoint Now) {
  CreditLedger &Ledger = Home.Ledgers[Opening.Upstream];
  if (Ledger.Generation.Epoch >= Opening.Epoch)
    return {};
  Home.Times.move(Opening.Upstream, Ledger.Due, DueTimes::Never);
  Ledger = CreditLedger();
  Ledger.Generation = {Opening.Epoch, 1};
  if (Opening.StartLimit <= Opening.ColdLimit)
    Ledger.ColdSince = Ledger.Generation;
  Ledger.Boot = Opening.Boot;
  Ledger.ColdLimit = Opening.ColdLimit;
  Ledger.WarmLimit = Opening.WarmLimit;
  Ledger.Limit = Opening.StartLimit;
  Ledger.LastStep = Now;
  bool None = Opening.FirstHome || Home.Settings.Faults.IgnoreUnreachable;
  CreditCount Bound =
      None ? CreditCount{} : boundOf(borrowerCap(Opening.HighestLimit));
  listBorrowers(Ledger, Opening.Borrowers.Zone, true, Bound);
  listBorrowers(Ledger, Opening.Borrowers.Remote, false, Bound);
  Ledger.PastLimit = None ? 0 : Opening.HighestLimit;
  if (!None)
    countPast(Ledger, Opening, Now);
  return withLedger(Home, Opening.Upstream, Now, [](Desk &At) {
    for (auto &[Entry, Account] : At.Ledger.Accounts) {
      Account.LastHeard = At.Now;
      if (Account.InZone || Account.Bound.total() > 0)
        grantChange(At, Entry, Account);
    }
    updateDue(At);
  });
}

HomeActions receiveReport(CreditHome &Home, const CreditReport &Report,
                          TimePoint Now) {
  return withLedger(Home, Report.Upstream, Now, [&Report](Desk &At) {
    auto Found = At.Ledger.Accounts.find(Report.From);
    if (Found == At.Ledger.Accounts.end())
      return;
    CreditAccount &Account = Found->second;
    if (!adoptIncarnation(At, Account, Report))
      return;
    if (Report.Sequence < Account.ReportSequence ||
        !applyTotals(At.Ledger, Account, Report))
      return;
    Account.ReportSequence = Report.Sequence;
    Account.LastHeard = At.Now;
    Account.Wanted = Report.Wanted;
    Account.Leaving = Report.Leaving;
    if (Account.Joined && Account.AckedGrant >= Account.GrantSequence)
      Account.ResendAt = DueTimes::Never;
    if (Report.Cold && Report.Generation >= At.Ledger.ColdSince &&
        Report.Generation.Epoch == At.Ledger.Generation.Epoch) {
      recallToCold(At, Report.Cold->Boot);
      return;
    }
    bool Answered = lend(At).contains(Report.From);
    bool NeedsAnswer =
        Report.NeedsAck || Report.Generation != At.Ledger.Generation;
    if (NeedsAnswer && !Answered)
      sendGrant(At, Report.From, Account);
  });
}

HomeActions setBorrowers(CreditHome &Home, const UpstreamId &Upstream,
                         const BorrowerList &Borrowers, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&Borrowers](Desk &At) {
    for (auto &[Entry, Account] : At.Ledger.Accounts)
      Account.Listed = false;
    listBorrowers(At.Ledger, Borrowers.Zone, true, {});
    listBorrowers(At.Ledger, Borrowers.Remote, false, {});
    for (auto &[Entry, Account] : At.Ledger.Accounts)
      if (Account.InZone && Account.GrantSequence == 0)
        grantChange(At, Entry, Account);
    lend(At);
  });
}

HomeActions confirmGone(CreditHome &Home, const EntryId &Entry, TimePoint Now) {
  HomeActions Out;
  for (auto &[Upstream, Ledger] : Home.Ledgers) {
    auto Found = Ledger.Accounts.find(Entry);
    if (Found == Ledger.Accounts.end())
      continue;
    Desk At{Home, Upstream, Ledger, Now, Out};
    addGone(At, Entry, Found->second.Number, 0, Found->second.outstanding());
    Ledger.Accounts.erase(Found);
    lend(At);
  }
  return Out;
}

HomeActions seeIncarnation(CreditHome &Home, const EntryId &Entry,
                           Incarnation Number, TimePoint Now) {
  HomeActions Out;
  for (auto &[Upstream, Ledger] : Home.Ledgers) {
    auto Found = Ledger.Accounts.find(Entry);
    if (Found == Ledger.Accounts.end())
      continue;
    Desk At{Home, Upstream, Ledger, Now, Out};
    replaceIncarnation(At, Entry, Found->second, Number);
    lend(At);
  }
  return Out;
}

HomeActions receiveEngineReport(CreditHome &Home, const UpstreamId &Upstream,
                                const std::vector<RequestId> &Running,
                                TimePoint TakenAt, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&](Desk &At) {
    std::vector<GoneBorrower> &Gone = At.Ledger.Gone;
    if (Gone.empty())
      return;
    int Unknown = runningOfUnknown(At.Ledger, Running);
    for (GoneBorrower &Each : Gone) {
      if (TakenAt < Each.ConfirmedAt + At.Home.Settings.ReportDelay)
        continue;
      lowerTo(Each.Counted,
              Each.Entry.empty() ? Unknown : runningOf(Running, Each));
    }
    std::erase_if(Gone, [](const GoneBorrower &Each) {
      return Each.Counted.total() == 0;
    });
    lend(At);
  });
}

HomeActions seeBoot(CreditHome &Home, const UpstreamId &Upstream,
                    const BootId &Boot, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&Boot](Desk &At) {
    if (At.Ledger.Boot != Boot)
      recallToCold(At, Boot);
  });
}

HomeActions seeCold(CreditHome &Home, const UpstreamId &Upstream,
                    const ColdEvidence &Evidence, TimePoint Now) {
  return withLedger(Home, Upstream, Now,
                    [&Evidence](Desk &At) { recallToCold(At, Evidence.Boot); });
}

HomeActions seeOverload(CreditHome &Home, const UpstreamId &Upstream,
                        TimePoint Now) {
  return withLedger(Home, Upstream, Now, [](Desk &At) {
    CreditLedger &Ledger = At.Ledger;
    bool TooSoon = Ledger.LastHalving != TimePoint{} &&
                   At.Now - Ledger.LastHalving < At.Home.Settings.RampStep;
    if (TooSoon)
      return;
    Ledger.LastHalving = At.Now;
    setLimit(At, std::max(Ledger.ColdLimit, Ledger.Limit / 2));
  });
}

HomeActions seeHealthy(CreditHome &Home, const UpstreamId &Upstream,
                       TimePoint Now) {
  return withLedger(Home, Upstream, Now, [](Desk &At) {
    CreditLedger &Ledger = At.Ledger;
    bool Due = At.Now - Ledger.LastStep >= At.Home.Settings.RampStep;
    if (!Due || Ledger.Limit >= Ledger.WarmLimit)
      return;
    double Raised = std::ceil(Ledger.Limit * At.Home.Settings.RampFactor);
    setLimit(At, std::min(Ledger.WarmLimit, static_cast<int>(Raised)));
  });
}

HomeActions setLimits(CreditHome &Home, const UpstreamId &Upstream,
                      int ColdLimit, int WarmLimit, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&](Desk &At) {
    At.Ledger.ColdLimit = ColdLimit;
    At.Ledger.WarmLimit = WarmLimit;
    setLimit(At, std::clamp(At.Ledger.Limit, ColdLimit, WarmLimit));
  });
}

void stopLending(CreditHome &Home, const UpstreamId &Upstream) {
  auto Found = Home.Ledgers.find(Upstream);
  if (Found != Home.Ledgers.end())
    Found->second.Stopped = true;
}

bool canReleaseHome(const CreditHome &Home, const UpstreamId &Upstream) {
  auto Found = Home.Ledgers.find(Upstream);
  if (Found == Home.Ledgers.end())
    return true;
  const CreditLedger &Ledger = Found->second;
  auto Own = Ledger.Accounts.find(Home.Self);
  if (Own == Ledger.Accounts.end())
    return Ledger.Stopped;
  return Ledger.Stopped &&
         Own->second.outstanding().total() <= borrowerCap(Ledger.Limit);
}

void releaseHome(CreditHome &Home, const UpstreamId &Upstream) {
  auto Found = Home.Ledgers.find(Upstream);
  if (Found == Home.Ledgers.end())
    return;
  Home.Times.move(Upstream, Found->second.Due, DueTimes::Never);
  Home.Ledgers.erase(Found);
}

HomeActions tickHome(CreditHome &Home, TimePoint Now) {
  HomeActions Out;
  while (const UpstreamId *Due = Home.Times.due(Now)) {
    UpstreamId Upstream = *Due;
    CreditLedger &Ledger = Home.Ledgers[Upstream];
    Desk At{Home, Upstream, Ledger, Now, Out};
    std::erase_if(Ledger.Gone, [&](const GoneBorrower &Each) {
      return Each.ConfirmedAt + Home.Settings.MaxDeadline <= Now;
    });
    for (auto &[Entry, Account] : Ledger.Accounts) {
      bool Silent = Home.Settings.Faults.ReclaimOnTimeout &&
                    Account.LastHeard + FaultyReclaimAfter <= Now;
      if (Silent) {
        Account.Bound = {};
        Account.Joined = false;
      }
      if (Account.ResendAt > Now)
        continue;
      sendGrant(At, Entry, Account);
      Account.ResendDelay =
          std::min(Account.ResendDelay * 2, Home.Settings.MaxResend);
      Account.ResendAt = Now + Account.ResendDelay;
    }
    lend(At);
  }
  return Out;
}

TimePoint nextHomeTime(const CreditHome &Home) { return Home.Times.next(); }

CreditCount outstandingCredits(const CreditLedger &Ledger) {
  CreditCount Sum;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Sum = Sum + Account.outstanding();
  for (const GoneBorrower &Gone : Ledger.Gone)
    Sum = Sum + Gone.Counted;
  return Sum;
}

} // namespace samphirehill
