// The upstreams that this entry may send work to: where each takes its
// requests, and the routing view of it. Controllers fill it in; the request
// path reads it.
#ifndef SAMPHIREHILL_DAEMON_UPSTREAMDIRECTORY_H
#define SAMPHIREHILL_DAEMON_UPSTREAMDIRECTORY_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Routing/PrefixHints.h"
#include "samphirehill/Routing/Router.h"
#include "samphirehill/Routing/Stragglers.h"
#include "samphirehill/Routing/UpstreamView.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// One report on an upstream, from its home's probes.
struct UpstreamStatus {
  UpstreamInfo Info;
  DomainId Domain;      // empty for plain services
  std::string Address;  // "ip:port" that takes the requests
  bool Serving = false; // group whole, instance live
  bool Cold = false;
  bool Leaving = false;
  LoadReport Load;
};

struct DirectoryEntry {
  UpstreamStatus Status;
  TimePoint ValidUntil{}; // of Serving
  // A connection to it broke and it isn't known yet whether it crashed; it gets
  // no new work until that is settled.
  bool Doubtful = false;
  // It refused a request as not whole or not the same process; it gets no new
  // work until then, as its home will soon report the change.
  TimePoint HeldOffUntil{};
};

struct UpstreamQuery {
  ServiceId Of;
  ZoneId Here;
  std::string Version; // of the model; empty for plain services
  std::string Adapter; // empty: none
  std::set<UpstreamId> Excluded;
  std::vector<PrefixHash> Prompt;
  std::uint64_t Random = 0; // a fresh uniform number per decision
  TimePoint Now;
};

class UpstreamDirectory {
public:
  // Takes a report that was taken at TakenAt. Serving counts until ValidFor
  // after that. A report older than the one held is ignored.
  void put(UpstreamStatus Status, TimePoint TakenAt, Duration ValidFor);
  void remove(const UpstreamId &Name);
  // Ends the validity of all reports that are too old at Now. Returns whether
  // any upstream ceased to serve.
  bool expire(TimePoint Now);

  void holdOff(const UpstreamId &Name, TimePoint Until);
  // Compares the upstreams of each service and version with their peers, by
  // their last reports. Call it after each round of probes.
  void judgeStragglers(TimePoint Now);

  // An answer showed that the upstream is cold. Returns whether that is news.
  bool setCold(const UpstreamId &Name, const BootId &Boot);
  void setDoubtful(const UpstreamId &Name, bool Value);
  // Process Boot of the upstream has ended.
  void setCrashed(const UpstreamId &Name, const BootId &Boot);
  void setZoneOut(const ZoneId &Zone, bool Out);
  bool zoneOut(const ZoneId &Zone) const { return ZonesOut.contains(Zone); }
  void setCredits(const UpstreamId &Name, int Idle);
  void noteSend(const UpstreamId &Name, TimePoint Now);
  void noteEnd(const UpstreamId &Name, TimePoint Now);

  // The best upstream for Query, or nothing if none may take it.
  std::optional<UpstreamId> choose(const UpstreamQuery &Query) const;
  // Up to Count upstreams for Query, best first.
  std::vector<UpstreamId> chooseSeveral(UpstreamQuery Query,
                                        std::size_t Count) const;
  // Whether any upstream may take Query.
  bool any(const UpstreamQuery &Query) const;

  const DirectoryEntry *find(const UpstreamId &Name) const;
  // All upstreams of a service that may get work now.
  std::vector<UpstreamId> serving(const ServiceId &Of) const;
  const std::map<UpstreamId, DirectoryEntry> &entries() const { return ByName; }
  PrefixHints &hints() { return Hints; }

private:
  void applyState(const DirectoryEntry &Entry);

  std::map<UpstreamId, DirectoryEntry> ByName;
  std::map<ServiceId, std::set<UpstreamId>> ByService;
  std::set<ZoneId> ZonesOut;
  using Peers = std::pair<ServiceId, std::string>; // service, version
  std::map<Peers, Stragglers> Slow;
  UpstreamTable Table;
  PrefixHints Hints;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_UPSTREAMDIRECTORY_H
