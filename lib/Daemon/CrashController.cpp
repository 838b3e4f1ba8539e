#include "samphirehill/Daemon/CrashController.h"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

// Crashes that are remembered as told; more than a day of restarts.
constexpr std::size_t MaxTold = 4096;

} // namespace

CrashController::CrashController(Runtime &Shared, PeerHub &Hub,
                                 std::function<std::vector<EntryId>()> Peers)
    : Shared(Shared), Hub(Hub), Peers(std::move(Peers)) {
  Hub.handle(peer::Envelope::kCrashSuspects,
             [this](const auto &Message) { receive(Message); });
}

void CrashController::begin(const CrashId &Where, const RequestId &Request,
                            Fingerprint Print) {
  InProgress[Where][Request] = Running{Print, Shared.Timers.now()};
}

void CrashController::end(const CrashId &Where, const RequestId &Request) {
  auto Found = InProgress.find(Where);
  if (Found == InProgress.end())
    return;
  Found->second.erase(Request);
  if (Found->second.empty())
    InProgress.erase(Found);
}

void CrashController::crashed(const CrashId &Where, const DomainId &Domain) {
  if (!Told.insert(Where).second)
    return;
  if (Told.size() > MaxTold)
    Told.erase(Told.begin());
  SuspectBroadcast Crash{Where, Domain, {}, {}};
  TimePoint Now = Shared.Timers.now();
  for (const auto &[Request, Each] : InProgress[Where])
    Crash.InProgress.push_back({Each.Print, Now - Each.Since});
  InProgress.erase(Where);
  recordCrash(Suspects, Crash, Shared.Timers.now());
  Shared.record("upstream-crashed", Where.Upstream.str(),
                std::to_string(Crash.InProgress.size()) +
                    " requests of this entry were in progress");

  peer::Envelope Envelope;
  peer::CrashSuspects &Message = *Envelope.mutable_crash_suspects();
  Message.set_upstream(Where.Upstream.str());
  Message.set_boot_id(Where.Boot.str());
  Message.set_domain(Domain.str());
  for (const InProgressRequest &Each : Crash.InProgress) {
    Message.add_fingerprints(Each.Request);
    Message.add_running_for_us(Each.RunningFor.count());
  }
  for (const EntryId &Peer : Peers())
    Hub.send(Peer, Envelope);
  Crashed.emit(Where);
}

void CrashController::receive(const peer::Envelope &Envelope) {
  const peer::CrashSuspects &Message = Envelope.crash_suspects();
  SuspectBroadcast Crash;
  Crash.Crash = {UpstreamId(Message.upstream()), BootId(Message.boot_id())};
  Crash.Domain = DomainId(Message.domain());
  int Count =
      std::min(Message.fingerprints_size(), Message.running_for_us_size());
  for (int I = 0; I < Count; ++I)
    Crash.InProgress.push_back(
        {Message.fingerprints(I), Duration(Message.running_for_us(I))});
  recordCrash(Suspects, Crash, Shared.Timers.now());
  Crashed.emit(Crash.Crash);
}

} // namespace samphirehill
