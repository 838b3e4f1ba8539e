// Carries out the capacity credits: keeps the wallet of this entry and the
// ledgers of the upstreams whose home it is, and moves their messages.
#ifndef SAMPHIREHILL_DAEMON_CREDITCONTROLLER_H
#define SAMPHIREHILL_DAEMON_CREDITCONTROLLER_H

#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Limits/CreditHome.h"
#include "samphirehill/Limits/CreditWallet.h"

#include <optional>
#include <vector>

namespace samphirehill {

class CreditController {
public:
  CreditController(Runtime &Shared, PeerHub &Peers);

  // Borrower side; see CreditWallet.h.
  void setHome(const UpstreamId &Upstream, const EntryId &Home);
  bool hasIdle(const UpstreamId &Upstream, bool Suspect) const;
  // The number of idle credits for normal calls.
  int idle(const UpstreamId &Upstream) const;
  std::optional<Credit> take(const UpstreamId &Upstream, bool Suspect);
  void finish(const Credit &Finished);
  void want(const UpstreamId &Upstream, CreditCount Waiting);
  void reportCold(const Credit &Used, const ColdEvidence &Evidence);
  void returnAll();
  void forget(const UpstreamId &Upstream);

  // Home side; see CreditHome.h.
  void open(const HomeOpening &Opening);
  bool isHome(const UpstreamId &Upstream) const;
  // The limit in force at this home; 0 if this entry is not the home.
  int limit(const UpstreamId &Upstream) const;
  void setBorrowers(const UpstreamId &Upstream, const BorrowerList &Borrowers);
  void setLimits(const UpstreamId &Upstream, int ColdLimit, int WarmLimit);
  void recordEntryGone(const EntryId &Entry);
  void recordIncarnation(const EntryId &Entry, Incarnation Number);
  void engineReport(const UpstreamId &Upstream,
                    const std::vector<RequestId> &Running, TimePoint TakenAt);
  void recordBootId(const UpstreamId &Upstream, const BootId &Boot);
  void recordColdAtHome(const UpstreamId &Upstream,
                        const ColdEvidence &Evidence);
  void recordHealthy(const UpstreamId &Upstream);
  void recordOverload(const UpstreamId &Upstream);
  void stop(const UpstreamId &Upstream);
  // Releases the role if its rule allows it now; returns whether it did.
  bool release(const UpstreamId &Upstream);
  // Drops the ledger because the placement no longer has the upstream.
  void drop(const UpstreamId &Upstream);

  // Emitted when idle credits of an upstream came.
  Signal<UpstreamId> Available;
  // Emitted when this entry or a borrower saw that an upstream is cold.
  Signal<UpstreamId, ColdEvidence> WentCold;

  const CreditHome &home() const { return Home; }
  const CreditWallet &wallet() const { return Wallet; }

private:
  void carryOut(const WalletActions &Actions);
  void carryOut(const HomeActions &Actions);
  void receive(const CreditReport &Report);
  void receive(const CreditGrant &Grant);
  void tick();

  Runtime &Shared;
  PeerHub &Peers;
  CreditHome Home;
  CreditWallet Wallet;
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_CREDITCONTROLLER_H
