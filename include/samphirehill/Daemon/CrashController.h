// Shares crashes of upstreams between entries and judges requests by them.
#ifndef SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H
#define SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H

#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Limits/CrashSuspects.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace samphirehill {

class CrashController {
public:
  // Peers names the entries that a crash is told to.
  CrashController(Runtime &Shared, PeerHub &Hub,
                  std::function<std::vector<EntryId>()> Peers);

  // Notes that a request is in progress at an upstream, and that it no longer
  // is.
  void begin(const CrashId &Where, const RequestId &Request, Fingerprint Print);
  void end(const CrashId &Where, const RequestId &Request);

  // The process Where of an upstream has crashed. Requests of this entry that
  // are in progress there become suspects; all entries are told once.
  void crashed(const CrashId &Where, const DomainId &Domain);

  // Emitted when a crash becomes known, also from another entry.
  Signal<CrashId> Crashed;

  const CrashSuspects &suspects() const { return Suspects; }

private:
  void receive(const peer::Envelope &Message);

  Runtime &Shared;
  PeerHub &Hub;
  std::function<std::vector<EntryId>()> Peers;
  CrashSuspects Suspects;
  struct Running {
    Fingerprint Print = 0;
    TimePoint Since;
  };
  std::map<CrashId, std::map<RequestId, Running>> InProgress;
  std::set<CrashId> Told;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H
