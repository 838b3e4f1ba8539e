// Borrower side of the capacity credits: what one entry holds of each
// upstream. The home entry itself borrows through its own wallet; its daemon
// passes the messages between the two without the network.
//
// Use: takeCredit before a call; when it returns nothing, queue the call and
// state the number of waiting calls with setWantedCredits. Pass the credit to
// releaseCredit when the call can no longer run at the upstream: it ended, was
// refused, or the connection is closed and the upstream reports it as not
// running or its deadline has passed. Send the reports that the functions
// return to their To.
#ifndef SAMPHIREHILL_LIMITS_CREDITWALLET_H
#define SAMPHIREHILL_LIMITS_CREDITWALLET_H

#include "samphirehill/Limits/CreditTypes.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// The right to run one call. Send the call with Boot, so that an upstream that
// started again refuses it.
struct Credit {
  UpstreamId Upstream;
  CreditGeneration Generation;
  BootId Boot;
  bool Suspect = false;

  bool operator==(const Credit &) const = default;
};

// What a wallet holds of one upstream.
struct CreditHolding {
  EntryId Home; // empty while the home is unknown
  CreditGeneration Generation;
  BootId Boot;
  bool Reserve = false;
  // Another entry waits and holds nothing, so that a credit goes back after
  // each call instead of being used again here.
  bool Contended = false;
  CreditCount Carried;
  CreditCount Received;
  CreditCount Returned;
  CreditCount Wanted;
  CreditCount Idle;
  CreditCount InUse; // of every generation
  std::optional<ColdEvidence> Cold;
  std::uint64_t GrantSequence = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t AckedSequence = 0;
  TimePoint ResendAt = DueTimes::Never;
  Duration ResendDelay{};
  TimePoint IdleWindow = DueTimes::Never; // start of the window of IdleLow
  CreditCount IdleLow;                    // fewest idle credits in the window
  TimePoint Due = DueTimes::Never;
};

struct CreditWallet {
  EntryId Self;
  Incarnation SelfIncarnation = 0;
  TimePoint StartedAt{}; // of this process
  CreditSettings Settings;
  bool Leaving = false;
  std::unordered_map<UpstreamId, CreditHolding> Holdings;
  DueTimes Times;
};

// What to do after a wallet function.
struct WalletActions {
  std::vector<CreditReport> Reports; // to send
  std::vector<UpstreamId> Available; // idle credits came: try waiting calls
};

// Names the home of Upstream, from the placement object. Reports go there from
// now on. Credits are kept until the new home makes contact.
WalletActions setHome(CreditWallet &Wallet, const UpstreamId &Upstream,
                      const EntryId &Home, TimePoint Now);

// Takes an idle credit. A suspect call takes a suspect credit only. Returns
// nothing if none is idle.
std::optional<Credit> takeCredit(CreditWallet &Wallet,
                                 const UpstreamId &Upstream, bool Suspect,
                                 TimePoint Now);

// Gives a credit back to the wallet. Call it exactly once per credit.
WalletActions releaseCredit(CreditWallet &Wallet, const Credit &Finished,
                            TimePoint Now);

// States how many calls wait for a credit of Upstream; zero withdraws.
WalletActions setWantedCredits(CreditWallet &Wallet, const UpstreamId &Upstream,
                               CreditCount Waiting, TimePoint Now);

// Handles a grant from a home.
WalletActions receiveGrant(CreditWallet &Wallet, const CreditGrant &Grant,
                           TimePoint Now);

// Stops the use of Upstream's credits and tells its home. Used is the credit of
// the call that showed the evidence; evidence of an older generation than the
// one held is ignored.
WalletActions reportColdUpstream(CreditWallet &Wallet, const Credit &Used,
                                 const ColdEvidence &Evidence, TimePoint Now);

// Gives back all idle credits, the reserve too, and wants no more. For graceful
// shutdown, after the last request was admitted.
WalletActions returnAllCredits(CreditWallet &Wallet, TimePoint Now);

// Removes Upstream, which the configuration no longer has. Returns false, and
// does nothing, while credits are in use or a report is unacknowledged.
bool removeHolding(CreditWallet &Wallet, const UpstreamId &Upstream);

// Resends and returns idle credits. Call it at nextWalletTime.
WalletActions tickWallet(CreditWallet &Wallet, TimePoint Now);

// Returns when tickWallet has work, or DueTimes::Never.
TimePoint nextWalletTime(const CreditWallet &Wallet);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITWALLET_H
