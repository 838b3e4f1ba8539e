// Lending and recall of credits within one ledger of a home.
#ifndef SAMPHIREHILL_LIMITS_CREDITLENDING_H
#define SAMPHIREHILL_LIMITS_CREDITLENDING_H

#include "samphirehill/Limits/CreditHome.h"

#include <algorithm>
#include <set>

namespace samphirehill {

// Time without a report after which the fault switch ReclaimOnTimeout takes a
// borrower's credits back.
constexpr Duration FaultyReclaimAfter = seconds(2);

// The ledger that one call of a function of CreditHome.h works on.
struct LedgerContext {
  CreditHome &Home;
  const UpstreamId &Upstream;
  CreditLedger &Ledger;
  TimePoint Now;
  HomeActions &Out; // the grants to send are appended here
};

// Returns the bound for a borrower that may hold up to Total credits, one of
// which may be a suspect credit.
inline CreditCount boundOf(int Total) { return {std::max(0, Total - 1), 1}; }

// Sends a grant with the current state of the account.
void sendGrant(LedgerContext &Context, const EntryId &Entry,
               CreditAccount &Account);

// Sends a grant with a new sequence number after the account changed, and
// resends it until it is acknowledged.
void grantChange(LedgerContext &Context, const EntryId &Entry,
                 CreditAccount &Account);

// Sets the ledger's due time: its next resend or the next end of a drain.
void updateDue(LedgerContext &Context);

// Lends the credits that the limit allows. Returns the borrowers to which a
// grant was sent.
std::set<EntryId> lend(LedgerContext &Context);

// Sets the limit. If it becomes lower than the number of credits lent, all
// credits are recalled.
void setLimit(LedgerContext &Context, int Limit);

// Recalls all credits and lowers the limit to the cold one. An empty Boot
// leaves the ledger's boot id unchanged.
void recallToCold(LedgerContext &Context, const BootId &Boot);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_CREDITLENDING_H
