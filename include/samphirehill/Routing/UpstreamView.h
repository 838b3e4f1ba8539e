// An entry's table of upstreams and their state, indexed so that choosing among
// 1,300 upstreams costs little more than choosing among 50.
//
// Use: call putUpstream() and removeUpstream() when the placement or the
// instance list changes, setReport() after each probe, noteSend() and noteEnd()
// for each call of this entry, and the other setters when zone state, group
// health, credits or straggler factors change. Read upstreams through find();
// route() in Router.h chooses one.
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
  std::int64_t Running = 0; // calls of all entries
  std::int64_t Queued = 0;  // calls of all entries
  double TokensPerSecond = 0;
  // By this process's clock: the time of receipt minus the report's age.
  TimePoint TakenAt;
};

// Identity of an upstream and the requests that it can serve.
struct UpstreamInfo {
  UpstreamId Id;
  ZoneId Zone;
  ServiceId Service;
  std::string Version;
  std::vector<std::string> Adapters;
  BootId Boot;
  std::int64_t Slots = 1; // calls that it runs at once when warm

  bool operator==(const UpstreamInfo &) const = default;
};

// This entry's view of one upstream.
struct UpstreamView {
  UpstreamInfo Info;
  bool Cold = false;
  bool Leaving = false;     // drains and takes no new calls
  bool GroupHealthy = true; // false: a member of its replica group is missing
  LoadReport Report;
  bool HasReport = false;
  // Calls of other entries according to Report.
  double OtherCalls = 0;
  // Average of other entries' calls over the upstreams of the service at the
  // time of Report, scaled to this upstream's number of slots.
  double MeanOtherCalls = 0;
  std::int64_t OwnInProgress = 0; // calls of this entry
  std::int64_t Credits = 0;       // idle credits of this entry
  double StragglerFactor = 1.0;   // 1: as fast as its peers; 2: half as fast
  // Times at which calls of this entry were sent and ended that Report doesn't
  // include yet.
  std::deque<TimePoint> RecentSends;
  std::deque<TimePoint> RecentEnds;
};

// Bound on RecentSends and on RecentEnds; the latest ones are kept.
constexpr std::size_t MaxRecentChanges = 256;

// All upstreams. Not thread-safe.
class UpstreamTable {
public:
  // Index of an upstream in the table, for Router.h; valid until the table
  // changes.
  using Slot = std::uint32_t;
  // The upstreams that may be chosen for one service, version and adapter.
  struct Bucket {
    std::vector<Slot> All;
    std::map<ZoneId, std::vector<Slot>> ByZone;
  };

  // Adds an upstream or replaces its Info. Its report, credits and straggler
  // factor are kept if Info.Boot is unchanged and reset if it differs; the
  // number of own calls in progress is always kept.
  void putUpstream(UpstreamInfo Info);
  void removeUpstream(const UpstreamId &Id);

  // The following setters ignore upstreams that aren't in the table.
  void setState(const UpstreamId &Id, bool Cold, bool Leaving,
                bool GroupHealthy);
  // Ignores a report that was taken earlier than the last one.
  void setReport(const UpstreamId &Id, const LoadReport &Report);
  void setCredits(const UpstreamId &Id, std::int64_t Credits);
  // Factor is the median rate of the peers divided by this upstream's rate. A
  // factor below 1 is set to 1.
  void setStragglerFactor(const UpstreamId &Id, double Factor);
  // Record that a call of this entry was sent or ended.
  void noteSend(const UpstreamId &Id, TimePoint Now);
  void noteEnd(const UpstreamId &Id, TimePoint Now);

  // Excludes the upstreams of a zone from choices (Out) or admits them again.
  // Zones are admitted at first.
  void setZoneOut(const ZoneId &Zone, bool Out);

  // Returns the upstream, or nullptr. Valid until the table changes.
  const UpstreamView *find(const UpstreamId &Id) const;
  std::size_t size() const { return Slots.size(); }

  // Returns whether View may be chosen at all: its zone isn't excluded, it
  // isn't leaving, and its group is healthy.
  bool isEligible(const UpstreamView &View) const;
  // Returns the upstreams that may be chosen, or nullptr if there are none.
  const Bucket *findBucket(const ServiceId &Service, const std::string &Version,
                           const std::string &Adapter) const;
  const UpstreamView &at(Slot Position) const { return Views[Position]; }

private:
  using BucketKey = std::tuple<ServiceId, std::string, std::string>;

  UpstreamView *findMutable(const UpstreamId &Id);
  // Adds an upstream to its buckets if it is eligible and isn't in them yet.
  void addToBuckets(Slot Position);
  void removeFromBuckets(Slot Position);

  std::vector<UpstreamView> Views; // by slot
  std::vector<bool> InBuckets;     // by slot
  std::vector<Slot> FreeSlots;
  std::unordered_map<UpstreamId, Slot> Slots;
  std::map<BucketKey, Bucket> Buckets;
  std::set<ZoneId> ZonesOut; // excluded zones
  // Moving average of other entries' calls per slot of the service's upstreams.
  std::map<ServiceId, double> MeanOthers;
};

// Returns the estimated number of calls at View: the entry's own, which are
// known exactly, and those of other entries. The latter are taken from the last
// report and approach the average of the service as the report ages, because
// entries that all followed the same old report would all choose the same
// upstreams.
double estimatedCalls(const UpstreamView &View, TimePoint Now);

} // namespace samphirehill

#endif // SAMPHIREHILL_ROUTING_UPSTREAMVIEW_H
