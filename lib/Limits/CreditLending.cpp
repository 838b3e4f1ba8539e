#include "CreditLending.h"

#include <algorithm>

namespace samphirehill {
namespace {

// Returns the number of entries of the upstream's zone that may borrow.
int countZoneEntries(const CreditLedger &Ledger) {
  int Count = 0;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Count += Account.InZone && Account.Listed ? 1 : 0;
  return Count;
}

bool keepsReserve(const CreditLedger &Ledger, const CreditAccount &Account) {
  return Ledger.ReserveOn && Account.InZone && Account.Listed &&
         !Account.Leaving;
}

// Returns the credits that the borrower waits for, less those already granted
// whose receipt it hasn't reported.
CreditCount unmetDemand(const CreditAccount &Account) {
  CreditCount InTransit = Account.Granted - Account.Received;
  CreditCount Unmet = Account.Wanted - InTransit;
  return {std::max(0, Unmet.Normal), std::max(0, Unmet.Suspect)};
}

bool canBorrow(const CreditAccount &Account) {
  return Account.Joined && Account.Listed && !Account.Leaving;
}

// The state of one round of lending.
struct LendingRound {
  int Free;         // credits that may still be lent under the limit
  int HeldBack;     // of these, kept for reserves that can't be lent yet
  bool SuspectFree; // a suspect credit may be lent
  std::set<EntryId> Served; // entries to which a grant must be sent
};

bool lacksReserve(const CreditLedger &Ledger, const CreditAccount &Account) {
  return keepsReserve(Ledger, Account) && Account.outstanding().total() == 0;
}

// Lends a reserve to each entry that lacks one, and holds credits back for
// those that haven't joined the generation.
void lendReserves(LedgerContext &Context, LendingRound &Round) {
  for (auto &[Entry, Account] : Context.Ledger.Accounts) {
    if (!lacksReserve(Context.Ledger, Account))
      continue;
    if (!Account.Joined || Round.Free <= 0) {
      ++Round.HeldBack;
      continue;
    }
    ++Account.Granted.Normal;
    --Round.Free;
    Round.Served.insert(Entry);
  }
}

// Lends one batch of credits to a borrower with unmet demand. Returns whether
// any credit was lent.
bool lendBatch(LedgerContext &Context, LendingRound &Round,
               const EntryId &Entry, CreditAccount &Account) {
  if (!canBorrow(Account))
    return false;
  CreditCount Wanted = unmetDemand(Account);
  int Limit = Context.Ledger.Limit;
  int Cap = Entry == Context.Home.Self ? Limit : borrowerCap(Limit);
  int Room = std::min(Cap - Account.outstanding().total(),
                      Round.Free - Round.HeldBack);
  bool LendsSuspect = Wanted.Suspect > 0 && Round.SuspectFree && Room > 0;
  int Entries = std::max(1, static_cast<int>(Context.Ledger.Accounts.size()));
  int Batch =
      std::clamp(Limit / (4 * Entries), 1, Context.Home.Settings.MaxBatch);
  int Normal =
      std::min(Wanted.Normal > 0 ? Batch : 0, Room - (LendsSuspect ? 1 : 0));
  CreditCount Lent{std::max(0, Normal), LendsSuspect ? 1 : 0};
  if (Lent.total() == 0)
    return false;
  Account.Granted = Account.Granted + Lent;
  Round.Free -= Lent.total();
  Round.SuspectFree = Context.Home.Settings.Faults.ManySuspects ||
                      (Round.SuspectFree && !LendsSuspect);
  Round.Served.insert(Entry);
  Context.Ledger.LastServed = Entry;
  return true;
}

// Lends to all borrowers with unmet demand in turn, one batch each, beginning
// after the borrower served last, until nothing more can be lent.
void lendOnDemand(LedgerContext &Context, LendingRound &Round) {
  std::vector<EntryId> Borrowers;
  for (const auto &[Entry, Account] : Context.Ledger.Accounts)
    if (unmetDemand(Account).total() > 0)
      Borrowers.push_back(Entry);
  auto First = std::upper_bound(Borrowers.begin(), Borrowers.end(),
                                Context.Ledger.LastServed);
  std::rotate(Borrowers.begin(), First, Borrowers.end());
  bool LentAny = true;
  while (LentAny) {
    LentAny = false;
    for (const EntryId &Entry : Borrowers)
      LentAny |=
          lendBatch(Context, Round, Entry, Context.Ledger.Accounts[Entry]);
  }
}

// Updates whether some borrower waits and holds no credit. If that changed,
// marks the holders of credits for a grant that says so.
void updateContention(CreditLedger &Ledger, LendingRound &Round) {
  bool Contended = false;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    Contended |= canBorrow(Account) && unmetDemand(Account).Normal > 0 &&
                 Account.outstanding().total() == 0;
  Contended = Contended && !Ledger.Stopped;
  if (Contended == Ledger.Contended)
    return;
  Ledger.Contended = Contended;
  for (const auto &[Entry, Account] : Ledger.Accounts)
    if (Account.outstanding().total() > 0)
      Round.Served.insert(Entry);
}

// Starts a generation. The credits lent before stay counted until their
// borrower reports that it joined the generation.
void recall(LedgerContext &Context) {
  ++Context.Ledger.Generation.Recall;
  for (auto &[Entry, Account] : Context.Ledger.Accounts) {
    Account.Bound = Account.outstanding();
    if (Context.Home.Settings.Faults.ReclaimOnRecall)
      Account.Bound = {};
    Account.Joined = false;
    bool NeedsGrant = Account.InZone || Account.Bound.total() > 0 ||
                      Account.Wanted.total() > 0;
    if (NeedsGrant)
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
  bool ReserveOn = Ledger.Limit >= countZoneEntries(Ledger);
  CreditCount Outstanding = outstandingCredits(Ledger);
  LendingRound Round{Ledger.Limit - Outstanding.total(),
                     0,
                     Outstanding.Suspect == 0 ||
                         Context.Home.Settings.Faults.ManySuspects,
                     {}};
  if (ReserveOn != Ledger.ReserveOn) {
    Ledger.ReserveOn = ReserveOn;
    for (const auto &[Entry, Account] : Ledger.Accounts)
      if (Account.InZone)
        Round.Served.insert(Entry);
  }
  if (!Ledger.Stopped) {
    lendReserves(Context, Round);
    lendOnDemand(Context, Round);
  }
  updateContention(Ledger, Round);
  for (const EntryId &Entry : Round.Served)
    grantChange(Context, Entry, Ledger.Accounts[Entry]);
  updateDue(Context);
  return Round.Served;
}

void setLimit(LedgerContext &Context, int Limit) {
  // Setting the current limit again must not delay the next step of the ramp.
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
