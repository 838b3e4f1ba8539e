#include "samphirehill/Routing/UpstreamView.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphirehill {
namespace {

// Time constant of a report: at this age its deviation from the average counts
// by a factor of 1/e. In bench/routing, with reports every 500 ms, 100 to 200
// ms gave the shortest waits; with full weight on old reports the mean wait
// was 1.3 to 1.6 times as long.
constexpr Duration ReportLifetime = milliseconds(150);
// Weight of one report in the moving average of its service.
constexpr double MeanShare = 0.02;

void removeSlot(std::vector<UpstreamTable::Slot> &From,
                UpstreamTable::Slot Value) {
  auto Found = std::find(From.begin(), From.end(), Value);
  if (Found == From.end())
    return;
  *Found = From.back();
  From.pop_back();
}

void addChange(std::deque<TimePoint> &Changes, TimePoint Now) {
  Changes.push_back(Now);
  if (Changes.size() > MaxRecentChanges)
    Changes.pop_front();
}

// Returns the adapters of the buckets to which Info belongs. The empty one, for
// requests that need no adapter, is always included.
std::vector<std::string> adapterKeys(const UpstreamInfo &Info) {
  std::vector<std::string> Keys = Info.Adapters;
  Keys.emplace_back();
  std::sort(Keys.begin(), Keys.end());
  Keys.erase(std::unique(Keys.begin(), Keys.end()), Keys.end());
  return Keys;
}

} // namespace

bool UpstreamTable::isEligible(const UpstreamView &View) const {
  return !View.Leaving && View.GroupHealthy &&
         !ZonesOut.contains(View.Info.Zone);
}

void UpstreamTable::addToBuckets(Slot Position) {
  const UpstreamView &View = Views[Position];
  if (InBuckets[Position] || !isEligible(View))
    return;
  for (const std::string &Adapter : adapterKeys(View.Info)) {
    Bucket &Target =
        Buckets[BucketKey(View.Info.Service, View.Info.Version, Adapter)];
    Target.All.push_back(Position);
    Target.ByZone[View.Info.Zone].push_back(Position);
  }
  InBuckets[Position] = true;
}

void UpstreamTable::removeFromBuckets(Slot Position) {
  if (!InBuckets[Position])
    return;
  const UpstreamInfo &Info = Views[Position].Info;
  for (const std::string &Adapter : adapterKeys(Info)) {
    auto Found = Buckets.find(BucketKey(Info.Service, Info.Version, Adapter));
    removeSlot(Found->second.All, Position);
    removeSlot(Found->second.ByZone[Info.Zone], Position);
    if (Found->second.ByZone[Info.Zone].empty())
      Found->second.ByZone.erase(Info.Zone);
    if (Found->second.All.empty())
      Buckets.erase(Found);
  }
  InBuckets[Position] = false;
}

void UpstreamTable::putUpstream(UpstreamInfo Info) {
  auto Found = Slots.find(Info.Id);
  if (Found == Slots.end()) {
    Slot Position = static_cast<Slot>(Views.size());
    if (FreeSlots.empty()) {
      Views.emplace_back();
      InBuckets.push_back(false);
    } else {
      Position = FreeSlots.back();
      FreeSlots.pop_back();
    }
    Slots.emplace(Info.Id, Position);
    Views[Position].Info = std::move(Info);
    return addToBuckets(Position);
  }
  Slot Position = Found->second;
  UpstreamView &View = Views[Position];
  if (View.Info == Info)
    return;
  removeFromBuckets(Position);
  if (View.Info.Boot != Info.Boot) {
    View.HasReport = false;
    View.OtherCalls = 0;
    View.MeanOtherCalls = 0;
    View.Report = LoadReport();
    View.Credits = 0;
    View.StragglerFactor = 1.0;
    View.RecentSends.clear();
    View.RecentEnds.clear();
  }
  View.Info = std::move(Info);
  addToBuckets(Position);
}

void UpstreamTable::removeUpstream(const UpstreamId &Id) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  removeFromBuckets(Found->second);
  Views[Found->second] = UpstreamView();
  FreeSlots.push_back(Found->second);
  Slots.erase(Found);
}

