// Shares crashes of upstreams between entries and judges requests by them.
#ifndef SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H
#define SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H

#include "samphirehill/Core/Signal.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Limits/CrashSuspects.h"
#include "samphirehill/Limits/PartSuspects.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace samphirehill {

class CrashController {
public:
  // Peers names the entries that a crash is told to.
  CrashController(Runtime &Shared, PeerHub &Hub,
                  std::function<std::vector<EntryId>()> Peers);

  // Notes that a request is in progress at an upstream, and that it no longer
  // is. Shared holds the parts of its prompt, if it has one.
  void begin(const CrashId &Where, const RequestId &Request, Fingerprint Print,
             std::vector<PromptPart> Shared = {});
  void end(const CrashId &Where, const RequestId &Request);

  // Notes that the upstream has begun to answer a request, and that the answer
  // is complete.
  void answerBegun(const CrashId &Where, const RequestId &Request);
  void answerComplete(const CrashId &Where, const RequestId &Request);

  // Returns an error if one of the parts of a prompt is blamed for crashes.
  std::optional<Error> blameOf(const std::vector<PromptPart> &Shared);
  // Returns whether a request with these parts may be sent as the trial of the
  // part that is blamed, if any.
  bool takeTrialOf(const std::vector<PromptPart> &Shared);

  // The process Where of an upstream has crashed. Requests of this entry that
  // are in progress there become suspects; all entries are told once.
  void crashed(const CrashId &Where, const DomainId &Domain);

  // Emitted when a crash becomes known, also from another entry.
  Signal<CrashId> Crashed;

  const CrashSuspects &suspects() const { return Suspects; }

private:
  void receive(const peer::Envelope &Message);
  void receiveNews(const peer::Envelope &Message);
  void tell(const peer::Envelope &Message);

  Runtime &Shared;
  PeerHub &Hub;
  std::function<std::vector<EntryId>()> Peers;
  CrashSuspects Suspects;
  PartSuspects Parts;
  struct Running {
    Fingerprint Print = 0;
    std::vector<PromptPart> Parts;
    TimePoint Since;
    std::optional<TimePoint> BegunAt; // to be answered
  };
  std::map<CrashId, std::map<RequestId, Running>> InProgress;
  std::set<CrashId> Told;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_CRASHCONTROLLER_H
