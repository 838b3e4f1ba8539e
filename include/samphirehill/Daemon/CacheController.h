// Collects cache events: the home of a group reads its leader's and tells the
// zone's entries, whose routers take them as hints.
#ifndef SAMPHIREHILL_DAEMON_CACHECONTROLLER_H
#define SAMPHIREHILL_DAEMON_CACHECONTROLLER_H

#include "samphirehill/Daemon/CreditController.h"
#include "samphirehill/Daemon/MembershipController.h"
#include "samphirehill/Daemon/PeerHub.h"
#include "samphirehill/Daemon/Runtime.h"
#include "samphirehill/Daemon/UpstreamDirectory.h"

#include <map>
#include <set>
#include <string>

namespace samphirehill {

class CacheController {
public:
  CacheController(Runtime &Shared, PeerHub &Hub,
                  MembershipController &Membership, CreditController &Credits,
                  UpstreamDirectory &Directory);

private:
  struct Source {
    BootId Boot;
    std::uint64_t Last = 0; // sequence of the newest event read
  };

  void tick();
  void read(const UpstreamId &Name, const std::string &Address);
  void receive(const UpstreamId &Name, const std::string &Body);
  void apply(const peer::Envelope &Message);

  Runtime &Shared;
  PeerHub &Hub;
  MembershipController &Membership;
  CreditController &Credits;
  UpstreamDirectory &Directory;
  std::map<UpstreamId, Source> Sources;
  std::set<UpstreamId> InFlight;
  TimerSubscription Tick;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_CACHECONTROLLER_H
