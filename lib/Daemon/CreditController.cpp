#include "samphirehill/Daemon/CreditController.h"

#include "CreditMessages.h"
#include "peer.pb.h"

#include <asio/post.hpp>

namespace samphirehill {
namespace {

constexpr Duration TickPeriod = milliseconds(20);

} // namespace

CreditController::CreditController(Runtime &Shared, PeerHub &Peers)
    : Shared(Shared), Peers(Peers) {
  Home.Self = Shared.Config.Entry;
  Wallet.Self = Shared.Config.Entry;
  Wallet.SelfIncarnation = Shared.Started;
  Wallet.StartedAt = Shared.Timers.now();
  Peers.handle(peer::Envelope::kCreditReport, [this](const auto &Message) {
    receive(fromMessage(Message.credit_report(), EntryId(Message.sender()),
                        Message.incarnation(), this->Shared.Config.Entry));
  });
  Peers.handle(peer::Envelope::kCreditGrant, [this](const auto &Message) {
    receive(fromMessage(Message.credit_grant(), EntryId(Message.sender()),
                        this->Shared.Config.Entry));
  });
  Tick = Shared.Timers.every(TickPeriod, [this] { tick(); });
}

void CreditController::setHome(const UpstreamId &Upstream,
                               const EntryId &Named) {
  carryOut(samphirehill::setHome(Wallet, Upstream, Named, Shared.Timers.now()));
}

bool CreditController::hasIdle(const UpstreamId &Upstream, bool Suspect) const {
  auto Found = Wallet.Holdings.find(Upstream);
  if (Found == Wallet.Holdings.end() || Found->second.Cold)
    return false;
  const CreditCount &Idle = Found->second.Idle;
  return (Suspect ? Idle.Suspect : Idle.Normal) > 0;
}

int CreditController::idle(const UpstreamId &Upstream) const {
  auto Found = Wallet.Holdings.find(Upstream);
  if (Found == Wallet.Holdings.end() || Found->second.Cold)
    return 0;
  return Found->second.Idle.Normal;
}

std::optional<Credit> CreditController::take(const UpstreamId &Upstream,
                                             bool Suspect) {
  return takeCredit(Wallet, Upstream, Suspect, Shared.Timers.now());
}

void CreditController::finish(const Credit &Finished) {
  carryOut(releaseCredit(Wallet, Finished, Shared.Timers.now()));
}

void CreditController::want(const UpstreamId &Upstream, CreditCount Waiting) {
  carryOut(setWantedCredits(Wallet, Upstream, Waiting, Shared.Timers.now()));
}

void CreditController::reportCold(const Credit &Used,
                                  const ColdEvidence &Evidence) {
  carryOut(reportColdUpstream(Wallet, Used, Evidence, Shared.Timers.now()));
  WentCold.emit(Used.Upstream, Evidence);
}

void CreditController::returnAll() {
  carryOut(returnAllCredits(Wallet, Shared.Timers.now()));
}

void CreditController::forget(const UpstreamId &Upstream) {
  removeHolding(Wallet, Upstream);
}

void CreditController::open(const HomeOpening &Opening) {
  carryOut(openHome(Home, Opening, Shared.Timers.now()));
}

bool CreditController::isHome(const UpstreamId &Upstream) const {
  return Home.Ledgers.contains(Upstream);
}

int CreditController::limit(const UpstreamId &Upstream) const {
  auto Found = Home.Ledgers.find(Upstream);
  return Found == Home.Ledgers.end() ? 0 : Found->second.Limit;
}

void CreditController::setBorrowers(const UpstreamId &Upstream,
                                    const BorrowerList &Borrowers) {
  carryOut(samphirehill::setBorrowers(Home, Upstream, Borrowers,
                                      Shared.Timers.now()));
}

void CreditController::setLimits(const UpstreamId &Upstream, int ColdLimit,
                                 int WarmLimit) {
  carryOut(samphirehill::setLimits(Home, Upstream, ColdLimit, WarmLimit,
                                   Shared.Timers.now()));
}

void CreditController::recordEntryGone(const EntryId &Entry) {
  carryOut(samphirehill::recordEntryGone(Home, Entry, Shared.Timers.now()));
}

void CreditController::recordIncarnation(const EntryId &Entry,
                                         Incarnation Number) {
  carryOut(samphirehill::recordIncarnation(Home, Entry, Number,
                                           Shared.Timers.now()));
}

void CreditController::engineReport(const UpstreamId &Upstream,
                                    const std::vector<RequestId> &Running,
                                    TimePoint TakenAt) {
  carryOut(receiveEngineReport(Home, Upstream, Running, TakenAt,
                               Shared.Timers.now()));
}

void CreditController::recordBootId(const UpstreamId &Upstream,
                                    const BootId &Boot) {
  carryOut(
      samphirehill::recordBootId(Home, Upstream, Boot, Shared.Timers.now()));
}

void CreditController::recordColdAtHome(const UpstreamId &Upstream,
                                        const ColdEvidence &Evidence) {
  carryOut(samphirehill::recordColdEvidence(Home, Upstream, Evidence,
                                            Shared.Timers.now()));
}

void CreditController::recordHealthy(const UpstreamId &Upstream) {
  carryOut(samphirehill::recordHealthy(Home, Upstream, Shared.Timers.now()));
}

void CreditController::recordOverload(const UpstreamId &Upstream) {
  carryOut(samphirehill::recordOverload(Home, Upstream, Shared.Timers.now()));
}

void CreditController::stop(const UpstreamId &Upstream) {
  stopLending(Home, Upstream);
}

bool CreditController::release(const UpstreamId &Upstream) {
  if (!canReleaseHome(Home, Upstream))
    return false;
  releaseHome(Home, Upstream);
  return true;
}

void CreditController::drop(const UpstreamId &Upstream) {
  releaseHome(Home, Upstream);
}

void CreditController::carryOut(const WalletActions &Actions) {
  for (const CreditReport &Report : Actions.Reports) {
    if (Report.To.empty())
      continue;
    if (Report.To == Shared.Config.Entry) {
      // Posted, so that a report never changes the state it was made from.
      asio::post(Shared.Context, [this, Report] { receive(Report); });
      continue;
    }
    Peers.send(Report.To, toEnvelope(Report));
  }
  for (const UpstreamId &Upstream : Actions.Available)
    asio::post(Shared.Context, [this, Upstream] { Available.emit(Upstream); });
}

void CreditController::carryOut(const HomeActions &Actions) {
  for (const CreditGrant &Grant : Actions) {
    if (Grant.To == Shared.Config.Entry) {
      asio::post(Shared.Context, [this, Grant] { receive(Grant); });
      continue;
    }
    Peers.send(Grant.To, toEnvelope(Grant));
  }
}

void CreditController::receive(const CreditReport &Report) {
  carryOut(receiveReport(Home, Report, Shared.Timers.now()));
  if (Report.Cold && Report.From != Shared.Config.Entry)
    WentCold.emit(Report.Upstream, *Report.Cold);
}

void CreditController::receive(const CreditGrant &Grant) {
  carryOut(receiveGrant(Wallet, Grant, Shared.Timers.now()));
}

void CreditController::tick() {
  TimePoint Now = Shared.Timers.now();
  if (nextHomeTime(Home) <= Now)
    carryOut(tickHome(Home, Now));
  if (nextWalletTime(Wallet) <= Now)
    carryOut(tickWallet(Wallet, Now));
}

} // namespace samphirehill
