// What this entry knows of every upstream it may send work to. Controllers fill
// it in; the request path reads it. No I/O.
#ifndef SAMPHIREHILL_DAEMON_UPSTREAMTABLE_H
#define SAMPHIREHILL_DAEMON_UPSTREAMTABLE_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

struct Upstream {
  UpstreamId Name;
  ServiceId Of;
  ZoneId Where;
  DomainId Domain;     // empty for plain services
  std::string Address; // "ip:port" that takes the requests
  BootId Boot;
  std::string Version; // of the model; empty for plain services
  std::set<std::string> Adapters;
  // Whether it may get new work: group whole, zone in, not leaving.
  bool Serving = false;
  // A connection to it broke and it isn't known yet whether it crashed; it gets
  // no new work until that is settled.
  bool Doubtful = false;
  int Running = 0;        // calls of all entries, by the last report
  TimePoint ReportedAt{}; // when that report was taken
  double Straggling = 1;  // how many times slower than its peers
  int OwnRunning = 0;     // calls of this entry in progress
  int OwnSinceReport = 0; // calls of this entry sent after the report
};

struct UpstreamQuery {
  ServiceId Of;
  ZoneId Here;
  std::string Version; // empty: any; else a resumed stream's version
  std::string Adapter; // empty: none
  std::set<UpstreamId> Excluded;
  std::vector<std::uint64_t> PrefixHashes;
  double Random = 0; // uniform in [0, 1)
};

struct UpstreamTable {
  std::map<UpstreamId, Upstream> ByName;
};

// Returns up to Count upstreams that may take the query's work, best first.
std::vector<UpstreamId> chooseUpstreams(const UpstreamTable &Table,
                                        const UpstreamQuery &Query,
                                        std::size_t Count);

// Returns whether Candidate may take the query's work.
bool mayTake(const Upstream &Candidate, const UpstreamQuery &Query);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_UPSTREAMTABLE_H
