#include "samphirehill/Limits/CreditHome.h"

#include "CreditLending.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

namespace samphirehill {
namespace {

// Counts Counted credits of an incarnation that is confirmed gone until its
// calls have ended. An EntryIncarnation of 0 means any but ExceptIncarnation.
void addGone(LedgerContext &Context, const EntryId &Entry,
             Incarnation EntryIncarnation, Incarnation ExceptIncarnation,
             const CreditCount &Counted) {
  if (Counted.total() > 0 &&
      !Context.Home.Settings.Faults.ReclaimOnConfirmation)
    Context.Ledger.Gone.push_back(
        {Entry, EntryIncarnation, ExceptIncarnation, Counted, Context.Now});
}

// If the account is of an incarnation older than Newer, counts that incarnation
// as gone and starts an account for Newer.
void replaceIncarnation(LedgerContext &Context, const EntryId &Entry,
                        CreditAccount &Account, Incarnation Newer) {
  if (Account.EntryIncarnation == 0 || Newer <= Account.EntryIncarnation)
    return;
  addGone(Context, Entry, Account.EntryIncarnation, 0, Account.outstanding());
  CreditAccount Fresh;
  Fresh.InZone = Account.InZone;
  Fresh.Listed = Account.Listed;
  Fresh.EntryIncarnation = Newer;
  Account = Fresh;
}

// Sets the account's incarnation from Report. Returns false if Report is from
// an earlier incarnation of its sender than the account's.
bool acceptIncarnation(LedgerContext &Context, CreditAccount &Account,
                       const CreditReport &Report) {
  replaceIncarnation(Context, Report.From, Account, Report.FromIncarnation);
  if (Report.FromIncarnation < Account.EntryIncarnation)
    return false;
  // An earlier incarnation of the sender may have borrowed from an earlier
  // home, or may have been that home. This home doesn't know which incarnation
  // it was.
  bool MayHavePast = Account.EntryIncarnation == 0 &&
                     Context.Ledger.PastLimit > 0 &&
                     Report.Uptime < Context.Home.Settings.MaxDeadline;
  if (MayHavePast)
    addGone(Context, Report.From, 0, Report.FromIncarnation,
            boundOf(Context.Ledger.PastLimit));
  Account.EntryIncarnation = Report.FromIncarnation;
  return true;
}

// Applies the totals of Report. Returns false if they are inconsistent.
bool applyTotals(CreditLedger &Ledger, CreditAccount &Account,
                 const CreditReport &Report) {
  if (Report.Generation == Ledger.Generation) {
    if (!Account.Joined) {
      // A borrower that joins a generation holds no more than the credits it
      // carried over, since nothing is lent to it before it has joined.
      CreditCount StillCarried = Report.Carried - Report.Returned;
      if (StillCarried.Normal < 0 || StillCarried.Suspect < 0)
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
    // The borrower still reports its last generation; what it returns lowers
    // the bound.
    Account.Returned = Report.Returned;
    Account.Bound = Account.Carried + Account.Granted - Account.Returned;
  }
  return true;
}

// Returns whether Request was sent by incarnation EntryIncarnation of Entry; 0
// means any. A request id begins with the entry's id and incarnation.
bool isSentBy(const RequestId &Request, const EntryId &Entry,
              Incarnation EntryIncarnation) {
  std::string Prefix = Entry.str() + ".";
  if (EntryIncarnation != 0)
    Prefix += std::to_string(EntryIncarnation) + ".";
  return std::string_view(Request.str()).starts_with(Prefix);
}

bool isSentBy(const RequestId &Request, const GoneBorrower &Gone) {
  return isSentBy(Request, Gone.Entry, Gone.EntryIncarnation) &&
         (Gone.ExceptIncarnation == 0 ||
          !isSentBy(Request, Gone.Entry, Gone.ExceptIncarnation));
}

// Returns whether Request was sent by an incarnation that the ledger knows.
bool isKnown(const CreditLedger &Ledger, const RequestId &Request) {
  for (const auto &[Entry, Account] : Ledger.Accounts)
    if (Account.EntryIncarnation != 0 &&
        isSentBy(Request, Entry, Account.EntryIncarnation))
      return true;
  return std::any_of(Ledger.Gone.begin(), Ledger.Gone.end(),
                     [&Request](const GoneBorrower &Gone) {
                       return !Gone.Entry.empty() && isSentBy(Request, Gone);
                     });
}

// Returns how many of the running requests Gone may have sent.
int countRunning(const CreditLedger &Ledger, const GoneBorrower &Gone,
                 const std::vector<RequestId> &Running) {
  return static_cast<int>(std::count_if(
      Running.begin(), Running.end(), [&](const RequestId &Request) {
        return Gone.Entry.empty() ? !isKnown(Ledger, Request)
                                  : isSentBy(Request, Gone);
      }));
}

// Lowers Count to at most Total credits. Suspect credits are kept first.
void lowerTo(CreditCount &Count, int Total) {
  int Kept = std::min(Count.total(), Total);
  Count.Suspect = std::min(Count.Suspect, Kept);
  Count.Normal = Kept - Count.Suspect;
}

// Lets Entries borrow. Bound is the initial bound of entries without an
// account.
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

// Counts what borrowers that are gone may hold under the limits of earlier
// homes.
void countPastBorrowers(CreditLedger &Ledger, const HomeOpening &Opening,
                        TimePoint Now) {
  for (const PastBorrower &Past : Opening.Past) {
    int MaxCredits = Past.MayHaveBeenHome ? Opening.HighestLimit
                                          : borrowerCap(Opening.HighestLimit);
    Ledger.Gone.push_back({Past.Entry, Past.EntryIncarnation, 0,
                           boundOf(MaxCredits), Past.ConfirmedAt});
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
  LedgerContext Context{Home, Found->first, Found->second, Now, Out};
  Function(Context);
  return Out;
}

} // namespace

HomeActions openHome(CreditHome &Home, const HomeOpening &Opening,
                     TimePoint Now) {
  CreditLedger &Ledger = Home.Ledgers[Opening.Upstream];
  if (Ledger.Generation.Epoch >= Opening.Epoch)
    return {};
  Home.Times.reschedule(Opening.Upstream, Ledger.Due, DueTimes::Never);
  Ledger = CreditLedger();
  Ledger.Generation = {Opening.Epoch, 1};
  if (Opening.StartLimit <= Opening.ColdLimit)
    Ledger.ColdSince = Ledger.Generation;
  Ledger.Boot = Opening.Boot;
  Ledger.ColdLimit = Opening.ColdLimit;
  Ledger.WarmLimit = Opening.WarmLimit;
  Ledger.Limit = Opening.StartLimit;
  Ledger.LastStep = Now;
  Ledger.RampFactor = Opening.RampFactor;
  Ledger.RampStep = Opening.RampStep;
  bool NoneLent = Opening.FirstHome || Home.Settings.Faults.IgnoreUnreachable;
  CreditCount Bound =
      NoneLent ? CreditCount{} : boundOf(borrowerCap(Opening.HighestLimit));
  listBorrowers(Ledger, Opening.Borrowers.Zone, true, Bound);
  listBorrowers(Ledger, Opening.Borrowers.Remote, false, Bound);
  Ledger.PastLimit = NoneLent ? 0 : Opening.HighestLimit;
  if (!NoneLent)
    countPastBorrowers(Ledger, Opening, Now);
  return withLedger(Home, Opening.Upstream, Now, [](LedgerContext &Context) {
    for (auto &[Entry, Account] : Context.Ledger.Accounts) {
      Account.LastReportAt = Context.Now;
      if (Account.InZone || Account.Bound.total() > 0)
        grantChange(Context, Entry, Account);
    }
    updateDue(Context);
  });
}

HomeActions receiveReport(CreditHome &Home, const CreditReport &Report,
                          TimePoint Now) {
  return withLedger(
      Home, Report.Upstream, Now, [&Report](LedgerContext &Context) {
        auto Found = Context.Ledger.Accounts.find(Report.From);
        if (Found == Context.Ledger.Accounts.end())
          return;
        CreditAccount &Account = Found->second;
        if (!acceptIncarnation(Context, Account, Report))
          return;
        if (Report.Sequence < Account.ReportSequence ||
            !applyTotals(Context.Ledger, Account, Report))
          return;
        Account.ReportSequence = Report.Sequence;
        Account.LastReportAt = Context.Now;
        Account.Wanted = Report.Wanted;
        Account.Leaving = Report.Leaving;
        if (Account.Joined && Account.AckedGrant >= Account.GrantSequence)
          Account.ResendAt = DueTimes::Never;
        if (Report.Cold && Report.Generation >= Context.Ledger.ColdSince &&
            Report.Generation.Epoch == Context.Ledger.Generation.Epoch) {
          recallToCold(Context, Report.Cold->Boot);
          return;
        }
        bool Answered = lend(Context).contains(Report.From);
        bool NeedsAnswer =
            Report.NeedsAck || Report.Generation != Context.Ledger.Generation;
        if (NeedsAnswer && !Answered)
          sendGrant(Context, Report.From, Account);
      });
}

HomeActions setBorrowers(CreditHome &Home, const UpstreamId &Upstream,
                         const BorrowerList &Borrowers, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&Borrowers](LedgerContext &Context) {
    for (auto &[Entry, Account] : Context.Ledger.Accounts)
      Account.Listed = false;
    listBorrowers(Context.Ledger, Borrowers.Zone, true, {});
    listBorrowers(Context.Ledger, Borrowers.Remote, false, {});
    for (auto &[Entry, Account] : Context.Ledger.Accounts)
      if (Account.InZone && Account.GrantSequence == 0)
        grantChange(Context, Entry, Account);
    lend(Context);
  });
}

HomeActions recordEntryGone(CreditHome &Home, const EntryId &Entry,
                            TimePoint Now) {
  HomeActions Out;
  for (auto &[Upstream, Ledger] : Home.Ledgers) {
    auto Found = Ledger.Accounts.find(Entry);
    if (Found == Ledger.Accounts.end())
      continue;
    LedgerContext Context{Home, Upstream, Ledger, Now, Out};
    CreditAccount &Account = Found->second;
    // If no report of this entry was received, an earlier incarnation of it may
    // have been the home.
    bool MayHavePast = Account.EntryIncarnation == 0 && Ledger.PastLimit > 0;
    addGone(Context, Entry, Account.EntryIncarnation, 0,
            MayHavePast ? boundOf(Ledger.PastLimit) : Account.outstanding());
    Ledger.Accounts.erase(Found);
    lend(Context);
  }
  return Out;
}

HomeActions recordIncarnation(CreditHome &Home, const EntryId &Entry,
                              Incarnation Newest, TimePoint Now) {
  HomeActions Out;
  for (auto &[Upstream, Ledger] : Home.Ledgers) {
    auto Found = Ledger.Accounts.find(Entry);
    if (Found == Ledger.Accounts.end())
      continue;
    LedgerContext Context{Home, Upstream, Ledger, Now, Out};
    replaceIncarnation(Context, Entry, Found->second, Newest);
    lend(Context);
  }
  return Out;
}

HomeActions receiveEngineReport(CreditHome &Home, const UpstreamId &Upstream,
                                const std::vector<RequestId> &Running,
                                TimePoint TakenAt, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&](LedgerContext &Context) {
    std::vector<GoneBorrower> &Gone = Context.Ledger.Gone;
    if (Gone.empty())
      return;
    for (GoneBorrower &Borrower : Gone) {
      if (TakenAt < Borrower.ConfirmedAt + Context.Home.Settings.ReportDelay)
        continue;
      lowerTo(Borrower.Counted,
              countRunning(Context.Ledger, Borrower, Running));
    }
    std::erase_if(Gone, [](const GoneBorrower &Borrower) {
      return Borrower.Counted.total() == 0;
    });
    lend(Context);
  });
}

