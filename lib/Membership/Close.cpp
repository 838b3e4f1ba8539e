#include "samphirehill/Membership/Close.h"

#include <algorithm>
#include <utility>

namespace samphirehill {
namespace {

bool isZonesObject(const StoredObject &Object) {
  return Object.Kind == "zones" && Object.Name == "state";
}

std::vector<StoredObject> deletionOrder(std::vector<StoredObject> Objects) {
  std::stable_partition(
      Objects.begin(), Objects.end(),
      [](const StoredObject &Object) { return !isZonesObject(Object); });
  return Objects;
}

} // namespace

ToolCloseStep nextCloseStep(const ToolCloseView &View, TimePoint Now) {
  if (!View.Objects)
    return ReadAgain{};
  if (View.Objects->empty())
    return CloseDone{};
  auto Zones =
      std::find_if(View.Objects->begin(), View.Objects->end(), isZonesObject);
  if (Zones == View.Objects->end())
    return SetCloseMark{0};
  if (!View.MarkSet)
    return SetCloseMark{Zones->Version};

  bool SkipSilent = Now - View.WaitingSince >= CloseSilenceLimit;
  DeleteObjects Deletion;
  WaitForEntries Entries;
  for (const EntryCloseReport &Report : View.Entries) {
    if (Report.Answered && Report.Acknowledged)
      continue;
    if (!Report.Answered && SkipSilent)
      Deletion.Skipped.push_back(Report.Entry.str());
    else
      Entries.Entries.push_back(Report.Entry);
  }
  if (!Entries.Entries.empty())
    return Entries;

  WaitForEngines Engines;
  for (const EngineCloseReport &Report : View.Engines) {
    if (Report.Answered && !Report.Loaded && Report.Requests == 0)
      continue;
    if (!Report.Answered && SkipSilent)
      Deletion.Skipped.push_back(Report.Engine.str());
    else
      Engines.Engines.push_back(Report.Engine);
  }
  if (!Engines.Engines.empty())
    return Engines;

  Deletion.Objects = deletionOrder(*View.Objects);
  return Deletion;
}

EntryCloseDecision closeDecision(const EntryCloseView &View) {
  EntryCloseDecision Decision;
  // Only the tool deletes zones/state, as the last step of a close. An entry
  // that was paused throughout the close may observe only that deletion.
  Decision.StopAdmission = View.MarkSet || View.ZonesObjectDeleted;
  Decision.Finished = View.ZonesObjectDeleted && View.RequestsInProgress == 0;
  if (!Decision.StopAdmission)
    return Decision;
  Decision.Acknowledge = View.RequestsInProgress == 0;
  if (!Decision.Acknowledge || !View.ControlsZone || !View.ZoneAcknowledged)
    return Decision;
  for (const EngineCloseReport &Report : View.ZoneEngines)
    if (Report.Answered && Report.Loaded && Report.Requests == 0)
      Decision.Unload.push_back(Report.Engine);
  return Decision;
}

} // namespace samphirehill
