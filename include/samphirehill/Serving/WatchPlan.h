// Decides when to call the platform's store to follow the objects of one kind:
// first a list, then one watch after the other, unless a relay sends the
// changes. No I/O: the caller makes the calls and supplies the time.
#ifndef SAMPHIREHILL_SERVING_WATCHPLAN_H
#define SAMPHIREHILL_SERVING_WATCHPLAN_H

#include "samphirehill/Core/Time.h"

#include <cstdint>

namespace samphirehill::serving {

enum class WatchPhase {
  Listing,        // a List is in progress
  Watching,       // a Watch is in progress
  CatchingUp,     // a ShortWatch is in progress
  Pausing,        // waiting until the next call is due
  FollowingRelay, // no calls: a relay sends the changes
  Deferring,      // no calls: another watch finds out when the store recovers
};

// The state of following one kind of objects.
struct WatchPlan {
  WatchPhase Phase = WatchPhase::Listing;
  // The store's revision up to which all changes are known; 0: none yet.
  std::int64_t Revision = 0;
  bool LastCallAnswered = false;
  // The store was restored from a copy, and no list has been read since.
  bool Restored = false;
  // The store could not be read for so long that objects may have expired.
  bool Outage = false;
  int Failures = 0;          // failed and repeated calls since the last answer
  int HistoryGaps = 0;       // lists since the last watch that was answered
  int Deferrals = 0;         // failed calls since then that were not repeated
  TimePoint LostAt{};        // first failed call since the last answer
  TimePoint DeferredUntil{}; // latest end of the phase Deferring
  // There may be changes that came after the call in progress was made.
  bool RefreshPending = false;

  bool operator==(const WatchPlan &) const = default;
};

enum class WatchCall {
  None,
  List,       // reads all objects
  Watch,      // waits for a change, for as long as the caller chooses
  ShortWatch, // reads the changes up to now without waiting
};

// The next call to the store.
struct WatchStep {
  WatchCall Call = WatchCall::None;
  Duration After{}; // pause before the call

  bool operator==(const WatchStep &) const = default;
};

// The conditions outside the plan that its next step depends on.
struct WatchView {
  TimePoint Now{};
  bool Relayed = false; // a relay sends the changes
  bool Defer = false;   // leave it to another watch to find the store recovered
  // Pause after an answer with changes, so that one call returns several
  // changes that follow each other closely.
  Duration Pause{};

  bool operator==(const WatchView &) const = default;
};

// Each function below that returns a step returns the next call. The caller
// cancels a call that is pending or in progress in favour of the new one; with
// WatchCall::None it goes on with the present call, if any.

// Records the answer to a complete list, as of Revision.
WatchStep noteList(WatchPlan &Plan, std::int64_t Revision,
                   const WatchView &View);
// Records the answer to a watch, which contained changes if HasChanges.
WatchStep noteChanges(WatchPlan &Plan, std::int64_t Revision, bool HasChanges,
                      const WatchView &View);
// Records that the store no longer holds the changes since the plan's revision.
// The plan lists again, after a pause if the list before this one has been of
// no use for the same reason.
WatchStep noteHistoryGone(WatchPlan &Plan);
// Records that the store was restored from a copy: the plan's revision means
// nothing any more.
WatchStep noteRestored(WatchPlan &Plan);
// Records that a call failed.
WatchStep noteFailure(WatchPlan &Plan, const WatchView &View);
// Records that the pause before Call is over and Call begins.
void notePauseOver(WatchPlan &Plan, WatchCall Call);
// Reads the changes at once because there may be new ones. While a List or
// ShortWatch is in progress, reads them after its answer. Does not shorten the
// pause after a failed call.
WatchStep refresh(WatchPlan &Plan, const WatchView &View);
// Resumes the calls if the plan makes none and the reason for that no longer
// holds. Must be called periodically: the reason may appear and vanish between
// two events.
WatchStep reconcile(WatchPlan &Plan, const WatchView &View);
// Records that a relay has sent all changes up to Revision.
void advance(WatchPlan &Plan, std::int64_t Revision);

// Returns whether the plan reads changes from the store, the store answers, and
// a list of its present era has been read.
bool isFollowingStore(const WatchPlan &Plan);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_WATCHPLAN_H