HomeActions recordBootId(CreditHome &Home, const UpstreamId &Upstream,
                         const BootId &Boot, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&Boot](LedgerContext &Context) {
    if (Context.Ledger.Boot != Boot)
      recallToCold(Context, Boot);
  });
}

HomeActions recordColdEvidence(CreditHome &Home, const UpstreamId &Upstream,
                               const ColdEvidence &Evidence, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&Evidence](LedgerContext &Context) {
    recallToCold(Context, Evidence.Boot);
  });
}

HomeActions recordOverload(CreditHome &Home, const UpstreamId &Upstream,
                           TimePoint Now) {
  return withLedger(Home, Upstream, Now, [](LedgerContext &Context) {
    CreditLedger &Ledger = Context.Ledger;
    bool TooSoon = Ledger.LastHalving != TimePoint{} &&
                   Context.Now - Ledger.LastHalving < Ledger.RampStep;
    if (TooSoon)
      return;
    Ledger.LastHalving = Context.Now;
    setLimit(Context, std::max(Ledger.ColdLimit, Ledger.Limit / 2));
  });
}

HomeActions recordHealthy(CreditHome &Home, const UpstreamId &Upstream,
                          TimePoint Now) {
  return withLedger(Home, Upstream, Now, [](LedgerContext &Context) {
    CreditLedger &Ledger = Context.Ledger;
    bool StepPassed = Context.Now - Ledger.LastStep >= Ledger.RampStep;
    if (!StepPassed || Ledger.Limit >= Ledger.WarmLimit)
      return;
    double Raised = std::ceil(Ledger.Limit * Ledger.RampFactor);
    setLimit(Context, std::min(Ledger.WarmLimit, static_cast<int>(Raised)));
  });
}