UpstreamView *UpstreamTable::findMutable(const UpstreamId &Id) {
  auto Found = Slots.find(Id);
  return Found == Slots.end() ? nullptr : &Views[Found->second];
}

const UpstreamView *UpstreamTable::find(const UpstreamId &Id) const {
  auto Found = Slots.find(Id);
  return Found == Slots.end() ? nullptr : &Views[Found->second];
}

void UpstreamTable::setState(const UpstreamId &Id, bool Cold, bool Leaving,
                             bool GroupHealthy) {
  auto Found = Slots.find(Id);
  if (Found == Slots.end())
    return;
  UpstreamView &View = Views[Found->second];
  View.Cold = Cold;
  View.Leaving = Leaving;
  View.GroupHealthy = GroupHealthy;
  if (isEligible(View))
    addToBuckets(Found->second);
  else
    removeFromBuckets(Found->second);
}

void UpstreamTable::setReport(const UpstreamId &Id, const LoadReport &Report) {
  UpstreamView *View = findMutable(Id);
  if (!View || (View->HasReport && Report.TakenAt < View->Report.TakenAt))
    return;
  View->Report = Report;
  View->HasReport = true;
  for (std::deque<TimePoint> *Changes : {&View->RecentSends, &View->RecentEnds})
    while (!Changes->empty() && Changes->front() <= Report.TakenAt)
      Changes->pop_front();
  // The number of own calls when the report was taken is the current number
  // minus the calls sent since and plus the calls ended since.
  auto Own = View->OwnInProgress -
             static_cast<std::int64_t>(View->RecentSends.size()) +
             static_cast<std::int64_t>(View->RecentEnds.size());
  std::int64_t Others = Report.Running + Report.Queued - Own;
  double Slots =
      static_cast<double>(std::max<std::int64_t>(1, View->Info.Slots));
  View->OtherCalls = static_cast<double>(std::max<std::int64_t>(0, Others));
  double PerSlot = View->OtherCalls / Slots;
  double &Mean = MeanOthers.emplace(View->Info.Service, PerSlot).first->second;
  Mean += MeanShare * (PerSlot - Mean);
  View->MeanOtherCalls = Mean * Slots;
}

void UpstreamTable::setCredits(const UpstreamId &Id, std::int64_t Credits) {
  if (UpstreamView *View = findMutable(Id))
    View->Credits = Credits;
}

void UpstreamTable::setStragglerFactor(const UpstreamId &Id, double Factor) {
  if (UpstreamView *View = findMutable(Id))
    View->StragglerFactor = std::max(1.0, Factor);
}

void UpstreamTable::noteSend(const UpstreamId &Id, TimePoint Now) {
  UpstreamView *View = findMutable(Id);
  if (!View)
    return;
  ++View->OwnInProgress;
  addChange(View->RecentSends, Now);
}

void UpstreamTable::noteEnd(const UpstreamId &Id, TimePoint Now) {
  UpstreamView *View = findMutable(Id);
  if (!View || View->OwnInProgress == 0)
    return;
  --View->OwnInProgress;
  addChange(View->RecentEnds, Now);
}

void UpstreamTable::setZoneOut(const ZoneId &Zone, bool Out) {
  if (Out)
    ZonesOut.insert(Zone);
  else
    ZonesOut.erase(Zone);
  for (const auto &[Id, Position] : Slots) {
    if (Views[Position].Info.Zone != Zone)
      continue;
    if (Out)
      removeFromBuckets(Position);
    else
      addToBuckets(Position);
  }
}

const UpstreamTable::Bucket *
UpstreamTable::findBucket(const ServiceId &Service, const std::string &Version,
                          const std::string &Adapter) const {
  auto Found = Buckets.find(BucketKey(Service, Version, Adapter));
  return Found == Buckets.end() ? nullptr : &Found->second;
}

double estimatedCalls(const UpstreamView &View, TimePoint Now) {
  double Own = static_cast<double>(View.OwnInProgress);
  if (!View.HasReport)
    return Own;
  double Age = std::max(0.0, toSeconds(Now - View.Report.TakenAt));
  double Weight = std::exp(-Age / toSeconds(ReportLifetime));
  return Own + Weight * View.OtherCalls + (1 - Weight) * View.MeanOtherCalls;
}

} // namespace samphirehill
