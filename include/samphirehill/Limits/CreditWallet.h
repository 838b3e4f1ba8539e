// Borrower side of the capacity credits: the credits that one entry holds of
// each upstream. The home of an upstream borrows through a wallet of its own
// too; its daemon passes the messages between home and wallet directly, without
// the network.
//
// Use: call takeCredit before a call; if it returns nothing, queue the call and
// state the number of waiting calls with setWantedCredits. Pass the credit to
// releaseCredit once the call can no longer run at the upstream: it ended, it
// was refused, or the connection is closed and either the upstream reports the
// call as not running or its deadline has passed. Send each report that these
// functions return to the entry in its field To.
#ifndef SAMPHIREHILL_LIMITS_CREDITWALLET_H
#define SAMPHIREHILL_LIMITS_CREDITWALLET_H

#include "samphirehill/Limits/CreditTypes.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// The right to run one call. Send the call with Boot, so that an upstream that
// has restarted since refuses it.
struct Credit {
  UpstreamId Upstream;
  CreditGeneration Generation;
  BootId Boot;
  bool Suspect = false;

  bool operator==(const Credit &) const = default;
};

// A wallet's credits of one upstream and its state of the loan. Totals count
// from the start of Generation.
struct CreditHolding {
  EntryId Home; // empty while the home is unknown
  CreditGeneration Generation;
  BootId Boot;
  bool Reserve = false; // one idle credit is kept
  // Another entry waits and holds no credit, so that this one returns a credit
  // after each call instead of using it again.
  bool Contended = false;
  CreditCount Carried;
  CreditCount Received;
  CreditCount Returned;
  CreditCount Wanted;
  CreditCount Idle;
  CreditCount InUse;                // of all generations
  std::optional<ColdEvidence> Cold; // until a recall to the cold limit
  std::uint64_t GrantSequence = 0;  // of the last grant applied
  std::uint64_t Sequence = 0;       // of the last report
  std::uint64_t AckedSequence = 0;  // highest report that the home acknowledged
  TimePoint ResendAt = DueTimes::Never;
  Duration ResendDelay{};
  TimePoint IdleWindow = DueTimes::Never; // start of the window of IdleLow
  CreditCount IdleLow;                    // fewest idle credits in the window
  TimePoint Due = DueTimes::Never;        // as set in CreditWallet::Times
};

// The credits of one entry.
struct CreditWallet {
  EntryId Self;
  Incarnation SelfIncarnation = 0;
  TimePoint StartedAt{}; // of this process
  CreditSettings Settings;
  bool Leaving = false; // shutting down: borrows nothing more
  std::unordered_map<UpstreamId, CreditHolding> Holdings;
  DueTimes Times;
};

// What the caller of a wallet function must do.
struct WalletActions {
  std::vector<CreditReport> Reports; // send them
  std::vector<UpstreamId> Available; // now have idle credits: try waiting calls
};

// Sets the home of Upstream, as named by the placement object. From now on
// reports go to this home. Credits are kept until its first grant arrives.
WalletActions setHome(CreditWallet &Wallet, const UpstreamId &Upstream,
                      const EntryId &Home, TimePoint Now);

// Takes an idle credit, of the suspect kind exactly if Suspect. Returns nothing
// if no credit of that kind is idle.
std::optional<Credit> takeCredit(CreditWallet &Wallet,
                                 const UpstreamId &Upstream, bool Suspect,
                                 TimePoint Now);

// Releases a credit that takeCredit returned. The wallet keeps it for the next
// call or returns it to the home. Call it exactly once per credit.
WalletActions releaseCredit(CreditWallet &Wallet, const Credit &Released,
                            TimePoint Now);

// Sets how many calls wait for a credit of Upstream; zero cancels the demand.
WalletActions setWantedCredits(CreditWallet &Wallet, const UpstreamId &Upstream,
                               CreditCount Waiting, TimePoint Now);

// Handles a grant from a home.
WalletActions receiveGrant(CreditWallet &Wallet, const CreditGrant &Grant,
                           TimePoint Now);

// Stops using the credits of a cold upstream and reports the evidence to its
// home. Used is the credit of the call that showed the evidence. The evidence
// is ignored if Used is of another generation than the wallet's current one or
// if earlier evidence is still pending.
WalletActions reportColdUpstream(CreditWallet &Wallet, const Credit &Used,
                                 const ColdEvidence &Evidence, TimePoint Now);

// Returns all idle credits to their homes, reserves included, and borrows no
// more. For graceful shutdown, after the last request was admitted.
WalletActions returnAllCredits(CreditWallet &Wallet, TimePoint Now);

// Removes Upstream, which is no longer in the configuration. Returns false, and
// does nothing, while credits are held or a report is unacknowledged.
bool removeHolding(CreditWallet &Wallet, const UpstreamId &Upstream);

// Resends unacknowledged reports and returns idle credits. Call it at
// nextWalletTime.
WalletActions tickWallet(CreditWallet &Wallet, TimePoint Now);

// Returns the time at which tickWallet next has work, or DueTimes::Never.
TimePoint nextWalletTime(const CreditWallet &Wallet);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITWALLET_H
