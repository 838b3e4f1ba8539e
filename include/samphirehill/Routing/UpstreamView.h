// What an entry knows of the upstreams, with indexes such that choosing among
// 1,300 costs little more than choosing among 50.
//
// Use: putUpstream() and removeUpstream() follow the placement and the instance
// list; setReport() follows the probes; noteSend() and noteEnd() follow the
// entry's own calls; the other setters follow zone state, group health, credits
// and straggler detection. Read upstreams through find(); route() in Router.h
// chooses one.
#ifndef SAMPHIREHILL_ROUTING_UPSTREAMVIEW_H
#define SAMPHIREHILL_ROUTING_UPSTREAMVIEW_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace samphirehill {

// The last load report of an upstream.
struct LoadReport {
  std::int64_t Running = 0;
  std::int64_t Queued = 0;
  double TokensPerSecond = 0;
  TimePoint TakenAt; // by this process's clock: receipt less the report's age
};

// What identifies an upstream and what it can serve.
struct UpstreamInfo {
  UpstreamId Id;
  ZoneId Zone;
  ServiceId Service;
  std::string Version;
  std::vector<std::string> Adapters;
  BootId Boot;
  std::int64_t Slots = 1; // calls it runs at once when warm

  bool operator==(const UpstreamInfo &) const = default;
};

// One upstream as this entry sees it.
struct UpstreamView {
  UpstreamInfo Info;
  bool Cold = false;
  bool Leaving = false;
  bool GroupHealthy = true; // of groups: all members present
  LoadReport Report;
  bool HasReport = false;
  // Calls of other entries: in Report, and on average over the service's
  // upstreams at that time, for as many slots.
  double OtherCalls = 0;
  double MeanOtherCalls = 0;
  std::int64_t OwnInProgress = 0;
  std::int64_t Credits = 0;     // at hand at this entry
  double StragglerFactor = 1.0; // 1: as fast as its peers; 2: half as fast
  // Times of this entry's sends and ends that Report does not include yet.
  std::deque<TimePoint> RecentSends;
  std::deque<TimePoint> RecentEnds;
};

// Latest sends, and ends, that are remembered per upstream between reports.
constexpr std::size_t MaxRecentChanges = 256;

// All upstreams. Not thread-safe.
class UpstreamTable {
public:
  // Positions of upstreams, for Router.h; valid until the table changes.
  using Slot = std::uint32_t;
  // The upstreams that may be chosen for one service, version and adapter.
  struct Bucket {
    std::vector<Slot> All;
    std::map<ZoneId, std::vector<Slot>> ByZone;
  };

  // Adds an upstream or replaces what is known of it. Load, own calls and
  // credits are kept unless Boot differs; with another boot id the report, the
  // credits and the straggler factor are forgotten.
  void putUpstream(UpstreamInfo Info);
  void removeUpstream(const UpstreamId &Id);

  // These ignore an upstream that is not in the table.
  void setState(const UpstreamId &Id, bool Cold, bool Leaving,
                bool GroupHealthy);
  // Ignores a report that was taken before the last one.
  void setReport(const UpstreamId &Id, const LoadReport &Report);
  void setCredits(const UpstreamId &Id, std::int64_t Credits);
  // Factor is the median rate of the peers over this upstream's, at least 1.
  void setStragglerFactor(const UpstreamId &Id, double Factor);
  void noteSend(const UpstreamId &Id, TimePoint Now);
  void noteEnd(const UpstreamId &Id, TimePoint Now);

  // Takes a zone out or in. Zones are in until they are taken out.
  void setZoneOut(const ZoneId &Zone, bool Out);

  // Returns the upstream, or nullptr. Valid until the table changes.
  const UpstreamView *find(const UpstreamId &Id) const;
  std::size_t size() const { return Slots.size(); }

  // Returns whether View may be chosen at all: its zone is in, it is not
  // leaving, and its group is healthy.
  bool isEligible(const UpstreamView &View) const;
  const Bucket *findBucket(const ServiceId &Service, const std::string &Version,
                           const std::string &Adapter) const;
  const UpstreamView &at(Slot Position) const { return Views[Position]; }

private:
  using BucketKey = std::tuple<ServiceId, std::string, std::string>;

  UpstreamView *findMutable(const UpstreamId &Id);
  // Brings the buckets up to date with an upstream's eligibility.
  void index(Slot Position);
  void unindex(Slot Position);

  std::vector<UpstreamView> Views;
  std::vector<bool> Indexed;
  std::vector<Slot> Free;
  std::unordered_map<UpstreamId, Slot> Slots;
  std::map<BucketKey, Bucket> Buckets;
  std::set<ZoneId> ZonesOut;
  std::map<ServiceId, double> MeanOthers; // per slot, moving average
};

// Returns the estimated number of calls at View now: the entry's own, which it
// knows, and those of other entries in the last report. The older the report,
// the more the latter move towards the average of the service, because entries
// that follow the same old report all choose the same upstreams.
double estimatedCalls(const UpstreamView &View, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_UPSTREAMVIEW_H
