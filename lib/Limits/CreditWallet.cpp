#include "samphirehill/Limits/CreditWallet.h"

#include <algorithm>

namespace samphirehill {
namespace {

CreditCount smaller(const CreditCount &Left, const CreditCount &Right) {
  return {std::min(Left.Normal, Right.Normal),
          std::min(Left.Suspect, Right.Suspect)};
}

CreditCount one(bool Suspect) {
  return Suspect ? CreditCount{0, 1} : CreditCount{1, 0};
}

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

// Returns the idle credits that go back when the window of IdleLow ends.
CreditCount returnable(const CreditHolding &Held, const CreditCount &Idle) {
  int Kept = Held.Reserve ? 1 : 0;
  return {std::max(0, Idle.Normal - Kept), Idle.Suspect};
}

void updateDue(CreditWallet &Wallet, const UpstreamId &Upstream,
               CreditHolding &Held, TimePoint Now) {
  if (returnable(Held, Held.Idle).total() == 0) {
    Held.IdleWindow = DueTimes::Never;
  } else if (Held.IdleWindow == DueTimes::Never) {
    Held.IdleWindow = Now;
    Held.IdleLow = Held.Idle;
  }
  Held.IdleLow = smaller(Held.IdleLow, Held.Idle);
  TimePoint Due = Held.ResendAt;
  // While the home doesn't answer it may be out of reach. Credits returned to
  // it would be lost to this entry, which has to go on serving.
  if (Held.IdleWindow != DueTimes::Never && isAcked(Held))
    Due = std::min(Due, Held.IdleWindow + Wallet.Settings.IdleReturn);
  Wallet.Times.reschedule(Upstream, Held.Due, Due);
}

void sendReport(CreditWallet &Wallet, const UpstreamId &Upstream,
                const CreditHolding &Held, TimePoint Now,
                WalletActions &Actions) {
  if (!Held.Home.empty())
    Actions.Reports.push_back(makeReport(Wallet, Upstream, Held, Now));
}

// Sends the changed state and keeps sending it until it is acknowledged.
void reportChange(CreditWallet &Wallet, const UpstreamId &Upstream,
                  CreditHolding &Held, TimePoint Now, WalletActions &Actions) {
  ++Held.Sequence;
  Held.ResendDelay = Wallet.Settings.ResendAfter;
  Held.ResendAt = Held.Home.empty() ? DueTimes::Never : Now + Held.ResendDelay;
  sendReport(Wallet, Upstream, Held, Now, Actions);
}

void returnIdle(CreditHolding &Held, const CreditCount &Count) {
  Held.Idle = Held.Idle - Count;
  Held.Returned = Held.Returned + Count;
}

void joinGeneration(const CreditWallet &Wallet, CreditHolding &Held,
                    const CreditGrant &Grant) {
  // Evidence that no cold recall has answered yet is reported again.
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

// Adds what Grant lends beyond the credits received before. Returns whether
// some of it had to be given back at once.
bool applyGrant(const CreditWallet &Wallet, CreditHolding &Held,
                const CreditGrant &Grant) {
  CreditCount Added = Grant.Granted - Held.Received;
  Held.GrantSequence = Grant.Sequence;
  Held.Received = Grant.Granted;
  Held.Boot = Grant.Boot;
  Held.Reserve = Grant.Reserve && !Wallet.Leaving;
  Held.Idle = Held.Idle + Added;
  Held.Contended = Grant.Contended;
  CreditCount Back;
  if (Held.Cold || Wallet.Leaving)
    Back = Held.Idle;
  else if (Held.Contended && Held.Wanted.total() == 0)
    Back = returnable(Held, Held.Idle);
  returnIdle(Held, Back);
  return Back.total() > 0;
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
  Held.Idle = Held.Idle - one(Suspect);
  Held.InUse = Held.InUse + one(Suspect);
  updateDue(Wallet, Upstream, Held, Now);
  return Credit{Upstream, Held.Generation, Held.Boot, Suspect};
}

WalletActions releaseCredit(CreditWallet &Wallet, const Credit &Finished,
                            TimePoint Now) {
  WalletActions Actions;
  CreditHolding &Held = Wallet.Holdings[Finished.Upstream];
  CreditCount Count = one(Finished.Suspect);
  Held.InUse = Held.InUse - Count;
  bool Reusable = Finished.Generation == Held.Generation && !Held.Cold &&
                  !Wallet.Leaving && !Finished.Suspect && !Held.Contended;
  if (Reusable) {
    Held.Idle = Held.Idle + Count;
    if (Held.Wanted.Normal > 0)
      Actions.Available.push_back(Finished.Upstream);
  } else {
    Held.Returned = Held.Returned + Count;
    reportChange(Wallet, Finished.Upstream, Held, Now, Actions);
  }
  updateDue(Wallet, Finished.Upstream, Held, Now);
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
  bool ToEarlier =
      Grant.ToIncarnation != 0 && Grant.ToIncarnation < Wallet.SelfIncarnation;
  // The home learns of this incarnation by the report of setHome.
  if (ToEarlier && Held.Home.empty())
    return setHome(Wallet, Grant.Upstream, Grant.From, Now);
  if (ToEarlier || Grant.Generation < Held.Generation)
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
