// Decides when to ask the platform's store for the objects of one kind: a list,
// then one watch after the other, unless another entry tells the changes. No
// I/O; time and what else counts come from the caller.
#ifndef SAMPHIREHILL_SERVING_WATCHPLAN_H
#define SAMPHIREHILL_SERVING_WATCHPLAN_H

#include "samphirehill/Core/Time.h"

#include <cstdint>

namespace samphirehill::serving {

enum class WatchPhase {
  Listing,        // a list is on its way
  Watching,       // a watch is on its way, which waits for a change
  CatchingUp,     // one is on its way that asks for the changes until now
  Pausing,        // until the next call
  FollowingRelay, // another entry tells the changes
  Deferring,      // another watch finds out when the store answers again
};

struct WatchPlan {
  WatchPhase Phase = WatchPhase::Listing;
  std::int64_t Revision = 0;     // up to which the changes are known
  bool LastCallAnswered = false; // the last call was answered
  bool Outage = false;           // lost long enough for entries to lapse
  int Failures = 0;              // calls since the last answer
  int Deferrals = 0;             // likewise, after which no call was made
  TimePoint LostAt{};
  TimePoint DeferredUntil{}; // at the latest, while Deferring
  bool RefreshPending =
      false; // there may be news since the call on its way was made

  bool operator==(const WatchPlan &) const = default;
};

enum class WatchCall {
  None,
  List,
  Watch,      // waits for a change for as long as the caller sees fit
  ShortWatch, // asks for the changes until now
};

struct WatchStep {
  WatchCall Call = WatchCall::None;
  Duration After{}; // pause before it

  bool operator==(const WatchStep &) const = default;
};

// What counts for a step besides the plan.
struct WatchView {
  TimePoint Now{};
  bool Relayed = false; // another entry tells the changes
  bool Defer = false;   // another watch finds out when the store answers again
  Duration Pause{};     // so that changes that come together cost one call

  bool operator==(const WatchView &) const = default;
};

// Each function below returns the next call. It takes the place of one that
// is pending or on its way; None leaves that as it is.

// Takes the answer to a whole list, as of Revision.
WatchStep noteList(WatchPlan &Plan, std::int64_t Revision,
                   const WatchView &View);
// Takes the answer to a watch. Any tells whether it held changes.
WatchStep noteChanges(WatchPlan &Plan, std::int64_t Revision, bool Any,
                      const WatchView &View);
// The store has forgotten the changes since the plan's revision.
WatchStep noteHistoryGone(WatchPlan &Plan);
WatchStep noteFailure(WatchPlan &Plan, const WatchView &View);
// The pause before Call is over.
void notePauseOver(WatchPlan &Plan, WatchCall Call);
// There may be news: the store is to be asked at once, or again after a call
// that is about to be answered.
WatchStep refresh(WatchPlan &Plan, const WatchView &View);
// Asks again if the plan makes no calls for a reason that no longer holds. Call
// it periodically: the reason may come and go between two events.
WatchStep reconcile(WatchPlan &Plan, const WatchView &View);
// Another entry has told all changes up to Revision.
void advance(WatchPlan &Plan, std::int64_t Revision);

// Tells whether the plan asks the store for changes, and the store answers.
bool isFollowingStore(const WatchPlan &Plan);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WATCHPLAN_H
