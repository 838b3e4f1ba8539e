// Lending and recall within one ledger of a home.
#ifndef SAMPHIREHILL_LIMITS_CREDITLENDING_H
#define SAMPHIREHILL_LIMITS_CREDITLENDING_H

#include "samphirehill/Limits/CreditHome.h"

#include <algorithm>
#include <set>

namespace samphirehill {

// After this silence the switch ReclaimOnTimeout reclaims.
constexpr Duration FaultyReclaimAfter = seconds(2);

// One ledger during one call of an entry point.
struct LedgerContext {
  CreditHome &Home;
  const UpstreamId &Upstream;
  CreditLedger &Ledger;
  TimePoint Now;
  HomeActions &Out;
};

// Returns a bound of Total credits, one of which may be a suspect one.
inline CreditCount boundOf(int Total) { return {std::max(0, Total - 1), 1}; }

// Sends the account's state.
void sendGrant(LedgerContext &Context, const EntryId &Entry,
               CreditAccount &Account);

// Sends the account's changed state, and again until it is acknowledged.
void grantChange(LedgerContext &Context, const EntryId &Entry,
                 CreditAccount &Account);

// Sets the time of the ledger's next resend or end of a drain.
void updateDue(LedgerContext &Context);

// Lends what the limit allows. Returns the borrowers that were sent a grant.
std::set<EntryId> lend(LedgerContext &Context);

// Sets the limit; recalls credits when more are lent than a lower one.
void setLimit(LedgerContext &Context, int Limit);

// Recalls all credits and lends up to the cold limit. An empty Boot keeps the
// boot id.
void recallToCold(LedgerContext &Context, const BootId &Boot);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITLENDING_H
