#include "CreditLending.h"

#include <algorithm>

namespace samphirehill {
namespace {

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

CreditCount wantedBy(const CreditAccount &Account) {
  CreditCount OnTheWay = Account.Granted - Account.Received;
  CreditCount Left = Account.Wanted - OnTheWay;
  return {std::max(0, Left.Normal), std::max(0, Left.Suspect)};
}

bool canBorrow(const CreditAccount &Account) {
  return Account.Joined && Account.Listed && !Account.Leaving;
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

void lendReserves(LedgerContext &Context, Round &Lent) {
  for (auto &[Entry, Account] : Context.Ledger.Accounts) {
    if (!lacksReserve(Context.Ledger, Account))
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
bool lendBatch(LedgerContext &Context, Round &Lent, const EntryId &Entry,
               CreditAccount &Account) {
  if (!canBorrow(Account))
    return false;
  CreditCount Wanted = wantedBy(Account);
  int Limit = Context.Ledger.Limit;
  int Cap = Entry == Context.Home.Self ? Limit : borrowerCap(Limit);
  int Room =
      std::min(Cap - Account.outstanding().total(), Lent.Free - Lent.HeldBack);
  bool GivesSuspect = Wanted.Suspect > 0 && Lent.SuspectFree && Room > 0;
  int Entries = std::max(1, static_cast<int>(Context.Ledger.Accounts.size()));
  int Batch =
      std::clamp(Limit / (4 * Entries), 1, Context.Home.Settings.MaxBatch);
  int Normal =
      std::min(Wanted.Normal > 0 ? Batch : 0, Room - (GivesSuspect ? 1 : 0));
  CreditCount Given{std::max(0, Normal), GivesSuspect ? 1 : 0};
  if (Given.total() == 0)
    return false;
  Account.Granted = Account.Granted + Given;
  Lent.Free -= Given.total();
  Lent.SuspectFree = Context.Home.Settings.Faults.ManySuspects ||
                     (Lent.SuspectFree && !GivesSuspect);
  Lent.Served.insert(Entry);
  Context.Ledger.LastServed = Entry;
  return true;
}

// Lends to all borrowers that wait, a batch at a time, beginning after the one
// served last, until nothing can be lent.
void lendOnDemand(LedgerContext &Context, Round &Lent) {
  std::vector<EntryId> Turn;
  for (const auto &[Entry, Account] : Context.Ledger.Accounts)
    if (wantedBy(Account).total() > 0)
      Turn.push_back(Entry);
  auto First =
      std::upper_bound(Turn.begin(), Turn.end(), Context.Ledger.LastServed);
  std::rotate(Turn.begin(), First, Turn.end());
  bool Any = true;
  while (Any) {
    Any = false;
    for (const EntryId &Entry : Turn)
      Any |= lendBatch(Context, Lent, Entry, Context.Ledger.Accounts[Entry]);
  }
}

// Tells the holders of credits whether some borrower waits and holds none.
void updateContention(CreditLedger &Ledger, Round &Lent) {
  bool Contended = false;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Contended |= canBorrow(Account) && wantedBy(Account).Normal > 0 &&
                 Account.outstanding().total() == 0;
  Contended = Contended && !Ledger.Stopped;
  if (Contended == Ledger.Contended)
    return;
  Ledger.Contended = Contended;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    if (Account.outstanding().total() > 0)
      Lent.Served.insert(Entry);
}

// Starts a generation: credits lent before count until their borrower reports.
void recall(LedgerContext &Context) {
  ++Context.Ledger.Generation.Recall;
  for (auto &[Entry, Account] : Context.Ledger.Accounts) {
    Account.Bound = Account.outstanding();
    if (Context.Home.Settings.Faults.ReclaimOnRecall)
      Account.Bound = {};
    Account.Joined = false;
    bool Concerned = Account.InZone || Account.Bound.total() > 0 ||
                     Account.Wanted.total() > 0;
    if (Concerned)
      grantChange(Context, Entry, Account);
  }
}

} // namespace

void sendGrant(LedgerContext &Context, const EntryId &Entry,
               CreditAccount &Account) {
  CreditGrant Grant;
  Grant.From = Context.Home.Self;
  Grant.To = Entry;
  Grant.ToIncarnation = Account.EntryIncarnation;
  Grant.Upstream = Context.Upstream;
  Grant.Generation = Context.Ledger.Generation;
  Grant.ColdSince = Context.Ledger.ColdSince;
  Grant.Boot = Context.Ledger.Boot;
  Grant.Sequence = Account.GrantSequence;
  Grant.AckedReport = Account.ReportSequence;
  Grant.NeedsAck =
      !Account.Joined || Account.AckedGrant < Account.GrantSequence;
  Grant.Granted = Account.Joined ? Account.Granted : CreditCount{};
  Grant.Contended = Context.Ledger.Contended;
  Grant.Reserve = keepsReserve(Context.Ledger, Account);
  Context.Out.push_back(Grant);
}

void grantChange(LedgerContext &Context, const EntryId &Entry,
                 CreditAccount &Account) {
  Account.GrantSequence = ++Context.Ledger.LastGrant;
  Account.ResendDelay = Context.Home.Settings.ResendAfter;
  Account.ResendAt = Context.Now + Account.ResendDelay;
  sendGrant(Context, Entry, Account);
}

void updateDue(LedgerContext &Context) {
  TimePoint Due = DueTimes::Never;
  for (const auto &[Entry, Account] : Context.Ledger.Accounts) {
    Due = std::min(Due, Account.ResendAt);
    if (Context.Home.Settings.Faults.ReclaimOnTimeout &&
        Account.outstanding().total() > 0)
      Due = std::min(Due, Account.LastReportAt + FaultyReclaimAfter);
  }
  for (const GoneBorrower &Gone : Context.Ledger.Gone)
    Due = std::min(Due, Gone.ConfirmedAt + Context.Home.Settings.MaxDeadline);
  Context.Home.Times.reschedule(Context.Upstream, Context.Ledger.Due, Due);
}

std::set<EntryId> lend(LedgerContext &Context) {
  CreditLedger &Ledger = Context.Ledger;
  bool ReserveOn = Ledger.Limit >= zoneEntries(Ledger);
  CreditCount Out = outstandingCredits(Ledger);
  Round Lent{Ledger.Limit - Out.total(),
             0,
             Out.Suspect == 0 || Context.Home.Settings.Faults.ManySuspects,
             {}};
  if (ReserveOn != Ledger.ReserveOn) {
    Ledger.ReserveOn = ReserveOn;
    for (const auto &[Entry, Account] : Ledger.Accounts)
      if (Account.InZone)
        Lent.Served.insert(Entry);
  }
  if (!Ledger.Stopped) {
    lendReserves(Context, Lent);
    lendOnDemand(Context, Lent);
  }
  updateContention(Ledger, Lent);
  for (const EntryId &Entry : Lent.Served)
    grantChange(Context, Entry, Ledger.Accounts[Entry]);
  updateDue(Context);
  return Lent.Served;
}

void setLimit(LedgerContext &Context, int Limit) {
  // Repeating a limit must not put off the next step of the ramp.
  if (Limit == Context.Ledger.Limit)
    return;
  bool Lower = Limit < Context.Ledger.Limit;
  Context.Ledger.Limit = Limit;
  Context.Ledger.LastStep = Context.Now;
  if (Lower && outstandingCredits(Context.Ledger).total() > Limit)
    recall(Context);
  lend(Context);
}

void recallToCold(LedgerContext &Context, const BootId &Boot) {
  if (!Boot.empty())
    Context.Ledger.Boot = Boot;
  Context.Ledger.Limit = Context.Ledger.ColdLimit;
  Context.Ledger.LastStep = Context.Now;
  Context.Ledger.ColdSince = {Context.Ledger.Generation.Epoch,
                              Context.Ledger.Generation.Recall + 1};
  recall(Context);
  lend(Context);
}

} // namespace samphirehill