HomeActions setLimits(CreditHome &Home, const UpstreamId &Upstream,
                      int ColdLimit, int WarmLimit, TimePoint Now) {
  return withLedger(Home, Upstream, Now, [&](LedgerContext &Context) {
    Context.Ledger.ColdLimit = ColdLimit;
    Context.Ledger.WarmLimit = WarmLimit;
    setLimit(Context, std::clamp(Context.Ledger.Limit, ColdLimit, WarmLimit));
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
  Home.Times.reschedule(Upstream, Found->second.Due, DueTimes::Never);
  Home.Ledgers.erase(Found);
}

HomeActions tickHome(CreditHome &Home, TimePoint Now) {
  HomeActions Out;
  while (const UpstreamId *Due = Home.Times.dueUpstream(Now)) {
    UpstreamId Upstream = *Due;
    CreditLedger &Ledger = Home.Ledgers[Upstream];
    LedgerContext Context{Home, Upstream, Ledger, Now, Out};
    std::erase_if(Ledger.Gone, [&](const GoneBorrower &Borrower) {
      return Borrower.ConfirmedAt + Home.Settings.MaxDeadline <= Now;
    });
    for (auto &[Entry, Account] : Ledger.Accounts) {
      bool Silent = Home.Settings.Faults.ReclaimOnTimeout &&
                    Account.LastReportAt + FaultyReclaimAfter <= Now;
      if (Silent) {
        Account.Bound = {};
        Account.Joined = false;
      }
      if (Account.ResendAt > Now)
        continue;
      sendGrant(Context, Entry, Account);
      Account.ResendDelay =
          std::min(Account.ResendDelay * 2, Home.Settings.MaxResend);
      Account.ResendAt = Now + Account.ResendDelay;
    }
    lend(Context);
  }
  return Out;
}

TimePoint nextHomeTime(const CreditHome &Home) { return Home.Times.earliest(); }

CreditCount outstandingCredits(const CreditLedger &Ledger) {
  CreditCount Sum;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Sum = Sum + Account.outstanding();
  for (const GoneBorrower &Gone : Ledger.Gone)
    Sum = Sum + Gone.Counted;
  return Sum;
}

} // namespace samphirehill
