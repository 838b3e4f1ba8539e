#include "samphirehill/Limits/CreditWallet.h"

#include <algorithm>

namespace samphirehill {
namespace {

// Returns the smaller number of each kind.
CreditCount minimum(const CreditCount &Left, const CreditCount &Right) {
  return {std::min(Left.Normal, Right.Normal),
          std::min(Left.Suspect, Right.Suspect)};
}

CreditCount oneCredit(bool Suspect) {
  return Suspect ? CreditCount{0, 1} : CreditCount{1, 0};
}

// Returns whether the home has acknowledged the last report.
bool isAcked(const CreditHolding &Held) {
  return Held.AckedSequence >= Held.Sequence;
}

CreditReport makeReport(const CreditWallet &Wallet, const UpstreamId &Upstream,
                        const CreditHolding &Held, TimePoint Now) {
  CreditReport Report;
  Report.From = Wallet.Self;
  Report.FromIncarnation = Wallet.SelfIncarnation;
  Report.Uptime = Now - Wallet.StartedAt;
  Report.To = Held.Home;
  Report.Upstream = Upstream;
  Report.Generation = Held.Generation;
  Report.Sequence = Held.Sequence;
  Report.AckedGrant = Held.GrantSequence;
  Report.NeedsAck = !isAcked(Held);
  Report.Carried = Held.Carried;
  Report.Received = Held.Received;
  Report.Returned = Held.Returned;
  Report.Wanted = Held.Wanted;
  Report.Leaving = Wallet.Leaving;
  Report.Cold = Held.Cold;
  return Report;
}

// Returns the part of Idle that may be returned to the home: all but a reserve.
CreditCount returnable(const CreditHolding &Held, const CreditCount &Idle) {
  int Kept = Held.Reserve ? 1 : 0;
  return {std::max(0, Idle.Normal - Kept), Idle.Suspect};
}

// Updates the window of IdleLow and the due time of Upstream.
void updateDue(CreditWallet &Wallet, const UpstreamId &Upstream,
               CreditHolding &Held, TimePoint Now) {
  if (returnable(Held, Held.Idle).total() == 0) {
    Held.IdleWindow = DueTimes::Never;
  } else if (Held.IdleWindow == DueTimes::Never) {
    Held.IdleWindow = Now;
    Held.IdleLow = Held.Idle;
  }
  Held.IdleLow = minimum(Held.IdleLow, Held.Idle);
  TimePoint Due = Held.ResendAt;
  // While the home doesn't acknowledge reports, it may be unreachable. This
  // entry couldn't borrow again what it returned then, and must go on serving.
  if (Held.IdleWindow != DueTimes::Never && isAcked(Held))
    Due = std::min(Due, Held.IdleWindow + Wallet.Settings.IdleReturn);
  Wallet.Times.reschedule(Upstream, Held.Due, Due);
}

// Sends a report with the current state, if the home is known.
void sendReport(CreditWallet &Wallet, const UpstreamId &Upstream,
                const CreditHolding &Held, TimePoint Now,
                WalletActions &Actions) {
  if (!Held.Home.empty())
    Actions.Reports.push_back(makeReport(Wallet, Upstream, Held, Now));
}

// Sends a report with a new sequence number after the state changed, and
// resends it until it is acknowledged.
void reportChange(CreditWallet &Wallet, const UpstreamId &Upstream,
                  CreditHolding &Held, TimePoint Now, WalletActions &Actions) {
  ++Held.Sequence;
  Held.ResendDelay = Wallet.Settings.ResendAfter;
  Held.ResendAt = Held.Home.empty() ? DueTimes::Never : Now + Held.ResendDelay;
  sendReport(Wallet, Upstream, Held, Now, Actions);
}

// Returns Count idle credits to the home with the next report.
void returnIdle(CreditHolding &Held, const CreditCount &Count) {
  Held.Idle = Held.Idle - Count;
  Held.Returned = Held.Returned + Count;
}

// Joins Grant's generation: drops idle credits, carries the calls in progress
// over, and starts the totals at zero.
void joinGeneration(const CreditWallet &Wallet, CreditHolding &Held,
                    const CreditGrant &Grant) {
  // Evidence is reported again in the new generation, unless a recall to the
  // cold limit has followed it.
  if (Grant.ColdSince > Held.Generation)
    Held.Cold.reset();
  Held.Generation = Grant.Generation;
  Held.Home = Grant.From;
  Held.GrantSequence = 0;
  Held.Carried = Held.InUse;
  Held.Received = {};
  Held.Returned = {};
  if (!Wallet.Settings.Faults.KeepIdleOnRecall)
    Held.Idle = {};
}

// Applies Grant and adds the credits that it lends beyond those received
// before. Returns whether some credits were returned at once.
bool applyGrant(const CreditWallet &Wallet, CreditHolding &Held,
                const CreditGrant &Grant) {
  CreditCount Added = Grant.Granted - Held.Received;
  Held.GrantSequence = Grant.Sequence;
  Held.Received = Grant.Granted;
  Held.Boot = Grant.Boot;
  Held.Reserve = Grant.Reserve && !Wallet.Leaving;
  Held.Idle = Held.Idle + Added;
  Held.Contended = Grant.Contended;
  CreditCount ToReturn;
  if (Held.Cold || Wallet.Leaving)
    ToReturn = Held.Idle;
  else if (Held.Contended && Held.Wanted.total() == 0)
    ToReturn = returnable(Held, Held.Idle);
  returnIdle(Held, ToReturn);
  return ToReturn.total() > 0;
}

} // namespace

WalletActions setHome(CreditWallet &Wallet, const UpstreamId &Upstream,
                      const EntryId &Home, TimePoint Now) {
  WalletActions Actions;
  CreditHolding &Held = Wallet.Holdings[Upstream];
  if (Held.Home == Home)
    return Actions;
  Held.Home = Home;
  bool FirstContact = Held.Sequence == 0;
  if (FirstContact || !isAcked(Held))
    reportChange(Wallet, Upstream, Held, Now, Actions);
  updateDue(Wallet, Upstream, Held, Now);
  return Actions;
}

std::optional<Credit> takeCredit(CreditWallet &Wallet,
                                 const UpstreamId &Upstream, bool Suspect,
                                 TimePoint Now) {
  auto Found = Wallet.Holdings.find(Upstream);
  if (Found == Wallet.Holdings.end())
    return std::nullopt;
  CreditHolding &Held = Found->second;
  if ((Suspect ? Held.Idle.Suspect : Held.Idle.Normal) <= 0)
    return std::nullopt;
  Held.Idle = Held.Idle - oneCredit(Suspect);
  Held.InUse = Held.InUse + oneCredit(Suspect);
  updateDue(Wallet, Upstream, Held, Now);
  return Credit{Upstream, Held.Generation, Held.Boot, Suspect};
}

WalletActions releaseCredit(CreditWallet &Wallet, const Credit &Released,
                            TimePoint Now) {
  WalletActions Actions;
  CreditHolding &Held = Wallet.Holdings[Released.Upstream];
  CreditCount Count = oneCredit(Released.Suspect);
  Held.InUse = Held.InUse - Count;
  bool Reusable = Released.Generation == Held.Generation && !Held.Cold &&
                  !Wallet.Leaving && !Released.Suspect && !Held.Contended;
  if (Reusable) {
    Held.Idle = Held.Idle + Count;
    if (Held.Wanted.Normal > 0)
      Actions.Available.push_back(Released.Upstream);
  } else {
    Held.Returned = Held.Returned + Count;
    reportChange(Wallet, Released.Upstream, Held, Now, Actions);
  }
  updateDue(Wallet, Released.Upstream, Held, Now);
  return Actions;
}

WalletActions setWantedCredits(CreditWallet &Wallet, const UpstreamId &Upstream,
                               CreditCount Waiting, TimePoint Now) {
  WalletActions Actions;
  CreditHolding &Held = Wallet.Holdings[Upstream];
  if (Held.Wanted == Waiting || Wallet.Leaving)
    return Actions;
  Held.Wanted = Waiting;
  reportChange(Wallet, Upstream, Held, Now, Actions);
  updateDue(Wallet, Upstream, Held, Now);
  return Actions;
}

WalletActions receiveGrant(CreditWallet &Wallet, const CreditGrant &Grant,
                           TimePoint Now) {
  WalletActions Actions;
  if (Grant.To != Wallet.Self || Grant.ToIncarnation > Wallet.SelfIncarnation)
    return Actions;
  CreditHolding &Held = Wallet.Holdings[Grant.Upstream];
  bool ToEarlierIncarnation =
      Grant.ToIncarnation != 0 && Grant.ToIncarnation < Wallet.SelfIncarnation;
  // The home detects this incarnation by the report that setHome sends.
  if (ToEarlierIncarnation && Held.Home.empty())
    return setHome(Wallet, Grant.Upstream, Grant.From, Now);
  if (ToEarlierIncarnation || Grant.Generation < Held.Generation)
    return Actions;
  bool Joins = Grant.Generation > Held.Generation;
  if (Joins)
    joinGeneration(Wallet, Held, Grant);
  int IdleBefore = Held.Idle.total();
  bool Changed = Joins;
  if (Grant.Sequence > Held.GrantSequence)
    Changed |= applyGrant(Wallet, Held, Grant);
  else if (Wallet.Settings.Faults.AddRepeatedGrants && Grant.Granted.Normal > 0)
    ++Held.Idle.Normal;
  if (Held.Idle.total() > IdleBefore)
    Actions.Available.push_back(Grant.Upstream);
  if (Grant.AckedReport >= Held.Sequence && !Changed) {
    Held.AckedSequence = Held.Sequence;
    Held.ResendAt = DueTimes::Never;
  }
  if (Changed)
    reportChange(Wallet, Grant.Upstream, Held, Now, Actions);
  else if (Grant.NeedsAck)
    sendReport(Wallet, Grant.Upstream, Held, Now, Actions);
  updateDue(Wallet, Grant.Upstream, Held, Now);
  return Actions;
}

WalletActions reportColdUpstream(CreditWallet &Wallet, const Credit &Used,
                                 const ColdEvidence &Evidence, TimePoint Now) {
  WalletActions Actions;
  CreditHolding &Held = Wallet.Holdings[Used.Upstream];
  if (Used.Generation != Held.Generation || Held.Cold)
    return Actions;
  Held.Cold = Evidence;
  returnIdle(Held, Held.Idle);
  reportChange(Wallet, Used.Upstream, Held, Now, Actions);
  updateDue(Wallet, Used.Upstream, Held, Now);
  return Actions;
}

WalletActions returnAllCredits(CreditWallet &Wallet, TimePoint Now) {
  WalletActions Actions;
  Wallet.Leaving = true;
  for (auto &[Upstream, Held] : Wallet.Holdings) {
    Held.Reserve = false;
    Held.Wanted = {};
    returnIdle(Held, Held.Idle);
    reportChange(Wallet, Upstream, Held, Now, Actions);
    updateDue(Wallet, Upstream, Held, Now);
  }
  return Actions;
}

bool removeHolding(CreditWallet &Wallet, const UpstreamId &Upstream) {
  auto Found = Wallet.Holdings.find(Upstream);
  if (Found == Wallet.Holdings.end())
    return true;
  CreditHolding &Held = Found->second;
  if (Held.InUse.total() > 0 || Held.Idle.total() > 0 || !isAcked(Held))
    return false;
  Wallet.Times.reschedule(Upstream, Held.Due, DueTimes::Never);
  Wallet.Holdings.erase(Found);
  return true;
}

WalletActions tickWallet(CreditWallet &Wallet, TimePoint Now) {
  WalletActions Actions;
  while (const UpstreamId *Due = Wallet.Times.dueUpstream(Now)) {
    UpstreamId Upstream = *Due;
    CreditHolding &Held = Wallet.Holdings[Upstream];
    if (Held.ResendAt <= Now) {
      sendReport(Wallet, Upstream, Held, Now, Actions);
      Held.ResendDelay =
          std::min(Held.ResendDelay * 2, Wallet.Settings.MaxResend);
      Held.ResendAt = Now + Held.ResendDelay;
    }
    bool WindowEnds = Held.IdleWindow != DueTimes::Never && isAcked(Held) &&
                      Held.IdleWindow + Wallet.Settings.IdleReturn <= Now;
    if (WindowEnds) {
      CreditCount Count = returnable(Held, Held.IdleLow);
      Held.IdleWindow = DueTimes::Never;
      if (Count.total() > 0) {
        returnIdle(Held, Count);
        reportChange(Wallet, Upstream, Held, Now, Actions);
      }
    }
    updateDue(Wallet, Upstream, Held, Now);
  }
  return Actions;
}

TimePoint nextWalletTime(const CreditWallet &Wallet) {
  return Wallet.Times.earliest();
}

} // namespace samphirehill
